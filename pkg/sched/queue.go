package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

// Admit assigns a request to an endpoint, queues it, or rejects it. It rejects a
// request at once if the expected wait exceeds its MaxWait. While no endpoint takes
// requests, it also rejects requests whose callers can still retry. If Admit returns
// a Waiter, the caller must receive from Assigned or call Cancel. It must Release the
// assignment that it gets from either.
func (s *Service) Admit(req Request) (Assignment, *Waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !req.Resuming {
		s.kinds.countOffered(req.kind(), now)
	}
	if !req.isLate() {
		s.arrivals.add(now)
	}
	ahead := 0
	for _, w := range s.waiting {
		if !s.precedes(req, w.request, now) {
			ahead++
		}
	}
	verdict, held := pick.Full, hold{}
	if ahead == 0 {
		var assignment Assignment
		if assignment, verdict = s.assign(req, now); verdict == pick.Chosen {
			return assignment, nil, nil
		}
		held = s.held
	}
	err := s.rejection(req, verdict, ahead, now)
	s.recordHold(req, held, err, now)
	if errors.Is(err, ErrFull) {
		return Assignment{}, nil, held.withHold(err)
	}
	if err != nil {
		return Assignment{}, nil, err
	}
	w := &Waiter{request: req, held: held, assigned: make(chan Assignment, 1)}
	s.waiting = append(s.waiting, w)
	return Assignment{}, w, nil
}

// Acquire assigns a request to an endpoint, and waits at most the request's MaxWait
// for a free slot. It fails with ErrFull, ErrNoEndpoint, ErrPaused, ErrLimited,
// ErrQueueTimeout or the error of ctx.
func (s *Service) Acquire(ctx context.Context, req Request) (Assignment, error) {
	assignment, w, err := s.Admit(req)
	if w == nil {
		return assignment, err
	}
	timer := time.NewTimer(req.MaxWait)
	defer timer.Stop()
	if wait := s.timeToLimitedSend(); wait > 0 && wait < req.MaxWait {
		// No report or completion tells that a limit allows the next request.
		defer time.AfterFunc(wait, s.assignDue).Stop()
	}
	select {
	case assignment := <-w.assigned:
		return assignment, nil
	case <-timer.C:
		return s.Cancel(w, w.held.withHold(s.queueTimeoutError(req)))
	case <-ctx.Done():
		assignment, err := s.Cancel(w, ctx.Err())
		if err == nil {
			s.Release(assignment)
			err = ctx.Err()
		}
		return Assignment{}, err
	}
}

// queueTimeoutError returns the error of a request that has been in the queue for its MaxWait:
// ErrLimited if the limits of all endpoints kept it there.
func (s *Service) queueTimeoutError(req Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, next := s.limitedRate(req.Tried); next != nil {
		return limitedError{next.spec.ID()}
	}
	return ErrQueueTimeout
}

// timeToLimitedSend returns the time until the first endpoint takes a request, if all of
// them have limits, and otherwise zero.
func (s *Service) timeToLimitedSend() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, next := s.limitedRate(nil); next != nil {
		return next.limit.nextSend.Sub(s.now())
	}
	return 0
}

// assignDue assigns queued requests that can be assigned now.
func (s *Service) assignDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignWaiting(s.now())
}

// rejection returns nil if a request may be queued behind ahead others, and otherwise
// the error to reject it with. While no endpoint takes requests, it may be queued only
// if its caller won't retry, it has not been sent yet, and the outage is expected to end
// within its MaxWait. While all endpoints leave or are evacuated, there is nothing to wait
// for. The caller must hold s.mu.
func (s *Service) rejection(req Request, verdict pick.Verdict, ahead int, now time.Time) error {
	maxWait, freedSlots := req.MaxWait, 0.0
	if s.isWithdrawn() {
		return ErrNoEndpoint
	}
	if s.commonPause(now) > maxWait {
		return ErrPaused
	}
	if perSecond, next := s.limitedRate(req.Tried); next != nil {
		if wait := max(0, next.limit.nextSend.Sub(now)); wait > maxWait || float64(ahead) > (maxWait-wait).Seconds()*perSecond {
			return limitedError{next.spec.ID()}
		}
		return nil
	}
	if verdict == pick.NoneAvailable || ahead > 0 && !s.outageStart.IsZero() {
		expectedEnd := s.outageStart.Add(s.expectedOutage())
		if !req.ClientRetry || s.outageStart.IsZero() || len(req.Tried) > 0 || expectedEnd.Sub(now) > maxWait {
			return ErrNoEndpoint
		}
		// All slots are free when the outage ends, and late requests get lateSlotShare
		// of them.
		freedSlots = lateSlotShare * s.slotsPerEntry()
		maxWait -= max(0, expectedEnd.Sub(now))
	}
	if freedSlots+s.rateLeft(req, now)*maxWait.Seconds() < float64(ahead+1) {
		return ErrFull
	}
	return nil
}

