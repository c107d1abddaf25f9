package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

// Parameters of admission.
const (
	// reserveTime is the time for whose arrivals of more urgent requests slots are kept free.
	// Agents report each 100 ms, so that slots that become free, and requests of other
	// entries that take them, are known late: two reports and a pass.
	reserveTime = 250 * time.Millisecond
	// maxReserveShare bounds the share of the slots that are kept free for more urgent
	// requests.
	maxReserveShare = 0.12
	// floorShare is the share of the mean chance to be sent up to which a kind of request
	// isn't held back. The requirement is a quarter; the rest allows for the noise of a
	// single entry's counts.
	floorShare = 0.35
	// lessUrgentMargin is the share of the gap target by which the predicted passes must fall
	// short of it if the least urgent requests are sent. For those between the least and the
	// most urgent it is less. Single passes take longer than predicted, as prompts come in
	// bursts, and one long pass makes all streams late. With a larger margin the group serves
	// less than it could.
	lessUrgentMargin = 0.2
	// leastRateShare is the share of the completions that a kind is expected to get at least.
	// Not all of the more urgent requests that arrive are sent, and a lower share refuses
	// requests that would have been on time.
	leastRateShare = 0.5
	// kindHalfLife is the half-life of the counts of requests of a kind. Entries of large
	// fleets get a few requests per second.
	kindHalfLife = 3 * time.Second
	// minKindCount is the decayed count of a kind's requests below which the kind is
	// forgotten.
	minKindCount = 0.05
)

// kind is a kind of request that is admitted like others of it: its priority and whether it can
// still be on time. The order of kinds is that of their urgency.
type kind int

// kind returns the request's kind. At equal priority, late requests are less urgent.
func (r Request) kind() kind {
	if r.isLate() {
		return kind(2*r.Priority + 1)
	}
	return kind(2 * r.Priority)
}

// priority returns the priority of the kind's requests.
func (k kind) priority() int { return int(k >> 1) }

// kindCount has the decayed counts of the requests of one kind.
type kindCount struct {
	kind kind
	// offered counts the requests that arrived, and sent those that were sent.
	offered, sent float64
}

// kindCounts has the counts of the kinds of request that an entry has got recently, the most
// urgent first. The zero value has none.
type kindCounts struct {
	kinds     []kindCount
	decayedAt time.Time
}

// decay reduces the counts by their age.
func (k *kindCounts) decay(now time.Time) {
	factor := halved(now.Sub(k.decayedAt), kindHalfLife)
	k.decayedAt = now
	kept := k.kinds[:0]
	for _, count := range k.kinds {
		count.offered *= factor
		count.sent *= factor
		if count.offered >= minKindCount {
			kept = append(kept, count)
		}
	}
	k.kinds = kept
}

// at returns the count of a kind, which it adds if there is none.
func (k *kindCounts) at(wanted kind) *kindCount {
	at, found := slices.BinarySearchFunc(k.kinds, wanted, func(count kindCount, wanted kind) int { return cmp.Compare(count.kind, wanted) })
	if !found {
		k.kinds = slices.Insert(k.kinds, at, kindCount{kind: wanted})
	}
	return &k.kinds[at]
}

// countOffered counts a request that has arrived.
func (k *kindCounts) countOffered(kind kind, now time.Time) {
	k.decay(now)
	k.at(kind).offered++
}

// countSent counts a request that is sent to an endpoint.
func (k *kindCounts) countSent(kind kind, now time.Time) {
	k.decay(now)
	k.at(kind).sent++
}

// isUnderserved reports whether requests of a kind are sent so seldom, compared with all
// requests, that they aren't held back. The last one of them may not have had its turn yet.
func (k *kindCounts) isUnderserved(wanted kind) bool {
	var all, own kindCount
	for _, count := range k.kinds {
		all.offered += count.offered
		all.sent += count.sent
		if count.kind == wanted {
			own = count
		}
	}
	return own.sent*all.offered < floorShare*all.sent*(own.offered-1)
}

// perSecond returns the factor by which a count is multiplied to get a rate.
func (k *kindCounts) perSecond(now time.Time) float64 {
	return halved(now.Sub(k.decayedAt), kindHalfLife) * math.Ln2 / kindHalfLife.Seconds()
}

// ofPriority returns the counts of the requests of a priority.
func (k *kindCounts) ofPriority(priority int) (offered, sent float64) {
	for _, count := range k.kinds {
		if count.kind.priority() == priority {
			offered += count.offered
			sent += count.sent
		}
	}
	return offered, sent
}

