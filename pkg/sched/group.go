package sched

import (
	"time"
)

// groupState is the load of all endpoints of a model service, from the fresh reports of the
// agents that this entry knows, scaled to the number of the service's endpoints. The zero
// value means that it is unknown.
type groupState struct {
	// endpoints is the number of endpoints that take requests.
	endpoints float64
	// held is the number of requests that the endpoints have, running the number of those
	// that run, and own that of this entry's.
	held, running, own float64
	// sent is the number of this entry's requests that the endpoints' last reports don't have.
	sent float64
	// interval is the mean interval between passes, zero if no agent reports passes.
	interval time.Duration
}

// groupState returns the load of the service's endpoints. The caller must hold s.mu.
func (s *Service) groupState(now time.Time) groupState {
	var load groupState
	var intervals time.Duration
	endpoints, reports, passes, held, runs, own, sent := 0, 0, 0, 0, 0, 0, 0
	anyEvacuated := len(s.evacuated) > 0
	for _, e := range s.endpoints {
		if e.draining || anyEvacuated && s.evacuated[e.spec.DataCentre()] {
			continue
		}
		endpoints++
		if !e.hasFreshReport(now) {
			continue
		}
		reports++
		running := max(e.own, e.reported+e.own-e.ownAtReport)
		held += running
		if e.slots > 0 {
			running = min(running, e.slots)
		}
		runs += running
		own += e.own
		sent += max(0, e.own-e.ownAtReport)
		if e.passInterval > 0 {
			passes++
			intervals += e.passInterval
		}
	}
	if reports == 0 {
		return groupState{}
	}
	scale := float64(endpoints) / float64(reports)
	load.endpoints = float64(endpoints)
	load.held, load.running = scale*float64(held), scale*float64(runs)
	load.own, load.sent = float64(own), float64(sent)
	if passes > 0 {
		load.interval = intervals / time.Duration(passes)
	}
	return load
}

// completionsPerSecond returns how many of the running requests complete per second if a
// response has meanEvents events, one in each pass after the one that reads the prompt.
func (l groupState) completionsPerSecond(meanEvents float64) float64 {
	if l.interval <= 0 || meanEvents <= 0 {
		return 0
	}
	return l.running / ((meanEvents + 1) * l.interval.Seconds())
}

// ownShare returns an entry's share of the slots that become free. Half of it is its share of
// the running requests, as a request that waits here mostly gets the slot of one that completes
// here, and half is the same for all entries, as an entry has too few requests for an exact
// share. The shares of all entries add up to one.
func (l groupState) ownShare(entries int) float64 {
	equal := 1 / float64(max(1, entries))
	if l.running <= 0 {
		return equal
	}
	return (min(1, l.own/l.running) + equal) / 2
}

// reportedRate returns how many of this entry's requests are expected to complete per second
// by the agents' reports, and false for a plain service and while no agent reports passes. The
// caller must hold s.mu.
func (s *Service) reportedRate(now time.Time) (perSecond float64, known bool) {
	if !s.isModelService || s.engine == nil || s.engine.Stride <= 0 {
		return 0, false
	}
	load := s.groupState(now)
	perSecond = load.completionsPerSecond(float64(s.engine.MeanOutputTokens) / float64(s.engine.Stride))
	return perSecond * load.ownShare(1+s.otherEntries()), perSecond > 0
}