// isWithdrawn reports whether the operator or the endpoints themselves have withdrawn all
// endpoints, which doesn't end as an outage does. The caller must hold s.mu.
func (s *Service) isWithdrawn() bool {
	return len(s.endpoints) > 0 && !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return !e.draining && !s.evacuated[e.spec.DataCentre()]
	})
}

// slotsPerEntry returns the number of all endpoints' slots divided by the number of
// entries. The caller must hold s.mu.
func (s *Service) slotsPerEntry() float64 {
	slots := 0
	for _, e := range s.endpoints {
		slots += e.slots
	}
	return float64(slots) / float64(1+s.otherEntries())
}

// Cancel removes a waiter from the queue and returns err. If the waiter has been
// assigned to an endpoint in the meantime, Cancel returns the assignment instead.
func (s *Service) Cancel(w *Waiter, err error) (Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return Assignment{}, err
	}
	return <-w.assigned, nil
}

// assignWaiting assigns queued requests to endpoints, in the order of precedes and
// then of arrival, until one can't be assigned. The caller must hold s.mu.
func (s *Service) assignWaiting(now time.Time) {
	if len(s.waiting) == 0 {
		// No team is behind another.
		clear(s.turns)
	}
	for len(s.waiting) > 0 {
		next := 0
		for i, w := range s.waiting {
			if s.precedes(w.request, s.waiting[next].request, now) {
				next = i
			}
		}
		w := s.waiting[next]
		assignment, verdict := s.assign(w.request, now)
		if verdict != pick.Chosen {
			return
		}
		s.waiting = slices.Delete(s.waiting, next, next+1)
		s.turns.take(w.request)
		w.assigned <- assignment
	}
}

// Waiter is a queued request.
type Waiter struct {
	request Request
	// held is why the request was held back when it arrived, if it was.
	held     hold
	assigned chan Assignment
}

// Assigned returns a channel that receives the assignment once there is one.
func (w *Waiter) Assigned() <-chan Assignment { return w.assigned }

// Request describes a request that is to be assigned to an endpoint.
type Request struct {
	// ID identifies the request in logs.
	ID string
	// Priority orders queued requests; lower values go first.
	Priority int
	// ClientRetry is set if the caller's previous request was rejected. Such callers
	// don't retry again.
	ClientRetry bool
	// Resuming is set for a stream that began at another endpoint.
	Resuming bool
	// Team is the name of the caller's team, empty if there is none.
	Team string
	// PromptTokens is the number of tokens of the prompt, zero if it isn't known.
	PromptTokens int
	// MaxWait bounds the time that the request spends in the queue.
	MaxWait time.Duration
	// MaxEndpointWait bounds the time for which the request is expected to wait for a slot
	// of its endpoint, zero for no bound.
	MaxEndpointWait time.Duration
	// Tried holds the IDs of the endpoints that the request was sent to before.
	Tried map[string]bool
}

// isLate reports whether the request has been delayed too long already to be answered
// on time.
func (r Request) isLate() bool { return r.ClientRetry || r.Resuming }

// precedes reports whether req goes before other, which arrived earlier. During the
// recovery from an outage, requests that can still be answered on time go first. Otherwise
// those of kinds that are underserved do. Teams take turns within a kind. The caller must hold
// s.mu.
func (s *Service) precedes(req, other Request, now time.Time) bool {
	if s.isRecovering(now) && req.isLate() != other.isLate() {
		return !req.isLate()
	}
	if first := s.isUnderserved(req); first != s.isUnderserved(other) {
		return first && !other.Resuming
	}
	if req.normallyPrecedes(other) || other.normallyPrecedes(req) {
		return req.normallyPrecedes(other)
	}
	return s.turns.precedes(req, other)
}

// normallyPrecedes reports whether r goes before other, which arrived earlier, except
// during the recovery from an outage. At equal priority, requests that can still be on time
// go before those that can't: a late response has less value, and one that waits for a late
// one becomes late as well.
func (r Request) normallyPrecedes(other Request) bool {
	if r.Resuming != other.Resuming {
		return r.Resuming
	}
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return !r.isLate() && other.isLate()
}
