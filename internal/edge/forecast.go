package edge

import (
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/pkg/sched"
)

// measureForecasts adds metrics of what this entry expects of each service.
func (e *Entry) measureForecasts(metrics *meter.Meter) {
	gauge := func(name, description string, value func(sched.Forecast) int64) {
		metrics.Gauge(name, description, "service", func(report func(int64, string)) {
			for _, s := range e.allServices() {
				report(value(s.Forecast()), s.Name())
			}
		})
	}
	gauge("lentilstand_completions_thousandths", "Requests of this entry in 1,000 seconds that are expected to complete.",
		func(f sched.Forecast) int64 { return int64(1000 * f.CompletionsPerSecond()) })
	gauge("lentilstand_spare_thousandths", "Callers of refused requests in 1,000 seconds that this entry tells when to retry.",
		func(f sched.Forecast) int64 { return int64(1000 * f.SparePerSecond()) })
	gauge("lentilstand_bookings", "Callers that are expected to return at a time that they were told.",
		func(f sched.Forecast) int64 { return int64(f.Bookings()) })
	gauge("lentilstand_late_fill_thousandths", "Requests in 1,000 endpoints up to which late ones begin after an outage, 0 without that limit.",
		func(f sched.Forecast) int64 { return int64(1000 * f.LateFill()) })
}
