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

// Header fields that the agent adds to requests for the endpoint.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
)

// chunkBytes is the maximum payload of one chunk.
const chunkBytes = 16 << 10

// chunkPool holds the buffers that response bodies are read into.
var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// flowControl limits how many bytes of a response are in flight to the entry.
type flowControl struct {
	mu       sync.Mutex
	acked    uint64
	advanced chan struct{}
}

func newFlowControl() *flowControl { return &flowControl{advanced: make(chan struct{})} }

// acknowledge records that the entry has consumed the response up to offset.
func (f *flowControl) acknowledge(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset > f.acked {
		f.acked = offset
		close(f.advanced)
		f.advanced = make(chan struct{})
	}
}

// waitForWindow blocks until fewer than link.WindowBytes bytes before offset are
// unacknowledged.
func (f *flowControl) waitForWindow(ctx context.Context, offset uint64) error {
	for {
		f.mu.Lock()
		open := offset < f.acked+link.WindowBytes
		advanced := f.advanced
		f.mu.Unlock()
		if open {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serveAttempt sends the request to the endpoint and relays the response.
func (a *Agent) serveAttempt(stream *link.Stream, attempt *wirepb.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(attempt.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	flow := newFlowControl()
	go func() {
		// The entry sends only window updates here; closing its side of the stream
		// cancels the request.
		defer cancel()
		for {
			message, err := stream.Read()
			if err != nil {
				return
			}
			flow.acknowledge(message.GetWindow().GetOffset())
		}
	}()
	start, epoch := time.Now(), a.currentEpoch()
	response, err := a.sendRequest(ctx, attempt)
	if err != nil {
		a.reportFailure(ctx, stream, attempt, epoch, err)
		return
	}
	defer response.Body.Close()
	if a.settings.Kind() == config.KindModel && response.StatusCode == http.StatusServiceUnavailable {
		// An engine that responds with 503 has not started the request.
		a.attempts.Add(1, "refused")
		_ = stream.Write(refusedFrame(CodeUnavailable, "the endpoint refused the request", a.version.Load()))
		return
	}
	if stream.Write(headFrame(attempt, response)) != nil {
		return
	}
	r := &relay{agent: a, stream: stream, attempt: attempt, flow: flow, start: start, epoch: epoch}
	r.run(ctx, response.Body)
}

// sendRequest sends the attempt's HTTP request to the endpoint.
func (a *Agent) sendRequest(ctx context.Context, attempt *wirepb.Attempt) (*http.Response, error) {
	url := endpointScheme + a.settings.EndpointAddress() + string(attempt.GetPath())
	request, err := http.NewRequestWithContext(ctx, attempt.GetMethod(), url, bytes.NewReader(attempt.GetBody()))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot rewind the body, so it never sends a
	// request with a body twice.
	request.GetBody = nil
	for _, field := range attempt.GetHeaders() {
		name := headerName(field.GetName())
		request.Header[name] = append(request.Header[name], string(field.GetValue()))
	}
	request.Header.Set(headerRequest, attempt.GetRequest())
	request.Header.Set(headerPriority, strconv.Itoa(int(attempt.GetPriority())))
	return a.client.Do(request)
}

// headerName returns the spelling under which a header field is sent. The HTTP
// transport retries a request without a body on its own if it finds an
// idempotency key under the canonical field name. Field names are
// case-insensitive, so the lower-case spelling avoids these retries.
func headerName(name string) string {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key":
		return strings.ToLower(name)
	default:
		return name
	}
}

// reportFailure tells the entry that an attempt failed without a response. Only
// a failed dial proves that the request did not run.
func (a *Agent) reportFailure(ctx context.Context, stream *link.Stream, attempt *wirepb.Attempt, epoch string, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.attempts.Add(1, "refused")
		_ = stream.Write(refusedFrame(CodeUnreachable, "the endpoint can't be reached", a.version.Load()))
		return
	}
	a.attempts.Add(1, "failed")
	a.slowStart.RecordFailure()
	event.AttemptFailed.Log(a.logger, zap.String("request", attempt.GetRequest()), event.Error(err))
	end := endFrame(attempt, 0, "the endpoint gave no answer")
	end.GetEnd().Died = ctx.Err() == nil && a.hasDied(epoch)
	end.GetEnd().TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	_ = stream.Write(end)
}

func (a *Agent) currentEpoch() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// hasDied reports whether the endpoint is unreachable or has restarted since
// epoch.
func (a *Agent) hasDied(epoch string) bool {
	load, err := a.fetchLoad(context.Background())
	if err != nil {
		return true
	}
	a.observeLoad(load)
	return load.epoch != epoch
}

func headFrame(attempt *wirepb.Attempt, response *http.Response) *wirepb.Frame {
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

func endFrame(attempt *wirepb.Attempt, length uint64, message string) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_End{End: &wirepb.End{
		Request: attempt.GetRequest(),
		Attempt: attempt.GetAttempt(),
		Length:  length,
		Error:   message,
	}}}
}

// relay streams a response body to the entry.
type relay struct {
	agent     *Agent
	stream    *link.Stream
	attempt   *wirepb.Attempt
	flow      *flowControl
	start     time.Time
	epoch     string
	offset    uint64
	firstByte time.Duration
}

func (r *relay) run(ctx context.Context, body io.Reader) {
	buffer := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buffer)
	for {
		if r.flow.waitForWindow(ctx, r.offset) != nil {
			r.sendEnd("the request was cancelled")
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
			r.abort(ctx, err)
			return
		}
	}
}

func (r *relay) send(data []byte) error {
	if r.offset == 0 {
		r.firstByte = time.Since(r.start)
		r.agent.firstBytes.Record(r.firstByte.Seconds(), r.agent.settings.Service())
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

func (r *relay) sendEnd(message string) {
	_ = r.stream.Write(endFrame(r.attempt, r.offset, message))
}

func (r *relay) complete() {
	if r.offset == 0 {
		r.firstByte = time.Since(r.start)
	}
	r.agent.attempts.Add(1, "completed")
	if r.agent.slowStart.RecordCompletion(r.firstByte) {
		event.EndpointCold.Log(r.agent.logger, zap.Duration("first_byte", r.firstByte))
	}
	r.sendEnd("")
}

// abort tells the entry that the response ended early. It counts as a failure of
// the endpoint unless ctx was cancelled or timed out.
func (r *relay) abort(ctx context.Context, err error) {
	end := endFrame(r.attempt, r.offset, "the endpoint broke off its answer")
	if ctx.Err() == nil {
		r.agent.attempts.Add(1, "failed")
		r.agent.slowStart.RecordFailure()
		event.AttemptFailed.Log(r.agent.logger, zap.String("request", r.attempt.GetRequest()), event.Error(err))
		end.GetEnd().Died = r.agent.hasDied(r.epoch)
	} else {
		r.agent.attempts.Add(1, "cancelled")
	}
	_ = r.stream.Write(end)
}
