// Package place assigns experts to the ranks of a model group. It minimizes the
// load of the most loaded rank, since all other ranks wait for that one in each
// forward pass.
//
// A Map records which experts each rank holds. A rank has a fixed number of slots.
// Each expert has at least one replica; hot experts have several, which share the
// expert's load evenly. FromScratch computes a map without regard to an earlier
// one. Improve changes a map by single moves and keeps only as many as pay for the
// bytes that they load within a horizon, so that noise in the loads moves nothing.
// Rebalance also fills and empties slots, and limits what one rank loads at a time.
//
// All functions are deterministic.
package place

import (
	"cmp"
	"slices"
)

// Map records which experts each rank holds. It is immutable. Use FromScratch,
// Greedy, RoundRobin or FromRanks.
type Map struct {
	ranks    [][]int
	replicas []int
}

// Ranks returns the experts of each rank. The caller must not change them.
func (m *Map) Ranks() [][]int { return m.ranks }

// Replicas returns the number of ranks that hold an expert.
func (m *Map) Replicas(expert int) int { return m.replicas[expert] }

// Loads returns the load of each rank for the given loads of the experts.
func (m *Map) Loads(experts []float64) []float64 {
	loads := make([]float64, len(m.ranks))
	for rank, held := range m.ranks {
		for _, expert := range held {
			loads[rank] += experts[expert] / float64(m.replicas[expert])
		}
	}
	return loads
}

// Skew returns the load of the most loaded rank divided by the mean load.
func (m *Map) Skew(experts []float64) float64 { return m.PassTimeSkew(experts, nil) }

// PassTimeSkew returns the time that the slowest rank takes for its load, divided
// by the mean time that the ranks would take without any slowdown. The slowdowns
// have one factor for each rank, or are nil: a rank with a slowdown of 2 takes twice
// as long for the same load.
func (m *Map) PassTimeSkew(experts, slowdowns []float64) float64 {
	loads := m.Loads(experts)
	sum, maxLoad := 0.0, 0.0
	for rank, load := range loads {
		sum += load
		maxLoad = max(maxLoad, load*slowdownOf(slowdowns, rank))
	}
	if sum == 0 {
		return 1
	}
	return maxLoad * float64(len(loads)) / sum
}

// slowdownOf returns the slowdown of a rank, 1 if it is unknown or less than 1.
func slowdownOf(slowdowns []float64, rank int) float64 {
	if rank < len(slowdowns) && slowdowns[rank] > 1 {
		return slowdowns[rank]
	}
	return 1
}

// AddedReplicas returns the number of replicas in m that before doesn't have on the
// same rank. Each of them must be loaded.
func (m *Map) AddedReplicas(before *Map) int {
	added := 0
	for rank, held := range m.ranks {
		for _, expert := range held {
			if !slices.Contains(before.ranks[rank], expert) {
				added++
			}
		}
	}
	return added
}

func (m *Map) clone() *Map {
	c := &Map{replicas: slices.Clone(m.replicas)}
	for _, held := range m.ranks {
		c.ranks = append(c.ranks, slices.Clone(held))
	}
	return c
}

// RoundRobin returns the map that assigns experts to ranks in turn, without regard
// to load. Slots that are left over hold further replicas of the first experts. The
// ranks must have at least as many slots as there are experts.
func RoundRobin(experts, ranks, slots int) *Map {
	m := &Map{ranks: make([][]int, ranks), replicas: make([]int, experts)}
	for i := range ranks * slots {
		// Each round starts one rank later, so that the replicas of an expert are on
		// different ranks.
		rank, expert := (i+i/experts)%ranks, i%experts
		if !slices.Contains(m.ranks[rank], expert) {
			m.ranks[rank] = append(m.ranks[rank], expert)
			m.replicas[expert]++
		}
	}
	return m
}

// LowerBound returns a lower bound on the load of the most loaded rank of any map.
// It is the greater of the mean load and of the load of one replica of the hottest
// expert when that expert has as many replicas as the slots for all others allow.
func LowerBound(experts []float64, ranks, slots int) float64 {
	sum := 0.0
	for _, load := range experts {
		sum += load
	}
	maxReplicas := float64(min(ranks, ranks*slots-len(experts)+1))
	return max(sum/float64(ranks), slices.Max(experts)/maxReplicas)
}

// replicaCounts returns the number of replicas of each expert: one, and each spare
// slot goes to the expert with the highest load per replica.
func replicaCounts(experts []float64, ranks, slots int) []int {
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

// Greedy returns the map of the longest-processing-time rule with one replica of
// each expert: in descending order of load, each expert goes to the least loaded
// rank with a free slot.
func Greedy(experts []float64, ranks, slots int) *Map {
	counts := make([]int, len(experts))
	for i := range counts {
		counts[i] = 1
	}
	return assignReplicas(experts, counts, ranks, slots)
}

// FromScratch returns a map that is computed without regard to an earlier one, with
// further replicas of hot experts in the spare slots.
func FromScratch(experts []float64, ranks, slots int) *Map {
	m := assignReplicas(experts, replicaCounts(experts, ranks, slots), ranks, slots)
	improved, _ := Improve(m, experts, FreeMoves())
	return improved
}

// replica is a replica of an expert that is to be assigned to a rank.
type replica struct {
	expert int
	load   float64
}

// assignReplicas assigns the given number of replicas of each expert to ranks by the
// longest-processing-time rule. A replica for which no rank has room is left out.
func assignReplicas(experts []float64, replicas []int, ranks, slots int) *Map {
	var pending []replica
	for expert, count := range replicas {
		for range count {
			pending = append(pending, replica{expert: expert, load: experts[expert] / float64(count)})
		}
	}
	slices.SortStableFunc(pending, func(a, b replica) int { return cmp.Compare(b.load, a.load) })
	m := &Map{ranks: make([][]int, ranks), replicas: make([]int, len(experts))}
	loads := make([]float64, ranks)
	for _, r := range pending {
		best := -1
		for rank := range ranks {
			free := len(m.ranks[rank]) < slots && !slices.Contains(m.ranks[rank], r.expert)
			if free && (best < 0 || loads[rank] < loads[best]) {
				best = rank
			}
		}
		if best < 0 {
			continue
		}
		m.ranks[best] = append(m.ranks[best], r.expert)
		m.replicas[r.expert]++
		loads[best] += r.load
	}
	return m
}
