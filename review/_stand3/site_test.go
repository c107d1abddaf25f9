package stand3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("can't create the record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

// addf adds a line with the time since the start.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program with the status of a case that couldn't run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

// current is the site whose processes must end before the program does.
var current *site

// ports are the ports that all hosts of a site have in common.
type ports struct {
	front, ready, directory, peer, admin, replica int
}

// site is a small deployment on loopback addresses: a store, entries and agents.
type site struct {
	record  *record
	folder  string
	network string
	ports   ports
	kv      *stand.KV
	store   *fakes.Store
	storeAt string
	// observe is called with each call to the store, nil for nothing.
	observe func(r *http.Request)
	// intercept reports whether it takes a call to the store over, which then gets no answer.
	intercept func(store http.Handler, r *http.Request) bool

	mu        sync.Mutex
	processes []*process
	closed    bool
}

// process is a daemon of the system.
type process struct {
	site *site
	name string
	args []string
	cmd  *exec.Cmd
	// expected is set before the site ends the process, done is closed once it has ended.
	expected bool
	done     chan struct{}
}

func newSite(rec *record) *site {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		cannotRun("can't create a temporary folder: %v", err)
	}
	s := &site{record: rec, folder: folder, kv: stand.NewKV()}
	current = s
	s.store = fakes.NewStore(s.kv)
	s.choosePorts()
	s.storeAt = fmt.Sprintf("%s.200.1:%d", s.network, s.ports.front)
	s.serve(s.storeAt, http.HandlerFunc(s.serveStore))
	return s
}

// chosenPorts counts the choices of ports, so that each site has others.
var chosenPorts int

// choosePorts chooses a loopback network and ports that are free on it.
func (s *site) choosePorts() {
	for range 200 {
		chosenPorts++
		s.network = fmt.Sprintf("127.%d", 20+(os.Getpid()+chosenPorts)%200)
		base := 20000 + 10*((os.Getpid()+7*chosenPorts)%1000)
		s.ports = ports{front: base, ready: base + 1, directory: base + 2, peer: base + 3, admin: base + 4, replica: base + 5}
		free := true
		for port := base; port < base+6; port++ {
			for _, host := range []string{"1.1", "2.1", "200.1"} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%s:%d", s.network, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return
		}
	}
	cannotRun("no free ports")
}

// serve serves a stand-in at an address until the program ends or the server is closed.
func (s *site) serve(address string, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("can't listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server
}

// serveStore passes a call on to the store.
func (s *site) serveStore(w http.ResponseWriter, r *http.Request) {
	if s.observe != nil {
		s.observe(r)
	}
	if s.intercept != nil && s.intercept(s.store, r) {
		<-r.Context().Done()
		return
	}
	s.store.ServeHTTP(w, r)
}

// entryIP and agentIP return the addresses of the hosts of entries and of replicas.
func (s *site) entryIP(i int) string { return fmt.Sprintf("%s.1.%d", s.network, i+1) }
func (s *site) agentIP(i int) string { return fmt.Sprintf("%s.2.%d", s.network, i+1) }

func (s *site) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.entryIP(i), s.ports.front)
}

func (s *site) replicaAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.agentIP(i), s.ports.replica)
}

// put writes a key of the operator or of a replica.
func (s *site) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		cannotRun("can't encode: %v", err)
	}
	s.putBytes(key, encoded)
}

func (s *site) putBytes(key string, value []byte) {
	var txn stand.Txn
	txn.Put(key, value, 0)
	if _, err := s.kv.Commit(txn); err != nil {
		cannotRun("can't write to the store: %v", err)
	}
	s.record.addf("store: wrote %s", key)
}

func (s *site) remove(key string) {
	var txn stand.Txn
	txn.Remove(key)
	if _, err := s.kv.Commit(txn); err != nil {
		cannotRun("can't write to the store: %v", err)
	}
	s.record.addf("store: removed %s", key)
}

