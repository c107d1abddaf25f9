package group_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// rank models a rank's handling of orders as the platform specifies it.
type rank struct {
	expertMap, prepared, highestPrepared uint64
	armed, armedPass                     uint64
	held                                 bool
	heldPass                             uint64
}

// apply carries out an order, or refuses it if it doesn't fit the rank's state.
func (r *rank) apply(order group.Order, pass uint64) {
	switch order.Kind {
	case group.Prepare:
		if r.armed == 0 && order.Version > r.highestPrepared {
			r.prepared, r.highestPrepared = order.Version, order.Version
		}
	case group.Arm:
		if r.prepared == order.Version && order.Pass > pass {
			r.armed, r.armedPass = order.Version, order.Pass
		}
	case group.Disarm:
		if r.armed == order.Version {
			r.armed, r.armedPass = 0, 0
		}
	case group.Hold:
		if order.Pass > pass && !r.held {
			r.held, r.heldPass = true, order.Pass
		}
	case group.Release:
		if r.held && r.heldPass == order.Pass {
			r.held, r.heldPass = false, 0
		}
	}
}

// tick is the duration of one step of the simulation, the interval at which agents
// report.
const tick = 100 * time.Millisecond

// delayedOrder is an order that reaches its rank at a later tick.
type delayedOrder struct {
	order group.Order
	at    int
}

// simLeader is a leader with the reports that it has received.
type simLeader struct {
	leader         *group.Leader
	rank           int
	views          []group.View
	suspendedUntil int
	// lastHold is the pass of the last Hold that the leader ordered.
	lastHold uint64
}

// simulation is a group with its ranks, its leaders and the delayed orders.
type simulation struct {
	t *rapid.T
	// mutant names the rule of the protocol that is disabled, empty for none.
	mutant string
	ranks  []rank
	epoch  uint64
	pass   uint64
	tick   int
	// busy is set if the group always has requests and no agent stops.
	busy bool
	// heldTicks is for how many ticks no pass has begun though the group has requests.
	heldTicks int
	// idleUntil is the tick until which the group has no requests and makes no passes.
	idleUntil int
	delayed   []delayedOrder
	leaders   []*simLeader
	// suspendedUntil has for each rank the tick until which its host is suspended, and
	// downUntil the one until which its agent is down.
	suspendedUntil, downUntil []int
	lastVersion               uint64
	// switches counts the switches of rank 0 to another map.
	switches int
	// lossTenths is how many of ten orders don't reach their rank immediately.
	lossTenths int
	// downTicks is for how long the agent that was stopped last is down.
	downTicks int
	// trace records the events of a walk, to be printed if it fails.
	trace []string
}

func (s *simulation) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("tick %d pass %d: ", s.tick, s.pass)+fmt.Sprintf(format, args...))
}

func newSimulation(t *rapid.T, size int, mutant string) *simulation {
	s := &simulation{t: t, mutant: mutant, lossTenths: rapid.IntRange(0, 9).Draw(t, "loss"), ranks: make([]rank, size), suspendedUntil: make([]int, size), downUntil: make([]int, size), epoch: 1}
	// Versions tell passes apart by their remainder.
	s.pass = uint64(rapid.IntRange(0, 3000).Draw(t, "first pass"))
	s.leaders = []*simLeader{s.newLeader(0)}
	return s
}

func (s *simulation) newLeader(own int) *simLeader {
	leader := group.NewLeader(len(s.ranks), own, func(above uint64) uint64 {
		s.lastVersion = max(s.lastVersion, above) + 1
		return s.lastVersion
	})
	return &simLeader{leader: leader, rank: own, views: make([]group.View, len(s.ranks))}
}

func (s *simulation) now() time.Time { return time.Unix(0, 0).Add(time.Duration(s.tick) * tick) }

// step simulates one tick.
func (s *simulation) step() {
	s.tick++
	s.deliverDelayed()
	s.runPass()
	for _, l := range s.leaders {
		s.report(l)
		s.runLeader(l)
	}
	fault := rapid.IntRange(0, 249).Draw(s.t, "fault")
	if s.busy && fault >= firstIdleFault {
		return
	}
	switch fault {
	case 0:
		s.suspendHost()
	case 1:
		s.reformGroup()
	case 2:
		s.changeLeader()
	case firstIdleFault, firstIdleFault + 1, firstIdleFault + 2, firstIdleFault + 3:
		s.idleUntil = s.tick + rapid.IntRange(5, 150).Draw(s.t, "idle")
		s.tracef("the group is idle until tick %d", s.idleUntil)
	case firstIdleFault + 20, firstIdleFault + 21, firstIdleFault + 22, firstIdleFault + 23:
		s.stopAgent()
	}
}

