// Package drain decides which requests a process that is stopping still takes.
//
// Callers hold the address of a process for a while after it has left the directory, so
// that it serves new requests while it stops. One that can't end before the process does
// would be cut off, though another process could serve it: it is rejected at once.
package drain

import (
	"sync"
	"time"
)

// Stop is the end of a process. The zero value is that of a process that isn't stopping.
type Stop struct {
	mu  sync.Mutex
	end time.Time
}

// Begin sets when the process ends, by which all requests must have ended.
func (s *Stop) Begin(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
}

// Left returns the time until the end of the process. It returns false if the process isn't
// stopping.
func (s *Stop) Left(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end.Sub(now), !s.end.IsZero()
}

// Takes reports whether a request that ends within a time ends before the process.
func (s *Stop) Takes(within time.Duration, now time.Time) bool {
	left, stopping := s.Left(now)
	return !stopping || within <= left
}

// generation is the least time for which a run time is remembered.
const generation = 30 * time.Second

// RunTimes holds the longest recent run times of requests, by kind. The zero value is ready
// to use.
type RunTimes struct {
	mu                sync.Mutex
	current, previous map[string]time.Duration
	startedAt         time.Time
}

// Record adds the run time of a request that was served.
func (r *RunTimes) Record(kind string, runTime time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.current == nil {
		r.current = make(map[string]time.Duration)
	}
	r.current[kind] = max(r.current[kind], runTime)
}

// Longest returns the longest run time of a kind in the last 30 to 60 s. It returns false if
// there was none.
func (r *RunTimes) Longest(kind string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	longest := max(r.current[kind], r.previous[kind])
	return longest, longest > 0
}

// expire starts a new generation if the current one has ended. The caller holds r.mu.
func (r *RunTimes) expire(now time.Time) {
	switch age := now.Sub(r.startedAt); {
	case age >= 2*generation:
		r.previous, r.current, r.startedAt = nil, nil, now
	case age >= generation:
		r.previous, r.current, r.startedAt = r.current, nil, r.startedAt.Add(generation)
	}
}
