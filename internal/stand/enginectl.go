package stand

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loadNow(time.Now())
	if len(e.history) > 0 {
		lagging := e.history[0].load
		load.Running = lagging.Running
	}
	WriteJSON(w, load)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	published := time.Now().Add(-e.spec.ReportLag)
	events := []cacheEvent{}
	for _, event := range e.events {
		if event.Sequence > after && event.at.Before(published) {
			events = append(events, event)
		}
	}
	WriteJSON(w, map[string]any{"events": events})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Request string `json:"request"`
	}
	if !ReadJSON(w, r, &call) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, seq := range e.batch {
		if seq.id == call.Request {
			close(seq.failed)
		}
	}
	e.batch = slices.DeleteFunc(e.batch, func(seq *sequence) bool { return seq.id == call.Request })
	WriteJSON(w, map[string]bool{"cancelled": true})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Fence uint64 `json:"fence"`
		Order string `json:"order"`
	}
	if !ReadJSON(w, r, &call) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.ChecksFence && call.Fence < e.fence {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, call.Fence)
	e.orders = append(e.orders, call.Order)
	WriteJSON(w, map[string]any{"orders": e.orders})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if ReadJSON(w, r, &faults) {
		e.SetFaults(faults)
		WriteJSON(w, faults)
	}
}

// SetFaults replaces the orders to misbehave.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Crash {
		e.fall()
	}
	if faults.Cold {
		e.since = 0
		e.cache = nil
	}
	if faults.Restart && len(e.batch) == 0 {
		e.epoch = uuid.NewString()
		e.since = 0
		e.cache = nil
	}
	e.faults = faults
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, e.Counts()) }

// Counts returns what the engine has counted.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Running = len(e.batch)
	return counts
}
