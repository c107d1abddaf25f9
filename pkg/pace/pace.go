package pace

import "time"

// Parameters of a ramp.
const (
	// raiseFactor is by what an entry raises its rate. With it, a rate that begins at a
	// quarter of the capacity is at the whole after two steps.
	raiseFactor = 2
	// lowerFactor is by what an entry lowers its rate after a refusal or an error.
	lowerFactor = 0.5
	// slowLowerFactor is the same after slowAnswers in a row. The endpoint still answers, so
	// it is lowered less.
	slowLowerFactor = 0.7
	// goodAnswers is the number of answers that raise the rate of one of a few entries, as a
	// single good one may be chance. One of at least manyEntries raises its rate after each, as it
	// gets few answers and its rate is a small part of all.
	goodAnswers = 2
	manyEntries = 4
	// unusedFactor is how many intervals may lie between two requests for the answer to the second
	// one to count. An entry with less to send doesn't need a higher rate, and hasn't tried it.
	unusedFactor = 1.5
	// slowAnswers is the number of consecutive slow answers that lower the rate.
	slowAnswers = 3
	// slowFactor is how many times longer than usual a slow answer takes. The work of requests
	// of a route varies by about half.
	slowFactor = 2
	// usualWeight is the weight of one answer in the usual time. Slow ones count as slowFactor
	// times the usual, so that an endpoint that is always slower isn't held back for long.
	usualWeight = 0.2
	// minShare bounds the rate from below, as a share of the one at the start, so that the
	// entry goes on to learn whether the endpoint has recovered.
	minShare = 0.25
	// relaxedFactor is how many times more often an entry may send if no other endpoint takes
	// the request. The start rate is usually a quarter of the capacity, so that the entries
	// together stay within it.
	relaxedFactor = 4
	// quietTime is how long nothing bad must have been observed for a ramp to end by
	// maxDuration.
	quietTime = 3 * time.Second
	// maxDuration is how long after its start, or the end of the cold time, a ramp ends though
	// the rate hasn't reached the capacity, as at an entry that sends few requests.
	maxDuration = 10 * time.Second
	// refusalsToStart is the number of consecutive refusals after which an endpoint without a
	// ramp is taken to bear less than it gets. Single refusals are usual when entries send
	// to the last free slot together.
	refusalsToStart = 3
)

// Result is how a request at an endpoint ended.
type Result int

// The results of requests.
const (
	// Served means that the endpoint answered the request.
	Served Result = iota
	// Refused means that the endpoint did not run the request.
	Refused
	// Failed means that the endpoint returned an error or broke off.
	Failed
)

// Observation is what an entry learns from one of its requests at an endpoint.
type Observation struct {
	// Result is how the request ended.
	Result Result
	// SentAt and At are the times at which it was sent and ended.
	SentAt, At time.Time
	// Load is the number of requests of all entries in the endpoint's last report, relative to
	// its slots.
	Load float64
}

// Start describes how a ramp begins.
type Start struct {
	// At is when the endpoint may get its first request.
	At time.Time
	// ColdUntil is when the endpoint stops being cold, zero if it isn't. Until then a limit of
	// its own holds, under which answers don't show that it bears more.
	ColdUntil time.Time
	// Rate is the number of requests per second that the endpoint is expected to bear from
	// all entries, and Capacity the number from which on it needs no ramp.
	Rate, Capacity float64
	// Entries is the number of entries that send to the endpoint.
	Entries int
	// RunTime is the usual time of a request, zero if it is unknown.
	RunTime time.Duration
	// Phase is a random number in [0, 1).
	Phase float64
}

// Ramp is the pace of an endpoint at one entry. The zero value sets no limit.
type Ramp struct {
	// rate is the number of requests per second that this entry may send, zero without a
	// limit. lowest is the lowest rate, and capacity that at which the ramp ends.
	rate, lowest, capacity float64
	startedAt              time.Time
	// endsAfter is when the ramp may end though the rate hasn't reached the capacity.
	endsAfter time.Time
	// phase is the part of the first interval that passes before the first request.
	phase float64
	// lastSend is when this entry last sent a request, zero before the first.
	lastSend time.Time
	// changedAt is when the rate was last changed, and badAt when it was last lowered.
	changedAt, badAt time.Time
	// unused is set if the last request was sent so late that it doesn't show what the endpoint
	// bears.
	unused bool
	// needed is the number of good answers that raise the rate.
	needed int
	// good and slow count the answers since then, and refusals consecutive refusals while there
	// is no limit.
	good, slow, refusals int
	// usual is the usual time of an answer, zero if it is unknown.
	usual time.Duration
}

