// Package fresh tells how current a process's copy of a store is.
//
// That a process watches a store says nothing about the store: a watch that gets no answer
// looks like one without changes. What counts is evidence: a source's newest position was n,
// by a call that was sent d ago. Evidence about position n covers each copy at position n or
// later in the same era. Processes pass it on with its age, to which each adds the time that it kept the
// evidence. A process whose evidence is older than a limit asks the source itself.
//
// A Tracker has the latest evidence of a process. It is a state machine without I/O.
package fresh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// Age returns the time since a moment by the monotonic clock or the wall clock, whichever is
// longer. The monotonic clock may stand still while the process is suspended, and the wall
// clock may be set back. A wall clock that is set forward makes evidence look older than it is,
// which costs a call and breaks nothing.
func Age(at, now time.Time) time.Duration {
	return max(0, now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// MaxHops limits how often evidence is passed on. Each time adds the transit time of a message
// to the moment of the evidence, which is what the limit bounds.
const MaxHops = 8

// echoMargin is how much later relayed evidence must be than the evidence known so far. What
// differs by less may be the same evidence on another way.
const echoMargin = 50 * time.Millisecond

// Evidence is a moment at which a source was asked for its newest position. The zero value is
// no evidence.
type Evidence struct {
	at   time.Time
	hops int
}

// Seen returns the evidence of an answer that the process itself got, to a call that was sent at
// a moment.
func Seen(at time.Time) Evidence { return Evidence{at: at} }

// Relayed returns evidence that another process passed on, which had got it over a number of
// hops.
func Relayed(at time.Time, hops int) Evidence { return Evidence{at: at, hops: hops + 1} }

// At returns the moment of the evidence.
func (e Evidence) At() time.Time { return e.at }

// Hops returns how often the evidence was passed on.
func (e Evidence) Hops() int { return e.hops }

// Age returns the age of the evidence. That of no evidence is longer than any other.
func (e Evidence) Age(now time.Time) time.Duration { return Age(e.at, now) }

// CanRelay reports whether the evidence may be passed on.
func (e Evidence) CanRelay() bool { return !e.at.IsZero() && e.hops < MaxHops }

// replaces reports whether evidence takes the place of what was known before.
func (e Evidence) replaces(known Evidence) bool {
	if e.hops > 0 {
		return e.hops <= MaxHops && e.at.Sub(known.at) > echoMargin
	}
	return e.at.After(known.at)
}

// Tracker has the latest evidence that covers a process's copy. Copies that ask the same source
// because the same evidence has become too old do so at random moments of a span. The first one
// that is answered tells the others. Use New.
type Tracker struct {
	spread time.Duration

	mu sync.Mutex
	// position is that of the copy.
	position store.Position
	// evidence covers the copy. Delay is the part of the spread by which this process asks
	// later than others.
	evidence Evidence
	delay    time.Duration
	// pending is evidence about pendingPosition, which the copy doesn't have yet.
	pendingPosition store.Position
	pending         Evidence
	// askedAt is when the source was asked last without an answer, zero after an answer.
	askedAt time.Time
}

// New returns a tracker for an empty copy.
func New(spread time.Duration) *Tracker { return &Tracker{spread: spread} }

// Confirm records evidence that the newest position of the source was the given one, and reports
// whether it is the latest evidence about the copy. Evidence about a later position is kept
// until the copy has that. Evidence about an earlier era says nothing.
func (t *Tracker) Confirm(position store.Position, evidence Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case position.After(t.position):
		if position.Compare(t.pendingPosition) >= 0 {
			t.pendingPosition, t.pending = position, evidence
		}
		return false
	case position.Era() < t.position.Era():
		return false
	}
	return t.accept(evidence)
}

// accept records evidence that covers the copy. The caller holds the lock.
func (t *Tracker) accept(evidence Evidence) bool {
	if !evidence.replaces(t.evidence) {
		return false
	}
	t.evidence, t.delay = evidence, time.Duration(rand.Int64N(int64(max(1, t.spread))))
	return true
}

// Advance records that the copy has a position.
func (t *Tracker) Advance(position store.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if position.After(t.position) {
		t.position = position
	}
	if t.pendingPosition != (store.Position{}) && !t.pendingPosition.After(t.position) {
		if t.pendingPosition.Era() == t.position.Era() {
			t.accept(t.pending)
		}
		t.pendingPosition, t.pending = store.Position{}, Evidence{}
	}
}

// Latest returns the latest evidence about the copy.
func (t *Tracker) Latest() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence
}

// AskIn returns after what time the process has to ask the source itself: once the evidence is
// older than limit, at a random moment of the spread, and again after retry while there is no
// answer. It returns zero or less if that is due.
func (t *Tracker) AskIn(now time.Time, limit, retry time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := limit + t.delay - t.evidence.Age(now)
	if !t.askedAt.IsZero() {
		wait = max(wait, retry-Age(t.askedAt, now))
	}
	return wait
}

// Asked records that the source was asked, and whether it answered.
func (t *Tracker) Asked(now time.Time, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.askedAt = now
	if answered {
		t.askedAt = time.Time{}
	}
}
