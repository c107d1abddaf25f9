package edge

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/blame"
)

// Limits of the crash tracker.
const (
	// blockThreshold is the number of distinct endpoint incarnations that must crash
	// while they hold a request before it is blocked. A crash alone doesn't tell which of
	// the endpoint's requests caused it.
	blockThreshold = 3
	// explainThreshold is the number of crashes from which a request that endpoints hadn't begun to
	// answer is taken for their cause, so that parts of other requests there aren't. A sound
	// request is rarely at two of them: it is sent to one of many endpoints after the first.
	explainThreshold = 2
	// suspectTTL is how long a request stays suspect, or blocked if it has blockThreshold
	// crashes, after the last crash. The time doubles with each further crash, and the record
	// is kept for as long again, up to maxSuspectTTL.
	suspectTTL    = 2 * time.Minute
	maxSuspectTTL = time.Hour
	// maxSuspects limits the suspects that are stored; the least suspicious ones are
	// evicted first.
	maxSuspects = 512
	// maxSuspectCrashes limits the crashes that are stored of one suspect.
	maxSuspectCrashes = 8
	// maxReported limits the suspects that are sent to peers in one message, and
	// maxReportedCompletions those that have run to completion.
	maxReported, maxReportedCompletions = 24, 8
	// suspectNewsTTL is how long each message to peers has a suspect after its record
	// changed. Others are in the occasional full reports only.
	suspectNewsTTL = 2 * time.Second
	// completionTTL is how long peers are told that a suspect has run to completion.
	completionTTL = 10 * time.Second
)

// crashTracker records requests that endpoints held when they crashed. Entries share
// their records in hello datagrams.
type crashTracker struct {
	logger *zap.Logger
	// changes counts the changes of records by kind, nil if they aren't counted.
	changes func(kind string)
	// explain and retract are told the endpoint incarnations whose crashes are put down to a
	// request, and those whose crashes no longer are, nil if nobody is told.
	explain func(incarnations []uint64, now time.Time)
	retract func(incarnations []uint64)

	mu       sync.Mutex
	suspects map[uint64]*suspect
}

// suspect is a request that may crash endpoints.
type suspect struct {
	// crashes holds when endpoint incarnations crashed, by the hash of their names.
	crashes map[uint64]time.Time
	// unanswered is set if one of them hadn't begun to answer the request. An endpoint that
	// crashes on a request mostly does so as it begins.
	unanswered bool
	// completedAt is when the request last ran to completion, zero if it never did.
	// Crashes before that don't count.
	completedAt time.Time
	// changedAt is when something was last learned about the request.
	changedAt time.Time
}

// lastCrash returns the time of the last crash, zero if there is none.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, at := range s.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// blockTime returns how long the request is blocked after its last crash, zero if it isn't. One
// that comes again after its block mostly crashes endpoints again.
func (s *suspect) blockTime() time.Duration {
	if len(s.crashes) < blockThreshold {
		return 0
	}
	return min(maxSuspectTTL, suspectTTL<<(len(s.crashes)-blockThreshold))
}

// ttl returns how long the record is kept after the last crash.
func (s *suspect) ttl() time.Duration { return max(suspectTTL, min(maxSuspectTTL, 2*s.blockTime())) }

// isExpired reports whether nothing about the suspect matters any more.
func (s *suspect) isExpired(now time.Time) bool {
	return now.Sub(s.lastCrash()) >= s.ttl() && now.Sub(s.completedAt) >= suspectTTL
}

// compare orders suspects from the least to the most suspicious one. The number of crashes
// goes first: one crash makes all requests of an endpoint suspect, so that those with a
// single crash can be as many as all requests in progress.
func (s *suspect) compare(other *suspect) int {
	if byCrashes := cmp.Compare(len(s.crashes), len(other.crashes)); byCrashes != 0 {
		return byCrashes
	}
	if s.unanswered != other.unanswered {
		if other.unanswered {
			return -1
		}
		return 1
	}
	return s.changedAt.Compare(other.changedAt)
}

func newCrashTracker(logger *zap.Logger) *crashTracker {
	return &crashTracker{logger: logger, suspects: make(map[uint64]*suspect)}
}

// explainWith makes the tracker of parts leave crashes out that requests explain.
func (c *crashTracker) explainWith(parts *blame.Tracker) {
	c.explain, c.retract = parts.ExplainCrashes, parts.RetractCrashes
}

// countChange counts a change of the records.
func (c *crashTracker) countChange(kind string) {
	if c.changes != nil {
		c.changes(kind)
	}
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
	return s != nil && time.Since(s.lastCrash()) < s.blockTime()
}

