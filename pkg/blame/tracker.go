package blame

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the tracker.
const (
	// unprovenEpisodes is the number of episodes of crashes that block a part that was
	// never answered, and earlyEpisodes the same within experience of the tracker's first
	// answer, when parts in common use haven't been answered yet either.
	unprovenEpisodes = 1
	earlyEpisodes    = 2
	experience       = 5 * time.Second
	// provenEpisodes is the number of episodes since its last answer that block a part
	// that was answered before.
	provenEpisodes = 3
	// episodeLength is how long an episode of crashes lasts. Endpoints that start together
	// may crash together, before any of them answers anything.
	episodeLength = 3 * time.Second
	// unprovenDelay and provenDelay are the times from the last crash to the probe of a
	// part that was never answered, and of one that was. They double with each further
	// crash, at most maxDoublings times.
	unprovenDelay = 30 * time.Second
	provenDelay   = 10 * time.Second
	maxDoublings  = 6
	// clearedTTL is how long the record of a part is kept once it was answered after the
	// last crash, so that other entries hear of the answer.
	clearedTTL = 10 * time.Second
	// probeTimeout is how long a probe may take before the next one.
	probeTimeout = 10 * time.Second
	// testTimeout is the same for the test of a part that may only have been beside the one
	// that crashes endpoints. The first test is testDelay after the crash, when the other
	// entries have told whether the part was answered there, and testStagger later for the
	// entries of each further stage.
	testTimeout = 3 * time.Second
	testDelay   = time.Second
	testStagger = 250 * time.Millisecond
	// suspectTTL is how long the crashes of a part are kept after the last one if they
	// don't block it, and blockTTL if they do.
	suspectTTL = 2 * time.Minute
	blockTTL   = time.Hour
	// maxSuspects limits the suspect parts. The least suspicious one is evicted first.
	maxSuspects = 256
	// maxCrashes limits the crashes that are kept of one part.
	maxCrashes = 8
	// maxCompanions limits the parts that are kept of the requests with a part at one crash.
	maxCompanions = 8
)

// Part identifies a part of prompts.
type Part uint64

// PartOf returns the part with an id among the prompts of a service.
func PartOf(service, id string) Part {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return Part(digest.Sum64())
}

// ProbeRank returns the position of the entry named own among the entries that may probe a
// part. Entries that know the same names have different positions, and parts have
// different first entries.
func ProbeRank(part Part, own string, others ...string) int {
	hash := func(name string) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), uint64(part)))
	}
	rank := 0
	for _, name := range others {
		if name != own && hash(name) < hash(own) {
			rank++
		}
	}
	return rank
}

// Tracker records crashes and answers, and decides which parts are blocked. The zero
// value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[Part]*suspect
	answers  answers
	// causes is nil if the records have changed since it was found.
	causes *causes
	// explained holds, by incarnation, what explains the crash of it.
	explained map[uint64]explanation
	// firstAnswer is when an endpoint first answered a request of this tracker.
	firstAnswer time.Time
	changes     []Change
}

// suspect is the record of a part that was in requests at endpoints that crashed.
type suspect struct {
	// crashes holds the crashes of endpoint incarnations, by the hash of their names.
	crashes map[uint64]crashRecord
	// changedAt is when something was last learned about the part.
	changedAt time.Time
	// probedAt is when an entry last sent a request with the part though it is blocked, zero
	// if none has since the last crash.
	probedAt time.Time
	// vetted is set if an entry with experience blocks the part.
	vetted bool
	// blocked is the state that was last reported by DrainChanges.
	blocked bool
}

// crashRecord is a crash of an endpoint that held requests with a part.
type crashRecord struct {
	at time.Time
	// companions holds the other parts of these requests, up to maxCompanions.
	companions []Part
}

// Change is a part that became blocked or is no longer blocked.
type Change struct {
	part    Part
	blocked bool
	crashes int
}

// Part returns the part that changed.
func (c Change) Part() Part { return c.part }

// Blocked reports whether the part became blocked.
func (c Change) Blocked() bool { return c.blocked }

// Crashes returns the number of crashes since the part was last answered.
func (c Change) Crashes() int { return c.crashes }

// RecordAnswer records that an endpoint answers a request with the parts.
func (t *Tracker) RecordAnswer(parts []Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstAnswer.IsZero() {
		t.firstAnswer = now
	}
	for _, part := range parts {
		t.addAnswer(part, now, now)
	}
}

// addAnswer records that a part was answered. The caller holds t.mu.
func (t *Tracker) addAnswer(part Part, at, now time.Time) {
	last, proven := t.answers.last(part)
	t.answers.add(part, at)
	if !proven && t.suspects[part] != nil {
		t.causes = nil
	}
	if s := t.suspects[part]; s != nil && at.After(s.lastCrash()) && !last.After(s.lastCrash()) {
		s.changedAt = now
		t.updateBlocked(now)
	}
}

