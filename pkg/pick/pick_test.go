package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

func fresh(slots, reported int) pick.Load {
	return pick.Load{Slots: slots, Reported: reported, Age: 50 * time.Millisecond, Pace: 1}
}

func TestChoose(t *testing.T) {
	closed, tried, spent, shunned := fresh(4, 0), fresh(4, 0), fresh(4, 0), fresh(4, 0)
	closed.Unavailable, tried.Tried, spent.Throttled, shunned.Ejected = true, true, true, true
	slow, idle := fresh(12, 4), fresh(12, 0)
	slow.Pace, idle.Pace = 5, 5
	testCases := []struct {
		name    string
		loads   []pick.Load
		want    int
		verdict pick.Verdict
	}{
		{name: "the less loaded", loads: []pick.Load{fresh(12, 9), fresh(12, 2)}, want: 1, verdict: pick.Chosen},
		{name: "not the closed one", loads: []pick.Load{closed, fresh(12, 9)}, want: 1, verdict: pick.Chosen},
		{name: "not the one tried before", loads: []pick.Load{tried, fresh(12, 9)}, want: 1, verdict: pick.Chosen},
		{name: "not the slow one", loads: []pick.Load{slow, fresh(12, 9)}, want: 1, verdict: pick.Chosen},
		{name: "a slow one without work only before busy ones", loads: []pick.Load{idle, fresh(12, 2)}, want: 1, verdict: pick.Chosen},
		{name: "a slow one has less room", loads: []pick.Load{slow}, want: -1, verdict: pick.Full},
		{name: "a slow one takes what fits", loads: []pick.Load{idle}, want: 0, verdict: pick.Chosen},
		{name: "no room", loads: []pick.Load{fresh(4, 6), fresh(4, 7)}, want: -1, verdict: pick.Full},
		{name: "a cold one has had its share", loads: []pick.Load{spent}, want: -1, verdict: pick.Full},
		{name: "none runs", loads: []pick.Load{closed, closed}, want: -1, verdict: pick.NoneAvailable},
		{name: "no endpoint at all", want: -1, verdict: pick.NoneAvailable},
		{name: "a shunned one if no other runs", loads: []pick.Load{closed, shunned}, want: 1, verdict: pick.Chosen},
		{name: "no shunned one while others are only full", loads: []pick.Load{fresh(4, 9), shunned}, want: -1, verdict: pick.Full},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for random := range uint64(20) {
				at, verdict := pick.Choose(tc.loads, 2, random)
				require.Equal(t, tc.verdict, verdict)
				require.Equal(t, tc.want, at)
			}
		})
	}
}

func TestBusyCountsWhatWasSentSinceTheReport(t *testing.T) {
	load := pick.Load{Own: 7, Reported: 10, OwnAtReport: 5, Age: time.Millisecond}
	require.Equal(t, 12, load.InFlight())
	load.Age = -1
	require.Equal(t, 7, load.InFlight(), "without a report")
}

func TestChooseNeverExceedsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pick.Load {
			load := fresh(rapid.IntRange(1, 12).Draw(t, "slots"), rapid.IntRange(0, 20).Draw(t, "reported"))
			load.Unavailable, load.Throttled = rapid.Bool().Draw(t, "closed"), rapid.Bool().Draw(t, "spent")
			load.Ejected = rapid.Bool().Draw(t, "shunned")
			return load
		}), 0, 8).Draw(t, "loads")
		at, verdict := pick.Choose(loads, 2, rapid.Uint64().Draw(t, "random"))
		require.Equal(t, verdict == pick.Chosen, at >= 0)
		if at >= 0 {
			require.False(t, loads[at].Unavailable || loads[at].Throttled)
			require.Less(t, loads[at].InFlight(), loads[at].Slots+2)
		}
	})
}

// TestEntriesDoNotPileUp plays the load that the choice answers: entries that see
// the same reports, 100 ms old, and send at once.
func TestEntriesDoNotPileUp(t *testing.T) {
	const entries, endpoints, each = 6, 12, 8
	held := make([]int, endpoints)
	for entry := range uint64(entries) {
		loads := make([]pick.Load, endpoints)
		for i := range loads {
			loads[i] = fresh(12, 3)
		}
		for request := range uint64(each) {
			at, verdict := pick.Choose(loads, 2, entry<<32|request*0x9e3779b9)
			require.Equal(t, pick.Chosen, verdict)
			loads[at].Own++
			held[at]++
		}
	}
	for i, count := range held {
		require.LessOrEqual(t, count, 2*entries*each/endpoints, "endpoint %d of %v", i, held)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 63, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			loads := make([]pick.Load, n)
			for i := range loads {
				loads[i] = fresh(12, i%9)
			}
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				pick.Choose(loads, 2, i)
			}
		})
	}
}

func ExampleChoose() {
	loads := []pick.Load{
		{Slots: 12, Reported: 11, Age: 40 * time.Millisecond},
		{Slots: 12, Reported: 3, Age: 60 * time.Millisecond},
		{Slots: 12, Unavailable: true},
	}
	at, verdict := pick.Choose(loads, 2, 1)
	fmt.Println(at, verdict == pick.Chosen)
	// Output: 1 true
}

// TestForeseenRequestsLeaveNoPileOnTheLastPlace plays the load that EstimateArrivals
// answers: six entries see one report, 80 ms old, by which one endpoint has room,
// and each sends 5 requests a second.
func TestForeseenRequestsLeaveNoPileOnTheLastPlace(t *testing.T) {
	const entries, slots, extra = 6, 12, 2
	reports := []pick.Load{fresh(slots, slots+extra-2), fresh(slots, slots+extra)}
	for i := range reports {
		reports[i].Age = 80 * time.Millisecond
	}
	placed := 0
	for range entries {
		loads := append([]pick.Load(nil), reports...)
		pick.EstimateArrivals(loads, extra, entries-1, 5)
		if _, verdict := pick.Choose(loads, extra, 1); verdict == pick.Chosen {
			placed++
		}
	}
	require.Zero(t, placed, "the two places are likely taken by now")
	reports[0].Age = 0
	pick.EstimateArrivals(reports, extra, entries-1, 5)
	at, verdict := pick.Choose(reports, extra, 1)
	require.Equal(t, pick.Chosen, verdict, "a report that has just come is believed")
	require.Zero(t, at)
}

// TestAnIdleEndpointIsNotFlooded plays the load that drawing candidates answers: 34
// entries see the same reports, by which one endpoint of 63 is idle, until the next
// reports come 100 ms later; 235 requests a second arrive.
func TestAnIdleEndpointIsNotFlooded(t *testing.T) {
	const entries, endpoints, arrivals, slots = 34, 63, 24, 10
	random := rand.New(rand.NewPCG(5, 6))
	worst := 0
	for range 200 {
		held := make([]int, endpoints)
		for range arrivals {
			loads := make([]pick.Load, endpoints)
			for i := range loads {
				loads[i] = fresh(slots, 6)
			}
			loads[0].Reported = 0
			at, verdict := pick.Choose(loads, 2, random.Uint64())
			require.Equal(t, pick.Chosen, verdict)
			held[at]++
		}
		worst = max(worst, held[0])
	}
	require.LessOrEqual(t, worst, slots, "all of what came in one report's age would run at once")
}
