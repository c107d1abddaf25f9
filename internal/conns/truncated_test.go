package conns_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/conns"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// serveRaw starts an endpoint that answers each request by respond.
func serveRaw(t *testing.T, respond func(conn *net.TCPConn, request *http.Request, upload io.Reader)) netip.AddrPort {
	server := httptest.NewServer(stand.Raw{Respond: respond})
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// upload sends a POST with a body of a number of bytes and accepts any response.
func upload(ctx context.Context, pool *conns.Pool, address netip.AddrPort, bodyBytes int) (*conns.Response, error) {
	request := conns.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes)}
	return pool.Send(ctx, address, request, func(int, http.Header) bool { return true })
}

const responseWithoutLength = "HTTP/1.1 200 OK\r\nId: own\r\n\r\nid: 1\ndata: a part\n\n"

// TestPartIsNoWholeResponse has an endpoint send a part of a response without length and
// break the connection while the upload is written. The end of the connection must not
// look like the end of the response.
func TestPartIsNoWholeResponse(t *testing.T) {
	readers := map[string]func(*conns.Response) error{
		"body": func(r *conns.Response) error {
			_, err := io.ReadAll(r)
			return err
		},
		"events": func(r *conns.Response) error {
			events := conns.NewEventReader(r)
			for {
				_, err := events.Next()
				if errors.Is(err, io.EOF) {
					return nil
				}
				if err != nil {
					return err
				}
			}
		},
	}
	testCases := []struct {
		name      string
		calls     int
		bodyBytes int
		pause     time.Duration
		// resets is set if the connection is reset, otherwise it is closed with unread bytes.
		resets bool
	}{
		{name: "reset at once", calls: 16, bodyBytes: 1 << 20, resets: true},
		{name: "reset of a long upload", calls: 16, bodyBytes: 16 << 20, pause: 20 * time.Millisecond, resets: true},
		{name: "closed at once", calls: 16, bodyBytes: 1 << 20},
		{name: "closed during a long upload", calls: 16, bodyBytes: 16 << 20, pause: 20 * time.Millisecond},
		{name: "closed before an upload that fits the send buffer", calls: 100, bodyBytes: 64 << 10},
	}
	for _, tc := range testCases {
		for kind, read := range readers {
			t.Run(tc.name+", "+kind, func(t *testing.T) {
				address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
					_, _ = io.WriteString(conn, responseWithoutLength)
					time.Sleep(tc.pause)
					if tc.resets {
						stand.Reset(conn)
					}
				})
				var pool conns.Pool
				whole := 0
				for range tc.calls {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					response, err := upload(ctx, &pool, address, tc.bodyBytes)
					if err != nil {
						require.NotErrorIs(t, err, conns.ErrNotSent, "the request may have run")
						cancel()
						continue
					}
					if read(response) == nil {
						whole++
					}
					response.Close()
					require.NoError(t, ctx.Err(), "the response ended only by the timeout")
					cancel()
				}
				require.Zero(t, whole, "parts taken for whole responses, of %d", tc.calls)
				require.Zero(t, pool.Idle())
			})
		}
	}
}

// TestSoundResponsesAreWhole has an endpoint respond before it reads the upload, in ways that
// tell that the response is whole.
func TestSoundResponsesAreWhole(t *testing.T) {
	const (
		withoutLength = "HTTP/1.1 200 OK\r\n\r\nwhole"
		withLength    = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
		chunked       = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	)
	testCases := []struct {
		name, response string
		bodyBytes      int
		// halfCloses ends the response's direction of the connection before the upload is read.
		halfCloses bool
		pause      time.Duration
	}{
		{name: "end of the connection", response: withoutLength, bodyBytes: 16 << 20, halfCloses: true},
		{name: "end of the connection, upload read later", response: withoutLength, bodyBytes: 16 << 20, halfCloses: true, pause: 300 * time.Millisecond},
		{name: "end of the connection after the upload", response: withoutLength, bodyBytes: 16 << 20},
		{name: "end of the connection after a short upload", response: withoutLength, bodyBytes: 1 << 10},
		{name: "end of the connection without upload", response: withoutLength},
		{name: "length", response: withLength, bodyBytes: 16 << 20},
		{name: "length, then the end", response: withLength, bodyBytes: 16 << 20, halfCloses: true},
		{name: "chunks", response: chunked, bodyBytes: 16 << 20},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			uploaded := make(chan int64, 1)
			address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, upload io.Reader) {
				_, _ = io.WriteString(conn, tc.response)
				if tc.halfCloses {
					_ = conn.CloseWrite()
				}
				time.Sleep(tc.pause)
				n, _ := io.Copy(io.Discard, upload)
				uploaded <- n
			})
			var pool conns.Pool
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := upload(ctx, &pool, address, tc.bodyBytes)
			require.NoError(t, err)
			body, err := io.ReadAll(response)
			require.NoError(t, err)
			response.Close()
			require.Equal(t, "whole", string(body))
			require.Equal(t, int64(tc.bodyBytes), <-uploaded, "the upload was cut")
		})
	}
}

// TestResetAfterAWholeExchangeChangesNothing has an endpoint read the upload, end its response
// and then reset the connection, before the response is read.
func TestResetAfterAWholeExchangeChangesNothing(t *testing.T) {
	reset := make(chan struct{})
	address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		_, _ = io.WriteString(conn, responseWithoutLength)
		_ = conn.CloseWrite()
		stand.Reset(conn)
		_ = conn.Close()
		close(reset)
	})
	var pool conns.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := upload(ctx, &pool, address, 1<<20)
	require.NoError(t, err)
	defer response.Close()
	<-reset
	time.Sleep(20 * time.Millisecond)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a part\n\n", string(body))
}

// TestResetAfterAWholeResponseChangesNothing has an endpoint send a response that tells its own
// end, and reset the connection while the upload is written and the response isn't read yet.
func TestResetAfterAWholeResponseChangesNothing(t *testing.T) {
	whole := strings.Repeat("w", 32<<10)
	for name, response := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole),
	} {
		t.Run(name, func(t *testing.T) {
			reset := make(chan struct{})
			address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
				_, _ = io.WriteString(conn, response)
				time.Sleep(20 * time.Millisecond)
				stand.Reset(conn)
				_ = conn.Close()
				close(reset)
			})
			var pool conns.Pool
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := upload(ctx, &pool, address, 16<<20)
			require.NoError(t, err)
			<-reset
			time.Sleep(20 * time.Millisecond)
			body, err := io.ReadAll(response)
			require.NoError(t, err)
			require.Equal(t, whole, string(body))
			response.Close()
			require.Zero(t, pool.Idle())
		})
	}
}

// TestDiscardDoesNotWaitForTheUpload has an endpoint refuse a request and read nothing more.
func TestDiscardDoesNotWaitForTheUpload(t *testing.T) {
	left := make(chan struct{})
	address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n\r\nno room")
		_ = conn.CloseWrite()
		<-left
	})
	var pool conns.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := upload(ctx, &pool, address, 16<<20)
	require.NoError(t, err)
	start := time.Now()
	response.Discard()
	require.Less(t, time.Since(start), time.Second)
	close(left)
	require.Zero(t, pool.Idle())
}
