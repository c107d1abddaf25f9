package admit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Queue. Each of them means that the request has not run.
var (
	// ErrQueueFull is returned if the request exceeds the limits of the queue or
	// was evicted in favour of another team.
	ErrQueueFull = eris.New("the queue is full")
	// ErrQueueTimeout is returned if the request wasn't scheduled within the
	// maximum wait.
	ErrQueueTimeout = eris.New("the request waited too long in the queue")
)

// Limits are the limits on the requests that wait in a Queue.
type Limits interface {
	// MaxRequests returns the maximum number of waiting requests.
	MaxRequests() int
	// MaxBytes returns the maximum total size of their bodies.
	MaxBytes() int64
	// MaxWait returns the maximum time that a request may wait.
	MaxWait() time.Duration
}

// Request describes a request to a Queue.
type Request struct {
	team     string
	weight   int
	priority int
	bytes    int64
}

// NewRequest returns a request of the given team whose body has the given size in
// bytes. A weight below one counts as one.
func NewRequest(team string, weight, priority int, bytes int64) Request {
	return Request{team: team, weight: max(1, weight), priority: priority, bytes: bytes}
}

// waitingRequest is a request in the queue. The channel result receives nil once
// the request is scheduled, or the error with which it is evicted.
type waitingRequest struct {
	request  Request
	sequence uint64
	result   chan error
}

// teamQueue holds the waiting requests of one team, for stride scheduling: each
// scheduled request adds the inverse of the weight to the team's pass value, and
// the team with the smallest pass value is next.
type teamQueue struct {
	requests []*waitingRequest
	pass     float64
	weight   int
	bytes    int64
}

// Queue limits the number of concurrent requests and queues the others. Teams are
// scheduled in proportion to their weights; within a team requests of higher
// priority come first. If the queue is full, a request of a team that holds less
// than its share evicts the newest request of the team that holds the most
// relative to its weight. Create it with NewQueue.
type Queue struct {
	concurrency int
	now         func() time.Time

	mu       sync.Mutex
	limits   Limits
	active   int
	teams    map[string]*teamQueue
	waiting  int
	bytes    int64
	pass     float64 // pass value of the team that was scheduled last
	arrivals uint64
	admitted rateCounter
}

// NewQueue returns a queue that admits up to concurrency requests at a time.
func NewQueue(limits Limits, concurrency int) *Queue {
	return &Queue{
		concurrency: max(1, concurrency),
		now:         time.Now,
		limits:      limits,
		teams:       make(map[string]*teamQueue),
	}
}

// Configure changes the limits and the concurrency. Waiting requests stay in the
// queue even if they exceed the new limits.
func (q *Queue) Configure(limits Limits, concurrency int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	q.concurrency = max(1, concurrency)
	q.admitNext()
}

// Acquire waits until the request is admitted. If it returns nil the caller must
// call Release once. It fails with ErrQueueFull, ErrQueueTimeout or the error of
// ctx.
func (q *Queue) Acquire(ctx context.Context, request Request) error {
	q.mu.Lock()
	if q.waiting == 0 && q.active < q.concurrency {
		q.active++
		q.admitted.add(q.now())
		q.mu.Unlock()
		return nil
	}
	if !q.evictFor(request) {
		q.mu.Unlock()
		return ErrQueueFull
	}
	w := q.enqueue(request)
	maxWait := q.limits.MaxWait()
	q.mu.Unlock()

	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
		return q.cancel(w, ErrQueueTimeout)
	case <-ctx.Done():
		return q.cancel(w, ctx.Err())
	}
}

// fits reports whether one more request is within the limits.
func (q *Queue) fits(request Request) bool {
	return q.waiting < q.limits.MaxRequests() && q.bytes+request.bytes <= q.limits.MaxBytes()
}

// evictFor evicts requests of teams above their share until request fits. It
// reports whether it does.
func (q *Queue) evictFor(request Request) bool {
	if request.bytes > q.limits.MaxBytes() || q.limits.MaxRequests() == 0 {
		return false
	}
	for !q.fits(request) {
		largest, tq := q.largestTeam()
		if tq == nil || largest == request.team {
			return false
		}
		ownShare := 1.0 / float64(request.weight)
		if own := q.teams[request.team]; own != nil {
			ownShare = float64(len(own.requests)+1) / float64(request.weight)
		}
		if float64(len(tq.requests))/float64(tq.weight) <= ownShare {
			return false
		}
		last := newest(tq.requests)
		q.remove(last)
		last.result <- ErrQueueFull
	}
	return true
}

func newest(requests []*waitingRequest) *waitingRequest {
	return slices.MaxFunc(requests, func(a, b *waitingRequest) int { return cmp.Compare(a.sequence, b.sequence) })
}

// largestTeam returns the team with the most waiting requests relative to its
// weight.
func (q *Queue) largestTeam() (string, *teamQueue) {
	var name string
	var largest *teamQueue
	for teamName, tq := range q.teams {
		if largest == nil || len(tq.requests)*largest.weight > len(largest.requests)*tq.weight ||
			(len(tq.requests)*largest.weight == len(largest.requests)*tq.weight && teamName < name) {
			name, largest = teamName, tq
		}
	}
	return name, largest
}

