package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// The bounds that the recoveries are checked against: how long the last known state of a key outlasts
// its loss, and how long a removal is remembered.
const (
	operatorHold       = 60 * time.Second
	removalHold        = 10 * time.Second
	endpointHold       = mirror.ExpiryGrace
	tombstoneRetention = 60 * time.Second
	// messageLifetime is the longest time that a message is on its way.
	messageLifetime = 2 * time.Second
)

func (f form) value() string { return fmt.Sprint(f.start, " ", f.sequence, " ", f.state) }

func (f form) isAfter(other form) bool {
	return f.start > other.start || f.start == other.start && f.sequence > other.sequence
}

// entry is the last change of a key. Changes are numbered in the order in which they are made,
// whatever becomes of them.
type entry struct {
	number  uint64
	era     uint64
	pair    store.Pair
	present bool
	form    form
}

func (e entry) isReady() bool    { return e.present && e.form.state == "ready" }
func (e entry) isDraining() bool { return e.present && e.form.state == "draining" }

// content is the last change of each key as of a position.
type content map[string]entry

func (c content) pairs() []store.Pair {
	var pairs []store.Pair
	for _, key := range slices.Sorted(maps.Keys(c)) {
		if c[key].present {
			pairs = append(pairs, c[key].pair)
		}
	}
	return pairs
}

// forkedStore is a store that recovers from copies. Its eras begin at one and have their content by
// revision, also that of the copy.
type forkedStore struct {
	eras [][]content
	// copied holds the revision of the copy with which each era began, one for the first era.
	copied  []uint64
	changes uint64
	// owners is what the owners of the keys wrote last.
	owners content
}

func (s *forkedStore) era() uint64 { return uint64(len(s.eras)) }

func (s *forkedStore) position() store.Position {
	return store.At(s.era(), uint64(len(s.eras[s.era()-1])))
}

func (s *forkedStore) at(position store.Position) content {
	if position == (store.Position{}) {
		return content{}
	}
	return s.eras[position.Era()-1][position.Revision()-1]
}

// write makes a change, as the owner of the key.
func (s *forkedStore) write(key, value string, written form, remove bool) {
	if len(s.eras) == 0 {
		s.eras, s.copied, s.owners = [][]content{nil}, []uint64{1}, content{}
	}
	states := s.eras[s.era()-1]
	next := content{}
	if len(states) > 0 {
		next = maps.Clone(states[len(states)-1])
	}
	s.changes++
	changed := entry{number: s.changes, era: s.era(), pair: pair(key, value, uint64(len(states)+1)), present: !remove, form: written}
	next[key], s.owners[key] = changed, changed
	s.eras[s.era()-1] = append(states, next)
}

// recover begins a new era with a copy that lacks the last changes.
func (s *forkedStore) recover(lost uint64) {
	states := s.eras[s.era()-1]
	kept := len(states) - int(min(lost, uint64(len(states)-1)))
	s.eras, s.copied = append(s.eras, slices.Clone(states[:kept])), append(s.copied, uint64(kept))
}

