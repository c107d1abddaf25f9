package admit

import (
	"sync"
	"time"
)

// Parameters of a SlowStart.
const (
	// DefaultColdCapacity is the capacity of a cold endpoint.
	DefaultColdCapacity = 1
	// DefaultWarmAfter is how many requests must complete in time to end the cold
	// phase.
	DefaultWarmAfter = 16
	// coldFactor is the ratio of a first-byte time to the average above which the
	// endpoint may be cold again.
	coldFactor = 4
	// coldStreak is how many consecutive requests must exceed coldFactor for the
	// endpoint to count as cold.
	coldStreak = 2
	// smoothing is the weight of the newest first-byte time in the exponential
	// moving average.
	smoothing = 0.1
)

// SlowStart computes the capacity of an endpoint from the requests that it has
// completed since it started. A cold endpoint has the cold capacity until it has
// completed enough requests in time. From then on each completion in time adds
// one, so the capacity doubles with each round of completed requests. A failure
// halves it; a new start epoch or a jump in first-byte times resets it to the cold
// capacity. Create it with NewSlowStart.
type SlowStart struct {
	coldCapacity   int
	warmAfter      int
	maxCapacity    int
	firstByteBound time.Duration

	mu        sync.Mutex
	epoch     string
	capacity  int
	completed int
	average   time.Duration
	outliers  int
}

// SlowStartOption configures a SlowStart.
type SlowStartOption func(*SlowStart)

// WithColdStart sets how many requests a cold endpoint is given at a time, and how
// many completions in time end the cold phase.
func WithColdStart(capacity, completions int) SlowStartOption {
	return func(s *SlowStart) {
		s.coldCapacity = capacity
		s.warmAfter = completions
	}
}

// NewSlowStart returns a SlowStart whose capacity grows up to maxCapacity. A request
// completes in time if its first byte arrives within firstByteBound.
func NewSlowStart(maxCapacity int, firstByteBound time.Duration, options ...SlowStartOption) *SlowStart {
	s := &SlowStart{coldCapacity: DefaultColdCapacity, warmAfter: DefaultWarmAfter, maxCapacity: maxCapacity, firstByteBound: firstByteBound}
	for _, option := range options {
		option(s)
	}
	s.reset()
	return s
}

// Capacity returns how many requests the endpoint may run at a time.
func (s *SlowStart) Capacity() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity
}

// ObserveEpoch records the endpoint's start epoch, which differs after each start.
// It reports whether the endpoint has restarted, which resets the capacity.
func (s *SlowStart) ObserveEpoch(epoch string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.epoch {
		return false
	}
	first := s.epoch == ""
	s.epoch = epoch
	s.reset()
	return !first
}

// reset sets the capacity of a cold endpoint and clears all observations.
func (s *SlowStart) reset() {
	s.capacity = min(s.coldCapacity, s.maxCapacity)
	s.completed = 0
	s.average = 0
	s.outliers = 0
}

// SetLimit changes the maximum capacity.
func (s *SlowStart) SetLimit(maxCapacity int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxCapacity = maxCapacity
	s.capacity = min(s.capacity, maxCapacity)
}

// RecordFailure records a request that failed through the endpoint's fault. It
// halves the capacity, down to the cold capacity at the lowest.
func (s *SlowStart) RecordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = max(min(s.coldCapacity, s.maxCapacity), s.capacity/2)
}

// RecordCompletion records a completed request and the time until its first byte.
// It reports whether the endpoint counts as cold again.
func (s *SlowStart) RecordCompletion(firstByte time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOutlier(firstByte) {
		s.outliers++
	} else {
		s.outliers = 0
		s.updateAverage(firstByte)
	}
	if s.outliers >= coldStreak {
		s.reset()
		return true
	}
	if firstByte <= s.firstByteBound && s.outliers == 0 {
		s.grow()
	}
	return false
}

// grow records a completion in time.
func (s *SlowStart) grow() {
	s.completed++
	if s.completed >= s.warmAfter {
		s.capacity = min(s.maxCapacity, s.capacity+1)
	}
}

// isOutlier reports whether a first-byte time exceeds both firstByteBound and
// coldFactor times the average.
func (s *SlowStart) isOutlier(firstByte time.Duration) bool {
	return s.average > 0 && firstByte > s.firstByteBound && firstByte > coldFactor*s.average
}

// updateAverage adds a first-byte time to the exponential moving average.
func (s *SlowStart) updateAverage(firstByte time.Duration) {
	if s.average == 0 {
		s.average = firstByte
		return
	}
	s.average += time.Duration(smoothing * float64(firstByte-s.average))
}
