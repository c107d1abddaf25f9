package rank

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/group"
	"github.com/lentilstand/lentilstand/platform"
)

// TestCurrentMapHasOneVersion guards against a current map that is mixed from two
// versions, which no rank has. That happens if the leader has reports of a switch
// from only some ranks, while rank 1 still reports its previous experts.
func TestCurrentMapHasOneVersion(t *testing.T) {
	before, after := [][][]int{{{0, 1}, {2, 3}}}, [][][]int{{{2, 0}, {1, 3}}}
	mixed := [][][]int{{{2, 0}}, {{2, 3}}}
	complete := [][][]int{{{2, 0}}, {{1, 3}}}
	testCases := []struct {
		name     string
		state    platform.RankState
		ordered  bool
		maps     [2]uint64
		reported [][][]int
		want     [][][]int
	}{
		{name: "initial map", state: platform.RankState{Size: 2}, reported: mixed, want: [][][]int{{{0, 2}, {1, 3}}}},
		{name: "ordered to prepare", state: platform.RankState{Size: 2, Map: 8}, ordered: true, maps: [2]uint64{8, 7}, reported: mixed, want: after},
		{name: "reported", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 8}, reported: complete, want: after},
		{name: "reports of two versions", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 7}, reported: mixed},
		{name: "an older epoch", state: platform.RankState{Size: 2, Map: 8, Epoch: 2}, maps: [2]uint64{8, 8}, reported: complete},
		{name: "a rank hasn't reported its experts", state: platform.RankState{Size: 2, Map: 8}, maps: [2]uint64{8, 8}, reported: [][][]int{{{2, 0}}, nil}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			a := &Agent{state: tc.state, shape: mapShape{sets: 1, experts: 4, slots: 2}}
			a.plans.add(7, before, 0)
			if tc.ordered {
				a.plans.add(8, after, 0)
			}
			l := &leader{agent: a, experts: tc.reported, views: []group.View{{Map: tc.maps[0]}, {Map: tc.maps[1]}}}
			got, version := l.currentMap()
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.state.Map, version)
		})
	}
}

// TestAgentsWithoutBaseGetFullMap guards against agents that are
// sent only changes to a map that they don't know, as after a restart of all
// processes or while they still know an older map.
func TestAgentsWithoutBaseGetFullMap(t *testing.T) {
	testCases := []struct {
		name     string
		known    knownMap
		base     [][][]int
		attempts int
		want     bool
	}{
		{name: "the agent knows the map in use", known: knownMap{version: 7, known: true}, base: [][][]int{{{0}}}},
		{name: "the agent has restarted", known: knownMap{version: 7}, base: [][][]int{{{0}}}, want: true},
		{name: "the agent has reported an older map", known: knownMap{version: 6, known: true}, base: [][][]int{{{0}}}, want: true},
		{name: "changes were lost", known: knownMap{version: 7, known: true}, base: [][][]int{{{0}}}, attempts: fullMapAfter, want: true},
		{name: "the leader doesn't know the base of the changes", known: knownMap{version: 7, known: true}, want: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			l := &leader{base: tc.base, baseVersion: 7, knownMaps: []knownMap{{}, tc.known}}
			require.Equal(t, tc.want, l.needsFullMap(1, tc.attempts))
		})
	}
}

// newLargeLeader returns the leader of a group of 129 ranks with 16 sets of 258 experts, as
// on the large deployment. All ranks use the map of version 9, and their agents know it if
// mapKnown is set.
func newLargeLeader(t *testing.T, mapKnown bool) *leader {
	const size = 129
	socket, err := dgram.Listen("127.0.0.1:0", func(netip.AddrPort, *wirepb.Datagram) {}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(socket.Close)
	a := &Agent{
		logger: zap.NewNop(), socket: socket, shape: mapShape{sets: 16, experts: 258, slots: 3, spare: 2},
		state: platform.RankState{Size: size, Group: "g", Epoch: 1, Map: 9, Open: true},
	}
	a.plans.add(9, roundRobin(a.shape, size), 0)
	l := &leader{agent: a}
	l.startLeading(size, 0)
	for rank := range size {
		l.addresses[rank] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 9)
		l.knownMaps[rank] = knownMap{version: 9, known: mapKnown}
		l.views[rank] = group.View{Known: true, Epoch: 1, Open: true, Map: 9, Pass: 90}
	}
	return l
}

// run has all ranks report each 100 ms while the leader steps, for a span.
func (l *leader) run(start time.Time, span time.Duration) {
	for now := start; now.Sub(start) <= span; now = now.Add(reportInterval) {
		for rank := range l.views {
			l.views[rank].ReportedAt = now
		}
		l.step(now)
	}
}

// ranksSentMaps returns the number of ranks that were ordered to prepare a map.
func (l *leader) ranksSentMaps() (count int) {
	for _, sent := range l.sentOrders {
		if sent.order.Kind == group.Prepare && sent.attempts > 0 {
			count++
		}
	}
	return count
}

// TestFenceReachesAllRanksInTime guards against a large group that stands still after its
// leader's host has. The next leader fences the switch that it finds. The whole map is 14 KB,
// and 129 of them take 3 s on a link of 6 Mbit/s, but a fence gets a new version each second.
func TestFenceReachesAllRanksInTime(t *testing.T) {
	l := newLargeLeader(t, true)
	l.views[5].Held, l.views[5].HeldPass = true, 95
	l.run(time.Unix(1000, 0), time.Second)
	require.True(t, l.machine.IsFencing())
	require.Equal(t, len(l.views), l.ranksSentMaps())
}

