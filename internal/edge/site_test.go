package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/edge"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// site runs fakes of the platform and entries in one process.
type site struct {
	t        *testing.T
	kv       *stand.KV
	store    *fakes.Store
	address  string
	version  int
	entries  []*edge.Entry
	settings []prefs.Edge
	replicas map[string]*fakes.Replica
	script   fakes.FaultScript
	// keepsConnection makes call leave its connection open. An entry closes an endpoint's
	// connection if the caller has gone when the answer ends.
	keepsConnection bool

	mu sync.Mutex
	// late returns how much later a call to the store is carried out, without an answer, zero
	// for a call that is answered.
	late func(r *http.Request) time.Duration
}

func newSite(t *testing.T) *site {
	s := &site{t: t, kv: stand.NewKV(), replicas: make(map[string]*fakes.Replica)}
	s.store = fakes.NewStore(s.kv)
	server := httptest.NewServer(http.HandlerFunc(s.serveStore))
	s.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// delayCalls makes late decide which calls to the store are carried out late.
func (s *site) delayCalls(late func(r *http.Request) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// serveStore serves a call to the store, or carries it out late.
func (s *site) serveStore(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration(0)
	s.mu.Lock()
	if s.late != nil {
		delay = s.late(r)
	}
	s.mu.Unlock()
	if delay == 0 {
		s.store.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	call := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
	time.AfterFunc(delay, func() { s.store.ServeHTTP(httptest.NewRecorder(), call) })
	<-r.Context().Done()
}

// write writes a key to the store, as the operator and replicas do.
func (s *site) write(key, value string) {
	var txn stand.Txn
	txn.Put(key, []byte(value), 0)
	_, err := s.kv.Commit(txn)
	require.NoError(s.t, err)
}

func (s *site) remove(key string) {
	var txn stand.Txn
	txn.Remove(key)
	_, err := s.kv.Commit(txn)
	require.NoError(s.t, err)
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service string
	resume                bool
	attempts              int
	timeoutMS             int
}

var defaultRoutes = []route{
	{prefix: "/book/", kind: "non_idempotent", service: "plain", attempts: 1, timeoutMS: 1500},
	{prefix: "/check/", kind: "idempotent", service: "plain", attempts: 2, timeoutMS: 1500},
	{prefix: "/draft/", kind: "streaming", service: "plain", attempts: 2, timeoutMS: 3000, resume: true},
	{prefix: "/once/", kind: "streaming", service: "plain", attempts: 1, timeoutMS: 3000},
}

// configure writes the next version of the operator's configuration.
func (s *site) configure(keys []string, routes ...route) {
	s.version += 2
	config := map[string]any{
		"version": s.version,
		"services": []any{
			map[string]any{"name": "plain", "healthPath": "/healthz", "maxConns": 50},
			map[string]any{"name": "model", "healthPath": "/healthz", "maxConns": 50, "engine": map[string]any{
				"slots": 8, "stride": 5, "step_ms": 6, "per_seq_ms": 0.5,
			}},
		},
		"tenants": []any{map[string]any{"name": "rowers", "apiKeys": keys, "priority": 1}},
	}
	var rows []any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.prefix, "host": "club.example", "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMS,
			"targetLatencyMs": 400, "service": r.service, "maxAttempts": r.attempts, "streamResume": r.resume, "gapAimMs": 120,
		})
	}
	config["routes"] = rows
	encoded, err := json.Marshal(config)
	require.NoError(s.t, err)
	s.write("op/config", string(encoded))
}

// startReplica starts a replica and registers it.
func (s *site) startReplica(id, zone string) *fakes.Replica {
	r := fakes.NewReplica(id, 8, &s.script)
	s.t.Cleanup(r.Close)
	s.replicas[id] = r
	s.register(id, zone, "ready")
	return r
}

func (s *site) register(id, zone, state string) { s.registerFor("plain", id, zone, state) }

// registerFor registers a replica of a service.
func (s *site) registerFor(service, id, zone, state string) {
	s.write("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q,"coldLeftMs":0,"version":"v1","sequence":0,"born":1}`,
		service, s.replicas[id].Address(), zone, state))
}

// startEntry starts an entry; waitReady waits until it is ready.
func (s *site) startEntry(name string) *edge.Entry {
	addresses := make([]string, 4)
	for i := range addresses {
		addresses[i] = procs.FreeAddress(s.t)
	}
	host, port, err := net.SplitHostPort(procs.FreeAddress(s.t))
	require.NoError(s.t, err)
	text := fmt.Sprintf(`{"name": %q, "data_centre": "gmunden", "ip": %q, "peer_port": %s, "admin_listen": %q, "listen": %q,
		"ready_listen": %q, "directory_listen": %q, "store": %q, "stop_bound_s": 3, "retry_ratio": 0.2, "retry_extra": 50,
		"retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5, "log_level": "error"}`,
		name, host, port, addresses[0], addresses[1], addresses[2], addresses[3], s.address)
	settings, err := prefs.ParseEdge("entry.jsonc", []byte(text))
	require.NoError(s.t, err)
	e, err := edge.New(settings, zap.NewNop())
	require.NoError(s.t, err)
	require.NoError(s.t, e.Start())
	s.entries, s.settings = append(s.entries, e), append(s.settings, settings)
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		e.Stop(ctx)
	})
	return e
}

func (s *site) waitReady(index int) {
	require.Eventually(s.t, func() bool { return s.entries[index].NotReadyReason() == "" }, 5*time.Second, 5*time.Millisecond)
}

// response is the response or error that a caller receives.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// newRequest returns a request to an entry.
func (s *site) newRequest(ctx context.Context, index int, method, path, body string, header map[string]string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.settings[index].ListenAddress()+path, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Host = "club.example"
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Lentilstand-Request-Id", "request-1")
	request.Header.Set("Lentilstand-Deadline-Ms", "3000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request
}

// call sends a request to an entry.
func (s *site) call(index int, method, path, body string, header map[string]string) response {
	request := s.newRequest(s.t.Context(), index, method, path, body, header)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	if s.keepsConnection {
		s.t.Cleanup(client.CloseIdleConnections)
	} else {
		defer client.CloseIdleConnections()
	}
	received, err := client.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer received.Body.Close()
	content, err := io.ReadAll(received.Body)
	return response{status: received.StatusCode, header: received.Header, body: string(content), err: err}
}

// streamHeader makes a replica respond with a stream. The replica ignores the value.
var streamHeader = map[string]string{"Lentilstand-Token-Counts": "100,40"}

func startSite(t *testing.T, replicas ...string) *site {
	s := newSite(t)
	s.configure([]string{"key-1"}, defaultRoutes...)
	for _, id := range replicas {
		s.startReplica(id, "gmunden")
	}
	s.startEntry("entry-1")
	s.waitReady(0)
	return s
}

// addresses returns the response of an entry's directory.
func (s *site) addresses(index int) []string {
	response, err := http.Get("http://" + s.settings[index].DirectoryAddress() + "/lentilstand/resolve?name=club.example&region=r&zone=gmunden")
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	defer response.Body.Close()
	var resolved struct {
		Addresses []string `json:"addresses"`
		TTLS      int      `json:"ttlS"`
	}
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&resolved))
	require.Positive(s.t, resolved.TTLS)
	return resolved.Addresses
}