// recordCrash records that an endpoint incarnation crashed while it held a request, and
// returns the number of crashes that are known of the request. Unanswered is set if the
// endpoint hadn't begun to answer.
func (c *crashTracker) recordCrash(fingerprint uint64, incarnation string, unanswered bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.add(fingerprint, xxhash.Sum64String(incarnation), unanswered, now, now)
	if s := c.suspects[fingerprint]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// add adds a crash to a suspect. The caller holds c.mu.
func (c *crashTracker) add(fingerprint, incarnation uint64, unanswered bool, at, now time.Time) {
	s := c.suspects[fingerprint]
	if s != nil && !at.After(s.completedAt) {
		return
	}
	if s == nil {
		s = c.insert(fingerprint, now)
	}
	if _, known := s.crashes[incarnation]; known {
		return
	}
	if len(s.crashes) >= maxSuspectCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b uint64) int { return s.crashes[a].Compare(s.crashes[b]) })
		if !at.After(s.crashes[oldest]) {
			return
		}
		delete(s.crashes, oldest)
	}
	s.crashes[incarnation] = at
	s.unanswered = s.unanswered || unanswered
	s.changedAt = now
	c.countChange("crash")
	if c.explain != nil && s.unanswered && len(s.crashes) >= explainThreshold {
		c.explain(slices.Collect(maps.Keys(s.crashes)), now)
	}
	if len(s.crashes) == blockThreshold {
		c.countChange("blocked")
		event.RequestIsolated.Log(c.logger, zap.Uint64("fingerprint", fingerprint), zap.Int("endpoints", len(s.crashes)))
	}
}

// insert adds a suspect without crashes, and evicts one if there are maxSuspects. The
// caller holds c.mu.
func (c *crashTracker) insert(fingerprint uint64, now time.Time) *suspect {
	if len(c.suspects) >= maxSuspects {
		delete(c.suspects, slices.MinFunc(slices.Collect(maps.Keys(c.suspects)), c.compare))
		c.countChange("evicted")
	}
	s := &suspect{crashes: make(map[uint64]time.Time), changedAt: now}
	c.suspects[fingerprint] = s
	return s
}

// compare orders two suspects as suspect.compare does. The caller holds c.mu.
func (c *crashTracker) compare(a, b uint64) int { return c.suspects[a].compare(c.suspects[b]) }

// recordSuccess clears a suspect that ran to completion.
func (c *crashTracker) recordSuccess(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.suspects[fingerprint]
	if s == nil {
		return
	}
	if len(s.crashes) > 0 {
		c.countChange("cleared")
		event.RequestCleared.Log(c.logger, zap.Uint64("fingerprint", fingerprint), zap.Int("crashes", len(s.crashes)))
	}
	now := time.Now()
	c.complete(s, now, now)
}

// complete removes the crashes of a suspect up to the time at which it ran to completion. The
// caller holds c.mu.
func (c *crashTracker) complete(s *suspect, at, now time.Time) {
	if c.retract != nil && at.After(s.completedAt) {
		c.retract(slices.Collect(maps.Keys(s.crashes)))
	}
	s.complete(at, now)
}

// complete removes the crashes up to the time at which the request ran to completion.
func (s *suspect) complete(at, now time.Time) {
	if !at.After(s.completedAt) {
		return
	}
	s.completedAt = at
	before := len(s.crashes)
	maps.DeleteFunc(s.crashes, func(_ uint64, crashedAt time.Time) bool { return !crashedAt.After(at) })
	if len(s.crashes) == 0 {
		s.unanswered = false
	}
	if len(s.crashes) < before {
		s.changedAt = now
	}
}

// export returns reports for peers, the most suspicious requests first: on those whose
// record has changed recently, or on all. It drops expired records.
func (c *crashTracker) export(all bool) []*wirepb.Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.suspects, func(_ uint64, s *suspect) bool { return s.isExpired(now) })
	var exported []*wirepb.Suspect
	completions := 0
	for _, fingerprint := range slices.SortedFunc(maps.Keys(c.suspects), func(a, b uint64) int { return c.compare(b, a) }) {
		s := c.suspects[fingerprint]
		if !all && now.Sub(s.changedAt) >= suspectNewsTTL {
			continue
		}
		if len(s.crashes) == 0 {
			if now.Sub(s.completedAt) >= completionTTL || completions >= maxReportedCompletions {
				continue
			}
			completions++
		} else if len(exported) >= maxReported {
			continue
		}
		exported = append(exported, s.encode(fingerprint, now))
	}
	return exported
}

// encode encodes a report on the suspect.
func (s *suspect) encode(fingerprint uint64, now time.Time) *wirepb.Suspect {
	wire := &wirepb.Suspect{Fingerprint: fingerprint, Unanswered: s.unanswered}
	for incarnation, at := range s.crashes {
		wire.Crashes = append(wire.Crashes, &wirepb.Crash{Incarnation: incarnation, AgeMs: ageMS(now.Sub(at))})
	}
	if !s.completedAt.IsZero() {
		age := ageMS(now.Sub(s.completedAt))
		wire.CompletedAgeMs = &age
	}
	return wire
}

// ageMS returns an age in milliseconds, rounded up, so that a crash never seems to be
// later than a completion that followed it.
func ageMS(age time.Duration) uint32 {
	return uint32(max(0, min(age, time.Hour)).Milliseconds()) + 1
}

// merge adds the reports of a peer.
func (c *crashTracker) merge(reported []*wirepb.Suspect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	since := func(ageMS uint32) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	for _, report := range reported {
		for _, crash := range report.GetCrashes() {
			if at := since(crash.GetAgeMs()); now.Sub(at) < maxSuspectTTL {
				c.add(report.GetFingerprint(), crash.GetIncarnation(), report.GetUnanswered(), at, now)
			}
		}
		if s := c.suspects[report.GetFingerprint()]; s != nil && report.CompletedAgeMs != nil {
			c.complete(s, since(report.GetCompletedAgeMs()), now)
		}
	}
}
