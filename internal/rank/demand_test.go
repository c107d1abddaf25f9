package rank

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/demand"
	"github.com/lentilstand/lentilstand/pkg/group"
	"github.com/lentilstand/lentilstand/pkg/place"
	"github.com/lentilstand/lentilstand/platform"
)

const (
	// simStep is the duration of a step of an openingRun.
	simStep = 5 * time.Millisecond
	// simOrderDelay is the time from an order to the report of its result, and simCopyTime
	// that of an order to prepare a map.
	simOrderDelay = 2 * simStep
	simCopyTime   = 200 * time.Millisecond
	// simPassTime is the duration of a pass, simTurns how many periods of counts there are
	// for each one in which a rank reports them, and simChoices about how often an expert was
	// chosen in that.
	simPassTime = 60 * time.Millisecond
	simTurns    = 6
	simChoices  = 5
	// simLongPass is the duration of a pass while a rank is slow.
	simLongPass = 250 * time.Millisecond
)

// openingRun is a group of 63 ranks with 8 sets of 252 experts that opens, with its leader.
// Time is simulated.
type openingRun struct {
	l          *leader
	shape      mapShape
	ranks      []platform.RankState
	counts     []uint32
	popularity [][]float64
	start, now time.Time
	pass       uint64
	passTime   time.Duration
	passAt     time.Time
	open       bool
	openedAt   time.Time
	due        map[time.Time][]group.Order
	// plannedAt is when the first switch was planned.
	plannedAt time.Time
}

