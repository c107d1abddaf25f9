package agent

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/lentilstand/lentilstand/internal/hints"
)

// Parameters of polling the engine's cache events.
const (
	cachePollInterval = 2 * time.Second
	maxCacheBytes     = 4 << 20
	maxPrefixes       = 256
	cacheEventPath    = "/cache_events?after="
	opStored          = "stored"
)

// wireCacheEvents is the JSON encoding of an engine's cache events.
type wireCacheEvents struct {
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Op       string `json:"op"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
}

// prefixCache mirrors the engine's prefix cache as far as its events tell.
// Events may be delayed or lost, so it is approximate: it may contain evicted
// prefixes and lack cached ones. It keeps the maxPrefixes newest prefixes.
type prefixCache struct {
	lastSequence uint64
	prefixes     []uint64
}

// apply applies events in order and skips those that it has already seen.
func (c *prefixCache) apply(events wireCacheEvents) {
	for _, event := range events.Events {
		prefix, err := strconv.ParseUint(event.Prefix, 16, 64)
		if err != nil || event.Sequence <= c.lastSequence {
			continue
		}
		c.lastSequence = event.Sequence
		c.remove(prefix)
		if event.Op == opStored {
			c.prefixes = append(c.prefixes, prefix)
		}
	}
	if excess := len(c.prefixes) - maxPrefixes; excess > 0 {
		c.prefixes = c.prefixes[excess:]
	}
}

func (c *prefixCache) remove(prefix uint64) {
	c.prefixes = slices.DeleteFunc(c.prefixes, func(held uint64) bool { return held == prefix })
}

// pollCacheEvents polls the engine's cache events until ctx is done. It starts
// over with an empty cache when the endpoint's epoch changes, as a restarted
// engine has an empty cache.
func (a *Agent) pollCacheEvents(ctx context.Context) {
	defer a.wg.Done()
	ticker := time.NewTicker(cachePollInterval)
	defer ticker.Stop()
	cache, epoch := &prefixCache{}, ""
	for {
		if now := a.currentEpoch(); now != epoch {
			cache, epoch = &prefixCache{}, now
		}
		if events, err := a.fetchCacheEvents(ctx, cache.lastSequence); err == nil {
			cache.apply(events)
			a.setHints(hints.New(cache.prefixes))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) fetchCacheEvents(ctx context.Context, after uint64) (wireCacheEvents, error) {
	var events wireCacheEvents
	err := a.fetchJSON(ctx, cacheEventPath+strconv.FormatUint(after, 10), maxCacheBytes, &events)
	return events, err
}

// setHints publishes a filter of the cached prefixes to the entries.
func (a *Agent) setHints(filter hints.Filter) {
	a.mu.Lock()
	changed := string(a.hints) != string(filter)
	a.hints = filter
	a.mu.Unlock()
	if changed {
		a.notify()
	}
}
