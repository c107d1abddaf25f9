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

// wholeBytes is how much of an answer that isn't a stream is collected to be
// sent as a whole; a longer one is sent piece by piece.
const wholeBytes = 64 << 10

// answer passes an endpoint's answer on to the caller: a stream piece by piece
// as it comes, anything else as a whole if it is short.
type answer struct {
	exchange *webio.Exchange
	request  string
	status   int
	header   http.Header
	noResume bool
	buffer   bytes.Buffer
	stream   *webio.Stream
	written  uint64
	created  time.Time
	last     time.Time
	first    time.Duration
	gap      time.Duration
	observer func(status int, header http.Header, body []byte)
}

func newAnswer(exchange *webio.Exchange, request string) *answer {
	return &answer{exchange: exchange, request: request, created: time.Now()}
}

// observe makes the answer call seen with the whole answer before the caller
// gets its end. It is for short answers only: seen gets no body of a longer one.
func (a *answer) observe(seen func(status int, header http.Header, body []byte)) { a.observer = seen }

// begun reports whether the caller has got a part of the answer.
func (a *answer) begun() bool { return a.stream != nil }

// offset returns how many bytes of the body were passed on or collected.
func (a *answer) offset() uint64 { return a.written }

// modelVersion returns the version of the model that began the answer.
func (a *answer) modelVersion() string { return a.header.Get(headerModelVersion) }

// resumable reports whether another attempt may go on with the answer or begin
// it anew.
func (a *answer) resumable() bool {
	if a.noResume {
		return false
	}
	return a.stream == nil || a.modelVersion() != ""
}

// canPark reports whether the answer can be left at an offset and resumed.
func (a *answer) canPark() bool { return a.stream != nil && a.resumable() }

func (a *answer) forbidResume() { a.noResume = true }

// begin takes the status and the header of the answer.
func (a *answer) begin(status int, header http.Header, streaming bool) error {
	a.status = status
	a.header = header
	header.Set(apierr.HeaderRequestID, a.request)
	header.Set(apierr.HeaderOutcome, string(retry.OutcomeRun))
	if !streaming {
		return nil
	}
	return a.open()
}

// open begins to send the answer piece by piece.
func (a *answer) open() error {
	stream, err := a.exchange.StartStream(a.status, a.header)
	if err != nil {
		return err
	}
	a.stream = stream
	return nil
}

// write takes a piece of the body. It waits while the caller is slow.
func (a *answer) write(data []byte) error {
	a.clock(time.Now())
	a.written += uint64(len(data))
	if a.stream != nil {
		_, err := a.stream.Write(data)
		return err
	}
	a.buffer.Write(data)
	if a.buffer.Len() <= wholeBytes {
		return nil
	}
	if err := a.open(); err != nil {
		return err
	}
	_, err := a.stream.Write(a.buffer.Bytes())
	a.buffer = bytes.Buffer{}
	return err
}

// clock notes when a piece of the answer came.
func (a *answer) clock(now time.Time) {
	if a.last.IsZero() {
		a.first = now.Sub(a.created)
	} else {
		a.gap = max(a.gap, now.Sub(a.last))
	}
	a.last = now
}

// restart forgets a collected answer that broke off before the caller got any
// of it.
func (a *answer) restart() {
	if a.stream == nil {
		a.written = 0
		a.buffer.Reset()
	}
}

// finish ends the answer cleanly.
func (a *answer) finish() error {
	if a.observer != nil {
		a.observer(a.status, a.header, a.buffer.Bytes())
	}
	if a.stream != nil {
		return a.stream.Close()
	}
	a.exchange.Reply(a.status, a.header, a.buffer.Bytes())
	return nil
}

// fail ends the answer with an error. A stream that has begun gets an error
// event and no clean end.
func (a *answer) fail(failure *apierr.Error) {
	if a.stream == nil {
		header := failure.Header()
		header.Set(apierr.HeaderRequestID, a.request)
		a.exchange.Reply(failure.Status(), header, failure.Body())
		return
	}
	if a.header.Get("Content-Type") == "text/event-stream" {
		_, _ = a.stream.Write(failure.ServerSentEvent())
	}
	a.stream.Abort()
}
