// Package procs starts the daemons and the stand-ins as separate processes, for
// tests of failures that only separate processes have: kills, stops by signal
// and connections that break.
package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/entry"
)

// buildTimeout bounds the building of the program.
const buildTimeout = 3 * time.Minute

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

// Build builds the program once for all tests of the process and returns its
// path.
func Build(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "lentilstand")
		if err != nil {
			buildErr = err
			return
		}
		binary = filepath.Join(dir, "lentilstand")
		ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
		defer cancel()
		output, err := exec.CommandContext(ctx, "go", "build", "-o", binary,
			"github.com/lentilstand/lentilstand/cmd/lentilstand").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, output)
		}
	})
	require.NoError(t, buildErr)
	return binary
}

// RemoveBinary removes the built program, at the end of a test binary.
func RemoveBinary() {
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
}

// Process is a started process.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	log     *lockedBuffer
	done    chan struct{}
	err     error
}

// lockedBuffer collects a process's output.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Start starts the program with arguments. It is killed when the test ends.
func Start(t testing.TB, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, command: exec.Command(Build(t), args...), log: &lockedBuffer{}, done: make(chan struct{})}
	p.command.Stdout = p.log
	p.command.Stderr = p.log
	require.NoError(t, p.command.Start())
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(p.Kill)
	return p
}

// Log returns what the process has written.
func (p *Process) Log() string { return p.log.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(signal))
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Wait waits for the process's end and returns its exit code.
func (p *Process) Wait(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode()
	case <-time.After(timeout):
		require.Fail(p.t, "the process doesn't end", p.Log())
		return -1
	}
}

// The address numbers that FreeAddress gives out.
const (
	loopback     = 127
	firstNetwork = 100
	networks     = 100
	subnetworks  = 250
	hostsPerPort = 250
	firstPort    = 7000
	maxAddresses = 10_000
)

// given counts the addresses that this process has given out.
var given atomic.Int64

// FreeAddress returns a loopback address for a process to listen on. It is of
// this test process alone, and no outgoing connection can take it before the
// process listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	for range maxAddresses {
		n := int(given.Add(1))
		address := fmt.Sprintf("%d.%d.%d.%d:%d", loopback, firstNetwork+pid%networks,
			pid/networks%subnetworks, 1+n%hostsPerPort, firstPort+n/hostsPerPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		return address
	}
	require.Fail(t, "no address is free")
	return ""
}

// Fleet is a set of processes with one configuration.
type Fleet struct {
	t        testing.TB
	dir      string
	KV       string
	Hosts    string
	Operator string
	Entries  map[string]*Entry
	Agents   map[string]*Agent
	objects  []string
}

// Entry is an entry's process and addresses.
type Entry struct {
	*Process
	Address  string
	Peer     string
	Admin    string
	settings string
}

// Agent is the process of an agent, and that of its endpoint.
type Agent struct {
	*Process
	Endpoint        *Process
	EndpointAddress string
	Address         string
	Admin           string
	settings        string
}

// NewFleet starts the key-value service and the host list.
func NewFleet(t testing.TB) *Fleet {
	t.Helper()
	f := &Fleet{
		t:       t,
		dir:     t.TempDir(),
		KV:      FreeAddress(t),
		Hosts:   FreeAddress(t),
		Entries: make(map[string]*Entry),
		Agents:  make(map[string]*Agent),
	}
	Start(t, "stand-in", "--listen", f.KV, "key-value")
	Start(t, "stand-in", "--listen", f.Hosts, "host-list", "--lag-ms", "200")
	f.waitHTTP(f.KV, "/counts")
	f.waitHTTP(f.Hosts, "/hosts")
	return f
}

func (f *Fleet) write(name, text string) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// waitPoll is how often something is looked for that should come soon, and
// waitBound how long.
const (
	waitPoll  = 20 * time.Millisecond
	waitBound = 20 * time.Second
)

// Eventually waits until ok returns true.
func (f *Fleet) Eventually(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitBound, waitPoll, what)
}

