// Package review runs the review's cases: the project's daemons as separate processes, on
// loopback addresses, between stand-ins for the platform's store, replicas and consumers.
//
//	review-stand CASE RECORD
//
// It is a test binary, built by review/build.sh. It runs from the root of the repository after
// the build of the deploy file, writes the record to the file RECORD, and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package review

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// host is the host name of all routes.
const host = "review.example"

// trouble reports whether the case includes its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// TestMain runs the case that the arguments name, and no tests.
func TestMain(*testing.M) {
	cases := map[string]func(*site) int{"stop": runStop, "bodies": runBodies, "parts": runParts, "foreign": runForeign, "killer": runKiller}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and ends all processes that it started.
func runCase(run func(*site) int, record string) (code int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	s := &site{began: time.Now(), record: file, dir: dir, kv: stand.NewKV()}
	defer s.stop()
	go s.endEarly()
	defer func() {
		if cause := recover(); cause != nil {
			var failure setupError
			if err, ok := cause.(error); !ok || !errors.As(err, &failure) {
				panic(cause)
			}
			s.log("the case couldn't run: %v", cause)
			code = couldNot
		}
	}()
	s.log("disruption: %v", trouble)
	code = run(s)
	s.log("exit code %d", code)
	return code
}

// maxDuration limits a case.
const maxDuration = 115 * time.Second

// endEarly ends the case and its processes on a signal or after maxDuration.
func (s *site) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case got := <-signals:
		s.log("ended by %v", got)
	case <-time.After(maxDuration):
		s.log("the case takes too long")
	}
	s.stop()
	_ = os.RemoveAll(s.dir)
	os.Exit(couldNot)
}

// setupError ends a case that can't run.
type setupError struct{ error }

// must ends the case if err isn't nil.
func must(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// site is a small deployment.
type site struct {
	began  time.Time
	dir    string
	kv     *stand.KV
	server *httptest.Server
	// network has the first three bytes of the daemons' addresses, and port is the first
	// of their ports.
	network string
	port    int

	mu        sync.Mutex
	record    io.Writer
	processes []*process
	requests  int
}

// log writes a line to the record, with the time since the start of the case.
func (s *site) log(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// startStore starts the platform's store and draws the addresses of the daemons.
func (s *site) startStore() {
	s.server = httptest.NewServer(fakes.NewStore(s.kv))
	for range 100 {
		s.network, s.port = fmt.Sprintf("127.77.%d", rand.IntN(250)), 20000+rand.IntN(10000)
		if s.portsAreFree() {
			return
		}
	}
	must(errors.New("no ports are free"))
}

func (s *site) portsAreFree() bool {
	for machine := range firstRankHost + 12 {
		for offset := range 5 {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.network, machine+1, s.port+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (s *site) stop() {
	s.mu.Lock()
	processes := slices.Clone(s.processes)
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if s.server != nil {
		s.server.CloseClientConnections()
		s.server.Close()
	}
}

// put writes a key of the operator or of a replica to the store.
func (s *site) put(key string, value any) {
	encoded, err := json.Marshal(value)
	must(err)
	var change stand.Txn
	change.Put(key, encoded, 0)
	_, err = s.kv.Commit(change)
	must(err)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, aimMS, attempts  int
}

// configure writes the configuration, with the limits of the sheet.
func (s *site) configure(routes ...route) {
	var list, services []any
	var names []string
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "service": r.service, "timeoutMs": r.timeoutMS,
			"targetLatencyMs": r.aimMS, "gapAimMs": 120, "priority": 1, "maxAttempts": r.attempts, "public": false,
			"streamResume": r.kind == "streaming", "sessionAffinity": r.kind == "streaming",
		})
		if !slices.Contains(names, r.service) {
			names = append(names, r.service)
			service := map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 278, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
			if r.kind == "streaming" {
				service["engine"] = map[string]any{
					"slots": rankSlots, "kvCapacity": 372000, "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0,
					"usual": map[string]any{"prompt": 835, "answer": 139}, "sets": sets, "experts": experts, "places": 8, "spare": 3,
					"expertMb": 780.0, "linkMbps": 180000.0, "expertShare": 0.85, "form_ms": formTime.Milliseconds(),
				}
			}
			services = append(services, service)
		}
	}
	s.put("op/config", map[string]any{
		"version": 3, "routes": list, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}}, map[string]any{"name": "tenant-2", "apiKeys": []string{"key-2"}}},
	})
}

// firstRankHost is the last byte of the address of the machine of a group's first rank.
// Entries have those from 1.
const firstRankHost = 20

