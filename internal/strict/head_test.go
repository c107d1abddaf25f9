package strict_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/strict"
)

// requireRefused checks that a response isn't returned, and that its connection isn't used
// for the next request.
func requireRefused(t *testing.T, response string) {
	t.Helper()
	url := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		_, _ = io.WriteString(conn, response)
		// The connection stays open until the client closes it.
		_, _ = io.Copy(io.Discard, conn)
	})
	client := newClient(t)
	for range 2 {
		_, err := post(client, url, 10)
		require.ErrorIs(t, err, strict.ErrMalformedHead)
	}
}

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

func TestStatusThatIsNoneIsRefused(t *testing.T) {
	for _, status := range []string{"000 X", "000", "001 X", "+20 OK", "099 X", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			requireRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n"+wholeResponse)
			requireRefused(t, "HTTP/1.1 "+status+"\r\n\r\n"+wholeResponse)
		})
	}
}

// TestOtherStatusesArePassedOn includes statuses that no standard names.
func TestOtherStatusesArePassedOn(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "299 X", "304 Not Modified", "421 X", "500 X", "599 X", "999 X"} {
		t.Run(status, func(t *testing.T) {
			url := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, upload io.Reader) {
				_, _ = io.Copy(io.Discard, upload)
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\n\r\n")
			})
			response, err := newClient(t).Post(url, "text/plain", strings.NewReader("x"))
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, status, response.Status)
		})
	}
}

func TestFieldNameWithSpaceIsRefused(t *testing.T) {
	for _, line := range []string{"Foo : a", "Fo o: a", "Content-Length : 5", "Transfer-Encoding : chunked"} {
		t.Run(line, func(t *testing.T) {
			requireRefused(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
			requireRefused(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+line+"\r\n\r\n")
			requireRefused(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+wholeResponse)
		})
	}
}