// TestWholeMapsReachAllRanks guards against ranks that never get their map, because those
// before them are sent theirs again each prepareResendInterval.
func TestWholeMapsReachAllRanks(t *testing.T) {
	l := newLargeLeader(t, false)
	l.planFence()
	var orders []group.Order
	for rank := range l.views {
		orders = append(orders, group.Order{Rank: rank, Kind: group.Prepare, Epoch: 1, Version: 70000})
	}
	start := time.Unix(1000, 0)
	for now := start; now.Sub(start) < 4*time.Second; now = now.Add(reportInterval / 10) {
		l.sendOrders(slices.Clone(orders), now)
	}
	require.Equal(t, len(l.views), l.ranksSentMaps(), "the 1.8 MB take 3 s")
}

// TestChangesReachALargeGroupSoon guards against a switch that waits for the leader's link:
// 128 times the changes of a usual plan, 4 KB, take 0.9 s. All ranks must be sent theirs
// within 0.2 s, by the leader or by an agent that forwards them.
func TestChangesReachALargeGroupSoon(t *testing.T) {
	l := newLargeLeader(t, true)
	l.planFence()
	l.plan = changedMap(l.base, 400)
	var orders []group.Order
	for rank := range l.views {
		orders = append(orders, group.Order{Rank: rank, Kind: group.Prepare, Epoch: 1, Version: 70000})
	}
	start := time.Unix(1000, 0)
	for now := start; now.Sub(start) < 200*time.Millisecond; now = now.Add(reportInterval / 10) {
		l.sendOrders(slices.Clone(orders), now)
	}
	require.Equal(t, len(l.views), l.ranksSentMaps())
}

// changedMap returns a map that differs in as many lists.
func changedMap(base [][][]int, lists int) [][][]int {
	plan := applyChanges(base, nil)
	for i := range lists {
		set, rank := i%len(plan), i/len(plan)
		plan[set][rank] = append(slices.Clone(plan[set][rank]), (i*7)%258)
	}
	return plan
}

// TestPassClock has a group run passes each 50 ms, stand still, and go on.
func TestPassClock(t *testing.T) {
	var clock passClock
	now := time.Unix(1000, 0)
	state := platform.RankState{Epoch: 1, Open: true, Running: 3, Pass: 10}
	report := func(reports, passes int) time.Duration {
		for range reports {
			now = now.Add(100 * time.Millisecond)
			state.Pass += uint64(passes)
			clock.update(state, now)
		}
		return clock.interval(now)
	}
	require.Equal(t, 50*time.Millisecond, report(5, 2))
	require.Equal(t, 50*time.Millisecond, report(3, 0))
	require.Equal(t, 800*time.Millisecond, report(5, 0), "the group stands still")
	require.Equal(t, 50*time.Millisecond, report(5, 2))
	state.Running = 0
	require.Zero(t, report(1, 0), "a group without requests runs no passes")
	state.Running, state.Epoch, state.Pass = 3, 2, 0
	require.Zero(t, report(1, 0), "nothing is measured yet in a new epoch")
	require.Equal(t, 100*time.Millisecond, report(4, 1))
}

// TestMapInUseIsKept guards against a group that stays held because its leader's fence has no map to
// send: newer maps that were never used have taken the place of the one in use.
func TestMapInUseIsKept(t *testing.T) {
	var plans planCache
	inUse := [][][]int{{{0}, {1}}}
	plans.add(7, inUse, 0)
	for version := uint64(8); version < 20; version++ {
		plans.add(version, [][][]int{{{1}, {0}}}, 7)
	}
	require.Equal(t, inUse, plans.find(7))
	require.NotNil(t, plans.find(19))
	require.Len(t, plans.versions, maxPlans)
	require.Len(t, plans.maps, maxPlans)
}

// TestPolledRankKeepsItsExperts guards against a fence without a map: a rank that its leader polls in
// place of a silent agent reports no experts, though it still uses the map that it had.
func TestPolledRankKeepsItsExperts(t *testing.T) {
	l := newLargeLeader(t, true)
	shape, now := l.agent.shape, time.Unix(1000, 0)
	experts := make([][]int, shape.sets)
	for set := range experts {
		experts[set] = []int{2 * set, 2*set + 1}
	}
	report := func(epoch, version uint64, lists []uint32) *wirepb.RankReport {
		return &wirepb.RankReport{Group: "g", Epoch: epoch, Rank: 5, Size: 129, Open: true, ExpertMap: version, Experts: lists}
	}
	l.applyReport(l.addresses[5], report(1, 9, encodeExperts(experts)), shape, now)
	l.applyReport(l.addresses[5], report(1, 9, nil), shape, now)
	require.Equal(t, experts, l.experts[5])
	l.applyReport(l.addresses[5], report(1, 10, nil), shape, now)
	require.Nil(t, l.experts[5], "the map has changed")
	l.applyReport(l.addresses[5], report(1, 10, encodeExperts(experts)), shape, now)
	l.applyReport(l.addresses[5], report(2, 10, nil), shape, now)
	require.Nil(t, l.experts[5], "the group has formed again")
}
