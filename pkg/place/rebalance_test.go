package place_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/place"
)

// inTurn is the map that ranks start with: experts in turn, places left free.
func inTurn(experts, ranks int) *place.Map {
	lists := make([][]int, ranks)
	for expert := range experts {
		lists[expert%ranks] = append(lists[expert%ranks], expert)
	}
	return place.FromRanks(lists, experts)
}

// powerLaw returns loads that fall by a power of their rank, in random order.
func powerLaw(random *rand.Rand, experts int, skew float64) []float64 {
	loads := make([]float64, experts)
	for i, at := range random.Perm(experts) {
		loads[at] = 1 / math.Pow(float64(i+1), skew)
	}
	return loads
}

func TestRebalanceReachesTheBoundByAPathOfMaps(t *testing.T) {
	testCases := []struct {
		name                  string
		experts, ranks, place int
		newPerRank, steps     int
		most                  float64
	}{
		{name: "Traunsee", experts: 72, ranks: 12, place: 8, newPerRank: 3, steps: 3, most: 1.15},
		{name: "grown", experts: 252, ranks: 63, place: 5, newPerRank: 3, steps: 4, most: 1.25},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 11))
			loads := powerLaw(random, tc.experts, 0.9)
			m := inTurn(tc.experts, tc.ranks)
			for range tc.steps {
				m, _ = place.Rebalance(m, loads, place.Bounds{Places: tc.place, NewPerRank: tc.newPerRank})
			}
			sum := 0.0
			for _, load := range loads {
				sum += load
			}
			bound := place.LowerBound(loads, tc.ranks, tc.place) / (sum / float64(tc.ranks))
			require.LessOrEqual(t, m.Skew(loads), tc.most*bound, "bound %v", bound)
		})
	}
}

// TestASlowRankGetsLittle plays a rank that has become six times slower: all ranks
// wait for it in each pass.
func TestASlowRankGetsLittle(t *testing.T) {
	const slow, pace = 4, 6
	loads := powerLaw(rand.New(rand.NewPCG(7, 11)), 72, 0.9)
	paces := make([]float64, 12)
	for rank := range paces {
		paces[rank] = 1
	}
	m := inTurn(72, 12)
	for range 3 {
		m, _ = place.Rebalance(m, loads, place.Bounds{Places: 8, NewPerRank: 3})
	}
	require.Greater(t, m.PacedSkew(loads, paces), 1.0)
	paces[slow] = pace
	before := m.PacedSkew(loads, paces)
	require.Greater(t, before, 4.5)
	for range 4 {
		m, _ = place.Rebalance(m, loads, place.Bounds{Places: 8, NewPerRank: 3, Paces: paces})
	}
	// Eleven ranks could bear all of the load at 1.09 times the mean.
	require.Less(t, m.PacedSkew(loads, paces), 1.3, "it was %v", before)
}

func TestRebalanceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 10).Draw(t, "ranks")
		experts := ranks * rapid.IntRange(1, 5).Draw(t, "each")
		bounds := place.Bounds{
			Places:     experts/ranks + rapid.IntRange(0, 3).Draw(t, "free"),
			NewPerRank: rapid.IntRange(1, 3).Draw(t, "new"),
			PerCopy:    rapid.Float64Range(0, 0.2).Draw(t, "price"),
			Paces:      rapid.SliceOfN(rapid.Float64Range(0.5, 8), 0, ranks).Draw(t, "paces"),
		}
		loads := rapid.SliceOfN(rapid.Float64Range(0, 10), experts, experts).Draw(t, "loads")
		m := inTurn(experts, ranks)
		for range 3 {
			next, loaded := place.Rebalance(m, loads, bounds)
			require.Equal(t, next.AddedReplicas(m), loaded)
			held := make([]int, experts)
			for rank, list := range next.Ranks() {
				require.LessOrEqual(t, len(list), bounds.Places)
				fresh := 0
				seen := make(map[int]bool)
				for _, expert := range list {
					require.False(t, seen[expert], "an expert twice on a rank")
					seen[expert] = true
					held[expert]++
					if !contains(m.Ranks()[rank], expert) {
						fresh++
					}
				}
				require.LessOrEqual(t, fresh, bounds.NewPerRank)
			}
			for expert, count := range held {
				require.Positive(t, count, "expert %d is on no rank", expert)
				require.Equal(t, count, next.Replicas(expert))
			}
			require.LessOrEqual(t, next.PacedSkew(loads, bounds.Paces), m.PacedSkew(loads, bounds.Paces)+1e-9)
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
		experts, ranks, place int
	}{{"12x72", 72, 12, 8}, {"63x252", 252, 63, 5}, {"64x128", 128, 64, 3}} {
		b.Run(size.name, func(b *testing.B) {
			loads := powerLaw(rand.New(rand.NewPCG(1, 2)), size.experts, 0.9)
			m := inTurn(size.experts, size.ranks)
			for b.Loop() {
				place.Rebalance(m, loads, place.Bounds{Places: size.place, NewPerRank: 3})
			}
		})
	}
}
