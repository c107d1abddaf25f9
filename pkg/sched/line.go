package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

// noteOutage learns how long the service is without endpoints. The caller holds
// the lock.
func (s *Service) noteOutage(closed bool, now time.Time) {
	switch {
	case closed && s.closedAt.IsZero():
		s.closedAt = now
	case !closed && !s.closedAt.IsZero():
		if s.hasRun {
			s.outage = (s.expectedOutage() + now.Sub(s.closedAt)) / 2
		}
		s.closedAt, s.reopenedAt = time.Time{}, now
	}
}

func (s *Service) expectedOutage() time.Duration {
	switch {
	case !s.hasRun:
		return usualForming
	case s.outage == 0:
		return usualOutage
	default:
		return s.outage
	}
}

// RetryAfter returns when a caller who was refused with cause may come back: when there
// should be room again, spread so that not all come at once.
func (s *Service) RetryAfter(cause error) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(cause, ErrNoEndpoint) && !s.closedAt.IsZero() {
		return max(leastBack, s.expectedOutage()-s.now().Sub(s.closedAt)) + s.draw(outageSpread)
	}
	return leastBack + s.draw(leastBack)
}

// Admit gives a request a seat, lets it wait, or refuses it: at once what would wait
// longer than its patience, and those who can come back when there is no endpoint
// at all. Who waits must Leave.
func (s *Service) Admit(t Request) (Assignment, *Waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	ahead := 0
	for _, w := range s.waiting {
		if !s.goesBefore(t, w.ticket, now) {
			ahead++
		}
	}
	verdict := pick.Full
	if ahead == 0 {
		var given Assignment
		if given, verdict = s.take(t, now); verdict == pick.Chosen {
			return given, nil, nil
		}
	}
	if reason := s.refuses(t, verdict, ahead, now); reason != nil {
		return Assignment{}, nil, reason
	}
	w := &Waiter{ticket: t, turn: make(chan Assignment, 1)}
	s.waiting = append(s.waiting, w)
	return Assignment{}, w, nil
}

// Acquire gives a request a seat after a wait of at most the ticket's patience, or
// refuses it with ErrFull, ErrNone, ErrLate or the error of ctx.
func (s *Service) Acquire(ctx context.Context, t Request) (Assignment, error) {
	given, w, err := s.Admit(t)
	if w == nil {
		return given, err
	}
	timer := time.NewTimer(t.MaxWait)
	defer timer.Stop()
	select {
	case given := <-w.turn:
		return given, nil
	case <-timer.C:
		return s.Cancel(w, ErrQueueTimeout)
	case <-ctx.Done():
		given, err := s.Cancel(w, ctx.Err())
		if err == nil {
			s.Release(given)
			err = ctx.Err()
		}
		return Assignment{}, err
	}
}

// refuses returns why a request had better not wait behind others, nil if it may. The
// caller holds the lock.
func (s *Service) refuses(t Request, verdict pick.Verdict, ahead int, now time.Time) error {
	patience, room := t.MaxWait, 0.0
	if verdict == pick.NoneAvailable || ahead > 0 && !s.closedAt.IsZero() {
		reopens := s.closedAt.Add(s.expectedOutage())
		if !t.ClientRetry || s.closedAt.IsZero() || len(t.Tried) > 0 || reopens.Sub(now) > patience {
			return ErrNoEndpoint
		}
		// All slots are free then.
		room = lateShare * s.slots()
		patience -= max(0, reopens.Sub(now))
	}
	if room+s.ending(now)*patience.Seconds() < float64(ahead+1) {
		return ErrFull
	}
	return nil
}

// slots returns this entry's part of all slots. The caller holds the lock.
func (s *Service) slots() float64 {
	slots := 0
	for _, e := range s.endpoints {
		slots += e.slots
	}
	return float64(slots) / float64(1+s.others())
}

// ending returns how many of this entry's requests end in a second: as many as did
// lately, and at least its part of what the slots bear. The caller holds the lock.
func (s *Service) ending(now time.Time) float64 {
	return max(s.finished.at(now), s.slots()/usualRun.Seconds())
}

// Cancel takes a waiter out of the line and returns the reason, unless its turn has
// just come: then it returns the seat.
func (s *Service) Cancel(w *Waiter, reason error) (Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return Assignment{}, reason
	}
	return <-w.turn, nil
}

// serveWaiting gives room to those who wait, by priority and then by time. The
// caller holds the lock.
func (s *Service) serveWaiting(now time.Time) {
	for len(s.waiting) > 0 {
		next := 0
		for i, w := range s.waiting {
			if s.goesBefore(w.ticket, s.waiting[next].ticket, now) {
				next = i
			}
		}
		w := s.waiting[next]
		given, verdict := s.take(w.ticket, now)
		if verdict != pick.Chosen {
			return
		}
		s.waiting = slices.Delete(s.waiting, next, next+1)
		w.turn <- given
	}
}

// Waiter is a request that waits for a seat.
type Waiter struct {
	ticket Request
	turn   chan Assignment
}

// Assigned yields the seat once it is the waiter's turn.
func (w *Waiter) Assigned() <-chan Assignment { return w.turn }

// Request describes a request that wants a seat.
type Request struct {
	// Priority is the more urgent the lower it is.
	Priority int
	// ClientRetry callers were refused before and don't come again.
	ClientRetry bool
	// Resuming streams have begun at another endpoint.
	Resuming bool
	// MaxWait is how long the request may wait for a seat.
	MaxWait time.Duration
	// Tried holds the endpoints that had an attempt of the request.
	Tried map[string]bool
}

// isLate reports whether a request's caller has waited for too long already to be
// served on time.
func (t Request) isLate() bool { return t.ClientRetry || t.Resuming }

// isSettling reports whether endpoints take requests again only since a short time.
// The caller holds the lock.
func (s *Service) isSettling(now time.Time) bool {
	return s.engine && now.Sub(s.reopenedAt) < settling
}

// goesBefore reports whether a request goes before another that came earlier. After
// an outage those who can still be served on time do. The caller holds the lock.
func (s *Service) goesBefore(t, other Request, now time.Time) bool {
	if s.isSettling(now) && t.isLate() != other.isLate() {
		return !t.isLate()
	}
	return t.before(other)
}

// before reports whether a request goes before another that came earlier.
func (t Request) before(other Request) bool {
	if t.Resuming != other.Resuming {
		return t.Resuming
	}
	if t.Priority != other.Priority {
		return t.Priority < other.Priority
	}
	return t.ClientRetry && !other.ClientRetry
}
