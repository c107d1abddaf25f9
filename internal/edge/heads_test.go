package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sealedFields are those by which an entry knows the answer to a request.
func sealedFields(request *http.Request) string {
	return fmt.Sprintf("Lentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal\r\n", request.Header.Get("Lentilstand-Request-Id"))
}

// requireBadGateway has an endpoint send what respond returns, and checks that no caller gets
// it for an answer. With another endpoint, the requests that may be repeated are served.
func requireBadGateway(t *testing.T, respond func(fields string) string) {
	t.Helper()
	s := newSite(t)
	s.configure([]string{"key-1"}, defaultRoutes...)
	s.registerRaw("i-raw", func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		_, _ = io.WriteString(conn, respond(sealedFields(request)))
	})
	s.startEntry("entry-1")
	s.waitReady(0)
	for _, path := range []string{"/book/1", "/check/1", "/once/1", "/draft/1"} {
		got := s.call(0, http.MethodPost, path, "upload", streamHeader)
		require.NoError(t, got.err, path)
		require.Equal(t, http.StatusBadGateway, got.status, path)
		require.Contains(t, got.body, "may have run", path)
	}
	s.startReplica("i-1", "gmunden")
	require.Eventually(t, func() bool { return s.call(0, http.MethodPost, "/check/1", "", nil).status == http.StatusOK }, 5*time.Second, 10*time.Millisecond)
	for n := range 8 {
		require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/check/1", "", requestID(fmt.Sprint("request-", n))).status)
	}
}

// TestStatusThatIsNoneReachesNoCaller has an endpoint send a status that can't end a response.
// A claim that the request was not run is not trusted either.
func TestStatusThatIsNoneReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000 X", "+20 OK", "099 X", "101 Switching Protocols"} {
		testCases := map[string]func(fields string) string{
			"alone": func(fields string) string {
				return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n"
			},
			"before a whole response": func(fields string) string {
				return "HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nwhole"
			},
			"not run": func(fields string) string {
				return "HTTP/1.1 " + status + "\r\n" + fields + "Lentilstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			},
		}
		for name, respond := range testCases {
			t.Run(status+", "+name, func(t *testing.T) { requireBadGateway(t, respond) })
		}
	}
}

// TestMalformedFieldNameReachesNoCaller has an endpoint send a field whose name has a space or
// a control byte, which may be one that would have delimited the body.
func TestMalformedFieldNameReachesNoCaller(t *testing.T) {
	const chunks = "5\r\nwhole\r\n0\r\n\r\n"
	const event = "id: 1\ndata: token 1\n\n"
	testCases := []struct{ name, lines, body string }{
		{name: "space before the colon", lines: "Foo : a\r\nContent-Length: 5", body: "whole"},
		{name: "space inside", lines: "Fo o: a\r\nContent-Length: 5", body: "whole"},
		{name: "length", lines: "Content-Length : 5", body: "whole and what follows"},
		{name: "chunks", lines: "Transfer-Encoding : chunked", body: chunks},
		{name: "stream", lines: "Foo : a\r\nContent-Type: text/event-stream", body: event},
		{name: "refusal", lines: "Lentilstand-Not-Executed: 1\r\nFoo : a\r\nContent-Length: 0"},
		{name: "null byte", lines: "Fo\x00o: a\r\nContent-Length: 5", body: "whole"},
		{name: "control byte", lines: "Fo\x01o: a\r\nContent-Length: 5", body: "whole"},
		{name: "delete", lines: "Foo\x7f: a\r\nContent-Length: 5", body: "whole"},
		{name: "tab", lines: "Foo\t: a\r\nContent-Length: 5", body: "whole"},
		{name: "carriage return", lines: "Fo\ro: a\r\nContent-Length: 5", body: "whole"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			requireBadGateway(t, func(fields string) string { return "HTTP/1.1 200 OK\r\n" + fields + tc.lines + "\r\n\r\n" + tc.body })
		})
	}
}
