package sched

import (
	"math"
	"time"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// endpoint is the state that the entry keeps for one endpoint. It is guarded by the
// mutex of its Service.
type endpoint struct {
	spec     *table.Endpoint
	draining bool
	// own is the number of this entry's requests at the endpoint, and ownAtReport its
	// value when the last load report arrived.
	own int
	// reported is the number of requests of all entries in the last load report.
	reported    int
	ownAtReport int
	slots       int
	// reportedAt is when the last load report arrived.
	reportedAt time.Time
	// hasAgent is set once an agent has reported on the endpoint.
	hasAgent bool
	// agentsKnown is the fingerprint of the set of agents that its agent knows.
	agentsKnown uint32
	// entries is the number of entries that its agent reports to.
	entries int
	// unavailable is set while the agent reports that the endpoint accepts no requests.
	unavailable bool
	pace        float64
	failures    float64
	failedAt    time.Time
	ejected     bool
	coldUntil   time.Time
	// coldSendAfter is the earliest time at which this entry may send to the endpoint
	// while it is cold.
	coldSendAfter time.Time
	// coldSends are the times of the requests sent while the endpoint was cold.
	coldSends []time.Time
}

// failureScore returns the exponentially decayed count of failures.
func (e *endpoint) failureScore(now time.Time) float64 {
	return e.failures * math.Exp2(-now.Sub(e.failedAt).Seconds()/failureHalfLife.Seconds())
}

// addFailure adds weight to the failure score.
func (e *endpoint) addFailure(weight float64, now time.Time) {
	e.failures, e.failedAt = e.failureScore(now)+weight, now
}

// hasFreshReport reports whether the endpoint's agent has reported within agentTimeout.
func (e *endpoint) hasFreshReport(now time.Time) bool {
	return e.hasAgent && now.Sub(e.reportedAt) <= agentTimeout
}

// isAgentSilent reports whether the endpoint's agent has reported before, but not
// within agentTimeout.
func (e *endpoint) isAgentSilent(now time.Time) bool { return e.hasAgent && !e.hasFreshReport(now) }

// isCold reports whether the endpoint started recently and has a limited request rate.
func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }
