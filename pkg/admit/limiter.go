package admit

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Limiter. Each of them means that the call has started no request.
var (
	// ErrBusy is returned if no credit became available in time.
	ErrBusy = eris.New("the endpoint is busy")
	// ErrClosed is returned by a closed Limiter, which grants no more credits.
	ErrClosed = eris.New("the endpoint takes no new work")
	// ErrCreditExpired is returned for a credit that has expired, was revoked or
	// has been started before.
	ErrCreditExpired = eris.New("the credit has lapsed")
)

// DefaultCreditLease is how long an unstarted credit stays valid.
const DefaultCreditLease = 2 * time.Second

// maxRetired is how many credits that ended unstarted a limiter remembers, so
// that a late Revoke still gets a definite answer.
const maxRetired = 4096

// creditState is the state of a credit that counts against the capacity.
type creditState struct {
	started bool
	expires time.Time
}

// waiter is a blocked call of Acquire or AcquireExclusive.
type waiter struct {
	exclusive bool
	priority  int
	sequence  uint64
	credit    chan uint64
}

// Limiter limits how many requests an endpoint runs at a time by granting
// credits. Create it with NewLimiter.
type Limiter struct {
	lease time.Duration
	now   func() time.Time

	mu         sync.Mutex
	capacity   int
	closed     bool
	lastCredit uint64
	credits    map[uint64]creditState
	running    int
	// exclusive is the credit granted by AcquireExclusive, zero if there is none.
	exclusive uint64
	// retired holds the credits that ended unstarted, retiredOrder the same
	// credits from the oldest to the newest.
	retired      map[uint64]bool
	retiredOrder []uint64
	waiters      []*waiter
	arrivals     uint64
}

// LimiterOption configures a Limiter.
type LimiterOption func(*Limiter)

// WithCreditLease sets how long an unstarted credit stays valid.
func WithCreditLease(lease time.Duration) LimiterOption {
	return func(l *Limiter) { l.lease = lease }
}

// WithClock replaces the system clock, for tests.
func WithClock(now func() time.Time) LimiterOption {
	return func(l *Limiter) { l.now = now }
}

// NewLimiter returns an open Limiter with the given capacity.
func NewLimiter(capacity int, options ...LimiterOption) *Limiter {
	limiter := &Limiter{
		lease:    DefaultCreditLease,
		now:      time.Now,
		capacity: capacity,
		credits:  make(map[uint64]creditState),
		retired:  make(map[uint64]bool),
	}
	for _, option := range options {
		option(limiter)
	}
	return limiter
}

// Lease returns how long an unstarted credit stays valid.
func (l *Limiter) Lease() time.Duration { return l.lease }

// Acquire returns a credit. If none is available it waits until ctx ends. Waiters
// are served by priority, highest first, and in order of arrival within one.
// It fails with ErrBusy or ErrClosed.
func (l *Limiter) Acquire(ctx context.Context, priority int) (uint64, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return 0, ErrClosed
	}
	l.sweep()
	if len(l.waiters) == 0 && l.hasCapacity() {
		credit := l.grant()
		l.mu.Unlock()
		return credit, nil
	}
	if ctx.Err() != nil {
		l.mu.Unlock()
		return 0, ErrBusy
	}
	w := l.enqueue(&waiter{priority: priority})
	l.mu.Unlock()
	return l.wait(ctx, w)
}

// AcquireExclusive returns the only credit in use: it waits until all others have
// been returned, at most until ctx ends, and no other credit is granted while it
// waits or until its own credit is returned. It fails with ErrBusy or ErrClosed.
func (l *Limiter) AcquireExclusive(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return 0, ErrClosed
	}
	w := l.enqueue(&waiter{exclusive: true, priority: math.MaxInt})
	l.sweep()
	l.mu.Unlock()
	return l.wait(ctx, w)
}

// hasCapacity reports whether another credit may be granted.
func (l *Limiter) hasCapacity() bool { return l.exclusive == 0 && len(l.credits) < l.capacity }

func (l *Limiter) enqueue(w *waiter) *waiter {
	l.arrivals++
	w.sequence = l.arrivals
	w.credit = make(chan uint64, 1)
	at, _ := slices.BinarySearchFunc(l.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.sequence, b.sequence))
	})
	l.waiters = slices.Insert(l.waiters, at, w)
	return w
}

