package place

import (
	"cmp"
	"slices"
)

// Bounds bounds one rebalancing of a map.
type Bounds struct {
	// Places is how many experts a rank may hold.
	Places int
	// NewPerRank is how many experts a rank may load in one step.
	NewPerRank int
	// PerCopy is what loading one expert must be worth, in mean loads of a rank.
	PerCopy float64
	// Paces are the ranks' paces, as of PacedSkew: slow ranks get less load.
	Paces []float64
}

// FromRanks returns the map in which each rank holds the given experts, of
// experts in all. It takes over ranks.
func FromRanks(ranks [][]int, experts int) *Map {
	m := &Map{ranks: ranks, replicas: make([]int, experts)}
	for _, held := range ranks {
		for _, expert := range held {
			m.replicas[expert]++
		}
	}
	return m
}

// Rebalance returns the map after the changes that pay, and how many experts
// ranks must load for it. Unlike Improve it also fills and empties places, and
// bounds what one rank loads, so that a map far away is reached by a path of
// maps.
func Rebalance(m *Map, experts []float64, bounds Bounds) (*Map, int) {
	r := newRebalance(m, experts, bounds)
	if r.mean <= 0 {
		return m, 0
	}
	best, bestNet, bestLoaded, loaded := m, 0.0, 0, 0
	first := slices.Max(r.loads)
	for range maxMoves {
		next, ok := r.best()
		if !ok {
			break
		}
		r.apply(next)
		loaded = r.loaded()
		net := (first-slices.Max(r.loads))/r.mean - bounds.PerCopy*float64(loaded)
		if net > bestNet+epsilon {
			best, bestNet, bestLoaded = r.m.clone(), net, loaded
		}
	}
	return best, bestLoaded
}

// power is the power of the loads that changes make smaller: high enough that the
// fullest rank counts most, and still smooth where several are as full.
func power(load float64) float64 {
	load *= load
	load *= load
	return load * load
}

// rebalance is a map that is being changed.
type rebalance struct {
	m       *Map
	before  *Map
	experts []float64
	bounds  Bounds
	// loads are by how long ranks take, mean by what they are given.
	loads   []float64
	mean    float64
	where   [][]int
	powers  []float64
	delta   []float64
	touched []int
	order   []int
}

// swap is one change: the rank to gets the expert add in place of drop, and the
// fullest rank may give add away and may take drop in turn.
type swap struct {
	from, to  int
	add, drop int
	give      bool
	take      bool
}

// noExpert stands for a free place.
const noExpert = -1

func newRebalance(m *Map, experts []float64, bounds Bounds) *rebalance {
	r := &rebalance{
		m: m.clone(), before: m, experts: experts, bounds: bounds,
		loads: m.Loads(experts), where: make([][]int, len(experts)), delta: make([]float64, len(m.ranks)),
	}
	for rank, held := range m.ranks {
		r.mean += r.loads[rank] / float64(len(m.ranks))
		r.loads[rank] *= paceOf(bounds.Paces, rank)
		for _, expert := range held {
			r.where[expert] = append(r.where[expert], rank)
		}
	}
	for _, load := range r.loads {
		r.powers = append(r.powers, power(load/r.mean))
	}
	return r
}

// newOn returns how many experts a rank holds that it did not hold before.
func (r *rebalance) newOn(rank int) int {
	count := 0
	for _, expert := range r.m.ranks[rank] {
		if !slices.Contains(r.before.ranks[rank], expert) {
			count++
		}
	}
	return count
}

func (r *rebalance) loaded() int { return r.m.AddedReplicas(r.before) }