// lost returns the keys that aren't as their owners wrote them last.
func (s *forkedStore) lost() []string {
	var keys []string
	current := s.at(s.position())
	for key, own := range s.owners {
		if shown := current[key]; shown.present != own.present || own.present && string(shown.pair.Value()) != string(own.pair.Value()) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// writeAgain has an owner write a lost key again.
func (s *forkedStore) writeAgain(key string) {
	own := s.owners[key]
	s.write(key, string(own.pair.Value()), own.form, !own.present)
}

// watch returns the changes between two positions of an era: all of them, or the last one of each key.
func (s *forkedStore) watch(after, to store.Position, all bool) []store.Change {
	var changes []store.Change
	last := make(map[string]store.Change)
	for revision := after.Revision() + 1; revision <= to.Revision(); revision++ {
		for key, changed := range s.at(store.At(to.Era(), revision)) {
			if changed.pair.Revision() != revision {
				continue
			}
			change := store.Written(changed.pair)
			if !changed.present {
				change = store.Removed(key, revision)
			}
			changes, last[key] = append(changes, change), change
		}
	}
	if all {
		return changes
	}
	return slices.SortedFunc(maps.Values(last), func(a, b store.Change) int { return strings.Compare(a.Pair().Key(), b.Pair().Key()) })
}

// recovering is an implementation that follows a store that recovers from copies.
type recovering interface {
	implementation
	Held() []mirror.Held
	MergeHeld(held []mirror.Held, now time.Time) bool
	HeldFingerprint() uint64
	NoteEraAge(age time.Duration, now time.Time)
	EraKnownSince() time.Time
}

// message is an answer to a watch, or what a process tells another one.
type message struct {
	sentAt   time.Time
	position store.Position
	isWatch  bool
	changes  []store.Change
	// partial is set if changes are what the receiver lacked.
	partial bool
	pairs   []store.Pair
	held    []mirror.Held
	// eraKnownSince is the sender's.
	eraKnownSince time.Time
	// known and missed are what the sender knew.
	known  map[string]knowledge
	missed map[string]bool
}

// knowledge is the last change of a key that a process knows.
type knowledge struct {
	entry
	// seenAt is when the process learned of it.
	seenAt time.Time
	// form is the last form of the endpoint that the process has seen.
	seen form
	// lostAt is when the process first saw a copy without it, zero before.
	lostAt time.Time
	// shownIn is the last era in which the process has seen the key in the store.
	shownIn uint64
	// isUncertain is set if the change is a removal that can't be told from a copy's lack of the key.
	isUncertain bool
	// mayEndLater is set if the process may let go later than after a hold from lostAt.
	mayEndLater bool
}

// follower is a process with what it has to know.
type follower struct {
	recovering
	position   store.Position
	version    uint64
	known      map[string]knowledge
	graceUntil time.Time
	// missed holds the keys of which the process can't tell what is in the copy, such as those that were
	// removed before it had seen them. They aren't checked before the end.
	missed map[string]bool
	// letGo holds the keys that the process may have let go of in this era.
	letGo map[string]bool
	inbox []message
}

// advance updates what the process knows after an input.
func (f *follower) advance(s *forkedStore, position store.Position, now time.Time) {
	if f.position.Era() != position.Era() {
		f.letGo = make(map[string]bool)
	}
	f.position = position
	for key, shown := range s.at(position) {
		known, ok := f.known[key]
		switch {
		case !ok && !shown.present:
			f.missed[key] = true
			continue
		case !ok || shown.number >= known.number:
			if shown.number != known.number {
				known.seenAt = now
				known.isUncertain = !shown.present && (known.present || known.isUncertain) && known.shownIn != position.Era()
				f.missed[key] = f.missed[key] || !shown.present && known.form.state == "bad"
			}
			known.entry, known.lostAt, known.mayEndLater = shown, time.Time{}, false
			if shown.present {
				known.seen, known.shownIn = shown.form, position.Era()
			}
		case known.lostAt.IsZero():
			known.lostAt = now
		}
		f.known[key] = known
	}
	for key, known := range f.known {
		if _, ok := s.at(position)[key]; !ok && known.lostAt.IsZero() {
			known.lostAt = now
			f.known[key] = known
		}
	}
}

// learn adds what a peer knew. It must be known if both were at the same position, otherwise it may be.
func (f *follower) learn(m message, isCertain bool) {
	for _, item := range m.held {
		key := item.Pair().Key()
		told := m.known[key]
		if since := f.EraKnownSince(); told.lostAt.After(since) {
			told.lostAt = since
		}
		switch {
		case told.number == 0 || m.missed[key]:
			f.missed[key] = true
		case f.missed[key]:
		case told.number == f.known[key].number && told.lostAt.Before(f.known[key].lostAt):
			told.mayEndLater = true
			f.known[key] = told
		case told.number <= f.known[key].number || f.letGo[key]:
		case isCertain:
			f.known[key] = told
		default:
			f.missed[key] = true
		}
	}
}

// noteEraAge has the process hear since when a peer has known the era. Its holds of this era end as
// much earlier.
func (f *follower) noteEraAge(since, now time.Time) {
	before := f.EraKnownSince()
	f.NoteEraAge(now.Sub(since), now)
	earlier := before.Sub(f.EraKnownSince())
	for key, known := range f.known {
		if !known.lostAt.IsZero() && !known.lostAt.Before(before) {
			known.lostAt = known.lostAt.Add(-earlier)
			f.known[key] = known
		}
	}
	f.Expire(now)
}

// forget drops what the process may have let go of.
func (f *follower) forget(s *forkedStore, now time.Time) {
	for key, known := range f.known {
		f.letGo[key] = f.letGo[key] || known.isUncertain && now.Sub(known.seenAt) >= endpointHold
		hold := operatorHold
		isShown := s.at(f.position)[key].present
		switch {
		case known.isReady() && !isShown:
			hold = endpointHold
		case !known.present && known.seen.state == "ready":
			hold = removalHold
		}
		isOver := !known.lostAt.IsZero() && now.Sub(known.lostAt) >= hold
		if isOver || !known.present && !isShown && now.Sub(known.seenAt) >= tombstoneRetention {
			f.letGo[key] = true
			f.missed[key] = f.missed[key] || known.mayEndLater
			delete(f.known, key)
			if shown := s.at(f.position)[key]; shown.present {
				f.known[key] = knowledge{entry: shown, seenAt: now, seen: shown.form, shownIn: f.position.Era()}
			}
		}
	}
}

// check compares the view with what the process knows.
func (f *follower) check(s *forkedStore, now time.Time) error {
	f.forget(s, now)
	if f.position == (store.Position{}) {
		return nil
	}
	current := s.at(f.position)
	var keys []string
	for _, shown := range f.Pairs() {
		keys = append(keys, fmt.Sprintf("%s@%d=%s", shown.Key(), shown.Revision(), shown.Value()))
	}
	var want []string
	for _, shown := range current.pairs() {
		want = append(want, fmt.Sprintf("%s@%d=%s", shown.Key(), shown.Revision(), shown.Value()))
	}
	if !slices.Equal(want, keys) {
		return fmt.Errorf("pairs for peers are %v, want %v, at %v", keys, want, f.position)
	}
	version := f.View().Table().Version()
	if version < f.version {
		return fmt.Errorf("the table went back from version %d to %d", f.version, version)
	}
	if known, err := strconv.ParseUint(string(f.known["table"].pair.Value()), 10, 64); err == nil && version < known {
		return fmt.Errorf("the table has version %d, want %d", version, known)
	}
	if version > s.version() {
		return fmt.Errorf("the table has version %d, which was never written", version)
	}
	f.version = version
	return f.checkKeys(current, now)
}

func (f *follower) checkKeys(current content, now time.Time) error {
	forms := shownForms(f.View())
	for key, known := range f.known {
		shown, isInView := forms[key]
		inCopy := current[key]
		if f.missed[key] {
			continue
		}
		isLost := !known.lostAt.IsZero()
		name, isEvacuation := strings.CutPrefix(key, "evacuate/")
		switch {
		case isEvacuation && known.present && !f.View().Evacuated(name):
			return fmt.Errorf("%s isn't in force", key)
		case !strings.HasPrefix(key, "endpoint/") || known.isUncertain:
		case known.isDraining() && isInView && shown.state != "draining":
			return fmt.Errorf("%s is shown as %v, but was draining as %v", key, shown, known.form)
		case isLost && !known.present && isInView && now.After(f.graceUntil) && !inCopy.form.isAfter(known.seen):
			return fmt.Errorf("%s is shown as %v, but was removed", key, shown)
		case isLost && known.isReady() && !inCopy.present && !isInView:
			return fmt.Errorf("%s isn't shown, but the copy lacks it", key)
		case !isLost && known.present && known.era == f.position.Era() && known.form.state != "bad" && shown != known.form:
			return fmt.Errorf("%s is shown as %v, but was written as %v in this era", key, shown, known.form)
		}
	}
	return nil
}

// version returns the newest version that was written.
func (s *forkedStore) version() uint64 {
	version, _ := strconv.ParseUint(string(s.owners["table"].pair.Value()), 10, 64)
	return version
}

// difference returns how the views of two processes differ.
func difference(own, peer *follower, current content, ignoresReady bool) string {
	a, b := own.View(), peer.View()
	if a.Table().Version() != b.Table().Version() {
		return fmt.Sprintf("tables %d and %d", a.Table().Version(), b.Table().Version())
	}
	isLetGo := func(key string) bool {
		return current[key].form.state == "bad" || slices.ContainsFunc([]*follower{own, peer}, func(f *follower) bool {
			known := f.known[key]
			return f.letGo[key] || f.missed[key] || known.isUncertain && known.era == f.position.Era()
		})
	}
	for _, name := range evacuations {
		if a.Evacuated(name) != b.Evacuated(name) && !isLetGo("evacuate/"+name) {
			return "evacuation of " + name
		}
	}
	forms, others := shownForms(a), shownForms(b)
	isIgnored := func(key string, f form) bool { return isLetGo(key) || ignoresReady && f.state == "ready" }
	maps.DeleteFunc(forms, isIgnored)
	maps.DeleteFunc(others, isIgnored)
	if !maps.Equal(forms, others) {
		return fmt.Sprintf("endpoints %v and %v", forms, others)
	}
	return ""
}

// recoveryKind is the kind of an operation.
type recoveryKind int

const (
	writeTable recoveryKind = iota
	writeEndpoint
	writeEvacuation
	writeUnknown
	recoverStore
	writeLost
	readStore
	watchStore
	askPeer
	deliver
	exchange
	restart
	recoveryKindCount
)

// recoveryOperation is one operation of a test sequence. The meaning of number and flag depends on its
// kind.
type recoveryOperation struct {
	kind    recoveryKind
	process int
	number  uint64
	flag    bool
	elapsed time.Duration
}

// drawBits returns a number of random bits. All numbers are as likely, unlike those of rapid.Uint64.
func drawBits(t *rapid.T, bits int) (number uint64) {
	for range bits {
		number <<= 1
		if rapid.Bool().Draw(t, "bit") {
			number |= 1
		}
	}
	return number
}

var recoveryOperations = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) recoveryOperation {
	pauses := [32]time.Duration{time.Millisecond, time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, mirror.ExpiryGrace, 6 * time.Second, 31 * time.Second}
	return recoveryOperation{
		kind:    recoveryKind(drawBits(t, 6) % uint64(recoveryKindCount)),
		process: int(drawBits(t, 1)),
		number:  drawBits(t, 10),
		flag:    rapid.Bool().Draw(t, "flag"),
		elapsed: pauses[drawBits(t, 5)],
	}
}), 25, 60)

