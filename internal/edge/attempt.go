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

// Limits of attempts.
const (
	// maxBufferedBytes limits a response that is buffered until it is complete.
	// Longer responses are forwarded as they are read.
	maxBufferedBytes = 256 << 10
	// smallResponseBytes is the size up to which a response is buffered regardless of
	// the memory that other responses take.
	smallResponseBytes = 8 << 10
	// maxAllBufferedBytes limits the memory of all larger responses that are buffered.
	// While it is used up, they are forwarded as they are read.
	maxAllBufferedBytes = 32 << 20
	// maxDials limits how many endpoints are dialled until one accepts a connection.
	maxDials = 4
	// leastUrgentPriority is the highest value of the endpoints' priority header; 0 is the
	// most urgent.
	leastUrgentPriority = 9
	// maxPromptTokens bounds the number of prompt tokens that a caller states, so that a
	// wrong one doesn't hold up other callers. No engine has a longer context.
	maxPromptTokens = 1 << 20
)

// attemptResult is how an attempt ended.
type attemptResult int

const (
	// finished means that the endpoint's response was read whole and forwarded, as far as
	// the caller could receive it.
	finished attemptResult = iota
	// abandoned means that the caller can no longer receive the response, which the endpoint
	// was still sending.
	abandoned
	// interrupted means that the endpoint broke off a response which the caller has begun to
	// receive and which can't be resumed.
	interrupted
	// notRun means that the endpoint did not run the request and never will.
	notRun
	// notSent means that no byte was sent to the endpoint.
	notSent
	// failed means that the request may have run and the caller has no complete
	// response.
	failed
	// errored means that the endpoint ran the request and returned an error that can
	// be forwarded to the caller.
	errored
)

// run sends the request to endpoints until one responds or no attempt is left.
func (r *request) run(ctx context.Context) {
	e := r.entry
	limits := r.retryLimits()
	r.isRetry = e.isClientRetry(r)
	e.budget.addRequest(r.service.Name(), r.receivedAt, limits)
	wanted := sched.Request{
		Priority: r.team.Priority(r.route), ClientRetry: r.isRetry, Tried: r.tried,
		MaxWait:         r.service.MaxWait(r.route.LatencyTarget()),
		MaxEndpointWait: r.route.LatencyTarget(),
		ID:              r.head.ID,
		Team:            r.team.Name(),
		PromptTokens:    min(r.head.PromptTokens, maxPromptTokens),
	}
	if wanted.ClientRetry {
		wanted.MaxWait = min(sched.RetryQueueWait, time.Until(r.deadline)/2)
	}
	dials := 0
	var errorResponse *bufferedResponse
	forwarder := &streamForwarder{request: r}
	defer e.parts.cancelProbe(r)
	for r.sendCount == 0 || !e.parts.isBlocked(r) {
		if r.sendCount > 0 && !e.budget.takeRetry(r.service.Name(), time.Now(), limits) {
			event.RetryDenied.Log(e.logger, zap.String("request", r.head.ID), zap.String("service", r.service.Name()))
			break
		}
		if wanted.Resuming = r.isResuming(forwarder); wanted.Resuming {
			wanted.MaxWait = min(sched.RetryQueueWait, time.Until(r.deadline)/2)
		}
		queuedAt := time.Now()
		assignment, err := r.service.Acquire(ctx, wanted)
		r.queued += time.Since(queuedAt)
		if err != nil {
			if r.sendCount == 0 {
				r.refuseUnassigned(ctx, err)
				return
			}
			break
		}
		if refusal := r.checkSend(); refusal != nil {
			r.service.Release(assignment)
			if r.mayHaveRun {
				break
			}
			r.refuse(refusal)
			return
		}
		r.tried[assignment.Endpoint().ID()] = true
		at := time.Since(r.receivedAt)
		result, response, detail := r.send(ctx, assignment, forwarder)
		r.service.Release(assignment)
		r.reachedEndpoint = r.reachedEndpoint || result != notSent && result != notRun
		r.attempts = append(r.attempts, attempt{endpoint: assignment.Endpoint().ID(), at: at, detail: detail})
		if response != nil {
			errorResponse = response
		}
		r.recordResult(ctx, assignment, result, detail)
		switch result {
		case finished, abandoned, interrupted:
			return
		case notSent:
			if dials++; dials < maxDials && ctx.Err() == nil {
				continue
			}
		case notRun:
			r.service.RecordGroupRefusal(assignment)
			r.sendCount++
		default:
			r.sendCount++
		}
		r.mayHaveRun = r.mayHaveRun || result == failed || result == errored
		if r.sendCount >= r.route.MaxAttempts() || ctx.Err() != nil || (r.mayHaveRun && !r.route.Repeatable()) || result == notSent {
			break
		}
	}
	r.fail(ctx, forwarder, errorResponse)
}