// best returns the change that makes the loads most even, beginning at the
// fullest rank. It reports false if none does.
func (r *rebalance) best() (swap, bool) {
	full := 0
	for rank, load := range r.loads {
		if load > r.loads[full] {
			full = rank
		}
	}
	fullHasRoom := r.newOn(full) < r.bounds.NewPerRank
	var chosen swap
	most := -epsilon
	consider := func(s swap) {
		if gain := r.gain(s); gain < most {
			most, chosen = gain, s
		}
	}
	for _, expert := range r.m.ranks[full] {
		if r.m.replicas[expert] > 1 {
			consider(swap{from: full, to: -1, add: expert, drop: noExpert, give: true})
		}
	}
	for _, to := range r.receivers(full) {
		held := r.m.ranks[to]
		toHasRoom := r.newOn(to) < r.bounds.NewPerRank
		for _, add := range r.m.ranks[full] {
			mayLoad := toHasRoom || slices.Contains(r.before.ranks[to], add)
			if slices.Contains(held, add) || !mayLoad {
				continue
			}
			if len(held) < r.bounds.Places {
				consider(swap{from: full, to: to, add: add, drop: noExpert})
				consider(swap{from: full, to: to, add: add, drop: noExpert, give: true})
			}
			for _, drop := range held {
				if r.m.replicas[drop] > 1 {
					consider(swap{from: full, to: to, add: add, drop: drop})
					consider(swap{from: full, to: to, add: add, drop: drop, give: true})
				}
				if !slices.Contains(r.m.ranks[full], drop) && (fullHasRoom || slices.Contains(r.before.ranks[full], drop)) {
					consider(swap{from: full, to: to, add: add, drop: drop, give: true, take: true})
				}
			}
		}
	}
	return chosen, most < -epsilon
}

// maxReceivers bounds the ranks that a change may load: of many ranks the least
// loaded ones serve as well as all, at a fraction of the time.
const maxReceivers = 14

// receivers returns the ranks that may take load from the fullest one.
func (r *rebalance) receivers(full int) []int {
	r.order = r.order[:0]
	for rank := range r.loads {
		if rank != full {
			r.order = append(r.order, rank)
		}
	}
	if len(r.order) > maxReceivers {
		slices.SortFunc(r.order, func(a, b int) int { return cmp.Or(cmp.Compare(r.loads[a], r.loads[b]), a-b) })
		r.order = r.order[:maxReceivers]
	}
	return r.order
}

func (r *rebalance) shift(rank int, load float64) {
	if r.delta[rank] == 0 && !slices.Contains(r.touched, rank) {
		r.touched = append(r.touched, rank)
	}
	r.delta[rank] += load * paceOf(r.bounds.Paces, rank)
}

// recount notes what it does to the loads that an expert leaves the rank without
// and comes to the rank with; either may be -1.
func (r *rebalance) recount(expert, without, with int) {
	count := len(r.where[expert])
	after := count
	if without >= 0 {
		after--
	}
	if with >= 0 {
		after++
	}
	before, later := r.experts[expert]/float64(count), r.experts[expert]/float64(after)
	for _, rank := range r.where[expert] {
		if rank == without {
			r.shift(rank, -before)
		} else {
			r.shift(rank, later-before)
		}
	}
	if with >= 0 {
		r.shift(with, later)
	}
}

// gain returns by how much a change alters the sum of the loads' powers; less is
// better.
func (r *rebalance) gain(s swap) float64 {
	r.touched = r.touched[:0]
	r.note(s)
	change := 0.0
	for _, rank := range r.touched {
		change += power((r.loads[rank]+r.delta[rank])/r.mean) - r.powers[rank]
		r.delta[rank] = 0
	}
	return change
}

// note works out what a change does to the loads.
func (r *rebalance) note(s swap) {
	without := -1
	if s.give {
		without = s.from
	}
	r.recount(s.add, without, s.to)
	if s.drop == noExpert {
		return
	}
	with := -1
	if s.take {
		with = s.from
	}
	r.recount(s.drop, s.to, with)
}

func (r *rebalance) apply(s swap) {
	r.touched = r.touched[:0]
	r.note(s)
	for _, rank := range r.touched {
		r.loads[rank] += r.delta[rank]
		r.powers[rank] = power(r.loads[rank] / r.mean)
		r.delta[rank] = 0
	}
	if s.give {
		r.remove(s.add, s.from)
	}
	if s.drop != noExpert {
		r.remove(s.drop, s.to)
	}
	if s.to >= 0 {
		r.insert(s.add, s.to)
	}
	if s.take {
		r.insert(s.drop, s.from)
	}
}

func (r *rebalance) remove(expert, rank int) {
	is := func(want int) func(int) bool { return func(have int) bool { return have == want } }
	r.m.ranks[rank] = slices.DeleteFunc(r.m.ranks[rank], is(expert))
	r.where[expert] = slices.DeleteFunc(r.where[expert], is(rank))
	r.m.replicas[expert]--
}

func (r *rebalance) insert(expert, rank int) {
	r.m.ranks[rank] = append(r.m.ranks[rank], expert)
	r.where[expert] = append(r.where[expert], rank)
	r.m.replicas[expert]++
}
