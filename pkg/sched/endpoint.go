package sched

import (
	"math"
	"time"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// endpoint is what the entry knows of one endpoint, under its service's lock.
type endpoint struct {
	spec     *table.Endpoint
	draining bool
	mine     int
	reported int
	mineThen int
	slots    int
	heard    time.Time
	agent    bool
	// agentsKnown is the fingerprint of the agents that its agent knows.
	agentsKnown uint32
	// entries is how many entries its agent reports to.
	entries   int
	closed    bool
	pace      float64
	failures  float64
	failedAt  time.Time
	shunned   bool
	coldUntil time.Time
	// coldTurn is from when on this entry may send to the endpoint while it is cold.
	coldTurn time.Time
	sent     []time.Time
}

// failing returns the decayed count of failures.
func (e *endpoint) failing(now time.Time) float64 {
	return e.failures * math.Exp2(-now.Sub(e.failedAt).Seconds()/failureHalfLife.Seconds())
}

// blame adds to the failures.
func (e *endpoint) blame(weight float64, now time.Time) {
	e.failures, e.failedAt = e.failing(now)+weight, now
}

// isHeard reports whether its agent has told of it lately.
func (e *endpoint) isHeard(now time.Time) bool { return e.agent && now.Sub(e.heard) <= agentSilence }

// isSilent reports whether its agent was heard before and has fallen silent.
func (e *endpoint) isSilent(now time.Time) bool { return e.agent && !e.isHeard(now) }

// isCold reports whether it has just started.
func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }
