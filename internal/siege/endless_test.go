package siege_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// TestEndlessEvents guards against streams that each buffer an event without end.
func TestEndlessEvents(t *testing.T) {
	kv := stand.NewKV()
	store := httptest.NewServer(fakes.NewStore(kv))
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeEndless(w, "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: "+r.Header.Get("Lentilstand-Request-Id")+
			"\r\nLentilstand-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: ", strings.Repeat("x", 4000))
	}))
	t.Cleanup(func() {
		for _, one := range []*httptest.Server{store, endless} {
			one.CloseClientConnections()
			one.Close()
		}
	})
	s := &site{t: t}
	s.put(kv, "servers/one", map[string]any{
		"service": "model", "address": endless.Listener.Addr().String(), "zone": "a", "slots": 400, "state": "ready", "coldLeftMs": 0, "version": "v1", "sequence": 0, "born": 1,
	})
	s.put(kv, "op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "draft", "host": "club.example", "prefix": "/draft/", "kind": "streaming", "timeoutMs": 10_000, "targetLatencyMs": 400,
			"service": "model", "maxAttempts": 1, "gapAimMs": 120,
		}},
		"services": []any{map[string]any{"name": "model", "healthPath": "/healthz", "maxConns": 400}},
		"tenants":  []any{map[string]any{"name": "rowers", "apiKeys": []string{"key"}, "priority": 1}},
	})
	clients, ready, directory, admin := procs.FreeAddress(t), procs.FreeAddress(t), procs.FreeAddress(t), procs.FreeAddress(t)
	ip, peerPort, err := net.SplitHostPort(procs.FreeAddress(t))
	require.NoError(t, err)
	process := procs.Start(t, "entry", "--platform", "--settings", writeSettings(t, fmt.Sprintf(
		`{%s"name": "entry", "data_centre": "a", "ip": %q, "peer_port": %s, "listen": %q, "ready_listen": %q, "directory_listen": %q,
		"admin_listen": %q, "store": %q, "retry_ratio": 0.2, "retry_extra": 50, "retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5}`,
		smallHost.settings(), ip, peerPort, clients, ready, directory, admin, store.Listener.Addr())))
	besiege(t, smallHost, attackWith(func(conn net.Conn, number int) {
		_, _ = fmt.Fprintf(conn, "GET /draft/a HTTP/1.1\r\nHost: club.example\r\nAuthorization: Bearer key\r\nLentilstand-Request-Id: %d\r\n\r\n", number)
		_, _ = io.Copy(io.Discard, conn)
	}), target{name: "entry on the platform", process: process, address: clients, ordinary: get(admin, "/readyz")})
}

// TestEndlessRankResponses guards against heads and bodies of a rank without end, which its agent
// polls.
func TestEndlessRankResponses(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter){
		"head": writeEndlessHead,
		"body": func(w http.ResponseWriter) { writeEndlessBody(w, "") },
	} {
		t.Run(name, func(t *testing.T) {
			rank := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w) }))
			t.Cleanup(func() {
				rank.CloseClientConnections()
				rank.Close()
			})
			admin := procs.FreeAddress(t)
			ip, peerPort, err := net.SplitHostPort(procs.FreeAddress(t))
			require.NoError(t, err)
			process := procs.Start(t, "agent", "--platform", "--settings", writeSettings(t, fmt.Sprintf(
				`{%s"name": "agent", "data_centre": "a", "ip": %q, "peer_port": %s, "admin_listen": %q, "endpoint": %q}`,
				smallHost.settings(), ip, peerPort, admin, rank.Listener.Addr())))
			besiege(t, smallHost, attackWith(text("x")), target{name: "agent on the platform", process: process, address: admin, ordinary: get(admin, "/healthz")})
		})
	}
}
