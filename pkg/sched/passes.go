package sched

import (
	"time"

	"github.com/lentilstand/lentilstand/pkg/pass"
	"github.com/lentilstand/lentilstand/pkg/pick"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// observeInterval is the least time between two observations of a group's passes. Each of the
// group's agents reports every 100 ms, and all of them measure the same passes.
const observeInterval = 50 * time.Millisecond

// passTracker predicts the passes of the service's group from its agents' reports. The zero
// value predicts nothing.
type passTracker struct {
	// engine and gapTarget are those of the estimator.
	engine     table.Engine
	gapTarget  time.Duration
	estimator  *pass.Estimator
	observedAt time.Time
}

// configure sets the engine's figures, nil for none, and the gap target. It keeps what was
// learned unless one of them has changed.
func (p *passTracker) configure(engine *table.Engine, gapTarget time.Duration) {
	switch {
	case engine == nil || engine.Step <= 0:
		*p = passTracker{}
	case p.estimator == nil || *engine != p.engine || gapTarget != p.gapTarget:
		*p = passTracker{engine: *engine, gapTarget: gapTarget, estimator: pass.NewEstimator(pass.New(engine, gapTarget))}
	}
}

// observePasses learns from the agents' reports how long passes take. The caller must hold s.mu.
func (s *Service) observePasses(now time.Time) {
	p := &s.passes
	if p.estimator == nil || now.Sub(p.observedAt) < observeInterval {
		return
	}
	var load pass.Load
	var measured time.Duration
	measuring := 0
	for _, e := range s.endpoints {
		if !e.hasFreshReport(now) {
			continue
		}
		running := float64(e.reported - e.reportedWaiting)
		load.Ranks++
		load.Running += running
		load.MaxRunning = max(load.MaxRunning, running)
		if e.passInterval > 0 {
			measured += e.passInterval
			measuring++
		}
	}
	if load.Ranks == 0 {
		return
	}
	// A rank without requests of its own reports no pass time, though it takes part in passes.
	p.observedAt = now
	p.estimator.Observe(load, measured/time.Duration(max(1, measuring)), now)
}

// isReporting is hasFreshReport of an endpoint by the age of its report in load.
func isReporting(e *endpoint, load *pick.Load) bool {
	return e.hasAgent && load.Age <= agentTimeout
}

// groupLoad returns the estimated load of the group now: the requests in the agents' reports,
// those that this entry has sent since and the expected ones of other entries. The
// prompts of requests that were sent and don't run yet are unread. Loads are those of the
// endpoints, with their expected arrivals. The caller must hold s.mu.
func (s *Service) groupLoad(loads []pick.Load) pass.Load {
	var load pass.Load
	prompt := s.passes.estimator.Model().PromptTokens()
	for i, e := range s.endpoints {
		if !isReporting(e, &loads[i]) {
			continue
		}
		running := float64(loads[i].InFlight()) + loads[i].Expected
		if e.slots > 0 {
			running = min(running, float64(e.slots))
		}
		unread := float64(e.sentTokens) + prompt*(float64(e.reportedWaiting)+loads[i].Expected)
		load.Ranks++
		load.Running += running
		load.MaxRunning = max(load.MaxRunning, running)
		load.Unread += unread
		load.MaxUnread = max(load.MaxUnread, unread)
	}
	return load
}

// countPrompt counts the prompt of a request that is sent to an endpoint now as unread until
// the endpoint's next report. The caller must hold s.mu.
func (s *Service) countPrompt(e *endpoint, promptTokens int) {
	if promptTokens <= 0 && s.engine != nil {
		promptTokens = s.engine.MeanPromptTokens
	}
	e.sentTokens += promptTokens
}

// PassTimes returns the pass time that is predicted for the group with one request more, and
// the last one that its agents measured. They are zero if they aren't known.
func (s *Service) PassTimes() (predicted, measured time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.passes.estimator == nil {
		return 0, 0
	}
	loads := s.loads(nil, now)
	pick.EstimateArrivals(loads, replicaExtra, s.sends.at(now))
	load := s.groupLoad(loads)
	if load.Ranks == 0 {
		return 0, 0
	}
	return s.passes.estimator.Predict(s.passes.estimator.WithOneMore(load)), s.passes.estimator.Measured()
}
