package webio_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/webio"
)

// TestBodiesTogetherAreBounded guards against large bodies of many requests that take a process
// over its memory limit, so that it is killed with all requests in progress.
func TestBodiesTogetherAreBounded(t *testing.T) {
	body := strings.Repeat("b", webio.MaxBodyBytes)
	requests := map[string]string{
		"with a length": fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks":     fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			release, handled := make(chan struct{}), make(chan struct{}, 100)
			server := webio.NewServer(webio.HandlerFunc(func(exchange *webio.Exchange) {
				handled <- struct{}{}
				<-release
				exchange.Reply(http.StatusOK, nil, nil)
			}), zap.NewNop())
			require.NoError(t, server.Listen("127.0.0.1:0"))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			t.Cleanup(func() { server.Shutdown(ctx) })
			const senders = 12
			statuses := make(chan int, senders)
			send := func() {
				conn, err := net.Dial("tcp", server.Address())
				if err != nil {
					statuses <- 0
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				if _, err := conn.Write([]byte(request)); err != nil {
					statuses <- 0
					return
				}
				status, _ := readReply(conn)
				statuses <- status
			}
			var sending sync.WaitGroup
			for range senders {
				sending.Go(send)
			}
			// Those that aren't accepted are answered at once, the others wait.
			for range senders - 8 {
				require.Equal(t, http.StatusServiceUnavailable, <-statuses)
			}
			require.Eventually(t, func() bool { return len(handled) == 8 }, 5*time.Second, time.Millisecond)
			small, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer small.Close()
			_, err = small.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nsmall"))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(handled) == 9 }, time.Second, time.Millisecond)
			close(release)
			sending.Wait()
			for range 8 {
				require.Equal(t, http.StatusOK, <-statuses)
			}
			send()
			require.Equal(t, http.StatusOK, <-statuses, "the memory is free again")
		})
	}
}
