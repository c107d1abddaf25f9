package place

import (
	"cmp"
	"math"
	"slices"
)

// MoveCost is the cost of loading replicas, which the gain of a sequence of moves
// must exceed, and the limit on the replicas that one call of Improve loads.
type MoveCost struct {
	// perReplica is the cost of one replica, in mean loads of a rank.
	perReplica  float64
	maxReplicas int
}

// maxMoves limits the changes of one call of Rebalance, and the replicas that one
// call of Improve loads.
const maxMoves = 200

// FreeMoves returns a cost of zero for each replica.
func FreeMoves() MoveCost { return MoveCost{maxReplicas: maxMoves} }

// NewMoveCost returns the cost of replicas that each take loadSeconds to load at
// the weight store's rate and must pay off within horizonSeconds. A fall of the most
// loaded rank's load by the mean load of a rank saves one second per second, so a
// replica has to lower that load by loadSeconds/horizonSeconds mean loads.
func NewMoveCost(loadSeconds, horizonSeconds float64) MoveCost {
	return MoveCost{perReplica: loadSeconds / horizonSeconds, maxReplicas: maxMoves}
}

// WithLimit returns the cost with a limit on the replicas that one call of Improve
// loads. The last move may exceed it by one, since a swap loads two.
func (c MoveCost) WithLimit(replicas int) MoveCost {
	c.maxReplicas = min(c.maxReplicas, replicas)
	return c
}

// move is one change of a map: a replica of an expert replaces that of another
// expert on the rank to. In a swap the other expert's replica takes the slot on the
// rank from; otherwise that rank keeps its replica, and the load is shared by one
// replica more.
type move struct {
	from, fromSlot int
	to, toSlot     int
	swap           bool
}

// loaded returns how many replicas must be loaded for a move.
func (v move) loaded() int {
	if v.swap {
		return 2
	}
	return 1
}

// Improve returns the map after the moves that pay off, and the number of replicas
// that they load. It repeatedly applies the best move for the most loaded rank and
// returns the map at the point where the gain exceeded the cost most.
func Improve(m *Map, experts []float64, cost MoveCost) (*Map, int) {
	s := newLocalSearch(m.clone(), experts)
	best, bestNet, loaded, bestLoaded := m, 0.0, 0, 0
	initialMax := s.maxLoad()
	for loaded < cost.maxReplicas {
		next, ok := s.bestMove()
		if !ok {
			break
		}
		s.apply(next)
		loaded += next.loaded()
		net := (initialMax-s.maxLoad())/s.mean - cost.perReplica*float64(loaded)
		if net > bestNet+1e-9 {
			best, bestNet, bestLoaded = s.m.clone(), net, loaded
		}
	}
	return best, bestLoaded
}

// localSearch is the state of Improve.
type localSearch struct {
	m *Map
	// experts has the load of each expert, loads that of each rank, and mean is the
	// mean load of a rank.
	experts []float64
	loads   []float64
	mean    float64
	// sumSquares is the sum of the squares of the ranks' loads.
	sumSquares float64
	// ranksOf has the ranks that hold each expert.
	ranksOf [][]int
	// byLoad has the ranks by descending load.
	byLoad []int
	// deltas has the changes to the loads by the move that is being computed.
	deltas []loadDelta
}

// loadDelta is the change that a move makes to the load of a rank.
type loadDelta struct {
	rank  int
	delta float64
}

func newLocalSearch(m *Map, experts []float64) *localSearch {
	s := &localSearch{m: m, experts: experts, loads: m.Loads(experts), ranksOf: make([][]int, len(experts))}
	for rank, load := range s.loads {
		s.mean += load / float64(len(s.loads))
		s.byLoad = append(s.byLoad, rank)
		for _, expert := range m.ranks[rank] {
			s.ranksOf[expert] = append(s.ranksOf[expert], rank)
		}
	}
	s.sortRanks()
	return s
}

// sortRanks sorts the ranks by descending load and updates the sum of squares.
func (s *localSearch) sortRanks() {
	slices.SortStableFunc(s.byLoad, func(a, b int) int { return cmp.Compare(s.loads[b], s.loads[a]) })
	s.sumSquares = 0
	for _, load := range s.loads {
		s.sumSquares += load * load
	}
}

func (s *localSearch) maxLoad() float64 { return s.loads[s.byLoad[0]] }

// replicaLoad returns the load of one replica of an expert that has count replicas.
func (s *localSearch) replicaLoad(expert, count int) float64 {
	return s.experts[expert] / float64(count)
}

// score rates the loads of all ranks. The lower maximum is better; at equal maxima,
// the lower sum of squares is, which is the more even distribution.
type score struct {
	maxLoad float64
	squares float64
}

