package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

// noteOutage learns how long the service is without endpoints. The caller holds
// the lock.
func (s *service) noteOutage(closed bool, now time.Time) {
	switch {
	case closed && s.closedAt.IsZero():
		s.closedAt = now
	case !closed && !s.closedAt.IsZero():
		s.outage = (s.expectedOutage() + now.Sub(s.closedAt)) / 2
		s.closedAt = time.Time{}
	}
}

func (s *service) expectedOutage() time.Duration {
	if s.outage == 0 {
		return usualOutage
	}
	return s.outage
}

// back returns when a caller who was refused with cause may come back: when there
// should be room again, spread so that not all come at once.
func (s *service) back(cause error) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(cause, errNone) && !s.closedAt.IsZero() {
		return max(leastBack, s.expectedOutage()-time.Since(s.closedAt)) + rand.N(outageSpread)
	}
	return leastBack + rand.N(leastBack)
}

// place returns an endpoint for a request, after a wait of at most the ticket's
// patience. It refuses at once what would wait longer, and those who can come
// back when there is no endpoint at all.
func (s *service) place(ctx context.Context, t ticket) (seat, error) {
	now := time.Now()
	s.mu.Lock()
	ahead := 0
	for _, w := range s.waiting {
		if !t.before(w.ticket) {
			ahead++
		}
	}
	verdict := pick.Full
	if ahead == 0 {
		var given seat
		if given, verdict = s.take(t, now); verdict == pick.Chosen {
			s.mu.Unlock()
			return given, nil
		}
	}
	if reason := s.refuses(t, verdict, ahead, now); reason != nil {
		s.mu.Unlock()
		return seat{}, reason
	}
	w := &waiter{ticket: t, turn: make(chan seat, 1)}
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	timer := time.NewTimer(t.patience)
	defer timer.Stop()
	select {
	case given := <-w.turn:
		return given, nil
	case <-timer.C:
		return s.leave(w, errLate)
	case <-ctx.Done():
		given, err := s.leave(w, ctx.Err())
		if err == nil {
			s.release(given.endpoint)
			err = ctx.Err()
		}
		return seat{}, err
	}
}

// refuses returns why a request had better not wait, nil if it may. The caller
// holds the lock.
func (s *service) refuses(t ticket, verdict pick.Verdict, ahead int, now time.Time) error {
	if verdict == pick.None {
		reopens := s.closedAt.Add(s.expectedOutage())
		if !t.returning || s.closedAt.IsZero() || len(t.tried) > 0 || reopens.Sub(now) > t.patience {
			return errNone
		}
		return nil
	}
	if s.ending(now)*t.patience.Seconds() < float64(ahead+1) {
		return errFull
	}
	return nil
}

// ending returns how many of this entry's requests end in a second: as many as did
// lately, and at least its part of what the slots bear. The caller holds the lock.
func (s *service) ending(now time.Time) float64 {
	slots := 0
	for _, e := range s.endpoints {
		slots += e.slots
	}
	return max(s.finished.at(now), float64(slots)/float64(1+s.others())/usualRun.Seconds())
}

// leave takes a waiter out of the line, unless its turn has just come.
func (s *service) leave(w *waiter, reason error) (seat, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return seat{}, reason
	}
	return <-w.turn, nil
}

// serveWaiting gives room to those who wait, by priority and then by time. The
// caller holds the lock.
func (s *service) serveWaiting(now time.Time) {
	for len(s.waiting) > 0 {
		next := 0
		for i, w := range s.waiting {
			if w.before(s.waiting[next].ticket) {
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

// waiter is a request that waits for room.
type waiter struct {
	ticket
	turn chan seat
}

// ticket describes a request that wants an endpoint.
type ticket struct {
	priority int
	// returning callers were refused before and don't come again.
	returning bool
	// resuming streams have begun at another endpoint.
	resuming bool
	patience time.Duration
	tried    map[string]bool
}

// before reports whether a request goes before another that came earlier.
func (t ticket) before(other ticket) bool {
	if t.resuming != other.resuming {
		return t.resuming
	}
	if t.priority != other.priority {
		return t.priority < other.priority
	}
	return t.returning && !other.returning
}
