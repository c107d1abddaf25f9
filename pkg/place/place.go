// Package place assigns experts to ranks so that the fullest rank, which all
// others wait for in each step, is as little loaded as possible.
//
// A Map says which experts each rank holds. A rank has a fixed number of slots;
// each expert stands in at least one, and hot experts stand in several, between
// which their load is shared evenly. Fresh makes a map from nothing. Improve
// changes a map by single moves, and keeps only as many as pay for the bytes that
// they load within a horizon: a popularity that only trembles moves nothing.
//
// All functions are deterministic.
package place

import (
	"cmp"
	"slices"
)

// Map says which experts stand on which rank. It is immutable. Use Fresh,
// Static or Improve.
type Map struct {
	ranks    [][]int
	replicas []int
}

// Ranks returns the experts of each rank. The caller must not change them.
func (m *Map) Ranks() [][]int { return m.ranks }

// Replicas returns on how many ranks an expert stands.
func (m *Map) Replicas(expert int) int { return m.replicas[expert] }

// Loads returns the load of each rank if the experts have the given loads.
func (m *Map) Loads(experts []float64) []float64 {
	loads := make([]float64, len(m.ranks))
	for rank, held := range m.ranks {
		for _, expert := range held {
			loads[rank] += experts[expert] / float64(m.replicas[expert])
		}
	}
	return loads
}

// Skew returns the load of the fullest rank over the mean.
func (m *Map) Skew(experts []float64) float64 { return m.PacedSkew(experts, nil) }

// PacedSkew returns how long the rank that takes longest works, over the mean of
// the ranks if all were of pace 1. Paces may be nil, or one a rank: a rank of pace
// 2 takes twice as long for the same load.
func (m *Map) PacedSkew(experts, paces []float64) float64 {
	loads := m.Loads(experts)
	sum, most := 0.0, 0.0
	for rank, load := range loads {
		sum += load
		most = max(most, load*paceOf(paces, rank))
	}
	if sum == 0 {
		return 1
	}
	return most * float64(len(loads)) / sum
}

func paceOf(paces []float64, rank int) float64 {
	if rank < len(paces) && paces[rank] > 1 {
		return paces[rank]
	}
	return 1
}

// AddedReplicas returns how many experts the ranks of m hold that those of before
// don't, each of which must be loaded.
func (m *Map) AddedReplicas(before *Map) int {
	moved := 0
	for rank, held := range m.ranks {
		for _, expert := range held {
			if !slices.Contains(before.ranks[rank], expert) {
				moved++
			}
		}
	}
	return moved
}

func (m *Map) clone() *Map {
	c := &Map{replicas: slices.Clone(m.replicas)}
	for _, held := range m.ranks {
		c.ranks = append(c.ranks, slices.Clone(held))
	}
	return c
}

// Static returns the map that places experts in order, without regard to load.
// Slots beyond the experts hold the first experts again. The ranks must have at
// least as many slots as there are experts.
func Static(experts, ranks, slots int) *Map {
	m := &Map{ranks: make([][]int, ranks), replicas: make([]int, experts)}
	for i := range ranks * slots {
		// Each round begins one rank later, so that replicas stand apart.
		rank, expert := (i+i/experts)%ranks, i%experts
		if !slices.Contains(m.ranks[rank], expert) {
			m.ranks[rank] = append(m.ranks[rank], expert)
			m.replicas[expert]++
		}
	}
	return m
}

// LowerBound returns a load that the fullest rank of no map can be below: the
// mean, and what is left on a rank when the hottest expert stands on all ranks
// but the others need their slots.
func LowerBound(experts []float64, ranks, slots int) float64 {
	sum := 0.0
	for _, load := range experts {
		sum += load
	}
	most := float64(min(ranks, ranks*slots-len(experts)+1))
	return max(sum/float64(ranks), slices.Max(experts)/most)
}

// replicate decides how many slots each expert gets: one, and each spare slot
// goes to the expert with the highest load a slot.
func replicate(experts []float64, ranks, slots int) []int {
	replicas := make([]int, len(experts))
	for i := range replicas {
		replicas[i] = 1
	}
	for range ranks*slots - len(experts) {
		hottest := -1
		for i := range experts {
			if replicas[i] < ranks && (hottest < 0 || experts[i]/float64(replicas[i]) > experts[hottest]/float64(replicas[hottest])) {
				hottest = i
			}
		}
		if hottest < 0 {
			break
		}
		replicas[hottest]++
	}
	return replicas
}

// Greedy returns the map by longest processing time without replicas: experts
// in falling order of load, each to the least loaded rank with a free slot.
func Greedy(experts []float64, ranks, slots int) *Map {
	ones := make([]int, len(experts))
	for i := range ones {
		ones[i] = 1
	}
	return distribute(experts, ones, ranks, slots)
}

// FromScratch returns a map made from nothing, with replicas of hot experts in spare
// slots.
func FromScratch(experts []float64, ranks, slots int) *Map {
	m := distribute(experts, replicate(experts, ranks, slots), ranks, slots)
	improved, _ := Improve(m, experts, Free())
	return improved
}

// share is one replica that waits for a rank.
type share struct {
	expert int
	load   float64
}

func distribute(experts []float64, replicas []int, ranks, slots int) *Map {
	var shares []share
	for expert, count := range replicas {
		for range count {
			shares = append(shares, share{expert: expert, load: experts[expert] / float64(count)})
		}
	}
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(b.load, a.load) })
	m := &Map{ranks: make([][]int, ranks), replicas: make([]int, len(experts))}
	loads := make([]float64, ranks)
	for _, s := range shares {
		best := -1
		for rank := range ranks {
			free := len(m.ranks[rank]) < slots && !slices.Contains(m.ranks[rank], s.expert)
			if free && (best < 0 || loads[rank] < loads[best]) {
				best = rank
			}
		}
		if best < 0 {
			continue
		}
		m.ranks[best] = append(m.ranks[best], s.expert)
		m.replicas[s.expert]++
		loads[best] += s.load
	}
	return m
}
