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

// history is what the store held at each revision.
type history struct {
	states []map[string]store.Pair
}

// write appends a revision that sets or removes a key.
func (h *history) write(key, value string, remove bool) {
	next := make(map[string]store.Pair)
	if len(h.states) > 0 {
		for k, p := range h.states[len(h.states)-1] {
			next[k] = p
		}
	}
	if remove {
		delete(next, key)
	} else {
		next[key] = pair(key, value, uint64(len(h.states)+1))
	}
	h.states = append(h.states, next)
}

func (h *history) revision() uint64 { return uint64(len(h.states)) }

func (h *history) snapshot(revision uint64) store.Snapshot {
	var pairs []store.Pair
	for _, p := range h.states[revision-1] {
		pairs = append(pairs, p)
	}
	return store.NewSnapshot(pairs, revision)
}

// changes returns what a watch shows from after to revision: the last change of
// each key, also of those that came and went in between.
func (h *history) changes(after, revision uint64) []store.Change {
	var changes []store.Change
	before, now := make(map[string]bool), h.states[revision-1]
	for at := max(after, 1); at <= revision; at++ {
		for key := range h.states[at-1] {
			before[key] = true
		}
	}
	for _, p := range now {
		if p.Revision() > after {
			changes = append(changes, store.Written(p))
		}
	}
	for key := range before {
		if _, ok := now[key]; !ok {
			changes = append(changes, store.Removed(key, revision))
		}
	}
	return changes
}

// kind is what happens in a step of a walk.
type kind int

const (
	newTable kind = iota
	changeEndpoint
	fullRead
	watch
	changesOfPeer
	picturesOfPeer
	kinds
)

// step is one event of a walk. What its numbers mean depends on its kind; they are
// taken modulo what is possible at that moment.
type step struct {
	kind   kind
	who    int
	number uint64
	flag   bool
	passes time.Duration
}

// steps draws walks.
var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:   kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")),
		who:    rapid.IntRange(0, 1).Draw(t, "who"),
		number: rapid.Uint64Range(0, 1000).Draw(t, "number"),
		flag:   rapid.Bool().Draw(t, "flag"),
		passes: rapid.SampledFrom([]time.Duration{0, time.Millisecond, mirror.ExpiryGrace / 2, mirror.ExpiryGrace}).Draw(t, "passes"),
	}
}), 1, 60)

// believer is a state, or a mutant of one.
type believer interface {
	Replace(snapshot store.Snapshot, now time.Time, afterGap bool) bool
	Apply(changes []store.Change, revision uint64, now time.Time, afterGap bool)
	Expire(now time.Time) bool
	ChangesSince(revision uint64) ([]store.Change, bool)
	Pairs() []store.Pair
	Revision() uint64
	View() *mirror.View
}

// process is one that believes, with what it ought to.
type process struct {
	believer
	version uint64
	// lapsing holds the endpoints that are shown though they are gone, and until when.
	lapsing map[string]time.Time
}

// learn notes which endpoints lapse by a step that took the process from what it
// showed before, with the values of that time, to its present revision.
func (p *process) learn(before map[string]store.Pair, now map[string]store.Pair, clock time.Time, afterGap bool) {
	for key, was := range before {
		_, lapses := p.lapsing[key]
		if _, held := now[key]; !held && !lapses && afterGap && strings.HasSuffix(string(was.Value()), "ready") {
			p.lapsing[key] = clock.Add(mirror.ExpiryGrace)
		}
	}
	for key := range now {
		delete(p.lapsing, key)
	}
}

// check says what is wrong with what a process shows.
func (p *process) check(now map[string]store.Pair, clock time.Time) error {
	maps.DeleteFunc(p.lapsing, func(_ string, until time.Time) bool { return clock.After(until) })
	shown := p.View().Table()
	if shown == nil || shown.Version() < p.version {
		return fmt.Errorf("the table went back behind %d", p.version)
	}
	p.version = shown.Version()
	if string(now["table"].Value()) != strconv.FormatUint(shown.Version(), 10) {
		return fmt.Errorf("the table is %d, not %s", shown.Version(), now["table"].Value())
	}
	expected := maps.Collect(maps.All(p.lapsing))
	for key := range now {
		if strings.HasPrefix(key, "endpoint/") {
			expected[key] = clock
		}
	}
	var names []string
	for _, id := range ids(p.View()) {
		names = append(names, "endpoint/"+id)
	}
	slices.Sort(names)
	if want := slices.Sorted(maps.Keys(expected)); !slices.Equal(want, names) {
		return fmt.Errorf("endpoints %v are shown, not %v, as of revision %d", names, want, p.Revision())
	}
	return nil
}

