package sched

import (
	"math"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pick"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Parameters of the response times of endpoints of plain services.
const (
	// responseTimeHalfLife is the half-life of a response time. An endpoint that gets few
	// requests, as it was slow, gets some again after two or three half-lives, and shows
	// whether it has recovered.
	responseTimeHalfLife = 3 * time.Second
	// priorResponses is the number of responses, at the mean time of the service, that are
	// assumed beside those of the endpoint. The work of requests differs, so a single
	// response says little. An entry of many gets about one in the half-life.
	priorResponses = 2
	// recoveredFactor is how much shorter than expected a response time is for the earlier ones
	// to lose all but staleWeight of their weight, as the endpoint seems to have recovered. The
	// work of requests of a route varies by about half.
	recoveredFactor = 0.5
	staleWeight     = 0.1
	// maxSlowness bounds what one response says, in mean times of the service, and how much
	// slower than others an endpoint is taken to be.
	maxSlowness = 10
)

// responseTimes is the exponentially decayed mean of an endpoint's response times. The zero
// value holds none.
type responseTimes struct {
	// sum and weight are the sum of the times, in seconds, and their number, as of last.
	sum, weight float64
	last        time.Time
}

// add adds a response time. Usual is the mean response time of the service.
func (r *responseTimes) add(took, usual time.Duration, now time.Time) {
	decay := r.decay(now)
	if took.Seconds() < recoveredFactor*r.mean(usual, now) {
		decay *= staleWeight
	}
	r.sum = r.sum*decay + min(took, maxSlowness*usual).Seconds()
	r.weight = r.weight*decay + 1
	r.last = now
}

// decay returns the weight that a response time has kept since the last one.
func (r *responseTimes) decay(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return math.Exp2(-now.Sub(r.last).Seconds() / responseTimeHalfLife.Seconds())
}

// mean returns the expected response time in seconds.
func (r *responseTimes) mean(usual time.Duration, now time.Time) float64 {
	decay := r.decay(now)
	return (r.sum*decay + priorResponses*usual.Seconds()) / (r.weight*decay + priorResponses)
}

// recordResponseTime records how long an attempt at an endpoint of a plain service took. For
// one that failed, the time is a lower bound, which counts only if it is longer than usual. The
// caller must hold s.mu.
func (s *Service) recordResponseTime(assignment Assignment, failed bool, now time.Time) {
	took := now.Sub(assignment.assignedAt)
	if s.isModelService || s.meanRunTime <= 0 || failed && took < s.meanRunTime {
		return
	}
	assignment.endpoint.responses.add(took, s.meanRunTime, now)
}

// setSlowness sets how many times longer than the fastest endpoint of a plain service each one
// takes. The caller must hold s.mu.
func (s *Service) setSlowness(loads []pick.Load, now time.Time) {
	if s.isModelService || s.meanRunTime <= 0 {
		return
	}
	fastest := math.Inf(1)
	for i, e := range s.endpoints {
		loads[i].Slowness = e.responses.mean(s.meanRunTime, now)
		if !loads[i].Unavailable && !loads[i].Ejected {
			fastest = min(fastest, loads[i].Slowness)
		}
	}
	for i := range loads {
		loads[i].Slowness = min(maxSlowness, max(1, loads[i].Slowness/fastest))
	}
}

// EndpointPace is what an entry knows of the pace of an endpoint. Its fields are zero unless
// they say otherwise.
type EndpointPace struct {
	// ExcludedAt is the pace that a rank which is excluded has reported.
	ExcludedAt float64
	// RampRate is the number of requests per second that this entry may send to a started or
	// recovered endpoint.
	RampRate float64
	// ResponseTime is the expected response time of an endpoint of a plain service.
	ResponseTime time.Duration
}

// EachPace calls report for each endpoint.
func (s *Service) EachPace(report func(endpoint *table.Endpoint, pace EndpointPace)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range s.endpoints {
		pace := EndpointPace{RampRate: e.ramp.Rate()}
		if e.exclusion.excluded {
			pace.ExcludedAt = e.currentPace(now)
		}
		if !s.isModelService {
			pace.ResponseTime = time.Duration(e.responses.mean(s.meanRunTime, now) * float64(time.Second))
		}
		report(e.spec, pace)
	}
}
