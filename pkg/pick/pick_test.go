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

// fresh returns the load of an endpoint with a recent report.
func fresh(slots, reported int) pick.Load {
	return pick.Load{Slots: slots, Reported: reported, Age: 50 * time.Millisecond, Pace: 1}
}

func TestChoose(t *testing.T) {
	unavailable, tried, throttled, ejected := fresh(4, 0), fresh(4, 0), fresh(4, 0), fresh(4, 0)
	unavailable.Unavailable, tried.Tried, throttled.Throttled, ejected.Ejected = true, true, true, true
	slow, idle := fresh(12, 4), fresh(12, 0)
	slow.Pace, idle.Pace = 5, 5
	slowPlain, slowFull := fresh(12, 0), fresh(12, 13)
	slowPlain.Slowness, slowFull.Slowness = 2, 2
	testCases := []struct {
		name    string
		loads   []pick.Load
		want    int
		verdict pick.Verdict
	}{
		{name: "the less loaded one", loads: []pick.Load{fresh(12, 9), fresh(12, 2)}, want: 1, verdict: pick.Chosen},
		{name: "not the unavailable one", loads: []pick.Load{unavailable, fresh(12, 9)}, want: 1, verdict: pick.Chosen},
		{name: "not the one tried before", loads: []pick.Load{tried, fresh(12, 9)}, want: 1, verdict: pick.Chosen},
		{name: "not the slow one", loads: []pick.Load{slow, fresh(12, 9)}, want: 1, verdict: pick.Chosen},
		{name: "a busy one rather than a slow idle one", loads: []pick.Load{idle, fresh(12, 2)}, want: 1, verdict: pick.Chosen},
		{name: "a slow one has less room", loads: []pick.Load{slow}, want: -1, verdict: pick.Full},
		{name: "a slow one with room", loads: []pick.Load{idle}, want: 0, verdict: pick.Chosen},
		{name: "a plain one with free slots rather than a slow idle one", loads: []pick.Load{slowPlain, fresh(12, 4)}, want: 1, verdict: pick.Chosen},
		{name: "a slow idle plain one rather than a full one", loads: []pick.Load{slowPlain, fresh(12, 14)}, want: 0, verdict: pick.Chosen},
		{name: "a slow plain one has fewer requests beyond its slots", loads: []pick.Load{slowFull}, want: -1, verdict: pick.Full},
		{name: "no room", loads: []pick.Load{fresh(4, 6), fresh(4, 7)}, want: -1, verdict: pick.Full},
		{name: "a throttled one is full", loads: []pick.Load{throttled}, want: -1, verdict: pick.Full},
		{name: "all are unavailable", loads: []pick.Load{unavailable, unavailable}, want: -1, verdict: pick.NoneAvailable},
		{name: "no endpoint at all", want: -1, verdict: pick.NoneAvailable},
		{name: "an ejected one if no other is available", loads: []pick.Load{unavailable, ejected}, want: 1, verdict: pick.Chosen},
		{name: "no ejected one while others are full", loads: []pick.Load{fresh(4, 9), ejected}, want: -1, verdict: pick.Full},
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

// TestInFlightCountsRequestsSinceReport checks that the entry's own requests that have
// started or completed since the report are counted.
func TestInFlightCountsRequestsSinceReport(t *testing.T) {
	load := pick.Load{Own: 7, Reported: 10, OwnAtReport: 5, Age: time.Millisecond}
	require.Equal(t, 12, load.InFlight())
	load.Age = -1
	require.Equal(t, 7, load.InFlight(), "without a report")
}

// TestChooseNeverExceedsRoom checks with random loads that the chosen endpoint is
// available, not throttled, and has room.
func TestChooseNeverExceedsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pick.Load {
			load := fresh(rapid.IntRange(1, 12).Draw(t, "slots"), rapid.IntRange(0, 20).Draw(t, "reported"))
			load.Unavailable, load.Throttled = rapid.Bool().Draw(t, "unavailable"), rapid.Bool().Draw(t, "throttled")
			load.Ejected = rapid.Bool().Draw(t, "ejected")
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

// TestEntriesSpreadRequests has entries with identical load reports send at the same
// time. No endpoint may get more than twice its share.
func TestEntriesSpreadRequests(t *testing.T) {
	const entries, endpoints, each = 6, 12, 8
	counts := make([]int, endpoints)
	for entry := range uint64(entries) {
		loads := make([]pick.Load, endpoints)
		for i := range loads {
			loads[i] = fresh(12, 3)
		}
		for request := range uint64(each) {
			at, verdict := pick.Choose(loads, 2, entry<<32|request*0x9e3779b9)
			require.Equal(t, pick.Chosen, verdict)
			loads[at].Own++
			counts[at]++
		}
	}
	for i, count := range counts {
		require.LessOrEqual(t, count, 2*entries*each/endpoints, "endpoint %d of %v", i, counts)
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

// TestEstimateArrivalsPreventsOverload has six entries, each sending 5 requests per
// second, see the same report, 80 ms old, by which one endpoint has room for two more
// requests. Without the estimate, all of them would send a request there.
func TestEstimateArrivalsPreventsOverload(t *testing.T) {
	const entries, slots, extra = 6, 12, 2
	reports := []pick.Load{fresh(slots, slots+extra-2), fresh(slots, slots+extra)}
	for i := range reports {
		reports[i].Age, reports[i].Others = 80*time.Millisecond, entries-1
	}
	sent := 0
	for range entries {
		loads := append([]pick.Load(nil), reports...)
		pick.EstimateArrivals(loads, extra, 5)
		if _, verdict := pick.Choose(loads, extra, 1); verdict == pick.Chosen {
			sent++
		}
	}
	require.Zero(t, sent, "the free room is likely taken by now")
	reports[0].Age = 0
	pick.EstimateArrivals(reports, extra, 5)
	at, verdict := pick.Choose(reports, extra, 1)
	require.Equal(t, pick.Chosen, verdict, "a new report is not corrected")
	require.Zero(t, at)
}

// TestOldReportsDoNotFillEndpoints guards against an estimate that counts requests which have
// ended since the report. An endpoint whose load is known from responses only, which arrive
// seldom, would look full to an entry that has no requests there.
func TestOldReportsDoNotFillEndpoints(t *testing.T) {
	load := fresh(6, 0)
	load.Age, load.Others, load.RunTime = time.Second, 11, 50*time.Millisecond
	loads := []pick.Load{load, load}
	pick.EstimateArrivals(loads, 4, 3)
	require.InDelta(t, 11*3*0.05/2, loads[0].Expected, 0.01)
	pick.EstimateArrivals(loads, 4, 100)
	require.InDelta(t, 1, loads[0].Expected, 0.01, "no other entry has requests")
	loads[1].Reported = 5
	pick.EstimateArrivals(loads, 4, 100)
	require.InDelta(t, 3.5, loads[0].Expected, 0.01)
	_, verdict := pick.Choose(loads, 4, 1)
	require.Equal(t, pick.Chosen, verdict)
}

// TestIdleEndpointIsNotOverloaded has 34 entries see the same reports, by which one
// endpoint of 63 is idle, until the next reports arrive 100 ms later. Of 235 requests
// per second that is 24 requests, and too many for the idle endpoint alone.
func TestIdleEndpointIsNotOverloaded(t *testing.T) {
	const entries, endpoints, arrivals, slots = 34, 63, 24, 10
	random := rand.New(rand.NewPCG(5, 6))
	highest := 0
	for range 200 {
		counts := make([]int, endpoints)
		for range arrivals {
			loads := make([]pick.Load, endpoints)
			for i := range loads {
				loads[i] = fresh(slots, 6)
			}
			loads[0].Reported = 0
			at, verdict := pick.Choose(loads, 2, random.Uint64())
			require.Equal(t, pick.Chosen, verdict)
			counts[at]++
		}
		highest = max(highest, counts[0])
	}
	require.LessOrEqual(t, highest, slots, "requests to the idle endpoint within the age of a report")
}
