package demand_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/demand"
)

func TestDemandsOfAnotherShapeAreRefused(t *testing.T) {
	_, err := demand.New(2, 2, []byte{255, 0, 3, 255})
	require.NoError(t, err)
	for _, shape := range [][2]int{{2, 1}, {0, 2}, {-2, -2}, {1 << 32, 1 << 32}} {
		_, err := demand.New(shape[0], shape[1], []byte{255, 0, 3, 255})
		require.Error(t, err, "%v", shape)
	}
	_, err = demand.New(2, 2, []byte{255, 0, 0, 0})
	require.Error(t, err, "a set without weights")
}

// TestSharesSurviveEncoding guards against a stored demand that differs from the counts by
// more than its rounding, a half of 1/255 of the highest share for each expert.
func TestSharesSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.SliceOfN(rapid.Float64Range(0, 1000), 8, 8), 1, 4).Draw(t, "loads")
		for set := range loads {
			loads[set][0] = 1000
		}
		d := demand.FromLoads(loads)
		require.NotNil(t, d)
		decoded, err := demand.New(d.Sets(), d.Experts(), d.Weights())
		require.NoError(t, err)
		require.Zero(t, demand.Distance(d, decoded))
		for set, merged := range demand.NewCounter(len(loads), 8, time.Second).LoadsWith(decoded, 1000) {
			for expert, load := range loads[set] {
				require.InDelta(t, load/1000, merged[expert]/merged[0], 0.002)
			}
		}
	})
}

func TestDistance(t *testing.T) {
	newDemand := func(weights ...byte) *demand.Demand {
		d, err := demand.New(2, len(weights)/2, weights)
		require.NoError(t, err)
		return d
	}
	base := newDemand(255, 0, 100, 100)
	require.Zero(t, demand.Distance(base, newDemand(100, 0, 255, 255)), "only shares count")
	require.InDelta(t, 1.0, demand.Distance(base, newDemand(0, 255, 100, 100)), 1e-9, "one of two sets has changed")
	require.InDelta(t, 2.0, demand.Distance(base, nil), 1e-9)
	require.InDelta(t, 2.0, demand.Distance(base, newDemand(1, 1, 1, 1, 1, 1)), 1e-9)
	require.Nil(t, demand.FromLoads([][]float64{{1, 2}, {0, 0}}), "a set that no request has used")
}

// TestWritesAreRare guards against calls to the store, which are charged, for a demand that
// it has already, more often than each 4 s, or while it fails.
func TestWritesAreRare(t *testing.T) {
	demands := make([]*demand.Demand, 3)
	for i := range demands {
		weights := make([]byte, 3)
		weights[i] = 255
		var err error
		demands[i], err = demand.New(1, 3, weights)
		require.NoError(t, err)
	}
	var writer demand.Writer
	now := time.Unix(1000, 0)
	step := func(span time.Duration, stored *demand.Demand) *demand.Demand {
		now = now.Add(span)
		return writer.Next(stored, time.Time{}, now)
	}
	require.Nil(t, step(time.Second, nil), "nothing is offered")
	writer.Offer(demands[0], 1e6)
	require.Equal(t, demands[0], step(time.Second, nil))
	require.Nil(t, step(5*time.Second, demands[0]))
	writer.Offer(demands[0], 1e6)
	require.Nil(t, step(5*time.Second, demands[0]), "the store has it")
	writer.Offer(demands[1], 1e6)
	require.Equal(t, demands[1], step(time.Second, demands[0]))
	writer.Offer(demands[2], 1e6)
	require.Nil(t, step(3*time.Second, demands[0]))
	require.Equal(t, demands[2], step(time.Second, demands[0]), "the last one offered is written after 4 s")
	writer.Offer(demands[1], 1e6)
	require.Nil(t, step(5*time.Second, demands[2]), "another process has just written")
	require.Equal(t, demands[1], step(4*time.Second, demands[2]))
	writer.Offer(demands[2], 1e6)
	require.Nil(t, writer.Next(demands[1], now, now.Add(900*time.Millisecond)), "the store has just failed")
	require.Nil(t, step(9*time.Second, demands[1]), "the demand was dropped")
}

// TestChanceIsNoChange guards against writes for a demand that stays the same, but is counted
// from few choices.
func TestChanceIsNoChange(t *testing.T) {
	const sets, experts = 4, 200
	random := rand.New(rand.NewPCG(1, 2))
	for _, perExpert := range []float64{10, 100, 1000} {
		count := func(shift int) *demand.Demand {
			loads := make([][]float64, sets)
			for set := range loads {
				for expert := range experts {
					mean := perExpert * float64(1+(expert+shift)%4) / 2.5
					loads[set] = append(loads[set], math.Max(0, mean+math.Sqrt(mean)*random.NormFloat64()))
				}
			}
			return demand.FromLoads(loads)
		}
		d := count(0)
		bound := d.MinChange(perExpert * sets * experts)
		for range 50 {
			require.Less(t, demand.Distance(d, count(0)), bound, "%v choices of each expert", perExpert)
		}
		if perExpert >= 100 {
			require.Greater(t, demand.Distance(d, count(1)), bound, "the demand has changed")
		}
	}
	require.InDelta(t, 1.0, demand.FromLoads([][]float64{{1}}).MinChange(0), 1e-9)
}

// BenchmarkDemand measures what a leader does with each report of counts, and each 2 s, in a
// group of 8 sets of 252 experts.
func BenchmarkDemand(b *testing.B) {
	const sets, experts = 8, 252
	counts := make([]uint32, sets*experts)
	for i := range counts {
		counts[i] = uint32(1 + i%9)
	}
	counter, now := demand.NewCounter(sets, experts, time.Second), time.Unix(1000, 0)
	counter.Add(counts, now)
	b.Run("count", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			counter.Add(counts, now)
		}
	})
	b.Run("encode and compare", func(b *testing.B) {
		previous := demand.FromLoads(counter.Loads())
		for b.Loop() {
			demand.Distance(demand.FromLoads(counter.Loads()), previous)
		}
	})
}

// TestRestoredDemandOutlastsAFailedCall guards against a demand that the store has lost and that is
// dropped since the store was away just before.
func TestRestoredDemandOutlastsAFailedCall(t *testing.T) {
	now := time.Unix(1000, 0)
	lost, err := demand.New(1, 3, []byte{255, 0, 7})
	require.NoError(t, err)
	var writer demand.Writer
	writer.Restore(lost)
	require.Nil(t, writer.Next(nil, now, now), "the store has just failed")
	require.Equal(t, lost, writer.Next(nil, now, now.Add(5*time.Second)))
	writer.Restore(lost)
	require.Nil(t, writer.Next(lost, now, now.Add(20*time.Second)), "the store has it")
}

// TestRestoredDemandDoesNotReplaceLaterOne guards against a process that writes the demand from before a
// recovery of the store over one that another process has written after it.
func TestRestoredDemandDoesNotReplaceLaterOne(t *testing.T) {
	now := time.Unix(1000, 0)
	demands := make([]*demand.Demand, 3)
	for n := range demands {
		weights := make([]byte, 3)
		weights[n] = 255
		var err error
		demands[n], err = demand.New(1, 3, weights)
		require.NoError(t, err)
	}
	copied, known, later := demands[0], demands[1], demands[2]
	var writer demand.Writer
	writer.Restore(known)
	require.Nil(t, writer.Next(copied, time.Time{}, now))
	require.Nil(t, writer.Next(later, time.Time{}, now.Add(time.Second)))
	require.Nil(t, writer.Next(later, time.Time{}, now.Add(10*time.Second)))
}
