package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/conns"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// Bounds of attempts.
const (
	// maxWholeBytes bounds an answer that is held until it is whole; longer ones are
	// passed on as they come.
	maxWholeBytes = 256 << 10
	// maxDials bounds the endpoints that are tried before one takes a connection.
	maxDials = 4
	// maxUrgency is the least urgent value that an endpoint knows.
	maxUrgency = 9
)

// ending tells how an attempt ended.
type ending int

const (
	// done says that the caller has its answer, or can't get one any more.
	done ending = iota
	// notRun says that the endpoint has not run the request and never will.
	notRun
	// unsent says that no byte has left for the endpoint.
	unsent
	// failed says that the request may have run, and that the caller has no whole
	// answer.
	failed
	// wrong says that the endpoint ran the request and answered with an error, which
	// the caller can have.
	wrong
)

// run sends the request to endpoints until one answers or no more may be tried.
func (r *request) run(ctx context.Context) {
	e := r.entry
	allowed := r.allowance()
	e.budget.request(r.service.Name(), r.began, allowed)
	ticket := sched.Request{
		Priority: r.team.Priority(r.route), ClientRetry: e.isReturning(r), Tried: r.tried,
		MaxWait: time.Duration(float64(r.route.LatencyTarget()) * sched.QueueWaitShare),
	}
	if ticket.ClientRetry {
		ticket.MaxWait = min(sched.RetryQueueWait, time.Until(r.deadline)/2)
	}
	dials := 0
	var held *wholeAnswer
	relay := &relay{request: r}
	for {
		if r.sends > 0 && !e.budget.spend(r.service.Name(), time.Now(), allowed) {
			event.RetryDenied.Log(e.logger, zap.String("request", r.call.ID), zap.String("service", r.service.Name()))
			break
		}
		if ticket.Resuming = r.resumes(relay); ticket.Resuming {
			ticket.MaxWait = min(sched.RetryQueueWait, time.Until(r.deadline)/2)
		}
		given, err := r.service.Acquire(ctx, ticket)
		if err != nil {
			if r.sends == 0 {
				r.turnAway(ctx, err)
				return
			}
			break
		}
		r.tried[given.Endpoint().ID()] = true
		at := time.Since(r.began)
		result, answer, reason := r.send(ctx, given, relay)
		r.service.Release(given)
		r.attempts = append(r.attempts, attempt{endpoint: given.Endpoint().ID(), at: at, result: reason})
		if answer != nil {
			held = answer
		}
		r.judge(ctx, given, result, reason)
		switch result {
		case done:
			return
		case unsent:
			if dials++; dials < maxDials && ctx.Err() == nil {
				continue
			}
		case notRun:
			r.service.RecordGroupRefusal(given)
			r.sends++
		default:
			r.sends++
		}
		r.ran = r.ran || result == failed || result == wrong
		if r.sends >= r.route.MaxAttempts() || ctx.Err() != nil || (r.ran && !r.route.Repeatable()) || result == unsent {
			break
		}
	}
	r.giveUp(ctx, relay, held)
}

// resumes reports whether the request is a stream that has begun, or waited for
// its first event, at another endpoint.
func (r *request) resumes(relay *relay) bool {
	return r.route.Semantics() == table.Stream && (r.call.LastEvent != "" || relay.stream != nil || r.ran)
}

// urgency returns how urgent an endpoint is told that the request is.
func (r *request) urgency(relay *relay) int {
	if r.resumes(relay) {
		return 0
	}
	return min(maxUrgency, max(0, r.team.Priority(r.route)))
}

// judge takes note of what an attempt says of its endpoint and of the request.
func (r *request) judge(ctx context.Context, given sched.Assignment, result ending, reason string) {
	switch {
	case result == done && r.status < http.StatusInternalServerError:
		r.service.RecordSuccess(given)
		r.entry.crashes.clear(r.mark)
	case result == failed && ctx.Err() == nil:
		r.service.RecordFailure(given, reason)
		if reason != errQuiet.Error() {
			r.entry.crashes.cut(r.mark, given.Endpoint().Incarnation())
		}
	case result == unsent && ctx.Err() == nil, result == failed && errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.service.RecordFailure(given, reason)
	case result == wrong:
		// Errors of a single request say little of the endpoint.
		r.service.RecordErrorResponse(given)
	}
}

