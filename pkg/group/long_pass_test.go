package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// longPassRun is a group of ranks whose agents report one after the other, so that the
// leader's views are from before and after the beginning of a pass.
type longPassRun struct {
	leader   *group.Leader
	ranks    []rank
	views    []group.View
	sentAt   map[group.Order]time.Time
	now      time.Time
	pass     uint64
	passAt   time.Time
	passTime time.Duration
	fenced   bool
	outcome  group.Outcome
}

const (
	// longPassTick is the duration of a step of a longPassRun.
	longPassTick = time.Millisecond
	// copyTime is how long a rank takes to copy the experts of a map.
	copyTime = 250 * time.Millisecond
	// orderDelay is the time from an order to the report of its result.
	orderDelay = 12 * time.Millisecond
)

func newLongPassRun(size int, passTime time.Duration) *longPassRun {
	version := uint64(0)
	return &longPassRun{
		leader: group.NewLeader(size, 0, func(above uint64) uint64 {
			version = max(version, above) + 1
			return version
		}),
		ranks: make([]rank, size), views: make([]group.View, size), sentAt: make(map[group.Order]time.Time),
		now: time.Unix(1000, 0), passTime: passTime,
	}
}

func (r *longPassRun) view(index int) group.View {
	state := r.ranks[index]
	return group.View{
		Known: true, ReportedAt: r.now, Epoch: 1, Open: true, Pass: r.pass, Map: state.expertMap, Prepared: state.prepared,
		Armed: state.armed, ArmedPass: state.armedPass, Held: state.held, HeldPass: state.heldPass,
	}
}

// step simulates one tick. Like an agent, it steps the leader at each report during a switch
// and each 100 ms otherwise.
func (r *longPassRun) step() {
	r.now = r.now.Add(longPassTick)
	r.runPass()
	elapsed := r.now.Sub(time.Unix(1000, 0))
	reported := elapsed%tick == 0
	for i := range r.ranks {
		if elapsed%tick == (tick * time.Duration(i) / time.Duration(len(r.ranks))).Truncate(longPassTick) {
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
	r.fenced = r.fenced || r.leader.IsFencing()
	for _, order := range orders {
		if r.now.Sub(r.sentAt[order]) > copyTime {
			r.sentAt[order] = r.now
		}
	}
}

func (r *longPassRun) runPass() {
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

// TestSwitchWhilePassesBecomeLong guards against a switch that is scheduled by the duration
// of passes from before a rank became slow. The pass of the switch then came 2.5 s later,
// when the leader had given up waiting for it, and the reports from before and after that
// pass were taken for a switch to be fenced.
func TestSwitchWhilePassesBecomeLong(t *testing.T) {
	const normal, long = 50 * time.Millisecond, 250 * time.Millisecond
	testCases := []struct {
		name string
		// longAfter is when passes become long after the switch has begun.
		longAfter time.Duration
		within    time.Duration
	}{
		{name: "before the switch", longAfter: 0, within: 1500 * time.Millisecond},
		{name: "while experts are copied", longAfter: copyTime / 2, within: 2500 * time.Millisecond},
		{name: "once ranks are armed", longAfter: copyTime + 100*time.Millisecond, within: 4 * time.Second},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			r := newLongPassRun(72, normal)
			r.leader.SetPassTime(normal)
			for !r.leader.CanBegin(r.views, r.now) {
				r.step()
			}
			r.leader.Begin(r.views, r.now)
			began := r.now
			for r.outcome == group.Pending && r.now.Sub(began) < 5*time.Second {
				if r.now.Sub(began) >= tc.longAfter {
					r.passTime = long
				}
				r.step()
			}
			require.Equal(t, group.Done, r.outcome, "fenced: %v", r.fenced)
			require.False(t, r.fenced)
			require.Less(t, r.now.Sub(began), tc.within)
		})
	}
}

// TestLeadFollowsRecentSwitches guards against switches that are scheduled much further ahead
// than arming takes: the group runs on the old map until then.
func TestLeadFollowsRecentSwitches(t *testing.T) {
	r := newLongPassRun(63, 60*time.Millisecond)
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