// system is a store and the processes that follow it.
type system struct {
	store     forkedStore
	followers []*follower
	clock     time.Time
}

// change makes a change of the store, or has it recover.
func (s *system) change(op recoveryOperation) {
	switch op.kind {
	case writeTable:
		s.store.write("table", strconv.FormatUint(s.store.version()+1+op.number%3, 10), form{}, false)
	case writeEndpoint:
		s.writeEndpoint("endpoint/"+strconv.FormatUint(1+op.number%3, 10), op)
	case writeEvacuation:
		s.writeEvacuation("evacuate/"+evacuations[op.number%uint64(len(evacuations))], op.flag)
	case writeUnknown:
		if !op.flag || s.store.at(s.store.position())["unknown"].present {
			s.store.write("unknown", strconv.FormatUint(op.number, 10), form{}, op.flag)
		}
	case recoverStore:
		s.store.recover(op.number % 12)
	case writeLost:
		if lost := s.store.lost(); len(lost) > 0 {
			s.store.writeAgain(lost[op.number%uint64(len(lost))])
		}
	}
}

// evacuations are the data centres that may be evacuated.
var evacuations = []string{"a", "b", "c", "d"}

// writeEvacuation has the operator begin an evacuation or end it. It begins only once: evacuations have
// no content by which a process could tell a later one from that of a copy.
func (s *system) writeEvacuation(key string, remove bool) {
	if own := s.store.owners[key]; own.number == 0 || remove && s.store.at(s.store.position())[key].present {
		s.store.write(key, "", form{}, own.number > 0)
	}
}

