package stand

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// load reports the current load with the running count of ReportLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.currentLoad(time.Now())
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
	var req struct {
		Request string `json:"request"`
	}
	if !ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, seq := range e.batch {
		if seq.id == req.Request {
			close(seq.failed)
		}
	}
	e.batch = slices.DeleteFunc(e.batch, func(seq *sequence) bool { return seq.id == req.Request })
	WriteJSON(w, map[string]bool{"cancelled": true})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Fence uint64 `json:"fence"`
		Order string `json:"order"`
	}
	if !ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.ChecksFence && req.Fence < e.highestFence {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, req.Fence)
	e.orders = append(e.orders, req.Order)
	WriteJSON(w, map[string]any{"orders": e.orders})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if ReadJSON(w, r, &faults) {
		e.SetFaults(faults)
		WriteJSON(w, faults)
	}
}

// SetFaults replaces the injected faults. Crash, Cold and Restart take effect once.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Crash {
		e.crash()
	}
	if faults.Cold {
		e.completedSinceCold = 0
		e.cache = nil
	}
	if faults.Restart && len(e.batch) == 0 {
		e.epoch = uuid.NewString()
		e.completedSinceCold = 0
		e.cache = nil
	}
	e.faults = faults
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, e.Counts()) }

// Counts returns the engine's counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Running = len(e.batch)
	return counts
}
