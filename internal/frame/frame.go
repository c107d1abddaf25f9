// Package frame writes and reads protobuf messages on a byte stream, each with
// its length before it.
//
// A reader takes nothing on trust: a length above the bound, a message that
// isn't a Frame and an empty Frame all end the stream with an error before more
// memory is taken than the bound allows.
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

// MaxBytes bounds the encoded size of one frame. It holds a request with the
// largest body that an entry takes.
const MaxBytes = 5 << 20

// headerBytes is the size of the length before each frame.
const headerBytes = 4

// Errors of a Reader.
var (
	// ErrTooLarge says that a frame is above MaxBytes.
	ErrTooLarge = eris.New("the frame is too large")
	// ErrMalformed says that the bytes are no frame.
	ErrMalformed = eris.New("the frame is malformed")
)

// Writer writes frames to a stream. It is safe for concurrent use.
type Writer struct {
	mu     sync.Mutex
	stream io.Writer
	buffer []byte
}

// NewWriter returns a writer to stream.
func NewWriter(stream io.Writer) *Writer {
	return &Writer{stream: stream}
}

// Write writes one frame with a single write to the stream.
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
		return eris.Wrap(err, "can't encode a frame")
	}
	w.buffer = encoded
	if _, err := w.stream.Write(encoded); err != nil {
		return eris.Wrap(err, "can't write a frame")
	}
	return nil
}

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct {
	stream *bufio.Reader
}

// readBufferBytes is the size of a reader's buffer.
const readBufferBytes = 4096

// NewReader returns a reader from stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{stream: bufio.NewReaderSize(stream, readBufferBytes)}
}

// Read returns the next frame. It returns io.EOF at the end of the stream
// between two frames.
func (r *Reader) Read() (*wirepb.Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.stream, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxBytes {
		return nil, ErrTooLarge
	}
	encoded, err := io.ReadAll(io.LimitReader(r.stream, int64(size)))
	if err != nil {
		return nil, eris.Wrap(err, "can't read a frame")
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