// firstIdleFault is the first number of the faults that a busy group doesn't have. Numbers in the
// middle of the range are drawn less often than the lowest ones.
const firstIdleFault = 100

func (s *simulation) deliverDelayed() {
	kept := s.delayed[:0]
	for _, d := range s.delayed {
		if d.at > s.tick {
			kept = append(kept, d)
		} else if d.order.Epoch == s.epoch {
			s.tracef("delayed order %+v", d.order)
			r := &s.ranks[d.order.Rank]
			if s.mutant == "late release fits every hold" && d.order.Kind == group.Release && r.held {
				d.order.Pass = r.heldPass
			}
			r.apply(d.order, s.pass)
		}
	}
	s.delayed = kept
}

// runPass begins a pass unless it is held or the group is idle, and panics if the ranks' maps
// differ.
func (s *simulation) runPass() {
	if s.idleUntil > s.tick {
		return
	}
	next := s.pass + 1
	for _, r := range s.ranks {
		if r.held && r.heldPass == next {
			s.heldTicks++
			return
		}
	}
	s.heldTicks = 0
	s.pass = next
	for i := range s.ranks {
		if r := &s.ranks[i]; r.armed != 0 && r.armedPass == next {
			if r.expertMap != r.armed && i == 0 {
				s.switches++
			}
			r.expertMap, r.armed, r.armedPass, r.prepared = r.armed, 0, 0, 0
		}
	}
	for i, r := range s.ranks {
		if r.expertMap != s.ranks[0].expertMap {
			panic(fmt.Sprintf("pass %d begins with map %d on rank %d and map %d on rank 0", next, r.expertMap, i, s.ranks[0].expertMap))
		}
	}
}

// report passes the states of most ranks to a leader. Agents report to the newest
// leader that they know; the previous leader gets only its own rank's reports, and
// some reports are lost.
func (s *simulation) report(l *simLeader) {
	newest := s.leaders[len(s.leaders)-1]
	for i, r := range s.ranks {
		if s.suspendedUntil[i] > s.tick || l.suspendedUntil > s.tick || (l != newest && i != l.rank) || !s.isHeard(i) {
			continue
		}
		if i != l.rank && rapid.IntRange(0, 19).Draw(s.t, "report") == 0 {
			continue
		}
		view := group.View{
			Known: true, ReportedAt: s.now(), Epoch: s.epoch, Open: true, Pass: s.pass, Map: r.expertMap, Prepared: r.prepared,
			Armed: r.armed, ArmedPass: r.armedPass, Held: r.held, HeldPass: r.heldPass,
		}
		l.views[i] = s.falsify(view, l)
	}
}

// isHeard reports whether the leader gets a rank's state: from its agent, or by a poll each
// three ticks once the agent has been silent for four.
func (s *simulation) isHeard(rank int) bool {
	left := s.downUntil[rank] - s.tick
	return left <= 0 || left < s.downTicks-4 && left%3 == 0
}

// falsify makes a report show the condition that a rule of the protocol waits for,
// which disables the rule.
func (s *simulation) falsify(view group.View, l *simLeader) group.View {
	switch {
	case s.mutant == "arm before the hold" && l.leader.Phase() == group.Holding:
		view.Held, view.HeldPass = l.lastHold != 0, l.lastHold
	case s.mutant == "release before all are armed" && l.leader.Phase() == group.Arming:
		for _, other := range l.views {
			if other.Armed != 0 {
				view.Armed, view.ArmedPass = other.Armed, other.ArmedPass
			}
		}
	case s.mutant == "no fence" && l.leader.Phase() == group.Fencing && view.Armed == 0:
		view.Prepared = l.leader.Version()
	}
	return view
}

