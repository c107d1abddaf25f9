package place

import (
	"cmp"
	"slices"
)

// RebalanceOptions are the limits and costs of one call of Rebalance.
type RebalanceOptions struct {
	// Slots is how many experts a rank may hold.
	Slots int
	// MaxNewPerRank is how many experts a rank may load.
	MaxNewPerRank int
	// CostPerReplica is the cost of loading one replica, in mean loads of a rank.
	CostPerReplica float64
	// Slowdowns has the factor by which each rank is slow, as in Map.PassTimeSkew.
	// Slow ranks are assigned less load.
	Slowdowns []float64
}

// FromRanks returns the map in which each rank holds the listed experts; experts is
// their total number. The map keeps ranks, which the caller must not change.
func FromRanks(ranks [][]int, experts int) *Map {
	m := &Map{ranks: ranks, replicas: make([]int, experts)}
	for _, held := range ranks {
		for _, expert := range held {
			m.replicas[expert]++
		}
	}
	return m
}

// Rebalance returns the map after the changes that pay off, and the number of
// replicas that must be loaded for it. Unlike Improve it also fills and empties
// slots, and limits how many experts one rank loads. Large changes therefore take
// several calls, each of which gives an intermediate map.
func Rebalance(m *Map, experts []float64, opts RebalanceOptions) (*Map, int) {
	r := newRebalancer(m, experts, opts)
	if r.mean <= 0 {
		return m, 0
	}
	best, bestNet, bestLoaded, loaded := m, 0.0, 0, 0
	initialMax := slices.Max(r.loads)
	for range maxMoves {
		next, ok := r.bestChange()
		if !ok {
			break
		}
		r.apply(next)
		loaded = r.addedReplicas()
		net := (initialMax-slices.Max(r.loads))/r.mean - opts.CostPerReplica*float64(loaded)
		if net > bestNet+epsilon {
			best, bestNet, bestLoaded = r.m.clone(), net, loaded
		}
	}
	return best, bestLoaded
}

// eighthPower returns load to the eighth power. Rebalance minimizes the sum of this
// over all ranks. The exponent is high enough for the most loaded rank to dominate,
// and the sum still reflects progress while several ranks have the same load.
func eighthPower(load float64) float64 {
	load *= load
	load *= load
	return load * load
}

// rebalancer is the state of Rebalance.
type rebalancer struct {
	m       *Map
	initial *Map
	experts []float64
	opts    RebalanceOptions
	// loads are the loads of the ranks times their slowdowns; mean is the mean load
	// without the slowdowns.
	loads []float64
	mean  float64
	// ranksOf has the ranks that hold each expert.
	ranksOf [][]int
	// powers has the eighth power of each rank's load over the mean.
	powers []float64
	// delta has the load that the change being computed adds to each rank, and touched
	// the ranks whose load it changes.
	delta   []float64
	touched []int
	// receivers is the buffer of leastLoaded.
	receivers []int
}

// change adds a replica of expert to the rank to. It replaces the replica of evicted
// there, or uses a free slot if evicted is noExpert.
type change struct {
	// from is the most loaded rank. It holds the expert. If to is -1, from only gives
	// up its replica.
	from, to        int
	expert, evicted int
	// move removes the expert's replica from the rank from.
	move bool
	// exchange adds a replica of the evicted expert on the rank from.
	exchange bool
}

// noExpert is the evicted expert of a change that replaces no replica.
const noExpert = -1

func newRebalancer(m *Map, experts []float64, opts RebalanceOptions) *rebalancer {
	r := &rebalancer{
		m: m.clone(), initial: m, experts: experts, opts: opts,
		loads: m.Loads(experts), ranksOf: make([][]int, len(experts)), delta: make([]float64, len(m.ranks)),
	}
	for rank, held := range m.ranks {
		r.mean += r.loads[rank] / float64(len(m.ranks))
		r.loads[rank] *= slowdownOf(opts.Slowdowns, rank)
		for _, expert := range held {
			r.ranksOf[expert] = append(r.ranksOf[expert], rank)
		}
	}
	for _, load := range r.loads {
		r.powers = append(r.powers, eighthPower(load/r.mean))
	}
	return r
}

// newReplicasOn returns how many experts a rank holds that it doesn't hold in the
// initial map.
func (r *rebalancer) newReplicasOn(rank int) int {
	count := 0
	for _, expert := range r.m.ranks[rank] {
		if !slices.Contains(r.initial.ranks[rank], expert) {
			count++
		}
	}
	return count
}

// addedReplicas returns how many replicas must be loaded so far.
func (r *rebalancer) addedReplicas() int { return r.m.AddedReplicas(r.initial) }

