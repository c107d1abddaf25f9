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

// Header fields of the engines' protocol for resuming an answer.
const (
	headerResume       = "X-Resume-Offset"
	headerModelVersion = "X-Model-Version"
)

// hopHeaders are header fields that concern one connection only.
var hopHeaders = map[string]bool{
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

// callerOnly are header fields that are between the caller and the entry.
var callerOnly = map[string]bool{
	"Authorization": true,
	headerTimeout:   true,
	headerResume:    true,
	"X-Request-Id":  true,
	"X-Priority":    true,
}

// attempt is one attempt at a request under a credit.
type attempt struct {
	inflight *inflight
	grant    *grant
	number   uint32
	base     uint64
	taken    uint64
	acked    uint64
	began    bool
	parked   atomic.Bool
}

// attempt sends the request to the endpoint of a grant and passes its answer to
// the caller.
func (f *inflight) attempt(ctx context.Context, g *grant) attemptEnd {
	defer g.stream.Close()
	f.log.Begin(g.endpoint.Name())
	t := &attempt{inflight: f, grant: g, number: uint32(len(f.log.Attempts())), base: f.answer.offset()}
	stop := context.AfterFunc(ctx, g.stream.Close)
	defer stop()
	end := t.run()
	f.recordCrash(end, g)
	if !end.done && !end.parked {
		t.settle()
		event.AttemptFailed.Log(f.entry.logger,
			zap.String("request", f.id),
			zap.String("endpoint", g.endpoint.Name()),
			zap.String("outcome", string(f.log.Outcome())),
			zap.String("message", end.message))
	}
	return end
}

// recordCrash holds the death of an endpoint against the request, and clears one
// that has completed alone.
func (f *inflight) recordCrash(end attemptEnd, g *grant) {
	switch {
	case end.died:
		f.entry.crashes.death(f.fingerprint(), g.alone)
	case end.done && g.alone:
		f.entry.crashes.clear(f.fingerprint())
	}
}

// settle finds out whether an attempt that has no answer has run. Where the
// credit can be revoked it has not, even if its message is still on its way.
func (t *attempt) settle() {
	attempts := t.inflight.log.Attempts()
	state := attempts[len(attempts)-1].State()
	if state != retry.Sent && state != retry.Unknown {
		return
	}
	if t.grant.link.revoke(t.grant.incarnation, t.grant.credit) {
		t.inflight.log.SetState(retry.Refused)
		return
	}
	t.inflight.log.SetState(retry.Unknown)
}

func (t *attempt) run() attemptEnd {
	// From here on the request may arrive even if writing fails.
	t.inflight.log.SetState(retry.Sent)
	if err := t.grant.stream.Write(t.message()); err != nil {
		return attemptEnd{code: "endpoint_lost", message: "the connection to the endpoint was lost"}
	}
	for {
		message, err := t.grant.stream.Read()
		if t.parked.Load() {
			return attemptEnd{begun: true, parked: true, message: "parked, since the caller is slow"}
		}
		if err != nil {
			return attemptEnd{begun: t.began, code: "endpoint_lost", message: "the connection to the endpoint was lost"}
		}
		if end, over := t.take(message); over {
			return end
		}
	}
}

func (t *attempt) message() *wirepb.Frame {
	f := t.inflight
	request := f.exchange.Request()
	attempt := &wirepb.Attempt{
		Request:   f.id,
		Attempt:   t.number,
		Credit:    t.grant.credit,
		Method:    request.Method,
		Path:      []byte(request.URL.RequestURI()),
		Headers:   requestFields(request.Header),
		Body:      f.body,
		TimeoutMs: uint32(max(1, time.Until(f.deadline).Milliseconds())),
		Priority:  uint32(f.team.Priority()),
	}
	if t.base > 0 {
		attempt.Headers = append(attempt.Headers, &wirepb.Field{Name: headerResume, Value: strconv.AppendUint(nil, t.base, 10)})
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Attempt{Attempt: attempt}}
}

func requestFields(header http.Header) []*wirepb.Field {
	fields := make([]*wirepb.Field, 0, len(header))
	for name, values := range header {
		if hopHeaders[name] || callerOnly[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &wirepb.Field{Name: name, Value: []byte(value)})
		}
	}
	return fields
}

// take takes in one frame of the answer. Over reports that it was the last.
func (t *attempt) take(message *wirepb.Frame) (end attemptEnd, over bool) {
	switch body := message.GetBody().(type) {
	case *wirepb.Frame_Refused:
		t.inflight.log.SetState(retry.Refused)
		return attemptEnd{code: body.Refused.GetCode(), message: body.Refused.GetMessage()}, true
	case *wirepb.Frame_Head:
		return t.takeHead(body.Head)
	case *wirepb.Frame_Chunk:
		return t.takeChunk(body.Chunk)
	case *wirepb.Frame_End:
		return t.takeEnd(body.End)
	default:
		event.FrameRefused.Log(t.inflight.entry.logger, zap.String("endpoint", t.grant.endpoint.Name()))
		return attemptEnd{begun: t.began, code: "endpoint_failed", message: "the endpoint's agent sent a frame out of place"}, true
	}
}