// writeSettings writes a settings file and returns its path.
func (s *site) writeSettings(name string, settings map[string]any) string {
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		cannotRun("can't encode settings: %v", err)
	}
	path := filepath.Join(s.folder, name+".jsonc")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		cannotRun("can't write settings: %v", err)
	}
	return path
}

// startEntry starts an entry with the settings of deploy/entry.jsonc.
func (s *site) startEntry(i int) *process {
	ip := s.entryIP(i)
	name := fmt.Sprintf("edge-%d", i+1)
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	path := s.writeSettings(name, map[string]any{
		"name": name, "data_centre": "gmunden", "data_centres": map[string]string{"gmunden": "at-upper"},
		"ip": ip, "peer_port": s.ports.peer, "admin_listen": address(s.ports.admin),
		"listen": address(s.ports.front), "ready_listen": address(s.ports.ready), "directory_listen": address(s.ports.directory),
		"store": s.storeAt, "max_address_ttl_s": 5, "stop_bound_s": 8,
		"retry_ratio": 0.2, "retry_extra": 88, "retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5,
		"memory_mb": 284, "max_descriptors": 4200, "log_level": "info",
	})
	return s.start(name, "entry", "--platform", "--settings", path)
}

// startAgent starts the agent of a replica with the settings of deploy/agent.jsonc.
func (s *site) startAgent(i int) *process {
	ip := s.agentIP(i)
	name := fmt.Sprintf("side-%d", i+1)
	path := s.writeSettings(name, map[string]any{
		"name": name, "data_centre": "gmunden", "ip": ip, "peer_port": s.ports.peer,
		"admin_listen": fmt.Sprintf("%s:%d", ip, s.ports.admin), "endpoint": s.replicaAddress(i),
		"memory_mb": 152, "max_descriptors": 2048, "log_level": "info",
	})
	return s.start(name, "agent", "--platform", "--settings", path)
}

// start starts a daemon with a command of the deploy file.
func (s *site) start(name string, args ...string) *process {
	p := &process{site: s, name: name, args: args}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	p.restart()
	return p
}

// restart starts the process again after it has ended.
func (p *process) restart() {
	log, err := os.OpenFile(filepath.Join(p.site.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("can't open a log: %v", err)
	}
	defer log.Close()
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	if p.site.closed {
		return
	}
	cmd := exec.Command("target/lentilstand", p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.site.mu.Unlock()
		cannotRun("can't start %s: %v", p.name, err)
	}
	p.cmd, p.expected, p.done = cmd, false, make(chan struct{})
	p.site.record.addf("process: %s started", p.name)
	done := p.done
	go func() {
		_ = cmd.Wait()
		p.site.mu.Lock()
		expected := p.expected || p.site.closed
		p.site.mu.Unlock()
		if !expected {
			p.site.record.addf("process: %s ended by itself: %v", p.name, cmd.ProcessState)
		}
		close(done)
	}()
}

// signal sends a signal. End says that the process is expected to end by it.
func (p *process) signal(signal syscall.Signal, end bool) {
	p.site.mu.Lock()
	p.expected = p.expected || end
	p.site.mu.Unlock()
	p.site.record.addf("process: %v to %s", signal, p.name)
	_ = p.cmd.Process.Signal(signal)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.done
}

// waitReady waits until an entry is ready.
func (s *site) waitReady(i int) {
	url := fmt.Sprintf("http://%s:%d/lentilstand/ready", s.entryIP(i), s.ports.ready)
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if response, err := http.Get(url); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	cannotRun("entry %d isn't ready", i+1)
}

// logHas reports whether the log of a process has a text.
func (p *process) logHas(text string) bool {
	content, _ := os.ReadFile(filepath.Join(p.site.folder, p.name+".log"))
	return bytes.Contains(content, []byte(text))
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range processes {
		if p.done != nil {
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.folder)
	}
}