// allowance returns what the budget of retries is made of now.
func (r *request) allowance() allowance {
	ratio, extra, window := r.entry.settings.Load().RetryBudget()
	return allowance{ratio: ratio, extra: extra, window: window, members: len(r.picture.Members())}
}

// turnAway refuses a request for which there is no endpoint.
func (r *request) turnAway(ctx context.Context, cause error) {
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		r.reason = "the caller has gone"
		r.exchange.Abort()
		return
	}
	r.refuse(&refusal{http.StatusServiceUnavailable, cause.Error(), r.service.RetryAfter(cause)})
}

// giveUp ends a request after its last attempt.
func (r *request) giveUp(ctx context.Context, relay *relay, held *wholeAnswer) {
	switch {
	case errors.Is(r.exchange.Context().Err(), context.Canceled):
		r.reason = "the caller has gone"
		r.exchange.Abort()
	case relay.stream != nil:
		r.reason = "the stream broke off"
		r.status = 0
		relay.stream.Abort()
	case held != nil:
		r.answer(held.status, "the endpoint answered with an error", held.header, held.body)
	case !r.ran:
		r.refuse(&refusal{http.StatusServiceUnavailable, "no endpoint took the request", r.service.RetryAfter(sched.ErrNoEndpoint)})
	case ctx.Err() != nil:
		r.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "no answer came in time; the request may have run"})
	default:
		r.refuse(&refusal{status: http.StatusBadGateway, reason: "the endpoint broke off; the request may have run"})
	}
}

// wholeAnswer is an endpoint's answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// send makes one attempt at an endpoint and passes its answer on.
func (r *request) send(ctx context.Context, given sched.Assignment, relay *relay) (ending, *wholeAnswer, string) {
	ctx, progress, stop := r.guard(ctx, given)
	defer stop()
	result, answer, reason := r.sendGuarded(ctx, given, relay, progress)
	if result == failed && errors.Is(context.Cause(ctx), errQuiet) {
		reason = errQuiet.Error()
	}
	return result, answer, reason
}

func (r *request) sendGuarded(ctx context.Context, given sched.Assignment, relay *relay, progress func()) (ending, *wholeAnswer, string) {
	lastEvent := r.call.LastEvent
	if relay.last != "" {
		lastEvent = relay.last
	}
	outgoing := conns.Request{
		Method: r.method,
		Target: r.target,
		Host:   r.host,
		Body:   r.body,
		Header: r.call.Header(platform.Attempt{
			EndpointID: given.Endpoint().ID(),
			Team:       r.team.Name(),
			Remaining:  time.Until(r.deadline),
			LastEvent:  lastEvent,
			Urgency:    r.urgency(relay),
		}),
	}
	var reply platform.Reply
	answer, err := r.entry.pool.Send(ctx, given.Endpoint().Address(), outgoing, func(status int, header http.Header) bool {
		reply = platform.ReadReply(status, header)
		return reply.RequestID == r.call.ID || (reply.RequestID == "" && reply.NotRun)
	})
	switch {
	case errors.Is(err, conns.ErrNotSent):
		return unsent, nil, err.Error()
	case err != nil:
		return failed, nil, err.Error()
	}
	defer answer.Close()
	if reply.HasLoad {
		r.service.UpdateFromResponse(given, reply.Running, reply.Waiting, reply.Slots)
	}
	if reply.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxWholeBytes))
		return notRun, nil, "not run: " + strconv.Itoa(answer.Status)
	}
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if success && !reply.Sealed {
		return failed, nil, "an answer without its seal"
	}
	if success && r.route.Semantics() == table.Stream {
		return relay.pass(ctx, answer, progress)
	}
	if relay.stream != nil {
		return failed, nil, "no stream to go on with: " + strconv.Itoa(answer.Status)
	}
	return r.passWhole(answer, success)
}