// process is a daemon. It is started with the command of the deploy file and with settings
// like those that the platform makes of the template.
type process struct {
	site                    *site
	name                    string
	front, ready, directory string
	role, settings          string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// startEntry starts an entry and waits until it is ready.
func (s *site) startEntry(number int) *process {
	ip := fmt.Sprintf("%s.%d", s.network, number)
	address := func(offset int) string { return fmt.Sprintf("%s:%d", ip, s.port+offset) }
	p := &process{site: s, role: "entry", name: fmt.Sprintf("edge-%d", number), front: address(0), ready: address(1), directory: address(2)}
	p.settings = filepath.Join(s.dir, p.name+".jsonc")
	must(os.WriteFile(p.settings, fmt.Appendf(nil, `{
  "name": %q, "data_centre": "gmunden", "ip": %q, "peer_port": %d, "admin_listen": %q, "listen": %q, "ready_listen": %q,
  "directory_listen": %q, "store": %q, "max_address_ttl_s": 5, "stop_bound_s": 8, "retry_ratio": 0.2, "retry_extra": 88,
  "retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5, "log_level": "info"
}
`, p.name, ip, s.port+4, address(3), p.front, p.ready, p.directory, s.server.Listener.Addr().String()), 0o600))
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	p.start()
	p.waitReady()
	return p
}

// startAgent starts the agent on the machine of a rank.
func (s *site) startAgent(rank int) {
	ip := fmt.Sprintf("%s.%d", s.network, firstRankHost+rank)
	p := &process{site: s, role: "agent", name: fmt.Sprintf("side-%d", rank+1)}
	p.settings = filepath.Join(s.dir, p.name+".jsonc")
	must(os.WriteFile(p.settings, fmt.Appendf(nil, `{
  "name": %q, "data_centre": "gmunden", "ip": %q, "peer_port": %d, "admin_listen": "%s:%d", "endpoint": "%s:%d", "log_level": "info"
}
`, p.name, ip, s.port+4, ip, s.port+3, ip, s.port), 0o600))
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	p.start()
}

func (p *process) start() {
	log, err := os.Create(filepath.Join(p.site.dir, p.name+".log"))
	must(err)
	defer log.Close()
	command := exec.Command("target/lentilstand", p.role, "--platform", "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	must(command.Start())
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	p.site.log("%s starts, process %d", p.name, command.Process.Pid)
}

// waitReady waits until the entry says that it is ready and the directory lists it.
func (p *process) waitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + p.ready + "/lentilstand/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				p.site.log("%s is ready", p.name)
				return
			}
		}
	}
	must(fmt.Errorf("%s isn't ready", p.name))
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// resolve asks the entry's directory for the addresses of the entries.
func (p *process) resolve() (addresses []string, ttl time.Duration) {
	response, err := http.Get("http://" + p.directory + "/lentilstand/resolve?name=" + host + "&region=at-upper&zone=gmunden")
	must(err)
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	must(json.NewDecoder(response.Body).Decode(&answer))
	return answer.Addresses, time.Duration(answer.TTLS * float64(time.Second))
}

// call is a consumer's request and what came of it.
type call struct {
	id     string
	sentAt time.Time
	status int
	header http.Header
	body   []byte
	// complete reports whether the whole answer has arrived.
	complete bool
	endedAt  time.Time
	err      error
}

// newID returns the id of a new request.
func (s *site) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), s.requests)
}

// dial opens a consumer's channel.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// send sends a request on a channel and reads its answer.
func (s *site) send(conn net.Conn, method, path, key, headers string, body []byte, timeout time.Duration) *call {
	c := &call{id: s.newID()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nLentilstand-Request-Id: %s\r\nLentilstand-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		method, path, host, c.id, timeout.Milliseconds(), key, headers, len(body))
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, c.err = conn.Write(append([]byte(head), body...)); c.err == nil {
		c.sentAt = time.Now()
		c.read(conn, method)
	}
	c.endedAt = time.Now()
	return c
}

func (c *call) read(conn net.Conn, method string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		c.err = err
		return
	}
	c.status, c.header = response.StatusCode, response.Header
	c.body, c.err = io.ReadAll(response.Body)
	c.complete = c.err == nil
}

func (c *call) outcome() string {
	switch {
	case c.complete:
		return fmt.Sprintf("%d, complete, %d bytes", c.status, len(c.body))
	case c.status != 0:
		return fmt.Sprintf("%d, then the channel ends in the middle of the answer, after %d bytes and %d events: %v",
			c.status, len(c.body), strings.Count(string(c.body), "\n\n"), c.err)
	default:
		return fmt.Sprintf("no answer: %v", c.err)
	}
}
