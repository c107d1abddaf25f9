package webio_test

import (
	"context"
	"io"
	"net"
	"testing"

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
