package demand

import (
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// maxWeight is the weight of the most chosen expert of a set.
	maxWeight = math.MaxUint8
	// maxWeights limits the weights of a Demand, so that it fits into a datagram of 60 KB
	// along with its envelope. The largest known deployment has 4,128.
	maxWeights = 48 << 10
)

// Demand has the weight of each expert of each set: its share of the set's choices
// relative to the highest share, which has weight 255. It is immutable. Use New or
// FromLoads.
type Demand struct {
	sets, experts int
	weights       []byte
}

// New returns the demand with the given weights, set by set. It keeps weights, which the
// caller must not change.
func New(sets, experts int, weights []byte) (*Demand, error) {
	switch {
	case sets < 1 || experts < 1 || sets > maxWeights || experts > maxWeights || sets*experts > maxWeights:
		return nil, eris.Errorf("a demand can't have %d sets of %d experts", sets, experts)
	case len(weights) != sets*experts:
		return nil, eris.Errorf("a demand of %d sets of %d experts has %d weights", sets, experts, len(weights))
	}
	d := &Demand{sets: sets, experts: experts, weights: weights}
	for set := range sets {
		if slices.Max(d.set(set)) == 0 {
			return nil, eris.Errorf("a demand has no weights in set %d", set)
		}
	}
	return d, nil
}

// FromLoads returns the demand of counts by set and expert, nil if a set has none.
func FromLoads(loads [][]float64) *Demand {
	if len(loads) == 0 || len(loads)*len(loads[0]) > maxWeights {
		return nil
	}
	d := &Demand{sets: len(loads), experts: len(loads[0])}
	for _, set := range loads {
		if len(set) != d.experts || d.experts == 0 {
			return nil
		}
		highest := slices.Max(set)
		if math.IsNaN(highest) || highest <= 0 || math.IsInf(highest, 1) {
			return nil
		}
		for _, load := range set {
			d.weights = append(d.weights, byte(math.Round(max(0, load)/highest*maxWeight)))
		}
	}
	return d
}

// Sets returns the number of sets.
func (d *Demand) Sets() int { return d.sets }

// Experts returns the number of experts of each set.
func (d *Demand) Experts() int { return d.experts }

// Weights returns the weights of all experts, set by set. The caller must not change them.
func (d *Demand) Weights() []byte { return d.weights }

// Fits reports whether the demand is that of a group with as many sets and experts.
func (d *Demand) Fits(sets, experts int) bool {
	return d != nil && d.sets == sets && d.experts == experts
}

func (d *Demand) set(set int) []byte { return d.weights[set*d.experts : (set+1)*d.experts] }

// shares returns the shares of the experts of a set in its choices.
func (d *Demand) shares(set int) []float64 {
	sum, shares := 0.0, make([]float64, d.experts)
	for expert, weight := range d.set(set) {
		shares[expert] = float64(weight)
		sum += shares[expert]
	}
	for expert := range shares {
		shares[expert] /= sum
	}
	return shares
}

// maxDistance is the distance of demands that have nothing in common.
const maxDistance = 2

// Distance returns the sum of the absolute differences of the shares of a set's experts,
// averaged over all sets. It is 0 for equal demands and 2 for those that have no expert in
// common, another shape, or if one of them is nil.
func Distance(a, b *Demand) float64 {
	if a == nil || b == nil || !a.Fits(b.sets, b.experts) {
		return maxDistance
	}
	sum := 0.0
	for set := range a.sets {
		theirs := b.shares(set)
		for expert, share := range a.shares(set) {
			sum += math.Abs(share - theirs[expert])
		}
	}
	return sum / float64(a.sets)
}

// Bounds of the distance from which a demand counts as changed.
const (
	// minChange is the bound if many choices were counted.
	minChange = 0.1
	// noiseFactor times the root of the number of experts per choice is the bound for fewer
	// choices. Independent counts of the same demand differ by 1.13 times that root on
	// average, as the difference of two normal distributions does.
	noiseFactor = 1.7
	// maxChange is the bound if hardly any choices were counted.
	maxChange = 1
)

// MinChange returns the distance from which demands of the shape of d differ by more than
// chance if so many choices of experts were counted.
func (d *Demand) MinChange(choices float64) float64 {
	if choices <= 0 {
		return maxChange
	}
	return min(maxChange, max(minChange, noiseFactor*math.Sqrt(float64(len(d.weights))/choices)))
}

// Stored is the demand that the store has for a service.
type Stored struct {
	service string
	demand  *Demand
}

// NewStored returns the demand of a service.
func NewStored(service string, demand *Demand) Stored {
	return Stored{service: service, demand: demand}
}

// Service returns the name of the service.
func (s Stored) Service() string { return s.service }

// Demand returns the demand.
func (s Stored) Demand() *Demand { return s.demand }