// checkSend returns why the request must not be sent to an endpoint, nil if it may be. What
// crashes endpoints may have become known while it was queued.
func (r *request) checkSend() *refusal {
	if refusal := r.checkStop(); refusal != nil {
		return refusal
	}
	if r.entry.crashTracker.isBlocked(r.fingerprint) {
		return refuseBlocked()
	}
	return r.entry.parts.checkSend(r)
}

// isResuming reports whether the request is a stream that continues at another endpoint:
// the caller has already received events of it, or an earlier attempt may have run
// without sending one.
func (r *request) isResuming(forwarder *streamForwarder) bool {
	return r.route.Semantics() == table.Stream && (r.head.LastEvent != "" || forwarder.stream != nil || r.mayHaveRun)
}

// endpointPriority returns the value of the endpoint's priority header, 0 for the most
// urgent.
func (r *request) endpointPriority(forwarder *streamForwarder) int {
	if r.isResuming(forwarder) {
		return 0
	}
	return min(leastUrgentPriority, max(0, r.team.Priority(r.route)))
}

// recordResult updates the endpoint's failure statistics and the crash tracker after
// an attempt.
func (r *request) recordResult(ctx context.Context, assignment sched.Assignment, result attemptResult, detail string) {
	switch {
	case result == finished && r.status < http.StatusInternalServerError:
		r.service.RecordSuccess(assignment)
		now := time.Now()
		r.entry.runTimes.Record(r.route.Name(), now.Sub(r.receivedAt), now)
		if r.executed {
			r.entry.crashTracker.recordSuccess(r.fingerprint)
		}
	case result == abandoned, result == interrupted && ctx.Err() != nil:
		r.service.RecordSuccess(assignment)
		r.entry.detector.attemptEnded(newHeldRequest(r, assignment), "caller_gone")
	case result == failed && (detail == errPartBlocked.Error() || detail == errSlowRank.Error()):
		r.entry.detector.attemptEnded(newHeldRequest(r, assignment), "given_up")
	case result == failed && errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.service.RecordFailure(assignment, detail)
		r.entry.detector.attemptEnded(newHeldRequest(r, assignment), "deadline_passed")
	case result == failed && ctx.Err() != nil:
		r.entry.detector.attemptEnded(newHeldRequest(r, assignment), "caller_gone")
	case result == failed && detail == errSilent.Error():
		r.service.RecordFailure(assignment, detail)
		r.entry.detector.attemptEnded(newHeldRequest(r, assignment), "given_up")
	case result == failed, result == interrupted:
		r.service.RecordFailure(assignment, detail)
		r.entry.detector.connectionLost(ctx, newHeldRequest(r, assignment))
	case result == notSent && ctx.Err() == nil:
		r.service.RecordFailure(assignment, detail)
	case result == errored:
		// An error response may be caused by the request rather than the endpoint, so
		// it counts less than a failure.
		r.service.RecordErrorResponse(assignment)
	}
}

// retryLimits returns the current limits of the retry budget.
func (r *request) retryLimits() retryLimits {
	ratio, extra, window := r.entry.settings.Load().RetryBudget()
	return retryLimits{ratio: ratio, extra: extra, window: window, members: len(r.view.Members())}
}

// caller describes the request's caller, to whom it is told when to retry.
func (r *request) caller() sched.Caller {
	return sched.Caller{Key: r.fingerprint, Priority: r.team.Priority(r.route), TimeLeft: time.Until(r.deadline), HasRetried: r.isRetry}
}

// refuseUnassigned refuses a request to which no endpoint was assigned.
func (r *request) refuseUnassigned(ctx context.Context, cause error) {
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		r.reason = "the caller has gone"
		r.exchange.Abort()
		return
	}
	r.entry.timeoutsOf(r.route.Name()).RecordRefusal(time.Now())
	r.refuse(&refusal{http.StatusServiceUnavailable, cause.Error(), r.service.RetryAfter(cause, r.caller())})
}

// fail ends a request whose last attempt did not finish it.
func (r *request) fail(ctx context.Context, forwarder *streamForwarder, errorResponse *bufferedResponse) {
	switch {
	case errors.Is(r.exchange.Context().Err(), context.Canceled):
		r.reason = "the caller has gone"
		r.exchange.Abort()
	case forwarder.stream != nil:
		r.reason = "the stream was interrupted"
		r.status = 0
		forwarder.stream.Abort()
	case errorResponse != nil:
		r.respond(errorResponse.status, "the endpoint returned an error", errorResponse.header, errorResponse.body)
	case !r.mayHaveRun:
		r.refuse(&refusal{http.StatusServiceUnavailable, "no endpoint accepted the request", r.service.RetryAfter(sched.ErrNoEndpoint, r.caller())})
	case ctx.Err() != nil:
		r.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "timed out waiting for the endpoint; the request may have run"})
	default:
		r.refuse(&refusal{status: http.StatusBadGateway, reason: "the endpoint broke off; the request may have run"})
	}
}

