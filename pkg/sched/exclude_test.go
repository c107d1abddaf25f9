package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

// reportsEach is the interval of agents' reports.
const reportsEach = 100 * time.Millisecond

// ranksWith returns n loads with a pace of 1, except for those given.
func ranksWith(n int, paces ...float64) []pick.Load {
	loads := make([]pick.Load, n)
	for i := range loads {
		loads[i] = pick.Load{Slots: 10, Age: time.Millisecond, Reported: 4, Pace: 1}
		if i < len(paces) {
			loads[i].Pace = paces[i]
		}
	}
	return loads
}

// excludedOf returns which loads are throttled by a decision, from the given state or from none.
func excludedOf(loads []pick.Load, exclusions []*exclusion, pass, maxPass time.Duration, now time.Time) (excluded []int) {
	loads = slices.Clone(loads)
	excludeSlowRanks(loads, exclusions, pass, maxPass, now)
	for i := range loads {
		if loads[i].Throttled {
			excluded = append(excluded, i)
		}
	}
	return excluded
}

func newExclusions(n int) []*exclusion {
	exclusions := make([]*exclusion, n)
	for i := range exclusions {
		exclusions[i] = &exclusion{}
	}
	return exclusions
}

// TestExcludedRanks guards against decisions that take out ranks without making passes shorter,
// or more of them than is allowed.
func TestExcludedRanks(t *testing.T) {
	draining := ranksWith(3, 6)
	draining[1].Unavailable, draining[2].Unavailable = true, true
	full, nearlyFull := ranksWith(10, 2), ranksWith(10, 2)
	for i := range full {
		full[i].Reported, nearlyFull[i].Reported = 10, 10
	}
	nearlyFull[9].Reported = 9
	testCases := []struct {
		name  string
		loads []pick.Load
		pass  time.Duration
		want  []int
	}{
		{name: "none is slow", loads: ranksWith(63)},
		{name: "one is slow", loads: ranksWith(63, 6), want: []int{0}},
		{name: "one is slightly slow", loads: ranksWith(63, 1.25)},
		{name: "many are slightly slow", loads: ranksWith(63, slices.Repeat([]float64{1.25}, 40)...)},
		{name: "many are slow, one is slower", loads: ranksWith(63, slices.Concat(slices.Repeat([]float64{1.5}, 40), []float64{6})...), want: []int{40}},
		{name: "all are slow", loads: ranksWith(10, slices.Repeat([]float64{6}, 10)...)},
		{name: "most are slow", loads: ranksWith(10, slices.Repeat([]float64{6}, 7)...)},
		{name: "as many as may be excluded", loads: ranksWith(10, 6, 1, 6), want: []int{0, 2}},
		{name: "the slowest of too many", loads: ranksWith(10, 2, 6, 8, 2), want: []int{1, 2}},
		{name: "the only rank", loads: ranksWith(1, 6)},
		{name: "one of two, whose slots outweigh shorter passes", loads: ranksWith(2, 1.9)},
		{name: "one of two", loads: ranksWith(2, 2.1), want: []int{0}},
		{name: "the only rank that is available", loads: draining},
		{name: "the others are full and passes short enough", loads: full, pass: 45 * time.Millisecond},
		{name: "the others are full and passes too long", loads: full, pass: 46 * time.Millisecond, want: []int{0}},
		{name: "another one has a slot", loads: nearlyFull, pass: 45 * time.Millisecond, want: []int{0}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			got := excludedOf(tc.loads, newExclusions(len(tc.loads)), tc.pass, 90*time.Millisecond, now)
			require.Equal(t, tc.want, got)
		})
	}
}

