package agent

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/lentilstand/lentilstand/internal/hints"
)

// How the engine's cache events are followed.
const (
	cachePoll      = 2 * time.Second
	maxCacheBytes  = 4 << 20
	maxCached      = 256
	cacheEventPath = "/cache_events?after="
	opStored       = "stored"
)

// wireCacheEvents is the JSON shape of an engine's cache events.
type wireCacheEvents struct {
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Op       string `json:"op"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
}

// cacheView is what the agent knows of its engine's prefix cache. Events come
// late and some never, so it is a hint: it may hold prefixes that are gone, of
// which the oldest are forgotten, and lack some that are there.
type cacheView struct {
	after    uint64
	prefixes []uint64
}

// follow takes in events in order.
func (c *cacheView) follow(events wireCacheEvents) {
	for _, event := range events.Events {
		prefix, err := strconv.ParseUint(event.Prefix, 16, 64)
		if err != nil || event.Sequence <= c.after {
			continue
		}
		c.after = event.Sequence
		c.forget(prefix)
		if event.Op == opStored {
			c.prefixes = append(c.prefixes, prefix)
		}
	}
	if surplus := len(c.prefixes) - maxCached; surplus > 0 {
		c.prefixes = c.prefixes[surplus:]
	}
}

func (c *cacheView) forget(prefix uint64) {
	c.prefixes = slices.DeleteFunc(c.prefixes, func(held uint64) bool { return held == prefix })
}

// followCache asks the engine for its cache events until ctx ends. An engine
// that started anew has an empty cache.
func (a *Agent) followCache(ctx context.Context) {
	defer a.wait.Done()
	ticker := time.NewTicker(cachePoll)
	defer ticker.Stop()
	view, epoch := &cacheView{}, ""
	for {
		if now := a.currentEpoch(); now != epoch {
			view, epoch = &cacheView{}, now
		}
		if events, err := a.pollCache(ctx, view.after); err == nil {
			view.follow(events)
			a.setHints(hints.New(view.prefixes))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) pollCache(ctx context.Context, after uint64) (wireCacheEvents, error) {
	var events wireCacheEvents
	err := a.pollJSON(ctx, cacheEventPath+strconv.FormatUint(after, 10), maxCacheBytes, &events)
	return events, err
}

// setHints publishes what the engine's cache holds.
func (a *Agent) setHints(set hints.Filter) {
	a.mu.Lock()
	changed := string(a.hints) != string(set)
	a.hints = set
	a.mu.Unlock()
	if changed {
		a.notify()
	}
}
