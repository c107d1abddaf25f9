package webio_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/webio"
)

const rawRequest = "POST / HTTP/1.1\r\nHost: club.example\r\nContent-Length: 4\r\n\r\nbody"

// TestClientThatLeftBeforeItsRequestIsReadCancelsIt guards against work for clients that
// closed their connection before the server read the request.
func TestClientThatLeftBeforeItsRequestIsReadCancelsIt(t *testing.T) {
	const clients = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for range clients {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(client, rawRequest)
		require.NoError(t, err)
		require.NoError(t, client.Close())
	}
	states := make(chan error, clients)
	server := webio.NewServer(webio.HandlerFunc(func(exchange *webio.Exchange) {
		states <- exchange.Context().Err()
		exchange.Abort()
	}), zap.NewNop())
	server.Serve(listener.(*net.TCPListener))
	t.Cleanup(func() { server.Shutdown(ended()) })
	for range clients {
		require.ErrorIs(t, <-states, context.Canceled)
	}
}

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestClientThatLeavesAfterPipeliningCancelsItsRequest guards against work for clients
// that sent a part of their next request before they closed the connection.
func TestClientThatLeavesAfterPipeliningCancelsItsRequest(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan bool, 1)
	server := serve(t, func(exchange *webio.Exchange) {
		close(started)
		select {
		case <-exchange.Context().Done():
			canceled <- true
		case <-time.After(2 * time.Second):
			canceled <- false
		}
		exchange.Abort()
	})
	client, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	_, err = io.WriteString(client, rawRequest)
	require.NoError(t, err)
	<-started
	_, err = io.WriteString(client, rawRequest[:20])
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, client.Close())
	require.True(t, <-canceled)
}

// TestPipelinedRequestsAreServedInOrder guards against bytes that are lost while the
// server watches whether the client leaves.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	const requests = 40
	server := serve(t, func(exchange *webio.Exchange) {
		time.Sleep(2 * time.Millisecond)
		require.NoError(t, exchange.ReplyVerbatim(http.StatusOK, http.Header{}, exchange.Body()))
	})
	client, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	go func() {
		for n := range requests {
			// Bodies that exceed what the server buffers ahead, and requests in pieces.
			text := pipelined(n)
			for len(text) > 0 {
				piece := min(len(text), 1+n*997)
				if _, err := io.WriteString(client, text[:piece]); err != nil {
					return
				}
				text = text[piece:]
			}
		}
	}()
	require.NoError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(client)
	for n := range requests {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "response %d", n)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, pipelinedBody(n), string(body))
	}
}

func pipelined(n int) string {
	body := pipelinedBody(n)
	return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: club.example\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
}

func pipelinedBody(n int) string { return strings.Repeat(strconv.Itoa(n)+" ", 1+n*50) }