// TestSlowRankIsReadmitted guards against a rank that is used again too early or too much at
// once, and against one that changes its state while its pace varies around a threshold.
func TestSlowRankIsReadmitted(t *testing.T) {
	// Each report lasts 100 ms. Limit is the number of requests at which the rank gets no more,
	// 0 while it is excluded and -1 if there is no limit.
	testCases := []struct {
		name   string
		paces  []float64
		limits []int
	}{
		{"recovers at once", []float64{6, 1, 1, 1, 1, 1, 1}, []int{0, 0, 0, 0, 5, 6, 7}},
		{"until its slots are used", []float64{6, 1, 1, 1, 1, 1, 1, 1, 1, 1}, []int{0, 0, 0, 0, 5, 6, 7, 8, 9, -1}},
		{"reports a fast pace too briefly", []float64{6, 1, 1, 1, 1.2, 1, 1, 1, 1}, []int{0, 0, 0, 0, 0, 0, 0, 0, 5}},
		{"varies around a threshold", []float64{1.29, 1.31, 1.29, 1.31, 1.16, 1.29}, []int{-1, 0, 0, 0, 0, 0}},
		{"becomes slow again", []float64{6, 1, 1, 1, 1, 6, 1}, []int{0, 0, 0, 0, 5, 0, 0}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			now, exclusions := time.Unix(1000, 0), newExclusions(10)
			for i, pace := range tc.paces {
				excludedOf(ranksWith(10, pace), exclusions, 0, 0, now)
				limit := 0
				if !exclusions[0].excluded {
					limit = exclusions[0].limit(10, now)
				}
				require.Equal(t, tc.limits[i], limit, "report %d", i)
				now = now.Add(reportsEach)
			}
		})
	}
}

// TestFalseReportsExcludeFewRanks has agents report a pace of 6 in turns. However they alternate, the
// group keeps the share of its ranks that may not be excluded.
func TestFalseReportsExcludeFewRanks(t *testing.T) {
	const ranks = 20
	now, exclusions := time.Unix(1000, 0), newExclusions(ranks)
	for round := range 100 {
		loads := ranksWith(ranks)
		for i := range 1 + round%7 {
			loads[(3*round+i)%ranks].Pace = 6
		}
		excludedOf(loads, exclusions, 0, 0, now)
		excluded := 0
		for _, x := range exclusions {
			if x.excluded {
				excluded++
			}
		}
		require.LessOrEqual(t, excluded, int(maxExcludedShare*ranks))
		now = now.Add(reportsEach)
	}
}

// TestPaceIsForgottenWithoutReports has the agent of a slow rank fall silent, as when it restarts.
// The rank must not remain excluded for a pace that nobody reports any more.
func TestPaceIsForgottenWithoutReports(t *testing.T) {
	for _, othersReport := range []bool{true, false} {
		now := time.Unix(1000, 0)
		s := newModelService(2, 4)
		s.now = func() time.Time { return now }
		slow, other := s.endpoints[0], s.endpoints[1]
		report := func(e *endpoint, pace float64) {
			require.True(t, s.UpdateFromAgent(e.spec.Address().Addr(), AgentReport{Accepting: true, Pace: pace}))
		}
		report(slow, 6)
		report(other, 1)
		require.True(t, s.loads(nil, now)[0].Throttled)
		for range 9 {
			now = now.Add(reportsEach)
			if othersReport {
				report(other, 1)
			}
			s.Tick()
		}
		require.False(t, slow.exclusion.excluded)
		if othersReport {
			report(slow, 1)
		}
		require.False(t, s.loads(nil, now)[0].Throttled)
	}
}

// BenchmarkChooseEndpoint measures a whole decision of a model service with a slow rank, and of a
// plain service with ramps and response times.
func BenchmarkChooseEndpoint(b *testing.B) {
	for _, n := range []int{63, 860} {
		for _, isModel := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d/model=%v", n, isModel), func(b *testing.B) {
				s := newModelService(n, 10)
				now := time.Unix(1000, 0)
				s.isModelService, s.meanRunTime, s.now = isModel, time.Second, func() time.Time { return now }
				for i, e := range s.endpoints {
					// An entry of a fleet of 105 uses about a tenth of 860 endpoints.
					e.unused = n > 63 && i%10 > 0
					e.reported, e.reportedAt, e.hasAgent = i%9, now, isModel
					s.startRamp(e, now, "benchmark")
				}
				s.endpoints[n/2].pace = 6
				b.ReportAllocs()
				for b.Loop() {
					s.choose(Request{}, now)
				}
			})
		}
	}
}
