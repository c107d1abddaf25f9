package frame_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/frame"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

func encode(t testing.TB, message *wirepb.Frame) []byte {
	var stream bytes.Buffer
	require.NoError(t, frame.NewWriter(&stream).Write(message))
	return stream.Bytes()
}

func reserve(service string) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Reserve{Reserve: &wirepb.Reserve{Service: service, Version: 7}}}
}

func TestReader(t *testing.T) {
	encoded := encode(t, reserve("skiff-lm"))
	testCases := []struct {
		name   string
		stream []byte
		want   error
	}{
		{name: "complete frame", stream: encoded},
		{name: "empty stream", stream: nil, want: io.EOF},
		{name: "truncated length", stream: encoded[:2], want: io.ErrUnexpectedEOF},
		{name: "truncated frame", stream: encoded[:len(encoded)-1], want: io.ErrUnexpectedEOF},
		{name: "length above MaxBytes", stream: binary.BigEndian.AppendUint32(nil, frame.MaxBytes+1), want: frame.ErrTooLarge},
		{name: "empty frame", stream: []byte{0, 0, 0, 0}, want: frame.ErrMalformed},
		{name: "invalid protobuf", stream: []byte{0, 0, 0, 2, 0xff, 0xff}, want: frame.ErrMalformed},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			message, err := frame.NewReader(bytes.NewReader(tc.stream)).Read()
			if tc.want != nil {
				require.ErrorIs(t, err, tc.want)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "skiff-lm", message.GetReserve().GetService())
		})
	}
}

func TestWriterRefusesLargeFrames(t *testing.T) {
	var stream bytes.Buffer
	message := &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{Data: make([]byte, frame.MaxBytes)}}}
	require.ErrorIs(t, frame.NewWriter(&stream).Write(message), frame.ErrTooLarge)
	require.Zero(t, stream.Len())
}

func FuzzReader(f *testing.F) {
	f.Add(encode(f, reserve("skiff-lm")))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := frame.NewReader(bytes.NewReader(stream))
		for {
			message, err := reader.Read()
			if err != nil {
				return
			}
			require.NotNil(t, message.GetBody())
		}
	})
}

func BenchmarkWriter(b *testing.B) {
	message := &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{Request: "r-1", Data: make([]byte, 64)}}}
	writer := frame.NewWriter(io.Discard)
	b.ReportAllocs()
	for b.Loop() {
		if err := writer.Write(message); err != nil {
			b.Fatal(err)
		}
	}
}

// limitedRoom grants up to limit bytes.
type limitedRoom struct{ used, limit int64 }

func (r *limitedRoom) Grow(bytes int64) bool {
	if r.used+bytes > r.limit {
		return false
	}
	r.used += bytes
	return true
}

func (r *limitedRoom) Shrink(bytes int64) { r.used -= bytes }

// TestFramesTakeRoomAsTheyArrive guards against peers that announce large frames without sending
// them, and against frames that are read without memory for them.
func TestFramesTakeRoomAsTheyArrive(t *testing.T) {
	message := &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{Data: make([]byte, 1<<20)}}}
	encoded := encode(t, message)
	room := &limitedRoom{limit: 3 << 20}
	reader := frame.NewReader(bytes.NewReader(append(encoded, encoded[:1000]...)))
	reader.SetRoom(room)
	_, err := reader.Read()
	require.NoError(t, err)
	require.GreaterOrEqual(t, room.used, int64(2<<20))
	_, err = reader.Read()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Less(t, room.used, int64(100<<10), "only what has arrived of the second frame takes room")
	reader.Release()
	require.Zero(t, room.used)
	room.limit = 1 << 20
	reader = frame.NewReader(bytes.NewReader(encoded))
	reader.SetRoom(room)
	_, err = reader.Read()
	require.ErrorIs(t, err, frame.ErrNoRoom)
}
