package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// fetchRaw reads a host list that is sent as it is.
func fetchRaw(t *testing.T, response string) (map[string]bool, error) {
	server := httptest.NewServer(stand.Raw{Respond: func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, response)
	}})
	t.Cleanup(server.Close)
	watcher := newHostWatcher(server.Listener.Addr().String())
	t.Cleanup(watcher.client.CloseIdleConnections)
	return watcher.fetch(context.Background())
}

// TestHostListWithMalformedHeadIsNotTaken guards against hosts that count as leaving, or no
// longer do, because of a response that isn't the platform's.
func TestHostListWithMalformedHeadIsNotTaken(t *testing.T) {
	const list = `{"hosts": [{"name": "host-1", "state": "leaving"}]}`
	leaving, err := fetchRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+list)
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"host-1": true}, leaving)
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nFoo : a\r\n"} {
		_, err := fetchRaw(t, head+"\r\n"+list)
		require.Error(t, err, head)
	}
}
