package place

import (
	"cmp"
	"math"
	"slices"
)

// MoveCost says what a move must be worth.
type MoveCost struct {
	perMove float64
	limit   int
}

// maxMoves bounds the moves of one improvement.
const maxMoves = 200

// Free returns the price of moves that cost nothing.
func Free() MoveCost { return MoveCost{limit: maxMoves} }

// NewMoveCost returns the price of loading one expert: it takes loadSeconds at the
// weight store's rate, and must pay within horizonSeconds. A fall of the fullest
// rank's load by its mean load gains a whole second a second.
func NewMoveCost(loadSeconds, horizonSeconds float64) MoveCost {
	return MoveCost{perMove: loadSeconds / horizonSeconds, limit: maxMoves}
}

// Limited returns the price with a bound on the moves of one improvement.
func (p MoveCost) Limited(moves int) MoveCost {
	p.limit = min(p.limit, moves)
	return p
}

// move is one change of a map: an expert takes another's slot on a rank, and
// for a swap the other takes its slot.
type move struct {
	from, fromSlot int
	to, toSlot     int
	swap           bool
}

// loaded returns how many experts a move makes ranks load.
func (v move) loaded() int {
	if v.swap {
		return 2
	}
	return 1
}

// Improve returns the map after the moves that pay, and how many experts they
// load. It takes the best move of the fullest rank over and over and keeps the
// sequence up to the point of the greatest gain over cost.
func Improve(m *Map, experts []float64, price MoveCost) (*Map, int) {
	s := newSearch(m.clone(), experts)
	best, bestNet, loaded, bestLoaded := m, 0.0, 0, 0
	first := s.fullest()
	for loaded < price.limit {
		next, ok := s.bestMove()
		if !ok {
			break
		}
		s.apply(next)
		loaded += next.loaded()
		net := (first-s.fullest())/s.mean - price.perMove*float64(loaded)
		if net > bestNet+1e-9 {
			best, bestNet, bestLoaded = s.m.clone(), net, loaded
		}
	}
	return best, bestLoaded
}

// search is a map that is being improved, with its loads.
type search struct {
	m       *Map
	experts []float64
	loads   []float64
	mean    float64
	squares float64
	where   [][]int
	order   []int
	changes []change
}

// change is what a move adds to the load of a rank.
type change struct {
	rank int
	add  float64
}

func newSearch(m *Map, experts []float64) *search {
	s := &search{m: m, experts: experts, loads: m.Loads(experts), where: make([][]int, len(experts))}
	for rank, load := range s.loads {
		s.mean += load / float64(len(s.loads))
		s.order = append(s.order, rank)
		for _, expert := range m.ranks[rank] {
			s.where[expert] = append(s.where[expert], rank)
		}
	}
	s.sort()
	return s
}

// sort puts the ranks in falling order of load.
func (s *search) sort() {
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(s.loads[b], s.loads[a]) })
	s.squares = 0
	for _, load := range s.loads {
		s.squares += load * load
	}
}

func (s *search) fullest() float64 { return s.loads[s.order[0]] }

// share returns the load of one replica of an expert that has count replicas.
func (s *search) share(expert, count int) float64 { return s.experts[expert] / float64(count) }

// score is what a move makes of the loads: the fullest rank first, and then how
// uneven all are.
type score struct {
	fullest float64
	squares float64
}

// epsilon is the share by which a score must differ to count as another.
const epsilon = 1e-9

func (a score) better(b score) bool {
	if math.Abs(a.fullest-b.fullest) > epsilon*b.fullest {
		return a.fullest < b.fullest
	}
	return a.squares < b.squares*(1-epsilon)
}

// scoreAfter returns the score after the changes.
func (s *search) scoreAfter() score {
	sc := score{squares: s.squares}
	for _, c := range s.changes {
		load := s.loads[c.rank]
		sc.fullest = max(sc.fullest, load+c.add)
		sc.squares += (load+c.add)*(load+c.add) - load*load
	}
	for _, rank := range s.order {
		if !s.isChanged(rank) {
			sc.fullest = max(sc.fullest, s.loads[rank])
			break
		}
	}
	return sc
}

func (s *search) isChanged(rank int) bool {
	for _, c := range s.changes {
		if c.rank == rank {
			return true
		}
	}
	return false
}

// bestMove returns the move that relieves the fullest rank most. It reports
// false if no move makes the loads better.
func (s *search) bestMove() (move, bool) {
	full := s.order[0]
	best := score{fullest: s.fullest(), squares: s.squares}
	var chosen move
	found := false
	for fromSlot, expert := range s.m.ranks[full] {
		for to, held := range s.m.ranks {
			if to == full || slices.Contains(held, expert) {
				continue
			}
			for toSlot, other := range held {
				for _, swap := range []bool{false, true} {
					candidate := move{from: full, fromSlot: fromSlot, to: to, toSlot: toSlot, swap: swap}
					if !s.allowed(candidate, other) {
						continue
					}
					s.changesOf(candidate)
					if sc := s.scoreAfter(); sc.better(best) {
						best, chosen, found = sc, candidate, true
					}
				}
			}
		}
	}
	return chosen, found
}

// allowed reports whether a move leaves every expert a slot and no rank one
// expert twice.
func (s *search) allowed(v move, other int) bool {
	if v.swap {
		return !slices.Contains(s.m.ranks[v.from], other)
	}
	return s.m.replicas[other] > 1
}

// add notes what a move adds to a rank's load.
func (s *search) add(rank int, load float64) {
	for i := range s.changes {
		if s.changes[i].rank == rank {
			s.changes[i].add += load
			return
		}
	}
	s.changes = append(s.changes, change{rank: rank, add: load})
}

// changesOf works out what a move adds to the loads.
func (s *search) changesOf(v move) {
	s.changes = s.changes[:0]
	expert, other := s.m.ranks[v.from][v.fromSlot], s.m.ranks[v.to][v.toSlot]
	count, others := s.m.replicas[expert], s.m.replicas[other]
	if v.swap {
		difference := s.share(expert, count) - s.share(other, others)
		s.add(v.from, -difference)
		s.add(v.to, difference)
		return
	}
	for _, rank := range s.where[expert] {
		s.add(rank, s.share(expert, count+1)-s.share(expert, count))
	}
	for _, rank := range s.where[other] {
		if rank != v.to {
			s.add(rank, s.share(other, others-1)-s.share(other, others))
		}
	}
	s.add(v.to, s.share(expert, count+1)-s.share(other, others))
}

func (s *search) apply(v move) {
	s.changesOf(v)
	for _, c := range s.changes {
		s.loads[c.rank] += c.add
	}
	expert, other := s.m.ranks[v.from][v.fromSlot], s.m.ranks[v.to][v.toSlot]
	s.m.ranks[v.to][v.toSlot] = expert
	s.where[expert] = append(s.where[expert], v.to)
	s.where[other] = slices.DeleteFunc(s.where[other], func(rank int) bool { return rank == v.to })
	if v.swap {
		s.m.ranks[v.from][v.fromSlot] = other
		s.where[other] = append(s.where[other], v.from)
		s.where[expert] = slices.DeleteFunc(s.where[expert], func(rank int) bool { return rank == v.from })
	} else {
		s.m.replicas[expert]++
		s.m.replicas[other]--
	}
	s.sort()
}
