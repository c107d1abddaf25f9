package place

import (
	"math"
	"time"
)

// Forecast is an exponentially weighted moving average of the number of requests
// for each expert. Counts may arrive late and with gaps. Use NewForecast. It is not
// safe for concurrent use.
type Forecast struct {
	halfLife time.Duration
	loads    []float64
	last     time.Time
}

// NewForecast returns a forecast for a number of experts, in which the weight of a
// count halves every halfLife.
func NewForecast(experts int, halfLife time.Duration) *Forecast {
	return &Forecast{halfLife: halfLife, loads: make([]float64, experts)}
}

// Observe adds counts that were taken at the time at. Counts older than the newest
// are ignored; after a gap, new counts have more weight.
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

// Loads returns the forecast counts. The caller must not change them.
func (f *Forecast) Loads() []float64 { return f.loads }
