package edge

import (
	"sync"
	"time"
)

// budgetShare is the fraction of the fleet's retry budget that entries spend. The
// rest is a margin, because each entry counts its own requests and the number of
// members changes.
const budgetShare = 0.8

// budget limits retries, by service. It bounds the sum over all entries: each may
// retry a fraction of its own requests and an equal share of the fixed extra. The
// zero value is ready to use.
type budget struct {
	mu       sync.Mutex
	services map[string]*slidingWindow
}

// slidingWindow counts requests and retries in buckets of one second.
type slidingWindow struct {
	buckets []bucket
}

type bucket struct {
	unixSecond int64
	requests   float64
	retries    float64
}

// retryLimits are the settings of a service's retry budget: in each window, at most
// ratio times the requests, and extra more over all entries. Members is the number of
// entries that share extra.
type retryLimits struct {
	ratio, extra float64
	window       time.Duration
	members      int
}

// currentWindow returns the window of a service. It drops buckets older than duration
// and appends one for the current second if there is none. The caller holds b.mu.
func (b *budget) currentWindow(service string, now time.Time, duration time.Duration) *slidingWindow {
	if b.services == nil {
		b.services = make(map[string]*slidingWindow)
	}
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{}
		b.services[service] = w
	}
	oldest := now.Add(-duration).Unix()
	for len(w.buckets) > 0 && w.buckets[0].unixSecond < oldest {
		w.buckets = w.buckets[1:]
	}
	if n := len(w.buckets); n == 0 || w.buckets[n-1].unixSecond != now.Unix() {
		w.buckets = append(w.buckets, bucket{unixSecond: now.Unix()})
	}
	return w
}

// addRequest counts a request for a service.
func (b *budget) addRequest(service string, now time.Time, limits retryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now, limits.window)
	w.buckets[len(w.buckets)-1].requests++
}

// takeRetry reports whether the budget allows a retry, and counts it if so.
func (b *budget) takeRetry(service string, now time.Time, limits retryLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now, limits.window)
	if !w.allowsRetry(limits) {
		return false
	}
	w.buckets[len(w.buckets)-1].retries++
	return true
}

// allowsRetry reports whether takeRetry would succeed now.
func (b *budget) allowsRetry(service string, now time.Time, limits retryLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.currentWindow(service, now, limits.window).allowsRetry(limits)
}

func (w *slidingWindow) allowsRetry(limits retryLimits) bool {
	requests, retries := 0.0, 0.0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return retries+1 <= budgetShare*(limits.ratio*requests+limits.extra/float64(max(1, limits.members)))
}
