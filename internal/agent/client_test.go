package agent

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// TestPartIsNoWholeResponse has an endpoint send a part of a response without length and
// break the connection while the upload is written. The upload is longer than those that an
// entry accepts, so that it fills the buffers of the connection on any host.
func TestPartIsNoWholeResponse(t *testing.T) {
	const calls, bodyBytes = 12, 16 << 20
	for _, how := range []string{"reset", "closed"} {
		t.Run(how, func(t *testing.T) {
			server := httptest.NewServer(stand.Raw{Respond: func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				time.Sleep(50 * time.Millisecond)
				if how == "reset" {
					stand.Reset(conn)
				}
			}})
			t.Cleanup(server.Close)
			client := newEndpointClient()
			t.Cleanup(client.CloseIdleConnections)
			for range calls {
				response, err := client.Post(server.URL, "text/plain", bytes.NewReader(make([]byte, bodyBytes)))
				if err != nil {
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				require.Error(t, err, "%q was taken for a whole response", body)
			}
		})
	}
}