// wait blocks until w gets a credit, ctx ends or the limiter is closed. It sweeps
// periodically, since a credit expires without a call of the limiter.
func (l *Limiter) wait(ctx context.Context, w *waiter) (uint64, error) {
	ticker := time.NewTicker(l.lease / 2)
	defer ticker.Stop()
	for {
		select {
		case credit, ok := <-w.credit:
			if !ok {
				return 0, ErrClosed
			}
			return credit, nil
		case <-ticker.C:
			l.Sweep()
		case <-ctx.Done():
			return l.cancel(w)
		}
	}
}

// cancel removes w from the waiters. If w got a credit before the lock was taken,
// cancel returns that credit.
func (l *Limiter) cancel(w *waiter) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case credit, ok := <-w.credit:
		if !ok {
			return 0, ErrClosed
		}
		return credit, nil
	default:
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(other *waiter) bool { return other == w })
	l.grantWaiting()
	return 0, ErrBusy
}

// grant issues a credit. The caller holds the lock and has checked the capacity.
func (l *Limiter) grant() uint64 {
	l.lastCredit++
	l.credits[l.lastCredit] = creditState{expires: l.now().Add(l.lease)}
	return l.lastCredit
}

// Start marks the request of a credit as running. It fails with ErrCreditExpired
// if the credit has expired, was revoked or has been started before.
func (l *Limiter) Start(credit uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	state, ok := l.credits[credit]
	if !ok || state.started {
		return ErrCreditExpired
	}
	state.started = true
	l.credits[credit] = state
	l.running++
	return nil
}

// Finish returns a credit, started or not.
func (l *Limiter) Finish(credit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.credits[credit]
	if !ok {
		return
	}
	l.remove(credit)
	if state.started {
		l.running--
	} else {
		l.retire(credit)
	}
	l.grantWaiting()
}

// remove stops counting a credit against the capacity.
func (l *Limiter) remove(credit uint64) {
	delete(l.credits, credit)
	if l.exclusive == credit {
		l.exclusive = 0
	}
}

// Revoke invalidates a credit that has not been started. It reports whether the
// credit has been started, and also returns true for an unknown credit, which may
// have been.
func (l *Limiter) Revoke(credit uint64) (started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired[credit] {
		return false
	}
	state, ok := l.credits[credit]
	if !ok || state.started {
		return true
	}
	l.remove(credit)
	l.retire(credit)
	l.grantWaiting()
	return false
}

// retire remembers that a credit ended unstarted.
func (l *Limiter) retire(credit uint64) {
	l.retired[credit] = true
	l.retiredOrder = append(l.retiredOrder, credit)
	if len(l.retiredOrder) > maxRetired {
		delete(l.retired, l.retiredOrder[0])
		l.retiredOrder = l.retiredOrder[1:]
	}
}

// Sweep releases the expired credits.
func (l *Limiter) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
}

func (l *Limiter) sweep() {
	now := l.now()
	for credit, state := range l.credits {
		if !state.started && now.After(state.expires) {
			l.remove(credit)
			l.retire(credit)
		}
	}
	l.grantWaiting()
}

// grantWaiting grants the available credits to the waiters in order.
func (l *Limiter) grantWaiting() {
	for len(l.waiters) > 0 && l.hasCapacity() {
		first := l.waiters[0]
		if first.exclusive && len(l.credits) > 0 {
			return
		}
		l.waiters = l.waiters[1:]
		credit := l.grant()
		if first.exclusive {
			l.exclusive = credit
		}
		first.credit <- credit
	}
}

// SetCapacity changes how many credits may be in use. Running requests go on; if
// more credits are in use than the new capacity, none is granted until enough of
// them have been returned.
func (l *Limiter) SetCapacity(capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
	l.grantWaiting()
}

// Close makes all pending and later calls of Acquire fail. Credits that were
// granted before stay valid.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, w := range l.waiters {
		close(w.credit)
	}
	l.waiters = nil
}

// Usage is a snapshot of a Limiter's counts.
type Usage struct {
	capacity  int
	unstarted int
	running   int
	waiting   int
}

// Capacity returns how many credits may be in use.
func (u Usage) Capacity() int { return u.capacity }

// InUse returns how many credits are in use, started or not.
func (u Usage) InUse() int { return u.unstarted + u.running }

// Running returns how many of the credits in use have been started.
func (u Usage) Running() int { return u.running }

// Waiting returns how many calls of Acquire are blocked.
func (u Usage) Waiting() int { return u.waiting }

// Usage returns the current counts.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{
		capacity:  l.capacity,
		unstarted: len(l.credits) - l.running,
		running:   l.running,
		waiting:   len(l.waiters),
	}
}
