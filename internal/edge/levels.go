package edge

import (
	"time"

	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/level"
	"github.com/lentilstand/lentilstand/pkg/sched"
)

// maxHelloPressures is how many levels of admission a hello has at most.
const maxHelloPressures = 16

// encodePressures updates and encodes this entry's levels of admission. It leaves out open ones,
// which a service without a level in the hello has. They are the usual case, and would take a
// third of the control plane's 2 KB/s.
func encodePressures(services []*sched.Service) []*wirepb.Pressure {
	var encoded []*wirepb.Pressure
	for _, s := range services {
		if pressure, ok := s.UpdatePressure(); ok && pressure.Level() < level.Open && len(encoded) < maxHelloPressures {
			encoded = append(encoded, &wirepb.Pressure{
				Service: pressure.Service(), LevelThousandths: pressure.Level().Thousandths(), AgeMs: uint32(pressure.Age().Milliseconds()),
			})
		}
	}
	return encoded
}

// receivePressures passes the levels of admission in the hello of another entry on to the
// schedulers.
func (p *peers) receivePressures(entry string, encoded []*wirepb.Pressure) {
	if entry == p.entry.settings.Load().Name() {
		return
	}
	for _, s := range p.entry.allServices() {
		pressure := sched.NewPressure(s.Name(), level.Open, 0)
		for _, wire := range encoded[:min(len(encoded), maxHelloPressures)] {
			if s.Name() == wire.GetService() {
				age := time.Duration(wire.GetAgeMs()) * time.Millisecond
				pressure = sched.NewPressure(s.Name(), level.FromThousandths(wire.GetLevelThousandths()), age)
			}
		}
		s.ReceivePressure(entry, pressure)
	}
}

// addAdmissionMetrics adds the metrics of the pass times of groups and of the admission
// that depends on them.
func (e *Entry) addAdmissionMetrics(metrics *meter.Meter) {
	metrics.Gauge("lentilstand_pass_predicted_microseconds", "Predicted time of the next pass of a service's group with one request more.",
		"service", func(report func(int64, string)) {
			for _, s := range e.allServices() {
				if predicted, _ := s.PassTimes(); predicted > 0 {
					report(predicted.Microseconds(), s.Name())
				}
			}
		})
	metrics.Gauge("lentilstand_pass_measured_microseconds", "Time of the last passes of a service's group that its agents have measured.",
		"service", func(report func(int64, string)) {
			for _, s := range e.allServices() {
				if _, measured := s.PassTimes(); measured > 0 {
					report(measured.Microseconds(), s.Name())
				}
			}
		})
	metrics.Gauge("lentilstand_admission_level_thousandths", "Urgency up to which the entries admit requests, in thousandths of a priority.",
		"service", func(report func(int64, string)) {
			for _, s := range e.allServices() {
				if agreed, _, _ := s.Levels(); agreed < level.Open {
					report(int64(agreed.Thousandths()), s.Name())
				}
			}
		})
	metrics.Gauge("lentilstand_held_back", "Requests that were held back when they arrived, by cause.", "cause", func(report func(int64, string)) {
		sums := make(map[sched.HoldCause]int64)
		for _, s := range e.allServices() {
			for cause, count := range s.HeldBack() {
				sums[cause] += count
			}
		}
		for cause, sum := range sums {
			report(sum, string(cause))
		}
	})
}
