package conns

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// countedStream is a response whose event reader may take a limited amount of memory.
type countedStream struct {
	io.Reader
	taken int64
}

func (s *countedStream) Grow(bytes int64) bool {
	s.taken += bytes
	return s.taken <= maxEventBytes
}

// FuzzResponses guards against bytes of endpoints that crash the reader of heads or of events, or
// make it keep more than it has memory for.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n2\r\n\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\nid: 2\r\n\r\ndata",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n",
		"HTTP/1.1 200 OK\r\n\r\ndata: " + strings.Repeat("x", 100_000),
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "\x00", "",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := readHead(bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes), http.MethodGet)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, head.status, http.StatusOK)
		for name := range head.header {
			require.NotContains(t, name, " ")
		}
		stream := &countedStream{Reader: head.body}
		events := NewEventReader(stream)
		size := 0
		for {
			next, err := events.Next()
			if err != nil {
				break
			}
			size += len(next.Raw)
		}
		require.LessOrEqual(t, size, len(data))
		require.LessOrEqual(t, int64(cap(events.buffer)), smallEventBytes+stream.taken)
	})
}
