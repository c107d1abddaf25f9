package sched

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Limits that endpoints name.
const (
	// limitWindow is the span over which the requests of all entries must not exceed a
	// limit by more than limitFactor and limitExtra.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitLifetime is how long other entries are told of a limit after it was last seen,
	// and of its end.
	limitLifetime = 30 * time.Second
)

// ErrLimited means that all endpoints that could take the request limit the rate of
// requests, and that it can't be sent in time. Errors of this kind are of type
// limitedError, which names an endpoint.
var ErrLimited = eris.New("all endpoints limit their requests")

// limitedError is ErrLimited with the endpoint whose limit would allow the request first.
type limitedError struct {
	endpoint string
}

func (e limitedError) Error() string {
	return ErrLimited.Error() + ", the first to take one is " + e.endpoint
}

// Is reports whether target is ErrLimited.
func (limitedError) Is(target error) bool { return target == ErrLimited }

// Limit is what an entry knows of the limit of an endpoint.
type Limit struct {
	endpoint  string
	perSecond float64
	age       time.Duration
}

// NewLimit returns the limit of an endpoint incarnation, in requests per second of all
// entries, that was seen the given time ago. Zero means that the endpoint has no limit
// any more.
func NewLimit(incarnation string, perSecond float64, age time.Duration) Limit {
	return Limit{endpoint: incarnation, perSecond: perSecond, age: age}
}

// Incarnation returns the endpoint incarnation.
func (l Limit) Incarnation() string { return l.endpoint }

// PerSecond returns the limit in requests per second, zero for none.
func (l Limit) PerSecond() float64 { return l.perSecond }

// Age returns the time since the endpoint's answer showed the limit.
func (l Limit) Age() time.Duration { return l.age }

// rateLimit is the limit of an endpoint, as its last answer showed it to this entry or to
// another one. The zero value is no limit.
type rateLimit struct {
	perSecond float64
	// seenAt is when the answer was received.
	seenAt time.Time
	// entries is the number of entries that share the limit.
	entries int
	// nextSend is the earliest time at which this entry may send a request.
	nextSend time.Time
}

// interval returns the time between two requests of an entry. The entries send at
// independent moments. If they are so many that they might exceed the limit in a
// window, they send less often.
func (r *rateLimit) interval() time.Duration {
	inWindow := r.perSecond * limitWindow.Seconds()
	shared := ColdLimit{Rate: inWindow, MaxRate: inWindow*limitFactor + limitExtra, Entries: r.entries}
	if shared.perEntry() >= 1 {
		return time.Duration(float64(r.entries) / r.perSecond * float64(time.Second))
	}
	return shared.withPeriod().period * (limitWindow / time.Second)
}

// RecordLimit records the limit that an endpoint's answer shows, in requests per second
// of all entries, zero if it shows none. An answer without a limit ends one only if its
// request was sent after the limit was last seen.
func (s *Service) RecordLimit(assignment Assignment, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := assignment.endpoint
	if perSecond == 0 && (e.limit.perSecond == 0 || assignment.assignedAt.Before(e.limit.seenAt)) {
		return
	}
	s.setLimit(e, perSecond, s.now(), "its answer")
}

// setLimit sets an endpoint's limit. The caller must hold s.mu.
func (s *Service) setLimit(e *endpoint, perSecond float64, seenAt time.Time, source string) {
	changed := perSecond != e.limit.perSecond
	started := changed && e.limit.perSecond == 0
	e.limit.perSecond, e.limit.seenAt = perSecond, seenAt
	e.limit.entries = max(1, s.maxEntriesPerEndpoint(1+s.otherEntries()), e.entries)
	switch {
	case !changed:
	case perSecond == 0:
		event.EndpointUnlimited.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("source", source))
	default:
		interval := e.limit.interval()
		event.EndpointLimited.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.Float64("per_second", perSecond),
			zap.Duration("interval", interval), zap.String("source", source))
		if started {
			// Entries that learn of a limit at the same time must not send together.
			e.limit.nextSend = s.now().Add(s.randomBelow(max(1, interval)))
		}
	}
}

// Limits returns the limits that this entry knows of, and those that have ended lately.
func (s *Service) Limits() []Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	var limits []Limit
	now := s.now()
	for _, e := range s.endpoints {
		if age := now.Sub(e.limit.seenAt); !e.limit.seenAt.IsZero() && age < limitLifetime {
			limits = append(limits, NewLimit(e.spec.Incarnation(), e.limit.perSecond, age))
		}
	}
	return limits
}

// MergeLimits adopts the limits that another entry knows of, where it has seen a later
// answer of the endpoint than this one.
func (s *Service) MergeLimits(limits []Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, limit := range limits {
		at := slices.IndexFunc(s.endpoints, func(e *endpoint) bool { return e.spec.Incarnation() == limit.endpoint })
		if at < 0 || limit.age >= limitLifetime {
			continue
		}
		if seenAt := now.Add(-limit.age); seenAt.After(s.endpoints[at].limit.seenAt) {
			s.setLimit(s.endpoints[at], limit.perSecond, seenAt, "another entry")
		}
	}
}

// EachLimit calls report for each endpoint that has a limit.
func (s *Service) EachLimit(report func(endpoint *table.Endpoint, perSecond float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.limit.perSecond > 0 {
			report(e.spec, e.limit.perSecond)
		}
	}
}

// isAtLimit reports whether this entry has used up its share of the endpoint's limit.
func (e *endpoint) isAtLimit(now time.Time) bool {
	return e.limit.perSecond > 0 && now.Before(e.limit.nextSend)
}

// takeFromLimit counts a request that is sent to the endpoint.
func (e *endpoint) takeFromLimit(now time.Time) {
	if e.limit.perSecond > 0 {
		e.limit.nextSend = now.Add(e.limit.interval())
	}
}

// limitedRate returns how many requests a second this entry may send to the endpoints
// that it uses, and the endpoint that takes the next one and when, if all of them have
// limits. The caller must hold s.mu.
func (s *Service) limitedRate(tried map[string]bool) (perSecond float64, next *endpoint) {
	for _, e := range s.endpoints {
		if e.unused || e.draining || s.evacuated[e.spec.DataCentre()] || tried[e.spec.ID()] {
			continue
		}
		if e.limit.perSecond <= 0 {
			return 0, nil
		}
		perSecond += 1 / e.limit.interval().Seconds()
		if next == nil || e.limit.nextSend.Before(next.limit.nextSend) {
			next = e
		}
	}
	return perSecond, next
}
