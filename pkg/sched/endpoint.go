package sched

import (
	"math"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pace"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// endpoint is the state that the entry keeps for one endpoint. It is guarded by the
// mutex of its Service.
type endpoint struct {
	spec     *table.Endpoint
	draining bool
	// leavingSince is when it became known that the endpoint drains or is no longer
	// registered, zero if it isn't leaving.
	leavingSince time.Time
	// saidLeaving is set once the endpoint itself has said that it leaves, which the store
	// may not show yet.
	saidLeaving bool
	// pausedUntil is the time before which the endpoint wants no requests.
	pausedUntil time.Time
	// limit is the rate of requests that the endpoint takes.
	limit rateLimit
	// unused is set if the endpoint isn't in the entry's subset of the endpoints that take
	// requests. It then gets no new ones.
	unused bool
	// observed is set if the entry subscribes to the endpoint's agent though it may be
	// unused, as it leaves or is evacuated.
	observed bool
	// own is the number of this entry's requests at the endpoint, and ownAtReport its
	// value when the last load report arrived. Load reports come from the endpoint's
	// agent, or from response headers if no agent has ever reported.
	own int
	// reported is the number of requests of all entries in the last load report.
	reported    int
	ownAtReport int
	// slots is the number of requests that the endpoint runs concurrently.
	slots int
	// reportedAt is when the last load report arrived.
	reportedAt time.Time
	// hasAgent is set once an agent has reported on the endpoint.
	hasAgent bool
	// agentsKnown is the fingerprint of the set of agents that its agent knows.
	agentsKnown uint32
	// entries is the number of entries that its agent reports to.
	entries int
	// notAccepting is set while the agent reports that the endpoint accepts no requests.
	notAccepting bool
	// passInterval is the interval between passes in the agent's last report, zero if the
	// endpoint's group runs none.
	passInterval time.Duration
	// pace is how many times slower the endpoint is than its peers, at least 1.
	pace float64
	// exclusion is whether the endpoint, a rank, is excluded because it is slow.
	exclusion exclusion
	// ramp is the pace at which the endpoint, if it belongs to a plain service, gets requests
	// after it has started or recovered.
	ramp pace.Ramp
	// refusedAt is when the endpoint, if it belongs to a plain service, refused this entry's last
	// request, zero if it didn't.
	refusedAt time.Time
	// responses are the response times of the endpoint, if it belongs to a plain service.
	responses responseTimes
	// failures is the failure score as of failuresUpdatedAt.
	failures          float64
	failuresUpdatedAt time.Time
	// ejected is set while the endpoint gets requests only if no other is available,
	// as it has failed often.
	ejected bool
	// coldUntil is when the endpoint stops being cold.
	coldUntil time.Time
	// coldSendAfter is the earliest time at which this entry may send to the endpoint
	// while it is cold.
	coldSendAfter time.Time
	// coldSends are the times of the requests sent while the endpoint was cold.
	coldSends []time.Time
}

// setDraining sets whether the endpoint drains or is no longer registered.
func (e *endpoint) setDraining(draining bool, now time.Time) {
	switch {
	case !draining:
		e.leavingSince = time.Time{}
	case e.leavingSince.IsZero():
		e.leavingSince = now
	}
	e.draining = draining
}

// failureScore returns the exponentially decayed count of failures. Successes reduce it.
func (e *endpoint) failureScore(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-now.Sub(e.failuresUpdatedAt).Seconds()/failureHalfLife.Seconds())
}

// addFailure adds weight to the failure score.
func (e *endpoint) addFailure(weight float64, now time.Time) {
	e.failures, e.failuresUpdatedAt = e.failureScore(now)+weight, now
}

// hasFreshReport reports whether the endpoint's agent has reported within agentTimeout.
func (e *endpoint) hasFreshReport(now time.Time) bool {
	return e.hasAgent && now.Sub(e.reportedAt) <= agentTimeout
}

// hasAgentTimedOut reports whether the endpoint's agent has reported before, but not
// within agentTimeout. Service.IsAgentSilent has a shorter timeout.
func (e *endpoint) hasAgentTimedOut(now time.Time) bool { return e.hasAgent && !e.hasFreshReport(now) }

// isCold reports whether the endpoint started recently and has a limited request rate.
func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }
