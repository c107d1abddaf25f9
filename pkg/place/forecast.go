package place

import (
	"math"
	"time"
)

// Forecast smooths the counts of requests for each expert, which come late and
// with gaps. Use NewForecast. It is not safe for concurrent use.
type Forecast struct {
	halfLife time.Duration
	loads    []float64
	last     time.Time
}

// NewForecast returns a forecast for a number of experts in which a count loses
// half of its weight in halfLife.
func NewForecast(experts int, halfLife time.Duration) *Forecast {
	return &Forecast{halfLife: halfLife, loads: make([]float64, experts)}
}

// Observe takes in counts that were taken at the time at. Older counts than the
// newest are left out; after a gap the newer counts weigh more.
func (f *Forecast) Observe(counts []float64, at time.Time) {
	if f.last.IsZero() {
		copy(f.loads, counts)
		f.last = at
		return
	}
	if !at.After(f.last) {
		return
	}
	keep := math.Exp2(-at.Sub(f.last).Seconds() / f.halfLife.Seconds())
	for i, count := range counts {
		f.loads[i] = keep*f.loads[i] + (1-keep)*count
	}
	f.last = at
}

// Loads returns the expected counts. The caller must not change them.
func (f *Forecast) Loads() []float64 { return f.loads }
