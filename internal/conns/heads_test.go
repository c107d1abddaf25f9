package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
