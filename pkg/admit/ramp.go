package admit

import (
	"sync"
	"time"
)

// Defaults of a Ramp.
const (
	// DefaultStartCapacity is the capacity of an endpoint that has proved
	// nothing yet.
	DefaultStartCapacity = 1
	// coldFactor is how many times longer than usual a first byte must take
	// for the endpoint to count as cold again.
	coldFactor = 4
	// coldStreak is how many first bytes in a row must be that late.
	coldStreak = 2
	// averageShare is the weight of the newest first-byte time in the average.
	averageShare = 0.1
)

// Ramp works out the capacity of an endpoint from what it has completed since
// it started. Each completion in time opens one more place, so the capacity
// doubles for each round of completed work; a new start epoch or a jump in
// first-byte times closes it at once. Use NewRamp.
type Ramp struct {
	start int
	limit int
	bound time.Duration

	mu       sync.Mutex
	epoch    string
	capacity int
	average  time.Duration
	late     int
}

// NewRamp returns a ramp that ends at limit requests at a time and counts a
// first byte as in time if it came within bound.
func NewRamp(limit int, bound time.Duration) *Ramp {
	start := min(DefaultStartCapacity, limit)
	return &Ramp{start: start, limit: limit, bound: bound, capacity: start}
}

// Capacity returns how many requests the endpoint may run now.
func (r *Ramp) Capacity() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.capacity
}

// ObserveEpoch takes note of the endpoint's start epoch, which is different
// after each start, and reports whether the ramp began anew.
func (r *Ramp) ObserveEpoch(epoch string) bool {
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

func (r *Ramp) restart() {
	r.capacity = r.start
	r.average = 0
	r.late = 0
}

// SetLimit changes the capacity at which the ramp ends.
func (r *Ramp) SetLimit(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
	r.start = min(DefaultStartCapacity, limit)
	r.capacity = min(r.capacity, limit)
}

// Fail takes note of a request that the endpoint failed by itself.
func (r *Ramp) Fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity = max(r.start, r.capacity/2)
}

// Complete takes note of a request whose first byte came after the given time.
// It reports whether the endpoint seems to have turned cold.
func (r *Ramp) Complete(firstByte time.Duration) bool {
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
		r.capacity = min(r.limit, r.capacity+1)
	}
	return false
}

// jumped reports whether the time is both past the bound and far from usual.
func (r *Ramp) jumped(firstByte time.Duration) bool {
	return r.average > 0 && firstByte > r.bound && firstByte > coldFactor*r.average
}

func (r *Ramp) learn(firstByte time.Duration) {
	if r.average == 0 {
		r.average = firstByte
		return
	}
	r.average += time.Duration(averageShare * float64(firstByte-r.average))
}
