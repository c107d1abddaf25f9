// Package holds remembers for a moment which requests endpoints may still hold after the
// attempts at them have ended without a response.
//
// An attempt may end because the caller left, a time limit passed or the entry gave it up,
// and its endpoint may crash on the request right after. The connection that would have
// shown this is closed by then, so the request must be found by its endpoint instead.
package holds

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Window is how long an endpoint may hold a request after the attempt has ended. Endpoints
// let go of a cancelled request within half a second, and it takes some time to learn that
// one has crashed. A crash that is seen later isn't attributed to the request.
const Window = time.Second

// maxPerEndpoint limits the requests that are remembered of one endpoint; the newest ones
// stay.
const maxPerEndpoint = 256

// Table holds requests by endpoint incarnation. The zero value is empty and ready to use. It
// is safe for concurrent use.
type Table[R any] struct {
	mu   sync.Mutex
	held map[string][]entry[R]
}

// entry is a request whose attempt has ended.
type entry[R any] struct {
	request R
	endedAt time.Time
}

// Add records that the attempt at a request has ended without a response.
func (t *Table[R]) Add(incarnation string, request R, endedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		t.held = make(map[string][]entry[R])
	}
	entries := unexpired(t.held[incarnation], endedAt)
	if excess := len(entries) + 1 - maxPerEndpoint; excess > 0 {
		entries = slices.Delete(entries, 0, excess)
	}
	t.held[incarnation] = append(entries, entry[R]{request: request, endedAt: endedAt})
}

// Take removes and returns the requests that an incarnation may hold, the oldest first. It is
// called when the incarnation has crashed.
func (t *Table[R]) Take(incarnation string, now time.Time) []R {
	t.mu.Lock()
	defer t.mu.Unlock()
	var requests []R
	for _, e := range unexpired(t.held[incarnation], now) {
		requests = append(requests, e.request)
	}
	delete(t.held, incarnation)
	return requests
}

// Any returns one of the requests that an incarnation may hold, and false if there is none.
func (t *Table[R]) Any(incarnation string, now time.Time) (request R, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entries := unexpired(t.held[incarnation], now); len(entries) > 0 {
		return entries[0].request, true
	}
	return request, false
}

// Incarnations returns the incarnations that may hold requests, sorted, and forgets the
// others.
func (t *Table[R]) Incarnations(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.held, func(_ string, entries []entry[R]) bool { return len(unexpired(entries, now)) == 0 })
	return slices.Sorted(maps.Keys(t.held))
}

// unexpired returns the entries within Window before now. Entries are in the order in which
// they ended, but for a few that were added at the same time.
func unexpired[R any](entries []entry[R], now time.Time) []entry[R] {
	first := slices.IndexFunc(entries, func(e entry[R]) bool { return now.Sub(e.endedAt) < Window })
	if first < 0 {
		return nil
	}
	return entries[first:]
}
