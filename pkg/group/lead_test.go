package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// stagedRun is a group of ranks whose agents report one after the other, so that the
// leader's views are from before and after the beginning of a pass.
type stagedRun struct {
	leader   *group.Leader
	ranks    []rank
	views    []group.View
	sentAt   map[group.Order]time.Time
	now      time.Time
	pass     uint64
	passAt   time.Time
	passTime time.Duration
	outcome  group.Outcome
}

const (
	// stagedTick is the duration of a step of a stagedRun.
	stagedTick = time.Millisecond
	// copyTime is how long a rank takes to copy the experts of a map.
	copyTime = 250 * time.Millisecond
	// orderDelay is the time from an order to the report of its result.
	orderDelay = 12 * time.Millisecond
)

func newStagedRun(size int, passTime time.Duration) *stagedRun {
	version := uint64(0)
	return &stagedRun{
		leader: group.NewLeader(size, 0, func(above uint64) uint64 {
			version = max(version, above) + 1
			return version
		}),
		ranks: make([]rank, size), views: make([]group.View, size), sentAt: make(map[group.Order]time.Time),
		now: time.Unix(1000, 0), passTime: passTime,
	}
}

func (r *stagedRun) view(index int) group.View {
	state := r.ranks[index]
	return group.View{
		Known: true, ReportedAt: r.now, Epoch: 1, Open: true, Pass: r.pass, Map: state.expertMap, Prepared: state.prepared,
		Armed: state.armed, ArmedPass: state.armedPass, Held: state.held, HeldPass: state.heldPass,
	}
}

// step simulates one tick. Like an agent, it steps the leader at each report during a switch
// and each 100 ms otherwise.
func (r *stagedRun) step() {
	r.now = r.now.Add(stagedTick)
	r.runPass()
	elapsed := r.now.Sub(time.Unix(1000, 0))
	reported := elapsed%tick == 0
	for i := range r.ranks {
		if elapsed%tick == (tick * time.Duration(i) / time.Duration(len(r.ranks))).Truncate(stagedTick) {
			r.views[i] = r.view(i)
			reported = reported || r.leader.Phase() != group.Idle
		}
	}
	for order, sentAt := range r.sentAt {
		delay := orderDelay
		if order.Kind == group.Prepare {
			delay = copyTime
		}
		if r.now.Sub(sentAt) == delay {
			r.ranks[order.Rank].apply(order, r.pass)
			r.views[order.Rank] = r.view(order.Rank)
			reported = true
		}
	}
	if !reported {
		return
	}
	orders, outcome := r.leader.Step(r.views, r.now)
	if outcome != group.Pending {
		r.outcome = outcome
	}
	for _, order := range orders {
		if r.now.Sub(r.sentAt[order]) > copyTime {
			r.sentAt[order] = r.now
		}
	}
}

func (r *stagedRun) runPass() {
	if r.now.Sub(r.passAt) < r.passTime {
		return
	}
	for _, state := range r.ranks {
		if state.held && state.heldPass == r.pass+1 {
			return
		}
	}
	r.pass, r.passAt = r.pass+1, r.now
	for i := range r.ranks {
		if state := &r.ranks[i]; state.armed != 0 && state.armedPass == r.pass {
			state.expertMap, state.armed, state.armedPass, state.prepared = state.armed, 0, 0, 0
		}
	}
}

// TestLeadFollowsRecentSwitches guards against switches that are scheduled much further ahead
// than arming takes: the group runs on the old map until then.
func TestLeadFollowsRecentSwitches(t *testing.T) {
	r := newStagedRun(63, 60*time.Millisecond)
	r.leader.SetPassTime(r.passTime)
	var settling []time.Duration
	for range 3 {
		for !r.leader.CanBegin(r.views, r.now) {
			r.step()
		}
		r.leader.Begin(r.views, r.now)
		for r.outcome = group.Pending; r.outcome == group.Pending; {
			r.step()
		}
		require.Equal(t, group.Done, r.outcome)
		settling = append(settling, r.leader.Times()[group.Settling])
	}
	require.Greater(t, settling[0], 350*time.Millisecond, "the first lead covers 63 ranks that are slow to be armed")
	require.Less(t, settling[2], 250*time.Millisecond)
}