func newOpeningRun(t *testing.T, logger *zap.Logger) *openingRun {
	const size = 63
	socket, err := dgram.Listen("127.0.0.1:0", func(netip.AddrPort, *wirepb.Datagram) {}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(socket.Close)
	r := &openingRun{
		shape: mapShape{sets: 8, experts: 252, slots: 5, spare: 2, pause: 120 * time.Millisecond},
		ranks: make([]platform.RankState, size),
		start: time.Unix(1000, 0), now: time.Unix(1000, 0), passTime: simPassTime, due: make(map[time.Time][]group.Order),
	}
	random := rand.New(rand.NewPCG(1, 2))
	for set := range r.shape.sets {
		r.popularity = append(r.popularity, make([]float64, r.shape.experts))
		for expert := range r.shape.experts {
			r.popularity[set][expert] = math.Exp(0.8 * random.NormFloat64())
			r.counts = append(r.counts, uint32(simChoices*r.popularity[set][expert]+0.5))
		}
	}
	for rank := range r.ranks {
		r.ranks[rank] = platform.RankState{Group: "g", Epoch: 1, Rank: rank, Size: size, Start: 1, Pace: 1, Running: 4}
	}
	a := &Agent{logger: logger, socket: socket, shape: r.shape, state: r.ranks[0], subscribers: make(map[netip.AddrPort]time.Time)}
	r.l = &leader{agent: a}
	a.leader = r.l
	r.l.startLeading(size, 0)
	return r
}

// hint gives the leader the stored demand of the group.
func (r *openingRun) hint(popularity [][]float64) { r.l.hint.set(demand.FromLoads(popularity), r.now) }

func (r *openingRun) report(rank int, counts []uint32) {
	state := r.ranks[rank]
	state.Pass, state.Open = r.pass, r.open
	message := newReport(state)
	message.Counts, message.MapKnown = counts, true
	if rank == 0 {
		r.l.agent.state = state
	}
	r.l.applyReport(netip.MustParseAddrPort("127.0.0.1:9"), message, r.shape, r.now)
}

// step simulates one step: a pass, the orders that are due, and the reports of agents, each
// after 100 ms and in turn with counts.
func (r *openingRun) step() {
	r.now = r.now.Add(simStep)
	r.runPass()
	for _, order := range r.due[r.now] {
		r.apply(order)
		r.report(order.Rank, nil)
	}
	delete(r.due, r.now)
	tick, offset := int(r.now.Sub(r.start)/reportInterval), r.now.Sub(r.start)%reportInterval
	for rank := range r.ranks {
		turn := func(interval time.Duration) time.Duration {
			return time.Duration(rank) * interval / time.Duration(len(r.ranks)) / simStep * simStep
		}
		if r.open && r.now.Sub(r.openedAt) == simStep+turn(openingInterval) {
			r.report(rank, nil)
		}
		if offset != turn(reportInterval) {
			continue
		}
		if r.open && tick%ticksPerCount == 0 && (tick/ticksPerCount+rank)%simTurns == 0 {
			r.report(rank, r.counts)
		} else {
			r.report(rank, nil)
		}
	}
	if offset == 0 {
		r.l.step(r.now)
	}
	if r.plannedAt.IsZero() && r.l.machine.Phase() == group.Preparing {
		r.plannedAt = r.now
	}
	for _, sent := range r.l.sentOrders {
		if sent.sentAt.Equal(r.now) {
			at := r.now.Add(simOrderDelay)
			if sent.order.Kind == group.Prepare {
				at = r.now.Add(simCopyTime)
			}
			r.due[at] = append(r.due[at], sent.order)
		}
	}
}

func (r *openingRun) apply(order group.Order) {
	state := &r.ranks[order.Rank]
	switch {
	case order.Kind == group.Prepare && state.Armed == 0 && order.Version > max(state.Map, state.Prepared):
		state.Prepared = order.Version
	case order.Kind == group.Arm && state.Prepared == order.Version && order.Pass > r.pass:
		state.Armed, state.ArmedPass = order.Version, order.Pass
	case order.Kind == group.Hold && order.Pass > r.pass:
		state.IsHeld, state.Held = true, order.Pass
	case order.Kind == group.Release:
		state.IsHeld, state.Held = false, 0
	}
}

func (r *openingRun) runPass() {
	if !r.open || r.now.Sub(r.passAt) < r.passTime {
		return
	}
	for _, state := range r.ranks {
		if state.IsHeld && state.Held == r.pass+1 {
			return
		}
	}
	r.pass, r.passAt = r.pass+1, r.now
	for i := range r.ranks {
		if state := &r.ranks[i]; state.Armed != 0 && state.ArmedPass == r.pass {
			if i == 0 {
				r.l.agent.plans.add(state.Armed, r.l.plan, 0)
			}
			state.Map, state.Armed, state.ArmedPass, state.Prepared = state.Armed, 0, 0, 0
		}
	}
}

// skew returns the skew of the map in use, averaged over all sets.
func (r *openingRun) skew() (skew float64) {
	current := roundRobin(r.shape, len(r.ranks))
	if version := r.ranks[0].Map; version != 0 {
		current = r.l.agent.plans.find(version)
	}
	for set, ranks := range current {
		skew += place.FromRanks(ranks, r.shape.experts).Skew(r.popularity[set]) / float64(len(current))
	}
	return skew
}

// lowSkew is below the skew of a map that was planned by a stored demand.
const lowSkew = 1.4

// openAndBalance opens the group and returns the times from then until the first switch is
// planned, and until the skew is low.
func (r *openingRun) openAndBalance(t *testing.T) (planned, balanced time.Duration) {
	require.Greater(t, r.skew(), 2.0)
	r.openGroup()
	for r.skew() > lowSkew && r.now.Sub(r.openedAt) < 10*time.Second {
		r.step()
	}
	require.False(t, r.plannedAt.IsZero())
	return r.plannedAt.Sub(r.openedAt), r.now.Sub(r.openedAt)
}

// openGroup opens the group after the time in which its leader starts.
func (r *openingRun) openGroup() {
	for r.now.Sub(r.start) < 700*time.Millisecond {
		r.step()
	}
	r.open, r.openedAt = true, r.now
}

// TestSwitchWhilePassesBecomeLong guards against a switch that is scheduled by the duration
// of passes from before a rank became slow. The pass of the switch then came 2.5 s later,
// when the leader had given up waiting for it, and the reports from before and after that
// pass were taken for a switch to be fenced.
func TestSwitchWhilePassesBecomeLong(t *testing.T) {
	for longAfter, within := range map[time.Duration]time.Duration{
		0: 1500 * time.Millisecond, simCopyTime / 2: 2500 * time.Millisecond, simCopyTime + 150*time.Millisecond: 4 * time.Second,
	} {
		core, logs := observer.New(zap.DebugLevel)
		r := newOpeningRun(t, zap.New(core))
		r.hint(r.popularity)
		r.openGroup()
		for len(logs.FilterMessage(event.SwitchDone.Name()).All()) == 0 && r.now.Sub(r.openedAt) < 5*time.Second {
			if !r.plannedAt.IsZero() && r.now.Sub(r.plannedAt) >= longAfter {
				r.passTime = simLongPass
			}
			r.step()
		}
		require.Len(t, logs.FilterMessage(event.SwitchDone.Name()).All(), 1, "long after %v", longAfter)
		require.Empty(t, logs.FilterLevelExact(zap.WarnLevel).All(), "long after %v", longAfter)
		require.Less(t, r.now.Sub(r.plannedAt), within, "long after %v", longAfter)
	}
}

// TestStoredDemandBalancesAnOpeningGroup guards against a group that runs on its initial map
// until enough choices of experts are counted.
func TestStoredDemandBalancesAnOpeningGroup(t *testing.T) {
	without := newOpeningRun(t, zap.NewNop())
	plannedWithout, balancedWithout := without.openAndBalance(t)
	with := newOpeningRun(t, zap.NewNop())
	with.hint(with.popularity)
	planned, balanced := with.openAndBalance(t)
	t.Logf("without: planned after %v, balanced after %v; with: %v, %v", plannedWithout, balancedWithout, planned, balanced)
	require.LessOrEqual(t, planned, 50*time.Millisecond)
	require.Less(t, balanced, 800*time.Millisecond)
	require.Less(t, balanced, balancedWithout)
	require.Less(t, planned, plannedWithout)
}

// TestStoredDemandOfAnotherTime guards against a leader that keeps to a stored demand that is
// wrong once it has counts of its own.
func TestStoredDemandOfAnotherTime(t *testing.T) {
	r := newOpeningRun(t, zap.NewNop())
	outdated := make([][]float64, r.shape.sets)
	for set := range outdated {
		outdated[set] = r.popularity[(set+1)%r.shape.sets]
	}
	r.hint(outdated)
	_, balanced := r.openAndBalance(t)
	require.Less(t, balanced, 4*time.Second)
}

// TestUnusableDemandIsIgnored guards against a demand of another shape that stops the leader,
// that is asked for again with each load, or that fills the log.
func TestUnusableDemandIsIgnored(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	r := newOpeningRun(t, zap.New(core))
	entry := netip.MustParseAddrPort("10.0.0.1:7000")
	weights := make([]byte, 8*251)
	for i := range weights {
		weights[i] = 255
	}
	message := &wirepb.Demand{Sets: 8, Experts: 251, Weights: weights}
	a := r.l.agent
	a.handleDemand(entry, message)
	require.False(t, r.l.hint.isKnown(time.Now()), "no entry that subscribes")
	a.subscribers[entry] = time.Now()
	a.handleDemand(entry, message)
	require.True(t, r.l.hint.isKnown(time.Now()))
	r.l.hint.set(nil, time.Now().Add(-demandTTL))
	a.handleDemand(entry, &wirepb.Demand{Sets: 8, Experts: 252, Weights: weights})
	require.Len(t, logs.FilterMessage(event.DemandRefused.Name()).All(), 1)
	loads, stored := r.l.planningLoads(r.shape, 0, r.now)
	require.Nil(t, loads)
	require.False(t, stored)
	_, balanced := r.openAndBalance(t)
	require.Less(t, balanced, 4*time.Second, "the leader plans by its counts")
}

// TestDemandsGoToAnotherEntryAtTimes guards against a demand that isn't stored as long as the
// first entry is cut off from the store, and against sending one that hasn't changed.
func TestDemandsGoToAnotherEntryAtTimes(t *testing.T) {
	entries := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7")}
	changing := func(i int) *demand.Demand { return demand.FromLoads([][]float64{{1, float64(i % 2), 0.5}}) }
	var sender demandSender
	now, received := time.Unix(1000, 0), make(map[netip.AddrPort]int)
	for i := range 30 {
		now = now.Add(demandInterval)
		entry, due := sender.next(changing(i), 1e6, entries, now)
		require.True(t, due)
		received[entry]++
	}
	require.Equal(t, map[netip.AddrPort]int{entries[0]: 26, entries[1]: 2, entries[2]: 2}, received)
	sent := 0
	for range 30 {
		now = now.Add(demandInterval)
		if _, due := sender.next(changing(1), 1e6, entries, now); due {
			sent++
		}
	}
	require.Equal(t, 6, sent, "an unchanged demand is sent each 10 s")
	_, due := sender.next(changing(0), 1e6, nil, now)
	require.False(t, due, "no entry subscribes")
}
