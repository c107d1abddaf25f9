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

// Errors of a Gate. All of them mean that nothing has run.
var (
	// ErrBusy says that no credit came free in time.
	ErrBusy = eris.New("the endpoint is busy")
	// ErrClosed says that the gate hands out no more credits.
	ErrClosed = eris.New("the endpoint takes no new work")
	// ErrCreditExpired says that the credit is no longer valid.
	ErrCreditExpired = eris.New("the credit has lapsed")
)

// DefaultCreditLease is how long a credit stays valid without being used.
const DefaultCreditLease = 2 * time.Second

// maxRetired is how many credits that ended unused a gate remembers, so that a
// late Revoke still gets a definite answer.
const maxRetired = 4096

// creditState is what has become of a credit that the gate still counts.
type creditState struct {
	started bool
	lapses  time.Time
}

// waiter is a call of Acquire that waits for room.
type waiter struct {
	alone    bool
	priority int
	order    uint64
	credit   chan uint64
}

// Limiter hands out credits for the work of one endpoint. Use NewGate.
type Limiter struct {
	lease time.Duration
	now   func() time.Time

	mu       sync.Mutex
	capacity int
	closed   bool
	next     uint64
	credits  map[uint64]creditState
	running  int
	alone    uint64
	retired  map[uint64]bool
	retiring []uint64
	waiters  []*waiter
	arrivals uint64
}

// LimiterOption changes a Gate.
type LimiterOption func(*Limiter)

// WithCreditLease sets how long a credit stays valid without being used.
func WithCreditLease(lease time.Duration) LimiterOption {
	return func(g *Limiter) { g.lease = lease }
}

// WithClock sets the clock, for tests.
func WithClock(now func() time.Time) LimiterOption {
	return func(g *Limiter) { g.now = now }
}

// NewLimiter returns an open gate with the given capacity.
func NewLimiter(capacity int, options ...LimiterOption) *Limiter {
	gate := &Limiter{
		lease:    DefaultCreditLease,
		now:      time.Now,
		capacity: capacity,
		credits:  make(map[uint64]creditState),
		retired:  make(map[uint64]bool),
	}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// Lease returns how long a credit stays valid without being used.
func (g *Limiter) Lease() time.Duration { return g.lease }

// Acquire returns a credit. If there is none it waits until ctx ends; higher
// priorities go first, and within a priority those who came first.
func (g *Limiter) Acquire(ctx context.Context, priority int) (uint64, error) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return 0, ErrClosed
	}
	g.sweep()
	if len(g.waiters) == 0 && g.hasRoom() {
		credit := g.grant()
		g.mu.Unlock()
		return credit, nil
	}
	if ctx.Err() != nil {
		g.mu.Unlock()
		return 0, ErrBusy
	}
	self := g.enqueue(&waiter{priority: priority})
	g.mu.Unlock()
	return g.wait(ctx, self)
}

// AcquireExclusive returns a credit at a moment when no other is out, and keeps all
// others back until it is given back. It waits until ctx ends, and nothing new
// is granted meanwhile.
func (g *Limiter) AcquireExclusive(ctx context.Context) (uint64, error) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return 0, ErrClosed
	}
	self := g.enqueue(&waiter{alone: true, priority: math.MaxInt})
	g.sweep()
	g.mu.Unlock()
	return g.wait(ctx, self)
}

// hasRoom reports whether one more credit may be out.
func (g *Limiter) hasRoom() bool { return g.alone == 0 && len(g.credits) < g.capacity }

func (g *Limiter) enqueue(self *waiter) *waiter {
	g.arrivals++
	self.order = g.arrivals
	self.credit = make(chan uint64, 1)
	at, _ := slices.BinarySearchFunc(g.waiters, self, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	g.waiters = slices.Insert(g.waiters, at, self)
	return self
}

// wait blocks until self gets a credit, ctx ends or the gate closes. Credits
// that lapse without a call of the gate come free at the next sweep.
func (g *Limiter) wait(ctx context.Context, self *waiter) (uint64, error) {
	ticker := time.NewTicker(g.lease / 2)
	defer ticker.Stop()
	for {
		select {
		case credit, ok := <-self.credit:
			if !ok {
				return 0, ErrClosed
			}
			return credit, nil
		case <-ticker.C:
			g.Sweep()
		case <-ctx.Done():
			return g.leave(self)
		}
	}
}

// leave takes self out of the queue. A credit that was granted meanwhile is
// still the caller's.
func (g *Limiter) leave(self *waiter) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case credit, ok := <-self.credit:
		if !ok {
			return 0, ErrClosed
		}
		return credit, nil
	default:
	}
	g.waiters = slices.DeleteFunc(g.waiters, func(w *waiter) bool { return w == self })
	g.serve()
	return 0, ErrBusy
}