// New returns a ramp that begins.
func New(start Start) Ramp {
	entries := float64(max(1, start.Entries))
	if start.Rate <= 0 || start.Rate >= start.Capacity && start.Entries <= 1 {
		return Ramp{}
	}
	rate, until := start.Rate/entries, start.At
	if start.ColdUntil.After(until) {
		until = start.ColdUntil
	}
	needed := goodAnswers
	if start.Entries >= manyEntries {
		needed = 1
	}
	return Ramp{
		needed: needed, usual: start.RunTime,
		rate: rate, lowest: minShare * rate, capacity: start.Capacity,
		startedAt: start.At, endsAfter: until.Add(maxDuration), changedAt: start.At, phase: start.Phase,
	}
}

// IsActive reports whether the ramp limits the entry's rate.
func (r *Ramp) IsActive() bool { return r.rate > 0 }

// Rate returns the number of requests per second that this entry may send, zero without a
// limit.
func (r *Ramp) Rate() float64 { return r.rate }

// IsLowered reports whether the rate was lowered lately.
func (r *Ramp) IsLowered(now time.Time) bool {
	return !r.badAt.IsZero() && now.Sub(r.badAt) < quietTime
}

// Allows reports whether the entry may send a request. Relaxed is set if no other endpoint
// takes the request.
func (r *Ramp) Allows(now time.Time, relaxed bool) bool {
	if !r.IsActive() {
		return true
	}
	interval := r.interval(1)
	if relaxed {
		interval = r.interval(relaxedFactor)
	}
	if r.lastSend.IsZero() {
		return !now.Before(r.startedAt.Add(time.Duration(r.phase * float64(interval))))
	}
	return now.Sub(r.lastSend) >= interval
}

// RecordSend counts a request that is sent to the endpoint.
func (r *Ramp) RecordSend(now time.Time) {
	if r.IsActive() {
		r.unused = !r.lastSend.IsZero() && float64(now.Sub(r.lastSend)) > unusedFactor*float64(r.interval(1))
		r.lastSend = now
	}
}

// Observe adapts the rate to the end of a request. It returns true if there is no limit and
// the endpoint has refused so many requests that a ramp should begin.
func (r *Ramp) Observe(o Observation) bool {
	if !r.IsActive() {
		if r.refusals++; o.Result != Refused {
			r.refusals = 0
		}
		return r.refusals >= refusalsToStart
	}
	switch {
	case o.Result != Served:
		// Requests that were sent before the rate was lowered say nothing about the lower one.
		if o.SentAt.After(r.badAt) {
			r.lower(lowerFactor, o.At)
		}
	case o.SentAt.Before(r.changedAt):
	default:
		r.observeAnswer(o)
	}
	r.endIfDone(o.At)
	return false
}

// observeAnswer counts an answer to a request that was sent at the current rate.
func (r *Ramp) observeAnswer(o Observation) {
	took := o.At.Sub(o.SentAt)
	if r.usual == 0 {
		r.usual = took
	}
	isSlow := took > slowFactor*r.usual
	r.usual += time.Duration(usualWeight * float64(min(took, slowFactor*r.usual)-r.usual))
	if isSlow || o.Load > 1 {
		if r.slow++; r.slow >= slowAnswers {
			r.lower(slowLowerFactor, o.At)
		}
		return
	}
	r.slow = 0
	if o.Load >= 1 || r.unused {
		return
	}
	if r.good++; r.good >= r.needed {
		r.rate *= raiseFactor
		r.changedAt, r.good = o.At, 0
	}
}

// interval returns the time between two requests at a multiple of the rate.
func (r *Ramp) interval(factor float64) time.Duration {
	return time.Duration(float64(time.Second) / min(r.capacity, factor*r.rate))
}

// lower lowers the rate, and begins to count anew.
func (r *Ramp) lower(factor float64, now time.Time) {
	r.rate = max(r.lowest, factor*r.rate)
	r.changedAt, r.badAt, r.good, r.slow = now, now, 0, 0
}

// endIfDone ends the ramp if its rate has reached the capacity, or if it lasts for so long
// that the entry sends too few requests to learn more.
func (r *Ramp) endIfDone(now time.Time) {
	if r.rate >= r.capacity || !now.Before(r.endsAfter) && now.Sub(r.badAt) >= quietTime {
		*r = Ramp{}
	}
}
