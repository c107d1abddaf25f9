package retry

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the recognition of callers that come back.
const (
	// usualSpread is by how much the timeouts of callers are taken to differ until those of
	// usualSamples callers are known.
	usualSpread = 0.16
	// maxSamples is how many timeouts are kept, and usualSamples how many show the usual
	// range.
	maxSamples   = 256
	usualSamples = 64
	// lowQuantile is the share of the kept timeouts that may lie below the usual range, such
	// as those of callers that another entry has refused.
	lowQuantile = 0.02
	// rangeMargin is the part of the usual range's lower end by which a timeout must be
	// shorter. The samples don't show the whole range.
	rangeMargin = 0.01
	// calmTime is how long no request must have been refused for a timeout to count as that of
	// a new request. Callers come back within a third of the time that they have left.
	calmTime = 4 * time.Second
)

// Timeouts learns which timeouts the callers of a route send with new requests. A caller that
// was refused sends what is left of its time, so that a timeout below the usual range shows
// that it comes back. The zero value knows no timeouts. It is safe for concurrent use.
type Timeouts struct {
	mu sync.Mutex
	// longest is the longest timeout so far.
	longest time.Duration
	// samples are the timeouts of the last requests in calm times, next is where the next one
	// goes.
	samples []time.Duration
	next    int
	// shortest is the lower end of the usual range, zero until it is known.
	shortest  time.Duration
	refusedAt time.Time
}

// RecordRefusal records that a request was refused, whose caller may come back.
func (t *Timeouts) RecordRefusal(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedAt = now
}

// IsRetry reports whether the caller of a request with a timeout seems to have spent a part of
// its time on an earlier attempt, and learns from the timeout. Limit is the timeout of the route.
func (t *Timeouts) IsRetry(timeout, limit time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest = max(t.longest, timeout)
	if now.Sub(t.refusedAt) >= calmTime {
		t.learn(timeout)
	}
	if t.shortest > 0 {
		return timeout < t.shortest-time.Duration(rangeMargin*float64(t.shortest))
	}
	return float64(timeout) < (1-usualSpread)*float64(max(t.longest, limit))
}

// learn adds the timeout of a new request. The caller must hold t.mu.
func (t *Timeouts) learn(timeout time.Duration) {
	if len(t.samples) < maxSamples {
		t.samples = append(t.samples, timeout)
	} else {
		t.samples[t.next] = timeout
	}
	// The quantile is computed once for usualSamples requests, as it needs a sorted copy.
	if t.next = (t.next + 1) % maxSamples; t.next%usualSamples == 0 {
		sorted := slices.Sorted(slices.Values(t.samples))
		t.shortest = sorted[int(lowQuantile*float64(len(sorted)))]
	}
}
