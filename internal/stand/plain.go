package stand

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// PlainSpec configures a Plain.
type PlainSpec struct {
	// Capacity is the number of concurrent requests that the service reports as its
	// capacity.
	Capacity int
	// ProcessingTime is the duration of a request.
	ProcessingTime time.Duration
	// ExecutionLog records each request that isn't a GET. The replicas of a service
	// share it, as they would share a database.
	ExecutionLog *ExecutionLog
}

// PlainFaults are the faults injected into a Plain by POST /faults.
type PlainFaults struct {
	// SlowMS delays each request before it runs.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// DropResponses executes requests and closes the connection instead of
	// responding.
	DropResponses bool `json:"lose_answers,omitempty"`
	// Down responds to each request with status 503 without executing it.
	Down bool `json:"down,omitempty"`
	// Leaving makes the service report that it is draining.
	Leaving bool `json:"leaving,omitempty"`
}

// Execution records that a replica executed a request that isn't a GET.
type Execution struct {
	Replica string `json:"replica"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// ExecutionLog is a list of executions. The zero value is an empty log.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// add appends an execution and returns its number, counted from one.
func (l *ExecutionLog) add(execution Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
	return len(l.executions)
}

// Executions returns a copy of the log, oldest first.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Plain is a stand-in for a plain service, such as a booking application. It
// doesn't deduplicate: it executes each request that reaches it. Use NewPlain.
type Plain struct {
	spec  PlainSpec
	mux   *http.ServeMux
	epoch string

	mu      sync.Mutex
	faults  PlainFaults
	running int
}

// NewPlain returns a plain service with its own execution log if spec has none.
func NewPlain(spec PlainSpec) *Plain {
	if spec.ExecutionLog == nil {
		spec.ExecutionLog = &ExecutionLog{}
	}
	p := &Plain{spec: spec, mux: http.NewServeMux(), epoch: uuid.NewString()}
	p.mux.HandleFunc("GET /load", p.load)
	p.mux.HandleFunc("POST /faults", p.setFaults)
	p.mux.HandleFunc("GET /executions", p.executions)
	p.mux.HandleFunc("/", p.serve)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (p *Plain) SetFaults(faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Plain) currentFaults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Plain) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlainFaults
	if ReadJSON(w, r, &faults) {
		p.SetFaults(faults)
		WriteJSON(w, faults)
	}
}

func (p *Plain) executions(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, p.spec.ExecutionLog.Executions())
}

func (p *Plain) load(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	WriteJSON(w, EngineLoad{
		Epoch:    p.epoch,
		Ready:    !p.faults.Down,
		Leaving:  p.faults.Leaving,
		Capacity: p.spec.Capacity,
		Running:  p.running,
	})
}

func (p *Plain) addRunning(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += change
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.addRunning(1)
	defer p.addRunning(-1)
	faults := p.currentFaults()
	if faults.Down {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(p.spec.ProcessingTime + time.Duration(faults.SlowMS)*time.Millisecond)
	number := 0
	if r.Method != http.MethodGet {
		execution := Execution{Replica: p.epoch, Method: r.Method, Path: r.URL.Path, Body: string(body)}
		number = p.spec.ExecutionLog.add(execution)
	}
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Replica", p.epoch)
	w.WriteHeader(status)
	WriteJSON(w, map[string]any{"number": number, "path": r.URL.Path, "echo": string(body)})
}
