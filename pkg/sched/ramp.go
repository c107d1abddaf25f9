package sched

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/pace"
	"github.com/lentilstand/lentilstand/pkg/pick"
)

// Rates at which started and recovered endpoints of plain services begin.
const (
	// rampCapacityShare is the share of its capacity at which an endpoint begins. If it turns
	// out to be cold, it has been given a few requests more than it bears.
	rampCapacityShare = 0.25
	// rampColdShare is the same for the service's cold rate, which an endpoint may have again
	// without notice. Half of it leaves room for requests that entries send together.
	rampColdShare = 0.5
	// defaultRunTime is the expected time of a request before the service has answered one.
	defaultRunTime = 100 * time.Millisecond
	// defaultSlots is the expected number of slots of an endpoint that names none.
	defaultSlots = 8
)

// startRamp begins the ramp of an endpoint of a plain service that has started or recovered
// and may get requests from at on. Ranks have none, as they start and pass together with their
// group. The caller must hold s.mu.
func (s *Service) startRamp(e *endpoint, at time.Time, reason string) {
	if s.isModelService {
		return
	}
	runTime, slots := s.meanRunTime, e.slots
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	start := pace.Start{
		At: at, Capacity: float64(slots) / runTime.Seconds(), ColdUntil: e.coldUntil,
		Entries: int(s.entriesPerEndpoint() + 0.5), RunTime: s.meanRunTime, Phase: s.random.Float64(),
	}
	start.Rate = rampCapacityShare * start.Capacity
	if coldRate := s.coldLimit().Rate; coldRate > 0 {
		start.Rate = min(start.Rate, rampColdShare*coldRate)
		if e.isCold(at) {
			start.Rate = coldRate
		}
	}
	e.ramp = pace.New(start)
	event.EndpointRamp.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", reason),
		zap.Float64("per_second", start.Rate), zap.Int("entries", start.Entries))
}

// observe adapts the ramp of an assignment's endpoint to the end of the request. The caller must
// hold s.mu.
func (s *Service) observe(assignment Assignment, result pace.Result, now time.Time) {
	if s.isModelService {
		return
	}
	e := assignment.endpoint
	before := e.ramp.Rate()
	starts := e.ramp.Observe(pace.Observation{
		Result: result, SentAt: assignment.assignedAt, At: now, Load: float64(e.reported) / float64(max(1, e.slots)),
	})
	switch {
	case starts:
		s.startRamp(e, now, "refusals")
	case before > 0 && !e.ramp.IsActive():
		event.EndpointAtFullPace.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.Float64("own_per_second", before))
	}
}

// limitRamps throttles the endpoints whose ramps allow no request now. If no other endpoint has
// a free slot, the ramps allow more. The caller must hold s.mu.
func (s *Service) limitRamps(loads []pick.Load, now time.Time) {
	if s.isModelService {
		return
	}
	limited, free := false, false
	for i, e := range s.endpoints {
		load := &loads[i]
		switch {
		case !e.ramp.Allows(now, false):
			limited = true
		case !load.Unavailable && !load.Ejected && !load.Tried && !load.Throttled:
			free = free || load.Slots <= 0 || load.InFlight() < load.Slots
		}
	}
	if !limited {
		return
	}
	for i, e := range s.endpoints {
		loads[i].Throttled = loads[i].Throttled || !e.ramp.Allows(now, !free)
	}
}

// isRampDueWithin reports whether a ramp, which keeps the request from an endpoint with a free slot,
// allows it within the request's MaxWait. The caller must hold s.mu.
func (s *Service) isRampDueWithin(req Request, now time.Time) bool {
	if req.MaxWait <= 0 {
		return false
	}
	wait := s.timeToRamp(req.Tried, now)
	return wait > 0 && wait <= req.MaxWait
}

// timeToRamp returns the time until the first endpoint that has a free slot is allowed a request by
// its ramp, or zero if ramps keep the request from no endpoint. The caller must hold s.mu.
func (s *Service) timeToRamp(tried map[string]bool, now time.Time) time.Duration {
	if s.isModelService || !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.ramp.IsActive() }) {
		return 0
	}
	shortest := time.Duration(0)
	loads := s.loads(tried, now)
	for i, e := range s.endpoints {
		load := &loads[i]
		if load.Unavailable || load.Tried || !e.ramp.IsActive() || load.Slots > 0 && load.InFlight() >= load.Slots {
			continue
		}
		if wait := e.ramp.NextSend(true).Sub(now); wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}
