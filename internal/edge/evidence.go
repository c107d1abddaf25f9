package edge

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/fresh"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/platform"
)

// Timing of calls for want of evidence that the view is current.
const (
	// askSpread is the span in which entries whose evidence has become too old ask the
	// store. The first one that is answered tells the others, so that a few of a hundred ask.
	askSpread = 300 * time.Millisecond
	// askWait is how long the store may wait for changes before it answers such a call.
	askWait = time.Millisecond
	// askRetry is the time from one such call without an answer to the next.
	askRetry = 700 * time.Millisecond
	// maxEvidenceAge limits the age of evidence that hellos pass on.
	maxEvidenceAge = time.Hour
)

// evidenceLimit returns the age of evidence in a fleet of a size from which an entry asks the
// store itself. Younger evidence comes without that: the first watch that ends gives it, and
// hellos pass it on to all entries in some rounds. With askSpread and the time of a call, a
// change reaches an entry in time whoever of the others has lost contact to the store.
func evidenceLimit(members int) time.Duration {
	rounds := 1 + math.Ceil(math.Log(float64(max(1, members)))/math.Log(1+helloFanout))
	return minWatchTimeout + coalesceDelay + time.Duration(rounds)*helloPeriod
}

// verify asks the store whenever there is no evidence that is recent enough, until ctx ends.
func (s *storeSyncer) verify(ctx context.Context) {
	for ctx.Err() == nil {
		limit := evidenceLimit(len(s.entry.view.Load().Members()))
		wait := s.evidence.AskIn(time.Now(), limit, askRetry)
		if s.isCalling() {
			wait = helloPeriod
		}
		if wait > 0 {
			sleep(ctx, min(wait, limit))
			continue
		}
		s.ask(ctx)
	}
}

// isCalling reports whether run reads the store, or retries to. A watch that waits may be one that
// gets no answer.
func (s *storeSyncer) isCalling() bool {
	watches := s.shouldWatch()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision() == 0 || watches && s.cancelWatch == nil
}

// ask asks the store for changes without waiting for any, and tells the other entries that the
// view is current.
func (s *storeSyncer) ask(ctx context.Context) {
	answer := storeAnswer{source: "ask", after: s.position(), at: time.Now()}
	age := s.evidence.Latest().Age(answer.at)
	var err error
	answer.changes, answer.position, err = s.entry.store.Changes(ctx, allKeys, answer.after, askWait)
	result := "current"
	switch {
	case ctx.Err() != nil:
		return
	case eris.Is(err, platform.ErrHistoryCompacted):
		result, err = "read_all", s.readAll(ctx)
	case err == nil && answer.isOlder():
		result = "older"
		s.reportOlder(answer.source, answer.after, answer.position)
	case err == nil:
		if len(answer.changes) > 0 {
			result = "changed"
		}
		s.mu.Lock()
		s.applyAnswer(answer)
		s.mu.Unlock()
	}
	if err != nil {
		result = "failed"
	} else {
		event.StoreAsked.Log(s.entry.logger, zap.Int64("age_ms", age.Milliseconds()), zap.Uint64("revision", s.position().Revision()), zap.String("result", result))
	}
	s.asks.Add(1, result)
	s.evidence.Asked(time.Now(), err == nil && result != "older")
	s.setReachable(ctx, err)
	if result == "current" || result == "changed" {
		s.entry.peers.broadcast()
	}
}

// storeAnswer is the answer to a call for changes.
type storeAnswer struct {
	source string
	// after is the position after which changes were asked for, and position the latest one of
	// the store at a moment, which is that of the call or later. Both are in the same era.
	after, position store.Position
	changes         []store.Change
	at              time.Time
}

// isOlder reports whether the answer is from before the known position.
func (a storeAnswer) isOlder() bool { return a.after.After(a.position) }

// applyAnswer applies an answer. The caller holds s.mu.
func (s *storeSyncer) applyAnswer(answer storeAnswer) {
	if answer.position.Era() != s.state.Position().Era() {
		// A peer has shown a later era meanwhile.
		return
	}
	now := time.Now()
	graceUntil := s.graceUntil(now)
	if len(answer.changes) > 0 {
		s.state.Apply(answer.changes, answer.position.Revision(), now, graceUntil)
		s.publish(answer.source)
	}
	s.lastContact, s.disconnected = now, false
	s.confirm(answer.position, fresh.Seen(answer.at))
}

// confirm records evidence that the store's latest position was the given one. The caller
// holds s.mu.
func (s *storeSyncer) confirm(position store.Position, evidence fresh.Evidence) {
	if !s.evidence.Confirm(position, evidence) {
		return
	}
	s.state.Confirm(evidence.At())
	s.entry.view.Store(s.state.View())
}

// receiveEvidence records evidence that another entry has passed on.
func (s *storeSyncer) receiveEvidence(position store.Position, evidence fresh.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(position, evidence)
	s.noteEvidence()
}

// noteEvidence ends the time without contact to the store if there is evidence of a later
// moment. The caller holds s.mu.
func (s *storeSyncer) noteEvidence() {
	if at := s.evidence.Latest().At(); at.After(s.lastContact) {
		s.graceUntil(time.Now())
		s.lastContact, s.disconnected = at, false
	}
}

// isWatching reports whether a watch is running here and there is recent evidence.
func (s *storeSyncer) isWatching() bool {
	s.mu.Lock()
	watching := s.reachable && s.cancelWatch != nil
	s.mu.Unlock()
	return watching && s.evidence.Latest().Age(time.Now()) < evidenceLimit(len(s.entry.view.Load().Members()))
}

// writeEvidence writes evidence to a hello. Its age is rounded up.
func writeEvidence(hello *wirepb.Hello, evidence fresh.Evidence, now time.Time) {
	age := evidence.Age(now)
	if !evidence.CanRelay() || age > maxEvidenceAge {
		return
	}
	milliseconds := uint32((age + time.Millisecond - 1).Milliseconds())
	hello.StoreAgeMs, hello.RelayAgeMs, hello.StoreHops = &milliseconds, &milliseconds, uint32(evidence.Hops())
}

// readEvidence returns the evidence in a hello, and whether there is any.
func readEvidence(hello *wirepb.Hello, now time.Time) (fresh.Evidence, bool) {
	if hello.StoreAgeMs == nil || hello.GetStoreHops() > fresh.MaxHops {
		return fresh.Evidence{}, false
	}
	age := time.Duration(hello.GetStoreAgeMs()) * time.Millisecond
	return fresh.Relayed(now.Add(-age), int(hello.GetStoreHops())), true
}