// ratesBeside returns the rates at which this entry gets requests that are more urgent, and
// less urgent, than a kind, per second.
func (k *kindCounts) ratesBeside(wanted kind, now time.Time) (more, less float64) {
	perSecond := k.perSecond(now)
	for _, count := range k.kinds {
		switch {
		case count.kind < wanted:
			more += count.offered * perSecond
		case count.kind > wanted:
			less += count.offered * perSecond
		}
	}
	return more, less
}

// holdBack returns why a request isn't sent to the group though a rank may have room: in favour
// of more urgent requests, or as the passes would take longer than the gap target. Loads are
// those of the endpoints, with their expected arrivals. The caller must hold s.mu.
func (s *Service) holdBack(req Request, loads []pick.Load, now time.Time) hold {
	if !s.isModelService || req.Resuming || s.isRecovering(now) {
		// After an outage only late requests are limited, by limitLate.
		return hold{}
	}
	group := s.groupSlots(loads)
	if group.reporting == 0 {
		return hold{}
	}
	more, less := s.kinds.ratesBeside(req.kind(), now)
	held := hold{
		slots: group.slots, capacity: group.slots, inFlight: group.inFlight,
		reserve: math.Floor(min(maxReserveShare*group.slots, more*group.entries*reserveTime.Seconds())),
	}
	// While there are others to hold back, the most urgent kind isn't: after a single long pass
	// it would be refused though the next ones are short.
	if share := 1.0; more > 0 || less == 0 {
		if more > 0 {
			share -= lessUrgentMargin * more / (more + less)
		}
		held.capacity = s.passCapacity(loads, group.slots, share)
	}
	switch {
	case s.isOverLevel(req, now):
		held.cause = HeldByLevel
	case held.capacity < group.slots && group.inFlight+1+held.reserve > held.capacity:
		held.cause = HeldByPass
	case held.reserve > 0 && group.inFlight+1+held.reserve > group.slots:
		held.cause = HeldByReserve
	}
	if held.cause == "" || s.kinds.isUnderserved(req.kind()) {
		return hold{}
	}
	if estimator := s.passes.estimator; estimator != nil {
		held.predicted = estimator.Predict(estimator.WithOneMore(s.groupLoad(loads)))
	}
	return held
}

// slotCount is the use of the slots of a service's endpoints, as far as their agents report.
type slotCount struct {
	// reporting is the number of endpoints.
	reporting int
	// slots is the number of their slots, and inFlight that of the requests there.
	slots, inFlight float64
	// entries is the mean number of entries that use one of the endpoints. Other entries are
	// taken to get about as many requests as this one.
	entries float64
}

// groupSlots returns the use of the endpoints' slots by their loads. The caller must hold s.mu.
func (s *Service) groupSlots(loads []pick.Load) slotCount {
	var group slotCount
	others := 0.0
	for i, e := range s.endpoints {
		if loads[i].Unavailable || e.slots <= 0 || !isReporting(e, &loads[i]) {
			continue
		}
		group.reporting++
		group.slots += float64(e.slots)
		group.inFlight += float64(loads[i].InFlight()) + loads[i].Expected
		others += loads[i].Others
	}
	group.entries = 1 + others/float64(max(1, group.reporting))
	return group
}

// isUnderserved reports whether a request is of a kind that is sent so seldom that it isn't held
// back and goes before others. The caller must hold s.mu.
func (s *Service) isUnderserved(req Request) bool {
	return s.isModelService && !req.Resuming && s.kinds.isUnderserved(req.kind())
}

// passCapacity returns how many requests may run on the group so that its passes take at most
// a share of the gap target, at most its slots. The caller must hold s.mu.
func (s *Service) passCapacity(loads []pick.Load, slots, share float64) float64 {
	if s.passes.estimator == nil {
		return slots
	}
	return s.passes.estimator.Capacity(s.groupLoad(loads), slots, share)
}

// rateLeft returns how many requests of a kind are expected to be sent per second: as many as
// complete, without the more urgent ones that arrive. The caller must hold s.mu.
func (s *Service) rateLeft(req Request, now time.Time) float64 {
	rate := s.completionRate(now)
	if !s.isModelService || req.Resuming {
		return rate
	}
	more, _ := s.kinds.ratesBeside(req.kind(), now)
	return max(rate-more, leastRateShare*rate)
}

// halved returns the share that is left of a value after a time, if it halves in each halfLife.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