func (s *system) writeEndpoint(key string, op recoveryOperation) {
	own := s.store.owners[key]
	next := form{start: max(1, own.form.start), sequence: own.form.sequence + 1, state: "ready"}
	switch op.number / 3 % 8 {
	case 0, 1:
		next.state = "draining"
	case 2:
		next.start, next.sequence = next.start+1, 0
	case 3:
		next.state = "bad"
	case 4, 5:
		if s.store.at(s.store.position())[key].present {
			s.store.write(key, "", own.form, true)
		}
		return
	}
	value := next.value()
	if next.state == "bad" {
		value = "bad"
	}
	s.store.write(key, value, next, false)
}

// replace has a process take a snapshot.
func (s *system) replace(own *follower, pairs []store.Pair, position store.Position) error {
	isOlder := own.position.After(position)
	if accepted := own.Replace(store.SnapshotAt(pairs, position), s.clock, own.graceUntil); accepted == isOlder {
		return fmt.Errorf("snapshot at %v taken at %v: %v", position, own.position, accepted)
	}
	if !isOlder {
		own.advance(&s.store, position, s.clock)
	}
	return nil
}

// receive has a process take a message, as an entry does.
func (s *system) receive(own *follower, m message) error {
	if m.isWatch {
		if m.position.Era() == own.position.Era() {
			own.Apply(m.changes, m.position.Revision(), s.clock, own.graceUntil)
			own.advance(&s.store, store.At(m.position.Era(), max(m.position.Revision(), own.position.Revision())), s.clock)
		}
		return nil
	}
	if m.position.After(own.position) {
		switch {
		case !m.partial:
			if err := s.replace(own, m.pairs, m.position); err != nil {
				return err
			}
		case m.position.Era() == own.position.Era():
			own.Apply(m.changes, m.position.Revision(), s.clock, own.graceUntil)
			own.advance(&s.store, m.position, s.clock)
		}
	}
	if m.position.Era() == own.position.Era() {
		own.noteEraAge(m.eraKnownSince, s.clock)
		own.MergeHeld(m.held, s.clock)
		own.learn(m, m.position == own.position && m.sentAt.Equal(s.clock))
	}
	return nil
}