// grant makes a credit. The caller holds the lock and has checked for room.
func (g *Limiter) grant() uint64 {
	g.next++
	g.credits[g.next] = creditState{lapses: g.now().Add(g.lease)}
	return g.next
}

// Start turns a credit into running work. It fails with ErrLapsed if the credit
// has lapsed, was revoked or has been started before.
func (g *Limiter) Start(credit uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep()
	state, ok := g.credits[credit]
	if !ok || state.started {
		return ErrCreditExpired
	}
	state.started = true
	g.credits[credit] = state
	g.running++
	return nil
}

// Finish gives back a credit, whether it was started or not.
func (g *Limiter) Finish(credit uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.credits[credit]
	if !ok {
		return
	}
	g.drop(credit)
	if state.started {
		g.running--
	} else {
		g.retire(credit)
	}
	g.serve()
}

// drop stops counting a credit.
func (g *Limiter) drop(credit uint64) {
	delete(g.credits, credit)
	if g.alone == credit {
		g.alone = 0
	}
}

// Revoke makes sure that an unstarted credit is never started. It reports
// whether the credit has been started, and true also if the gate can't tell.
func (g *Limiter) Revoke(credit uint64) (started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retired[credit] {
		return false
	}
	state, ok := g.credits[credit]
	if !ok || state.started {
		return true
	}
	g.drop(credit)
	g.retire(credit)
	g.serve()
	return false
}

func (g *Limiter) retire(credit uint64) {
	g.retired[credit] = true
	g.retiring = append(g.retiring, credit)
	if len(g.retiring) > maxRetired {
		delete(g.retired, g.retiring[0])
		g.retiring = g.retiring[1:]
	}
}

// Sweep frees the credits that have lapsed.
func (g *Limiter) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep()
}

func (g *Limiter) sweep() {
	now := g.now()
	for credit, state := range g.credits {
		if !state.started && now.After(state.lapses) {
			g.drop(credit)
			g.retire(credit)
		}
	}
	g.serve()
}

// serve gives free credits to those who wait.
func (g *Limiter) serve() {
	for len(g.waiters) > 0 && g.hasRoom() {
		first := g.waiters[0]
		if first.alone && len(g.credits) > 0 {
			return
		}
		g.waiters = g.waiters[1:]
		credit := g.grant()
		if first.alone {
			g.alone = credit
		}
		first.credit <- credit
	}
}

// SetCapacity changes how many credits may be out. Work that runs already goes
// on; nothing new starts until the sum is below the capacity.
func (g *Limiter) SetCapacity(capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = capacity
	g.serve()
}

// Close refuses all new credits from now on. Credits that are out stay valid.
func (g *Limiter) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, w := range g.waiters {
		close(w.credit)
	}
	g.waiters = nil
}

// Usage is a Gate's state at one moment.
type Usage struct {
	capacity int
	granted  int
	running  int
	waiting  int
}

// Capacity returns how many credits may be out.
func (u Usage) Capacity() int { return u.capacity }

// InUse returns how many credits are out, started or not.
func (u Usage) InUse() int { return u.granted + u.running }

// Running returns how many credits have been started.
func (u Usage) Running() int { return u.running }

// Waiting returns how many calls of Acquire wait.
func (u Usage) Waiting() int { return u.waiting }

// Usage returns the gate's state.
func (g *Limiter) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{
		capacity: g.capacity,
		granted:  len(g.credits) - g.running,
		running:  g.running,
		waiting:  len(g.waiters),
	}
}
