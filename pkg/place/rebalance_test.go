package place_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/place"
)

// roundRobin returns the map that ranks start with: one replica of each expert,
// assigned in turn, and the other slots free.
func roundRobin(experts, ranks int) *place.Map {
	lists := make([][]int, ranks)
	for expert := range experts {
		lists[expert%ranks] = append(lists[expert%ranks], expert)
	}
	return place.FromRanks(lists, experts)
}

// powerLaw returns loads that decrease by the power skew of their position, in
// random order.
func powerLaw(random *rand.Rand, experts int, skew float64) []float64 {
	loads := make([]float64, experts)
	for i, at := range random.Perm(experts) {
		loads[at] = 1 / math.Pow(float64(i+1), skew)
	}
	return loads
}

// TestRebalanceReachesTheBoundByAPathOfMaps checks that a few calls of Rebalance
// bring the skew near its lower bound although each call limits the experts that a
// rank loads.
func TestRebalanceReachesTheBoundByAPathOfMaps(t *testing.T) {
	testCases := []struct {
		name                  string
		experts, ranks, slots int
		newPerRank, steps     int
		maxSkew               float64
	}{
		{name: "Traunsee", experts: 72, ranks: 12, slots: 8, newPerRank: 3, steps: 3, maxSkew: 1.15},
		{name: "grown", experts: 252, ranks: 63, slots: 5, newPerRank: 3, steps: 4, maxSkew: 1.25},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 11))
			loads := powerLaw(random, tc.experts, 0.9)
			m := roundRobin(tc.experts, tc.ranks)
			for range tc.steps {
				m, _ = place.Rebalance(m, loads, place.RebalanceOptions{Slots: tc.slots, MaxNewPerRank: tc.newPerRank})
			}
			sum := 0.0
			for _, load := range loads {
				sum += load
			}
			bound := place.LowerBound(loads, tc.ranks, tc.slots) / (sum / float64(tc.ranks))
			require.LessOrEqual(t, m.Skew(loads), tc.maxSkew*bound, "bound %v", bound)
		})
	}
}

// TestASlowRankGetsLittle guards against a map that leaves its load on a slow rank,
// for which all ranks wait in each pass. One rank becomes six times slower.
func TestASlowRankGetsLittle(t *testing.T) {
	const slow, slowdown = 4, 6
	loads := powerLaw(rand.New(rand.NewPCG(7, 11)), 72, 0.9)
	slowdowns := make([]float64, 12)
	for rank := range slowdowns {
		slowdowns[rank] = 1
	}
	m := roundRobin(72, 12)
	for range 3 {
		m, _ = place.Rebalance(m, loads, place.RebalanceOptions{Slots: 8, MaxNewPerRank: 3})
	}
	require.Greater(t, m.PassTimeSkew(loads, slowdowns), 1.0)
	slowdowns[slow] = slowdown
	before := m.PassTimeSkew(loads, slowdowns)
	require.Greater(t, before, 4.5)
	for range 4 {
		m, _ = place.Rebalance(m, loads, place.RebalanceOptions{Slots: 8, MaxNewPerRank: 3, Slowdowns: slowdowns})
	}
	// The other eleven ranks could take all of the load at 1.09 times the mean.
	require.Less(t, m.PassTimeSkew(loads, slowdowns), 1.3, "it was %v", before)
}

func TestRebalanceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 10).Draw(t, "ranks")
		experts := ranks * rapid.IntRange(1, 5).Draw(t, "per rank")
		opts := place.RebalanceOptions{
			Slots:          experts/ranks + rapid.IntRange(0, 3).Draw(t, "free"),
			MaxNewPerRank:  rapid.IntRange(1, 3).Draw(t, "new"),
			CostPerReplica: rapid.Float64Range(0, 0.2).Draw(t, "cost"),
			Slowdowns:      rapid.SliceOfN(rapid.Float64Range(0.5, 8), 0, ranks).Draw(t, "slowdowns"),
		}
		loads := rapid.SliceOfN(rapid.Float64Range(0, 10), experts, experts).Draw(t, "loads")
		m := roundRobin(experts, ranks)
		for range 3 {
			next, loaded := place.Rebalance(m, loads, opts)
			require.Equal(t, next.AddedReplicas(m), loaded)
			held := make([]int, experts)
			for rank, list := range next.Ranks() {
				require.LessOrEqual(t, len(list), opts.Slots)
				added := 0
				seen := make(map[int]bool)
				for _, expert := range list {
					require.False(t, seen[expert], "a rank holds an expert twice")
					seen[expert] = true
					held[expert]++
					if !contains(m.Ranks()[rank], expert) {
						added++
					}
				}
				require.LessOrEqual(t, added, opts.MaxNewPerRank)
			}
			for expert, count := range held {
				require.Positive(t, count, "expert %d is on no rank", expert)
				require.Equal(t, count, next.Replicas(expert))
			}
			require.LessOrEqual(t, next.PassTimeSkew(loads, opts.Slowdowns), m.PassTimeSkew(loads, opts.Slowdowns)+1e-9)
			m = next
		}
	})
}

func contains(list []int, value int) bool {
	for _, have := range list {
		if have == value {
			return true
		}
	}
	return false
}

func BenchmarkRebalance(b *testing.B) {
	for _, size := range []struct {
		name                  string
		experts, ranks, slots int
	}{{"12x72", 72, 12, 8}, {"63x252", 252, 63, 5}, {"64x128", 128, 64, 3}} {
		b.Run(size.name, func(b *testing.B) {
			loads := powerLaw(rand.New(rand.NewPCG(1, 2)), size.experts, 0.9)
			m := roundRobin(size.experts, size.ranks)
			for b.Loop() {
				place.Rebalance(m, loads, place.RebalanceOptions{Slots: size.slots, MaxNewPerRank: 3})
			}
		})
	}
}
