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
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Header fields that callers may send.
const (
	headerSession     = "X-Session-Id"
	headerTimeout     = "Lentilstand-Timeout-Ms"
	headerIdempotency = "Idempotency-Key"
)

// retrySoon is the advice for refusals that pass quickly.
const retrySoon = time.Second

// inflight is one request on its way through the entry.
type inflight struct {
	entry     *Entry
	exchange  *webio.Exchange
	team      config.Team
	service   config.Service
	id        string
	session   string
	prefix    uint64
	asked     string
	streaming bool
	body      []byte
	began     time.Time
	deadline  time.Time
	log       retry.Log
	traces    []audit.Attempt
	parks     int
	answer    *answer
}

func newInflight(e *Entry, exchange *webio.Exchange, team config.Team, service config.Service) *inflight {
	id := uuid.NewString()
	return &inflight{
		entry:    e,
		exchange: exchange,
		team:     team,
		service:  service,
		id:       id,
		// Records hold text only, and an audit must decide by the same session.
		session: strings.ToValidUTF8(exchange.Request().Header.Get(headerSession), "?"),
		asked:   exchange.Request().URL.Path,
		began:   time.Now(),
		answer:  newAnswer(exchange, id),
	}
}

// refuse answers a request that has not run.
func (e *Entry) refuse(exchange *webio.Exchange, err *apierr.Error) {
	event.RequestRefused.Log(e.logger,
		zap.String("code", err.Code()),
		zap.String("outcome", string(err.Outcome())),
		zap.String("path", exchange.Request().URL.Path))
	e.requests.Add(1, err.Code())
	err.Reply(exchange)
}

// repeatable reports whether the request may run more than once.
func (f *inflight) repeatable() bool {
	switch f.exchange.Request().Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return f.service.Repeatable()
	}
}

// serve answers the request.
func (f *inflight) serve() {
	timeout, refusal := f.timeout()
	if refusal == nil {
		refusal = f.admissible()
	}
	if refusal != nil {
		f.finish(refusal)
		return
	}
	if !f.entry.teams.enter(f.team) {
		f.finish(apierr.New(http.StatusTooManyRequests, "team_limit",
			"the team has as many requests in progress as it may have", apierr.WithRetryAfter(retrySoon)))
		return
	}
	defer f.entry.teams.leave(f.team)
	f.deadline = f.began.Add(timeout)
	if key := f.exchange.Request().Header.Get(headerIdempotency); key != "" && !f.repeatable() {
		f.serveClaimed(key)
		return
	}
	ctx, cancel := context.WithDeadline(f.exchange.Context(), f.deadline)
	defer cancel()
	f.finish(f.run(ctx))
}

// timeout returns how long the request may take.
func (f *inflight) timeout() (time.Duration, *apierr.Error) {
	text := f.exchange.Request().Header.Get(headerTimeout)
	if text == "" {
		return f.service.Timeout(), nil
	}
	number, err := strconv.ParseUint(text, 10, 31)
	if err != nil || number == 0 {
		return 0, apierr.New(http.StatusBadRequest, "malformed_timeout",
			"the header "+headerTimeout+" must be a number of milliseconds")
	}
	return min(f.service.Timeout(), time.Duration(number)*time.Millisecond), nil
}

// admissible returns why the request can't be taken at all now, or nil.
func (f *inflight) admissible() *apierr.Error {
	if standing := f.entry.follower.standing(); !standing.MayServe() {
		return apierr.New(http.StatusServiceUnavailable, "configuration_not_current",
			"this entry can't show that its configuration is current; use another one",
			apierr.WithRetryAfter(retrySoon))
	}
	if !f.entry.follower.currentRules().MayUse(f.team, f.service.Name()) {
		return apierr.New(http.StatusForbidden, "service_not_granted",
			"the team "+f.team.Name()+" may not use the service "+f.service.Name())
	}
	return nil
}

// run tries the request until it has an answer, no more attempt is safe or none
// is left. It returns nil if the caller has the whole answer.
func (f *inflight) run(ctx context.Context) *apierr.Error {
	for {
		grant, refusal := f.reserve(ctx)
		if refusal != nil {
			return refusal
		}
		f.traces = append(f.traces, grant.trace)
		end := f.attempt(ctx, grant)
		if end.done {
			f.entry.budget.Success(f.budgetKey(), f.service.Retry().Percent())
			return nil
		}
		if end.parked {
			f.parks++
			f.awaitDrain(ctx)
			continue
		}
		if err := f.mayRetry(ctx, end); err != nil {
			return err
		}
		f.answer.restart()
		pauseUnless(ctx, retry.Backoff(max(1, f.log.Sent())))
	}
}

