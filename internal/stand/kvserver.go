package stand

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lentilstand/lentilstand/internal/kvhttp"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// KVFaults are the orders to misbehave that a KVServer takes by POST /faults.
type KVFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every call by this many milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswers carries out writes and closes the connection instead of
	// answering.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// LosePrefix limits LoseAnswers to keys with this prefix.
	LosePrefix string `json:"lose_prefix,omitempty"`
	// Freeze makes reads return the state at the time of the order.
	Freeze bool `json:"freeze,omitempty"`
	// Only limits Down and SlowMS to these clients; empty means all.
	Only []string `json:"only,omitempty"`
}

// KVServer serves a KV over HTTP. Use NewKVServer.
type KVServer struct {
	kv  *KV
	mux *http.ServeMux

	mu      sync.Mutex
	faults  KVFaults
	written func(key string)
}

// NewKVServer returns a server of kv.
func NewKVServer(kv *KV) *KVServer {
	s := &KVServer{kv: kv, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+kvhttp.PathRead, s.faulty(s.read))
	s.mux.HandleFunc("POST "+kvhttp.PathWatch, s.faulty(s.watch))
	s.mux.HandleFunc("POST "+kvhttp.PathPut, s.faulty(s.put))
	s.mux.HandleFunc("POST "+kvhttp.PathDelete, s.faulty(s.delete))
	s.mux.HandleFunc("POST "+kvhttp.PathGrant, s.faulty(s.lease))
	s.mux.HandleFunc("POST "+kvhttp.PathKeep, s.faulty(s.lease))
	s.mux.HandleFunc("POST "+kvhttp.PathRevoke, s.faulty(s.lease))
	s.mux.HandleFunc("POST /faults", s.setFaults)
	s.mux.HandleFunc("GET /counts", s.counts)
	return s
}

// ServeHTTP answers one call.
func (s *KVServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the orders to misbehave.
func (s *KVServer) SetFaults(faults KVFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Freeze && !s.faults.Freeze {
		s.kv.Freeze()
	}
	if !faults.Freeze && s.faults.Freeze {
		s.kv.Thaw()
	}
	s.faults = faults
}

// OnWrite makes the server call written with the key of each write, after the
// write took effect and before it is answered.
func (s *KVServer) OnWrite(written func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = written
}

func (s *KVServer) notifyWritten(key string) {
	s.mu.Lock()
	written := s.written
	s.mu.Unlock()
	if written != nil {
		written(key)
	}
}

func (s *KVServer) current() KVFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (f KVFaults) hits(client string) bool {
	return len(f.Only) == 0 || slices.Contains(f.Only, client)
}

// faulty carries out the orders to misbehave around a handler.
func (s *KVServer) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := s.current()
		if faults.hits(r.Header.Get(kvhttp.HeaderClient)) {
			if faults.Down {
				http.Error(w, "the service is down", http.StatusServiceUnavailable)
				return
			}
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		next(w, r)
	}
}

func (s *KVServer) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults KVFaults
	if !decode(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	answer(w, faults)
}

func (s *KVServer) counts(w http.ResponseWriter, _ *http.Request) {
	counts := s.kv.Counts()
	answer(w, map[string]uint64{
		"reads":   counts.Reads(),
		"writes":  counts.Writes(),
		"waiting": uint64(counts.Waiting()),
	})
}

// decode reads a JSON body and answers 400 if it can't.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func answerSnapshot(w http.ResponseWriter, snapshot store.Snapshot) {
	wire := kvhttp.ReadAnswer{Revision: snapshot.Revision(), Unchanged: snapshot.IsUnchanged()}
	for _, pair := range snapshot.Pairs() {
		wire.Pairs = append(wire.Pairs, kvhttp.Pair{Key: pair.Key(), Value: pair.Value(), Revision: pair.Revision()})
	}
	answer(w, wire)
}

func (s *KVServer) read(w http.ResponseWriter, r *http.Request) {
	var call kvhttp.ReadCall
	if decode(w, r, &call) {
		answerSnapshot(w, s.kv.Read(call.Prefixes))
	}
}

func (s *KVServer) watch(w http.ResponseWriter, r *http.Request) {
	var call kvhttp.ReadCall
	if !decode(w, r, &call) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.WaitMS)*time.Millisecond)
	defer cancel()
	snapshot := s.kv.Watch(ctx, call.Prefixes, call.Since)
	if faults := s.current(); faults.Down && faults.hits(r.Header.Get(kvhttp.HeaderClient)) {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	answerSnapshot(w, snapshot)
}

func (s *KVServer) put(w http.ResponseWriter, r *http.Request) {
	var call kvhttp.WriteCall
	if !decode(w, r, &call) {
		return
	}
	if len(call.Value) > MaxValueBytes {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.kv.Put(call.Key, call.Value, call.Expect, call.Lease)
	s.answerWrite(w, call.Key, revision, err)
}

func (s *KVServer) delete(w http.ResponseWriter, r *http.Request) {
	var call kvhttp.WriteCall
	if decode(w, r, &call) {
		s.answerWrite(w, call.Key, 0, s.kv.Delete(call.Key, call.Expect))
	}
}

func (s *KVServer) answerWrite(w http.ResponseWriter, key string, revision uint64, err error) {
	if err == nil {
		s.notifyWritten(key)
	}
	faults := s.current()
	if faults.LoseAnswers && hasAnyPrefix(key, []string{faults.LosePrefix}) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, store.ErrLeaseGone):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		answer(w, kvhttp.WriteAnswer{Revision: revision})
	}
}

func (s *KVServer) lease(w http.ResponseWriter, r *http.Request) {
	var call kvhttp.LeaseCall
	if !decode(w, r, &call) {
		return
	}
	switch r.URL.Path {
	case kvhttp.PathGrant:
		call.Lease = s.kv.Grant(time.Duration(call.TTLMS) * time.Millisecond)
	case kvhttp.PathKeep:
		if err := s.kv.KeepAlive(call.Lease); err != nil {
			http.Error(w, err.Error(), http.StatusGone)
			return
		}
	default:
		s.kv.Revoke(call.Lease)
	}
	answer(w, kvhttp.LeaseAnswer{Lease: call.Lease})
}
