package siege_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// host has the limits of a host on which a daemon runs.
type host struct{ memoryMB, descriptors int }

// smallHost has half the memory of the smallest host of an entry, for a crowd of a fifth.
var smallHost = host{memoryMB: 96, descriptors: 1024}

// settings returns the limits as fields of the settings.
func (h host) settings() string {
	return fmt.Sprintf(`"memory_mb": %d, "max_descriptors": %d, `, h.memoryMB, h.descriptors)
}

// target is a process under attack.
type target struct {
	name    string
	process *procs.Process
	// address is the listener that the crowd connects to.
	address string
	// ordinary sends a request that must be answered.
	ordinary func() error
}

const (
	// recoveryTimeout is how long an ordinary client repeats a request that was refused.
	recoveryTimeout = 20 * time.Second
	// requestTimeout limits one ordinary request.
	requestTimeout = 5 * time.Second
	samplePeriod   = 20 * time.Millisecond
	startTimeout   = 20 * time.Second
)

// get returns a function that sends a GET request to an address.
func get(address, path string) func() error {
	return func() error {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
		if err != nil {
			return err
		}
		request.Host = "club.example"
		request.Header.Set("Authorization", "Bearer key")
		request.Header.Set("Lentilstand-Request-Id", fmt.Sprint(rand.Uint64()))
		client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			return errors.Join(fmt.Errorf("status %d", response.StatusCode), err)
		}
		return nil
	}
}

// peakMemoryMB returns the peak resident memory of a process.
func peakMemoryMB(t *testing.T, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, after, ok := strings.Cut(string(status), "VmHWM:")
	require.True(t, ok)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(t, err)
	return kilobytes >> 10
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// besiege lets a crowd attack the targets and checks the bounds of the host.
func besiege(t *testing.T, h host, attack func(targets []target) (release func()), targets ...target) {
	t.Helper()
	for _, one := range targets {
		require.Eventually(t, func() bool { return one.ordinary() == nil }, startTimeout, samplePeriod, "%s is ready", one.name)
	}
	peaks := make([]atomic.Int64, len(targets))
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			for i, one := range targets {
				peaks[i].Store(max(peaks[i].Load(), int64(openDescriptors(one.process.PID()))))
			}
			select {
			case <-done:
				return
			case <-time.After(samplePeriod):
			}
		}
	}()
	release := attack(targets)
	for _, one := range targets {
		answered := false
		for start := time.Now(); !answered && time.Since(start) < recoveryTimeout; time.Sleep(samplePeriod) {
			answered = one.ordinary() == nil
		}
		if !answered {
			t.Errorf("%s answers no ordinary request, exited: %t", one.name, one.process.Exited())
		}
	}
	release()
	close(done)
	<-sampled
	for i, one := range targets {
		require.False(t, one.process.Exited(), "%s has exited", one.name)
		peak := peakMemoryMB(t, one.process.PID())
		t.Logf("%s: peak of %d MB and %d descriptors", one.name, peak, peaks[i].Load())
		if peak > h.memoryMB {
			t.Errorf("%s took %d MB of %d", one.name, peak, h.memoryMB)
		}
		if peaks[i].Load() > int64(h.descriptors) {
			t.Errorf("%s had %d descriptors of %d", one.name, peaks[i].Load(), h.descriptors)
		}
	}
}

// site is a fake platform with one entry and one agent. The route /check/ leads to a sound
// endpoint, /flood/ to one whose responses depend on the path.
type site struct {
	t      *testing.T
	entry  target
	agent  target
	doors  map[string]string
	store  *floodingStore
	broken *httptest.Server
}

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func newSite(t *testing.T, h host) *site {
	kv := stand.NewKV()
	s := &site{t: t, store: &floodingStore{next: fakes.NewStore(kv)}, broken: httptest.NewServer(http.HandlerFunc(flood))}
	server := httptest.NewServer(s.store)
	script := &fakes.FaultScript{}
	sound := fakes.NewReplica("sound", 1, script)
	t.Cleanup(func() {
		sound.Close()
		for _, one := range []*httptest.Server{server, s.broken} {
			one.CloseClientConnections()
			one.Close()
		}
	})
	s.configure(kv, map[string]string{"check": sound.Address(), "flood": s.broken.Listener.Addr().String()})
	addresses := make([]string, 5)
	for i := range addresses {
		addresses[i] = procs.FreeAddress(t)
	}
	ip, peerPort, err := net.SplitHostPort(procs.FreeAddress(t))
	require.NoError(t, err)
	s.doors = map[string]string{"clients": addresses[0], "readiness": addresses[1], "directory": addresses[2], "admin": addresses[3]}
	process := procs.Start(t, "entry", "--platform", "--settings", writeSettings(t, fmt.Sprintf(
		`{%s"name": "entry", "data_centre": "a", "ip": %q, "peer_port": %s, "listen": %q, "ready_listen": %q, "directory_listen": %q,
		"admin_listen": %q, "store": %q, "retry_ratio": 0.2, "retry_extra": 50, "retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5}`,
		h.settings(), ip, peerPort, addresses[0], addresses[1], addresses[2], addresses[3], server.Listener.Addr())))
	s.entry = target{name: "entry on the platform", process: process, address: addresses[0], ordinary: get(addresses[0], "/check/a")}
	ip, peerPort, err = net.SplitHostPort(procs.FreeAddress(t))
	require.NoError(t, err)
	process = procs.Start(t, "agent", "--platform", "--settings", writeSettings(t, fmt.Sprintf(
		`{%s"name": "agent", "data_centre": "a", "ip": %q, "peer_port": %s, "admin_listen": %q, "endpoint": %q}`,
		h.settings(), ip, peerPort, addresses[4], s.broken.Listener.Addr())))
	s.agent = target{name: "agent on the platform", process: process, address: addresses[4], ordinary: get(addresses[4], "/healthz")}
	return s
}

