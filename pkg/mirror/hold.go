package mirror

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// How long the state holds on to what a store that recovered from a copy has lost, unless it is
// written again. Copies are some seconds old. A table is held for good, since versions never go
// back.
const (
	// operatorHold is for evacuations and for endpoints that are draining or were when they were
	// removed: what is undone too early sends requests where they may not go.
	operatorHold = 60 * time.Second
	// removalHold is for the removal of other endpoints. That of one that has gone is repeated, and
	// one whose key had only expired may be running and have nothing to write.
	removalHold = 10 * time.Second
	// endpointHold is for endpoints that the copy lacks. Running ones register again.
	endpointHold = ExpiryGrace
)

// hold tells why a record or a tombstone of an earlier era is still in use: the store shows an
// older form of the key, or doesn't have the key.
type hold struct {
	// shown is what the store has, the zero pair if it doesn't have the key.
	shown store.Pair
	// span is how long after eraKnownSince the hold ends at the latest, zero if it has no end, and
	// until when it ends if that is earlier, since it is of an earlier era or a peer's.
	span  time.Duration
	until time.Time
}

// isShown reports whether the store has the key.
func (h *hold) isShown() bool { return h.shown.Revision() > 0 }

// isNewWrite reports whether a pair was written after the recovery from the copy. Held is what
// the state knew before, of an earlier era, that is not in the copy. A pair with a higher revision
// isn't in the copy either. Of other pairs in the first snapshot of an era that can't be told.
func isNewWrite(held store.Position, known *hold, pair store.Pair, firstRead bool) bool {
	return pair.Revision() >= held.Revision() || !firstRead && (known == nil || pair.Revision() > known.shown.Revision())
}

// isReplacedBy reports whether what the store shows in a later era is the record's content, or a
// later form of it.
func (r record) isReplacedBy(next record, firstRead bool) bool {
	if bytes.Equal(r.pair.Value(), next.pair.Value()) {
		return true
	}
	isNew := isNewWrite(r.position(), r.held, next.pair, firstRead)
	switch known := r.value.(type) {
	case *table.Table:
		shown, ok := next.value.(*table.Table)
		return ok && shown.Version() >= known.Version()
	case *table.Endpoint:
		shown, ok := next.value.(*table.Endpoint)
		if !ok {
			return isNew
		}
		order := compareForms(shown, known)
		return order > 0 || order == 0 && (isNew || shown.Draining()) || isNew && shown.Draining()
	default:
		return true
	}
}

// isReplacedBy reports whether the store shows a key in a later era because it was written after
// its removal, not because the copy is from before that.
func (t tombstone) isReplacedBy(next record, firstRead bool) bool {
	isNew := isNewWrite(t.position, t.held, next.pair, firstRead)
	switch value := next.value.(type) {
	case *table.Endpoint:
		last, ok := t.last.value.(*table.Endpoint)
		if !ok {
			return isNew
		}
		order := compareForms(value, last)
		return order > 0 || order == 0 && isNew
	case table.Evacuation, table.Member:
		return isNew || next.pair.Revision() != t.last.pair.Revision()
	default:
		return true
	}
}

// compareForms returns -1, 0 or 1 as a record of an endpoint is older than, as old as or newer
// than another one.
func compareForms(a, b *table.Endpoint) int {
	return cmp.Or(a.Start().Compare(b.Start()), cmp.Compare(a.Sequence(), b.Sequence()))
}

// spanOf returns how long the last known state of a key is held, zero if that has no end.
func spanOf(last any, isRemoved, isShown bool) time.Duration {
	switch value := last.(type) {
	case *table.Table:
		return 0
	case *table.Endpoint:
		switch {
		case value.Draining():
			return operatorHold
		case isRemoved:
			return removalHold
		case !isShown:
			return endpointHold
		}
	case table.Member:
		return ExpiryGrace
	}
	return operatorHold
}

