package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/claim"
	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// Limits of requests with an idempotency key.
const (
	// duplicateWait is how long a duplicate request waits for the outcome of the
	// original one.
	duplicateWait = 10 * time.Second
	// claimTimeout bounds each operation on a claim in the key-value store.
	claimTimeout = 5 * time.Second
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
)

// headerReplayed marks a response that repeats the stored outcome of an earlier
// request.
const headerReplayed = "Lentilstand-Replayed"

// serveClaimed serves a request that carries an idempotency key and must run at
// most once. The request continues if its caller disconnects, so that a retry with
// the same key finds the outcome.
func (r *inflightRequest) serveClaimed(key string) {
	if len(key) > maxKeyBytes {
		r.finish(apierr.New(http.StatusBadRequest, "malformed_key", "the idempotency key is too long"))
		return
	}
	request := r.exchange.Request()
	fingerprint := claim.Fingerprint(request.Method, request.URL.RequestURI(), r.body)
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	acquired, record, err := r.entry.claims.Acquire(ctx, r.team.Name(), key, fingerprint)
	switch {
	case err == nil:
		r.runClaimed(acquired, key)
	case errors.Is(err, claim.ErrKeyReused):
		r.finish(apierr.New(http.StatusUnprocessableEntity, "key_reused", "the idempotency key was already used for a different request"))
	case errors.Is(err, claim.ErrAlreadyClaimed):
		r.replayOutcome(key, record)
	default:
		r.finish(apierr.New(http.StatusServiceUnavailable, "claim_unavailable",
			"the idempotency key can't be claimed at the moment", apierr.WithRetryAfter(shortRetryAfter)))
	}
}

// runClaimed runs a request whose key was claimed by this entry.
func (r *inflightRequest) runClaimed(acquired *claim.Claim, key string) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	completed := false
	r.response.setOnComplete(func(status int, header http.Header, body []byte) {
		completed = true
		r.completeClaim(acquired, claim.NewOutcome(status, outcomeFields(header), body))
	})
	failure := r.runAttempts(ctx)
	if failure != nil && !completed {
		failure = r.releaseClaim(acquired, failure, key)
	}
	r.finish(failure)
}

// completeClaim stores the outcome before it is sent to the caller. A retry with
// the same key gets the stored outcome, or an unknown outcome if the write failed.
func (r *inflightRequest) completeClaim(acquired *claim.Claim, outcome claim.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := acquired.Complete(ctx, outcome); err != nil {
		event.ClaimUnsettled.Log(r.entry.logger, zap.String("request", r.id), event.Error(err))
	}
}

// restoreClaims writes claims again that the store has lost by a recovery from a copy, until
// ctx is done.
func (e *Entry) restoreClaims(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.follower.changes()
		if err := e.claims.Restore(ctx); err != nil {
			event.ClaimUnsettled.Log(e.logger, event.Error(err))
			sleep(ctx, retryInterval)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// releaseClaim releases the claim of a request that has provably not run. If the
// request may have run, the claim is kept and the returned error carries a handle
// for querying the outcome.
func (r *inflightRequest) releaseClaim(acquired *claim.Claim, failure *apierr.Error, key string) *apierr.Error {
	if r.log.Outcome() != retry.OutcomeNotRun {
		return apierr.New(http.StatusBadGateway, "outcome_unknown",
			"the request may have run; query its outcome before sending it with another key",
			apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithOutcomePath(pathOutcomes+url.PathEscape(key)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := acquired.Release(ctx); err != nil {
		event.ClaimUnsettled.Log(r.entry.logger, zap.String("request", r.id), event.Error(err))
	}
	return failure
}

func outcomeFields(header http.Header) []claim.Field {
	var fields []claim.Field
	for name, values := range header {
		if strings.HasPrefix(name, "Lentilstand-") {
			continue
		}
		for _, value := range values {
			fields = append(fields, claim.NewField(name, value))
		}
	}
	return fields
}

// replayOutcome responds to a duplicate with the outcome of the original request.
func (r *inflightRequest) replayOutcome(key string, record claim.Record) {
	ctx, cancel := context.WithDeadline(r.exchange.Context(), r.deadline)
	defer cancel()
	record, err := r.entry.claims.Await(ctx, r.team.Name(), key, record, duplicateWait)
	if errors.Is(err, store.ErrNotFound) {
		// The original request has provably not run and released its claim.
		r.finish(apierr.New(http.StatusConflict, "first_not_run",
			"the first request with this key has not run; send it again", apierr.WithRetryAfter(shortRetryAfter)))
		return
	}
	r.replyRecord(key, record)
}

// replyRecord responds with the stored outcome of a claim, or with an error if
// there is none yet.
func (r *inflightRequest) replyRecord(key string, record claim.Record) {
	if !record.Done() {
		r.finish(apierr.New(http.StatusConflict, "outcome_unknown",
			"a request with this key is in progress or its outcome is unknown",
			apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithRetryAfter(shortRetryAfter),
			apierr.WithOutcomePath(pathOutcomes+url.PathEscape(key))))
		return
	}
	replyOutcome(r.exchange, record.Outcome())
	r.entry.requests.Add(1, "replayed")
}

func replyOutcome(exchange *webio.Exchange, outcome claim.Outcome) {
	header := http.Header{
		headerReplayed:       {"true"},
		apierr.HeaderOutcome: {string(retry.OutcomeRun)},
	}
	for _, field := range outcome.Fields() {
		header.Add(field.Name(), field.Value())
	}
	if outcome.BodyOmitted() {
		header.Set("Lentilstand-Body-Cut", "true")
	}
	exchange.Reply(outcome.Status(), header, outcome.Body())
}

// serveOutcome responds with the outcome of the request with a given idempotency
// key.
func (e *Entry) serveOutcome(exchange *webio.Exchange) {
	_, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	key := strings.TrimPrefix(exchange.Request().URL.Path, pathOutcomes)
	ctx, cancel := context.WithTimeout(exchange.Context(), claimTimeout)
	defer cancel()
	record, err := e.claims.Lookup(ctx, team.Name(), key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		e.refuse(exchange, apierr.New(http.StatusNotFound, "unknown_key", "there is no request with this key"))
	case err != nil:
		e.refuse(exchange, apierr.New(http.StatusServiceUnavailable, "outcome_unavailable",
			"the outcome can't be looked up at the moment", apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithRetryAfter(shortRetryAfter)))
	case !record.Done():
		e.refuse(exchange, apierr.New(http.StatusConflict, "outcome_unknown",
			"the request is in progress or its outcome is unknown",
			apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithRetryAfter(shortRetryAfter)))
	default:
		replyOutcome(exchange, record.Outcome())
	}
}
