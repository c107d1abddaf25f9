package sched

import (
	"time"

	"github.com/lentilstand/lentilstand/pkg/level"
	"github.com/lentilstand/lentilstand/pkg/pick"
)

// Pressure is an entry's own level of admission for a service, which it sends to others.
type Pressure struct {
	service string
	level   level.Level
	age     time.Duration
}

// NewPressure returns the level of an entry for a service as of an age.
func NewPressure(service string, own level.Level, age time.Duration) Pressure {
	return Pressure{service: service, level: own, age: age}
}

// Service returns the name of the service.
func (p Pressure) Service() string { return p.service }

// Level returns the entry's own level.
func (p Pressure) Level() level.Level { return p.level }

// Age returns the time since the level was computed.
func (p Pressure) Age() time.Duration { return p.age }

// levelLifetime is how long the level of admission is used after it was last updated.
const levelLifetime = time.Second

// UpdatePressure computes the entry's own level of admission from the reports of the service's
// agents and the requests that this entry gets, and agrees on one with those received. It
// returns false if the service has no reports to derive a level from.
func (s *Service) UpdatePressure() (Pressure, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isModelService {
		return Pressure{}, false
	}
	now := s.now()
	loads := s.loads(nil, now)
	pick.EstimateArrivals(loads, replicaExtra, s.sends.at(now))
	group := s.groupSlots(loads)
	if group.reporting == 0 {
		return Pressure{}, false
	}
	reserves := s.kinds.reserves(group.entries, now)
	if len(reserves) == 0 {
		return Pressure{}, false
	}
	own := level.Pressure(s.passCapacity(loads, group.slots, 1)-group.inFlight, reserves)
	s.agreement.Update(own, level.Level(reserves[len(reserves)-1].Priority), now)
	return NewPressure(s.name, own, 0), true
}

// ReceivePressure records the level of admission that another entry has sent.
func (s *Service) ReceivePressure(entry string, pressure Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isModelService {
		return
	}
	s.agreement.Receive(entry, pressure.level, pressure.age, s.now())
}

// reserves returns the kinds of request by priority, with the slots that all of the given number
// of entries need for more urgent ones. Those that this entry has got and not sent count
// twice, as they wait or will return. The last one is a kind that this entry doesn't get.
func (k *kindCounts) reserves(entries float64, now time.Time) []level.Kind {
	perSecond := k.perSecond(now)
	var kinds []level.Kind
	needed := 0.0
	for i, count := range k.kinds {
		priority := count.kind.priority()
		if i == 0 || priority != k.kinds[i-1].kind.priority() {
			kinds = append(kinds, level.Kind{Priority: priority, Reserve: entries * needed})
		}
		needed += (count.offered + max(0, count.offered-count.sent)) * perSecond * reserveTime.Seconds()
	}
	if len(kinds) > 0 {
		kinds = append(kinds, level.Kind{Priority: kinds[len(kinds)-1].Priority + 1, Reserve: entries * needed})
	}
	return kinds
}

// isOverLevel reports whether a request is less urgent than those that the entries admit. Of a
// kind that is admitted in part, requests are held back while more than that part of those
// offered were sent. The caller must hold s.mu.
func (s *Service) isOverLevel(req Request, now time.Time) bool {
	if s.agreement.At().IsZero() || now.Sub(s.agreement.At()) > levelLifetime {
		return false
	}
	share := s.agreement.Level().Share(req.Priority)
	if share >= 1 {
		return false
	}
	offered, sent := s.kinds.ofPriority(req.Priority)
	return sent >= share*offered
}

// Levels returns the level of admission that is used, the entry's own, and the number of other
// entries that it was agreed on with.
func (s *Service) Levels() (agreed, own level.Level, heard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agreement.Level(), s.agreement.Own(), s.agreement.Heard()
}