// epsilon is the relative difference below which two scores count as equal.
const epsilon = 1e-9

func (a score) betterThan(b score) bool {
	if math.Abs(a.maxLoad-b.maxLoad) > epsilon*b.maxLoad {
		return a.maxLoad < b.maxLoad
	}
	return a.squares < b.squares*(1-epsilon)
}

// scoreWithDeltas returns the score of the loads with the deltas applied.
func (s *localSearch) scoreWithDeltas() score {
	sc := score{squares: s.sumSquares}
	for _, c := range s.deltas {
		load := s.loads[c.rank]
		sc.maxLoad = max(sc.maxLoad, load+c.delta)
		sc.squares += (load+c.delta)*(load+c.delta) - load*load
	}
	for _, rank := range s.byLoad {
		if !s.hasDelta(rank) {
			sc.maxLoad = max(sc.maxLoad, s.loads[rank])
			break
		}
	}
	return sc
}

func (s *localSearch) hasDelta(rank int) bool {
	for _, c := range s.deltas {
		if c.rank == rank {
			return true
		}
	}
	return false
}

// bestMove returns the move of an expert on the most loaded rank that gives the best
// score. It reports false if no move improves the score.
func (s *localSearch) bestMove() (move, bool) {
	mostLoaded := s.byLoad[0]
	best := score{maxLoad: s.maxLoad(), squares: s.sumSquares}
	var chosen move
	found := false
	for fromSlot, expert := range s.m.ranks[mostLoaded] {
		for to, held := range s.m.ranks {
			if to == mostLoaded || slices.Contains(held, expert) {
				continue
			}
			for toSlot, other := range held {
				for _, swap := range []bool{false, true} {
					candidate := move{from: mostLoaded, fromSlot: fromSlot, to: to, toSlot: toSlot, swap: swap}
					if !s.allowed(candidate, other) {
						continue
					}
					s.computeDeltas(candidate)
					if sc := s.scoreWithDeltas(); sc.betterThan(best) {
						best, chosen, found = sc, candidate, true
					}
				}
			}
		}
	}
	return chosen, found
}

// allowed reports whether after a move each expert still has a replica and no rank
// holds an expert twice. The rank to must not hold the moved expert, and other is the
// expert that the move replaces there.
func (s *localSearch) allowed(v move, other int) bool {
	if v.swap {
		return !slices.Contains(s.m.ranks[v.from], other)
	}
	return s.m.replicas[other] > 1
}

// addDelta adds load to the delta of a rank.
func (s *localSearch) addDelta(rank int, load float64) {
	for i := range s.deltas {
		if s.deltas[i].rank == rank {
			s.deltas[i].delta += load
			return
		}
	}
	s.deltas = append(s.deltas, loadDelta{rank: rank, delta: load})
}

// computeDeltas sets the deltas to the changes that a move makes to the loads.
func (s *localSearch) computeDeltas(v move) {
	s.deltas = s.deltas[:0]
	expert, other := s.m.ranks[v.from][v.fromSlot], s.m.ranks[v.to][v.toSlot]
	count, otherCount := s.m.replicas[expert], s.m.replicas[other]
	if v.swap {
		difference := s.replicaLoad(expert, count) - s.replicaLoad(other, otherCount)
		s.addDelta(v.from, -difference)
		s.addDelta(v.to, difference)
		return
	}
	for _, rank := range s.ranksOf[expert] {
		s.addDelta(rank, s.replicaLoad(expert, count+1)-s.replicaLoad(expert, count))
	}
	for _, rank := range s.ranksOf[other] {
		if rank != v.to {
			s.addDelta(rank, s.replicaLoad(other, otherCount-1)-s.replicaLoad(other, otherCount))
		}
	}
	s.addDelta(v.to, s.replicaLoad(expert, count+1)-s.replicaLoad(other, otherCount))
}

func (s *localSearch) apply(v move) {
	s.computeDeltas(v)
	for _, c := range s.deltas {
		s.loads[c.rank] += c.delta
	}
	expert, other := s.m.ranks[v.from][v.fromSlot], s.m.ranks[v.to][v.toSlot]
	s.m.ranks[v.to][v.toSlot] = expert
	s.ranksOf[expert] = append(s.ranksOf[expert], v.to)
	s.ranksOf[other] = slices.DeleteFunc(s.ranksOf[other], func(rank int) bool { return rank == v.to })
	if v.swap {
		s.m.ranks[v.from][v.fromSlot] = other
		s.ranksOf[other] = append(s.ranksOf[other], v.from)
		s.ranksOf[expert] = slices.DeleteFunc(s.ranksOf[expert], func(rank int) bool { return rank == v.from })
	} else {
		s.m.replicas[expert]++
		s.m.replicas[other]--
	}
	s.sortRanks()
}