// bufferedResponse is an endpoint's response whose body was read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// send makes one attempt at an endpoint and forwards its response to the caller. The
// response is returned instead if it is a server error that was buffered, since a retry
// at another endpoint may succeed. The last result describes the outcome in the request log.
func (r *request) send(ctx context.Context, assignment sched.Assignment, forwarder *streamForwarder) (attemptResult, *bufferedResponse, string) {
	r.answered.Store(false)
	ctx, progress, stop := r.guardAttempt(ctx, assignment)
	defer stop()
	result, response, detail := r.sendOnce(ctx, assignment, forwarder, progress)
	if cause := context.Cause(ctx); result == failed && (movesAttempt(cause) || errors.Is(cause, errPartBlocked)) {
		detail = cause.Error()
	}
	return result, response, detail
}

// sendOnce is send without guardAttempt; it calls progress for each event of
// a stream, and whenever a part of another response arrives.
func (r *request) sendOnce(ctx context.Context, assignment sched.Assignment, forwarder *streamForwarder, progress func()) (attemptResult, *bufferedResponse, string) {
	lastEvent := r.head.LastEvent
	if forwarder.lastEventID != "" {
		lastEvent = forwarder.lastEventID
	}
	outgoing := conns.Request{
		Method: r.method,
		Target: r.target,
		Host:   r.host,
		Body:   r.body,
		Header: r.head.Header(platform.Attempt{
			EndpointID: assignment.Endpoint().ID(),
			Team:       r.team.Name(),
			Remaining:  time.Until(r.deadline),
			LastEvent:  lastEvent,
			Priority:   r.endpointPriority(forwarder),
		}),
	}
	var reply platform.ResponseHead
	// A response to another request is skipped. A response without a request id is
	// accepted only if it states that the request was not run.
	response, err := r.entry.pool.Send(ctx, assignment.Endpoint().Address(), outgoing, func(status int, header http.Header) bool {
		reply = platform.ParseResponseHead(status, header)
		return reply.RequestID == r.head.ID || (reply.RequestID == "" && reply.NotRun)
	})
	switch {
	case errors.Is(err, conns.ErrNotSent):
		return notSent, nil, err.Error()
	case err != nil:
		return failed, nil, err.Error()
	}
	defer response.Close()
	r.executed = reply.Sealed
	if reply.Leaving {
		r.service.RecordLeaving(assignment)
	}
	if reply.Pause > 0 {
		r.service.RecordPause(assignment, reply.Pause)
	}
	if reply.NamesLimit {
		r.service.RecordLimit(assignment, reply.Limit)
	}
	if reply.HasLoad {
		r.service.UpdateFromResponse(assignment, reply.Running, reply.Waiting, reply.Slots)
	}
	if reply.NotRun {
		response.Discard()
		if reply.RequestID == "" && response.Reused {
			return failed, nil, "a late response that names no request: " + strconv.Itoa(response.Status)
		}
		return notRun, nil, "not run: " + strconv.Itoa(response.Status)
	}
	success := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	if success && !reply.Sealed {
		return failed, nil, "response without a seal header"
	}
	if success && r.route.Semantics() == table.Stream {
		if !r.isResuming(forwarder) {
			forwarder.begun = func() { r.service.RecordFirstEvent(assignment) }
		}
		return forwarder.forward(ctx, response, progress)
	}
	if forwarder.stream != nil {
		return failed, nil, "cannot resume the stream: status " + strconv.Itoa(response.Status)
	}
	return r.forwardBuffered(response, success, progress)
}

// forwardBuffered reads the complete response and forwards it. A server error is
// returned instead, since another endpoint may succeed.
func (r *request) forwardBuffered(response *conns.Response, success bool, progress func()) (attemptResult, *bufferedResponse, string) {
	limit := smallResponseBytes
	if isSmall := response.Length >= 0 && response.Length <= smallResponseBytes; !isSmall &&
		r.entry.buffers.Take(maxBufferedBytes, maxAllBufferedBytes) {
		limit = maxBufferedBytes
		defer r.entry.buffers.Release(maxBufferedBytes)
	}
	source := progressReader{reader: response, progress: progress}
	body, err := io.ReadAll(io.LimitReader(source, int64(limit)+1))
	if err != nil {
		return failed, nil, "reading the response: " + err.Error()
	}
	buffered := &bufferedResponse{status: response.Status, header: platform.ForwardedHeader(response.Header), body: body}
	if len(body) > limit {
		if success {
			r.recordAnswer()
		}
		return r.forwardLong(source, buffered)
	}
	if !success && response.Status >= http.StatusInternalServerError {
		return errored, buffered, "error " + strconv.Itoa(response.Status)
	}
	if success {
		r.recordAnswer()
	}
	r.firstByte = time.Since(r.receivedAt)
	r.respond(buffered.status, "", buffered.header, buffered.body)
	return finished, nil, strconv.Itoa(response.Status)
}