// configure stores the routing table with a service for each endpoint.
func (s *site) configure(kv *stand.KV, endpoints map[string]string) {
	var routes, services []any
	for name, address := range endpoints {
		routes = append(routes, map[string]any{
			"name": name, "host": "club.example", "prefix": "/" + name + "/", "kind": "idempotent", "timeoutMs": 10_000,
			"targetLatencyMs": 400, "service": name, "maxAttempts": 2,
		})
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 400})
		s.put(kv, "servers/"+name, map[string]any{
			"service": name, "address": address, "zone": "a", "slots": 400, "state": "ready", "coldLeftMs": 0, "version": "v1", "sequence": 0, "born": 1,
		})
	}
	s.put(kv, "servers/sound", map[string]any{
		"service": "check", "address": endpoints["check"], "zone": "a", "slots": 8, "state": "ready", "coldLeftMs": 0, "version": "v1", "sequence": 0, "born": 1,
	})
	var txn stand.Txn
	txn.Remove("servers/check")
	_, err := kv.Commit(txn)
	require.NoError(s.t, err)
	s.put(kv, "op/config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": "rowers", "apiKeys": []string{"key"}, "priority": 1}},
	})
}

func (s *site) put(kv *stand.KV, key string, value any) {
	encoded, err := json.Marshal(value)
	require.NoError(s.t, err)
	var txn stand.Txn
	txn.Put(key, encoded, 0)
	_, err = kv.Commit(txn)
	require.NoError(s.t, err)
}

const fleetConfig = `{
  "data_centres": [{"name": "a", "region": "r"}],
  "services": [{"name": "boats", "kind": "plain", "path_prefix": "/boats", "repeatable": false, "queue": {"max_wait_ms": 10000}}],
  "models": [],
  "teams": [{"name": "rowers", "key_sha256": "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}],
  "endpoints": [%s]
}`

// newFleet starts an entry and an agent outside the platform and returns the entry as a target of
// clients, and both as targets of sessions between processes.
func newFleet(t *testing.T, h host) (clients target, sessions []target) {
	f := procs.NewFleet(t)
	f.Limits = h.settings()
	f.AddPlain("boat", "boats", "a")
	f.InitConfig(fmt.Sprintf(fleetConfig, f.EndpointConfigs()))
	e := f.AddEntry("entry", "a")
	f.WaitReady()
	clients = target{name: "entry", process: e.Process, address: e.Address, ordinary: get(e.Address, "/boats/1")}
	agent := f.Agents["boat"]
	return clients, []target{
		{name: "entry", process: e.Process, address: e.PeerAddress, ordinary: clients.ordinary},
		{name: "agent", process: agent.Process, address: agent.Address, ordinary: clients.ordinary},
	}
}

// floodKind is how a store responds.
type floodKind int32

const (
	noFlood floodKind = iota
	endlessHead
	endlessBody
)

// floodingStore is a store whose responses may have no end.
type floodingStore struct {
	next http.Handler
	kind atomic.Int32
}

func (s *floodingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch floodKind(s.kind.Load()) {
	case endlessHead:
		writeEndlessHead(w)
	case endlessBody:
		writeEndlessBody(w, "")
	default:
		s.next.ServeHTTP(w, r)
	}
}

// flood is an endpoint whose response depends on the path. It answers every third request with a
// whole response, so that it isn't taken for one that fails always.
func flood(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Lentilstand-Request-Id", r.Header.Get("Lentilstand-Request-Id"))
	w.Header().Set("Lentilstand-Response-Seal", "seal")
	switch r.URL.Path {
	case "/flood/head":
		if rand.IntN(3) > 0 {
			writeEndlessHead(w)
		}
	case "/flood/body":
		writeEndlessBody(w, r.Header.Get("Lentilstand-Request-Id"))
	case "/flood/large":
		_, _ = w.Write(make([]byte, 200<<10))
	case "/lentilstand/rank", "/lentilstand/state":
		writeEndlessBody(w, "")
	}
}

// writeEndless writes head once and then more until the connection ends.
func writeEndless(w http.ResponseWriter, head, more string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, head)
	for err == nil {
		_, err = io.WriteString(conn, more)
	}
}

func writeEndlessHead(w http.ResponseWriter) {
	writeEndless(w, "HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\nX-Long: "+strings.Repeat("x", 50)+"\r\n", 100))
}

func writeEndlessBody(w http.ResponseWriter, id string) {
	writeEndless(w, "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: "+id+"\r\nLentilstand-Response-Seal: seal\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"items\":[",
		strings.Repeat(`{"key":"servers/x","value":"e30=","revision":1},`, 100))
}
