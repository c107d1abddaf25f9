package webio

import (
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/lentilstand/lentilstand/internal/memory"
)

const (
	// bodyStartBytes is the size of the first buffer for a body.
	bodyStartBytes = 4 << 10
	// segmentBytes is the size of the parts in which a larger body is kept while it is received.
	segmentBytes = 64 << 10
)

// segments holds parts of bodies that aren't in use. The memory of a body that was cut off is used
// again at once, without a run of the garbage collector, and growth leaves no garbage: with
// buffers that doubled, a crowd took an entry over its limit while the collector ran.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// body is a body that is being received. The zero value is empty.
type body struct {
	// parts holds the bytes. The first part grows up to segmentBytes; the others are segments.
	parts    [][]byte
	segments []*[segmentBytes]byte
	size     int
}

// errNoMemory means that the account has no room.
var errNoMemory = errors.New("the requests in progress take all memory")

// readFrom reads once from reader. It returns errNoMemory or the error of the reader.
func (b *body) readFrom(reader io.Reader, holder *memory.Holder) error {
	if err := b.makeRoom(holder); err != nil {
		return err
	}
	last := &b.parts[len(b.parts)-1]
	n, err := reader.Read((*last)[len(*last):cap(*last)])
	*last = (*last)[:len(*last)+n]
	b.size += n
	return err
}

// makeRoom makes the last part have room.
func (b *body) makeRoom(holder *memory.Holder) error {
	if len(b.parts) == 0 {
		b.parts = [][]byte{nil}
	}
	last := b.parts[len(b.parts)-1]
	switch {
	case len(last) < cap(last):
		return nil
	case cap(last) < segmentBytes:
		size := max(bodyStartBytes, 2*cap(last))
		if !holder.Grow(int64(size - cap(last))) {
			return errNoMemory
		}
		b.parts[0] = append(make([]byte, 0, size), last...)
	default:
		if !holder.Grow(segmentBytes) {
			return errNoMemory
		}
		segment := segments.Get().(*[segmentBytes]byte)
		b.segments = append(b.segments, segment)
		b.parts = append(b.parts, segment[:0])
	}
	return nil
}

// join returns the whole body. The bytes of the parts are no longer used.
func (b *body) join(holder *memory.Holder) ([]byte, error) {
	if len(b.parts) == 1 {
		return b.parts[0], nil
	}
	if !holder.Grow(int64(b.size)) {
		return nil, errNoMemory
	}
	whole := slices.Concat(b.parts...)
	holder.Shrink(int64(segmentBytes * len(b.segments)))
	b.release()
	return whole, nil
}

// release makes the segments available to other bodies.
func (b *body) release() {
	for _, segment := range b.segments {
		segments.Put(segment)
	}
	*b = body{}
}