// runLeader runs one step of a leader unless its host is suspended.
func (s *simulation) runLeader(l *simLeader) {
	if l.suspendedUntil > s.tick {
		return
	}
	if l.suspendedUntil != 0 {
		// The agent detects that its host was suspended.
		l.suspendedUntil = 0
		l.leader.Reset()
		for i := range l.views {
			l.views[i].Known = false
		}
	}
	orders, _ := l.leader.Step(l.views, s.now())
	for _, order := range orders {
		s.deliver(l, order)
	}
	if l == s.leaders[len(s.leaders)-1] && l.leader.CanBegin(l.views, s.now()) && rapid.IntRange(0, 2).Draw(s.t, "begin") == 0 {
		l.leader.Begin(l.views, s.now())
	}
}

// deliver delivers an order to its rank: immediately, delayed, both, or not at all.
func (s *simulation) deliver(l *simLeader, order group.Order) {
	if s.suspendedUntil[order.Rank] > s.tick && order.Rank != l.rank {
		return
	}
	if left := s.downUntil[order.Rank] - s.tick; left >= s.downTicks-4 && left > 0 && order.Kind != group.Hold && order.Kind != group.Release {
		// The leader gives only these orders to a rank itself whose agent was heard lately.
		return
	}
	if order.Kind == group.Hold {
		l.lastHold = order.Pass
		if s.mutant == "arm before the hold" {
			return
		}
	}
	// The share of lost orders varies between walks from none to nearly all. A lost
	// order arrives late or never.
	onTime := rapid.IntRange(0, 9).Draw(s.t, "delivered") >= s.lossTenths
	delayed := rapid.IntRange(0, 2).Draw(s.t, "again") == 0
	s.tracef("leader %d (%v) orders %+v, carried out %v, delayed %v", l.rank, l.leader.Phase(), order, onTime, delayed)
	if onTime && order.Epoch == s.epoch {
		s.ranks[order.Rank].apply(order, s.pass)
	}
	if delayed {
		s.delayed = append(s.delayed, delayedOrder{order: order, at: s.tick + rapid.IntRange(5, 120).Draw(s.t, "late")})
	}
}

// suspendHost suspends a host with its rank's agent and any leader on it.
func (s *simulation) suspendHost() {
	host := rapid.IntRange(0, len(s.ranks)-1).Draw(s.t, "host")
	until := s.tick + rapid.IntRange(5, 40).Draw(s.t, "freeze")
	s.suspendedUntil[host] = until
	s.tracef("host %d is suspended until tick %d", host, until)
	for _, l := range s.leaders {
		if l.rank == host {
			l.suspendedUntil = until
		}
	}
}

// stopAgent stops an agent for some seconds. If it leads, it has forgotten everything as it leads
// again.
func (s *simulation) stopAgent() {
	host := rapid.IntRange(0, len(s.ranks)-1).Draw(s.t, "agent")
	if s.suspendedUntil[host] > s.tick {
		return
	}
	s.downTicks = rapid.IntRange(6, 50).Draw(s.t, "down")
	for i := range s.downUntil {
		s.downUntil[i] = 0
	}
	s.downUntil[host] = s.tick + s.downTicks
	s.tracef("the agent of rank %d is down until tick %d", host, s.downUntil[host])
	if len(s.leaders) > 1 && s.leaders[0].rank == host {
		s.leaders = s.leaders[1:]
	}
	if last := s.leaders[len(s.leaders)-1]; last.rank == host {
		restarted := s.newLeader(host)
		restarted.suspendedUntil = s.downUntil[host]
		s.leaders = []*simLeader{restarted}
	}
}

// reformGroup simulates a crash of a rank: the group forms again, in a new epoch and
// with the initial map.
func (s *simulation) reformGroup() {
	s.epoch++
	s.tracef("the group forms in a new epoch")
	s.pass = 0
	for i := range s.ranks {
		s.ranks[i] = rank{highestPrepared: s.ranks[i].highestPrepared}
	}
}

// changeLeader makes another rank's agent a leader, while the previous leader still
// runs.
func (s *simulation) changeLeader() {
	last := s.leaders[len(s.leaders)-1]
	own := rapid.IntRange(0, len(s.ranks)-1).Draw(s.t, "leader")
	if own == last.rank || s.suspendedUntil[own] > s.tick || s.downUntil[own] > s.tick {
		return
	}
	s.leaders = []*simLeader{last, s.newLeader(own)}
	s.tracef("rank %d leads after rank %d", own, last.rank)
}

