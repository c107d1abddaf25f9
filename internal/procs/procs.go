// Package procs starts the daemons and the stand-ins as separate processes, for
// tests of failures that can't be reproduced within one process: kills, stops by
// signal and broken connections.
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

// buildTimeout limits the compilation of the program.
const buildTimeout = 3 * time.Minute

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

// Build compiles the program once per test process and returns the path of the
// binary.
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

// RemoveBinary deletes the program that Build compiled. A test process calls it after
// its tests.
func RemoveBinary() {
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
}

// Process is a running instance of the program and its output.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	log     *syncBuffer
	done    chan struct{}
	err     error
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Start runs the program with arguments. It is killed when the test ends.
func Start(t testing.TB, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, command: exec.Command(Build(t), args...), log: &syncBuffer{}, done: make(chan struct{})}
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

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Log returns the standard output and standard error of the process so far.
func (p *Process) Log() string { return p.log.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(signal))
}

// Kill sends SIGKILL to the process and waits for it to exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Wait waits for the process to exit and returns its exit code.
func (p *Process) Wait(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode()
	case <-time.After(timeout):
		require.Fail(p.t, "the process did not exit in time", p.Log())
		return -1
	}
}

// The components of the addresses that FreeAddress returns.
const (
	loopback           = 127
	networkBase        = 100
	networkCount       = 100
	subnetCount        = 250
	addressesPerPort   = 250
	firstPort          = 7000
	maxAddressAttempts = 10_000
)

// allocated counts the addresses that FreeAddress has tried in this process.
var allocated atomic.Int64

// FreeAddress returns a loopback address and port for a process to listen on. The
// network is derived from the process ID, so that other test processes don't use
// it, and no outgoing connection can take the port before the process listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	for range maxAddressAttempts {
		n := int(allocated.Add(1))
		address := fmt.Sprintf("%d.%d.%d.%d:%d", loopback, networkBase+pid%networkCount,
			pid/networkCount%subnetCount, 1+n%addressesPerPort, firstPort+n/addressesPerPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		return address
	}
	require.Fail(t, "no free loopback address found")
	return ""
}

// Fleet is a set of processes that share one configuration.
type Fleet struct {
	t                testing.TB
	dir              string
	KeyValueAddress  string
	HostListAddress  string
	OperatorSettings string
	// Limits holds settings of memory and descriptors that all daemons get, as fields of JSON
	// that end with a comma. It may be empty.
	Limits          string
	Entries         map[string]*Entry
	Agents          map[string]*Agent
	endpointConfigs []string
}

// Entry is the process of an entry and the addresses it listens on.
type Entry struct {
	*Process
	Address      string
	PeerAddress  string
	AdminAddress string
	settings     string
}

// Agent is the process of an agent, with the process of its endpoint and the
// addresses of both.
type Agent struct {
	*Process
	Endpoint        *Process
	EndpointAddress string
	Address         string
	AdminAddress    string
	settings        string
}

// NewFleet starts a fleet that consists of the stand-ins for the key-value service
// and the host list.
func NewFleet(t testing.TB) *Fleet {
	t.Helper()
	f := &Fleet{
		t:               t,
		dir:             t.TempDir(),
		KeyValueAddress: FreeAddress(t),
		HostListAddress: FreeAddress(t),
		Entries:         make(map[string]*Entry),
		Agents:          make(map[string]*Agent),
	}
	Start(t, "stand-in", "--listen", f.KeyValueAddress, "key-value")
	Start(t, "stand-in", "--listen", f.HostListAddress, "host-list", "--lag-ms", "200")
	f.waitHTTP(f.KeyValueAddress, "/counts")
	f.waitHTTP(f.HostListAddress, "/hosts")
	return f
}

