package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Header fields of the engine protocol for resuming a response.
const (
	headerResume       = "X-Resume-Offset"
	headerModelVersion = "X-Model-Version"
)

// hopByHopHeaders lists header fields that apply to a single connection and are
// not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// callerHeaders lists header fields that the entry consumes and does not forward
// to endpoints.
var callerHeaders = map[string]bool{
	"Authorization": true,
	headerTimeout:   true,
	headerResume:    true,
	"X-Request-Id":  true,
	"X-Priority":    true,
}

// attempt is one attempt at a request, made with a granted credit.
type attempt struct {
	inflight     *inflightRequest
	grant        *grant
	number       uint32
	baseOffset   uint64
	received     uint64
	acknowledged uint64
	headReceived bool
	// chunks is the number of chunks received.
	chunks int
	parked atomic.Bool
}

// runAttempt sends the request to the endpoint of the grant and forwards the
// response to the caller.
func (r *inflightRequest) runAttempt(ctx context.Context, g *grant) attemptResult {
	defer g.stream.Close()
	r.log.Begin(g.endpoint.Name())
	t := &attempt{inflight: r, grant: g, number: uint32(len(r.log.Attempts())), baseOffset: r.response.offset()}
	stop := context.AfterFunc(ctx, g.stream.Close)
	defer stop()
	result := t.run()
	r.recordCrash(result, t)
	if result.done && t.chunks < settledChunks {
		r.recordPartAnswer()
	}
	if !result.done && !result.parked {
		t.resolveState()
		event.AttemptFailed.Log(r.entry.logger,
			zap.String("request", r.id),
			zap.String("endpoint", g.endpoint.Name()),
			zap.String("outcome", string(r.log.Outcome())),
			zap.String("message", result.message))
	}
	return result
}

// resolveState determines whether an attempt without a response has run. If the
// agent confirms that the credit was revoked unused, the request has not run and
// never will, even if its frame is still in transit.
func (t *attempt) resolveState() {
	attempts := t.inflight.log.Attempts()
	state := attempts[len(attempts)-1].State()
	if state != retry.Sent && state != retry.Unknown {
		return
	}
	if t.grant.conn.revoke(t.grant.incarnation, t.grant.credit) {
		t.inflight.log.SetState(retry.Refused)
		return
	}
	t.inflight.log.SetState(retry.Unknown)
}

func (t *attempt) run() attemptResult {
	// The request may reach the agent even if the write fails.
	t.inflight.log.SetState(retry.Sent)
	if err := t.grant.stream.Write(t.frame()); err != nil {
		return attemptResult{code: "endpoint_lost", message: "the connection to the endpoint was lost"}
	}
	for {
		message, err := t.grant.stream.Read()
		if t.parked.Load() {
			return attemptResult{responseStarted: true, parked: true, message: "parked because the caller reads slowly"}
		}
		if err != nil {
			return attemptResult{responseStarted: t.headReceived, code: "endpoint_lost", message: "the connection to the endpoint was lost"}
		}
		if result, last := t.handleFrame(message); last {
			return result
		}
	}
}

func (t *attempt) frame() *wirepb.Frame {
	r := t.inflight
	request := r.exchange.Request()
	attempt := &wirepb.Attempt{
		Request:   r.id,
		Attempt:   t.number,
		Credit:    t.grant.credit,
		Method:    request.Method,
		Path:      []byte(request.URL.RequestURI()),
		Headers:   requestFields(request.Header),
		Body:      r.body,
		TimeoutMs: uint32(max(1, time.Until(r.deadline).Milliseconds())),
		Priority:  uint32(r.team.Priority()),
	}
	if t.baseOffset > 0 {
		attempt.Headers = append(attempt.Headers, &wirepb.Field{Name: headerResume, Value: strconv.AppendUint(nil, t.baseOffset, 10)})
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Attempt{Attempt: attempt}}
}

func requestFields(header http.Header) []*wirepb.Field {
	fields := make([]*wirepb.Field, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || callerHeaders[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &wirepb.Field{Name: name, Value: []byte(value)})
		}
	}
	return fields
}

// handleFrame processes one frame of the response. Last reports that the attempt
// is over.
func (t *attempt) handleFrame(message *wirepb.Frame) (result attemptResult, last bool) {
	switch body := message.GetBody().(type) {
	case *wirepb.Frame_Refused:
		t.inflight.log.SetState(retry.Refused)
		return attemptResult{code: body.Refused.GetCode(), message: body.Refused.GetMessage()}, true
	case *wirepb.Frame_Head:
		return t.handleHead(body.Head)
	case *wirepb.Frame_Chunk:
		return t.handleChunk(body.Chunk)
	case *wirepb.Frame_End:
		return t.handleEnd(body.End)
	default:
		event.FrameRefused.Log(t.inflight.entry.logger, zap.String("endpoint", t.grant.endpoint.Name()))
		return attemptResult{responseStarted: t.headReceived, code: "endpoint_failed", message: "the endpoint's agent sent an unexpected frame"}, true
	}
}

