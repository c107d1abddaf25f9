package webio_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

func serve(t *testing.T, handler webio.HandlerFunc) *webio.Server {
	t.Helper()
	server := webio.NewServer(handler, zap.NewNop())
	require.NoError(t, server.Listen("127.0.0.1:0"))
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Shutdown(ctx)
	})
	return server
}

// TestShutdownWaitsForRequestsOnly stops a server while a connection that stays
// open has a request in progress.
func TestShutdownWaitsForRequestsOnly(t *testing.T) {
	begun := make(chan struct{})
	server := serve(t, func(exchange *webio.Exchange) {
		close(begun)
		time.Sleep(300 * time.Millisecond)
		exchange.Reply(http.StatusOK, nil, []byte("whole"))
	})
	answer := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address() + "/")
		if err != nil {
			answer <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answer <- string(body)
	}()
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := time.Now()
	require.Zero(t, server.Shutdown(ctx), "nothing is cut off")
	require.Less(t, time.Since(stopped), 2*time.Second, "an idle connection holds nothing up")
	require.Equal(t, "whole", <-answer)
}

func TestConnectionsAreKept(t *testing.T) {
	server := serve(t, func(exchange *webio.Exchange) {
		exchange.Reply(http.StatusOK, http.Header{"X-Caller": {exchange.Request().RemoteAddr}}, exchange.Body())
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	callers := make(map[string]bool)
	for _, body := range []string{"", "short", strings.Repeat("long ", 100_000)} {
		response, err := client.Post("http://"+server.Address()+"/", "text/plain", strings.NewReader(body))
		require.NoError(t, err)
		echoed, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, body, string(echoed))
		callers[response.Header.Get("X-Caller")] = true
	}
	require.Len(t, callers, 1, "one connection serves all requests")
}

func TestPanicIsAnswered(t *testing.T) {
	server := serve(t, func(*webio.Exchange) { panic("on purpose") })
	response, err := http.Get("http://" + server.Address() + "/")
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
}

// TestShutdownAnswersWhatWasRead stops servers at any moment of requests on
// connections that are kept: what the handler got is answered whole.
func TestShutdownAnswersWhatWasRead(t *testing.T) {
	const rounds, callers = 150, 8
	for range rounds {
		var mu sync.Mutex
		handled := make(map[string]bool)
		server := serve(t, func(exchange *webio.Exchange) {
			mu.Lock()
			handled[exchange.Request().URL.Path] = true
			mu.Unlock()
			exchange.Reply(http.StatusOK, nil, []byte("whole"))
		})
		unanswered := make(chan string, callers)
		for caller := range callers {
			conn, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					path := fmt.Sprintf("/%d/%d", caller, n)
					if !askWhole(conn, reader, path) {
						unanswered <- path
						return
					}
				}
			}()
		}
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		require.Zero(t, server.Shutdown(ctx))
		cancel()
		for range callers {
			path := <-unanswered
			mu.Lock()
			require.False(t, handled[path], "%s was taken and not answered", path)
			mu.Unlock()
		}
	}
}

// askWhole sends a request and reports whether its whole answer came.
func askWhole(conn net.Conn, reader *bufio.Reader, path string) bool {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "whole"
}