// tell returns what a process tells another one.
func (s *system) tell(from, to *follower) message {
	m := message{sentAt: s.clock, position: from.position, held: from.Held(), eraKnownSince: from.EraKnownSince(), known: maps.Clone(from.known), missed: maps.Clone(from.missed), pairs: from.Pairs()}
	if from.position.Era() == to.position.Era() {
		m.changes, m.partial = from.ChangesSince(to.position.Revision())
	}
	return m
}

// input gives a process an input.
func (s *system) input(op recoveryOperation) error {
	own, peer := s.followers[op.process], s.followers[1-op.process]
	switch op.kind {
	case readStore:
		// A read may be answered late, by an earlier era.
		position := s.store.position()
		if op.number%4 == 0 {
			era := 1 + op.number/4%s.store.era()
			first := s.store.copied[era-1]
			position = store.At(era, first+op.number/16%(uint64(len(s.store.eras[era-1]))-first+1))
		}
		if op.flag {
			own.graceUntil = s.clock.Add(mirror.ExpiryGrace)
		}
		return s.replace(own, s.store.at(position).pairs(), position)
	case watchStore:
		to := s.store.position()
		if own.position.Era() != to.Era() {
			return nil
		}
		m := message{sentAt: s.clock, position: to, isWatch: true, changes: s.store.watch(own.position, to, op.number%2 == 0)}
		if op.flag {
			return s.receive(own, m)
		}
		own.inbox = append(own.inbox, m)
	case askPeer:
		if peer.position != (store.Position{}) {
			own.inbox = append(own.inbox, s.tell(peer, own))
		}
	case deliver:
		own.inbox = slices.DeleteFunc(own.inbox, func(m message) bool { return s.clock.Sub(m.sentAt) > messageLifetime })
		if len(own.inbox) > 0 {
			index := op.number % uint64(len(own.inbox))
			m := own.inbox[index]
			own.inbox = slices.Delete(own.inbox, int(index), int(index)+1)
			return s.receive(own, m)
		}
	case exchange:
		return s.exchange(own, peer)
	}
	return nil
}

// exchange has two processes tell each other all, and checks that they agree.
func (s *system) exchange(own, peer *follower) error {
	if own.position == (store.Position{}) || peer.position == (store.Position{}) {
		return nil
	}
	for _, pass := range [][2]*follower{{own, peer}, {peer, own}} {
		if err := s.receive(pass[1], s.tell(pass[0], pass[1])); err != nil {
			return err
		}
	}
	if err := s.receive(peer, s.tell(own, peer)); err != nil {
		return err
	}
	if own.position != peer.position {
		return nil
	}
	// What they have heard about the age of the era may have ended holds.
	own.forget(&s.store, s.clock)
	peer.forget(&s.store, s.clock)
	inGrace := !s.clock.After(own.graceUntil) || !s.clock.After(peer.graceUntil)
	if text := difference(own, peer, s.store.at(own.position), inGrace); text != "" {
		return fmt.Errorf("processes that told each other all at %v differ: %s", own.position, text)
	}
	return nil
}

