package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/fresh"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// evidenceFleet is a large fleet of entries that pass on evidence about the store in hellos, a
// fifth of which get lost. Its watches never return changes.
type evidenceFleet struct {
	random   *rand.Rand
	members  []table.Member
	index    map[string]int
	trackers []*fresh.Tracker
	targets  []roundRobin
	// phases has the time of each entry's hellos in a period, and watchEnds that of the end
	// of a watch.
	phases    []time.Duration
	watchEnds []time.Time
	now       time.Time
	// cut holds the entries that get no answers from the store.
	cut map[int]bool
	// asks counts the calls for want of evidence, answered those with an answer, and askers
	// holds the entries that made them.
	asks, answered int
	askers         map[int]bool
}

const (
	// evidenceTick is the duration of a step, and storeDelay that of a call to the store.
	evidenceTick = 10 * time.Millisecond
	storeDelay   = 2 * evidenceTick
	helloLoss    = 0.2
)

func newEvidenceFleet(count int) *evidenceFleet {
	f := &evidenceFleet{
		random: rand.New(rand.NewPCG(uint64(count), 7)), index: make(map[string]int), cut: make(map[int]bool), askers: make(map[int]bool), now: time.Unix(1000, 0),
	}
	for i := range count {
		member := table.NewMember(fmt.Sprint(i), "a", "10.0.0.1:1", "10.0.0.1:2")
		f.members, f.index[member.Name()] = append(f.members, member), i
		tracker := fresh.New(askSpread)
		tracker.Advance(store.At(0, 1))
		tracker.Confirm(store.At(0, 1), fresh.Seen(f.now))
		f.trackers = append(f.trackers, tracker)
		f.targets = append(f.targets, roundRobin{position: f.random.IntN(1 << 20)})
		f.phases = append(f.phases, time.Duration(f.random.IntN(int(helloPeriod/evidenceTick)))*evidenceTick)
		f.watchEnds = append(f.watchEnds, f.now.Add(f.watchTimeout(i)))
	}
	return f
}

// watchTimeout returns how long the watch of one of the first entries waits.
func (f *evidenceFleet) watchTimeout(entry int) time.Duration {
	return minWatchTimeout + time.Duration(entry)*(maxWatchTimeout-minWatchTimeout)/(relayWatchers-1)
}

// run simulates a span and returns the highest age of evidence at an entry that the store would
// answer.
func (f *evidenceFleet) run(span time.Duration) (highest time.Duration) {
	limit := evidenceLimit(len(f.members))
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(evidenceTick) {
		for i, tracker := range f.trackers {
			if i < relayWatchers && !f.cut[i] && !f.now.Before(f.watchEnds[i]) {
				tracker.Confirm(store.At(0, 1), fresh.Seen(f.now))
				f.watchEnds[i] = f.now.Add(storeDelay + f.watchTimeout(i))
			}
			if tracker.AskIn(f.now, limit, askRetry) <= 0 {
				f.asks++
				f.askers[i] = true
				tracker.Asked(f.now, !f.cut[i])
				if !f.cut[i] {
					f.answered++
					tracker.Confirm(store.At(0, 1), fresh.Seen(f.now.Add(-storeDelay)))
					f.hello(i, f.members)
				}
			}
			if f.now.Sub(time.Unix(1000, 0))%helloPeriod == f.phases[i] {
				f.hello(i, f.targets[i].next(f.members))
			}
			if !f.cut[i] {
				highest = max(highest, tracker.Latest().Age(f.now))
			}
		}
	}
	return highest
}

// hello sends a hello of an entry to members.
func (f *evidenceFleet) hello(entry int, members []table.Member) {
	hello := &wirepb.Hello{}
	writeEvidence(hello, f.trackers[entry].Latest(), f.now)
	for _, member := range members {
		if f.random.Float64() < helloLoss {
			continue
		}
		if evidence, ok := readEvidence(hello, f.now); ok {
			f.trackers[f.index[member.Name()]].Confirm(store.At(0, 1), evidence)
		}
	}
}

// TestFewEntriesCallTheStore checks how many entries of a large fleet call the store for want of
// evidence: none while the watchers are answered; a few at a time once the store answers no
// watcher any more, so that nobody's evidence is older than what a version of the configuration may
// take; and all if it answers nobody.
func TestFewEntriesCallTheStore(t *testing.T) {
	const (
		calm, cut = 60 * time.Second, 9 * time.Second
		// applyLimit is the least time that a version may take in a fleet of more than
		// maxAllWatching entries.
		applyLimit = 3 * time.Second
	)
	for _, count := range []int{12, 18, 31, 34, 105, 150, 340} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newEvidenceFleet(count)
			highest := f.run(calm)
			t.Logf("calm: %d calls in %v, evidence of up to %v, limit %v", f.asks, calm, highest, evidenceLimit(count))
			require.Zero(t, f.asks, "calls in calm")
			for i := range relayWatchers {
				f.cut[i] = true
			}
			f.asks, f.answered = 0, 0
			highest = f.run(cut)
			t.Logf("watchers cut: %d answered calls in %v, evidence of up to %v", f.answered, cut, highest)
			require.LessOrEqual(t, highest, applyLimit)
			require.LessOrEqual(t, f.answered, 30, "calls of the entries that the store answers")
			for i := range count {
				f.cut[i] = true
			}
			f.asks = 0
			clear(f.askers)
			f.run(cut)
			require.Len(t, f.askers, count, "not every entry calls")
			require.LessOrEqual(t, f.asks, count*int(cut/askRetry+1))
		})
	}
}
