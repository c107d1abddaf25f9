// Package admin serves a process's admin address: metrics, health, readiness
// and its state as JSON.
package admin

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/webio"
)

// Process is what the admin address shows of a process.
type Process interface {
	// NotReadyReason returns why the process takes no new work, empty if it does.
	NotReadyReason() (reason string)
	// Status returns the process's state, to be shown as JSON.
	Status() any
}

// Admin is the admin address of a process. Use New.
type Admin struct {
	process Process
	meter   *meter.Meter
	routes  map[string]webio.HandlerFunc
}

// New returns the admin address of a process.
func New(process Process, meter *meter.Meter) *Admin {
	a := &Admin{process: process, meter: meter, routes: make(map[string]webio.HandlerFunc)}
	a.Handle("GET /metrics", func(e *webio.Exchange) { e.ServeHTTP(meter.Handler()) })
	a.Handle("GET /healthz", func(e *webio.Exchange) { ReplyJSON(e, http.StatusOK, map[string]bool{"healthy": true}) })
	a.Handle("GET /readyz", a.ready)
	a.Handle("GET /status", func(e *webio.Exchange) { ReplyJSON(e, http.StatusOK, process.Status()) })
	return a
}

// Handle adds a route, such as "POST /leave".
func (a *Admin) Handle(route string, handler webio.HandlerFunc) { a.routes[route] = handler }

// ServeExchange answers one request.
func (a *Admin) ServeExchange(exchange *webio.Exchange) {
	request := exchange.Request()
	handler, ok := a.routes[request.Method+" "+request.URL.Path]
	if !ok {
		apierr.New(http.StatusNotFound, "unknown_path", "there is nothing at this path").Reply(exchange)
		return
	}
	handler(exchange)
}

// Listen serves the admin address.
func (a *Admin) Listen(address string, logger *zap.Logger) (*webio.Server, error) {
	server := webio.NewServer(a, logger)
	if err := server.Listen(address); err != nil {
		return nil, err
	}
	return server, nil
}

func (a *Admin) ready(exchange *webio.Exchange) {
	if reason := a.process.NotReadyReason(); reason != "" {
		ReplyJSON(exchange, http.StatusServiceUnavailable, map[string]any{"ready": false, "reason": reason})
		return
	}
	ReplyJSON(exchange, http.StatusOK, map[string]bool{"ready": true})
}

// ReplyJSON answers with a value as JSON.
func ReplyJSON(exchange *webio.Exchange, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":{"message":"the answer can't be encoded"}}`)
	}
	exchange.Reply(status, http.Header{"Content-Type": {"application/json"}}, append(body, '\n'))
}
