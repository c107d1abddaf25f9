package conns

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes limits the bytes that are buffered of an incomplete event.
	maxEventBytes = 1 << 20
	// smallEventBytes is the size of a buffer up to which no memory is asked for. Events have some
	// 100 bytes.
	smallEventBytes = 16 << 10
)

// room grants the memory for large events.
type room interface {
	// Grow takes bytes until the stream is closed, and reports whether there was room.
	Grow(bytes int64) bool
}

// ErrEventTruncated is returned if a stream ends inside an event.
var ErrEventTruncated = eris.New("the stream ended inside an event")

// Event is a server-sent event.
type Event struct {
	// Raw is the encoded event with the empty line that terminates it. It is valid
	// until the next event is read.
	Raw []byte
	// ID is the event's ID, empty if it has none.
	ID string
}

// EventReader reads events from a stream of server-sent events. Use NewEventReader.
type EventReader struct {
	stream io.Reader
	// buffer holds the bytes read from stream, of which the first consumed bytes have
	// been returned as events.
	buffer   []byte
	consumed int
	// err is the error of the last read. It is returned once buffer holds no complete
	// event.
	err error
}

// NewEventReader returns a reader of the events of stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{stream: stream, buffer: make([]byte, 0, readBufferBytes)}
}

// Next returns the next complete event. It returns io.EOF if the stream ends after an
// event and ErrEventTruncated if it ends inside one.
func (r *EventReader) Next() (Event, error) {
	for {
		if raw := r.nextBuffered(); raw != nil {
			return Event{Raw: raw, ID: eventID(raw)}, nil
		}
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buffer[r.consumed:])) > 0 {
				return Event{}, ErrEventTruncated
			}
			return Event{}, r.err
		}
		if len(r.buffer)-r.consumed > maxEventBytes {
			return Event{}, eris.New("the event is too large")
		}
		r.fill()
	}
}

// fill reads more of the stream into the buffer.
func (r *EventReader) fill() {
	if r.consumed > 0 {
		r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.consumed:])]
		r.consumed = 0
	}
	if cap(r.buffer)-len(r.buffer) < readBufferBytes/2 {
		if !r.takeRoom() {
			r.err = eris.New("there is no memory for a large event")
			return
		}
		grown := make([]byte, len(r.buffer), 2*cap(r.buffer))
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.stream.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.err = err
}

// takeRoom takes the memory for a buffer of twice the size from a stream that grants it.
func (r *EventReader) takeRoom() bool {
	granted, ok := r.stream.(room)
	return !ok || 2*cap(r.buffer) <= smallEventBytes || granted.Grow(int64(cap(r.buffer)))
}

// nextBuffered consumes and returns the first complete event in the buffer, nil if
// there is none.
func (r *EventReader) nextBuffered() []byte {
	rest := r.buffer[r.consumed:]
	end := -1
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(rest, []byte(separator)); i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	if end < 0 {
		return nil
	}
	r.consumed += end
	return rest[:end]
}

// eventID returns the value of the event's first id field.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
