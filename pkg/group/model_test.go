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

// rank is a rank as the platform describes it.
type rank struct {
	expertMap, prepared, had uint64
	armed, armedPass         uint64
	held                     bool
	heldPass                 uint64
}

// take carries out an order, or refuses it.
func (r *rank) take(order group.Order, pass uint64) {
	switch order.Kind {
	case group.Prepare:
		if r.armed == 0 && order.Version > r.had {
			r.prepared, r.had = order.Version, order.Version
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

// tick is the time of one step of the model, the period of agents' reports.
const tick = 100 * time.Millisecond

// late is an order that is carried out at a later tick.
type late struct {
	order group.Order
	at    int
}

// chief is a leader in the model. It knows the reports that reached it.
type chief struct {
	leader *group.Leader
	rank   int
	views  []group.View
	frozen int
	// hold is the pass that the leader last ordered to be held.
	hold uint64
}

// world is a group with its ranks, its leaders and the orders on their way.
type world struct {
	t      *rapid.T
	mutant string
	ranks  []rank
	epoch  uint64
	pass   uint64
	now    int
	stood  int
	late   []late
	chiefs []*chief
	// frozen holds until which tick a rank's host stands still.
	frozen   []int
	versions uint64
	switched int
	// loss is how many of ten orders aren't carried out at once.
	loss int
	// trace tells what happened, for a walk that fails.
	trace []string
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("tick %d pass %d: ", w.now, w.pass)+fmt.Sprintf(format, args...))
}

func newWorld(t *rapid.T, size int, mutant string) *world {
	w := &world{t: t, mutant: mutant, loss: rapid.IntRange(0, 9).Draw(t, "loss"), ranks: make([]rank, size), frozen: make([]int, size), epoch: 1}
	w.chiefs = []*chief{w.newChief(0)}
	return w
}

func (w *world) newChief(own int) *chief {
	leader := group.NewLeader(len(w.ranks), own, func(above uint64) uint64 {
		w.versions = max(w.versions, above) + 1
		return w.versions
	})
	return &chief{leader: leader, rank: own, views: make([]group.View, len(w.ranks))}
}

func (w *world) time() time.Time { return time.Unix(0, 0).Add(time.Duration(w.now) * tick) }

// step lets one tick pass.
func (w *world) step() {
	w.now++
	w.deliverLate()
	w.runPass()
	for _, c := range w.chiefs {
		w.report(c)
		w.lead(c)
	}
	switch rapid.IntRange(0, 249).Draw(w.t, "trouble") {
	case 0:
		w.freeze()
	case 1:
		w.formAnew()
	case 2:
		w.takeOver()
	}
}

func (w *world) deliverLate() {
	kept := w.late[:0]
	for _, l := range w.late {
		if l.at > w.now {
			kept = append(kept, l)
		} else if l.order.Epoch == w.epoch {
			w.note("late %+v", l.order)
			w.ranks[l.order.Rank].take(l.order, w.pass)
		}
	}
	w.late = kept
}

// runPass begins a pass unless it is held, and checks that all ranks have one map.
func (w *world) runPass() {
	next := w.pass + 1
	for _, r := range w.ranks {
		if r.held && r.heldPass == next {
			w.stood++
			return
		}
	}
	w.stood = 0
	w.pass = next
	for i := range w.ranks {
		if r := &w.ranks[i]; r.armed != 0 && r.armedPass == next {
			if r.expertMap != r.armed && i == 0 {
				w.switched++
			}
			r.expertMap, r.armed, r.armedPass, r.prepared = r.armed, 0, 0, 0
		}
	}
	for i, r := range w.ranks {
		if r.expertMap != w.ranks[0].expertMap {
			panic(fmt.Sprintf("pass %d begins with map %d on rank %d and map %d on rank 0", next, r.expertMap, i, w.ranks[0].expertMap))
		}
	}
}

// report tells a leader the states of most ranks. Agents report to the newest
// leader that they have heard; some take a while to hear it.
func (w *world) report(c *chief) {
	newest := w.chiefs[len(w.chiefs)-1]
	for i, r := range w.ranks {
		if w.frozen[i] > w.now || c.frozen > w.now || (c != newest && i != c.rank) {
			continue
		}
		if i != c.rank && rapid.IntRange(0, 19).Draw(w.t, "report") == 0 {
			continue
		}
		view := group.View{
			Known: true, At: w.time(), Epoch: w.epoch, Open: true, Pass: w.pass, Map: r.expertMap, Prepared: r.prepared,
			Armed: r.armed, ArmedPass: r.armedPass, Held: r.held, HeldPass: r.heldPass,
		}
		c.views[i] = w.lie(view, c)
	}
}

// lie makes a report show what a rule waits for, which drops the rule.
func (w *world) lie(view group.View, c *chief) group.View {
	switch {
	case w.mutant == "arm before the hold" && c.leader.Phase() == group.Holding:
		view.Held, view.HeldPass = c.hold != 0, c.hold
	case w.mutant == "release before all are armed" && c.leader.Phase() == group.Arming:
		for _, other := range c.views {
			if other.Armed != 0 {
				view.Armed, view.ArmedPass = other.Armed, other.ArmedPass
			}
		}
	case w.mutant == "no fence" && c.leader.Phase() == group.Fencing && view.Armed == 0:
		view.Prepared = c.leader.Version()
	}
	return view
}

// lead lets a leader act.
func (w *world) lead(c *chief) {
	if c.frozen > w.now {
		return
	}
	if c.frozen != 0 {
		// The daemon notices that it stood still.
		c.frozen = 0
		c.leader.Reset()
		for i := range c.views {
			c.views[i].Known = false
		}
	}
	orders, _ := c.leader.Step(c.views, w.time())
	for _, order := range orders {
		w.give(c, order)
	}
	if c == w.chiefs[len(w.chiefs)-1] && c.leader.CanBegin(c.views, w.time()) && rapid.IntRange(0, 2).Draw(w.t, "begin") == 0 {
		c.leader.Begin(c.views, w.time())
	}
}

// give brings an order to its rank: at once, late, both, or not at all.
func (w *world) give(c *chief, order group.Order) {
	if w.frozen[order.Rank] > w.now && order.Rank != c.rank {
		return
	}
	if order.Kind == group.Hold {
		c.hold = order.Pass
		if w.mutant == "arm before the hold" {
			return
		}
	}
	// A walk loses few orders or nearly all; what is lost comes late or never.
	now := rapid.IntRange(0, 9).Draw(w.t, "fate") >= w.loss
	again := rapid.IntRange(0, 2).Draw(w.t, "again") == 0
	w.note("leader %d (%v) orders %+v, done %v, late %v", c.rank, c.leader.Phase(), order, now, again)
	if now && order.Epoch == w.epoch {
		w.ranks[order.Rank].take(order, w.pass)
	}
	if again {
		w.late = append(w.late, late{order: order, at: w.now + rapid.IntRange(5, 120).Draw(w.t, "late")})
	}
}

// freeze stops a host with its rank's agent and the leader on it.
func (w *world) freeze() {
	host := rapid.IntRange(0, len(w.ranks)-1).Draw(w.t, "host")
	until := w.now + rapid.IntRange(5, 40).Draw(w.t, "freeze")
	w.frozen[host] = until
	w.note("host %d stands still until tick %d", host, until)
	for _, c := range w.chiefs {
		if c.rank == host {
			c.frozen = until
		}
	}
}

// formAnew lets a rank crash: the group forms in a new epoch with the first map.
func (w *world) formAnew() {
	w.epoch++
	w.note("a new epoch")
	w.pass = 0
	for i := range w.ranks {
		w.ranks[i] = rank{had: w.ranks[i].had}
	}
}

// takeOver lets another rank's agent lead, beside the leader before it.
func (w *world) takeOver() {
	last := w.chiefs[len(w.chiefs)-1]
	own := rapid.IntRange(0, len(w.ranks)-1).Draw(w.t, "leader")
	if own == last.rank || w.frozen[own] > w.now {
		return
	}
	w.chiefs = []*chief{last, w.newChief(own)}
	w.note("rank %d leads after rank %d", own, last.rank)
}

// walk runs a random walk and returns what went wrong.
func walk(t *rapid.T, mutant string, ticks int) (w *world, wrong any) {
	w = newWorld(t, rapid.IntRange(2, 4).Draw(t, "size"), mutant)
	defer func() {
		if cause := recover(); cause != nil {
			if text, ok := cause.(string); ok {
				wrong = text
				return
			}
			panic(cause)
		}
	}()
	for range ticks {
		w.step()
	}
	return w, nil
}

func TestEveryPassBeginsWithOneMap(t *testing.T) {
	for range checkRounds {
		rapid.Check(t, func(t *rapid.T) {
			w, wrong := walk(t, "", 300)
			require.Nil(t, wrong, strings.Join(w.trace, "\n"))
		})
	}
}

// checkRounds multiplies the walks of a check.
const checkRounds = 15

// standsAtMost bounds how long a group may stand still once all hosts and the
// leader are well: a new leader listens, finds the hold and fences it.
const standsAtMost = 40

func TestNoHoldOutlivesItsTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, wrong := walk(t, "", 200)
		require.Nil(t, wrong)
		for i := range w.frozen {
			w.frozen[i] = 0
		}
		w.late = nil
		w.chiefs = []*chief{w.newChief(rapid.IntRange(0, len(w.ranks)-1).Draw(t, "last leader"))}
		w.stood = 0
		for range standsAtMost {
			w.now++
			w.runPass()
			c := w.chiefs[0]
			for i, r := range w.ranks {
				c.views[i] = group.View{
					Known: true, At: w.time(), Epoch: w.epoch, Open: true, Pass: w.pass, Map: r.expertMap, Prepared: r.prepared,
					Armed: r.armed, ArmedPass: r.armedPass, Held: r.held, HeldPass: r.heldPass,
				}
			}
			orders, _ := c.leader.Step(c.views, w.time())
			for _, order := range orders {
				w.ranks[order.Rank].take(order, w.pass)
			}
		}
		require.Zero(t, w.stood, "the group still stands")
	})
}

func TestMutantsAreFound(t *testing.T) {
	for _, mutant := range []string{"arm before the hold", "release before all are armed", "no fence"} {
		t.Run(mutant, func(t *testing.T) {
			found := false
			for seed := 1; seed <= mutantWalks && !found; seed++ {
				walks := rapid.Custom(func(t *rapid.T) bool {
					_, wrong := walk(t, mutant, 300)
					return wrong != nil
				})
				found = walks.Example(seed)
			}
			require.True(t, found, "no walk finds the fault")
		})
	}
}

// mutantWalks bounds the walks in which a dropped rule must show.
const mutantWalks = 20000

func TestSwitchesGoOnBesideTrouble(t *testing.T) {
	switched := 0
	for seed := 1; seed <= 20; seed++ {
		switched += rapid.Custom(func(t *rapid.T) int {
			w, wrong := walk(t, "", 300)
			require.Nil(t, wrong)
			return w.switched
		}).Example(seed)
	}
	require.Greater(t, switched, 20, "less than one switch in each walk of 30 seconds")
}