// RecordCrash records that an endpoint incarnation crashed while it held a request with
// the parts that it hadn't begun to answer. If one of them is blocked already, the others
// aren't suspected.
func (t *Tracker) RecordCrash(parts []Part, incarnation string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := parts
	if blocked := t.blockedAmong(parts, now); len(blocked) > 0 {
		suspected = blocked
	}
	for _, part := range suspected {
		t.addCrash(part, xxhash.Sum64String(incarnation), now, suspected, now)
	}
	t.updateBlocked(now)
}

// blockedAmong returns the parts that are blocked. The caller holds t.mu.
func (t *Tracker) blockedAmong(parts []Part, now time.Time) []Part {
	if len(t.suspects) == 0 {
		return nil
	}
	var blocked []Part
	for _, part := range parts {
		if t.isBlocked(part, now) {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// addCrash adds a crash to a part's record, and the parts that were in a request with it. The
// caller holds t.mu.
func (t *Tracker) addCrash(part Part, incarnation uint64, at time.Time, request []Part, now time.Time) {
	s := t.suspects[part]
	if s == nil {
		t.makeRoom()
		if t.suspects == nil {
			t.suspects = make(map[Part]*suspect)
		}
		s = &suspect{crashes: make(map[uint64]crashRecord)}
		t.suspects[part] = s
	}
	crash, known := s.crashes[incarnation]
	if !known {
		if len(s.crashes) >= maxCrashes {
			s.removeOldest()
		}
		crash.at = at
	}
	count := len(crash.companions)
	for _, other := range request {
		if other != part && !slices.Contains(crash.companions, other) && len(crash.companions) < maxCompanions {
			crash.companions = append(crash.companions, other)
		}
	}
	if known && len(crash.companions) == count {
		return
	}
	s.crashes[incarnation] = crash
	s.changedAt = now
	t.causes = nil
}

// removeOldest removes the oldest crash.
func (s *suspect) removeOldest() {
	var oldest uint64
	for incarnation, crash := range s.crashes {
		if _, present := s.crashes[oldest]; !present || crash.at.Before(s.crashes[oldest].at) {
			oldest = incarnation
		}
	}
	delete(s.crashes, oldest)
}

// makeRoom evicts the least suspicious part if there are maxSuspects. The caller holds t.mu.
func (t *Tracker) makeRoom() {
	if len(t.suspects) >= maxSuspects {
		ranked := t.rank()
		delete(t.suspects, ranked[len(ranked)-1])
		t.causes = nil
	}
}

// rank returns the suspect parts, the most suspicious first: those that are blocked, then
// those that were never answered, then those with more crashes since their last answer. A
// crash makes all parts of an endpoint's requests suspect, so that those of a single crash
// can be as many as all parts in use. The caller holds t.mu.
func (t *Tracker) rank() []Part {
	type suspicion struct {
		part            Part
		blocked, proven bool
		crashes         int
		changedAt       time.Time
	}
	suspicions := make([]suspicion, 0, len(t.suspects))
	for part, s := range t.suspects {
		answered, proven := t.answers.last(part)
		suspicions = append(suspicions, suspicion{
			part: part, blocked: s.blocked, proven: proven, crashes: len(s.since(answered)), changedAt: s.changedAt,
		})
	}
	first := func(a, b bool) int {
		switch {
		case a == b:
			return 0
		case a:
			return -1
		default:
			return 1
		}
	}
	slices.SortFunc(suspicions, func(a, b suspicion) int {
		return cmp.Or(first(a.blocked, b.blocked), first(!a.proven, !b.proven), cmp.Compare(b.crashes, a.crashes), b.changedAt.Compare(a.changedAt))
	})
	parts := make([]Part, 0, len(suspicions))
	for _, s := range suspicions {
		parts = append(parts, s.part)
	}
	return parts
}

// Check returns whether a request with the parts must be refused because one of them is
// blocked, and when this entry may send the next one. The rank is the entry's ProbeRank.
func (t *Tracker) Check(parts []Part, rank func(Part) int, now time.Time) (refused bool, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next = t.nextProbe(parts, t.blockedAmong(parts, now), rank)
	return now.Before(next), next
}

// BeginProbe is called before a request with the parts is sent. It returns false if the
// request must not be sent, as one of the parts is blocked and no probe of it is due.
// Otherwise started is the time of the probe, zero if none of the parts is blocked.
func (t *Tracker) BeginProbe(parts []Part, rank func(Part) int, now time.Time) (started time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	blocked := t.blockedAmong(parts, now)
	if len(blocked) == 0 {
		return time.Time{}, true
	}
	if now.Before(t.nextProbe(parts, blocked, rank)) {
		return time.Time{}, false
	}
	for _, part := range blocked {
		t.suspects[part].probedAt, t.suspects[part].changedAt = now, now
	}
	return now, true
}

// CancelProbe undoes BeginProbe for a request that no endpoint has run.
func (t *Tracker) CancelProbe(parts []Part, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.probedAt.Equal(started) {
			s.probedAt = time.Time{}
		}
	}
}

// IsBlocked reports whether one of the parts is blocked by a crash after a time: that of the
// request's BeginProbe, or zero if it is no probe.
func (t *Tracker) IsBlocked(parts []Part, probe, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.blockedAmong(parts, now), func(part Part) bool {
		return t.suspects[part].lastCrash().After(probe)
	})
}

// nextProbe returns when a request with the parts, some of which are blocked, may be sent.
// Each entry waits longer than the one before, as that may get no such request. The caller
// holds t.mu.
func (t *Tracker) nextProbe(parts, blocked []Part, rank func(Part) int) time.Time {
	var next time.Time
	for _, part := range blocked {
		due := t.probeDue(part).Add(time.Duration(rank(part)) * probeTimeout)
		if t.isTest(part, parts) {
			s := t.suspects[part]
			// The number of entries doubles with each stage.
			stage := bits.Len(uint(rank(part)))
			due = laterOf(s.lastCrash().Add(testDelay+time.Duration(stage)*testStagger), s.probedAt.Add(testTimeout))
		}
		next = laterOf(next, due)
	}
	return next
}

// probeDue returns when the first entry may send the next probe of a blocked part. The
// caller holds t.mu.
func (t *Tracker) probeDue(part Part) time.Time {
	s := t.suspects[part]
	answered, proven := t.answers.last(part)
	delay, excess := unprovenDelay, episodes(s.since(answered))-unprovenEpisodes
	if proven {
		delay, excess = provenDelay, episodes(s.since(answered))-provenEpisodes
	}
	due := s.lastCrash().Add(delay << min(max(0, excess), maxDoublings))
	return laterOf(due, s.probedAt.Add(probeTimeout))
}

// isBlocked reports whether a part is blocked. The caller holds t.mu.
func (t *Tracker) isBlocked(part Part, now time.Time) bool {
	s := t.suspects[part]
	if s == nil || now.Sub(s.lastCrash()) >= blockTTL {
		return false
	}
	answered, proven := t.answers.last(part)
	if !proven {
		required := earlyEpisodes
		if s.vetted || !t.firstAnswer.IsZero() && now.Sub(t.firstAnswer) >= experience {
			required = unprovenEpisodes
		}
		return episodes(t.withoutCulprit(part, now)) >= required
	}
	return episodes(t.unexplained(s, answered)) >= provenEpisodes
}

// unexplained returns the times of a suspect's crashes since it was answered, without
// those that a part explains which was never answered and was at several crashes. The
// caller holds t.mu.
func (t *Tracker) unexplained(s *suspect, answered time.Time) []time.Time {
	var times []time.Time
	for incarnation, crash := range s.crashes {
		if crash.at.After(answered) && !t.isExplained(incarnation) {
			times = append(times, crash.at)
		}
	}
	return times
}

func (t *Tracker) isExplained(incarnation uint64) bool {
	for part, s := range t.suspects {
		_, proven := t.answers.last(part)
		if _, present := s.crashes[incarnation]; present && !proven && len(s.crashes) > 1 {
			return true
		}
	}
	return false
}

// since returns the times of the crashes after a time.
func (s *suspect) since(start time.Time) []time.Time {
	var times []time.Time
	for _, crash := range s.crashes {
		if crash.at.After(start) {
			times = append(times, crash.at)
		}
	}
	return times
}

func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, crash := range s.crashes {
		last = laterOf(last, crash.at)
	}
	return last
}

// episodes returns the number of episodes in the times of crashes.
func episodes(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var start time.Time
	for _, at := range times {
		if count == 0 || at.Sub(start) >= episodeLength {
			count++
			start = at
		}
	}
	return count
}

// updateBlocked drops expired suspects and notes which parts have become blocked or are
// no longer blocked. The caller holds t.mu.
func (t *Tracker) updateBlocked(now time.Time) {
	for part, s := range t.suspects {
		blocked := t.isBlocked(part, now)
		answered, _ := t.answers.last(part)
		if blocked != s.blocked {
			s.blocked = blocked
			t.changes = append(t.changes, Change{part: part, blocked: blocked, crashes: len(s.since(answered))})
		}
		cleared := answered.After(s.lastCrash()) && now.Sub(s.changedAt) >= clearedTTL
		if !blocked && (cleared || now.Sub(s.lastCrash()) >= suspectTTL) {
			delete(t.suspects, part)
			t.causes = nil
		}
	}
}

// DrainChanges returns the changes since the last call.
func (t *Tracker) DrainChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
