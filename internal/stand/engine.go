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

// EngineSpec sets how an Engine behaves.
type EngineSpec struct {
	// Capacity is how many requests the warm engine bears at a time.
	Capacity int
	// ColdCapacity is how many it bears before it has completed WarmAfter.
	ColdCapacity int
	// WarmAfter is how many completions make the engine warm.
	WarmAfter int
	// Step is the time of one step, which gives each request one token.
	Step time.Duration
	// Prefill is the time until the first step of a request whose prompt is not
	// in the prefix cache.
	Prefill time.Duration
	// CacheEntries bounds the prefix cache.
	CacheEntries int
	// ReportLag is how old the load is that GET /load reports.
	ReportLag time.Duration
	// RestartTime is how long the engine is away after it fell over.
	RestartTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

// DefaultEngineSpec returns the behaviour of a small engine.
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

// EngineFaults are the orders to misbehave that an Engine takes by POST /faults.
type EngineFaults struct {
	// Crash makes the engine fall over now.
	Crash bool `json:"fall,omitempty"`
	// Cold makes the engine cold without a new epoch.
	Cold bool `json:"cold,omitempty"`
	// Restart makes the engine cold with a new epoch, if it is idle.
	Restart bool `json:"restart,omitempty"`
	// PauseMS adds a pause before each step.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// CrashOn makes the engine fall over on prompts that contain this text.
	CrashOn string `json:"crash_on,omitempty"`
	// Leaving makes the engine report that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// EngineLoad is what GET /load reports.
type EngineLoad struct {
	Epoch    string `json:"epoch"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Capacity int    `json:"capacity"`
	Running  int    `json:"running"`
	Version  string `json:"model_version"`
}

// EngineCounts are what tests ask of an Engine by GET /counts.
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
	starts   time.Time
	left     int
	tokens   chan struct{}
	failed   chan struct{}
}

// cacheEvent is one change of the prefix cache, as GET /cache_events lists it.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Prefix   string `json:"prefix"`
	at       time.Time
}

// Engine is a stand-in of a model engine that batches continuously. Use
// NewEngine.
type Engine struct {
	spec EngineSpec
	mux  *http.ServeMux
	stop chan struct{}
	done chan struct{}

	mu        sync.Mutex
	epoch     string
	downUntil time.Time
	batch     []*sequence
	since     int
	faults    EngineFaults
	counts    EngineCounts
	cache     []string
	events    []cacheEvent
	eventSeq  uint64
	history   []timedLoad
	fence     uint64
	orders    []string
}

type timedLoad struct {
	at   time.Time
	load EngineLoad
}

// EngineVersion is the model version that all stand-in engines serve.
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

// Close ends the engine.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// run makes the engine's steps.
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

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.remember(now)
	kept := e.batch[:0]
	for _, seq := range e.batch {
		if now.Before(seq.starts) {
			kept = append(kept, seq)
			continue
		}
		select {
		case seq.tokens <- struct{}{}:
			seq.left--
		default:
			// A reader that doesn't take its tokens keeps its place.
		}
		if seq.left > 0 {
			kept = append(kept, seq)
			continue
		}
		close(seq.tokens)
		e.since++
		e.counts.Completed++
	}
	e.batch = kept
}

func (e *Engine) remember(now time.Time) {
	e.history = append(e.history, timedLoad{at: now, load: e.loadNow(now)})
	old := slices.IndexFunc(e.history, func(h timedLoad) bool { return now.Sub(h.at) <= e.spec.ReportLag })
	if old > 1 {
		e.history = slices.Delete(e.history, 0, old-1)
	}
}

func (e *Engine) loadNow(now time.Time) EngineLoad {
	return EngineLoad{
		Epoch:    e.epoch,
		Ready:    now.After(e.downUntil),
		Leaving:  e.faults.Leaving,
		Capacity: e.spec.Capacity,
		Running:  len(e.batch),
		Version:  EngineVersion,
	}
}

// bears returns how many requests the engine bears now.
func (e *Engine) bears() int {
	if e.since < e.spec.WarmAfter {
		return e.spec.ColdCapacity
	}
	return e.spec.Capacity
}

// fall ends all requests without an answer and makes the engine cold.
func (e *Engine) fall() {
	for _, seq := range e.batch {
		close(seq.failed)
	}
	e.batch = nil
	e.epoch = uuid.NewString()
	e.since = 0
	e.cache = nil
	e.counts.Crashes++
	e.downUntil = time.Now().Add(e.spec.RestartTime)
}

// chatCall is the part of a chat request that the engine looks at.
type chatCall struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (c chatCall) prompt() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

const defaultMaxTokens = 16

// Header fields of the engine's protocol.
const (
	// HeaderRequest names the request, for cancelling and resuming.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is the request's priority, higher first.
	HeaderPriority = "X-Priority"
	// HeaderResume is the byte offset of the body at which to go on. The answer
	// repeats it.
	HeaderResume = "X-Resume-Offset"
	// HeaderVersion names the version of the model that answers.
	HeaderVersion = "X-Model-Version"
)

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var call chatCall
	if !ReadJSON(w, r, &call) {
		return
	}
	if call.MaxTokens <= 0 {
		call.MaxTokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	seq, crashed := e.admit(call, r.Header.Get(HeaderRequest), priority)
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if seq == nil {
		http.Error(w, "the engine is down", http.StatusServiceUnavailable)
		return
	}
	defer e.drop(seq)
	offset, _ := strconv.Atoi(r.Header.Get(HeaderResume))
	w.Header().Set(HeaderVersion, EngineVersion)
	if call.Stream {
		e.stream(w, r, call, seq, offset)
		return
	}
	e.whole(w, r, call, seq)
}

// admit puts a request into the batch, unless the engine is down or crashes on
// the request. More than the engine bears makes it fall over.
func (e *Engine) admit(call chatCall, id string, priority int) (seq *sequence, crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.downUntil) {
		return nil, false
	}
	prompt := call.prompt()
	if e.faults.CrashOn != "" && strings.Contains(prompt, e.faults.CrashOn) {
		e.fall()
		return nil, true
	}
	seq = &sequence{
		id:       id,
		priority: priority,
		starts:   now,
		left:     call.MaxTokens,
		tokens:   make(chan struct{}, 16),
		failed:   make(chan struct{}),
	}
	if !e.cached(prompt, now) {
		seq.starts = now.Add(e.spec.Prefill)
	}
	e.counts.Admitted++
	e.batch = append(e.batch, seq)
	slices.SortStableFunc(e.batch, func(a, b *sequence) int { return cmp.Compare(b.priority, a.priority) })
	e.counts.Peak = max(e.counts.Peak, len(e.batch))
	if len(e.batch) > e.bears() {
		e.fall()
	}
	return seq, false
}

// prefixLength is how many bytes of a prompt make one entry of the cache.
const prefixLength = 64

// cached reports whether the prompt's prefix is in the cache and puts it there.
func (e *Engine) cached(prompt string, now time.Time) bool {
	prefix := strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), prefixLength)]), 16)
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

// lostEvent says that each event whose number divides by it is never published.
const lostEvent = 7

func (e *Engine) publish(op, prefix string, now time.Time) {
	e.eventSeq++
	if e.eventSeq%lostEvent != 0 {
		e.events = append(e.events, cacheEvent{Sequence: e.eventSeq, Op: op, Prefix: prefix, at: now})
	}
}

// drop takes a request out of the batch, if it is still there.
func (e *Engine) drop(seq *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.batch, seq); at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
		e.counts.Cancelled++
	}
}
