package group_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// mutant breaks one rule, to show that the check can fail.
type mutant string

const (
	noMutant mutant = ""
	// anyEpoch makes ranks join the epoch of whatever release comes.
	anyEpoch mutant = "any epoch"
	// ownMap makes ranks start with a map that they hold if they lack the
	// named one.
	ownMap mutant = "own map"
	// eager makes a leader release steps before all ranks have joined.
	eager mutant = "eager leader"
)

// message is on its way: it may be lost, come late, again and out of order.
type message struct {
	rank int
	run  func()
}

// use is a step that a rank has started.
type use struct {
	epoch group.Epoch
	step  uint64
}

// world is a group with leaders that come and go, of which earlier ones may go
// on without knowing.
type world struct {
	mutant  mutant
	names   []string
	ranks   []*group.Rank
	runs    []int
	leaders []*group.Leader
	fence   uint64
	maps    uint64
	bag     []message
	used    map[use]map[uint64]bool
	started map[use]map[int]bool
	current []group.Release
	ended   uint64
}

func newWorld(ranks int, broken mutant) *world {
	w := &world{mutant: broken, maps: 1, used: make(map[use]map[uint64]bool), started: make(map[use]map[int]bool)}
	for i := range ranks {
		w.names = append(w.names, fmt.Sprint("rank-", i))
		w.ranks = append(w.ranks, group.NewRank(0, 4))
		w.runs = append(w.runs, 0)
		w.current = append(w.current, group.Release{})
	}
	w.takeOver()
	return w
}

// takeOver lets a new leader take the lease. The one before doesn't know.
func (w *world) takeOver() {
	w.fence++
	w.leaders = append(w.leaders, group.NewLeader(w.names, w.fence, w.maps))
}

// send puts a message to a rank on its way. It belongs to the rank's present
// run: a restarted rank doesn't get it.
func (w *world) send(i int, deliver func(rank *group.Rank)) {
	run := w.runs[i]
	w.bag = append(w.bag, message{rank: i, run: func() {
		if w.runs[i] == run {
			deliver(w.ranks[i])
		}
	}})
}

func (w *world) reply(answer func()) { w.bag = append(w.bag, message{rank: -1, run: answer}) }

// orders sends what a leader wants of a rank: to join, to load the target, and
// the release of the next step if there is one.
func (w *world) orders(l *group.Leader, i int) {
	name, epoch, target := w.names[i], l.Epoch(), l.Target()
	w.send(i, func(rank *group.Rank) {
		if done, err := rank.Join(epoch); err == nil {
			held := rank.Held()
			w.reply(func() { l.Joined(name, epoch, done, held) })
		}
	})
	current, drop, load := l.Current(), l.Order(), l.Order()
	w.send(i, func(rank *group.Rank) {
		for _, held := range rank.Held() {
			if held != current && held != target && rank.Drop(drop, held) == nil {
				w.reply(func() { l.Dropped(name, epoch, held) })
			}
		}
	})
	w.send(i, func(rank *group.Rank) {
		if rank.Load(load, target) == nil {
			w.reply(func() { l.Holds(name, epoch, target) })
		}
	})
}

func (w *world) release(l *group.Leader) {
	release, ok := l.Next()
	if !ok && w.mutant == eager {
		release, ok = group.NewRelease(l.Epoch(), w.ended+1, l.Target()), true
	}
	if !ok {
		return
	}
	for i := range w.ranks {
		w.send(i, func(rank *group.Rank) { w.start(i, rank, release) })
	}
}

// start lets a rank start a step, and notes which map it uses.
func (w *world) start(i int, rank *group.Rank, release group.Release) {
	if w.mutant == anyEpoch {
		release = group.NewRelease(w.leaders[len(w.leaders)-1].Epoch(), release.Step(), release.ExpertMap())
		_, _ = rank.Join(release.Epoch())
	}
	started, err := rank.Start(release)
	expertMap := release.ExpertMap()
	if held := rank.Held(); errors.Is(err, group.ErrNoMap) && w.mutant == ownMap && len(held) > 0 {
		expertMap = held[0]
		started = true
	}
	if !started {
		return
	}
	w.current[i] = release
	u := use{release.Epoch(), release.Step()}
	if w.used[u] == nil {
		w.used[u] = make(map[uint64]bool)
		w.started[u] = make(map[int]bool)
	}
	w.used[u][expertMap] = true
	w.started[u][i] = true
}

// finish ends a step at a rank once all ranks have started it, as lock-step
// makes sure, and tells the leader.
func (w *world) finish(i int) {
	release := w.current[i]
	u := use{release.Epoch(), release.Step()}
	if len(w.started[u]) < len(w.ranks) || !w.ranks[i].Finish(release) {
		return
	}
	w.ended = max(w.ended, release.Step())
	for _, l := range w.leaders {
		w.reply(func() { l.Finished(w.names[i], release) })
	}
}

func (w *world) restart(i int) {
	w.runs[i]++
	w.ranks[i] = group.NewRank(w.fence, 4)
	w.current[i] = group.Release{}
	newest := w.leaders[len(w.leaders)-1]
	w.reply(func() { newest.Restarted(w.names[i]) })
}

// violation returns the step in which ranks used several maps, if any.
func (w *world) violation() string {
	for u, expertMaps := range w.used {
		if len(expertMaps) > 1 {
			return fmt.Sprintf("step %d of epoch %v used the maps %v", u.step, u.epoch, expertMaps)
		}
	}
	return ""
}

