package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/sched"
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

// partsOf returns the shared parts of a prompt.
func partsOf(service string, ids []string) []blame.Part {
	parts := make([]blame.Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, blame.PartOf(service, id))
	}
	return parts
}

// check returns why a request with the parts must be refused, nil if it may be sent.
func (g *partGuard) check(parts []blame.Part) *refusal {
	if len(parts) == 0 {
		return nil
	}
	now := time.Now()
	refused, nextProbe := g.tracker.Check(parts, g.isProber, now)
	if !refused {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "a part of the prompt is blocked: endpoints crashed on it",
		retryAfter: max(time.Second, nextProbe.Sub(now)),
	}
}

// isBlocked reports whether an attempt with the parts must be cancelled.
func (g *partGuard) isBlocked(parts []blame.Part) bool {
	return len(parts) > 0 && g.tracker.IsBlocked(parts, time.Now())
}

// isProber reports whether this entry probes a part: it does if the hash of its name and
// the part is the lowest among the members.
func (g *partGuard) isProber(part blame.Part) bool {
	own := g.entry.settings.Load().Name()
	hash := func(name string) uint64 { return xxhash.Sum64String(name + strconv.FormatUint(uint64(part), 16)) }
	for _, member := range g.entry.view.Load().Members() {
		if member.Name() != own && hash(member.Name()) < hash(own) {
			return false
		}
	}
	return true
}

// recordAnswer records that an endpoint answers the request.
func (g *partGuard) recordAnswer(r *request) {
	g.tracker.RecordAnswer(r.parts, time.Now())
	g.logChanges()
}

// recordFailure records a crash if the endpoint of a failed attempt is down. The
// connections to an endpoint also end when it leaves, and when another rank of its group
// crashes.
func (g *partGuard) recordFailure(ctx context.Context, r *request, assignment sched.Assignment) {
	endpoint := assignment.Endpoint()
	if len(r.parts) == 0 || r.answered.Load() || r.service.IsLeaving(assignment) || !g.entry.pool.IsDown(ctx, endpoint.Address()) {
		return
	}
	event.PartSuspected.Log(g.entry.logger, zap.String("request", r.head.ID), zap.String("endpoint", endpoint.ID()),
		zap.Strings("ids", r.head.SharedParts), zap.String("parts", formatParts(r.parts)))
	g.tracker.RecordCrash(r.parts, endpoint.Incarnation(), time.Now())
	g.logChanges()
	g.entry.peers.announceParts()
}

// logChanges logs the parts that have become blocked or are no longer blocked.
func (g *partGuard) logChanges() {
	for _, change := range g.tracker.DrainChanges() {
		changed := event.PartCleared
		if change.Blocked() {
			changed = event.PartBlocked
		}
		changed.Log(g.entry.logger, zap.String("part", formatParts([]blame.Part{change.Part()})), zap.Int("crashes", change.Crashes()))
	}
}

func formatParts(parts []blame.Part) string {
	formatted := make([]string, 0, len(parts))
	for _, part := range parts {
		formatted = append(formatted, strconv.FormatUint(uint64(part), 16))
	}
	return strings.Join(formatted, ",")
}

// encodeReports encodes reports on suspect parts.
func encodeReports(reports []blame.Report) []*wirepb.SuspectPart {
	var exported []*wirepb.SuspectPart
	for _, report := range reports {
		wire := &wirepb.SuspectPart{Part: uint64(report.Part()), Blocked: report.Blocked()}
		for _, crash := range report.Crashes() {
			wire.Crashes = append(wire.Crashes, &wirepb.PartCrash{Incarnation: crash.Incarnation(), AgeMs: uint32(crash.Age().Milliseconds())})
		}
		if age, proven := report.Answer(); proven {
			ms := uint32(min(age, time.Hour).Milliseconds())
			wire.AnsweredAgeMs = &ms
		}
		exported = append(exported, wire)
	}
	return exported
}

// merge adds what a peer knows about suspect parts.
func (g *partGuard) merge(parts []*wirepb.SuspectPart) {
	if len(parts) == 0 {
		return
	}
	reports := make([]blame.Report, 0, len(parts))
	for _, wire := range parts {
		var crashes []blame.Crash
		for _, crash := range wire.GetCrashes() {
			crashes = append(crashes, blame.NewCrash(crash.GetIncarnation(), milliseconds(crash.GetAgeMs())))
		}
		report := blame.NewReport(blame.Part(wire.GetPart()), crashes...)
		if wire.AnsweredAgeMs != nil {
			report = report.WithAnswer(milliseconds(wire.GetAnsweredAgeMs()))
		}
		if wire.GetBlocked() {
			report = report.WithBlock()
		}
		reports = append(reports, report)
	}
	g.tracker.Merge(reports, time.Now())
	g.logChanges()
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
