package conns

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ErrEventTruncated says that a stream ended inside an event.
var ErrEventTruncated = eris.New("the stream ended inside an event")

// Event is one event of a stream, with the empty line that ends it.
type Event struct {
	// Raw holds the event's bytes. It is valid until the next event is read.
	Raw []byte
	// ID is the event's id, empty if it has none.
	ID string
}

// EventReader cuts a stream into events. Use NewEventReader.
type EventReader struct {
	stream  io.Reader
	pending []byte
	taken   int
	end     error
}

// NewEventReader returns a reader of the events of stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{stream: stream, pending: make([]byte, 0, readBufferBytes)}
}

// Next returns the next whole event. It returns io.EOF at the proper end of the
// stream, and ErrEventCut if the stream ends inside an event.
func (r *EventReader) Next() (Event, error) {
	for {
		if raw := r.cut(); raw != nil {
			return Event{Raw: raw, ID: eventID(raw)}, nil
		}
		if r.end != nil {
			if errors.Is(r.end, io.EOF) && len(bytes.TrimSpace(r.pending[r.taken:])) > 0 {
				return Event{}, ErrEventTruncated
			}
			return Event{}, r.end
		}
		if len(r.pending)-r.taken > maxEventBytes {
			return Event{}, eris.New("an event is too large")
		}
		r.fill()
	}
}

// fill reads more of the stream behind what is pending.
func (r *EventReader) fill() {
	if r.taken > 0 {
		r.pending = r.pending[:copy(r.pending, r.pending[r.taken:])]
		r.taken = 0
	}
	if cap(r.pending)-len(r.pending) < readBufferBytes/2 {
		grown := make([]byte, len(r.pending), 2*cap(r.pending))
		copy(grown, r.pending)
		r.pending = grown
	}
	n, err := r.stream.Read(r.pending[len(r.pending):cap(r.pending)])
	r.pending = r.pending[:len(r.pending)+n]
	r.end = err
}

// cut takes the first whole event off what is pending, nil if there is none.
func (r *EventReader) cut() []byte {
	rest := r.pending[r.taken:]
	end := -1
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(rest, []byte(separator)); i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	if end < 0 {
		return nil
	}
	r.taken += end
	return rest[:end]
}

// eventID returns the value of an event's field "id".
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
