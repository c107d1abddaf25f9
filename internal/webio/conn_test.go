package webio

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestVanishedCallersAreFound checks that TCP keep-alive is configured to detect
// within 30 s a client that disappears without closing its connection.
func TestVanishedCallersAreFound(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	c := newClientConn(accepted.(*net.TCPConn))
	defer func() { _ = c.Close() }()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) int {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), level, name)
		}))
		require.NoError(t, err)
		return value
	}
	require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	idle := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	interval := option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	count := option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	require.LessOrEqual(t, idle+interval*count, 30)
}