// progressReader calls progress whenever it has read something.
type progressReader struct {
	reader   io.Reader
	progress func()
}

func (p progressReader) Read(buffer []byte) (int, error) {
	n, err := p.reader.Read(buffer)
	if n > 0 {
		p.progress()
	}
	return n, err
}

// forwardLong forwards a response that is too long to buffer. Start is the part that
// was already read, and rest reads the remaining body.
func (r *request) forwardLong(rest io.Reader, start *bufferedResponse) (attemptResult, *bufferedResponse, string) {
	r.status, r.firstByte = start.status, time.Since(r.receivedAt)
	stream, err := r.exchange.StartKeepAliveStream(start.status, start.header)
	if err != nil {
		return abandoned, nil, "the caller has gone"
	}
	source := &trackingReader{reader: rest}
	if _, err = stream.Write(start.body); err == nil {
		_, err = io.Copy(stream, source)
	}
	if err != nil {
		r.status, r.reason = 0, "forwarding a long response: "+err.Error()
		stream.Abort()
		if source.err != nil {
			return interrupted, nil, r.reason
		}
		return abandoned, nil, r.reason
	}
	if err := stream.Close(); err != nil {
		r.reason = err.Error()
	}
	return finished, nil, strconv.Itoa(start.status)
}

// trackingReader remembers the error of its reader, so that it is told from one of a writer.
type trackingReader struct {
	reader io.Reader
	err    error
}

func (t *trackingReader) Read(buffer []byte) (int, error) {
	n, err := t.reader.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		t.err = err
	}
	return n, err
}

// streamForwarder forwards the events of a stream, across all attempts.
type streamForwarder struct {
	request *request
	stream  *webio.Stream
	// lastEventID is the id of the last event that was sent to the caller.
	lastEventID string
	// begun is called at the first event of a stream that begins in this attempt, nil for
	// others.
	begun func()
}

// forward forwards the events of one attempt. The response header is sent with the
// first event, so that an attempt without events can be retried without the caller
// noticing.
func (f *streamForwarder) forward(ctx context.Context, response *conns.Response, progress func()) (attemptResult, *bufferedResponse, string) {
	r := f.request
	events := conns.NewEventReader(response)
	for received := 0; ; received++ {
		if received == settledEvents {
			r.recordAnswer()
		}
		next, err := events.Next()
		progress()
		if errors.Is(err, io.EOF) {
			return f.finish(response)
		}
		if err != nil {
			if ctx.Err() != nil {
				return failed, nil, "the stream was cancelled: " + ctx.Err().Error()
			}
			return failed, nil, "the stream was interrupted: " + strings.TrimSpace(err.Error())
		}
		if f.stream == nil {
			if err := f.start(response); err != nil {
				return abandoned, nil, "the caller has gone"
			}
		}
		if _, err := f.stream.Write(next.Raw); err != nil {
			r.reason = "the caller has gone"
			f.stream.Abort()
			return abandoned, nil, r.reason
		}
		if next.ID != "" {
			f.lastEventID = next.ID
		}
	}
}

// start sends the response header to the caller.
func (f *streamForwarder) start(response *conns.Response) error {
	r := f.request
	r.status, r.firstByte = response.Status, time.Since(r.receivedAt)
	if f.begun != nil {
		f.begun()
	}
	stream, err := r.exchange.StartKeepAliveStream(response.Status, platform.ForwardedHeader(response.Header))
	if err != nil {
		r.reason = "the caller has gone"
		return eris.Wrap(err, "starting a stream")
	}
	f.stream = stream
	return nil
}

// recordAnswer records that the endpoint has begun to answer.
func (r *request) recordAnswer() {
	if !r.answered.Swap(true) {
		r.entry.parts.recordAnswer(r)
	}
}

// finish ends the caller's stream after the endpoint's last event.
func (f *streamForwarder) finish(response *conns.Response) (attemptResult, *bufferedResponse, string) {
	r := f.request
	r.recordAnswer()
	if f.stream == nil {
		if err := f.start(response); err != nil {
			return finished, nil, "the caller has gone"
		}
	}
	if err := f.stream.Close(); err != nil {
		r.reason = "the caller has gone"
	}
	return finished, nil, strconv.Itoa(response.Status)
}
