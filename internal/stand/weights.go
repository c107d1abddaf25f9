package stand

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxWeightBytes bounds the size of one read from the weight store.
const maxWeightBytes = 1 << 30

// WeightStore is a stand-in of the weight store: it gives out bytes at a rate that
// all its readers share. Use NewWeights.
type WeightStore struct {
	bytesPerSecond int64
	mux            *http.ServeMux

	mu   sync.Mutex
	free time.Time
}

// NewWeightStore returns a store with the given rate in bytes a second.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	s := &WeightStore{bytesPerSecond: bytesPerSecond, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /weights/{name}", s.get)
	return s
}

// ServeHTTP answers one call.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// reserve returns how long to wait before size bytes may go out.
func (s *WeightStore) reserve(size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(int64(size) * int64(time.Second) / s.bytesPerSecond))
	return wait
}

const weightBlock = 64 << 10

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 || size > maxWeightBytes {
		http.Error(w, "the parameter bytes must be a number up to 1 GiB", http.StatusBadRequest)
		return
	}
	block := make([]byte, weightBlock)
	for size > 0 {
		n := min(size, weightBlock)
		select {
		case <-time.After(s.reserve(int(n))):
		case <-r.Context().Done():
			return
		}
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		size -= n
	}
}
