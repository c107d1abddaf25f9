package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// idleGroup is a group without requests, whose passes don't advance, and its leader.
type idleGroup struct {
	leader *group.Leader
	ranks  []rank
	now    time.Time
	pass   uint64
	// silent is the rank that isn't heard, -1 if all are.
	silent int
}

func newIdleGroup(size int) *idleGroup {
	g := &idleGroup{ranks: make([]rank, size), now: time.Unix(1000, 0), pass: 2, silent: -1}
	g.restartLeader()
	return g
}

// restartLeader replaces the leader by one without a memory, on the same host.
func (g *idleGroup) restartLeader() {
	g.leader = group.NewLeader(len(g.ranks), 0, func(above uint64) uint64 { return above + 1 })
}

// switchUntilHeld begins a switch and returns once a pass is held, but nothing armed.
func (g *idleGroup) switchUntilHeld(t *testing.T) (pass uint64) {
	for range 100 {
		for _, order := range g.step(true) {
			if order.Kind == group.Hold {
				g.ranks[order.Rank].apply(order, g.pass)
				return order.Pass
			}
		}
	}
	require.Fail(t, "no pass is held")
	return 0
}

// giveUpSwitch begins a switch that is given up since a rank isn't heard, and returns the orders
// to release its hold.
func (g *idleGroup) giveUpSwitch(t *testing.T) (releases []group.Order) {
	g.switchUntilHeld(t)
	g.silent = 3
	for range 40 {
		for _, order := range g.step(false) {
			if order.Kind == group.Release {
				g.ranks[order.Rank].apply(order, g.pass)
				releases = append(releases, order)
			}
		}
		if g.leader.Phase() == group.Idle {
			break
		}
	}
	g.silent = -1
	require.NotEmpty(t, releases, "the switch isn't given up")
	return releases
}

// step lets all ranks but the silent one report, and returns the orders of the leader that
// were not carried out: those to hold and to release a pass.
func (g *idleGroup) step(begin bool) (kept []group.Order) {
	g.now = g.now.Add(tick)
	views := make([]group.View, len(g.ranks))
	for i, r := range g.ranks {
		views[i] = group.View{
			Known: true, ReportedAt: g.now, Epoch: 1, Open: true, Pass: g.pass, Map: r.expertMap, Prepared: r.prepared,
			Armed: r.armed, ArmedPass: r.armedPass, Held: r.held, HeldPass: r.heldPass,
		}
		if i == g.silent {
			views[i].ReportedAt = g.now.Add(-time.Second)
		}
	}
	orders, _ := g.leader.Step(views, g.now)
	for _, order := range orders {
		switch {
		case order.Kind == group.Hold || order.Kind == group.Release:
			kept = append(kept, order)
		case order.Rank != g.silent:
			g.ranks[order.Rank].apply(order, g.pass)
		}
	}
	if begin && g.leader.CanBegin(views, g.now) {
		g.leader.Begin(views, g.now)
	}
	return kept
}

// TestLateReleaseKeepsLaterHold guards against a pass that begins with two maps: an idle group
// gives a switch up, and the release of its hold is carried out late, during a later switch of
// the same leader or of a restarted one.
func TestLateReleaseKeepsLaterHold(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		g := newIdleGroup(4)
		var late []group.Order
		for range 2 {
			late = append(late, g.giveUpSwitch(t)...)
		}
		if restarts {
			g.restartLeader()
		}
		held := g.switchUntilHeld(t)
		for _, order := range late {
			g.ranks[order.Rank].apply(order, g.pass)
		}
		require.True(t, g.ranks[1].held, "one of the late releases %+v ends the hold of pass %d (leader restarted: %v)", late, held, restarts)
	}
}

// TestLostHoldIsPlacedAgain guards against ranks that are armed while no pass is held.
func TestLostHoldIsPlacedAgain(t *testing.T) {
	g := newIdleGroup(4)
	pass := g.switchUntilHeld(t)
	for g.ranks[1].armed == 0 {
		g.step(false)
	}
	g.ranks[1].held = false
	orders := g.step(false)
	require.Equal(t, []group.Order{{Rank: 1, Kind: group.Hold, Epoch: 1, Pass: pass}}, orders)
	require.Zero(t, g.ranks[2].armed, "a rank is armed without a hold")
}

// TestIdleGroupIsNotSwitchedForever guards against a switch that takes effect only many passes
// after the first request: an idle group in which switches are given up gets no more of them
// until it makes passes.
func TestIdleGroupIsNotSwitchedForever(t *testing.T) {
	g := newIdleGroup(4)
	last := uint64(0)
	for range 1000 {
		for _, order := range g.step(true) {
			g.ranks[order.Rank].apply(order, g.pass)
			last = max(last, order.Pass)
		}
		if g.leader.Phase() == group.Holding {
			g.silent = 3
		} else if g.leader.Phase() == group.Idle {
			g.silent = -1
		}
	}
	require.Greater(t, last, g.pass)
	// The longest lead of a switch is 14 passes.
	require.LessOrEqual(t, last, g.pass+2*14, "a switch is too far ahead")
	g.pass = last
	require.Greater(t, g.switchUntilHeld(t), last, "no switch after the group has made passes")
}

// TestBusyGroupIsSwitchedSoon guards against a switch that waits for many passes because the version
// in use seems to tell of a release that was given long ago.
func TestBusyGroupIsSwitchedSoon(t *testing.T) {
	g := newIdleGroup(4)
	late := 0
	for range 300 {
		g.pass += 7
		held := g.switchUntilHeld(t)
		if held > g.pass+14 {
			late++
		}
		// The switch ends: all ranks are armed, and the pass begins.
		for g.leader.Phase() != group.Idle {
			for _, order := range g.step(false) {
				g.ranks[order.Rank].apply(order, g.pass)
			}
			if g.ranks[1].held {
				continue
			}
			g.pass = max(g.pass, held)
			for i := range g.ranks {
				if r := &g.ranks[i]; r.armed != 0 {
					r.expertMap, r.prepared, r.armed, r.armedPass = r.armed, 0, 0, 0
				}
			}
		}
	}
	require.Zero(t, late, "switches with a long lead")
}
