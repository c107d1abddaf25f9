package demand

import (
	"math"
	"time"
)

// Counter has the counts of choices by set and expert, whose weight halves in each
// half-life. Use NewCounter.
type Counter struct {
	halfLife time.Duration
	loads    [][]float64
	choices  float64
	at       time.Time
}

// NewCounter returns a counter of sets of experts without any counts.
func NewCounter(sets, experts int, halfLife time.Duration) *Counter {
	c := &Counter{halfLife: halfLife, loads: make([][]float64, sets)}
	for set := range c.loads {
		c.loads[set] = make([]float64, experts)
	}
	return c
}

// Fits reports whether the counter has as many sets and experts.
func (c *Counter) Fits(sets, experts int) bool {
	return c != nil && len(c.loads) == sets && sets > 0 && len(c.loads[0]) == experts
}

// Add adds counts, set by set. It ignores counts of another shape.
func (c *Counter) Add(counts []uint32, now time.Time) {
	if len(c.loads) == 0 || len(counts) != len(c.loads)*len(c.loads[0]) {
		return
	}
	factor := 1.0
	if !c.at.IsZero() {
		factor = Decay(now.Sub(c.at), c.halfLife)
	}
	c.at = now
	c.choices *= factor
	for set, loads := range c.loads {
		for expert := range loads {
			added := float64(counts[set*len(loads)+expert])
			loads[expert] = loads[expert]*factor + added
			c.choices += added
		}
	}
}

// Choices returns the sum of all counts.
func (c *Counter) Choices() float64 { return c.choices }

// Loads returns the counts by set and expert. The caller must not change them.
func (c *Counter) Loads() [][]float64 { return c.loads }

// LoadsWith returns the counts along with as many choices of a demand of the same shape.
func (c *Counter) LoadsWith(d *Demand, choices float64) [][]float64 {
	loads := make([][]float64, len(c.loads))
	for set, own := range c.loads {
		loads[set] = d.shares(set)
		for expert := range own {
			loads[set][expert] = own[expert] + loads[set][expert]*choices/float64(len(c.loads))
		}
	}
	return loads
}

// Decay returns the factor by which a weight decreases in a span.
func Decay(span, halfLife time.Duration) float64 {
	return math.Exp2(-span.Seconds() / halfLife.Seconds())
}
