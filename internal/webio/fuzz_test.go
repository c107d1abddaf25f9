package webio

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/memory"
)

// socketPair returns two connected sockets. Thousands of TCP connections in a second would exhaust
// the ports of the machine.
func socketPair(t testing.TB) (first, second *net.UnixConn) {
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	conns := make([]*net.UnixConn, len(descriptors))
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "socket")
		conn, err := net.FileConn(file)
		require.NoError(t, err)
		require.NoError(t, file.Close())
		conns[i] = conn.(*net.UnixConn)
	}
	return conns[0], conns[1]
}

// FuzzRequests guards against bytes that crash or hang the server, and against memory that the
// account doesn't get back.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nshortGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1\r\na\r\n0\r\nX: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
		"GET /a\r\n\r\nb HTTP/1.1\r\n   \r\n\r\n", "\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 5000) + "\r\n",
	} {
		f.Add([]byte(seed), uint16(len(seed)/2))
	}
	account := memory.New(96, 1000)
	server := NewServer(HandlerFunc(func(exchange *Exchange) {
		exchange.Reply(http.StatusOK, nil, exchange.Body())
	}), zap.NewNop(), WithAccount(account))
	f.Fuzz(func(t *testing.T, data []byte, cut uint16) {
		client, accepted := socketPair(t)
		served := make(chan struct{})
		server.wait.Add(1)
		go func() {
			defer close(served)
			c := &clientConn{socket: accepted}
			if server.open(c) {
				server.serveConn(c)
			}
		}()
		go func() {
			// The server may reject the first part and close the connection.
			at := min(int(cut), len(data))
			_, _ = client.Write(data[:at])
			_, _ = client.Write(data[at:])
			_ = client.CloseWrite()
		}()
		reply, _ := io.ReadAll(client)
		<-served
		_ = client.Close()
		if len(reply) > 0 {
			require.True(t, bytes.HasPrefix(reply, []byte("HTTP/1.1 ")), "%q", reply)
		}
		used, conns := account.Used()
		require.Zero(t, used)
		require.Zero(t, conns)
	})
}
