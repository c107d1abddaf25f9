package stand

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// PlainSpec sets how a Plain behaves.
type PlainSpec struct {
	// Capacity is how many requests the service bears at a time.
	Capacity int
	// ProcessingTime is how long a request takes.
	ProcessingTime time.Duration
	// ExecutionLog takes down each request that changes something. Replicas of one
	// service share it, as they would share their database.
	ExecutionLog *ExecutionLog
}

// PlainFaults are the orders to misbehave that a Plain takes by POST /faults.
type PlainFaults struct {
	// SlowMS delays each request before it runs.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// DropResponses runs requests and closes the connection instead of answering.
	DropResponses bool `json:"lose_answers,omitempty"`
	// Down answers each request with 503 without running it.
	Down bool `json:"down,omitempty"`
	// Leaving makes the service report that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Execution is one run of a request that changed something.
type Execution struct {
	Replica string `json:"replica"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// ExecutionLog is a list of executions. The zero value is empty.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

func (l *ExecutionLog) add(execution Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
	return len(l.executions)
}

// Executions returns all executions in order.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Plain is a stand-in of a plain service, such as a booking application. It
// doesn't look for duplicates: each request that reaches it runs. Use NewPlain.
type Plain struct {
	spec  PlainSpec
	mux   *http.ServeMux
	epoch string

	mu      sync.Mutex
	faults  PlainFaults
	running int
}

// NewPlain returns a plain service.
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

// ServeHTTP answers one request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the orders to misbehave.
func (p *Plain) SetFaults(faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Plain) current() PlainFaults {
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

func (p *Plain) count(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += change
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.count(1)
	defer p.count(-1)
	faults := p.current()
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
