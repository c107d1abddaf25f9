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

// history holds the content of the store at each revision.
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

// changes returns what a watch delivers for the revisions in (after, revision]: the last
// change of each key, including keys that were added and removed again.
func (h *history) changes(after, revision uint64) []store.Change {
	var changes []store.Change
	known, content := make(map[string]bool), h.states[revision-1]
	for earlier := max(after, 1); earlier <= revision; earlier++ {
		for key := range h.states[earlier-1] {
			known[key] = true
		}
	}
	for _, p := range content {
		if p.Revision() > after {
			changes = append(changes, store.Written(p))
		}
	}
	for key := range known {
		if _, ok := content[key]; !ok {
			changes = append(changes, store.Removed(key, revision))
		}
	}
	return changes
}

// kind is the kind of an operation.
type kind int

const (
	newTable kind = iota
	changeEndpoint
	fullRead
	watch
	peerChanges
	peerSnapshot
	kindCount
)

// operation is one operation of a test sequence. The meaning of number and flag depends
// on its kind; number is reduced modulo the values that are possible at that point.
type operation struct {
	kind    kind
	process int
	number  uint64
	flag    bool
	elapsed time.Duration
}

// operations generates test sequences.
var operations = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
	return operation{
		kind:    kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")),
		process: rapid.IntRange(0, 1).Draw(t, "process"),
		number:  rapid.Uint64Range(0, 1000).Draw(t, "number"),
		flag:    rapid.Bool().Draw(t, "flag"),
		elapsed: rapid.SampledFrom([]time.Duration{0, time.Millisecond, mirror.ExpiryGrace / 2, mirror.ExpiryGrace}).Draw(t, "elapsed"),
	}
}), 1, 60)

// implementation is a State, or a mutant of one.
type implementation interface {
	Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool
	Apply(changes []store.Change, revision uint64, now, graceUntil time.Time)
	Expire(now time.Time) bool
	ChangesSince(revision uint64) ([]store.Change, bool)
	Pairs() []store.Pair
	Revision() uint64
	View() *mirror.View
}

// process is an implementation with the expected content of its view.
type process struct {
	implementation
	version uint64
	// graceUntil is the end of the grace period after the last read that followed a gap.
	graceUntil time.Time
	// inGrace holds the removed endpoints that are still in the view, and until when.
	inGrace map[string]time.Time
}

// recordExpiries updates inGrace after an operation. The arguments before and content are
// the store's content at the process's revision before and after the operation.
func (p *process) recordExpiries(before map[string]store.Pair, content map[string]store.Pair, clock time.Time) {
	for key, old := range before {
		_, expiring := p.inGrace[key]
		if _, present := content[key]; !present && !expiring && clock.Before(p.graceUntil) && strings.HasSuffix(string(old.Value()), "ready") {
			p.inGrace[key] = p.graceUntil
		}
	}
	for key := range content {
		delete(p.inGrace, key)
	}
}

// check compares the process's view with content, the store's content at its revision.
func (p *process) check(content map[string]store.Pair, clock time.Time) error {
	maps.DeleteFunc(p.inGrace, func(_ string, until time.Time) bool { return clock.After(until) })
	current := p.View().Table()
	if current == nil || current.Version() < p.version {
		return fmt.Errorf("the table went back to a version before %d", p.version)
	}
	p.version = current.Version()
	if string(content["table"].Value()) != strconv.FormatUint(current.Version(), 10) {
		return fmt.Errorf("the table has version %d, want %s", current.Version(), content["table"].Value())
	}
	expected := maps.Collect(maps.All(p.inGrace))
	for key := range content {
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
		return fmt.Errorf("endpoints are %v, want %v, as of revision %d", names, want, p.Revision())
	}
	return nil
}