func (q *Queue) enqueue(request Request) *waitingRequest {
	tq, ok := q.teams[request.team]
	if !ok {
		tq = &teamQueue{}
		q.teams[request.team] = tq
	}
	tq.pass = max(tq.pass, q.pass)
	tq.weight = request.weight
	q.arrivals++
	w := &waitingRequest{request: request, sequence: q.arrivals, result: make(chan error, 1)}
	at, _ := slices.BinarySearchFunc(tq.requests, w, func(a, b *waitingRequest) int {
		return cmp.Or(cmp.Compare(b.request.priority, a.request.priority), cmp.Compare(a.sequence, b.sequence))
	})
	tq.requests = slices.Insert(tq.requests, at, w)
	tq.bytes += request.bytes
	q.waiting++
	q.bytes += request.bytes
	return w
}

// remove deletes a request from the queue of its team. It reports false if it
// isn't queued.
func (q *Queue) remove(w *waitingRequest) bool {
	tq := q.teams[w.request.team]
	if tq == nil {
		return false
	}
	at := slices.Index(tq.requests, w)
	if at < 0 {
		return false
	}
	tq.requests = slices.Delete(tq.requests, at, at+1)
	tq.bytes -= w.request.bytes
	q.waiting--
	q.bytes -= w.request.bytes
	q.discardIdle(w.request.team, tq)
	return true
}

// discardIdle deletes the queue of a team that is empty and whose pass value isn't
// ahead of the last scheduled one. A team that is ahead keeps its pass value, so
// it can't exceed its share by emptying its queue and returning.
func (q *Queue) discardIdle(name string, tq *teamQueue) {
	if len(tq.requests) == 0 && tq.pass <= q.pass {
		delete(q.teams, name)
	}
}

// cancel removes a request that no longer waits. If it was admitted before the
// lock was taken, the next request is admitted in its place.
func (q *Queue) cancel(w *waitingRequest, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remove(w) {
		return cause
	}
	if err := <-w.result; err == nil {
		q.active--
		q.admitNext()
	}
	return cause
}

// Release ends an admitted request and admits the next one.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active--
	q.admitNext()
}

// admitNext admits waiting requests while the concurrency allows it.
func (q *Queue) admitNext() {
	for q.active < q.concurrency && q.waiting > 0 {
		tq := q.nextTeam()
		first := tq.requests[0]
		q.pass = tq.pass
		tq.pass += 1 / float64(tq.weight)
		q.remove(first)
		q.active++
		q.admitted.add(q.now())
		first.result <- nil
	}
}

// nextTeam returns the team with the smallest pass value among those with waiting
// requests, the first by name in a tie.
func (q *Queue) nextTeam() *teamQueue {
	var name string
	var next *teamQueue
	for teamName, tq := range q.teams {
		if len(tq.requests) == 0 {
			q.discardIdle(teamName, tq)
			continue
		}
		if next == nil || tq.pass < next.pass || (tq.pass == next.pass && teamName < name) {
			name, next = teamName, tq
		}
	}
	return next
}

// Length returns the number of waiting requests and the total size of their
// bodies.
func (q *Queue) Length() (requests int, bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting, q.bytes
}

// RetryAfter estimates when all requests that wait now will have been admitted,
// from the recent rate of admissions. Without recent admissions it returns the
// maximum wait. It returns at least one second.
func (q *Queue) RetryAfter() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	perSecond := q.admitted.perSecond(q.now())
	if perSecond <= 0 {
		return max(time.Second, q.limits.MaxWait())
	}
	wait := time.Duration(float64(q.waiting+1) / perSecond * float64(time.Second))
	return max(time.Second, wait.Round(time.Second))
}

// rateWindow is the length of the windows of a rateCounter.
const rateWindow = 5 * time.Second

// rateCounter measures a rate of events over a sliding window, which it
// approximates by the counts of the current and the previous fixed window.
type rateCounter struct {
	start    time.Time
	current  int
	previous int
}

// roll starts a new window if the current one has ended.
func (r *rateCounter) roll(now time.Time) {
	switch elapsed := now.Sub(r.start); {
	case elapsed >= 2*rateWindow:
		r.start, r.current, r.previous = now, 0, 0
	case elapsed >= rateWindow:
		r.start, r.current, r.previous = r.start.Add(rateWindow), 0, r.current
	}
}

func (r *rateCounter) add(now time.Time) {
	r.roll(now)
	r.current++
}

// perSecond returns the rate. The previous window is weighted by the share of it
// that lies within one rateWindow before now.
func (r *rateCounter) perSecond(now time.Time) float64 {
	r.roll(now)
	share := 1 - float64(now.Sub(r.start))/float64(rateWindow)
	return (float64(r.current) + share*float64(r.previous)) / rateWindow.Seconds()
}
