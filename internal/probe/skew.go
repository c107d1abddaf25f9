package probe

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/lentilstand/lentilstand/internal/plots"
	"github.com/lentilstand/lentilstand/pkg/place"
)

// Parameters of the measure step_time_skew: a group with one layer of the size that
// the design has to support.
const (
	skewRanks     = 64
	skewExperts   = 128
	skewSlots     = 3
	skewSteps     = 6000
	stepTime      = 50 * time.Millisecond
	tokensPerStep = 16_384
	// countDelaySteps is the number of steps after which counts arrive, and
	// countLossRate the share of counts that never arrive.
	countDelaySteps = 20
	countLossRate   = 0.1
	// planInterval is the number of steps between two plans.
	planInterval = 200
	// expertBytes is the size of an expert, and storeRate the bandwidth of the weight
	// store for a group in bytes per second.
	expertBytes = 44e6
	storeRate   = 200e6
	planHorizon = 300.0
	halfLife    = 5 * time.Second
)

// drift is a pattern by which the popularity of experts changes over the steps.
type drift struct {
	name  string
	loads func(base []float64, step int) []float64
}

var drifts = []drift{
	{"slow", func(base []float64, step int) []float64 {
		loads := slices.Clone(base)
		for i := range loads {
			phase := 2 * math.Pi * (float64(step)/skewSteps + float64(i)/skewExperts)
			loads[i] *= math.Exp(0.8 * math.Sin(phase))
		}
		return loads
	}},
	{"favourite", func(base []float64, step int) []float64 {
		loads := slices.Clone(base)
		if step > skewSteps/3 {
			loads[7] += 0.05 * sum(base)
		}
		return loads
	}},
	{"daily", func(base []float64, step int) []float64 {
		loads := slices.Clone(base)
		share := (1 - math.Cos(2*math.Pi*float64(step)*3/skewSteps)) / 2
		for i := range loads {
			loads[i] = (1-share)*base[i] + share*base[len(base)-1-i]
		}
		return loads
	}},
	{"noise", func(base []float64, _ int) []float64 { return base }},
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// strategy is an algorithm that updates the expert map of a group.
type strategy struct {
	name string
	plan func(current *place.Map, forecast []float64) *place.Map
}

var strategies = []strategy{
	{"static", func(current *place.Map, _ []float64) *place.Map { return current }},
	{"greedy", func(_ *place.Map, forecast []float64) *place.Map { return place.Greedy(forecast, skewRanks, skewSlots) }},
	{"fresh", func(_ *place.Map, forecast []float64) *place.Map {
		return place.FromScratch(forecast, skewRanks, skewSlots)
	}},
	{"improve", func(current *place.Map, forecast []float64) *place.Map {
		improved, _ := place.Improve(current, forecast, place.NewMoveCost(expertBytes/storeRate, planHorizon))
		return improved
	}},
}

// skewResult holds the results of one strategy with one drift.
type skewResult struct {
	skews   []float64
	moved   int
	planned time.Duration
	plans   int
	series  plotter.XYs
}

func (k *skewResult) quantile(q float64) float64 {
	sorted := slices.Clone(k.skews)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// stepTimeSkew compares strategies for the expert map of a group whose expert
// popularity drifts.
func (r *Run) stepTimeSkew(context.Context) error {
	steps := skewSteps
	if r.brief {
		steps = 2 * planInterval
	}
	for _, d := range drifts {
		var static *skewResult
		var lines []plots.Line
		for _, s := range strategies {
			k := r.simulate(d, s, steps)
			if static == nil {
				static = k
			}
			name := d.name + "_" + s.name
			for _, q := range []float64{0.5, 0.95, 0.99} {
				r.compare(fmt.Sprintf("%s_p%.0f", name, 100*q), "fullest over mean", k.quantile(q), static.quantile(q), "")
			}
			r.report(name+"_moved_bytes", "byte", float64(k.moved)*expertBytes, "")
			r.report(name+"_plan_time", "ms", k.planned.Seconds()*1000/float64(max(1, k.plans)), "10")
			lines = append(lines, plots.NewLine(s.name, k.series))
		}
		r.plotLines("step_time_skew: "+d.name, "step", "fullest over mean", lines...)
	}
	return nil
}

// simulate runs one strategy with one drift. Counts are random, arrive late and are
// sometimes lost. A new map takes effect once its experts have been loaded, and no
// step waits for that.
func (r *Run) simulate(d drift, s strategy, steps int) *skewResult {
	random := rand.New(rand.NewPCG(r.seed, 3))
	base := zipfLoads(random)
	forecast := place.NewForecast(skewExperts, halfLife)
	began := time.Unix(0, 0)
	current := place.FromScratch(d.loads(base, 0), skewRanks, skewSlots)
	k := &skewResult{}
	var next *place.Map
	ready := 0
	for step := range steps {
		if next != nil && step >= ready {
			current, next = next, nil
		}
		loads := counts(random, d.loads(base, step))
		k.skews = append(k.skews, current.Skew(loads))
		if step%(planInterval/4) == 0 {
			k.series = append(k.series, plotter.XY{X: float64(step), Y: current.Skew(d.loads(base, step))})
		}
		if step >= countDelaySteps && random.Float64() >= countLossRate {
			late := step - countDelaySteps
			forecast.Observe(counts(random, d.loads(base, late)), began.Add(time.Duration(late)*stepTime))
		}
		if step%planInterval == planInterval-1 && next == nil {
			next, ready = k.planNext(s, current, forecast.Loads(), step)
		}
	}
	return k
}

// planNext computes a new map and returns it with the step at which its experts have
// been loaded. It returns nil if the map adds no replicas.
func (k *skewResult) planNext(s strategy, current *place.Map, loads []float64, step int) (*place.Map, int) {
	began := time.Now()
	planned := s.plan(current, loads)
	k.planned += time.Since(began)
	k.plans++
	moved := planned.AddedReplicas(current)
	if moved == 0 {
		return nil, 0
	}
	k.moved += moved
	loading := float64(moved) * expertBytes / storeRate
	return planned, step + int(math.Ceil(loading/stepTime.Seconds()))
}

// zipfLoads returns Zipf-distributed loads of the experts in random order.
func zipfLoads(random *rand.Rand) []float64 {
	loads := make([]float64, skewExperts)
	for i, at := range random.Perm(skewExperts) {
		loads[at] = 1 / math.Pow(float64(i+4), 0.8)
	}
	return loads
}

// counts returns a random number of a step's tokens for each expert, normally
// distributed around its share.
func counts(random *rand.Rand, loads []float64) []float64 {
	total := sum(loads)
	drawn := make([]float64, len(loads))
	for i, load := range loads {
		mean := load / total * tokensPerStep
		drawn[i] = max(0, mean+math.Sqrt(mean)*random.NormFloat64())
	}
	return drawn
}