// randomWalk simulates a number of ticks with random faults and returns the first
// violation, nil if there is none. A busy group always has requests, and its agents never stop.
func randomWalk(t *rapid.T, mutant string, ticks int, busy bool) (s *simulation, violation any) {
	s = newSimulation(t, rapid.IntRange(2, 4).Draw(t, "size"), mutant)
	s.busy = busy
	defer func() {
		if cause := recover(); cause != nil {
			if text, ok := cause.(string); ok {
				violation = text
				return
			}
			panic(cause)
		}
	}()
	for range ticks {
		s.step()
	}
	return s, nil
}

func TestEveryPassBeginsWithOneMap(t *testing.T) {
	for range walkRounds {
		rapid.Check(t, func(t *rapid.T) {
			s, violation := randomWalk(t, "", 300, false)
			require.Nil(t, violation, strings.Join(s.trace, "\n"))
		})
	}
}

// walkRounds is how often the check runs, each time with rapid's number of walks.
const walkRounds = 15

// maxHeldTicks is how long a held group may wait once all hosts and the leader are
// healthy: a new leader receives reports, finds the hold and fences it.
const maxHeldTicks = 40

// maxHeldTicksBefore is the same for a leader that goes on. Its current phase has to time out
// first, up to prepareTimeout, 4 s.
const maxHeldTicksBefore = 100

// TestHoldsEndAfterFaults guards against a group that stays held after faults: after a random
// walk all hosts run, and one leader, a new one or the last one, receives all reports.
func TestHoldsEndAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, violation := randomWalk(t, "", 200, false)
		require.Nil(t, violation)
		for i := range s.suspendedUntil {
			s.suspendedUntil[i], s.downUntil[i] = 0, 0
		}
		s.delayed, s.idleUntil = nil, 0
		ticks, last := maxHeldTicksBefore, s.leaders[len(s.leaders)-1]
		if last.suspendedUntil != 0 || rapid.Bool().Draw(t, "new leader") {
			ticks, last = maxHeldTicks, s.newLeader(rapid.IntRange(0, len(s.ranks)-1).Draw(t, "last leader"))
		}
		s.leaders, s.heldTicks = []*simLeader{last}, 0
		for range ticks {
			s.tick++
			s.runPass()
			l := s.leaders[0]
			for i, r := range s.ranks {
				l.views[i] = group.View{
					Known: true, ReportedAt: s.now(), Epoch: s.epoch, Open: true, Pass: s.pass, Map: r.expertMap, Prepared: r.prepared,
					Armed: r.armed, ArmedPass: r.armedPass, Held: r.held, HeldPass: r.heldPass,
				}
			}
			orders, _ := l.leader.Step(l.views, s.now())
			for _, order := range orders {
				s.ranks[order.Rank].apply(order, s.pass)
			}
		}
		require.Zero(t, s.heldTicks, "the group is still held")
	})
}

// TestMutantsAreFound checks that the simulation violates the invariant if a rule of
// the protocol is disabled.
func TestMutantsAreFound(t *testing.T) {
	for _, mutant := range []string{"arm before the hold", "release before all are armed", "no fence", "late release fits every hold"} {
		t.Run(mutant, func(t *testing.T) {
			found := false
			for seed := 1; seed <= mutantWalks && !found; seed++ {
				walks := rapid.Custom(func(t *rapid.T) bool {
					_, violation := randomWalk(t, mutant, 300, false)
					return violation != nil
				})
				found = walks.Example(seed)
			}
			require.True(t, found, "no walk violates the invariant")
		})
	}
}

// mutantWalks is the number of walks in which a disabled rule must cause a violation.
const mutantWalks = 20000

// TestSwitchesContinueAfterFaults guards against a leader that keeps the invariant only
// because it completes hardly any switch.
func TestSwitchesContinueAfterFaults(t *testing.T) {
	switched := 0
	for seed := 1; seed <= 20; seed++ {
		switched += rapid.Custom(func(t *rapid.T) int {
			s, violation := randomWalk(t, "", 300, true)
			require.Nil(t, violation)
			return s.switches
		}).Example(seed)
	}
	require.Greater(t, switched, 20, "at most one switch per walk of 30 simulated seconds")
}