func (f *Fleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// pollInterval is the interval between checks of an expected condition, and
// waitTimeout limits the wait for it.
const (
	pollInterval = 20 * time.Millisecond
	waitTimeout  = 20 * time.Second
)

// Eventually waits until condition returns true, and fails the test on a timeout.
func (f *Fleet) Eventually(description string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitTimeout, pollInterval, description)
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

// AddEngine starts a model engine and its agent. The arguments are flags of the
// engine.
func (f *Fleet) AddEngine(name, service, dataCentre string, args ...string) {
	f.t.Helper()
	f.addEndpoint(name, service, "model", dataCentre, append([]string{"engine"}, args...))
}

// AddPlain starts a replica of a plain service and its agent. The arguments are
// flags of the replica.
func (f *Fleet) AddPlain(name, service, dataCentre string, args ...string) {
	f.t.Helper()
	f.addEndpoint(name, service, "plain", dataCentre, append([]string{"plain"}, args...))
}

func (f *Fleet) addEndpoint(name, service, kind, dataCentre string, standIn []string) {
	f.t.Helper()
	a := &Agent{EndpointAddress: FreeAddress(f.t), Address: FreeAddress(f.t), AdminAddress: FreeAddress(f.t)}
	a.Endpoint = Start(f.t, append([]string{"stand-in", "--listen", a.EndpointAddress}, standIn...)...)
	a.settings = f.writeFile("agent-"+name+".jsonc", fmt.Sprintf(
		`{%s"name": %q, "service": %q, "kind": %q, "listen": %q, "admin_listen": %q, "endpoint": %q, "capacity": 8, "stop_bound_s": 10}`,
		f.Limits, name, service, kind, a.Address, a.AdminAddress, a.EndpointAddress))
	a.Process = Start(f.t, "agent", "--settings", a.settings)
	f.Agents[name] = a
	f.endpointConfigs = append(f.endpointConfigs, fmt.Sprintf(
		`{"name": %q, "service": %q, "data_centre": %q, "address": %q, "host": %q}`,
		name, service, dataCentre, a.Address, "host-"+name))
}

// RestartAgent starts an agent again after it has exited.
func (f *Fleet) RestartAgent(name string) {
	f.t.Helper()
	f.Agents[name].Process = Start(f.t, "agent", "--settings", f.Agents[name].settings)
}

// EndpointConfigs returns the elements of the configuration's array of endpoints.
func (f *Fleet) EndpointConfigs() string {
	var text bytes.Buffer
	for i, object := range f.endpointConfigs {
		if i > 0 {
			text.WriteString(", ")
		}
		text.WriteString(object)
	}
	return text.String()
}

// InitConfig stores version 1 of the configuration.
func (f *Fleet) InitConfig(configuration string) {
	f.t.Helper()
	f.OperatorSettings = f.writeFile("operator.jsonc", fmt.Sprintf(`{"key_value": %q, "entries": ["127.0.0.1:1"]}`, f.KeyValueAddress))
	path := f.writeFile("configuration.jsonc", configuration)
	p := Start(f.t, "patch", "--settings", f.OperatorSettings, "init", path)
	require.Zero(f.t, p.Wait(waitTimeout), p.Log())
}

// AddEntry starts an entry in a data centre.
func (f *Fleet) AddEntry(name, dataCentre string) *Entry {
	f.t.Helper()
	e := &Entry{Address: FreeAddress(f.t), PeerAddress: FreeAddress(f.t), AdminAddress: FreeAddress(f.t)}
	e.settings = f.writeFile("entry-"+name+".jsonc", fmt.Sprintf(
		`{%s"name": %q, "data_centre": %q, "listen": %q, "peer_listen": %q, "admin_listen": %q, "key_value": %q, "host_list": %q, "address_ttl_s": 1, "stop_bound_s": 15}`,
		f.Limits, name, dataCentre, e.Address, e.PeerAddress, e.AdminAddress, f.KeyValueAddress, f.HostListAddress))
	e.Process = Start(f.t, "entry", "--settings", e.settings)
	f.Entries[name] = e
	return e
}

// RestartEntry starts an entry again after it has exited.
func (f *Fleet) RestartEntry(name string) {
	f.t.Helper()
	f.Entries[name].Process = Start(f.t, "entry", "--settings", f.Entries[name].settings)
}

// WaitReady waits until every entry serves requests, knows every entry as a voter
// and can use every endpoint. On a timeout it prints the output of all daemons.
func (f *Fleet) WaitReady() {
	f.t.Helper()
	ready := false
	defer func() {
		if !ready {
			f.dumpLogs()
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

// dumpLogs prints the output of all daemons.
func (f *Fleet) dumpLogs() {
	for name, e := range f.Entries {
		f.t.Logf("%s: %s", name, e.Log())
	}
	for name, a := range f.Agents {
		f.t.Logf("%s: %s", name, a.Log())
	}
}

// Status returns the status of an entry, or false if it can't be read.
func (f *Fleet) Status(e *Entry) (entry.Status, bool) {
	var status entry.Status
	response, err := http.Get("http://" + e.AdminAddress + "/status")
	if err != nil {
		return status, false
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// Submit submits a patch to an entry and returns the result.
func (f *Fleet) Submit(e *Entry, base uint64, patch string) entry.PatchResult {
	f.t.Helper()
	body := f.Post(e.AdminAddress, fmt.Sprintf("/patches?base=%d", base), patch)
	var result entry.PatchResult
	require.NoError(f.t, json.Unmarshal(body, &result), string(body))
	return result
}

// Post sends a POST request and returns the body of the response.
func (f *Fleet) Post(address, path, body string) []byte {
	f.t.Helper()
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
	require.NoError(f.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return answer
}

// Get sends a GET request and returns the body of the response.
func (f *Fleet) Get(address, path string) []byte {
	f.t.Helper()
	response, err := http.Get("http://" + address + path)
	require.NoError(f.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return answer
}