// finish has some or all owners write again, and checks that the views are as the store after the holds.
func (s *system) finish(all bool) error {
	for _, key := range s.store.lost() {
		if all || len(key)%2 == 0 {
			s.store.writeAgain(key)
		}
	}
	for range 2 {
		for _, f := range s.followers {
			if err := s.replace(f, s.store.at(s.store.position()).pairs(), s.store.position()); err != nil {
				return err
			}
		}
		s.clock = s.clock.Add(operatorHold + time.Millisecond)
		for _, f := range s.followers {
			f.Expire(s.clock)
		}
	}
	current := s.store.at(s.store.position())
	want := make(map[string]form)
	for key, shown := range current {
		if shown.isReady() || shown.isDraining() {
			want[key] = shown.form
		}
	}
	for index, f := range s.followers {
		if err := f.check(&s.store, s.clock); err != nil {
			return fmt.Errorf("at the end, process %d: %w", index, err)
		}
		view := f.View()
		isOther := func(name string) bool { return view.Evacuated(name) != current["evacuate/"+name].present }
		switch forms := shownForms(view); {
		case !maps.Equal(want, forms):
			return fmt.Errorf("at the end process %d has endpoints %v, want %v", index, forms, want)
		case slices.ContainsFunc(evacuations, isOther):
			return fmt.Errorf("at the end process %d has other evacuations than the store", index)
		case all && view.Table().Version() != s.store.version():
			return fmt.Errorf("at the end process %d has table %d, want %d", index, view.Table().Version(), s.store.version())
		}
	}
	return nil
}

// runRecoveries has two processes follow a store that recovers from copies. It returns an error if a
// view breaks what a recovery may not undo.
func runRecoveries(sequence []recoveryOperation, newImplementation func() recovering) error {
	s := &system{clock: start}
	s.store.write("table", "1", form{}, false)
	newFollower := func() *follower {
		return &follower{recovering: newImplementation(), known: make(map[string]knowledge), missed: make(map[string]bool)}
	}
	s.followers = []*follower{newFollower(), newFollower()}
	for i, op := range sequence {
		s.clock = s.clock.Add(op.elapsed)
		for _, f := range s.followers {
			f.Expire(s.clock)
			f.forget(&s.store, s.clock)
		}
		var err error
		switch {
		case op.kind < readStore:
			s.change(op)
		case op.kind == restart:
			s.followers[op.process] = newFollower()
			if op.flag {
				op.kind = readStore
				err = s.input(op)
			}
		default:
			err = s.input(op)
		}
		for index, f := range s.followers {
			if err == nil {
				err = f.check(&s.store, s.clock)
			}
			if err != nil {
				return fmt.Errorf("operation %d, process %d: %w", i, index, err)
			}
		}
	}
	return s.finish(len(sequence)%2 == 0)
}

// TestRecoveriesUndoNothing checks with random sequences of operations that what a recovery loses
// stays in force until it is written again or its hold ends.
func TestRecoveriesUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequence := recoveryOperations.Draw(t, "operations")
		require.NoError(t, runRecoveries(sequence, func() recovering { return mirror.New(decodeForm) }))
	})
}

// believesLowerRevisions takes each lower revision for a recovery.
type believesLowerRevisions struct{ *mirror.State }

func (m believesLowerRevisions) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	position := snapshot.Position()
	if m.Position().After(position) {
		position = store.At(m.Position().Era()+1, position.Revision())
	}
	return m.State.Replace(store.SnapshotAt(snapshot.Pairs(), position), now, graceUntil)
}

// ignoresEras orders snapshots by revision alone.
type ignoresEras struct{ *mirror.State }

func (m ignoresEras) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	return m.State.Replace(store.NewSnapshot(snapshot.Pairs(), snapshot.Revision()), now, graceUntil)
}

// keepsOldPictures acknowledges snapshots of a new era and does nothing with them.
type keepsOldPictures struct{ *mirror.State }

func (m keepsOldPictures) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	known := m.Position()
	if known != (store.Position{}) && snapshot.Position().Era() > known.Era() {
		return true
	}
	return m.State.Replace(snapshot, now, graceUntil)
}