// matches reports whether a frame belongs to this attempt.
func (t *attempt) matches(request string, attempt uint32) bool {
	return request == t.inflight.id && attempt == t.number
}

func (t *attempt) handleHead(head *wirepb.Head) (attemptResult, bool) {
	if !t.matches(head.GetRequest(), head.GetAttempt()) || t.headReceived {
		return attemptResult{}, false
	}
	t.inflight.log.SetState(retry.Run)
	t.headReceived = true
	header := responseHeader(head.GetHeaders())
	if t.inflight.response.started() {
		return t.checkResumed(int(head.GetStatus()), header)
	}
	streaming := t.inflight.streaming && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	header.Set(versionHeader, strconv.FormatUint(t.grant.version, 10))
	if err := t.inflight.response.start(int(head.GetStatus()), header, streaming); err != nil {
		return t.callerWriteFailed(err), true
	}
	return attemptResult{}, false
}

// checkResumed verifies that the endpoint continues the same response: from the
// requested offset and with the same model version.
func (t *attempt) checkResumed(status int, header http.Header) (attemptResult, bool) {
	confirmed := t.baseOffset == 0 || header.Get(headerResume) == strconv.FormatUint(t.baseOffset, 10)
	sameModel := header.Get(headerModelVersion) == t.inflight.response.modelVersion()
	if status == http.StatusOK && confirmed && sameModel {
		return attemptResult{}, false
	}
	t.inflight.response.disableResume()
	return attemptResult{responseStarted: true, code: "endpoint_failed", message: "the response was interrupted and can't be resumed"}, true
}

func responseHeader(fields []*wirepb.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		name := http.CanonicalHeaderKey(field.GetName())
		if !hopByHopHeaders[name] {
			header.Add(name, string(field.GetValue()))
		}
	}
	return header
}

func (t *attempt) handleChunk(chunk *wirepb.Chunk) (attemptResult, bool) {
	if !t.matches(chunk.GetRequest(), chunk.GetAttempt()) || !t.headReceived {
		return attemptResult{}, false
	}
	data := chunk.GetData()
	switch {
	case chunk.GetOffset() > t.received:
		return attemptResult{responseStarted: true, code: "endpoint_failed", message: "part of the response is missing"}, true
	case chunk.GetOffset()+uint64(len(data)) <= t.received:
		return attemptResult{}, false
	}
	data = data[t.received-chunk.GetOffset():]
	if t.received == 0 && t.baseOffset == 0 {
		r := t.inflight
		r.entry.firstBytes.Record(time.Since(r.startedAt).Seconds(), r.service.Name())
	}
	t.received += uint64(len(data))
	r := t.inflight
	if t.chunks++; t.chunks == settledChunks {
		r.recordPartAnswer()
	}
	r.entry.teams.addHeldBytes(r.team.Name(), int64(len(data)))
	err := t.writeToCaller(data)
	r.entry.teams.addHeldBytes(r.team.Name(), -int64(len(data)))
	if err != nil {
		return t.callerWriteFailed(err), true
	}
	t.updateWindow()
	return attemptResult{}, false
}

// updateWindow acknowledges the received bytes to the agent once half of the
// flow control window is used.
func (t *attempt) updateWindow() {
	if t.received-t.acknowledged < link.WindowBytes/2 {
		return
	}
	t.acknowledged = t.received
	// If the session is lost, the next read returns the error.
	_ = t.grant.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Window{Window: &wirepb.Window{Offset: t.received}}})
}

func (t *attempt) callerWriteFailed(err error) attemptResult {
	t.inflight.response.disableResume()
	if errors.Is(err, webio.ErrClientGone) {
		event.CallerStalled.Log(t.inflight.entry.logger, zap.String("request", t.inflight.id), event.Error(err))
	}
	return attemptResult{responseStarted: true, code: "caller_gone", message: "the caller stopped reading the response"}
}

func (t *attempt) handleEnd(end *wirepb.End) (attemptResult, bool) {
	if !t.matches(end.GetRequest(), end.GetAttempt()) {
		return attemptResult{}, false
	}
	if !t.headReceived {
		t.inflight.log.SetState(retry.Unknown)
		return attemptResult{endpointDied: end.GetDied(), timedOut: end.GetTimedOut(), code: "endpoint_failed", message: end.GetError()}, true
	}
	if end.GetError() != "" || end.GetLength() != t.received {
		return attemptResult{responseStarted: true, endpointDied: end.GetDied(), code: "endpoint_failed", message: "the response was interrupted: " + end.GetError()}, true
	}
	if err := t.inflight.response.finish(); err != nil {
		return t.callerWriteFailed(err), true
	}
	return attemptResult{done: true}, true
}