// own reports whether a frame belongs to this attempt.
func (t *attempt) own(request string, attempt uint32) bool {
	return request == t.inflight.id && attempt == t.number
}

func (t *attempt) takeHead(head *wirepb.Head) (attemptEnd, bool) {
	if !t.own(head.GetRequest(), head.GetAttempt()) || t.began {
		return attemptEnd{}, false
	}
	t.inflight.log.SetState(retry.Run)
	t.began = true
	header := responseHeader(head.GetHeaders())
	if t.inflight.answer.begun() {
		return t.resume(int(head.GetStatus()), header)
	}
	streaming := t.inflight.streaming && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	header.Set(versionHeader, strconv.FormatUint(t.grant.version, 10))
	if err := t.inflight.answer.begin(int(head.GetStatus()), header, streaming); err != nil {
		return t.callerLost(err), true
	}
	return attemptEnd{}, false
}

// resume checks that the endpoint goes on with the same answer.
func (t *attempt) resume(status int, header http.Header) (attemptEnd, bool) {
	confirmed := t.base == 0 || header.Get(headerResume) == strconv.FormatUint(t.base, 10)
	sameModel := header.Get(headerModelVersion) == t.inflight.answer.modelVersion()
	if status == http.StatusOK && confirmed && sameModel {
		return attemptEnd{}, false
	}
	t.inflight.answer.forbidResume()
	return attemptEnd{begun: true, code: "endpoint_failed", message: "the answer broke off and can't be resumed"}, true
}

func responseHeader(fields []*wirepb.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		name := http.CanonicalHeaderKey(field.GetName())
		if !hopHeaders[name] {
			header.Add(name, string(field.GetValue()))
		}
	}
	return header
}

func (t *attempt) takeChunk(chunk *wirepb.Chunk) (attemptEnd, bool) {
	if !t.own(chunk.GetRequest(), chunk.GetAttempt()) || !t.began {
		return attemptEnd{}, false
	}
	data := chunk.GetData()
	switch {
	case chunk.GetOffset() > t.taken:
		return attemptEnd{begun: true, code: "endpoint_failed", message: "a piece of the answer is missing"}, true
	case chunk.GetOffset()+uint64(len(data)) <= t.taken:
		return attemptEnd{}, false
	}
	data = data[t.taken-chunk.GetOffset():]
	if t.taken == 0 && t.base == 0 {
		f := t.inflight
		f.entry.firstBytes.Record(time.Since(f.began).Seconds(), f.service.Name())
	}
	t.taken += uint64(len(data))
	f := t.inflight
	f.entry.teams.hold(f.team.Name(), int64(len(data)))
	err := t.writeToCaller(data)
	f.entry.teams.hold(f.team.Name(), -int64(len(data)))
	if err != nil {
		return t.callerLost(err), true
	}
	t.openWindow()
	return attemptEnd{}, false
}

// openWindow tells the agent what has been taken, once it is worth a frame.
func (t *attempt) openWindow() {
	if t.taken-t.acked < link.WindowBytes/2 {
		return
	}
	t.acked = t.taken
	// A lost session shows at the next read.
	_ = t.grant.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Window{Window: &wirepb.Window{Offset: t.taken}}})
}

func (t *attempt) callerLost(err error) attemptEnd {
	t.inflight.answer.forbidResume()
	if errors.Is(err, webio.ErrClientGone) {
		event.CallerStalled.Log(t.inflight.entry.logger, zap.String("request", t.inflight.id), event.Error(err))
	}
	return attemptEnd{begun: true, code: "caller_gone", message: "the caller took no more of its answer"}
}

func (t *attempt) takeEnd(last *wirepb.End) (attemptEnd, bool) {
	if !t.own(last.GetRequest(), last.GetAttempt()) {
		return attemptEnd{}, false
	}
	if !t.began {
		t.inflight.log.SetState(retry.Unknown)
		return attemptEnd{died: last.GetDied(), code: "endpoint_failed", message: last.GetError()}, true
	}
	if last.GetError() != "" || last.GetLength() != t.taken {
		return attemptEnd{begun: true, died: last.GetDied(), code: "endpoint_failed", message: "the answer broke off: " + last.GetError()}, true
	}
	if err := t.inflight.answer.finish(); err != nil {
		return t.callerLost(err), true
	}
	return attemptEnd{done: true}, true
}
