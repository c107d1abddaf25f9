package pass

import (
	"math"
	"time"
)

// Parameters of an Estimator.
const (
	// riseWeight is the weight of a measurement that is above the estimate. Two of them, 100 ms,
	// make up half of a step. A single long pass, as in a switch of the expert map, isn't work
	// for tokens, but is in the measurements of 200 ms to 400 ms. With 0.5, requests were
	// refused after each of them; with 0.2, passes became too long in overloads.
	riseWeight = 0.35
	// decayHalfLife is the half-life of the excess of the estimate over lower measurements.
	// Within a second, a sixteenth is left.
	decayHalfLife = 250 * time.Millisecond
	// scaledFixed is how much of the fixed part of a pass is scaled like the work for tokens.
	// Without it, the factor of a group with few requests, whose work for tokens takes a few
	// milliseconds, would be mainly noise.
	scaledFixed = 10 * time.Millisecond
	// maxFactor bounds the factor, as a group that stands still doesn't tell what work costs.
	maxFactor = 8
)

// Estimator learns by which factor the work for tokens in passes exceeds that of its model, as
// the expert map is skewed or a rank is slow. Create it with NewEstimator. It isn't safe for
// concurrent use.
type Estimator struct {
	model *Model
	// factor is the estimate as of at, and running the number of running requests then.
	factor  float64
	at      time.Time
	running float64
	// measured is the last measurement.
	measured time.Duration
}

// NewEstimator returns an estimator that hasn't learned anything.
func NewEstimator(model *Model) *Estimator { return &Estimator{model: model, factor: 1} }

// Model returns the estimator's model.
func (e *Estimator) Model() *Model { return e.model }

// Factor returns the factor, 1 if passes take as long as the model says.
func (e *Estimator) Factor() float64 { return e.factor }

// Measured returns the last measured pass time, zero if there is none.
func (e *Estimator) Measured() time.Duration { return e.measured }

// Observe learns from the pass time that was measured under a load. Prompts of requests that
// have begun since the last call are taken to have been read in the measured passes. Measured
// is zero while the group runs no passes.
func (e *Estimator) Observe(load Load, measured time.Duration, now time.Time) {
	span := now.Sub(e.at)
	if measured > 0 && !e.at.IsZero() && span > 0 {
		passes := max(1, float64(span)/float64(measured))
		read := max(0, load.Running-e.running) * e.model.PromptTokens() / passes
		load.Unread = read
		load.MaxUnread = read / float64(max(1, load.Ranks))
	}
	observed := 1.0
	if measured > 0 {
		fixed, tokens := e.model.parts(load)
		observed = float64(measured-fixed+scaledFixed) / float64(tokens+scaledFixed)
		observed = min(maxFactor, max(1, observed))
	}
	if observed > e.factor {
		e.factor += riseWeight * (observed - e.factor)
	} else if !e.at.IsZero() {
		e.factor = observed + (e.factor-observed)*math.Exp2(-span.Seconds()/decayHalfLife.Seconds())
	}
	e.at, e.running, e.measured = now, load.Running, measured
}

// Predict returns the expected time of the next pass under a load.
func (e *Estimator) Predict(load Load) time.Duration {
	fixed, tokens := e.model.parts(load)
	return fixed - scaledFixed + time.Duration(e.factor*float64(tokens+scaledFixed))
}

// WithOneMore returns the load with one request more, on the rank with the most. The
// request is taken to have a prompt of mean length, so that a decision doesn't depend on its
// size.
func (e *Estimator) WithOneMore(load Load) Load {
	load.Running++
	load.MaxRunning = max(load.MaxRunning, math.Ceil(load.Running/float64(max(1, load.Ranks))))
	load.Unread += e.model.PromptTokens()
	load.MaxUnread = max(load.MaxUnread, e.model.PromptTokens())
	return load
}

// lateValue is the value of a late response, compared with one on time, by which the shorter
// passes of fewer streams are weighed against their lower throughput.
const lateValue = 0.4

// Capacity returns how many requests the group can run in passes that take at most a share of
// the gap target, if it can run as many as slots and reads as many prompt tokens as the
// load has. It is slots if all of them can run in that time, or if fewer would do worse: n
// streams on time are worth n per pass, and late ones lateValue of that, in passes which take
// longer.
func (e *Estimator) Capacity(load Load, slots, share float64) float64 {
	target := share * float64(e.model.gapTarget)
	if target <= 0 || slots <= float64(load.Ranks) {
		return slots
	}
	capacity, _ := e.capacity(load, slots, target)
	if capacity >= slots {
		return slots
	}
	// Whether fewer streams do better depends on the steady state, and not on a burst of
	// prompts. A decision by the burst would send all that waits and so prolong it.
	load.Unread, load.MaxUnread = 0, 0
	if steady, longest := e.capacity(load, slots, target); steady/target < lateValue*slots/longest {
		return slots
	}
	return max(0, capacity)
}

// capacity returns how many requests can run in passes that take at most target, and how long
// passes take with as many requests as slots. A pass takes longer in proportion to the
// running requests.
func (e *Estimator) capacity(load Load, slots, target float64) (capacity, longest float64) {
	ranks := float64(max(1, load.Ranks))
	predict := func(running float64) float64 {
		load.Running, load.MaxRunning = running, running/ranks
		return float64(e.Predict(load))
	}
	shortest := predict(ranks)
	longest = predict(slots)
	if longest <= max(target, shortest) {
		return slots, longest
	}
	return ranks + (slots-ranks)*(target-shortest)/(longest-shortest), longest
}
