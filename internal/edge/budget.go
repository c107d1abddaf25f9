package edge

import (
	"sync"
	"time"
)

// budgetShare is the part of the fleet's retry budget that the entries spend;
// the rest covers that they count requests apart and members change.
const budgetShare = 0.8

// budget allows attempts beyond the first, by service. All entries share one
// budget: each has its own requests' part and an equal part of what is allowed
// beside that, so that no sum over entries exceeds it. The zero value is ready
// to use.
type budget struct {
	mu       sync.Mutex
	services map[string]*budgetWindow
}

// budgetWindow counts by the second.
type budgetWindow struct {
	seconds []budgetSecond
}

type budgetSecond struct {
	second   int64
	requests float64
	extras   float64
}

// allowance is what a service's budget is made of.
type allowance struct {
	ratio, extra float64
	window       time.Duration
	members      int
}

func (b *budget) window(service string, now time.Time, span time.Duration) *budgetWindow {
	if b.services == nil {
		b.services = make(map[string]*budgetWindow)
	}
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	oldest := now.Add(-span).Unix()
	for len(w.seconds) > 0 && w.seconds[0].second < oldest {
		w.seconds = w.seconds[1:]
	}
	if n := len(w.seconds); n == 0 || w.seconds[n-1].second != now.Unix() {
		w.seconds = append(w.seconds, budgetSecond{second: now.Unix()})
	}
	return w
}

// request counts a request for a service.
func (b *budget) request(service string, now time.Time, allowed allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now, allowed.window)
	w.seconds[len(w.seconds)-1].requests++
}

// spend takes one attempt beyond the first and reports whether it is allowed.
func (b *budget) spend(service string, now time.Time, allowed allowance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now, allowed.window)
	if !w.allows(allowed) {
		return false
	}
	w.seconds[len(w.seconds)-1].extras++
	return true
}

// allows reports whether spend would allow an attempt.
func (b *budget) allows(service string, now time.Time, allowed allowance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service, now, allowed.window).allows(allowed)
}

func (w *budgetWindow) allows(allowed allowance) bool {
	requests, extras := 0.0, 0.0
	for _, second := range w.seconds {
		requests += second.requests
		extras += second.extras
	}
	return extras+1 <= budgetShare*(allowed.ratio*requests+allowed.extra/float64(max(1, allowed.members)))
}