// run has two processes update from full reads of the store, from watches and from each
// other, delayed and out of order, and from reads after the store couldn't be watched.
// It returns an error if a view differs from the store's content at its revision.
func run(sequence []operation, newImplementation func() implementation) error {
	var h history
	h.write("table", "1", false)
	processes := make([]*process, 2)
	for i := range processes {
		processes[i] = &process{implementation: newImplementation(), inGrace: make(map[string]time.Time)}
	}
	version, clock := uint64(1), start
	for i, op := range sequence {
		clock = clock.Add(op.elapsed)
		own, peer := processes[op.process], processes[1-op.process]
		before := make(map[string]store.Pair)
		if own.Revision() > 0 {
			before = h.states[own.Revision()-1]
		}
		updated := false
		switch op.kind {
		case newTable:
			version += 1 + op.number%3
			h.write("table", strconv.FormatUint(version, 10), false)
		case changeEndpoint:
			id := strconv.FormatUint(1+op.number%4, 10)
			state := " ready"
			if op.number%7 == 0 {
				state = " draining"
			}
			h.write("endpoint/"+id, "10.0.0."+id+":80 1"+state, op.flag)
		case fullRead:
			if op.flag {
				own.graceUntil = clock.Add(mirror.ExpiryGrace)
			}
			updated = own.Replace(h.snapshot(1+op.number%h.revision()), clock, own.graceUntil)
		case watch:
			if after := own.Revision(); after < h.revision() {
				to := after + 1 + op.number%(h.revision()-after)
				own.Apply(h.changes(after, to), to, clock, own.graceUntil)
				updated = true
			}
		case peerChanges:
			if changes, ok := peer.ChangesSince(own.Revision()); ok && peer.Revision() > own.Revision() {
				own.Apply(changes, peer.Revision(), clock, own.graceUntil)
				updated = true
			}
		case peerSnapshot:
			updated = own.Replace(store.NewSnapshot(peer.Pairs(), peer.Revision()), clock, own.graceUntil)
		}
		for index, p := range processes {
			p.Expire(clock)
			if p.Revision() == 0 {
				continue
			}
			content := h.states[p.Revision()-1]
			if updated && p == own {
				p.recordExpiries(before, content, clock)
			}
			if err := p.check(content, clock); err != nil {
				return fmt.Errorf("operation %d, process %d: %w", i, index, err)
			}
		}
	}
	return nil
}

// TestViewsMatchStore checks with random sequences of operations that no source makes a
// view go back or differ from the store's content at its revision.
func TestViewsMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequence := operations.Draw(t, "operations")
		require.NoError(t, run(sequence, func() implementation { return mirror.New(decode) }))
	})
}

// acceptsOldSnapshots accepts full reads that are older than its state.
type acceptsOldSnapshots struct{ *mirror.State }

func (m acceptsOldSnapshots) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	return m.State.Replace(store.NewSnapshot(snapshot.Pairs(), max(snapshot.Revision(), m.Revision())), now, graceUntil)
}

// acceptsOldPairs lets a key go back to its value in an older read.
type acceptsOldPairs struct{ *mirror.State }

func (m acceptsOldPairs) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	if snapshot.Revision() >= m.Revision() {
		return m.State.Replace(snapshot, now, graceUntil)
	}
	pairs := make(map[string]store.Pair)
	for _, p := range m.Pairs() {
		pairs[p.Key()] = p
	}
	for _, p := range snapshot.Pairs() {
		pairs[p.Key()] = pair(p.Key(), string(p.Value()), m.Revision())
	}
	return m.State.Replace(store.NewSnapshot(slices.Collect(maps.Values(pairs)), m.Revision()), now, graceUntil)
}

// ignoresRemovals ignores removals from a watch or a peer.
type ignoresRemovals struct{ *mirror.State }

func (m ignoresRemovals) Apply(changes []store.Change, revision uint64, now, graceUntil time.Time) {
	changes = slices.DeleteFunc(slices.Clone(changes), store.Change.IsRemoved)
	m.State.Apply(changes, revision, now, graceUntil)
}

// alwaysAnswersPeers sends its pairs to peers even if it doesn't know all removals.
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

// hasNoGrace removes keys at once that expired while the store couldn't be watched.
type hasNoGrace struct{ *mirror.State }

func (m hasNoGrace) Replace(snapshot store.Snapshot, now, _ time.Time) bool {
	return m.State.Replace(snapshot, now, now)
}

// alwaysGrantsGrace grants ExpiryGrace from each removal that a watch delivered.
type alwaysGrantsGrace struct{ *mirror.State }

func (m alwaysGrantsGrace) Apply(changes []store.Change, revision uint64, now, _ time.Time) {
	m.State.Apply(changes, revision, now, now.Add(mirror.ExpiryGrace))
}

// neverExpires never ends ExpiryGrace.
type neverExpires struct{ *mirror.State }

func (m neverExpires) Expire(time.Time) bool { return false }

// TestMutantsAreDetected checks that run finds each of several faulty implementations
// with sequences from fixed seeds.
func TestMutantsAreDetected(t *testing.T) {
	const sequences = 10_000
	testCases := []struct {
		name   string
		mutant func() implementation
	}{
		{"accepts old snapshots", func() implementation { return acceptsOldSnapshots{mirror.New(decode)} }},
		{"accepts old pairs", func() implementation { return acceptsOldPairs{mirror.New(decode)} }},
		{"ignores removals", func() implementation { return ignoresRemovals{mirror.New(decode)} }},
		{"always answers peers", func() implementation { return alwaysAnswersPeers{mirror.New(decode)} }},
		{"has no grace", func() implementation { return hasNoGrace{mirror.New(decode)} }},
		{"always grants grace", func() implementation { return alwaysGrantsGrace{mirror.New(decode)} }},
		{"never expires", func() implementation { return neverExpires{mirror.New(decode)} }},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range sequences {
				if err := run(operations.Example(seed), tc.mutant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("%d sequences found no fault", sequences)
		})
	}
}