// keep holds on to a record of which the store shows another form, or none if shown is the zero
// pair.
func (s *State) keep(known record, shown store.Pair) {
	h := hold{shown: shown}
	h.span = spanOf(known.value, false, h.isShown())
	if known.held != nil {
		h.span, h.until = known.held.span, known.held.until
	}
	known.held = &h
	s.records[known.pair.Key()] = known
	s.noteHeld(known.pair.Key(), known.position())
}

// keepRemoved holds on to the removal of a key though the store shows it.
func (s *State) keepRemoved(key string, removed tombstone, shown store.Pair) {
	h := hold{shown: shown, span: spanOf(removed.last.value, true, true)}
	if removed.held != nil {
		h.span, h.until = removed.held.span, removed.held.until
	}
	removed.held = &h
	s.tombstones[key] = removed
	s.noteHeld(key, removed.position)
}

// end returns the end of a hold, zero if it has none.
func (s *State) end(h *hold) time.Time {
	if h.span == 0 {
		return time.Time{}
	}
	end := s.eraKnownSince.Add(h.span)
	if !h.until.IsZero() && h.until.Before(end) {
		return h.until
	}
	return end
}

// isOver reports whether a hold has ended.
func (s *State) isOver(h *hold) bool {
	if h == nil {
		return false
	}
	end := s.end(h)
	return !end.IsZero() && !s.now.Before(end)
}

// beginEra records that the store has recovered from a copy. Holds of earlier eras keep their end.
func (s *State) beginEra() {
	keepEnd := func(h *hold) *hold {
		if h == nil {
			return nil
		}
		return &hold{shown: h.shown, span: h.span, until: s.end(h)}
	}
	for key, rec := range s.records {
		rec.held = keepEnd(rec.held)
		s.records[key] = rec
	}
	for key, removed := range s.tombstones {
		removed.held = keepEnd(removed.held)
		s.tombstones[key] = removed
	}
	s.eraKnownSince, s.compacted = s.now, 0
	clear(s.released)
	clear(s.heldOnce)
	s.fingerprint = 0
}

// NoteEraAge records that a peer has known the latest era for a time, so that a process that was away
// doesn't hold on to what is long settled.
func (s *State) NoteEraAge(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.Before(s.eraKnownSince) {
		s.eraKnownSince = at
	}
}

// EraKnownSince returns the earliest moment at which this process or a peer knew the latest era.
func (s *State) EraKnownSince() time.Time { return s.eraKnownSince }

// noteHeld records that the state holds what was known of a key at a position.
func (s *State) noteHeld(key string, position store.Position) {
	digest := func(position store.Position) uint64 {
		text := binary.AppendUvarint(append([]byte(key), 0), position.Era())
		return xxhash.Sum64(binary.AppendUvarint(text, position.Revision()))
	}
	if before, known := s.heldOnce[key]; known {
		s.fingerprint ^= digest(before)
	}
	s.heldOnce[key] = position
	s.fingerprint ^= digest(position)
}

// miss handles a key that a snapshot lacks. If the snapshot is the first of its era, the copy from
// which the store recovered may lack it.
func (s *State) miss(key string, firstRead bool, graceUntil time.Time) {
	known := s.records[key]
	switch {
	case known.era == s.position.Era() || known.held != nil && known.held.isShown() && !firstRead:
		s.remove(key, s.position.Revision(), graceUntil)
	case known.held != nil && !firstRead || !known.expires.IsZero():
		return
	case !mayBeHeld(known.value):
		// That the copy lacks the key doesn't mean that it was removed.
		delete(s.records, key)
	default:
		s.keep(known, store.Pair{})
	}
}

// mayBeHeld reports whether a value stays in use though the store has lost it. Demands are not:
// entries write the next one anyway.
func mayBeHeld(value any) bool {
	switch value.(type) {
	case *table.Table, *table.Endpoint, table.Evacuation, table.Member:
		return true
	default:
		return false
	}
}

