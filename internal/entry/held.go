package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/parts"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// heldRequest is a request that an endpoint held when the attempt at it ended.
type heldRequest struct {
	id          string
	fingerprint string
	parts       []blame.Part
	// incarnation identifies the endpoint's process.
	incarnation string
	// unanswered is set if the endpoint hadn't begun to answer.
	unanswered bool
	// alone is set if the endpoint ran no other request.
	alone bool
}

// recordCrash records a crash of the attempt's endpoint for its request, now if the agent has
// seen it, and later if the attempt has ended for another reason and the endpoint crashes right
// after. A request that completed while it was the only one on its endpoint is cleared.
func (r *inflightRequest) recordCrash(result attemptResult, t *attempt) {
	if result.done {
		if t.grant.exclusive {
			r.entry.crashes.clear(r.fingerprint())
		}
		return
	}
	attempts := r.log.Attempts()
	if result.parked || attempts[len(attempts)-1].State() == retry.Refused {
		return
	}
	held := heldRequest{
		id: r.id, fingerprint: r.fingerprint(), parts: r.parts, incarnation: incarnationOf(t.grant.endpoint.Name(), t.grant.epoch),
		unanswered: t.chunks < settledChunks, alone: t.grant.exclusive,
	}
	if result.endpointDied {
		r.entry.lostAttempts.Add(1, "down")
		r.entry.recordLaterCrash(held.incarnation)
		r.entry.recordCrash(held)
		return
	}
	if !held.unanswered {
		return
	}
	r.entry.lostAttempts.Add(1, "unknown")
	// The endpoint may get other requests by the time at which it crashes.
	held.alone = false
	r.entry.held.Add(held.incarnation, held, time.Now())
	if t.grant.conn.hasCrashed(t.grant.epoch) {
		r.entry.recordLaterCrash(held.incarnation)
	}
}

// recordLaterCrash records that an endpoint's process has crashed for the requests that it may
// hold though their attempts have ended. It doesn't block.
func (e *Entry) recordLaterCrash(incarnation string) {
	for _, held := range e.held.Take(incarnation, time.Now()) {
		e.lostAttempts.Add(1, "down_later")
		go e.recordCrash(held)
	}
}

// recordCrash records that an endpoint crashed while it held a request, and tells the other
// entries.
func (e *Entry) recordCrash(held heldRequest) {
	if held.unanswered && len(held.parts) > 0 {
		event.PartSuspected.Log(e.logger, zap.String("request", held.id), zap.String("endpoint", held.incarnation),
			zap.String("parts", parts.Format(held.parts...)))
		e.follower.parts.RecordCrash(held.parts, held.incarnation, time.Now())
		parts.LogChanges(&e.follower.parts, e.logger)
		e.follower.pollPeersNow()
	}
	e.crashes.reportCrash(held.fingerprint, held.alone)
}
