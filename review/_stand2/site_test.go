// Command stand2 plays the script cases of the second review. It starts the deployed
// commands as separate processes on loopback addresses, and plays the store, the operator,
// the replicas and the clients beside them.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// Bounds of a small deployment, as on the sheets.
const (
	configApply = 2 * time.Second
	maxSkew     = 5 * time.Second
	contact     = 3 * time.Second
	graceS      = 8
	heartbeat   = 1200 * time.Millisecond
)

// site holds the stand-ins and the processes of one case.
type site struct {
	started time.Time
	// beatAt is when the replicas last pinged, in milliseconds since started.
	beatAt atomic.Int64
	dir    string
	host   string
	kv     *stand.KV
	store  *fakes.Store

	mu       sync.Mutex
	record   *os.File
	version  int
	entries  []*entry
	replicas []*replica
	stop     chan struct{}
}

// entry is a process that runs the entry role.
type entry struct {
	name, zone, ip string
	settings       string
	front, store   string
	ready, peer    string
	gate           *gate
	process        *exec.Cmd
	log            *os.File
}

// gate stands between one machine and the store.
type gate struct {
	// silent makes the store not respond, and busy makes it respond with status 503.
	silent, busy atomic.Bool
	next         http.Handler

	mu sync.Mutex
	// renewal is called before each renewal of a lease, nil if nobody waits for one.
	renewal func()
}

// onRenewal sets what is called before each renewal of a lease.
func (g *gate) onRenewal(renewal func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewal = renewal
}

// reply keeps a response until it is known whether the store serves the machine.
type reply struct {
	header http.Header
	status int
	body   []byte
}

func (h *reply) Header() http.Header { return h.header }

func (h *reply) WriteHeader(status int) { h.status = status }

func (h *reply) Write(data []byte) (int, error) {
	h.body = append(h.body, data...)
	return len(data), nil
}

// ServeHTTP serves a call unless the store turns the machine away, also while the call waits.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	renewal := g.renewal
	g.mu.Unlock()
	if renewal != nil && strings.Contains(r.URL.Path, "/kv-keep/") {
		renewal()
	}
	if g.turnAway(w, r) {
		return
	}
	kept := &reply{header: make(http.Header), status: http.StatusOK}
	g.next.ServeHTTP(kept, r)
	if g.turnAway(w, r) {
		return
	}
	for name, values := range kept.header {
		w.Header()[name] = values
	}
	w.WriteHeader(kept.status)
	_, _ = w.Write(kept.body)
}

func (g *gate) turnAway(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case g.silent.Load():
		buffer := make([]byte, 4096)
		for {
			if _, err := r.Body.Read(buffer); err != nil {
				break
			}
		}
		<-r.Context().Done()
		return true
	case g.busy.Load():
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return true
	}
	return false
}