// bestChange returns the change that lowers the objective most by relieving the most
// loaded rank. It reports false if no change lowers it.
func (r *rebalancer) bestChange() (change, bool) {
	mostLoaded := 0
	for rank, load := range r.loads {
		if load > r.loads[mostLoaded] {
			mostLoaded = rank
		}
	}
	mostLoadedMayLoad := r.newReplicasOn(mostLoaded) < r.opts.MaxNewPerRank
	var chosen change
	lowest := -epsilon
	consider := func(c change) {
		if delta := r.objectiveDelta(c); delta < lowest {
			lowest, chosen = delta, c
		}
	}
	for _, expert := range r.m.ranks[mostLoaded] {
		if r.m.replicas[expert] > 1 {
			consider(change{from: mostLoaded, to: -1, expert: expert, evicted: noExpert, move: true})
		}
	}
	for _, to := range r.leastLoaded(mostLoaded) {
		held := r.m.ranks[to]
		toMayLoad := r.newReplicasOn(to) < r.opts.MaxNewPerRank
		for _, expert := range r.m.ranks[mostLoaded] {
			mayLoad := toMayLoad || slices.Contains(r.initial.ranks[to], expert)
			if slices.Contains(held, expert) || !mayLoad {
				continue
			}
			if len(held) < r.opts.Slots {
				consider(change{from: mostLoaded, to: to, expert: expert, evicted: noExpert})
				consider(change{from: mostLoaded, to: to, expert: expert, evicted: noExpert, move: true})
			}
			for _, evicted := range held {
				if r.m.replicas[evicted] > 1 {
					consider(change{from: mostLoaded, to: to, expert: expert, evicted: evicted})
					consider(change{from: mostLoaded, to: to, expert: expert, evicted: evicted, move: true})
				}
				if !slices.Contains(r.m.ranks[mostLoaded], evicted) && (mostLoadedMayLoad || slices.Contains(r.initial.ranks[mostLoaded], evicted)) {
					consider(change{from: mostLoaded, to: to, expert: expert, evicted: evicted, move: true, exchange: true})
				}
			}
		}
	}
	return chosen, lowest < -epsilon
}

// maxReceivers is how many ranks are considered as receivers of load. With many
// ranks, the least loaded ones give as good a result as all, in a fraction of the
// time.
const maxReceivers = 14

// leastLoaded returns the ranks that are considered as receivers of load from the
// most loaded one.
func (r *rebalancer) leastLoaded(mostLoaded int) []int {
	r.receivers = r.receivers[:0]
	for rank := range r.loads {
		if rank != mostLoaded {
			r.receivers = append(r.receivers, rank)
		}
	}
	if len(r.receivers) > maxReceivers {
		slices.SortFunc(r.receivers, func(a, b int) int { return cmp.Or(cmp.Compare(r.loads[a], r.loads[b]), a-b) })
		r.receivers = r.receivers[:maxReceivers]
	}
	return r.receivers
}

// addLoad adds load, times the slowdown of the rank, to the delta of the rank.
func (r *rebalancer) addLoad(rank int, load float64) {
	if r.delta[rank] == 0 && !slices.Contains(r.touched, rank) {
		r.touched = append(r.touched, rank)
	}
	r.delta[rank] += load * slowdownOf(r.opts.Slowdowns, rank)
}

// addReplicaDeltas adds to the deltas how the loads change if an expert is removed
// from the rank from and added to the rank to. Either may be -1 for none.
func (r *rebalancer) addReplicaDeltas(expert, from, to int) {
	count := len(r.ranksOf[expert])
	after := count
	if from >= 0 {
		after--
	}
	if to >= 0 {
		after++
	}
	loadBefore, loadAfter := r.experts[expert]/float64(count), r.experts[expert]/float64(after)
	for _, rank := range r.ranksOf[expert] {
		if rank == from {
			r.addLoad(rank, -loadBefore)
		} else {
			r.addLoad(rank, loadAfter-loadBefore)
		}
	}
	if to >= 0 {
		r.addLoad(to, loadAfter)
	}
}

// objectiveDelta returns how much a change adds to the sum of the loads' eighth
// powers. Lower is better.
func (r *rebalancer) objectiveDelta(c change) float64 {
	r.touched = r.touched[:0]
	r.computeDeltas(c)
	sum := 0.0
	for _, rank := range r.touched {
		sum += eighthPower((r.loads[rank]+r.delta[rank])/r.mean) - r.powers[rank]
		r.delta[rank] = 0
	}
	return sum
}

// computeDeltas adds the effect of a change on the loads to the deltas.
func (r *rebalancer) computeDeltas(c change) {
	from := -1
	if c.move {
		from = c.from
	}
	r.addReplicaDeltas(c.expert, from, c.to)
	if c.evicted == noExpert {
		return
	}
	to := -1
	if c.exchange {
		to = c.from
	}
	r.addReplicaDeltas(c.evicted, c.to, to)
}

func (r *rebalancer) apply(c change) {
	r.touched = r.touched[:0]
	r.computeDeltas(c)
	for _, rank := range r.touched {
		r.loads[rank] += r.delta[rank]
		r.powers[rank] = eighthPower(r.loads[rank] / r.mean)
		r.delta[rank] = 0
	}
	if c.move {
		r.remove(c.expert, c.from)
	}
	if c.evicted != noExpert {
		r.remove(c.evicted, c.to)
	}
	if c.to >= 0 {
		r.insert(c.expert, c.to)
	}
	if c.exchange {
		r.insert(c.evicted, c.from)
	}
}

func (r *rebalancer) remove(expert, rank int) {
	equals := func(want int) func(int) bool { return func(have int) bool { return have == want } }
	r.m.ranks[rank] = slices.DeleteFunc(r.m.ranks[rank], equals(expert))
	r.ranksOf[expert] = slices.DeleteFunc(r.ranksOf[expert], equals(rank))
	r.m.replicas[expert]--
}

func (r *rebalancer) insert(expert, rank int) {
	r.m.ranks[rank] = append(r.m.ranks[rank], expert)
	r.ranksOf[expert] = append(r.ranksOf[expert], rank)
	r.m.replicas[expert]++
}
