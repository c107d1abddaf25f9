package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/conns"
)

// serveResponses starts an endpoint that sends the next of the raw responses for each
// request on any of its connections. An empty response closes the connection.
func serveResponses(t *testing.T, responses ...string) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	queue := make(chan string, len(responses))
	for _, response := range responses {
		queue <- response
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					response := <-queue
					if response == "" {
						return
					}
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func send(pool *conns.Pool, address netip.AddrPort, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request := conns.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body)}
	response, err := pool.Send(ctx, address, request, func(_ int, header http.Header) bool { return header.Get("Id") == "own" })
	if err != nil {
		return "", err
	}
	defer response.Close()
	content, err := io.ReadAll(response)
	return string(content), err
}

func TestSend(t *testing.T) {
	testCases := []struct {
		name      string
		responses []string
		want      []string
		opened    int64
	}{
		{name: "the connection is reused", responses: []string{ok("own", "a"), ok("own", "b")}, want: []string{"a", "b"}, opened: 1},
		{name: "a connection with unread bytes is not reused", responses: []string{ok("own", "a") + ok("late", "x"), ok("own", "b")}, want: []string{"a", "b"}, opened: 2},
		{name: "a response to another request is skipped", responses: []string{ok("late", "x") + ok("own", "a")}, want: []string{"a"}, opened: 1},
		{name: "an informational response is skipped", responses: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + ok("own", "a")}, want: []string{"a"}, opened: 1},
		{name: "a connection is not reused after Connection: close", responses: []string{strings.Replace(ok("own", "a"), "Id:", "Connection: close\r\nId:", 1), ok("own", "b")}, want: []string{"a", "b"}, opened: 2},
		{name: "a large body", responses: []string{ok("own", "a")}, want: []string{"a"}, opened: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var pool conns.Pool
			address := serveResponses(t, tc.responses...)
			for _, want := range tc.want {
				got, err := send(&pool, address, strings.Repeat("x", 40<<10))
				require.NoError(t, err)
				require.Equal(t, want, got)
				if tc.opened == 1 {
					require.Eventually(t, func() bool { return pool.Idle() == 1 }, 2*time.Second, time.Millisecond)
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
			require.Equal(t, tc.opened, pool.Opened())
		})
	}
}

// TestConnectionIsReusedOnceBodyIsWritten checks connections to endpoints that
// respond before they read the body. The connection returns to the pool only after
// the body has been written, and is closed if the endpoint doesn't read it in time.
func TestConnectionIsReusedOnceBodyIsWritten(t *testing.T) {
	const bodyBytes = 8 << 20
	for name, endpointReads := range map[string]bool{"body is read later": true, "body is not read": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			readBody := make(chan struct{})
			served := make(chan error, 1)
			go func() { served <- respondEarly(listener, readBody, bodyBytes) }()
			var pool conns.Pool
			address := netip.MustParseAddrPort(listener.Addr().String())
			got, err := send(&pool, address, strings.Repeat("x", bodyBytes))
			require.NoError(t, err)
			require.Equal(t, "a", got)
			require.Zero(t, pool.Idle(), "the body has not been written yet")
			if !endpointReads {
				require.Never(t, func() bool { return pool.Idle() > 0 }, 1500*time.Millisecond, 50*time.Millisecond)
				close(readBody)
				require.Error(t, <-served, "the connection was closed before the whole body was written")
				return
			}
			close(readBody)
			require.Eventually(t, func() bool { return pool.Idle() == 1 }, 2*time.Second, time.Millisecond)
			got, err = send(&pool, address, "y")
			require.NoError(t, err)
			require.Equal(t, "b", got)
			require.NoError(t, <-served)
			require.Equal(t, int64(1), pool.Opened())
		})
	}
}

