package edge

import (
	"time"

	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// addPaceMetrics creates the metrics of slow, started and recovered endpoints.
func (e *Entry) addPaceMetrics(metrics *meter.Meter) {
	gauge := func(name, description string, value func(pace sched.EndpointPace) int64) {
		metrics.Gauge(name, description, "endpoint", func(report func(int64, string)) {
			for _, s := range e.allServices() {
				s.EachPace(func(endpoint *table.Endpoint, pace sched.EndpointPace) {
					if n := value(pace); n > 0 {
						report(n, endpoint.ID())
					}
				})
			}
		})
	}
	gauge("lentilstand_rank_excluded_thousandths", "Pace of a slow rank that gets no requests, in thousandths.",
		func(pace sched.EndpointPace) int64 { return int64(1000 * pace.ExcludedAt) })
	gauge("lentilstand_endpoint_ramp_thousandths", "Requests in 1,000 seconds that this entry may send to a started or recovered endpoint.",
		func(pace sched.EndpointPace) int64 { return int64(1000 * pace.RampRate) })
	gauge("lentilstand_endpoint_response_us", "Expected response time of an endpoint of a plain service, in microseconds.",
		func(pace sched.EndpointPace) int64 { return int64(pace.ResponseTime / time.Microsecond) })
}
