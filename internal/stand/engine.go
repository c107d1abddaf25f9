package stand

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// EngineSpec configures an Engine.
type EngineSpec struct {
	// Capacity is the number of concurrent requests that a warm engine supports.
	Capacity int
	// ColdCapacity is the number of concurrent requests that the engine supports
	// until it is warm.
	ColdCapacity int
	// WarmAfter is the number of completed requests that make the engine warm.
	WarmAfter int
	// Step is the duration of one step, which generates one token for each request.
	Step time.Duration
	// Prefill is the delay before the first step of a request whose prompt isn't in
	// the prefix cache.
	Prefill time.Duration
	// CacheEntries is the maximum number of entries in the prefix cache.
	CacheEntries int
	// ReportLag is the age of the running count in GET /load and the delay before a
	// cache event appears in GET /cache_events.
	ReportLag time.Duration
	// RestartTime is how long the engine is unavailable after a crash.
	RestartTime time.Duration
	// ChecksFence makes the engine reject orders with a stale fencing token.
	ChecksFence bool
}

// DefaultEngineSpec returns the configuration of a small engine.
func DefaultEngineSpec() EngineSpec {
	return EngineSpec{
		Capacity:     8,
		ColdCapacity: 2,
		WarmAfter:    8,
		Step:         10 * time.Millisecond,
		Prefill:      30 * time.Millisecond,
		CacheEntries: 128,
		ReportLag:    100 * time.Millisecond,
		RestartTime:  300 * time.Millisecond,
	}
}

// EngineFaults are the faults injected into an Engine by POST /faults.
type EngineFaults struct {
	// Crash makes the engine crash immediately.
	Crash bool `json:"fall,omitempty"`
	// Cold makes the engine cold and empties its cache, in the same epoch.
	Cold bool `json:"cold,omitempty"`
	// Restart makes the engine cold, empties its cache and starts a new epoch,
	// unless requests are running.
	Restart bool `json:"restart,omitempty"`
	// PauseMS adds a pause before each step.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// CrashOn makes the engine crash on prompts that contain this text.
	CrashOn string `json:"crash_on,omitempty"`
	// CrashDelayMS is the time from the arrival of such a prompt to the crash. The request may
	// have been cancelled by then.
	CrashDelayMS int64 `json:"crash_delay_ms,omitempty"`
	// Leaving makes the engine report that it is draining.
	Leaving bool `json:"leaving,omitempty"`
}

// EngineLoad is the response to GET /load.
type EngineLoad struct {
	Epoch    string `json:"epoch"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Capacity int    `json:"capacity"`
	Running  int    `json:"running"`
	Version  string `json:"model_version"`
}

// EngineCounts are the counters of an Engine, which tests read by GET /counts.
type EngineCounts struct {
	Crashes   int `json:"falls"`
	Admitted  int `json:"admitted"`
	CacheHits int `json:"cache_hits"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Peak      int `json:"peak"`
	Running   int `json:"running"`
}

// sequence is a request in the engine's batch.
type sequence struct {
	id       string
	priority int
	// startsAt is when the prefill ends.
	startsAt time.Time
	// remaining is the number of tokens still to generate.
	remaining int
	// tokens receives one value for each generated token, and is closed after the
	// last one.
	tokens chan struct{}
	// failed is closed if the request is cancelled or the engine crashes.
	failed chan struct{}
}

// cacheEvent is one change of the prefix cache, as listed by GET /cache_events.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Prefix   string `json:"prefix"`
	at       time.Time
}

// Engine is a stand-in for a model engine with continuous batching. It crashes if
// it gets more requests than its current capacity. Use NewEngine.
type Engine struct {
	spec EngineSpec
	mux  *http.ServeMux
	stop chan struct{}
	done chan struct{}

	mu                 sync.Mutex
	epoch              string
	downUntil          time.Time
	batch              []*sequence
	completedSinceCold int
	faults             EngineFaults
	counts             EngineCounts
	cache              []string
	events             []cacheEvent
	lastEventSequence  uint64
	history            []timedLoad
	highestFence       uint64
	orders             []string
}

type timedLoad struct {
	at   time.Time
	load EngineLoad
}

// EngineVersion is the model version that every Engine serves.
const EngineVersion = "v1"

// NewEngine returns a running engine. The caller must Close it.
func NewEngine(spec EngineSpec) *Engine {
	e := &Engine{
		spec:  spec,
		mux:   http.NewServeMux(),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
		epoch: uuid.NewString(),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache_events", e.cacheEvents)
	e.mux.HandleFunc("POST /cancel", e.cancel)
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.HandleFunc("POST /faults", e.setFaults)
	e.mux.HandleFunc("GET /counts", e.getCounts)
	go e.run()
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// run executes steps until the engine is closed.
func (e *Engine) run() {
	defer close(e.done)
	for {
		e.mu.Lock()
		pause := e.spec.Step + time.Duration(e.faults.PauseMS)*time.Millisecond
		e.mu.Unlock()
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
		}
		e.step()
	}
}

// step generates one token for each sequence whose prefill has ended and removes
// completed sequences from the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.recordLoad(now)
	kept := e.batch[:0]
	for _, seq := range e.batch {
		if now.Before(seq.startsAt) {
			kept = append(kept, seq)
			continue
		}
		select {
		case seq.tokens <- struct{}{}:
			seq.remaining--
		default:
			// The token buffer is full: a slow reader keeps its place in the batch.
		}
		if seq.remaining > 0 {
			kept = append(kept, seq)
			continue
		}
		close(seq.tokens)
		e.completedSinceCold++
		e.counts.Completed++
	}
	e.batch = kept
}

