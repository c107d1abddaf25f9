package admit

import (
	"sync"
	"time"
)

// Defaults of a Ramp.
const (
	// DefaultColdCapacity is how many requests a cold endpoint is given at a
	// time.
	DefaultColdCapacity = 1
	// DefaultWarmAfter is how many completions in time end the cold phase.
	DefaultWarmAfter = 16
	// coldFactor is how many times longer than usual a first byte must take
	// for the endpoint to count as cold again.
	coldFactor = 4
	// coldStreak is how many first bytes in a row must be that late.
	coldStreak = 2
	// averageShare is the weight of the newest first-byte time in the average.
	averageShare = 0.1
)

// SlowStart works out the capacity of an endpoint from what it has completed since
// it started. A cold endpoint gets little until it has completed enough in time;
// from then on each completion opens one more place, so the capacity doubles for
// each round of completed work. A new start epoch or a jump in first-byte times
// closes it at once. Use NewRamp.
type SlowStart struct {
	cold      int
	warmAfter int
	limit     int
	bound     time.Duration

	mu        sync.Mutex
	epoch     string
	capacity  int
	completed int
	average   time.Duration
	late      int
}

// SlowStartOption changes a Ramp.
type SlowStartOption func(*SlowStart)

// WithColdStart sets how many requests a cold endpoint is given at a time, and how
// many completions in time end the cold phase.
func WithColdStart(capacity, completions int) SlowStartOption {
	return func(r *SlowStart) {
		r.cold = capacity
		r.warmAfter = completions
	}
}

// NewSlowStart returns a ramp that ends at limit requests at a time and counts a
// first byte as in time if it came within bound.
func NewSlowStart(limit int, bound time.Duration, options ...SlowStartOption) *SlowStart {
	r := &SlowStart{cold: DefaultColdCapacity, warmAfter: DefaultWarmAfter, limit: limit, bound: bound}
	for _, option := range options {
		option(r)
	}
	r.restart()
	return r
}

// Capacity returns how many requests the endpoint may run now.
func (r *SlowStart) Capacity() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.capacity
}

// ObserveEpoch takes note of the endpoint's start epoch, which is different
// after each start, and reports whether the ramp began anew.
func (r *SlowStart) ObserveEpoch(epoch string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		return false
	}
	first := r.epoch == ""
	r.epoch = epoch
	r.restart()
	return !first
}

func (r *SlowStart) restart() {
	r.capacity = min(r.cold, r.limit)
	r.completed = 0
	r.average = 0
	r.late = 0
}

// SetLimit changes the capacity at which the ramp ends.
func (r *SlowStart) SetLimit(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
	r.capacity = min(r.capacity, limit)
}

// RecordFailure takes note of a request that the endpoint failed by itself.
func (r *SlowStart) RecordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity = max(min(r.cold, r.limit), r.capacity/2)
}

// RecordCompletion takes note of a request whose first byte came after the given time.
// It reports whether the endpoint seems to have turned cold.
func (r *SlowStart) RecordCompletion(firstByte time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jumped(firstByte) {
		r.late++
	} else {
		r.late = 0
		r.learn(firstByte)
	}
	if r.late >= coldStreak {
		r.restart()
		return true
	}
	if firstByte <= r.bound && r.late == 0 {
		r.open()
	}
	return false
}

// open takes note of a completion in time.
func (r *SlowStart) open() {
	r.completed++
	if r.completed >= r.warmAfter {
		r.capacity = min(r.limit, r.capacity+1)
	}
}

// jumped reports whether the time is both past the bound and far from usual.
func (r *SlowStart) jumped(firstByte time.Duration) bool {
	return r.average > 0 && firstByte > r.bound && firstByte > coldFactor*r.average
}

func (r *SlowStart) learn(firstByte time.Duration) {
	if r.average == 0 {
		r.average = firstByte
		return
	}
	r.average += time.Duration(averageShare * float64(firstByte-r.average))
}
