package sched

import (
	"math"
	"time"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// Parameters of the time that requests may wait.
const (
	// firstEventWeight is the weight of one stream in the moving averages of the time to the
	// first event and of its deviation.
	firstEventWeight = 0.2
	// firstEventDeviations is how many mean deviations are added to the mean time to the
	// first event, as for a retransmission timeout: few streams take longer.
	firstEventDeviations = 2
	// firstEventLifetime is how long a measured time to the first event is used. The passes
	// of a group are of another length when its load has changed.
	firstEventLifetime = 3 * time.Second
)

// SetEngine sets the figures of the service's model replicas, nil for a plain service.
func (s *Service) SetEngine(engine *table.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = engine
	s.passes.configure(engine, s.gapTarget)
}

// RecordFirstEvent records that the first event of a stream has arrived, which began at the
// endpoint that it was assigned to.
func (s *Service) RecordFirstEvent(assignment Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.firstEvents.add(now.Sub(assignment.assignedAt), now)
}

// MaxWait returns how long a request with a latency target may wait for a slot: the target
// without the expected time to its first event and without one pass as long as the gap
// target, in case the passes become longer meanwhile. It is at least QueueWaitShare of
// the target.
func (s *Service) MaxWait(target time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := time.Duration(float64(target) * QueueWaitShare)
	expected := s.expectedFirstEvent(s.now())
	if expected == 0 {
		return least
	}
	return max(least, target-expected-s.gapTarget)
}

// expectedFirstEvent returns the time from the assignment of a stream until its first event
// that few streams exceed, zero if it isn't known. The caller must hold s.mu.
func (s *Service) expectedFirstEvent(now time.Time) time.Duration {
	if s.firstEvents.isRecent(now) {
		return s.firstEvents.mean + firstEventDeviations*s.firstEvents.deviation
	}
	if s.engine == nil || s.engine.PrefillRate <= 0 {
		return 0
	}
	// The prompt is read in the pass after the one in progress, at the earliest.
	prefill := time.Duration(float64(s.engine.MeanPromptTokens) / s.engine.PrefillRate * float64(time.Second))
	return 2*s.engine.PassTime() + prefill
}

// latency is a moving average of durations and of their deviation from it. The zero value
// has none.
type latency struct {
	mean, deviation time.Duration
	last            time.Time
}

// add adds a duration that was measured now. The first one after firstEventLifetime
// replaces older ones.
func (l *latency) add(measured time.Duration, now time.Time) {
	if !l.isRecent(now) {
		l.mean, l.deviation = measured, measured/2
	} else {
		difference := measured - l.mean
		l.mean += time.Duration(firstEventWeight * float64(difference))
		l.deviation += time.Duration(firstEventWeight * (math.Abs(float64(difference)) - float64(l.deviation)))
	}
	l.last = now
}

// isRecent reports whether a duration was added within firstEventLifetime.
func (l *latency) isRecent(now time.Time) bool {
	return !l.last.IsZero() && now.Sub(l.last) <= firstEventLifetime
}