// walk lets two processes learn from the store's full reads, from watches, and from
// each other, all late and out of turn, and from reads after the store couldn't be
// watched. It says what either shows that isn't so as of its revision.
func walk(events []step, newBeliever func() believer) error {
	var h history
	h.write("table", "1", false)
	processes := make([]*process, 2)
	for i := range processes {
		processes[i] = &process{believer: newBeliever(), lapsing: make(map[string]time.Time)}
	}
	version, clock := uint64(1), at
	for i, event := range events {
		clock = clock.Add(event.passes)
		own, peer := processes[event.who], processes[1-event.who]
		before := make(map[string]store.Pair)
		if own.Revision() > 0 {
			before = h.states[own.Revision()-1]
		}
		learnt, afterGap := false, false
		switch event.kind {
		case newTable:
			version += 1 + event.number%3
			h.write("table", strconv.FormatUint(version, 10), false)
		case changeEndpoint:
			number := strconv.FormatUint(1+event.number%4, 10)
			state := " ready"
			if event.number%7 == 0 {
				state = " draining"
			}
			h.write("endpoint/"+number, "10.0.0."+number+":80 1"+state, event.flag)
		case fullRead:
			afterGap = event.flag
			learnt = own.Replace(h.snapshot(1+event.number%h.revision()), clock, afterGap)
		case watch:
			if after := own.Revision(); after < h.revision() {
				to := after + 1 + event.number%(h.revision()-after)
				own.Apply(h.changes(after, to), to, clock, false)
				learnt = true
			}
		case changesOfPeer:
			if changes, ok := peer.ChangesSince(own.Revision()); ok && peer.Revision() > own.Revision() {
				own.Apply(changes, peer.Revision(), clock, false)
				learnt = true
			}
		case picturesOfPeer:
			learnt = own.Replace(store.NewSnapshot(peer.Pairs(), peer.Revision()), clock, false)
		}
		for who, p := range processes {
			p.Expire(clock)
			if p.Revision() == 0 {
				continue
			}
			now := h.states[p.Revision()-1]
			if learnt && p == own {
				p.learn(before, now, clock, afterGap)
			}
			if err := p.check(now, clock); err != nil {
				return fmt.Errorf("step %d, process %d: %w", i, who, err)
			}
		}
	}
	return nil
}

func TestNoSourceTakesThePictureBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := steps.Draw(t, "events")
		require.NoError(t, walk(events, func() believer { return mirror.New(decode) }))
	})
}

// takesOldReads takes full reads that are older than what it knows.
type takesOldReads struct{ *mirror.State }

func (m takesOldReads) Replace(snapshot store.Snapshot, now time.Time, afterGap bool) bool {
	return m.State.Replace(store.NewSnapshot(snapshot.Pairs(), max(snapshot.Revision(), m.Revision())), now, afterGap)
}

// trustsOldPairs lets a key go back to what an older read says.
type trustsOldPairs struct{ *mirror.State }

func (m trustsOldPairs) Replace(snapshot store.Snapshot, now time.Time, afterGap bool) bool {
	if snapshot.Revision() >= m.Revision() {
		return m.State.Replace(snapshot, now, afterGap)
	}
	var changes []store.Change
	for _, p := range snapshot.Pairs() {
		changes = append(changes, store.Written(pair(p.Key(), string(p.Value()), m.Revision())))
	}
	m.Apply(changes, m.Revision(), now, afterGap)
	return true
}

// missesRemovals takes no note of keys that a watch or a peer shows to be gone.
type missesRemovals struct{ *mirror.State }

func (m missesRemovals) Apply(changes []store.Change, revision uint64, now time.Time, afterGap bool) {
	changes = slices.DeleteFunc(slices.Clone(changes), store.Change.IsRemoved)
	m.State.Apply(changes, revision, now, afterGap)
}

// alwaysAnswersPeers tells peers of what it has, though it doesn't know what went.
type alwaysAnswersPeers struct{ *mirror.State }

func (m alwaysAnswersPeers) ChangesSince(revision uint64) ([]store.Change, bool) {
	if changes, ok := m.State.ChangesSince(revision); ok {
		return changes, true
	}
	var changes []store.Change
	for _, p := range m.Pairs() {
		changes = append(changes, store.Written(p))
	}
	return changes, true
}

// grantsNoGrace drops at once what lapsed while the store couldn't be watched.
type grantsNoGrace struct{ *mirror.State }

func (m grantsNoGrace) Replace(snapshot store.Snapshot, now time.Time, _ bool) bool {
	return m.State.Replace(snapshot, now, false)
}

// graceForAll lets entries linger that a watch showed to be gone.
type graceForAll struct{ *mirror.State }

func (m graceForAll) Apply(changes []store.Change, revision uint64, now time.Time, _ bool) {
	m.State.Apply(changes, revision, now, true)
}

// neverExpires keeps what lapsed for ever.
type neverExpires struct{ *mirror.State }

func (m neverExpires) Expire(time.Time) bool { return false }

// TestMutantsAreFound breaks one promise after the other; walks of fixed seeds must
// find each.
func TestMutantsAreFound(t *testing.T) {
	const walks = 10_000
	testCases := []struct {
		name   string
		mutant func() believer
	}{
		{"takes old reads", func() believer { return takesOldReads{mirror.New(decode)} }},
		{"trusts old pairs", func() believer { return trustsOldPairs{mirror.New(decode)} }},
		{"misses removals", func() believer { return missesRemovals{mirror.New(decode)} }},
		{"always answers peers", func() believer { return alwaysAnswersPeers{mirror.New(decode)} }},
		{"grants no grace", func() believer { return grantsNoGrace{mirror.New(decode)} }},
		{"grace for all", func() believer { return graceForAll{mirror.New(decode)} }},
		{"never expires", func() believer { return neverExpires{mirror.New(decode)} }},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range walks {
				if err := walk(steps.Example(seed), tc.mutant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("%d walks found nothing", walks)
		})
	}
}