// release replaces what was held long enough by what the store shows, and reports whether there
// was any.
func (s *State) release() bool {
	released := false
	for key, rec := range s.records {
		if s.isOver(rec.held) {
			released = true
			s.released[key] = rec.lastState()
			delete(s.records, key)
			s.show(rec.held.shown)
		}
	}
	for key, removed := range s.tombstones {
		if s.isOver(removed.held) {
			released = true
			s.released[key] = removed.lastState()
			delete(s.tombstones, key)
			s.show(removed.held.shown)
		}
	}
	return released
}

// show sets a key to what the store has, unless that is nothing.
func (s *State) show(pair store.Pair) {
	if pair.Revision() > 0 {
		s.write(pair, false)
	}
}

// Held is the last known state of a key, of an earlier era, that the store has lost or shows in an
// older form, or a removal that a peer may have missed. It is what peers have to know beside the content
// of the store.
type Held struct {
	pair     store.Pair
	removed  bool
	position store.Position
	shown    uint64
	left     time.Duration
}

// NewHeld returns the last known state of a pair's key, which was written or, if removed is set,
// removed at a position. Shown is the revision at which the store has the key, zero if it doesn't
// have it, and left the time for which it is still held, zero if that has no end.
func NewHeld(pair store.Pair, removed bool, position store.Position, shown uint64, left time.Duration) Held {
	return Held{pair: pair, removed: removed, position: position, shown: shown, left: left}
}

// Pair returns the pair, or the pair before the removal.
func (h Held) Pair() store.Pair { return h.pair }

// IsRemoved reports whether the key was removed.
func (h Held) IsRemoved() bool { return h.removed }

// Position returns the position at which the key was written or removed.
func (h Held) Position() store.Position { return h.position }

// Shown returns the revision at which the store has the key, zero if it doesn't have it.
func (h Held) Shown() uint64 { return h.shown }

// Left returns the time for which the state is still held, zero if that has no end.
func (h Held) Left() time.Duration { return h.left }

// Held returns what the state holds, sorted by key, and the removals of earlier eras that peers may have
// missed.
func (s *State) Held() []Held {
	var held []Held
	left := func(h *hold) time.Duration {
		end := s.end(h)
		if end.IsZero() {
			return 0
		}
		return max(time.Millisecond, end.Sub(s.now))
	}
	for _, rec := range s.records {
		if rec.held != nil {
			held = append(held, NewHeld(rec.pair, false, rec.position(), rec.held.shown.Revision(), left(rec.held)))
		}
	}
	for key, removed := range s.tombstones {
		last := store.NewPair(key, removed.last.pair.Value(), removed.last.pair.Revision())
		switch {
		case removed.held != nil:
			held = append(held, NewHeld(last, true, removed.position, removed.held.shown.Revision(), left(removed.held)))
		case s.mayBeMissed(removed):
			held = append(held, NewHeld(last, true, removed.position, 0, max(time.Millisecond, removed.at.Add(tombstoneRetention).Sub(s.now))))
		}
	}
	slices.SortFunc(held, func(a, b Held) int { return strings.Compare(a.pair.Key(), b.pair.Key()) })
	return held
}

// mayBeMissed reports whether a peer may hold on to the key of a removal, since it hadn't seen that before
// the store recovered.
func (s *State) mayBeMissed(removed tombstone) bool {
	if removed.position.Era() == s.position.Era() {
		return false
	}
	switch removed.last.value.(type) {
	case *table.Endpoint, table.Evacuation:
		return true
	default:
		return false
	}
}

// Removals returns the keys that were removed in the latest era, as input for a peer that may hold
// them.
func (s *State) Removals() []store.Change {
	var removals []store.Change
	for key, removed := range s.tombstones {
		if removed.held == nil && removed.position.Era() == s.position.Era() {
			removals = append(removals, store.Removed(key, removed.position.Revision()))
		}
	}
	return removals
}

