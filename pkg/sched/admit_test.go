package sched

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// newGroupService returns an entry's service with a group of the given size, each of whose
// agents has just reported a number of running requests.
func newGroupService(ranks, running int, passInterval time.Duration, now *time.Time) *Service {
	s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return *now }))
	s.SetGapTarget(120 * time.Millisecond)
	s.SetEngine(testEngine())
	var specs []*table.Endpoint
	for i := range ranks {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "model", Address: address, DataCentre: "here", Slots: 10}))
	}
	s.Update(specs, true, func(string) bool { return false }, 1)
	report(s, running, passInterval)
	return s
}

// report has all agents report a number of running requests.
func report(s *Service, running int, passInterval time.Duration) {
	for _, e := range s.endpoints {
		s.UpdateFromAgent(e.spec.Address().Addr(), AgentReport{Accepting: true, Running: running, PassInterval: passInterval})
	}
}

// TestOnlyLessUrgentRequestsAreHeldBack checks by which loads requests wait, and that a group of
// few slots isn't left idle for the sake of more urgent requests.
func TestOnlyLessUrgentRequestsAreHeldBack(t *testing.T) {
	testCases := []struct {
		name           string
		ranks, running int
		passInterval   time.Duration
		alone          bool // whether there are only most urgent requests
		urgent, others bool
	}{
		{name: "free slots", ranks: 12, running: 5, passInterval: 70 * time.Millisecond, urgent: true, others: true},
		{name: "few free slots", ranks: 12, running: 10, passInterval: 80 * time.Millisecond, urgent: true},
		{name: "passes near the gap target", ranks: 12, running: 7, passInterval: 112 * time.Millisecond, urgent: true},
		{name: "passes over the gap target", ranks: 12, running: 7, passInterval: 160 * time.Millisecond, urgent: true},
		{name: "passes over the gap target of one kind", ranks: 12, running: 7, passInterval: 160 * time.Millisecond, alone: true},
		{name: "passes that fewer requests don't make short enough", ranks: 12, running: 2, passInterval: 400 * time.Millisecond, urgent: true, others: true},
		{name: "one endpoint", ranks: 1, running: 8, passInterval: 60 * time.Millisecond, urgent: true, others: true},
		{name: "no passes are reported", ranks: 12, running: 5, urgent: true, others: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := newGroupService(tc.ranks, tc.running, tc.passInterval, &now)
			for range 40 {
				now = now.Add(50 * time.Millisecond)
				report(s, tc.running, tc.passInterval)
				s.kinds.countOffered(Request{}.kind(), now)
				s.kinds.countSent(Request{}.kind(), now)
				if !tc.alone {
					s.kinds.countOffered(Request{Priority: 1}.kind(), now)
					s.kinds.countSent(Request{Priority: 1}.kind(), now)
				}
			}
			require.Equal(t, tc.urgent, s.HasCapacity(Request{}))
			require.Equal(t, tc.others, s.HasCapacity(Request{Priority: 1}))
			require.True(t, s.HasCapacity(Request{Priority: 1, Resuming: true}), "its caller has part of the response")
			for range 200 {
				s.kinds.countOffered(Request{}.kind(), now)
				s.kinds.countSent(Request{}.kind(), now)
				s.kinds.countOffered(Request{Priority: 1}.kind(), now)
			}
			require.True(t, s.HasCapacity(Request{Priority: 1}), "an underserved kind isn't held back")
			now = now.Add(agentTimeout + 1)
			require.True(t, s.HasCapacity(Request{Priority: 1}), "without reports, slots decide")
		})
	}
}

// TestHopelessRequestsAreRefusedAtOnce guards against less urgent requests that are queued and
// refused only after their whole wait, as more urgent ones take the slots that become free.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	queued := func(urgent int) (count int) {
		s := newModelService(12, 10)
		admitAll(t, s, Request{Priority: 1})
		for range urgent {
			s.kinds.countOffered(Request{}.kind(), s.now())
		}
		for ; ; count++ {
			if _, _, err := s.Admit(Request{Priority: 1, MaxWait: 500 * time.Millisecond}); err != nil {
				require.ErrorIs(t, err, ErrFull)
				return count
			}
		}
	}
	require.Equal(t, 20, queued(0), "40 slots become free per second")
	require.Equal(t, 10, queued(1000))
}

// TestHeldBackRequestsSayWhy guards against callers and operators who can't tell a request that was
// held back from one that found no free slot, and against a log line for each of them.
func TestHeldBackRequestsSayWhy(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newGroupService(12, 10, 70*time.Millisecond, &now)
	core, logs := observer.New(zap.InfoLevel)
	s.logger = zap.New(core)
	for range 60 {
		for priority := range 2 {
			s.kinds.countOffered(Request{Priority: priority}.kind(), now)
			s.kinds.countSent(Request{Priority: priority}.kind(), now)
		}
	}
	const count = 4 * holdsPerSecond
	for i := range count {
		_, _, err := s.Admit(Request{ID: fmt.Sprint("request-", i), Priority: 1})
		require.ErrorIs(t, err, ErrFull)
		require.ErrorContains(t, err, "the free slots are kept for more urgent requests")
	}
	require.Equal(t, map[HoldCause]int64{HeldByReserve: count}, s.HeldBack())
	require.Equal(t, holdsPerSecond, logs.Len())
	now = now.Add(time.Second)
	report(s, 10, 70*time.Millisecond)
	_, err := s.Acquire(context.Background(), Request{ID: "queued", Priority: 1, MaxWait: 500 * time.Millisecond})
	require.ErrorIs(t, err, ErrQueueTimeout)
	require.ErrorContains(t, err, "the free slots are kept for more urgent requests")
	fields := logs.All()[holdsPerSecond].ContextMap()
	require.Equal(t, "queued", fields["request"])
	require.Equal(t, "reserve", fields["cause"])
	require.Equal(t, true, fields["queued"])
	require.Equal(t, 120.0, fields["slots"])
	require.EqualValues(t, count-holdsPerSecond, fields["left_out"])
	require.Greater(t, fields["predicted_pass"], fields["measured_pass"])
}

// BenchmarkDecision measures the decision on one request. The bounds are 20 us with 63
// endpoints and 60 us with 860.
func BenchmarkDecision(b *testing.B) {
	for _, ranks := range []int{63, 860} {
		b.Run(fmt.Sprint(ranks), func(b *testing.B) {
			now := time.Now()
			s := newGroupService(ranks, 7, 110*time.Millisecond, &now)
			s.kinds.countOffered(Request{}.kind(), now)
			for b.Loop() {
				s.HasCapacity(Request{Priority: 1})
			}
		})
	}
}
