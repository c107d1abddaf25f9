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

// Bounds of suspicion.
const (
	// blockedAt is how many endpoints must have died under a request before it is
	// refused; resets of connections alone seldom hit one request that often.
	blockedAt = 3
	// suspicionKept is how long a request is suspected after its last cut.
	suspicionKept = 2 * time.Minute
	// maxSuspects bounds what is kept and told; the oldest go first.
	maxSuspects = 32
)

// crashes knows the requests that were running on endpoints as these broke off.
// It is shared among entries by their datagrams.
type crashes struct {
	logger *zap.Logger

	mu    sync.Mutex
	known map[uint64]*suspicion
	// cleared holds when requests were last seen to run to their end: what others
	// hold against them counts no more.
	cleared map[uint64]time.Time
}

// suspicion is what is held against a request.
type suspicion struct {
	endpoints map[string]bool
	last      time.Time
}

func newCrashes(logger *zap.Logger) *crashes {
	return &crashes{logger: logger, known: make(map[uint64]*suspicion), cleared: make(map[uint64]time.Time)}
}

// fingerprint names a request across callers' attempts.
func fingerprint(method, target, team string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, target, team} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// isBlocked reports whether a request must not run.
func (c *crashes) isBlocked(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known[mark]
	return s != nil && len(s.endpoints) >= blockedAt && time.Since(s.last) < suspicionKept
}

// cut takes note that an incarnation of an endpoint broke off while it ran a
// request.
func (c *crashes) cut(mark uint64, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(mark, incarnation, time.Now())
}

// add adds to a suspicion. The caller holds the lock.
func (c *crashes) add(mark uint64, incarnation string, now time.Time) {
	s := c.known[mark]
	if s == nil {
		if len(c.known) >= maxSuspects {
			oldest := slices.MinFunc(slices.Collect(maps.Keys(c.known)), func(a, b uint64) int {
				return c.known[a].last.Compare(c.known[b].last)
			})
			delete(c.known, oldest)
		}
		s = &suspicion{endpoints: make(map[string]bool)}
		c.known[mark] = s
	}
	if s.endpoints[incarnation] {
		return
	}
	s.endpoints[incarnation] = true
	s.last = now
	if len(s.endpoints) == blockedAt {
		event.RequestIsolated.Log(c.logger, zap.Uint64("fingerprint", mark), zap.Int("endpoints", len(s.endpoints)))
	}
}

// clear takes note that a request has run to its end.
func (c *crashes) clear(mark uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[mark] != nil {
		delete(c.known, mark)
		c.cleared[mark] = time.Now()
	}
}

// suspects returns what other entries should know.
func (c *crashes) suspects() []*wirepb.Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.cleared, func(_ uint64, at time.Time) bool { return time.Since(at) >= suspicionKept })
	var told []*wirepb.Suspect
	for mark, s := range c.known {
		if time.Since(s.last) >= suspicionKept {
			delete(c.known, mark)
			continue
		}
		told = append(told, &wirepb.Suspect{Fingerprint: mark, Endpoints: slices.Collect(maps.Keys(s.endpoints))})
	}
	return told
}

// learn takes in what another entry knows.
func (c *crashes) learn(told []*wirepb.Suspect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, suspect := range told {
		if _, cleared := c.cleared[suspect.GetFingerprint()]; cleared {
			continue
		}
		for _, incarnation := range suspect.GetEndpoints() {
			c.add(suspect.GetFingerprint(), incarnation, time.Now())
		}
	}
}
