package webio_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/webio"
)

// accounted starts a server that echoes bodies and returns it with its account.
func accounted(t testing.TB, handled *atomic.Int64) (*webio.Server, *memory.Account) {
	account := memory.New(96, 1000)
	server := webio.NewServer(webio.HandlerFunc(func(exchange *webio.Exchange) {
		handled.Add(1)
		exchange.Reply(http.StatusOK, nil, exchange.Body())
	}), zap.NewNop(), webio.WithAccount(account))
	require.NoError(t, server.Listen("127.0.0.1:0"))
	t.Cleanup(func() { server.Shutdown(ended()) })
	return server, account
}

// exchangeBytes sends two parts and returns what the server sends until it closes the connection.
func exchangeBytes(t testing.TB, server *webio.Server, parts ...[]byte) string {
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for _, part := range parts {
		// The server may have rejected the first part and closed the connection.
		_, _ = conn.Write(part)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	reply, _ := io.ReadAll(conn)
	return string(reply)
}

// TestFramingOfBodies guards against bodies that are cut or joined with what follows them,
// wherever the bytes are split.
func TestFramingOfBodies(t *testing.T) {
	var handled atomic.Int64
	server, _ := accounted(t, &handled)
	const last = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
	for _, request := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nwhole" + last,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;x\r\nole\r\n0\r\n\r\n" + last,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nwhole\r\n0\r\nX: 1\r\n\r\n" + last,
	} {
		for cut := range len(request) {
			handled.Store(0)
			reply := exchangeBytes(t, server, []byte(request[:cut]), []byte(request[cut:]))
			require.Equal(t, int64(2), handled.Load(), "%q", request[:cut])
			require.Equal(t, 1, strings.Count(reply, "\r\n\r\nwhole"), "%q", request[:cut])
		}
	}
}

// TestLimitsOfHeads guards against limits that ordinary heads within the size limit meet, and
// against heads that are accepted beyond it.
func TestLimitsOfHeads(t *testing.T) {
	var handled atomic.Int64
	server, _ := accounted(t, &handled)
	const start = "GET / HTTP/1.1\r\nConnection: close\r\n"
	fill := func(line string, size int) string {
		lines := (size - len(start) - len("\r\n")) / len(line)
		return start + strings.Repeat(line, lines) + "\r\n"
	}
	testCases := []struct {
		name, request string
		status        int
	}{
		{"one long line", start + "X: " + strings.Repeat("x", webio.MaxHeaderBytes-len(start)-len("X: \r\n\r\n")) + "\r\n\r\n", http.StatusOK},
		{"a byte too many", start + "X: " + strings.Repeat("x", 1+webio.MaxHeaderBytes-len(start)-len("X: \r\n\r\n")) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"ordinary lines", fill("Accept: */*\r\n", webio.MaxHeaderBytes), http.StatusOK},
		{"lines of 6 bytes", start + manyLines(2200) + "\r\n", http.StatusOK},
		{"lines of 4 bytes", fill("a:\r\n", webio.MaxHeaderBytes), http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, testCase := range testCases {
		t.Run(testCase.name, func(t *testing.T) {
			reply := exchangeBytes(t, server, []byte(testCase.request))
			require.Contains(t, reply, fmt.Sprintf("HTTP/1.1 %d ", testCase.status))
		})
	}
}

func manyLines(count int) string {
	var lines strings.Builder
	for n := range count {
		fmt.Fprintf(&lines, "%04x:\r\n", n)
	}
	return lines.String()
}

// TestLargestRequestIsServed guards against an account of a small host that has no room for a
// single request of legal size.
func TestLargestRequestIsServed(t *testing.T) {
	server := webio.NewServer(webio.HandlerFunc(func(exchange *webio.Exchange) {
		exchange.Reply(http.StatusOK, nil, fmt.Append(nil, len(exchange.Body())))
	}), zap.NewNop(), webio.WithAccount(memory.New(48, 128)))
	require.NoError(t, server.Listen("127.0.0.1:0"))
	t.Cleanup(func() { server.Shutdown(ended()) })
	body := strings.Repeat("b", webio.MaxBodyBytes)
	for _, rest := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		start := "POST / HTTP/1.1\r\nConnection: close\r\nX: "
		start += strings.Repeat("x", webio.MaxHeaderBytes-len(start)-100) + "\r\n"
		reply := exchangeBytes(t, server, []byte(start+rest))
		require.True(t, strings.HasSuffix(reply, "\r\n\r\n"+fmt.Sprint(len(body))), reply)
	}
}

// TestEvictedClientIsToldToRetry guards against clients with a complete head that are cut off
// without being told that their request has not run.
func TestEvictedClientIsToldToRetry(t *testing.T) {
	var handled atomic.Int64
	account := memory.New(64, 128)
	server := webio.NewServer(webio.HandlerFunc(func(*webio.Exchange) { handled.Add(1) }), zap.NewNop(), webio.WithAccount(account))
	require.NoError(t, server.Listen("127.0.0.1:0"))
	t.Cleanup(func() { server.Shutdown(ended()) })
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return conn
	}
	stalled, headless := dial("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nbod"), dial("POST / HTTP/1.1\r\nX:")
	time.Sleep(memory.StallTimeout + 100*time.Millisecond)
	for range account.Conns() {
		dial("G")
	}
	reply := func(conn net.Conn) string {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		text, _ := io.ReadAll(conn)
		return string(text)
	}
	told := reply(stalled)
	require.Contains(t, told, "HTTP/1.1 503 ")
	require.Contains(t, told, "Retry-After: 1.000\r\n")
	require.Contains(t, told, "Lentilstand-Outcome: not_run\r\n")
	require.Empty(t, reply(headless))
	require.Zero(t, handled.Load())
}
