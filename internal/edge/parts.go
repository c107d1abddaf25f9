package edge

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/parts"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/blame"
)

// settledEvents is the number of events after which an attempt at a stream counts as
// answered: an endpoint that crashes on a part of the prompt does so as it begins.
const settledEvents = 3

// errPartBlocked is the cause of an attempt's cancellation when a part of its prompt has
// become blocked.
var errPartBlocked = eris.New("a part of the prompt is blocked")

// partGuard keeps requests whose prompts have a part that crashes endpoints from the
// endpoints.
type partGuard struct {
	entry   *Entry
	tracker blame.Tracker
}

// check returns why a request with the shared parts must be refused, nil if it may be queued.
func (g *partGuard) check(shared []blame.Part) *refusal {
	if len(shared) == 0 {
		return nil
	}
	now := time.Now()
	if refused, next := g.tracker.Check(shared, g.probeRank, now); refused {
		return refusePart(next.Sub(now))
	}
	return nil
}

// refusePart returns the refusal of a request with a blocked part.
func refusePart(retryAfter time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "a part of the prompt is blocked: endpoints crashed on it",
		retryAfter: max(time.Second, retryAfter),
	}
}

// checkSend returns why a request must not be sent to an endpoint, nil if it may be. If one of
// its parts is blocked, the request is the probe of that part from now on.
func (g *partGuard) checkSend(r *request) *refusal {
	if len(r.parts) == 0 || !r.probe.IsZero() && !g.isBlocked(r) {
		return nil
	}
	now := time.Now()
	started, ok := g.tracker.BeginProbe(r.parts, g.probeRank, now)
	if !ok {
		_, next := g.tracker.Check(r.parts, g.probeRank, now)
		return refusePart(next.Sub(now))
	}
	if r.probe = started; !started.IsZero() {
		event.PartProbed.Log(g.entry.logger, zap.String("request", r.head.ID), zap.String("parts", parts.Format(r.parts...)))
		g.entry.peers.announceSuspects()
	}
	return nil
}

// cancelProbe lets another request be the probe if this one was and no endpoint has run it.
func (g *partGuard) cancelProbe(r *request) {
	if !r.probe.IsZero() && !r.reachedEndpoint {
		g.tracker.CancelProbe(r.parts, r.probe)
	}
}

// isBlocked reports whether an attempt at the request must be cancelled.
func (g *partGuard) isBlocked(r *request) bool {
	return len(r.parts) > 0 && g.tracker.IsBlocked(r.parts, r.probe, time.Now())
}

// probeRank returns this entry's position among those that may probe a part.
func (g *partGuard) probeRank(part blame.Part) int {
	var names []string
	for _, member := range g.entry.view.Load().Members() {
		names = append(names, member.Name())
	}
	return blame.ProbeRank(part, g.entry.settings.Load().Name(), names...)
}

// recordAnswer records that an endpoint answers the request.
func (g *partGuard) recordAnswer(r *request) {
	g.tracker.RecordAnswer(r.parts, time.Now())
	parts.LogChanges(&g.tracker, g.entry.logger)
	if !r.probe.IsZero() {
		g.entry.peers.announceSuspects()
	}
}

// recordCrash records that an endpoint crashed while it held the request, unless it had
// begun to answer it.
func (g *partGuard) recordCrash(h heldRequest) {
	if len(h.parts) == 0 || !h.unanswered {
		return
	}
	endpoint := h.assignment.Endpoint()
	event.PartSuspected.Log(g.entry.logger, zap.String("request", h.id), zap.String("endpoint", endpoint.ID()),
		zap.Strings("ids", h.partIDs), zap.String("parts", parts.Format(h.parts...)))
	g.tracker.RecordCrash(h.parts, endpoint.Incarnation(), time.Now())
	parts.LogChanges(&g.tracker, g.entry.logger)
}

// merge adds what a peer knows about suspect parts.
func (g *partGuard) merge(reports []*wirepb.SuspectPart) {
	if len(reports) == 0 {
		return
	}
	g.tracker.Merge(parts.Decode(reports), time.Now())
	parts.LogChanges(&g.tracker, g.entry.logger)
}