// DropHeld removes the keys that the state holds and of which a peer in the same era has seen the
// removal: the store hasn't lost them by its recovery. Others among the changes are ignored. It
// reports whether anything changed. Members and endpoints stay until graceUntil, as in Replace.
func (s *State) DropHeld(changes []store.Change, now, graceUntil time.Time) bool {
	s.now = now
	changed := false
	for _, change := range changes {
		if key := change.Pair().Key(); change.IsRemoved() && s.records[key].held != nil {
			s.remove(key, change.Pair().Revision(), graceUntil)
			changed = true
		}
	}
	if changed {
		s.publish(s.current.confirmed)
	}
	return changed
}

// HeldFingerprint identifies what peers may have to know of earlier eras, and had to know since the
// latest one began, zero if there is nothing any more. Of two states with the same fingerprint none
// can learn from the other what the store has lost. It doesn't change as holds end, which happens at
// other moments in each process.
func (s *State) HeldFingerprint() uint64 {
	if !s.isHolding {
		return 0
	}
	return s.fingerprint
}

// updateHolding sets isHolding.
func (s *State) updateHolding() {
	s.isHolding = false
	for _, rec := range s.records {
		s.isHolding = s.isHolding || rec.held != nil
	}
	for _, removed := range s.tombstones {
		s.isHolding = s.isHolding || removed.held != nil || s.mayBeMissed(removed)
	}
}

// MergeHeld adopts what a peer in the same era holds, as far as the peer has seen the same form of a
// key in the store and this state doesn't know a later one. It reports whether anything changed.
func (s *State) MergeHeld(held []Held, now time.Time) bool {
	s.now = now
	changed := false
	for _, item := range held {
		changed = s.mergeHeld(item) || changed
	}
	if changed {
		s.publish(s.current.confirmed)
	}
	return changed
}

func (s *State) mergeHeld(item Held) bool {
	key := item.pair.Key()
	shown, _ := s.Lookup(key)
	rec, known := s.records[key]
	removed, wasRemoved := s.tombstones[key]
	value, err := s.decode(item.pair)
	if err != nil {
		value = nil
	}
	last := record{pair: item.pair, era: item.position.Era(), value: value}
	released, isReleased := s.released[key]
	told := lastState{value: value, removed: item.removed, position: item.position}
	switch {
	case item.position.Era() >= s.position.Era() || shown.Revision() != item.shown:
		return false
	case err != nil && !item.removed:
		// The peer decodes forms that this process doesn't.
		return false
	case isReleased && !told.isAfter(released):
		return false
	case known && rec.held != nil && !told.isAfter(rec.lastState()):
		return false
	case wasRemoved && removed.position.Era() == s.position.Era():
		return false
	case wasRemoved && !told.isAfter(removed.lastState()):
		return false
	}
	h := &hold{shown: shown}
	if item.left > 0 {
		h.span, h.until = spanOf(value, item.removed, h.isShown()), s.now.Add(item.left)
	}
	if s.isOver(h) {
		return false
	}
	s.noteHeld(key, item.position)
	if item.removed {
		removed := tombstone{position: item.position, at: s.now, last: last, held: h}
		if !h.isShown() {
			removed.held, removed.at = nil, s.end(h).Add(-tombstoneRetention)
		}
		delete(s.records, key)
		s.tombstones[key] = removed
		return true
	}
	last.held = h
	s.adopt(key, last)
	return true
}

// lastState is a last known state of a key, for the order of those of several processes.
type lastState struct {
	value    any
	removed  bool
	position store.Position
}

// isAfter reports whether a state is later than another one of the same key. What a process has read
// from a copy may have a later position than what was lost, so forms go before positions. A removed
// endpoint that registers again has a later form.
func (l lastState) isAfter(other lastState) bool {
	order := 0
	switch value := l.value.(type) {
	case *table.Table:
		if known, ok := other.value.(*table.Table); ok {
			order = cmp.Compare(value.Version(), known.Version())
		}
	case *table.Endpoint:
		if known, ok := other.value.(*table.Endpoint); ok {
			order = compareForms(value, known)
			if order == 0 && l.removed != other.removed {
				return l.removed
			}
		}
	}
	return order > 0 || order == 0 && l.position.After(other.position)
}
