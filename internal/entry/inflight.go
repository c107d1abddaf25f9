package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Request header fields that the entry interprets.
const (
	headerSession     = "X-Session-Id"
	headerTimeout     = "Lentilstand-Timeout-Ms"
	headerIdempotency = "Idempotency-Key"
)

// shortRetryAfter is the Retry-After value for transient errors.
const shortRetryAfter = time.Second

// inflightRequest is a request in progress.
type inflightRequest struct {
	entry    *Entry
	exchange *webio.Exchange
	team     config.Team
	service  config.Service
	id       string
	session  string
	prefix   uint64
	// parts holds the parts of the prompt that other requests may share.
	parts []blame.Part
	// probe is when the request became the probe of a part that is blocked, zero if it is
	// none.
	probe         time.Time
	target        string
	streaming     bool
	body          []byte
	startedAt     time.Time
	deadline      time.Time
	log           retry.Log
	auditAttempts []audit.Attempt
	parkCount     int
	response      *response
}

func newInflight(e *Entry, exchange *webio.Exchange, team config.Team, service config.Service) *inflightRequest {
	id := uuid.NewString()
	return &inflightRequest{
		entry:    e,
		exchange: exchange,
		team:     team,
		service:  service,
		id:       id,
		// Audit records can hold only valid UTF-8, and an audit must replay the
		// decision with the same session.
		session:   strings.ToValidUTF8(exchange.Request().Header.Get(headerSession), "?"),
		target:    exchange.Request().URL.Path,
		startedAt: time.Now(),
		response:  newResponse(exchange, id),
	}
}

// refuse rejects a request that has not run.
func (e *Entry) refuse(exchange *webio.Exchange, err *apierr.Error) {
	event.RequestRefused.Log(e.logger,
		zap.String("code", err.Code()),
		zap.String("outcome", string(err.Outcome())),
		zap.String("path", exchange.Request().URL.Path))
	e.requests.Add(1, err.Code())
	err.Reply(exchange)
}

// repeatable reports whether the request may run more than once.
func (r *inflightRequest) repeatable() bool {
	switch r.exchange.Request().Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return r.service.Repeatable()
	}
}

// serve handles the request and sends the response.
func (r *inflightRequest) serve() {
	timeout, refusal := r.timeout()
	if refusal == nil {
		refusal = r.checkAdmission()
	}
	if refusal != nil {
		r.finish(refusal)
		return
	}
	r.deadline = r.startedAt.Add(timeout)
	if refusal := r.checkStop(); refusal != nil {
		r.finish(refusal)
		return
	}
	if !r.entry.teams.acquire(r.team) {
		r.finish(apierr.New(http.StatusTooManyRequests, "team_limit",
			"the team has reached its limit of concurrent requests", apierr.WithRetryAfter(shortRetryAfter)))
		return
	}
	defer r.entry.teams.release(r.team)
	if key := r.exchange.Request().Header.Get(headerIdempotency); key != "" && !r.repeatable() {
		r.serveClaimed(key)
		return
	}
	ctx, cancel := context.WithDeadline(r.exchange.Context(), r.deadline)
	defer cancel()
	r.finish(r.runAttempts(ctx))
}

// timeout returns the time limit of the request: the service's, or a lower one that
// the caller asks for.
func (r *inflightRequest) timeout() (time.Duration, *apierr.Error) {
	text := r.exchange.Request().Header.Get(headerTimeout)
	if text == "" {
		return r.service.Timeout(), nil
	}
	number, err := strconv.ParseUint(text, 10, 31)
	if err != nil || number == 0 {
		return 0, apierr.New(http.StatusBadRequest, "malformed_timeout",
			"the header "+headerTimeout+" must be a number of milliseconds")
	}
	return min(r.service.Timeout(), time.Duration(number)*time.Millisecond), nil
}

