// Package admin implements the admin HTTP server of a process. It serves
// metrics, liveness, readiness and the state of the process as JSON.
package admin

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/webio"
)

// Process is a process whose state an Admin serves.
type Process interface {
	// NotReadyReason returns why the process accepts no new requests, or "" if it
	// accepts them.
	NotReadyReason() (reason string)
	// Status returns the state of the process, which must be encodable as JSON.
	Status() any
}

// Admin is the HTTP handler of an admin address. Create it with New.
type Admin struct {
	process Process
	meter   *meter.Meter
	routes  map[string]webio.HandlerFunc
}

// New returns the Admin of a process with the routes for its metrics, health,
// readiness and status.
func New(process Process, meter *meter.Meter) *Admin {
	a := &Admin{process: process, meter: meter, routes: make(map[string]webio.HandlerFunc)}
	a.Handle("GET /metrics", func(e *webio.Exchange) { e.ServeHTTP(meter.Handler()) })
	a.Handle("GET /healthz", func(e *webio.Exchange) { ReplyJSON(e, http.StatusOK, map[string]bool{"healthy": true}) })
	a.Handle("GET /readyz", a.serveReady)
	a.Handle("GET /status", func(e *webio.Exchange) { ReplyJSON(e, http.StatusOK, process.Status()) })
	return a
}

// Handle adds a handler for a method and path, such as "POST /leave".
func (a *Admin) Handle(route string, handler webio.HandlerFunc) { a.routes[route] = handler }

// ServeExchange handles one request.
func (a *Admin) ServeExchange(exchange *webio.Exchange) {
	request := exchange.Request()
	handler, ok := a.routes[request.Method+" "+request.URL.Path]
	if !ok {
		apierr.New(http.StatusNotFound, "unknown_path", "there is nothing at this path").Reply(exchange)
		return
	}
	handler(exchange)
}

// Listen starts a server on address.
func (a *Admin) Listen(address string, logger *zap.Logger, options ...webio.Option) (*webio.Server, error) {
	server := webio.NewServer(a, logger, options...)
	if err := server.Listen(address); err != nil {
		return nil, err
	}
	return server, nil
}

func (a *Admin) serveReady(exchange *webio.Exchange) {
	if reason := a.process.NotReadyReason(); reason != "" {
		ReplyJSON(exchange, http.StatusServiceUnavailable, map[string]any{"ready": false, "reason": reason})
		return
	}
	ReplyJSON(exchange, http.StatusOK, map[string]bool{"ready": true})
}

// ReplyJSON sends value as a JSON response.
func ReplyJSON(exchange *webio.Exchange, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":{"message":"the answer can't be encoded"}}`)
	}
	exchange.Reply(status, http.Header{"Content-Type": {"application/json"}}, append(body, '\n'))
}