// recordLoad appends the current load to the history and drops entries that are
// no longer needed for a report that is ReportLag old.
func (e *Engine) recordLoad(now time.Time) {
	e.history = append(e.history, timedLoad{at: now, load: e.currentLoad(now)})
	old := slices.IndexFunc(e.history, func(h timedLoad) bool { return now.Sub(h.at) <= e.spec.ReportLag })
	if old > 1 {
		e.history = slices.Delete(e.history, 0, old-1)
	}
}

func (e *Engine) currentLoad(now time.Time) EngineLoad {
	return EngineLoad{
		Epoch:    e.epoch,
		Ready:    now.After(e.downUntil),
		Leaving:  e.faults.Leaving,
		Capacity: e.spec.Capacity,
		Running:  len(e.batch),
		Version:  EngineVersion,
	}
}

// currentCapacity returns the number of concurrent requests that the engine
// supports now, which depends on whether it is warm.
func (e *Engine) currentCapacity() int {
	if e.completedSinceCold < e.spec.WarmAfter {
		return e.spec.ColdCapacity
	}
	return e.spec.Capacity
}

// crash aborts all requests without a response, empties the cache, starts a new
// epoch and makes the engine cold and unavailable for RestartTime.
func (e *Engine) crash() {
	for _, seq := range e.batch {
		close(seq.failed)
	}
	e.batch = nil
	e.epoch = uuid.NewString()
	e.completedSinceCold = 0
	e.cache = nil
	e.counts.Crashes++
	e.downUntil = time.Now().Add(e.spec.RestartTime)
}

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (c chatRequest) prompt() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

const defaultMaxTokens = 16

// Header fields of the engine protocol.
const (
	// HeaderRequest is the request ID, used to cancel and resume.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is the request's priority; higher values come first.
	HeaderPriority = "X-Priority"
	// HeaderResume is the byte offset of the response body at which to resume. The
	// response repeats it.
	HeaderResume = "X-Resume-Offset"
	// HeaderVersion is the version of the model that generated the response.
	HeaderVersion = "X-Model-Version"
)

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if !ReadJSON(w, r, &req) {
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	if e.isDeadly(req) {
		e.mu.Lock()
		delay := time.Duration(e.faults.CrashDelayMS) * time.Millisecond
		e.mu.Unlock()
		time.Sleep(delay)
	}
	seq, crashed := e.admit(req, r.Header.Get(HeaderRequest), priority)
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if seq == nil {
		http.Error(w, "the engine is down", http.StatusServiceUnavailable)
		return
	}
	defer e.removeSequence(seq)
	offset, _ := strconv.Atoi(r.Header.Get(HeaderResume))
	w.Header().Set(HeaderVersion, EngineVersion)
	if req.Stream {
		e.streamCompletion(w, r, req, seq, offset)
		return
	}
	e.writeCompletion(w, r, req, seq)
}

// isDeadly reports whether the engine crashes on the prompt of a request.
func (e *Engine) isDeadly(req chatRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CrashOn != "" && strings.Contains(req.prompt(), e.faults.CrashOn)
}

// admit adds a request to the batch. It returns nil if the engine is down, and
// reports whether the engine crashed on the prompt. A batch larger than the
// current capacity crashes the engine.
func (e *Engine) admit(req chatRequest, id string, priority int) (seq *sequence, crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.downUntil) {
		return nil, false
	}
	prompt := req.prompt()
	if e.faults.CrashOn != "" && strings.Contains(prompt, e.faults.CrashOn) {
		e.crash()
		return nil, true
	}
	seq = &sequence{
		id:        id,
		priority:  priority,
		startsAt:  now,
		remaining: req.MaxTokens,
		tokens:    make(chan struct{}, 16),
		failed:    make(chan struct{}),
	}
	if !e.lookupPrefix(prompt, now) {
		seq.startsAt = now.Add(e.spec.Prefill)
	}
	e.counts.Admitted++
	e.batch = append(e.batch, seq)
	slices.SortStableFunc(e.batch, func(a, b *sequence) int { return cmp.Compare(b.priority, a.priority) })
	e.counts.Peak = max(e.counts.Peak, len(e.batch))
	if len(e.batch) > e.currentCapacity() {
		e.crash()
	}
	return seq, false
}

// prefixBytes is the length of the prompt prefix that identifies a cache entry.
const prefixBytes = 64

// lookupPrefix reports whether the prompt's prefix is in the cache, and inserts it
// or marks it as most recently used.
func (e *Engine) lookupPrefix(prompt string, now time.Time) bool {
	prefix := strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]), 16)
	at := slices.Index(e.cache, prefix)
	if at >= 0 {
		e.cache = append(slices.Delete(e.cache, at, at+1), prefix)
		e.counts.CacheHits++
		return true
	}
	e.cache = append(e.cache, prefix)
	e.publish("stored", prefix, now)
	if len(e.cache) > e.spec.CacheEntries {
		e.publish("evicted", e.cache[0], now)
		e.cache = e.cache[1:]
	}
	return false
}

// lostEventInterval is the interval of sequence numbers at which a cache event is
// lost: an event whose number is a multiple of it is never published.
const lostEventInterval = 7

func (e *Engine) publish(op, prefix string, now time.Time) {
	e.lastEventSequence++
	if e.lastEventSequence%lostEventInterval != 0 {
		e.events = append(e.events, cacheEvent{Sequence: e.lastEventSequence, Op: op, Prefix: prefix, at: now})
	}
}

// removeSequence removes a request from the batch if it is still there, and counts
// it as cancelled.
func (e *Engine) removeSequence(seq *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.batch, seq); at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
		e.counts.Cancelled++
	}
}
