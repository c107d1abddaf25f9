package sched

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// trackOutage records the start or the end of an outage, in which no endpoint takes
// requests, and updates the mean length of outages. The time before the first answer
// isn't counted, as expectedOutage uses defaultStartup for it. The caller must hold s.mu.
func (s *Service) trackOutage(noneAvailable bool, now time.Time) {
	switch {
	case noneAvailable && s.outageStart.IsZero():
		s.outageStart = now
		event.OutageBegan.Log(s.logger, zap.String("service", s.name), zap.Duration("expected", s.expectedOutage()))
	case !noneAvailable && !s.outageStart.IsZero():
		event.OutageEnded.Log(s.logger, zap.String("service", s.name), zap.Duration("lasted", now.Sub(s.outageStart)))
		if s.hasServed {
			s.meanOutage = (s.expectedOutage() + now.Sub(s.outageStart)) / 2
		}
		s.outageStart, s.outageEnd = time.Time{}, now
	}
}

// expectedOutage returns how long the current or next outage is expected to last. The
// caller must hold s.mu.
func (s *Service) expectedOutage() time.Duration {
	switch {
	case !s.hasServed:
		return defaultStartup
	case s.meanOutage == 0:
		return defaultOutage
	default:
		return s.meanOutage
	}
}

// RetryAfter returns how long a caller whose request was rejected with cause should
// wait before it retries. That is until an endpoint takes requests again if all have asked
// for a pause or have a limit. Otherwise it is a time at which this entry expects a free slot
// that it hasn't told another caller, during an outage after its expected end.
func (s *Service) RetryAfter(cause error, caller Caller) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if pause := s.commonPause(now); pause > 0 {
		return pause + s.randomBelow(minRetryAfter)
	}
	if errors.Is(cause, ErrLimited) {
		if perSecond, next := s.limitedRate(nil); next != nil {
			// Callers who come back at different moments each find a request allowed.
			wait := max(0, next.limit.nextSend.Sub(now)) + time.Duration(float64(len(s.waiting))/perSecond*float64(time.Second))
			return max(minRetryAfter, wait) + s.randomBelow(max(minRetryAfter, time.Duration(float64(time.Second)/perSecond)))
		}
	}
	earliest := minRetryAfter
	if reach := caller.reach(); reach > 0 {
		// A caller with a short time limit comes back sooner.
		earliest = min(earliest, reach/2)
	}
	if errors.Is(cause, ErrNoEndpoint) && !s.outageStart.IsZero() {
		earliest = max(earliest, s.expectedOutage()-now.Sub(s.outageStart))
	}
	return s.bookedWait(caller, earliest, outageRetrySpread, now)
}

// commonPause returns the time until the first endpoint takes requests again, if all that
// the entry uses have asked for a pause, and otherwise zero. The caller must hold s.mu.
func (s *Service) commonPause(now time.Time) time.Duration {
	var shortest time.Duration
	for _, e := range s.endpoints {
		if e.unused || e.draining || s.evacuated[e.spec.DataCentre()] {
			continue
		}
		left := e.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// completionRate returns how many of this entry's requests are expected to complete per
// second: by the agents' reports if there are any. Otherwise it is the recent rate, but at
// least the rate at which this entry's share of the slots becomes free if all slots are in
// use. That is also the least while endpoints are cold, as slots are free then and wait for
// the limit of cold endpoints, and during the recovery from an outage, as passes become
// shorter with the next expert map. The caller must hold s.mu.
func (s *Service) completionRate(now time.Time) float64 {
	ifBusy := s.slotsPerEntry() / typicalRequestTime.Seconds()
	reported, known := s.reportedRate(now)
	switch {
	case !known:
		return max(s.completions.at(now), ifBusy)
	case s.isRecovering(now) || slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.isCold(now) }):
		return max(reported, ifBusy)
	default:
		return reported
	}
}

// isRecovering reports whether the service has model replicas and its last outage ended
// less than recoveryWindow ago. The caller must hold s.mu.
func (s *Service) isRecovering(now time.Time) bool {
	return s.isModelService && now.Sub(s.outageEnd) < recoveryWindow
}