func (f *inflight) budgetKey() string { return f.service.Name() + "/" + f.team.Name() }

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	done    bool
	begun   bool
	died    bool
	parked  bool
	message string
	code    string
}

// mayRetry returns the error with which the request ends after a failed
// attempt, or nil if it may be tried once more.
func (f *inflight) mayRetry(ctx context.Context, end attemptEnd) *apierr.Error {
	failure := f.failure(end)
	switch {
	case f.exchange.Context().Err() != nil:
		return f.callerGone()
	case ctx.Err() != nil:
		return f.timedOut()
	case end.begun && !f.answer.resumable():
		return failure
	case !f.log.MayRetry(f.repeatable()):
		return failure
	case f.log.Sent()-f.parks >= f.service.Retry().MaxAttempts():
		return failure
	case !f.entry.budget.Spend(f.budgetKey()):
		return failure
	}
	return nil
}

func (f *inflight) failure(end attemptEnd) *apierr.Error {
	outcome := f.log.Outcome()
	if outcome == retry.OutcomeUnknown || end.begun {
		return apierr.New(http.StatusBadGateway, "endpoint_failed", end.message, apierr.WithOutcome(outcome))
	}
	return apierr.New(http.StatusServiceUnavailable, end.code, end.message,
		apierr.WithOutcome(outcome), apierr.WithRetryAfter(retrySoon))
}

func (f *inflight) timedOut() *apierr.Error {
	return apierr.New(http.StatusGatewayTimeout, "timeout", "the request took longer than it may",
		apierr.WithOutcome(f.log.Outcome()))
}

func (f *inflight) callerGone() *apierr.Error {
	event.CallerGone.Log(f.entry.logger, zap.String("request", f.id), zap.String("team", f.team.Name()))
	return apierr.New(statusCallerGone, "caller_gone", "the caller has gone", apierr.WithOutcome(f.log.Outcome()))
}

// statusCallerGone is logged for requests whose caller has gone.
const statusCallerGone = 499

// finish gives the caller the error with which the request ended, if it did.
func (f *inflight) finish(failure *apierr.Error) {
	f.keep(failure)
	if failure == nil {
		f.entry.requests.Add(1, "served")
		event.RequestServed.Log(f.entry.logger, zap.String("request", f.id), zap.Duration("took", time.Since(f.began)))
		return
	}
	f.entry.requests.Add(1, failure.Code())
	chosen := event.RequestRefused
	switch {
	case f.answer.begun():
		chosen = event.StreamBroken
	case failure.Outcome() == retry.OutcomeUnknown:
		chosen = event.OutcomeUnknown
	}
	chosen.Log(f.entry.logger,
		zap.String("request", f.id),
		zap.String("team", f.team.Name()),
		zap.String("service", f.service.Name()),
		zap.String("code", failure.Code()),
		zap.String("outcome", string(failure.Outcome())))
	f.answer.fail(failure)
}

// keep adds the request to the records that audits replay.
func (f *inflight) keep(failure *apierr.Error) {
	code := ""
	if failure != nil {
		code = failure.Code()
	}
	var attempts []audit.Attempt
	for i, attempt := range f.log.Attempts() {
		attempts = append(attempts, f.traces[i].WithState(attempt.State()))
	}
	record := audit.NewRecord(f.id, f.began, f.team.Name(), f.service.Name(), f.asked, f.entry.settings.DataCentre(), f.session)
	record = record.WithOutcome(attempts, f.log.Outcome(), code).WithTiming(f.answer.first, f.answer.gap)
	f.entry.records.Add(record)
}

// enterQueue waits for the request's turn among those of its service.
func (f *inflight) enterQueue(ctx context.Context, queue *admit.Queue) *apierr.Error {
	ticket := admit.NewRequest(f.team.Name(), f.team.Weight(), f.team.Priority(), int64(len(f.body)))
	err := queue.Acquire(ctx, ticket)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, admit.ErrQueueFull):
		return apierr.New(http.StatusTooManyRequests, "queue_full", "too many requests wait for this service",
			apierr.WithOutcome(f.log.Outcome()), apierr.WithRetryAfter(queue.RetryAfter()))
	case errors.Is(err, admit.ErrQueueTimeout):
		return f.waitedTooLong(queue)
	case f.exchange.Context().Err() != nil:
		return f.callerGone()
	default:
		return f.timedOut()
	}
}

func (f *inflight) waitedTooLong(queue *admit.Queue) *apierr.Error {
	return apierr.New(http.StatusTooManyRequests, "queue_timeout", "no endpoint came free in time",
		apierr.WithOutcome(f.log.Outcome()), apierr.WithRetryAfter(queue.RetryAfter()))
}

// isStale reports whether a refusal was for an old version.
func isStale(err error) bool { return eris.Is(err, errStaleVersion) }
