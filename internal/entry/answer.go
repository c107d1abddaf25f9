package entry

import (
	"bytes"
	"net/http"
	"time"

	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

const versionHeader = apierr.HeaderVersion

// maxBufferedBytes is the size up to which a response that is not a stream is
// buffered and sent with a Content-Length. Longer responses are streamed.
const maxBufferedBytes = 64 << 10

// response forwards an endpoint's response to the caller. Event streams are
// written as they arrive; other responses are buffered up to maxBufferedBytes.
type response struct {
	exchange   *webio.Exchange
	request    string
	status     int
	header     http.Header
	noResume   bool
	buffer     bytes.Buffer
	stream     *webio.Stream
	bodyOffset uint64
	created    time.Time
	lastWrite  time.Time
	firstByte  time.Duration
	maxGap     time.Duration
	onComplete func(status int, header http.Header, body []byte)
}

func newResponse(exchange *webio.Exchange, request string) *response {
	return &response{exchange: exchange, request: request, created: time.Now()}
}

// setOnComplete registers f to be called with the complete response before its end
// is sent to the caller. The body is empty if it exceeds maxBufferedBytes.
func (r *response) setOnComplete(f func(status int, header http.Header, body []byte)) {
	r.onComplete = f
}

// started reports whether part of the response has been sent to the caller.
func (r *response) started() bool { return r.stream != nil }

// offset returns the number of body bytes that were written or buffered.
func (r *response) offset() uint64 { return r.bodyOffset }

// modelVersion returns the version of the model that produced the first part of
// the response.
func (r *response) modelVersion() string { return r.header.Get(headerModelVersion) }

// canResume reports whether another attempt may continue the response, or restart
// it if nothing was sent yet.
func (r *response) canResume() bool {
	if r.noResume {
		return false
	}
	return r.stream == nil || r.modelVersion() != ""
}

// canPark reports whether the response can be suspended and resumed at its offset.
func (r *response) canPark() bool { return r.stream != nil && r.canResume() }

func (r *response) disableResume() { r.noResume = true }

// start sets the status and the header, and starts the stream if streaming is set.
func (r *response) start(status int, header http.Header, streaming bool) error {
	r.status = status
	r.header = header
	header.Set(apierr.HeaderRequestID, r.request)
	header.Set(apierr.HeaderOutcome, string(retry.OutcomeRun))
	if !streaming {
		return nil
	}
	return r.startStream()
}

// startStream sends the header and switches to streaming the body.
func (r *response) startStream() error {
	stream, err := r.exchange.StartStream(r.status, r.header)
	if err != nil {
		return err
	}
	r.stream = stream
	return nil
}

// write appends data to the body. It blocks while the caller reads slowly.
func (r *response) write(data []byte) error {
	r.recordTiming(time.Now())
	r.bodyOffset += uint64(len(data))
	if r.stream != nil {
		_, err := r.stream.Write(data)
		return err
	}
	r.buffer.Write(data)
	if r.buffer.Len() <= maxBufferedBytes {
		return nil
	}
	if err := r.startStream(); err != nil {
		return err
	}
	_, err := r.stream.Write(r.buffer.Bytes())
	r.buffer = bytes.Buffer{}
	return err
}

// recordTiming updates the time to the first byte and the longest gap between
// two writes.
func (r *response) recordTiming(now time.Time) {
	if r.lastWrite.IsZero() {
		r.firstByte = now.Sub(r.created)
	} else {
		r.maxGap = max(r.maxGap, now.Sub(r.lastWrite))
	}
	r.lastWrite = now
}

// reset discards a buffered partial response. It has no effect once a part was
// sent to the caller.
func (r *response) reset() {
	if r.stream == nil {
		r.bodyOffset = 0
		r.buffer.Reset()
	}
}

// finish completes the response.
func (r *response) finish() error {
	if r.onComplete != nil {
		r.onComplete(r.status, r.header, r.buffer.Bytes())
	}
	if r.stream != nil {
		return r.stream.Close()
	}
	r.exchange.Reply(r.status, r.header, r.buffer.Bytes())
	return nil
}

// fail ends the response with an error. A stream that has already started gets an
// error event and is aborted without a regular end.
func (r *response) fail(failure *apierr.Error) {
	if r.stream == nil {
		header := failure.Header()
		header.Set(apierr.HeaderRequestID, r.request)
		r.exchange.Reply(failure.Status(), header, failure.Body())
		return
	}
	if r.header.Get("Content-Type") == "text/event-stream" {
		_, _ = r.stream.Write(failure.ServerSentEvent())
	}
	r.stream.Abort()
}
