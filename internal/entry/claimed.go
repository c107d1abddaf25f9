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

// Bounds of claimed requests.
const (
	// duplicateWait is how long a duplicate waits for the first one's outcome.
	duplicateWait = 10 * time.Second
	// claimBound bounds the calls that settle or release a claim.
	claimBound = 5 * time.Second
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
)

// headerReplayed marks an answer that is the outcome of an earlier request.
const headerReplayed = "Lentilstand-Replayed"

// serveClaimed answers a request that must run at most once, with a key. Once it
// has been sent it goes on if its caller hangs up, so that the outcome is there
// when the caller asks again.
func (f *inflight) serveClaimed(key string) {
	if len(key) > maxKeyBytes {
		f.finish(apierr.New(http.StatusBadRequest, "malformed_key", "the idempotency key is too long"))
		return
	}
	request := f.exchange.Request()
	fingerprint := claim.Fingerprint(request.Method, request.URL.RequestURI(), f.body)
	claiming, cancel := context.WithTimeout(context.Background(), claimBound)
	defer cancel()
	taken, record, err := f.entry.claims.Acquire(claiming, f.team.Name(), key, fingerprint)
	switch {
	case err == nil:
		f.runClaimed(taken, key)
	case errors.Is(err, claim.ErrKeyReused):
		f.finish(apierr.New(http.StatusUnprocessableEntity, "key_reused", "the idempotency key was used with another request"))
	case errors.Is(err, claim.ErrAlreadyClaimed):
		f.replay(key, record)
	default:
		f.finish(apierr.New(http.StatusServiceUnavailable, "claim_unavailable",
			"the idempotency key can't be claimed now", apierr.WithRetryAfter(retrySoon)))
	}
}

// runClaimed runs a request whose key this entry owns.
func (f *inflight) runClaimed(taken *claim.Claim, key string) {
	ctx, cancel := context.WithDeadline(context.Background(), f.deadline)
	defer cancel()
	settled := false
	f.answer.observe(func(status int, header http.Header, body []byte) {
		settled = true
		f.settleClaim(taken, claim.NewOutcome(status, outcomeFields(header), body))
	})
	failure := f.run(ctx)
	if failure != nil && !settled {
		failure = f.failClaim(taken, failure, key)
	}
	f.finish(failure)
}

// settleClaim keeps the outcome before the caller gets it. A caller who asks
// again finds it, or finds that the outcome is unknown.
func (f *inflight) settleClaim(taken *claim.Claim, outcome claim.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), claimBound)
	defer cancel()
	if err := taken.Complete(ctx, outcome); err != nil {
		event.ClaimUnsettled.Log(f.entry.logger, zap.String("request", f.id), event.Error(err))
	}
}

// failClaim gives up the claim of a request that has provably not run. Where it
// may have run, the claim stays and the caller gets a handle to ask by.
func (f *inflight) failClaim(taken *claim.Claim, failure *apierr.Error, key string) *apierr.Error {
	if f.log.Outcome() != retry.OutcomeNotRun {
		return apierr.New(http.StatusBadGateway, "outcome_unknown",
			"the request may have run; ask for its outcome before sending it with another key",
			apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithOutcomePath(pathOutcomes+url.PathEscape(key)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimBound)
	defer cancel()
	if err := taken.Release(ctx); err != nil {
		event.ClaimUnsettled.Log(f.entry.logger, zap.String("request", f.id), event.Error(err))
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

// replay answers a duplicate with the first request's outcome.
func (f *inflight) replay(key string, record claim.Record) {
	ctx, cancel := context.WithDeadline(f.exchange.Context(), f.deadline)
	defer cancel()
	record, err := f.entry.claims.Await(ctx, f.team.Name(), key, record, duplicateWait)
	if errors.Is(err, store.ErrNotFound) {
		// The first one has provably not run and has given up its claim.
		f.finish(apierr.New(http.StatusConflict, "first_not_run",
			"the first request with this key has not run; send it again", apierr.WithRetryAfter(retrySoon)))
		return
	}
	f.replyRecord(key, record)
}

// replyRecord answers with what is known of a claimed key.
func (f *inflight) replyRecord(key string, record claim.Record) {
	if !record.Done() {
		f.finish(apierr.New(http.StatusConflict, "outcome_unknown",
			"a request with this key is in progress or its outcome is unknown",
			apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithRetryAfter(retrySoon),
			apierr.WithOutcomePath(pathOutcomes+url.PathEscape(key))))
		return
	}
	replyOutcome(f.exchange, record.Outcome())
	f.entry.requests.Add(1, "replayed")
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

// serveOutcome tells a caller what became of the request with a key.
func (e *Entry) serveOutcome(exchange *webio.Exchange) {
	_, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	key := strings.TrimPrefix(exchange.Request().URL.Path, pathOutcomes)
	ctx, cancel := context.WithTimeout(exchange.Context(), claimBound)
	defer cancel()
	record, err := e.claims.Lookup(ctx, team.Name(), key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		e.refuse(exchange, apierr.New(http.StatusNotFound, "unknown_key", "no request with this key is known"))
	case err != nil:
		e.refuse(exchange, apierr.New(http.StatusServiceUnavailable, "outcome_unavailable",
			"the outcome can't be looked up now", apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithRetryAfter(retrySoon)))
	case !record.Done():
		e.refuse(exchange, apierr.New(http.StatusConflict, "outcome_unknown",
			"the request is in progress or its outcome is unknown",
			apierr.WithOutcome(retry.OutcomeUnknown), apierr.WithRetryAfter(retrySoon)))
	default:
		replyOutcome(exchange, record.Outcome())
	}
}
