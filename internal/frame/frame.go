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
	"errors"
	"io"
	"sync"
	"sync/atomic"

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
	// ErrNoRoom means that there is no memory for a frame.
	ErrNoRoom = eris.New("there is no memory for the frame")
)

// Room grants the memory that frames take.
type Room interface {
	// Grow takes bytes and reports whether there was room.
	Grow(bytes int64) bool
	// Shrink returns bytes.
	Shrink(bytes int64)
}

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
	room   Room
	// taken is what the last frame has of room.
	taken atomic.Int64
}

const (
	// readBufferBytes is the size of the buffer of a Reader.
	readBufferBytes = 4096
	// firstPartBytes is the size of the first part of a frame that is read. Each further part
	// doubles the buffer, so that a peer which announces a frame without sending it takes
	// little memory.
	firstPartBytes = 16 << 10
	// copies is the number of copies of a frame in memory: the encoded and the decoded one.
	copies = 2
)

// NewReader returns a Reader on stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{stream: bufio.NewReaderSize(stream, readBufferBytes)}
}

// SetRoom makes the Reader take memory from room: for each frame until the next one is read or
// Release is called.
func (r *Reader) SetRoom(room Room) { r.room = room }

// Release returns the memory of the last frame to the Reader's room.
func (r *Reader) Release() {
	if taken := r.taken.Swap(0); taken > 0 {
		r.room.Shrink(taken)
	}
}

// take takes the memory for bytes of a frame.
func (r *Reader) take(bytes int) bool {
	if r.room == nil {
		return true
	}
	if !r.room.Grow(int64(copies * bytes)) {
		return false
	}
	r.taken.Add(int64(copies * bytes))
	return true
}

// readBytes reads the encoded bytes of a frame.
func (r *Reader) readBytes(size int) ([]byte, error) {
	var encoded []byte
	for read := 0; read < size; {
		grown := min(size, max(firstPartBytes, 2*len(encoded)))
		if !r.take(grown - len(encoded)) {
			return nil, ErrNoRoom
		}
		encoded = append(encoded, make([]byte, grown-len(encoded))...)
		n, err := io.ReadFull(r.stream, encoded[read:])
		read += n
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, eris.Wrap(err, "cannot read a frame")
		}
	}
	return encoded, nil
}

// Read returns the next frame. It returns io.EOF if the stream ends between two
// frames and io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Read() (*wirepb.Frame, error) {
	r.Release()
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.stream, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxBytes {
		return nil, ErrTooLarge
	}
	encoded, err := r.readBytes(int(size))
	if err != nil {
		return nil, err
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
