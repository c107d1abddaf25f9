package conns_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/conns"
	"github.com/lentilstand/lentilstand/internal/memory"
)

// accountedPool returns a pool on a small host.
func accountedPool(descriptors int) (*conns.Pool, *memory.Account) {
	account := memory.New(64, descriptors)
	pool := &conns.Pool{}
	pool.SetAccount(account)
	return pool, account
}

func sendTo(pool *conns.Pool, address netip.AddrPort) (*conns.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	response, err := pool.Send(ctx, address, conns.Request{Method: http.MethodGet, Target: "/", Host: "h"},
		func(int, http.Header) bool { return true })
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return response, nil
}

// TestLargeEventsAreAccounted guards against streams that each buffer an event of almost the
// limit, so that many of them exceed the memory of the host.
func TestLargeEventsAreAccounted(t *testing.T) {
	address, _ := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "data: x")
	pool, account := accountedPool(1000)
	response, err := sendTo(pool, address)
	require.NoError(t, err)
	require.True(t, account.Borrow(account.Limit()-100<<10))
	_, err = conns.NewEventReader(response).Next()
	require.ErrorContains(t, err, "no memory")
	response.Close()
	account.Return(account.Limit() - 100<<10)
	used, _ := account.Used()
	require.Zero(t, used, "a closed response has no memory")
}

// TestHeadsOfManyLinesAreRefused guards against heads within the size limit whose lines cost many
// times their bytes.
func TestHeadsOfManyLinesAreRefused(t *testing.T) {
	address, _ := serveEndless(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 5000)+"\r\n", "x")
	pool, _ := accountedPool(1000)
	_, err := sendTo(pool, address)
	require.ErrorIs(t, err, conns.ErrTooManyBytes)
}

// TestDescriptorsOfEndpointsAreLimited guards against connections to endpoints that take the
// descriptors of clients, and against descriptors that are lost when connections end.
func TestDescriptorsOfEndpointsAreLimited(t *testing.T) {
	const descriptors = 16
	address, _ := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	pool, _ := accountedPool(descriptors)
	for range 3 {
		var responses []*conns.Response
		for {
			response, err := sendTo(pool, address)
			if err != nil {
				require.ErrorIs(t, err, conns.ErrNotSent)
				break
			}
			responses = append(responses, response)
		}
		require.Len(t, responses, descriptors*3/8)
		for _, response := range responses {
			response.Close()
			response.Close()
		}
	}
}
