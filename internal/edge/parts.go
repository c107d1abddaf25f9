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
	"github.com/lentilstand/lentilstand/pkg/table"
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

// check returns why a request with the shared parts must be refused, nil if it may be sent.
func (g *partGuard) check(shared []blame.Part) *refusal {
	if len(shared) == 0 {
		return nil
	}
	now := time.Now()
	refused, nextProbe := g.tracker.Check(shared, g.probeRank, now)
	if !refused {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "a part of the prompt is blocked: endpoints crashed on it",
		retryAfter: max(time.Second, nextProbe.Sub(now)),
	}
}

// checkQueued is check for a request that has passed it before it was queued.
func (g *partGuard) checkQueued(shared []blame.Part) *refusal {
	if !g.isBlocked(shared) {
		return nil
	}
	return g.check(shared)
}

// isBlocked reports whether an attempt with the shared parts must be cancelled.
func (g *partGuard) isBlocked(shared []blame.Part) bool {
	return len(shared) > 0 && g.tracker.IsBlocked(shared, time.Now())
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
}

// recordCrash records that an endpoint crashed while it held the request, unless it had
// begun to answer it.
func (g *partGuard) recordCrash(r *request, endpoint *table.Endpoint) {
	if len(r.parts) == 0 || r.answered.Load() {
		return
	}
	event.PartSuspected.Log(g.entry.logger, zap.String("request", r.head.ID), zap.String("endpoint", endpoint.ID()),
		zap.Strings("ids", r.head.SharedParts), zap.String("parts", parts.Format(r.parts...)))
	g.tracker.RecordCrash(r.parts, endpoint.Incarnation(), time.Now())
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
