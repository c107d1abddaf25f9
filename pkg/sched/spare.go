package sched

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// Parameters of the times at which callers are told to retry.
const (
	// waitShare is the share of the time left for its request that a caller waits at most
	// before it retries. Callers honour a Retry-After up to a third, and earlier ones leave
	// time for the way there.
	waitShare = 0.32
	// unbookedDelay is the share of the time in which callers come back that is left to those
	// with a booking, before others come. With 0 and 0.5 fewer callers of an outage were
	// answered in a simulation.
	unbookedDelay = 0.8
	// minSpareShare is the least share of the completions that is booked for callers that
	// retry. They get a part of the slots even while new requests need all of them.
	minSpareShare = 0.1
	// balancedPassFactor is the factor by which passes take longer than with the balance that
	// the engine's figures assume, on a map that a leader has planned.
	balancedPassFactor = 1.3
	// minRetryJitter is the least random part of a time, as callers that were refused together
	// in an outage may all have to be back before its end.
	minRetryJitter = 100 * time.Millisecond
	// arrivalHalfLife is the half-life of the rate of new requests. One entry has a few per
	// second, and the spare rate is a small difference.
	arrivalHalfLife = 4 * time.Second
)

// Caller is a caller whose request is refused.
type Caller struct {
	// Key identifies the request. Repetitions of a request have the same key.
	Key uint64
	// Priority is that of the request; lower values are more urgent.
	Priority int
	// TimeLeft is the time left for the request, zero if it isn't known.
	TimeLeft time.Duration
	// HasRetried is set if the caller's previous request was rejected too.
	HasRetried bool
}

// reach returns how long the caller waits at most before it retries, zero if it isn't known.
func (c Caller) reach() time.Duration { return max(0, time.Duration(waitShare*float64(c.TimeLeft))) }

// arrivalRate is the rate of new requests, decayed with arrivalHalfLife.
type arrivalRate struct {
	count       float64
	first, last time.Time
}

// add counts a request.
func (a *arrivalRate) add(now time.Time) {
	if a.first.IsZero() {
		a.first = now
	}
	a.count = a.count*math.Exp2(-now.Sub(a.last).Seconds()/arrivalHalfLife.Seconds()) + 1
	a.last = now
}

// at returns the rate per second at the time now. Until some half-lives have passed since the
// first request, it is the mean over a shorter time.
func (a *arrivalRate) at(now time.Time) float64 {
	if a.first.IsZero() {
		return 0
	}
	halfLives := now.Sub(a.first).Seconds() / arrivalHalfLife.Seconds()
	span := arrivalHalfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-halfLives))
	return a.count * math.Exp2(-now.Sub(a.last).Seconds()/arrivalHalfLife.Seconds()) / max(1, span)
}

// fullRate returns how many of this entry's requests are expected to complete per second while
// all slots are in use. During an outage and the recovery from it, passes are expected to take
// as long as on a map that a leader has planned. The caller must hold s.mu.
func (s *Service) fullRate(now time.Time) float64 {
	rate, e := s.completionRate(now), s.engine
	if !s.isModelService || e == nil || e.Stride <= 0 || e.PrefillRate <= 0 || s.outageStart.IsZero() && !s.isRecovering(now) {
		return rate
	}
	passes := float64(e.MeanOutputTokens)/float64(e.Stride) + 1
	// In each pass, a slot in passes begins a response.
	prefill := float64(e.Slots) / passes * float64(e.MeanPromptTokens) / e.PrefillRate
	return max(rate, s.slotsPerEntry()/(passes*balancedPassFactor*(e.PassTime().Seconds()+prefill)))
}

// spareRate returns how many callers that retry this entry can serve per second besides new
// requests. The caller must hold s.mu.
func (s *Service) spareRate(now time.Time) float64 {
	full := s.fullRate(now)
	return max(minSpareShare*full, full-s.arrivals.at(now))
}

// bookedWait returns how long a caller should wait before it retries, at least earliest and at
// most about spread longer. Its time is booked. If there is no room before it must be back, it
// is told a random one towards the end, when more of those with a booking are done. A caller
// that repeats a request, or another one with the same content, is told a random time after the
// booked one, so that it has no advantage and costs others no booking.
// The caller must hold s.mu.
func (s *Service) bookedWait(caller Caller, earliest, spread time.Duration, now time.Time) time.Duration {
	latest := earliest + spread - minRetryJitter
	if reach := caller.reach(); reach > 0 {
		latest = max(earliest, min(latest, reach))
	}
	defer s.logRetries(now)
	at, repeated := s.bookings.Booked(caller.Key, now)
	if !repeated && !caller.HasRetried {
		perSecond := s.spareRate(now)
		if at, ok := s.bookings.Reserve(caller.Key, caller.Priority, perSecond, now.Add(earliest), now.Add(latest), now); ok {
			// All entries begin to book at the same time, so each caller is told a random time
			// before the next booking.
			s.retries.booked++
			earliest, latest = at.Sub(now), min(latest, at.Sub(now)+time.Duration(float64(time.Second)/perSecond))
			return earliest + s.randomBelow(max(minRetryJitter, latest-earliest))
		}
	}
	if repeated {
		s.retries.repeated++
		earliest = max(earliest, min(latest, at.Sub(now)))
	} else {
		s.retries.unbooked++
		earliest += time.Duration(unbookedDelay * float64(latest-earliest))
	}
	return earliest + s.randomBelow(max(minRetryJitter, latest-earliest))
}

// retryLogPeriod is the shortest time between two log entries on when callers were told to retry.
const retryLogPeriod = time.Second

// retryCounts counts the callers that were told when to retry since loggedAt.
type retryCounts struct {
	booked, unbooked, repeated int
	loggedAt                   time.Time
}

// logRetries logs when callers were told to retry, at most once in retryLogPeriod. The caller
// must hold s.mu.
func (s *Service) logRetries(now time.Time) {
	counts := &s.retries
	if now.Sub(counts.loggedAt) < retryLogPeriod {
		return
	}
	event.RetriesSpread.Log(s.logger, zap.String("service", s.name), zap.Int("booked", counts.booked), zap.Int("unbooked", counts.unbooked),
		zap.Int("repeated", counts.repeated), zap.Float64("full_per_second", s.fullRate(now)), zap.Float64("new_per_second", s.arrivals.at(now)),
		zap.Float64("spare_per_second", s.spareRate(now)))
	*counts = retryCounts{loggedAt: now}
}

// Forecast is what an entry expects of a service.
type Forecast struct {
	completions, spare, lateFill float64
	bookings                     int
}

// CompletionsPerSecond returns how many of the entry's requests are expected to complete.
func (f Forecast) CompletionsPerSecond() float64 { return f.completions }

// SparePerSecond returns the rate at which callers of refused requests are told to retry.
func (f Forecast) SparePerSecond() float64 { return f.spare }

// LateFill returns how many requests each endpoint may have for late ones to begin, zero if
// passes don't limit that now.
func (f Forecast) LateFill() float64 { return f.lateFill }

// Bookings returns the number of callers that are expected to return at a booked time.
func (f Forecast) Bookings() int { return f.bookings }

// Forecast returns what the entry expects now.
func (s *Service) Forecast() Forecast {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	f := Forecast{completions: s.completionRate(now), spare: s.spareRate(now), bookings: s.bookings.Len(now)}
	if load := s.groupState(now); s.isRecovering(now) && s.canPredictPasses(load) {
		f.lateFill = s.bearable(load, now)
	}
	return f
}
