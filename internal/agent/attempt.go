package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// Header fields that the agent adds for the endpoint.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
)

// chunkBytes is the most that one chunk holds.
const chunkBytes = 16 << 10

// chunkPool keeps the buffers that answers are read into.
var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// flow counts what of an answer is on its way and waits for room.
type flow struct {
	mu    sync.Mutex
	taken uint64
	moved chan struct{}
}

func newFlow() *flow { return &flow{moved: make(chan struct{})} }

// take notes that the entry has taken the answer up to offset.
func (f *flow) take(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset > f.taken {
		f.taken = offset
		close(f.moved)
		f.moved = make(chan struct{})
	}
}

// waitForRoom waits until less than a window is on its way after offset.
func (f *flow) waitForRoom(ctx context.Context, offset uint64) error {
	for {
		f.mu.Lock()
		room := offset < f.taken+link.WindowBytes
		moved := f.moved
		f.mu.Unlock()
		if room {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serveAttempt gives an attempt to the endpoint and passes on its answer.
func (a *Agent) serveAttempt(stream *link.Stream, attempt *wirepb.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(attempt.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	flow := newFlow()
	go func() {
		// The entry sends windows only; the end of its side cancels the request.
		defer cancel()
		for {
			message, err := stream.Read()
			if err != nil {
				return
			}
			flow.take(message.GetWindow().GetOffset())
		}
	}()
	began, epoch := time.Now(), a.currentEpoch()
	response, err := a.callEndpoint(ctx, attempt)
	if err != nil {
		a.fail(ctx, stream, attempt, epoch, err)
		return
	}
	defer response.Body.Close()
	if a.settings.Kind() == config.KindModel && response.StatusCode == http.StatusServiceUnavailable {
		// An engine that answers 503 has not begun.
		a.attempts.Add(1, "refused")
		_ = stream.Write(refused(CodeUnavailable, "the endpoint refused the request", a.version.Load()))
		return
	}
	if stream.Write(headOf(attempt, response)) != nil {
		return
	}
	r := &relay{agent: a, stream: stream, attempt: attempt, flow: flow, began: began, epoch: epoch}
	r.run(ctx, response.Body)
}

func (a *Agent) callEndpoint(ctx context.Context, attempt *wirepb.Attempt) (*http.Response, error) {
	target := endpointProto + a.settings.EndpointAddress() + string(attempt.GetPath())
	request, err := http.NewRequestWithContext(ctx, attempt.GetMethod(), target, bytes.NewReader(attempt.GetBody()))
	if err != nil {
		return nil, err
	}
	// A body that can't be rewound keeps the transport from sending twice.
	request.GetBody = nil
	for _, field := range attempt.GetHeaders() {
		name := fieldName(field.GetName())
		request.Header[name] = append(request.Header[name], string(field.GetValue()))
	}
	request.Header.Set(headerRequest, attempt.GetRequest())
	request.Header.Set(headerPriority, strconv.Itoa(int(attempt.GetPriority())))
	return a.client.Do(request)
}

// fieldName returns the name under which a header field is sent. The transport
// sends a request without a body again by itself if it finds a field that names
// an idempotency key; written in small letters, which mean the same, it doesn't
// find it.
func fieldName(name string) string {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key":
		return strings.ToLower(name)
	default:
		return name
	}
}

// fail tells the entry of an attempt that has no answer. Only where the
// endpoint couldn't be connected to is it certain that nothing ran.
func (a *Agent) fail(ctx context.Context, stream *link.Stream, attempt *wirepb.Attempt, epoch string, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.attempts.Add(1, "refused")
		_ = stream.Write(refused(CodeUnreachable, "the endpoint can't be reached", a.version.Load()))
		return
	}
	a.attempts.Add(1, "failed")
	a.ramp.RecordFailure()
	event.AttemptFailed.Log(a.logger, zap.String("request", attempt.GetRequest()), event.Error(err))
	end := endOf(attempt, 0, "the endpoint gave no answer")
	end.GetEnd().Died = ctx.Err() == nil && a.hasDied(epoch)
	_ = stream.Write(end)
}

func (a *Agent) currentEpoch() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// hasDied reports whether the endpoint isn't any more what it was in an epoch.
func (a *Agent) hasDied(epoch string) bool {
	load, err := a.pollLoad(context.Background())
	if err != nil {
		return true
	}
	a.observeLoad(load)
	return load.epoch != epoch
}

func headOf(attempt *wirepb.Attempt, response *http.Response) *wirepb.Frame {
	head := &wirepb.Head{
		Request: attempt.GetRequest(),
		Attempt: attempt.GetAttempt(),
		Status:  uint32(response.StatusCode),
	}
	for name, values := range response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wirepb.Field{Name: name, Value: []byte(value)})
		}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Head{Head: head}}
}

func endOf(attempt *wirepb.Attempt, length uint64, problem string) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_End{End: &wirepb.End{
		Request: attempt.GetRequest(),
		Attempt: attempt.GetAttempt(),
		Length:  length,
		Error:   problem,
	}}}
}

// relay passes an answer's body on to the entry.
type relay struct {
	agent   *Agent
	stream  *link.Stream
	attempt *wirepb.Attempt
	flow    *flow
	began   time.Time
	epoch   string
	offset  uint64
	first   time.Duration
}

func (r *relay) run(ctx context.Context, body io.Reader) {
	buffer := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buffer)
	for {
		if r.flow.waitForRoom(ctx, r.offset) != nil {
			r.end("the request was cancelled")
			return
		}
		n, err := body.Read(buffer[:])
		if n > 0 && r.send(buffer[:n]) != nil {
			r.agent.attempts.Add(1, "cancelled")
			return
		}
		if errors.Is(err, io.EOF) {
			r.complete()
			return
		}
		if err != nil {
			r.breakOff(ctx, err)
			return
		}
	}
}

func (r *relay) send(data []byte) error {
	if r.offset == 0 {
		r.first = time.Since(r.began)
		r.agent.firstBytes.Record(r.first.Seconds(), r.agent.settings.Service())
	}
	chunk := &wirepb.Chunk{
		Request: r.attempt.GetRequest(),
		Attempt: r.attempt.GetAttempt(),
		Offset:  r.offset,
		Data:    data,
	}
	r.offset += uint64(len(data))
	return r.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: chunk}})
}

func (r *relay) end(problem string) {
	_ = r.stream.Write(endOf(r.attempt, r.offset, problem))
}

func (r *relay) complete() {
	if r.offset == 0 {
		r.first = time.Since(r.began)
	}
	r.agent.attempts.Add(1, "completed")
	if r.agent.ramp.RecordCompletion(r.first) {
		event.EndpointCold.Log(r.agent.logger, zap.Duration("first_byte", r.first))
	}
	r.end("")
}

// breakOff tells the entry that the answer ended too early. It counts against
// the endpoint unless the entry has cancelled the request.
func (r *relay) breakOff(ctx context.Context, err error) {
	end := endOf(r.attempt, r.offset, "the endpoint broke off its answer")
	if ctx.Err() == nil {
		r.agent.attempts.Add(1, "failed")
		r.agent.ramp.RecordFailure()
		event.AttemptFailed.Log(r.agent.logger, zap.String("request", r.attempt.GetRequest()), event.Error(err))
		end.GetEnd().Died = r.agent.hasDied(r.epoch)
	} else {
		r.agent.attempts.Add(1, "cancelled")
	}
	_ = r.stream.Write(end)
}
