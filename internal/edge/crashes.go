package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// Limits of the crash tracker.
const (
	// blockThreshold is the number of distinct endpoint incarnations that must be lost
	// while running a request before it is blocked. Connection resets alone rarely
	// hit the same request that often.
	blockThreshold = 3
	// suspectTTL is how long a request stays suspect after the last lost endpoint.
	suspectTTL = 2 * time.Minute
	// maxSuspects limits the suspects that are stored and sent to peers; the oldest
	// are evicted first.
	maxSuspects = 32
)

// crashTracker records requests that were running on endpoints when the connection
// to those was lost. Entries share their records in hello datagrams.
type crashTracker struct {
	logger *zap.Logger

	mu       sync.Mutex
	suspects map[uint64]*suspect
	// cleared holds when suspects last ran to completion here. Reports from peers
	// about these requests are ignored until suspectTTL has passed.
	cleared map[uint64]time.Time
}

// suspect is a request that may crash endpoints.
type suspect struct {
	// incarnations holds the endpoint incarnations that were lost while running the
	// request, and lastAt is when the last one was added.
	incarnations map[string]bool
	lastAt       time.Time
}

func newCrashTracker(logger *zap.Logger) *crashTracker {
	return &crashTracker{logger: logger, suspects: make(map[uint64]*suspect), cleared: make(map[uint64]time.Time)}
}

// requestFingerprint returns a hash of a request's content. A caller's retries of a
// request have the same fingerprint, but each has a new request id.
func requestFingerprint(method, target, team string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, target, team} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// isBlocked reports whether a request must be refused.
func (c *crashTracker) isBlocked(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.suspects[fingerprint]
	return s != nil && len(s.incarnations) >= blockThreshold && time.Since(s.lastAt) < suspectTTL
}

// recordCrash records that an endpoint incarnation was lost while running a request.
func (c *crashTracker) recordCrash(fingerprint uint64, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(fingerprint, incarnation, time.Now())
}

// add adds an endpoint incarnation to a suspect. The caller holds c.mu.
func (c *crashTracker) add(fingerprint uint64, incarnation string, now time.Time) {
	s := c.suspects[fingerprint]
	if s == nil {
		if len(c.suspects) >= maxSuspects {
			oldest := slices.MinFunc(slices.Collect(maps.Keys(c.suspects)), func(a, b uint64) int {
				return c.suspects[a].lastAt.Compare(c.suspects[b].lastAt)
			})
			delete(c.suspects, oldest)
		}
		s = &suspect{incarnations: make(map[string]bool)}
		c.suspects[fingerprint] = s
	}
	if s.incarnations[incarnation] {
		return
	}
	s.incarnations[incarnation] = true
	s.lastAt = now
	if len(s.incarnations) == blockThreshold {
		event.RequestIsolated.Log(c.logger, zap.Uint64("fingerprint", fingerprint), zap.Int("endpoints", len(s.incarnations)))
	}
}

// recordSuccess clears a suspect that ran to completion.
func (c *crashTracker) recordSuccess(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects[fingerprint] != nil {
		delete(c.suspects, fingerprint)
		c.cleared[fingerprint] = time.Now()
	}
}

// export returns the current suspects for peers and drops expired records.
func (c *crashTracker) export() []*wirepb.Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.cleared, func(_ uint64, at time.Time) bool { return time.Since(at) >= suspectTTL })
	var exported []*wirepb.Suspect
	for fingerprint, s := range c.suspects {
		if time.Since(s.lastAt) >= suspectTTL {
			delete(c.suspects, fingerprint)
			continue
		}
		exported = append(exported, &wirepb.Suspect{Fingerprint: fingerprint, Endpoints: slices.Collect(maps.Keys(s.incarnations))})
	}
	return exported
}

// merge adds the suspects that a peer reported, except those cleared here.
func (c *crashTracker) merge(reported []*wirepb.Suspect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reported {
		if _, cleared := c.cleared[r.GetFingerprint()]; cleared {
			continue
		}
		for _, incarnation := range r.GetEndpoints() {
			c.add(r.GetFingerprint(), incarnation, time.Now())
		}
	}
}
