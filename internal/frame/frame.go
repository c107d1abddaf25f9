// Package frame reads and writes length-prefixed protobuf messages on a byte
// stream.
//
// A Reader does not trust its input. It returns an error for a length above
// MaxBytes, for bytes that do not decode as a Frame and for an empty Frame, so
// MaxBytes also bounds the memory that a peer can make it use.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// MaxBytes is the maximum encoded size of a frame. A request with the largest
// body that an entry accepts fits in one frame.
const MaxBytes = 5 << 20

// lengthBytes is the size of the length prefix of a frame.
const lengthBytes = 4

// Errors of a Reader; a Writer also returns ErrTooLarge.
var (
	// ErrTooLarge means that a frame is larger than MaxBytes.
	ErrTooLarge = eris.New("the frame is too large")
	// ErrMalformed means that the bytes do not decode as a frame.
	ErrMalformed = eris.New("the frame is malformed")
)

// Writer writes frames to a stream. It is safe for concurrent use.
type Writer struct {
	mu     sync.Mutex
	stream io.Writer
	buffer []byte
}

// NewWriter returns a Writer on stream.
func NewWriter(stream io.Writer) *Writer {
	return &Writer{stream: stream}
}

// Write writes a frame with a single call of the stream's Write.
func (w *Writer) Write(message *wirepb.Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := proto.Size(message)
	if size > MaxBytes {
		return ErrTooLarge
	}
	w.buffer = binary.BigEndian.AppendUint32(w.buffer[:0], uint32(size))
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buffer, message)
	if err != nil {
		return eris.Wrap(err, "cannot encode a frame")
	}
	w.buffer = encoded
	if _, err := w.stream.Write(encoded); err != nil {
		return eris.Wrap(err, "cannot write a frame")
	}
	return nil
}

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct {
	stream *bufio.Reader
}

// readBufferBytes is the size of the buffer of a Reader.
const readBufferBytes = 4096

// NewReader returns a Reader on stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{stream: bufio.NewReaderSize(stream, readBufferBytes)}
}

// Read returns the next frame. It returns io.EOF if the stream ends between two
// frames and io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Read() (*wirepb.Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.stream, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxBytes {
		return nil, ErrTooLarge
	}
	encoded, err := io.ReadAll(io.LimitReader(r.stream, int64(size)))
	if err != nil {
		return nil, eris.Wrap(err, "cannot read a frame")
	}
	if len(encoded) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	message := &wirepb.Frame{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if message.GetBody() == nil {
		return nil, eris.Wrap(ErrMalformed, "the frame is empty")
	}
	return message, nil
}