// passWhole reads a whole answer and passes it on. An error that another endpoint
// may do better is returned instead.
func (r *request) passWhole(answer *conns.Answer, success bool) (ending, *wholeAnswer, string) {
	body, err := io.ReadAll(io.LimitReader(answer, maxWholeBytes+1))
	if err != nil {
		return failed, nil, "the answer broke off: " + err.Error()
	}
	whole := &wholeAnswer{status: answer.Status, header: platform.PassOn(answer.Header), body: body}
	if len(body) > maxWholeBytes {
		return r.passLong(answer, whole)
	}
	if !success && answer.Status >= http.StatusInternalServerError {
		return wrong, whole, "error " + strconv.Itoa(answer.Status)
	}
	r.first = time.Since(r.began)
	r.answer(whole.status, "", whole.header, whole.body)
	return done, nil, strconv.Itoa(answer.Status)
}

// passLong passes on an answer that is too long to be held.
func (r *request) passLong(answer *conns.Answer, begin *wholeAnswer) (ending, *wholeAnswer, string) {
	r.status, r.first = begin.status, time.Since(r.began)
	stream, err := r.exchange.KeepStream(begin.status, begin.header)
	if err != nil {
		return done, nil, "the caller has gone"
	}
	if _, err = stream.Write(begin.body); err == nil {
		_, err = io.Copy(stream, answer)
	}
	if err != nil {
		r.status, r.reason = 0, "a long answer broke off: "+err.Error()
		stream.Abort()
		return done, nil, r.reason
	}
	if err := stream.Close(); err != nil {
		r.reason = err.Error()
	}
	return done, nil, strconv.Itoa(begin.status)
}

// relay passes a stream's events on, over one attempt or several.
type relay struct {
	request *request
	stream  *webio.Stream
	// last is the id of the last event that the caller has.
	last string
}

// pass passes on the events of one attempt. The head waits for the first event,
// so that an attempt without one leaves no trace.
func (p *relay) pass(ctx context.Context, answer *conns.Answer, progress func()) (ending, *wholeAnswer, string) {
	r := p.request
	events := conns.NewEventReader(answer)
	for {
		next, err := events.Next()
		progress()
		if errors.Is(err, io.EOF) {
			return p.end(answer)
		}
		if err != nil {
			if ctx.Err() != nil {
				return failed, nil, "the stream was stopped: " + ctx.Err().Error()
			}
			return failed, nil, "the stream broke off: " + strings.TrimSpace(err.Error())
		}
		if p.stream == nil {
			if err := p.begin(answer); err != nil {
				return done, nil, "the caller has gone"
			}
		}
		if _, err := p.stream.Write(next.Raw); err != nil {
			r.reason = "the caller has gone"
			p.stream.Abort()
			return done, nil, r.reason
		}
		if next.ID != "" {
			p.last = next.ID
		}
	}
}

func (p *relay) begin(answer *conns.Answer) error {
	r := p.request
	r.status, r.first = answer.Status, time.Since(r.began)
	stream, err := r.exchange.KeepStream(answer.Status, platform.PassOn(answer.Header))
	if err != nil {
		r.reason = "the caller has gone"
		return eris.Wrap(err, "can't begin a stream")
	}
	p.stream = stream
	return nil
}

// end ends a stream whose last event has been passed on.
func (p *relay) end(answer *conns.Answer) (ending, *wholeAnswer, string) {
	r := p.request
	if p.stream == nil {
		if err := p.begin(answer); err != nil {
			return done, nil, "the caller has gone"
		}
	}
	if err := p.stream.Close(); err != nil {
		r.reason = "the caller has gone"
	}
	return done, nil, strconv.Itoa(answer.Status)
}