// checkAdmission returns an error if the request must not be served at the moment.
func (r *inflightRequest) checkAdmission() *apierr.Error {
	if state := r.entry.follower.serveState(); !state.MayServe() {
		return apierr.New(http.StatusServiceUnavailable, "configuration_not_current",
			"this entry can't confirm that its configuration is current; use another entry",
			apierr.WithRetryAfter(shortRetryAfter))
	}
	if !r.entry.follower.currentRules().MayUse(r.team, r.service.Name()) {
		return apierr.New(http.StatusForbidden, "service_not_granted",
			"the team "+r.team.Name()+" may not use the service "+r.service.Name())
	}
	return nil
}

// Parameters of requests that come while the entry stops.
const (
	// runTimeMargin is how many times longer than the longest recent one a request may run.
	runTimeMargin = 1.5
	// stoppingRetryAfter is when a caller may retry that a stopping entry has refused.
	// Another entry can serve it at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// checkStop returns an error if the entry stops before a request that hasn't been sent yet
// is expected to end. It would be cut off, though other entries can serve it.
func (r *inflightRequest) checkStop() *apierr.Error {
	now := time.Now()
	within := r.deadline.Sub(now)
	if longest, known := r.entry.runTimes.Longest(r.service.Name(), now); known {
		within = min(within, time.Duration(runTimeMargin*float64(longest)))
	}
	if r.log.Sent() > 0 || r.entry.stop.Takes(within, now) {
		return nil
	}
	return apierr.New(http.StatusServiceUnavailable, "entry_stopping", "the entry stops before the request could end; use another entry",
		apierr.WithOutcome(r.log.Outcome()), apierr.WithRetryAfter(stoppingRetryAfter))
}

// runAttempts makes attempts until one succeeds, another one would be unsafe or the
// retry limit is reached. It returns nil if the caller received the full response.
func (r *inflightRequest) runAttempts(ctx context.Context) *apierr.Error {
	defer r.cancelProbe()
	for {
		grant, refusal := r.reserve(ctx)
		if refusal != nil {
			return refusal
		}
		r.auditAttempts = append(r.auditAttempts, grant.trace)
		result := r.runAttempt(ctx, grant)
		if result.done {
			now := time.Now()
			r.entry.runTimes.Record(r.service.Name(), now.Sub(r.startedAt), now)
			r.entry.budget.Success(r.budgetKey(), r.service.Retry().Percent())
			return nil
		}
		if result.parked {
			r.parkCount++
			r.awaitDrained(ctx)
			continue
		}
		if err := r.checkRetry(ctx, result); err != nil {
			return err
		}
		r.response.reset()
		sleep(ctx, retry.Backoff(max(1, r.log.Sent())))
	}
}

func (r *inflightRequest) budgetKey() string { return r.service.Name() + "/" + r.team.Name() }

// attemptResult is the result of an attempt.
type attemptResult struct {
	done            bool
	responseStarted bool
	endpointDied    bool
	// timedOut is set if the agent's timer for the request's deadline has fired, which may
	// be just before the entry's own.
	timedOut bool
	parked   bool
	message  string
	code     string
}

// checkRetry returns nil if the request may be retried after a failed attempt, and
// otherwise the error to send to the caller.
func (r *inflightRequest) checkRetry(ctx context.Context, result attemptResult) *apierr.Error {
	failure := r.attemptError(result)
	switch {
	case r.exchange.Context().Err() != nil:
		return r.callerGoneError()
	case ctx.Err() != nil || result.timedOut:
		return r.timeoutError()
	case result.responseStarted && !r.response.canResume():
		return failure
	case !r.log.MayRetry(r.repeatable()):
		return failure
	case r.log.Sent()-r.parkCount >= r.service.Retry().MaxAttempts():
		return failure
	case !r.entry.budget.Spend(r.budgetKey()):
		return failure
	}
	return nil
}

func (r *inflightRequest) attemptError(result attemptResult) *apierr.Error {
	outcome := r.log.Outcome()
	if outcome == retry.OutcomeUnknown || result.responseStarted {
		return apierr.New(http.StatusBadGateway, "endpoint_failed", result.message, apierr.WithOutcome(outcome))
	}
	return apierr.New(http.StatusServiceUnavailable, result.code, result.message,
		apierr.WithOutcome(outcome), apierr.WithRetryAfter(shortRetryAfter))
}

func (r *inflightRequest) timeoutError() *apierr.Error {
	return apierr.New(http.StatusGatewayTimeout, "timeout", "the request exceeded its time limit",
		apierr.WithOutcome(r.log.Outcome()))
}

func (r *inflightRequest) callerGoneError() *apierr.Error {
	event.CallerGone.Log(r.entry.logger, zap.String("request", r.id), zap.String("team", r.team.Name()))
	return apierr.New(statusCallerGone, "caller_gone", "the caller disconnected", apierr.WithOutcome(r.log.Outcome()))
}

// statusCallerGone is the status of requests whose caller disconnected, as in
// nginx.
const statusCallerGone = 499

// finish records the outcome of the request and sends the error, if any, to the
// caller.
func (r *inflightRequest) finish(failure *apierr.Error) {
	r.recordAudit(failure)
	if failure == nil {
		r.entry.requests.Add(1, "served")
		event.RequestServed.Log(r.entry.logger, zap.String("request", r.id), zap.Duration("took", time.Since(r.startedAt)))
		return
	}
	r.entry.requests.Add(1, failure.Code())
	outcomeEvent := event.RequestRefused
	switch {
	case r.response.started():
		outcomeEvent = event.StreamBroken
	case failure.Outcome() == retry.OutcomeUnknown:
		outcomeEvent = event.OutcomeUnknown
	}
	outcomeEvent.Log(r.entry.logger,
		zap.String("request", r.id),
		zap.String("team", r.team.Name()),
		zap.String("service", r.service.Name()),
		zap.String("code", failure.Code()),
		zap.String("outcome", string(failure.Outcome())))
	r.response.fail(failure)
}

// recordAudit adds the request to the audit records.
func (r *inflightRequest) recordAudit(failure *apierr.Error) {
	code := ""
	if failure != nil {
		code = failure.Code()
	}
	var attempts []audit.Attempt
	for i, attempt := range r.log.Attempts() {
		attempts = append(attempts, r.auditAttempts[i].WithState(attempt.State()))
	}
	record := audit.NewRecord(r.id, r.startedAt, r.team.Name(), r.service.Name(), r.target, r.entry.settings.DataCentre(), r.session)
	record = record.WithOutcome(attempts, r.log.Outcome(), code).WithTiming(r.response.firstByte, r.response.maxGap)
	r.entry.records.Add(record)
}

// enterQueue waits until the service's queue admits the request.
func (r *inflightRequest) enterQueue(ctx context.Context, queue *admit.Queue) *apierr.Error {
	ticket := admit.NewRequest(r.team.Name(), r.team.Weight(), r.team.Priority(), int64(len(r.body)))
	err := queue.Acquire(ctx, ticket)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, admit.ErrQueueFull):
		return apierr.New(http.StatusTooManyRequests, "queue_full", "too many requests are queued for this service",
			apierr.WithOutcome(r.log.Outcome()), apierr.WithRetryAfter(queue.RetryAfter()))
	case errors.Is(err, admit.ErrQueueTimeout):
		return r.queueTimeoutError(queue)
	case r.exchange.Context().Err() != nil:
		return r.callerGoneError()
	default:
		return r.timeoutError()
	}
}

func (r *inflightRequest) queueTimeoutError(queue *admit.Queue) *apierr.Error {
	return apierr.New(http.StatusTooManyRequests, "queue_timeout", "no endpoint became available in time",
		apierr.WithOutcome(r.log.Outcome()), apierr.WithRetryAfter(queue.RetryAfter()))
}

// isStale reports whether an agent rejected a reservation because the entry's
// configuration version is older than the agent's.
func isStale(err error) bool { return eris.Is(err, errStaleVersion) }