// respondEarly responds to a request before it reads the body, which it reads once
// readBody is closed, and then serves a second request.
func respondEarly(listener net.Listener, readBody <-chan struct{}, bodyBytes int) error {
	defer listener.Close()
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(conn, ok("own", "a")); err != nil {
		return err
	}
	<-readBody
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	if len(body) != bodyBytes {
		return io.ErrUnexpectedEOF
	}
	if request, err = http.ReadRequest(reader); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	_, err = io.WriteString(conn, ok("own", "b"))
	return err
}

func TestSendReportsWhetherRequestWasSent(t *testing.T) {
	var pool conns.Pool
	_, err := send(&pool, netip.MustParseAddrPort("127.0.0.1:1"), "")
	require.ErrorIs(t, err, conns.ErrNotSent)
	for name, response := range map[string]string{
		"connection closed": "", "not an HTTP response": "garbage\r\n\r\n", "truncated head": "HTTP/1.1 200 OK\r\nId: o", "responses to other requests": ok("a", "x") + ok("b", "x") + ok("c", "x"),
	} {
		_, err := send(&pool, serveResponses(t, response, ""), "")
		require.Error(t, err, name)
		require.NotErrorIs(t, err, conns.ErrNotSent, name)
	}
	_, err = send(&pool, serveResponses(t, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\ncut", ""), "")
	require.Error(t, err, "truncated body")
}

func TestEventReader(t *testing.T) {
	stream := "version: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 4\ndata: c"
	for name, reader := range map[string]io.Reader{"in large reads": strings.NewReader(stream), "byte by byte": iotest.OneByteReader(strings.NewReader(stream))} {
		t.Run(name, func(t *testing.T) {
			events := conns.NewEventReader(reader)
			var ids, texts []string
			for {
				event, err := events.Next()
				if err != nil {
					require.True(t, errors.Is(err, conns.ErrEventTruncated))
					break
				}
				ids, texts = append(ids, event.ID), append(texts, string(event.Raw))
			}
			require.Equal(t, []string{"1", "2", ""}, ids)
			require.Equal(t, stream[:strings.LastIndex(stream, "id: 4")], strings.Join(texts, ""))
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\n\n", 3)
	f.Fuzz(func(t *testing.T, stream string, _ int) {
		events := conns.NewEventReader(iotest.HalfReader(strings.NewReader(stream)))
		joined := ""
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			joined += string(event.Raw)
		}
		require.True(t, strings.HasPrefix(stream, joined))
	})
}

// TestNothingIsSentForCallersWhoLeft guards against endpoints that run requests of callers
// who left before a connection was chosen.
func TestNothingIsSentForCallersWhoLeft(t *testing.T) {
	var pool conns.Pool
	address := serveResponses(t, ok("own", "a"), ok("own", "b"))
	_, err := send(&pool, address, "")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return pool.Idle() == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.Send(ctx, address, conns.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}},
		func(int, http.Header) bool { return true })
	require.ErrorIs(t, err, conns.ErrNotSent)
}

// TestProbe tells an endpoint whose process has ended from one that runs.
func TestProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	var pool conns.Pool
	require.Equal(t, conns.Alive, pool.Probe(context.Background(), address))
	require.Equal(t, 1, pool.Idle(), "the connection is kept")
	require.NoError(t, listener.Close())
	require.Equal(t, conns.Down, pool.Probe(context.Background(), address))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, conns.Unknown, pool.Probe(ctx, address))
}

// TestCheckUsesIdleConnections guards against a connection for each check of an endpoint, and
// against an idle one that hides that the endpoint's process has ended.
func TestCheckUsesIdleConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	var pool conns.Pool
	for range 5 {
		require.Equal(t, conns.Alive, pool.Check(context.Background(), address))
	}
	require.Equal(t, int64(1), pool.Opened())
	require.NoError(t, listener.Close())
	require.NoError(t, (<-accepted).Close())
	require.Eventually(t, func() bool { return pool.Check(context.Background(), address) == conns.Down }, time.Second, time.Millisecond)
}
