package admit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Queue. All of them mean that nothing has run.
var (
	// ErrQueueFull says that the queue has no room for the request.
	ErrQueueFull = eris.New("the queue is full")
	// ErrQueueTimeout says that the request's turn didn't come in time.
	ErrQueueTimeout = eris.New("the request waited too long in the queue")
)

// Limits bounds the requests that wait in a Queue.
type Limits interface {
	// MaxRequests returns how many requests may wait.
	MaxRequests() int
	// MaxBytes returns how many bytes their bodies may hold.
	MaxBytes() int64
	// MaxWait returns how long a request may wait.
	MaxWait() time.Duration
}

// Request describes a request that wants to pass a Queue.
type Request struct {
	team     string
	weight   int
	priority int
	bytes    int64
}

// NewRequest returns the ticket of a request of a team with a weight of at least
// one. Bytes is the size of the request's body.
func NewRequest(team string, weight, priority int, bytes int64) Request {
	return Request{team: team, weight: max(1, weight), priority: priority, bytes: bytes}
}

// place is a ticket that waits.
type place struct {
	ticket Request
	order  uint64
	turn   chan error
}

// teamLine is what waits for one team. Its pass grows by the inverse of the
// weight with each turn, and the line with the smallest pass is next.
type teamLine struct {
	places []*place
	pass   float64
	weight int
	bytes  int64
}

// Queue lets a bounded number of requests pass at a time. Teams take turns in
// proportion to their weights; within a team higher priorities go first. When
// it is full, a request of a team that holds less than its share takes the
// place of the newest request of the team that holds the most for its weight.
// Use NewQueue.
type Queue struct {
	width int
	now   func() time.Time

	mu       sync.Mutex
	limits   Limits
	inside   int
	lines    map[string]*teamLine
	waiting  int
	bytes    int64
	pass     float64
	arrivals uint64
	passed   rate
}

// NewQueue returns a queue that lets width requests pass at a time.
func NewQueue(limits Limits, width int) *Queue {
	return &Queue{
		width:  max(1, width),
		now:    time.Now,
		limits: limits,
		lines:  make(map[string]*teamLine),
	}
}

// Configure changes the limits and the width. What waits already stays.
func (q *Queue) Configure(limits Limits, width int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	q.width = max(1, width)
	q.serve()
}

// Acquire waits for the ticket's turn. After it returned nil the caller must call
// Leave once. It fails with ErrFull, ErrWaited or the error of ctx.
func (q *Queue) Acquire(ctx context.Context, ticket Request) error {
	q.mu.Lock()
	if q.waiting == 0 && q.inside < q.width {
		q.inside++
		q.passed.add(q.now())
		q.mu.Unlock()
		return nil
	}
	if !q.makeRoom(ticket) {
		q.mu.Unlock()
		return ErrQueueFull
	}
	self := q.enqueue(ticket)
	maxWait := q.limits.MaxWait()
	q.mu.Unlock()

	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-self.turn:
		return err
	case <-timer.C:
		return q.abandon(self, ErrQueueTimeout)
	case <-ctx.Done():
		return q.abandon(self, ctx.Err())
	}
}

// fits reports whether one more ticket is within the limits.
func (q *Queue) fits(ticket Request) bool {
	return q.waiting < q.limits.MaxRequests() && q.bytes+ticket.bytes <= q.limits.MaxBytes()
}

// makeRoom pushes out places of teams above their share until ticket fits.
func (q *Queue) makeRoom(ticket Request) bool {
	if ticket.bytes > q.limits.MaxBytes() || q.limits.MaxRequests() == 0 {
		return false
	}
	for !q.fits(ticket) {
		greedy, line := q.greediest()
		if line == nil || greedy == ticket.team {
			return false
		}
		own := 1.0 / float64(ticket.weight)
		if mine := q.lines[ticket.team]; mine != nil {
			own = float64(len(mine.places)+1) / float64(ticket.weight)
		}
		if float64(len(line.places))/float64(line.weight) <= own {
			return false
		}
		last := newest(line.places)
		q.remove(last)
		last.turn <- ErrQueueFull
	}
	return true
}

func newest(places []*place) *place {
	return slices.MaxFunc(places, func(a, b *place) int { return cmp.Compare(a.order, b.order) })
}