func (f *Fleet) waitHTTP(address, path string) {
	f.t.Helper()
	f.Eventually("http://"+address+path, func() bool {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// AddEngine starts a model engine and its agent.
func (f *Fleet) AddEngine(name, service, dataCentre string, args ...string) {
	f.t.Helper()
	f.addEndpoint(name, service, "model", dataCentre, append([]string{"engine"}, args...))
}

// AddPlain starts a plain service and its agent.
func (f *Fleet) AddPlain(name, service, dataCentre string, args ...string) {
	f.t.Helper()
	f.addEndpoint(name, service, "plain", dataCentre, append([]string{"plain"}, args...))
}

func (f *Fleet) addEndpoint(name, service, kind, dataCentre string, standIn []string) {
	f.t.Helper()
	a := &Agent{EndpointAddress: FreeAddress(f.t), Address: FreeAddress(f.t), Admin: FreeAddress(f.t)}
	a.Endpoint = Start(f.t, append([]string{"stand-in", "--listen", a.EndpointAddress}, standIn...)...)
	a.settings = f.write("agent-"+name+".jsonc", fmt.Sprintf(
		`{"name": %q, "service": %q, "kind": %q, "listen": %q, "admin_listen": %q, "endpoint": %q, "capacity": 8, "stop_bound_s": 10}`,
		name, service, kind, a.Address, a.Admin, a.EndpointAddress))
	a.Process = Start(f.t, "agent", "--settings", a.settings)
	f.Agents[name] = a
	f.objects = append(f.objects, fmt.Sprintf(
		`{"name": %q, "service": %q, "data_centre": %q, "address": %q, "host": %q}`,
		name, service, dataCentre, a.Address, "host-"+name))
}

// RestartAgent starts an agent again after its end.
func (f *Fleet) RestartAgent(name string) {
	f.t.Helper()
	f.Agents[name].Process = Start(f.t, "agent", "--settings", f.Agents[name].settings)
}

// Endpoints returns the endpoints' part of the configuration.
func (f *Fleet) Endpoints() string {
	var text bytes.Buffer
	for i, object := range f.objects {
		if i > 0 {
			text.WriteString(", ")
		}
		text.WriteString(object)
	}
	return text.String()
}

// Begin writes version 1 of the configuration.
func (f *Fleet) Begin(configuration string) {
	f.t.Helper()
	f.Operator = f.write("operator.jsonc", fmt.Sprintf(`{"key_value": %q, "entries": ["127.0.0.1:1"]}`, f.KV))
	path := f.write("configuration.jsonc", configuration)
	p := Start(f.t, "patch", "--settings", f.Operator, "init", path)
	require.Zero(f.t, p.Wait(waitBound), p.Log())
}

// AddEntry starts an entry.
func (f *Fleet) AddEntry(name, dataCentre string) *Entry {
	f.t.Helper()
	e := &Entry{Address: FreeAddress(f.t), Peer: FreeAddress(f.t), Admin: FreeAddress(f.t)}
	e.settings = f.write("entry-"+name+".jsonc", fmt.Sprintf(
		`{"name": %q, "data_centre": %q, "listen": %q, "peer_listen": %q, "admin_listen": %q, "key_value": %q, "host_list": %q, "address_ttl_s": 1, "stop_bound_s": 15}`,
		name, dataCentre, e.Address, e.Peer, e.Admin, f.KV, f.Hosts))
	e.Process = Start(f.t, "entry", "--settings", e.settings)
	f.Entries[name] = e
	return e
}

// RestartEntry starts an entry again after its end.
func (f *Fleet) RestartEntry(name string) {
	f.t.Helper()
	f.Entries[name].Process = Start(f.t, "entry", "--settings", f.Entries[name].settings)
}

// WaitReady waits until every entry takes requests, holds every entry as a
// voter and can use every endpoint. If it waits in vain it shows the logs.
func (f *Fleet) WaitReady() {
	f.t.Helper()
	ready := false
	defer func() {
		if !ready {
			f.showLogs()
		}
	}()
	f.Eventually("the fleet to be ready", f.isReady)
	ready = true
}

func (f *Fleet) isReady() bool {
	for _, e := range f.Entries {
		status, ok := f.Status(e)
		if !ok || status.ServeState != "fresh" || len(status.Voters) != len(f.Entries) || len(status.Endpoints) != len(f.Agents) {
			return false
		}
		for _, endpoint := range status.Endpoints {
			if !endpoint.Usable {
				return false
			}
		}
	}
	return true
}

// showLogs prints what the daemons have written.
func (f *Fleet) showLogs() {
	for name, e := range f.Entries {
		f.t.Logf("%s: %s", name, e.Log())
	}
	for name, a := range f.Agents {
		f.t.Logf("%s: %s", name, a.Log())
	}
}

// Status returns an entry's state.
func (f *Fleet) Status(e *Entry) (entry.Status, bool) {
	var status entry.Status
	response, err := http.Get("http://" + e.Admin + "/status")
	if err != nil {
		return status, false
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// Submit submits a patch at an entry.
func (f *Fleet) Submit(e *Entry, base uint64, patch string) entry.PatchResult {
	f.t.Helper()
	body := f.Post(e.Admin, fmt.Sprintf("/patches?base=%d", base), patch)
	var submission entry.PatchResult
	require.NoError(f.t, json.Unmarshal(body, &submission), string(body))
	return submission
}

// Post sends a body and returns the answer's.
func (f *Fleet) Post(address, path, body string) []byte {
	f.t.Helper()
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
	require.NoError(f.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return answer
}

// Get returns the body at a path.
func (f *Fleet) Get(address, path string) []byte {
	f.t.Helper()
	response, err := http.Get("http://" + address + path)
	require.NoError(f.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return answer
}
