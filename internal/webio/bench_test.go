package webio_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/webio"
)

// BenchmarkRequests measures requests on one connection, with bodies of several sizes.
func BenchmarkRequests(b *testing.B) {
	server := webio.NewServer(webio.HandlerFunc(func(exchange *webio.Exchange) {
		exchange.Reply(http.StatusOK, nil, nil)
	}), zap.NewNop())
	require.NoError(b, server.Listen("127.0.0.1:0"))
	b.Cleanup(func() { server.Shutdown(ended()) })
	for _, size := range []int{0, 4 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%d KB", size>>10), func(b *testing.B) {
			conn, err := net.Dial("tcp", server.Address())
			require.NoError(b, err)
			defer conn.Close()
			request := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n%sContent-Length: %d\r\n\r\n%s",
				strings.Repeat("X-Header: value of some length\r\n", 8), size, strings.Repeat("b", size))
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, request)
				require.NoError(b, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				require.NoError(b, response.Body.Close())
			}
		})
	}
}