// dropsHolds lets go of everything at once.
type dropsHolds struct{ *mirror.State }

func (m dropsHolds) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	accepted := m.State.Replace(snapshot, now, graceUntil)
	m.Expire(now.Add(operatorHold + time.Millisecond))
	return accepted
}

// holdsForEver never lets go of anything.
type holdsForEver struct{ *mirror.State }

func (m holdsForEver) Expire(time.Time) bool { return false }

// mergesEverything merges held state whatever the store shows.
type mergesEverything struct{ *mirror.State }

func (m mergesEverything) MergeHeld(held []mirror.Held, now time.Time) bool {
	for i, item := range held {
		shown, _ := m.Lookup(item.Pair().Key())
		held[i] = mirror.NewHeld(item.Pair(), item.IsRemoved(), item.Position(), shown.Revision(), item.Left())
	}
	return m.State.MergeHeld(held, now)
}

// mergesNothing doesn't learn what peers hold.
type mergesNothing struct{ *mirror.State }

func (m mergesNothing) MergeHeld([]mirror.Held, time.Time) bool { return false }

// forgetsRemovals tells peers nothing of removals.
type forgetsRemovals struct{ *mirror.State }

func (m forgetsRemovals) Held() []mirror.Held {
	return slices.DeleteFunc(m.State.Held(), mirror.Held.IsRemoved)
}

// tellsHeldPairs tells peers what it holds as the content of the store.
type tellsHeldPairs struct{ *mirror.State }

func (m tellsHeldPairs) Pairs() []store.Pair {
	pairs := m.State.Pairs()
	for _, item := range m.Held() {
		if !item.IsRemoved() && item.Shown() == 0 {
			pairs = append(pairs, item.Pair())
		}
	}
	return pairs
}

// believesCopies forgets that an endpoint was draining if a copy shows it as ready.
type believesCopies struct{ *mirror.State }

func (m *believesCopies) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	if known := m.Position(); known != (store.Position{}) && snapshot.Position().Era() > known.Era() {
		forms := shownForms(m.View())
		pairs := slices.DeleteFunc(m.Pairs(), func(p store.Pair) bool {
			shown, found := snapshot.Get(p.Key())
			return forms[p.Key()].state == "draining" && found && strings.HasSuffix(string(shown.Value()), "ready")
		})
		held := m.Held()
		m.State = mirror.New(decodeForm)
		m.State.Replace(store.SnapshotAt(pairs, known), now, graceUntil)
		m.MergeHeld(held, now)
	}
	return m.State.Replace(snapshot, now, graceUntil)
}

// TestRecoveryMutantsAreDetected checks that runRecoveries finds each of several faulty
// implementations with sequences from fixed seeds.
func TestRecoveryMutantsAreDetected(t *testing.T) {
	const sequences = 1000
	testCases := []struct {
		name   string
		mutant func() recovering
		// firstSeed leaves out sequences that find nothing.
		firstSeed int
	}{
		{"believes lower revisions", func() recovering { return believesLowerRevisions{mirror.New(decodeForm)} }, 0},
		{"ignores eras", func() recovering { return ignoresEras{mirror.New(decodeForm)} }, 0},
		{"keeps old pictures", func() recovering { return keepsOldPictures{mirror.New(decodeForm)} }, 0},
		{"drops holds", func() recovering { return dropsHolds{mirror.New(decodeForm)} }, 0},
		{"holds for ever", func() recovering { return holdsForEver{mirror.New(decodeForm)} }, 0},
		{"merges everything", func() recovering { return mergesEverything{mirror.New(decodeForm)} }, 3900},
		{"merges nothing", func() recovering { return mergesNothing{mirror.New(decodeForm)} }, 0},
		{"forgets removals", func() recovering { return forgetsRemovals{mirror.New(decodeForm)} }, 4200},
		{"tells held pairs", func() recovering { return tellsHeldPairs{mirror.New(decodeForm)} }, 0},
		{"believes a copy's ready endpoints", func() recovering { return &believesCopies{mirror.New(decodeForm)} }, 1000},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := tc.firstSeed; seed < tc.firstSeed+sequences; seed++ {
				if err := runRecoveries(recoveryOperations.Example(seed), tc.mutant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("%d sequences found no fault", sequences)
		})
	}
}