// newSite creates the stand-ins in a temporary folder. The case's record goes to recordDir.
func newSite(recordDir string) (*site, error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(recordDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{
		started: time.Now(), dir: dir, kv: stand.NewKV(), record: record, stop: make(chan struct{}),
		host: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250),
	}
	s.store = fakes.NewStore(s.kv)
	go func() {
		// Leases end in time also while nobody calls.
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(20 * time.Millisecond):
				s.kv.Read([]string{"lentilstand/"})
			}
		}
	}()
	return s, nil
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	close(s.stop)
	for _, e := range s.entries {
		e.kill()
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

func (s *site) write(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var txn stand.Txn
	txn.Put(key, encoded, 0)
	_, err = s.kv.Commit(txn)
	return err
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind string
	timeoutMS    int
}

// configure writes the next version of the configuration, and returns when the store has
// accepted it.
func (s *site) configure(keys []string, routes ...route) (time.Time, error) {
	s.version += 3
	rows := []any{}
	for i, r := range routes {
		rows = append(rows, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "club.example", "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMS,
			"targetLatencyMs": 300, "priority": 2, "service": "bootshaus", "maxAttempts": 2, "public": false,
		})
	}
	config := map[string]any{
		"version": s.version, "routes": rows,
		"services": []any{map[string]any{"name": "bootshaus", "healthPath": "/healthz", "maxConns": 96, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "rowers", "apiKeys": keys, "priority": 1}},
	}
	err := s.write("op/config", config)
	acked := time.Now()
	s.logf("operator: version %d accepted by the store, keys %v", s.version, keys)
	return acked, err
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// addEntry prepares an entry on a machine of its own address.
func (s *site) addEntry(name, zone string) (*entry, error) {
	e := &entry{name: name, zone: zone, ip: fmt.Sprintf("%s.%d", s.host, 10+len(s.entries)), gate: &gate{next: s.store}}
	listener, err := net.Listen("tcp", e.ip+":0")
	if err != nil {
		return nil, err
	}
	e.store = listener.Addr().String()
	server := &http.Server{Handler: e.gate}
	go func() { _ = server.Serve(listener) }()
	ports := make([]int, 4)
	for i := range ports {
		if ports[i], err = freePort(e.ip); err != nil {
			return nil, err
		}
	}
	// The port for other processes is the same on all machines.
	peerPort := 7340
	e.front = fmt.Sprintf("%s:%d", e.ip, ports[0])
	e.peer = fmt.Sprintf("%s:%d", e.ip, peerPort)
	e.ready = fmt.Sprintf("%s:%d", e.ip, ports[1])
	settings := map[string]any{
		"name": name, "data_centre": zone,
		"data_centres": map[string]string{"gmunden": "at-upper", "ebensee": "at-upper", "altmuenster": "at-upper"},
		"ip":           e.ip, "peer_port": peerPort, "admin_listen": fmt.Sprintf("%s:%d", e.ip, ports[3]),
		"listen": e.front, "ready_listen": e.ready, "directory_listen": fmt.Sprintf("%s:%d", e.ip, ports[2]),
		"store": e.store, "max_address_ttl_s": 5, "stop_bound_s": graceS,
		"retry_ratio": 0.2, "retry_extra": 88, "retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5,
		"memory_mb": 284, "max_descriptors": 4200, "log_level": "info",
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	e.settings = filepath.Join(s.dir, name+".jsonc")
	if err := os.WriteFile(e.settings, encoded, 0o600); err != nil {
		return nil, err
	}
	s.entries = append(s.entries, e)
	return e, nil
}

// start starts the entry's process by the command of the deploy file, with its settings.
func (s *site) start(e *entry) error {
	var err error
	if e.log, err = os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	e.process = exec.Command("target/lentilstand", "entry", "--platform", "--settings", e.settings)
	e.process.Stdout, e.process.Stderr = e.log, e.log
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.logf("start %s", e.name)
	return e.process.Start()
}

// restart stops the entry as the platform does, and starts it again after a short delay.
func (s *site) restart(e *entry) error {
	s.logf("SIGTERM to %s", e.name)
	if err := e.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	overdue := time.AfterFunc(graceS*time.Second, func() { _ = e.process.Process.Kill() })
	_ = e.process.Wait()
	overdue.Stop()
	_ = e.log.Close()
	s.logf("%s has ended", e.name)
	time.Sleep(500 * time.Millisecond)
	return s.start(e)
}

// waitReady waits until the readiness check of an entry succeeds.
func (s *site) waitReady(e *entry, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/lentilstand/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (e *entry) kill() {
	if e.process == nil || e.process.Process == nil {
		return
	}
	_ = e.process.Process.Kill()
	_ = e.process.Wait()
	_ = e.log.Close()
	e.process = nil
}

// waitMember waits until an entry is a member in the store, or no longer one.
func (s *site) waitMember(e *entry, present bool, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if s.isMember(e) == present {
			return true
		}
	}
	return false
}

func (s *site) isMember(e *entry) bool {
	_, ok := s.kv.Read([]string{"lentilstand/members/" + e.name}).Get("lentilstand/members/" + e.name)
	return ok
}
