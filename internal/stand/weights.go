package stand

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxWeightBytes is the maximum size of one read from the weight store.
const maxWeightBytes = 1 << 30

// WeightStore is a stand-in for the weight store, which limits the total rate of
// all its readers. Use NewWeightStore.
type WeightStore struct {
	bytesPerSecond int64
	mux            *http.ServeMux

	mu       sync.Mutex
	nextFree time.Time
}

// NewWeightStore returns a store with the given total rate.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	s := &WeightStore{bytesPerSecond: bytesPerSecond, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /weights/{name}", s.get)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// reserve reserves bandwidth for size bytes and returns how long to wait before
// sending them.
func (s *WeightStore) reserve(size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	wait := s.nextFree.Sub(now)
	s.nextFree = s.nextFree.Add(time.Duration(int64(size) * int64(time.Second) / s.bytesPerSecond))
	return wait
}

const blockBytes = 64 << 10

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 || size > maxWeightBytes {
		http.Error(w, "the query parameter bytes must be an integer from 0 to 1 GiB", http.StatusBadRequest)
		return
	}
	block := make([]byte, blockBytes)
	for size > 0 {
		n := min(size, blockBytes)
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
