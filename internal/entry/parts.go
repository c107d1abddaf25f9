package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/parts"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Limits of the parts of prompts.
const (
	// settledChunks is the number of chunks after which an attempt counts as answered: an
	// endpoint that crashes on a part of the prompt does so as it begins.
	settledChunks = 3
	// maxParts limits the messages of a chat that are tracked as parts.
	maxParts = 64
)

// sharedParts returns the messages of a chat that other requests may share: all but the
// last.
func (c wireChat) sharedParts(service string) []blame.Part {
	if len(c.Messages) < 2 {
		return nil
	}
	var ids []string
	for _, message := range c.Messages[:min(len(c.Messages)-1, maxParts)] {
		ids = append(ids, message.Role+": "+string(message.Content))
	}
	return parts.Of(service, ids)
}

// checkParts returns an error if a part of the request's prompt is blocked.
func (r *inflightRequest) checkParts() *apierr.Error {
	if len(r.parts) == 0 {
		return nil
	}
	now := time.Now()
	refused, nextProbe := r.entry.follower.parts.Check(r.parts, r.entry.follower.probeRank, now)
	if !refused || !r.probe.IsZero() && !r.entry.follower.parts.IsBlocked(r.parts, r.probe, now) {
		return nil
	}
	return apierr.New(http.StatusServiceUnavailable, "prompt_crashes_endpoints",
		"endpoints crashed on requests that share a message of this prompt",
		apierr.WithOutcome(r.log.Outcome()), apierr.WithRetryAfter(max(shortRetryAfter, nextProbe.Sub(now))))
}

// beginProbe is called before the request is sent, and reports whether it may be. If one of
// its parts is blocked, the request is the probe of that part from now on.
func (r *inflightRequest) beginProbe() bool {
	f, now := r.entry.follower, time.Now()
	if len(r.parts) == 0 || !r.probe.IsZero() && !f.parts.IsBlocked(r.parts, r.probe, now) {
		return true
	}
	started, ok := f.parts.BeginProbe(r.parts, f.probeRank, now)
	if r.probe = started; !started.IsZero() {
		event.PartProbed.Log(r.entry.logger, zap.String("request", r.id), zap.String("parts", parts.Format(r.parts...)))
		f.pollPeersNow()
	}
	return ok
}

// cancelProbe lets another request be the probe if this one was and hasn't run.
func (r *inflightRequest) cancelProbe() {
	if !r.probe.IsZero() && r.log.Outcome() == retry.OutcomeNotRun {
		r.entry.follower.parts.CancelProbe(r.parts, r.probe)
	}
}

// recordPartAnswer records that the endpoint has begun to answer.
func (r *inflightRequest) recordPartAnswer() {
	r.entry.follower.parts.RecordAnswer(r.parts, time.Now())
	parts.LogChanges(&r.entry.follower.parts, r.entry.logger)
	if !r.probe.IsZero() {
		r.entry.follower.pollPeersNow()
	}
}

// probeRank returns this entry's position among those that may probe a part.
func (f *follower) probeRank(part blame.Part) int {
	var voters []string
	for _, m := range f.memberList() {
		voters = append(voters, m.Voter())
	}
	return blame.ProbeRank(part, f.voter, voters...)
}