// greediest returns the team with the most places for its weight.
func (q *Queue) greediest() (string, *teamLine) {
	var name string
	var most *teamLine
	for team, line := range q.lines {
		if most == nil || len(line.places)*most.weight > len(most.places)*line.weight ||
			(len(line.places)*most.weight == len(most.places)*line.weight && team < name) {
			name, most = team, line
		}
	}
	return name, most
}

func (q *Queue) enqueue(ticket Request) *place {
	line, ok := q.lines[ticket.team]
	if !ok {
		line = &teamLine{}
		q.lines[ticket.team] = line
	}
	line.pass = max(line.pass, q.pass)
	line.weight = ticket.weight
	q.arrivals++
	self := &place{ticket: ticket, order: q.arrivals, turn: make(chan error, 1)}
	at, _ := slices.BinarySearchFunc(line.places, self, func(a, b *place) int {
		return cmp.Or(cmp.Compare(b.ticket.priority, a.ticket.priority), cmp.Compare(a.order, b.order))
	})
	line.places = slices.Insert(line.places, at, self)
	line.bytes += ticket.bytes
	q.waiting++
	q.bytes += ticket.bytes
	return self
}

// remove takes a place out of its line. It reports false if it isn't there.
func (q *Queue) remove(self *place) bool {
	line := q.lines[self.ticket.team]
	if line == nil {
		return false
	}
	at := slices.Index(line.places, self)
	if at < 0 {
		return false
	}
	line.places = slices.Delete(line.places, at, at+1)
	line.bytes -= self.ticket.bytes
	q.waiting--
	q.bytes -= self.ticket.bytes
	q.forget(self.ticket.team, line)
	return true
}

// forget drops a line that is empty and owes no turns, so that a team which
// comes and goes can't take more than its share.
func (q *Queue) forget(team string, line *teamLine) {
	if len(line.places) == 0 && line.pass <= q.pass {
		delete(q.lines, team)
	}
}

// abandon gives up waiting. A turn that came meanwhile is passed on.
func (q *Queue) abandon(self *place, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remove(self) {
		return cause
	}
	if err := <-self.turn; err == nil {
		q.inside--
		q.serve()
	}
	return cause
}

// Release makes room for the next request.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inside--
	q.serve()
}

// serve gives turns while there is room.
func (q *Queue) serve() {
	for q.inside < q.width && q.waiting > 0 {
		line := q.nextLine()
		first := line.places[0]
		q.pass = line.pass
		line.pass += 1 / float64(line.weight)
		q.remove(first)
		q.inside++
		q.passed.add(q.now())
		first.turn <- nil
	}
}

func (q *Queue) nextLine() *teamLine {
	var name string
	var next *teamLine
	for team, line := range q.lines {
		if len(line.places) == 0 {
			q.forget(team, line)
			continue
		}
		if next == nil || line.pass < next.pass || (line.pass == next.pass && team < name) {
			name, next = team, line
		}
	}
	return next
}

// Length returns how many requests wait and how many bytes they hold.
func (q *Queue) Length() (requests int, bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting, q.bytes
}

// RetryAfter returns the time after which what waits now will have passed, at
// the rate of the last seconds, and at least one second.
func (q *Queue) RetryAfter() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	perSecond := q.passed.perSecond(q.now())
	if perSecond <= 0 {
		return max(time.Second, q.limits.MaxWait())
	}
	wait := time.Duration(float64(q.waiting+1) / perSecond * float64(time.Second))
	return max(time.Second, wait.Round(time.Second))
}

// rateWindow is the time over which a rate is counted.
const rateWindow = 5 * time.Second

// rate counts events over two windows, the current and the one before.
type rate struct {
	start    time.Time
	current  int
	previous int
}

func (r *rate) roll(now time.Time) {
	switch passed := now.Sub(r.start); {
	case passed >= 2*rateWindow:
		r.start, r.current, r.previous = now, 0, 0
	case passed >= rateWindow:
		r.start, r.current, r.previous = r.start.Add(rateWindow), 0, r.current
	}
}

func (r *rate) add(now time.Time) {
	r.roll(now)
	r.current++
}

// perSecond returns the rate, with the previous window weighed by how much of
// it lies within one window before now.
func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	share := 1 - float64(now.Sub(r.start))/float64(rateWindow)
	return (float64(r.current) + share*float64(r.previous)) / rateWindow.Seconds()
}
