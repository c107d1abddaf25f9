package sched

import (
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
	// unsoundFailures is the failure score from which on an endpoint isn't sound: that of one
	// failure until two seconds later.
	unsoundFailures = 0.5
	// refusalTime is how long an endpoint that refused this entry's last request isn't sound.
	refusalTime = 2 * time.Second
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
	e.refusedAt = time.Time{}
	if result == pace.Refused {
		e.refusedAt = now
	}
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

// limitRamps throttles the endpoints whose ramps allow no request now. If no sound endpoint has a
// free slot, the ramps allow more, and an entry may have one request at each endpoint that has
// answered well. If an endpoint is the only sound one, it gets requests for its slots: the
// alternative would be to refuse them, or to send them to endpoints that fail. The caller
// must hold s.mu.
func (s *Service) limitRamps(loads []pick.Load, now time.Time) {
	if s.isModelService {
		return
	}
	limited, sound, free := false, 0, false
	for i, e := range s.endpoints {
		load := &loads[i]
		allows := e.ramp.Allows(now, false)
		limited = limited || !allows
		if e.isSound(load, now) {
			sound++
			free = free || allows && hasFreeSlot(load)
		}
	}
	if !limited {
		return
	}
	for i, e := range s.endpoints {
		load := &loads[i]
		var allowed bool
		switch {
		case free:
			allowed = e.ramp.Allows(now, false)
		case sound == 0 || sound == 1 && e.isSound(load, now):
			allowed = hasFreeSlot(load)
		default:
			allowed = e.ramp.Allows(now, true) || e.own == 0 && hasFreeSlot(load) && !e.ramp.IsLowered(now)
		}
		load.Throttled = load.Throttled || e.ramp.IsActive() && !allowed
	}
}

// isSound reports whether an endpoint with the given load can get a request now, and has neither
// failed nor refused one lately.
func (e *endpoint) isSound(load *pick.Load, now time.Time) bool {
	return !load.Unavailable && !load.Ejected && !load.Tried && !load.Throttled && load.Failures < unsoundFailures &&
		(e.refusedAt.IsZero() || now.Sub(e.refusedAt) >= refusalTime)
}

func hasFreeSlot(load *pick.Load) bool { return load.Slots <= 0 || load.InFlight() < load.Slots }
