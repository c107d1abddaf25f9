package conns_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"

	"github.com/lentilstand/lentilstand/internal/conns"
	"github.com/lentilstand/lentilstand/internal/strict"
)

// requireRefused checks that a response with the head isn't returned, and that its connection
// isn't used again.
func requireRefused(t *testing.T, response string) {
	address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		_, _ = io.WriteString(conn, response)
	})
	var pool conns.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := upload(ctx, &pool, address, 10)
	require.ErrorIs(t, err, strict.ErrMalformedHead)
	require.NotErrorIs(t, err, conns.ErrNotSent, "the request may have run")
	require.Zero(t, pool.Idle())
}

// TestStatusThatIsNoneIsRefused has a whole response follow, which must not be taken for the
// response to the request.
func TestStatusThatIsNoneIsRefused(t *testing.T) {
	for _, status := range []string{"000 X", "000", "001 X", "+20 OK", "099 X", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			requireRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n"+ok("own", "a"))
		})
	}
}

// TestFieldNameWithSpaceIsRefused also has such a name in a response that is skipped.
func TestFieldNameWithSpaceIsRefused(t *testing.T) {
	for _, line := range []string{"Foo : a", "Fo o: a", "Content-Length : 5", "Transfer-Encoding : chunked", "Content-Length : 0"} {
		t.Run(line, func(t *testing.T) {
			requireRefused(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
			requireRefused(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+line+"\r\n\r\nwhole")
			requireRefused(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+ok("own", "a"))
		})
	}
}

// TestFieldNameWithOtherBytesIsRefused covers control bytes and all others that a field name
// can't have.
func TestFieldNameWithOtherBytesIsRefused(t *testing.T) {
	address := serveRaw(t, func(conn *net.TCPConn, request *http.Request, _ io.Reader) {
		name, err := url.QueryUnescape(request.URL.RawQuery)
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFo"+name+"o: a\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var pool conns.Pool
	for c := range 256 {
		// A colon ends the name, and a line feed the line: "Fo" is no field then.
		if c == ':' || c < utf8.RuneSelf && httpguts.IsTokenRune(rune(c)) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		request := conns.Request{Method: http.MethodGet, Target: fmt.Sprintf("/?%%%02x", c), Host: "h"}
		_, err := pool.Send(ctx, address, request, func(int, http.Header) bool { return true })
		cancel()
		require.Error(t, err, "byte %#x", c)
		require.NotErrorIs(t, err, conns.ErrNotSent, "byte %#x", c)
	}
}