// walk makes random events and returns the first violation.
func walk(t *rapid.T, w *world, events int) string {
	for range events {
		i := rapid.IntRange(0, len(w.ranks)-1).Draw(t, "rank")
		// Leaders that have lost the lease go on, as paused ones that wake up do.
		l := w.leaders[max(0, len(w.leaders)-1-rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "leader"))]
		switch rapid.IntRange(0, 23).Draw(t, "event") {
		case 0:
			if rapid.IntRange(0, 5).Draw(t, "take over") == 0 {
				w.takeOver()
			}
		case 1:
			if rapid.IntRange(0, 2).Draw(t, "use") == 0 {
				w.maps++
				l.Use(w.maps)
			}
		case 2:
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				w.restart(i)
			}
		case 3, 4, 5, 6:
			for rank := range w.ranks {
				w.orders(l, rank)
			}
		case 7, 8, 9:
			w.release(l)
		case 10, 11, 12, 13:
			for rank := range w.ranks {
				w.finish(rank)
			}
		default:
			w.deliver(t)
		}
		if problem := w.violation(); problem != "" {
			return problem
		}
	}
	return ""
}

// deliver takes messages out of the bag in any order. Some are lost, and some
// stay in it to come again.
func (w *world) deliver(t *rapid.T) {
	for range len(w.bag) {
		at := rapid.IntRange(0, len(w.bag)-1).Draw(t, "message")
		m := w.bag[at]
		fate := rapid.IntRange(0, 9).Draw(t, "fate")
		if fate > 1 {
			w.bag[at] = w.bag[len(w.bag)-1]
			w.bag = w.bag[:len(w.bag)-1]
		}
		if fate != 9 {
			m.run()
		}
		if len(w.bag) == 0 {
			return
		}
	}
}

func TestOneMapInEachStep(t *testing.T) {
	steps, switches := uint64(0), 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "ranks"), noMutant)
		if problem := walk(t, w, 120); problem != "" {
			t.Fatal(problem)
		}
		steps += w.ended
		seen := make(map[uint64]bool)
		for _, expertMaps := range w.used {
			for expertMap := range expertMaps {
				seen[expertMap] = true
			}
		}
		switches += max(0, len(seen)-1)
	})
	t.Logf("%d steps ended, %d maps were switched to", steps, switches)
	require.Positive(t, steps)
	require.Positive(t, switches)
}

func TestMutantsAreCaught(t *testing.T) {
	for _, broken := range []mutant{anyEpoch, ownMap, eager} {
		t.Run(string(broken), func(t *testing.T) {
			caught := ""
			rapid.Check(t, func(t *rapid.T) {
				if caught == "" {
					caught = walk(t, newWorld(3, broken), 120)
				}
			})
			require.NotEmpty(t, caught)
			t.Log(caught)
		})
	}
}

func TestRank(t *testing.T) {
	rank := group.NewRank(5, 2)
	require.ErrorIs(t, rank.Load(group.NewOrder(4, 9), 1), group.ErrOldFence, "a leader from before the rank's restart")
	require.NoError(t, rank.Load(group.NewOrder(5, 1), 1))
	require.NoError(t, rank.Load(group.NewOrder(5, 1), 1), "an order may come again")
	require.NoError(t, rank.Load(group.NewOrder(5, 2), 2))
	require.ErrorIs(t, rank.Load(group.NewOrder(5, 3), 3), group.ErrNoRoom)

	require.ErrorIs(t, rank.Drop(group.NewOrder(5, 1), 2), group.ErrOldOrder, "a late order")

	epoch := group.NewEpoch(5, 0)
	first := group.NewRelease(epoch, 1, 1)
	_, err := rank.Start(first)
	require.ErrorIs(t, err, group.ErrOldEpoch, "before joining")
	_, err = rank.Join(epoch)
	require.NoError(t, err)
	started, err := rank.Start(first)
	require.NoError(t, err)
	require.True(t, started)
	started, err = rank.Start(first)
	require.NoError(t, err)
	require.False(t, started, "a release that comes again")
	require.NoError(t, rank.Drop(group.NewOrder(5, 4), 1))
	require.Equal(t, []uint64{1, 2}, rank.Held(), "the running step's map stays")
	require.True(t, rank.Finish(first))
	_, err = rank.Start(group.NewRelease(epoch, 2, 9))
	require.ErrorIs(t, err, group.ErrNoMap)

	_, err = rank.Join(group.NewEpoch(6, 0))
	require.NoError(t, err)
	_, err = rank.Start(group.NewRelease(epoch, 2, 1))
	require.ErrorIs(t, err, group.ErrOldEpoch, "the old leader's release")
	require.ErrorIs(t, rank.Load(group.NewOrder(5, 9), 1), group.ErrOldFence)
}

func TestFailedSwitchCostsNoStep(t *testing.T) {
	leader := group.NewLeader([]string{"a", "b"}, 1, 1)
	for _, name := range []string{"a", "b"} {
		leader.Joined(name, leader.Epoch(), 0, []uint64{1})
	}
	leader.Use(2)
	leader.Holds("a", leader.Epoch(), 2)
	for step := uint64(1); step <= 3; step++ {
		release, ok := leader.Next()
		require.True(t, ok, "the group goes on while a rank lacks the new map")
		require.EqualValues(t, 1, release.ExpertMap())
		leader.Finished("a", release)
		_, ok = leader.Next()
		require.False(t, ok, "one step at a time")
		leader.Finished("b", release)
	}
	leader.Holds("b", leader.Epoch(), 2)
	release, ok := leader.Next()
	require.True(t, ok)
	require.EqualValues(t, 2, release.ExpertMap())
}

// TestMain makes the random walks the same in each run, unless flags say
// otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
