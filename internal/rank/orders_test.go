package rank

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// TestUnansweredOrderIsRepeatedSoon guards against a group that waits for
// the full timeout of a call, 150 ms, when one rank leaves a call unanswered. Two
// lost answers must take less than one timeout.
func TestUnansweredOrderIsRepeatedSoon(t *testing.T) {
	testCases := []struct {
		name   string
		lost   int32
		status int
		want   error
		within time.Duration
	}{
		{name: "answered", status: http.StatusOK, within: 100 * time.Millisecond},
		{name: "two calls unanswered", lost: 2, status: http.StatusOK, within: 150 * time.Millisecond},
		{name: "eight calls unanswered", lost: 8, status: http.StatusOK, within: 150 * time.Millisecond},
		{name: "refused", lost: 1, status: http.StatusConflict, want: platform.ErrOrderRejected, within: 150 * time.Millisecond},
		{name: "all calls unanswered", lost: 100, status: http.StatusOK, want: platform.ErrNoResponse, within: time.Second},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if calls.Add(1) <= tc.lost {
					<-r.Context().Done()
					return
				}
				w.WriteHeader(tc.status)
			}))
			defer server.Close()
			order := &wirepb.RankOrder{Kind: wirepb.RankOrder_KIND_ARM, Epoch: 1, Version: 2, Pass: 3}
			start := time.Now()
			err := callRankHedged(context.Background(), platform.NewRankClient(server.Listener.Addr().String()), order, nil, localHedges(order, 12))
			require.ErrorIs(t, err, tc.want)
			require.Less(t, time.Since(start), tc.within)
			require.LessOrEqual(t, calls.Load(), int32(1+maxHedges))
		})
	}
}

// TestOrderExpiresDuringASuspension has an agent be suspended with an order that it hasn't
// carried out yet. The monotonic clock doesn't count the suspension, but the leader has
// gone on without the agent meanwhile, so the order must have expired.
func TestOrderExpiresDuringASuspension(t *testing.T) {
	received := currentInstant()
	require.True(t, received.isWithin(orderTTL))
	for _, suspended := range []time.Duration{2 * orderTTL, 5 * time.Second} {
		a := &Agent{}
		a.orders.current = &wirepb.RankOrder{Kind: wirepb.RankOrder_KIND_ARM, Version: 3, Pass: 900}
		a.orders.receivedAt = instant{monotonic: received.monotonic, wall: received.wall.Add(-suspended)}
		require.Nil(t, a.activeOrder(), "suspended for %v", suspended)
	}
	a := &Agent{}
	a.orders.current = &wirepb.RankOrder{Kind: wirepb.RankOrder_KIND_ARM, Version: 3, Pass: 900}
	a.orders.receivedAt = currentInstant()
	require.NotNil(t, a.activeOrder())
}

// TestOrdersAreForwarded checks that an agent forwards the leader's orders to the agents
// that they name, and that these take them only in the name of the leader that they follow.
func TestOrdersAreForwarded(t *testing.T) {
	leaderAddress := netip.MustParseAddrPort("10.0.0.1:7000")
	received := make(chan *wirepb.RankOrder, 2)
	var agents []netip.AddrPort
	for range 2 {
		socket, err := dgram.Listen("127.0.0.1:0", func(_ netip.AddrPort, message *wirepb.Datagram) {
			received <- message.GetRankOrder()
		}, zap.NewNop())
		require.NoError(t, err)
		defer socket.Close()
		agents = append(agents, socket.Address())
	}
	own, err := dgram.Listen("127.0.0.1:0", func(netip.AddrPort, *wirepb.Datagram) {}, zap.NewNop())
	require.NoError(t, err)
	defer own.Close()
	newAgent := func() *Agent {
		a := &Agent{logger: zap.NewNop(), socket: own, state: platform.RankState{Group: "g", Size: 2}}
		a.orders.ctx = context.Background()
		a.leader = &leader{agent: a, followed: leaderAddress}
		return a
	}
	// An agent doesn't know the base of the changes, so it takes the order and does nothing.
	order := &wirepb.RankOrder{Group: "g", Kind: wirepb.RankOrder_KIND_PREPARE, Version: 9, Base: 8}
	for _, agent := range agents {
		order.Forward = append(order.Forward, agent.String())
	}
	datagram := func(order *wirepb.RankOrder) *wirepb.Datagram {
		return &wirepb.Datagram{Body: &wirepb.Datagram_RankOrder{RankOrder: order}}
	}
	relay := newAgent()
	relay.handleDatagram(leaderAddress, datagram(order))
	require.NotZero(t, relay.orders.receivedAt)
	for range agents {
		forwarded := <-received
		require.Empty(t, forwarded.GetForward(), "a forwarded order isn't forwarded again")
		require.Equal(t, order.GetVersion(), forwarded.GetVersion())
		last := newAgent()
		last.handleDatagram(own.Address(), datagram(forwarded))
		require.NotZero(t, last.orders.receivedAt)
		forwarded.Leader = "10.0.0.2:7000"
		stranger := newAgent()
		stranger.handleDatagram(own.Address(), datagram(forwarded))
		require.Zero(t, stranger.orders.receivedAt, "an order of a leader that the agent doesn't follow")
	}
}
