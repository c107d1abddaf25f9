package edge_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// registerRaw registers an endpoint that answers each request by respond.
func (s *site) registerRaw(id string, respond func(conn *net.TCPConn, request *http.Request, upload io.Reader)) {
	server := httptest.NewServer(stand.Raw{Respond: respond})
	s.t.Cleanup(server.Close)
	s.write("servers/"+id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"gmunden","slots":8,"state":"ready","coldLeftMs":0,"version":"v1","sequence":0,"born":1}`,
		server.Listener.Addr()))
}

// writePart writes a response without length, of which body is all that is sent.
func writePart(conn net.Conn, request *http.Request, status, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nLentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal\r\n\r\n%s",
		status, request.Header.Get("Lentilstand-Request-Id"), body)
}

// longUpload takes longer to write than an endpoint to respond.
var longUpload = strings.Repeat("u", 4<<20)

// breaks are the ways in which an endpoint breaks a connection after a part of a response.
// While the entry's write is blocked, it and the read beside it learn of a reset at the same
// time; at once, which of them does depends on the scheduling of both processes' goroutines.
var breaks = map[string]func(*net.TCPConn){
	"reset":  stand.Reset,
	"closed": func(*net.TCPConn) {},
	"reset while the write is blocked": func(conn *net.TCPConn) {
		time.Sleep(blockedAfter)
		stand.Reset(conn)
	},
	"closed while the write is blocked": func(*net.TCPConn) { time.Sleep(blockedAfter) },
}

// blockedAfter is the time after which longUpload has filled the buffers of a connection.
const blockedAfter = 20 * time.Millisecond

// TestPartOfAnAnswerIsNotPassedOnAsWhole has an endpoint respond to a long upload at once,
// without length, and break the connection while the upload is written.
func TestPartOfAnAnswerIsNotPassedOnAsWhole(t *testing.T) {
	const calls = 6
	testCases := []struct {
		name, path, status, part string
	}{
		{name: "not repeatable", path: "/book/1", status: "200 OK", part: "a part"},
		{name: "idempotent", path: "/check/1", status: "200 OK", part: "a part"},
		{name: "an error", path: "/book/1", status: "404 Not Found", part: "a part"},
		{name: "too long to buffer", path: "/book/1", status: "200 OK", part: strings.Repeat("p", 300<<10)},
		{name: "stream", path: "/once/1", status: "200 OK", part: "id: 1\ndata: token 1\n\n"},
		{name: "stream that can be resumed", path: "/draft/1", status: "200 OK", part: "id: 1\ndata: token 1\n\n"},
	}
	for _, tc := range testCases {
		for how, breakConn := range breaks {
			t.Run(tc.name+", "+how, func(t *testing.T) {
				s := newSite(t)
				s.configure([]string{"key-1"}, defaultRoutes...)
				s.registerRaw("i-raw", func(conn *net.TCPConn, request *http.Request, _ io.Reader) {
					writePart(conn, request, tc.status, tc.part)
					breakConn(conn)
				})
				s.startEntry("entry-1")
				s.waitReady(0)
				for n := range calls {
					got := s.call(0, http.MethodPost, tc.path, longUpload, requestID(fmt.Sprint("request-", n)))
					if got.err == nil {
						require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, "the caller can't tell that %d bytes are a part", len(got.body))
						require.NotContains(t, got.body, "a part")
					}
				}
			})
		}
	}
}

// TestPartIsCompletedElsewhere has a second endpoint that responds properly: it answers an
// idempotent request as a whole, and continues a stream after the event that was received.
func TestPartIsCompletedElsewhere(t *testing.T) {
	const calls = 8
	testCases := []struct {
		name, path, part string
		header           map[string]string
	}{
		{name: "idempotent", path: "/check/1", part: "a part"},
		{name: "stream", path: "/draft/1", part: "id: 1\ndata: token 1\n\n", header: streamHeader},
	}
	for _, tc := range testCases {
		for how, breakConn := range breaks {
			t.Run(tc.name+", "+how, func(t *testing.T) {
				s := newSite(t)
				s.configure([]string{"key-1"}, defaultRoutes...)
				s.registerRaw("i-raw", func(conn *net.TCPConn, request *http.Request, _ io.Reader) {
					writePart(conn, request, "200 OK", tc.part)
					breakConn(conn)
				})
				sound := s.startReplica("i-1", "gmunden")
				s.startEntry("entry-1")
				s.waitReady(0)
				for n := range calls {
					header := requestID(fmt.Sprint("request-", n))
					maps.Copy(header, tc.header)
					got := s.call(0, http.MethodPost, tc.path, longUpload, header)
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status, got.body)
					if tc.header != nil {
						requireEvents(t, got.body, 8)
					} else {
						require.NotEqual(t, tc.part, got.body)
					}
				}
				require.Len(t, sound.Requests(), calls)
			})
		}
	}
}

// TestSoundAnswerBeforeTheUploadIsPassedOn has an endpoint respond without length, end its
// direction of the connection and only then read the upload.
func TestSoundAnswerBeforeTheUploadIsPassedOn(t *testing.T) {
	for path, body := range map[string]string{"/book/1": "whole", "/once/1": "id: 1\ndata: token 1\n\n"} {
		t.Run(path, func(t *testing.T) {
			uploaded := make(chan int64, 1)
			s := newSite(t)
			s.configure([]string{"key-1"}, defaultRoutes...)
			s.registerRaw("i-raw", func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
				writePart(conn, request, "200 OK", body)
				_ = conn.CloseWrite()
				time.Sleep(50 * time.Millisecond)
				n, _ := io.Copy(io.Discard, upload)
				uploaded <- n
			})
			s.startEntry("entry-1")
			s.waitReady(0)
			got := s.call(0, http.MethodPost, path, longUpload, nil)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, body, got.body)
			require.Equal(t, int64(len(longUpload)), <-uploaded)
		})
	}
}

// TestResetAfterAWholeAnswerChangesNothing has an endpoint send an answer with its length and
// reset the connection while the upload is written.
func TestResetAfterAWholeAnswerChangesNothing(t *testing.T) {
	s := newSite(t)
	s.configure([]string{"key-1"}, defaultRoutes...)
	s.registerRaw("i-raw", func(conn *net.TCPConn, request *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+sealedFields(request)+"\r\nwhole")
		time.Sleep(blockedAfter)
		stand.Reset(conn)
	})
	s.startEntry("entry-1")
	s.waitReady(0)
	for n := range 4 {
		got := s.call(0, http.MethodPost, "/book/1", longUpload, requestID(fmt.Sprint("request-", n)))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "whole", got.body)
	}
}
