package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// startRawPlain starts a bench whose plain endpoint writes a response as it is. It reports its
// load as a sound endpoint does.
func startRawPlain(t *testing.T, response string) *bench.Bench {
	spec := oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4})
	spec.Services[1].Replicas[0].Wrap = func(standIn http.Handler) http.Handler {
		raw := stand.Raw{Respond: func(conn *net.TCPConn, _ *http.Request, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload)
			_, _ = io.WriteString(conn, response)
		}}
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/depozit") {
				raw.ServeHTTP(w, r)
			} else {
				standIn.ServeHTTP(w, r)
			}
		})
	}
	return startBench(t, spec)
}

// requireUnknownOutcome checks that callers don't get a response that an endpoint has sent.
func requireUnknownOutcome(t *testing.T, response string) {
	t.Helper()
	b := startRawPlain(t, response)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		answer, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", method, "/depozit/orders", "motor", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, answer.Status, "%s %v", answer.Body, answer.Header)
		require.Equal(t, "unknown", answer.Header.Get("Lentilstand-Outcome"))
	}
}

// TestStatusThatIsNoneReachesNoCaller has an endpoint send a status that can't end a response.
func TestStatusThatIsNoneReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000 X", "+20 OK", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) { requireUnknownOutcome(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nbody") })
	}
}

// TestMalformedFieldNameReachesNoCaller has an endpoint send a field whose name has a space or
// a control byte, which may be one that would have delimited the body.
func TestMalformedFieldNameReachesNoCaller(t *testing.T) {
	testCases := map[string]string{
		"space":        "Foo : a\r\nContent-Length: 5\r\n\r\nwhole",
		"length":       "Content-Length : 5\r\n\r\nwhole and what follows",
		"chunks":       "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"stream":       "Foo : a\r\nContent-Type: text/event-stream\r\n\r\ndata: token 1\n\n",
		"control byte": "Fo\x01o: a\r\nContent-Length: 5\r\n\r\nwhole",
	}
	for name, rest := range testCases {
		t.Run(name, func(t *testing.T) { requireUnknownOutcome(t, "HTTP/1.1 200 OK\r\n"+rest) })
	}
}
