package sched

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// newModelService returns a model service with the given number of endpoints, each
// with the given number of slots.
func newModelService(endpoints, slots int) *Service {
	s := New("model", "here", zap.NewNop())
	s.isModelService = true
	for i := range endpoints {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		spec := table.NewEndpoint(table.EndpointSpec{ID: string(rune('a' + i)), Service: "model", Address: address, DataCentre: "here", Slots: slots})
		s.endpoints = append(s.endpoints, &endpoint{spec: spec, slots: slots, pace: 1})
	}
	return s
}

// TestResumingStreamsExceedFullEndpoints fills all endpoints. A new request must be
// rejected at once, and a stream that resumes from another endpoint must be assigned.
func TestResumingStreamsExceedFullEndpoints(t *testing.T) {
	const endpoints, slots = 3, 4
	s := newModelService(endpoints, slots)
	for range endpoints * (slots + replicaExtra) {
		_, err := s.Acquire(context.Background(), Request{})
		require.NoError(t, err)
	}
	_, err := s.Acquire(context.Background(), Request{MaxWait: 50 * time.Millisecond})
	require.ErrorIs(t, err, ErrFull)
	for range endpoints * resumeExtra {
		assignment, err := s.Acquire(context.Background(), Request{Resuming: true, Tried: map[string]bool{"a": false}})
		require.NoError(t, err)
		require.LessOrEqual(t, assignment.endpoint.own, slots+replicaExtra+resumeExtra)
	}
	_, err = s.Acquire(context.Background(), Request{Resuming: true})
	require.ErrorIs(t, err, ErrFull)
}

// TestQueueOrder checks that resuming streams go before all other requests, then more
// urgent ones, and that a new request, which can be on time, goes before a client's retry of
// equal priority, which can't.
func TestQueueOrder(t *testing.T) {
	resuming, retry, urgent, usual := Request{Priority: 2, Resuming: true}, Request{Priority: 2, ClientRetry: true}, Request{Priority: 1}, Request{Priority: 2}
	require.True(t, resuming.normallyPrecedes(urgent))
	require.False(t, urgent.normallyPrecedes(resuming))
	require.True(t, urgent.normallyPrecedes(retry))
	require.True(t, usual.normallyPrecedes(retry))
	require.False(t, retry.normallyPrecedes(usual))
	require.False(t, usual.normallyPrecedes(usual))
}

// TestClientRetriesAreQueuedAfterOutage covers the time just after an outage: all
// slots are taken at once, and no request has completed yet, so the completion rate
// has only its lower bound. A client's retry must be queued, as the client doesn't
// retry again and its request may wait longer, and a new request must be rejected at
// once.
func TestClientRetriesAreQueuedAfterOutage(t *testing.T) {
	s := newModelService(12, 12)
	var assignments []Assignment
	for range 12 * (12 + replicaExtra) {
		assignment, err := s.Acquire(context.Background(), Request{})
		require.NoError(t, err)
		assignments = append(assignments, assignment)
	}
	start := time.Now()
	_, err := s.Acquire(context.Background(), Request{MaxWait: 10 * time.Millisecond})
	require.ErrorIs(t, err, ErrFull)
	require.Less(t, time.Since(start), 50*time.Millisecond)
	result := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), Request{ClientRetry: true, MaxWait: RetryQueueWait})
		result <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.Release(assignments[0])
	require.NoError(t, <-result)
}

// TestRetryAfterSpreadsRetries checks that callers rejected during an outage are told to
// retry after its expected end, spread over outageRetrySpread.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	testCases := []struct {
		name      string
		hasServed bool
		outage    time.Duration
	}{
		{name: "an endpoint has answered", hasServed: true, outage: defaultOutage},
		{name: "no endpoint has answered yet", outage: defaultStartup},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newModelService(1, 12)
			if tc.hasServed {
				assignment, err := s.Acquire(context.Background(), Request{})
				require.NoError(t, err)
				s.RecordSuccess(assignment)
			}
			s.endpoints[0].draining = true
			_, err := s.Acquire(context.Background(), Request{})
			require.ErrorIs(t, err, ErrNoEndpoint)
			shortest, longest := time.Hour, time.Duration(0)
			for caller := range uint64(400) {
				wait := s.RetryAfter(err, Caller{Key: caller})
				shortest, longest = min(shortest, wait), max(longest, wait)
			}
			require.Greater(t, shortest, tc.outage-100*time.Millisecond, "retry before the outage ends")
			require.LessOrEqual(t, longest, tc.outage+outageRetrySpread)
			require.Greater(t, longest-shortest, outageRetrySpread*3/4)
		})
	}
}

// TestRetryAfterKeepsToTheTimeLeft guards against callers that are told to come back when it is
// too late for their request, as they wait for at most a third of the time that is left.
func TestRetryAfterKeepsToTheTimeLeft(t *testing.T) {
	for _, left := range []time.Duration{700 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
		s := newModelService(1, 12)
		for caller := range uint64(100) {
			for range 2 {
				wait := s.RetryAfter(ErrFull, Caller{Key: caller, TimeLeft: left})
				require.Positive(t, wait)
				require.LessOrEqual(t, wait, left/3+minRetryJitter)
			}
		}
	}
}

// TestClientRetriesAreQueuedWhileGroupForms restarts an entry together with all
// endpoints, as after a power loss. While the group forms, a new request must be
// rejected, and a client's retry be queued and then assigned.
func TestClientRetriesAreQueuedWhileGroupForms(t *testing.T) {
	s := newModelService(1, 12)
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	// Until its agent reports, the endpoint counts as available.
	assignment, _, err := s.Admit(Request{MaxWait: RetryQueueWait})
	require.NoError(t, err)
	s.RecordGroupRefusal(assignment)
	s.Release(assignment)
	now = now.Add(groupRefusalWindow)
	s.UpdateFromAgent(s.endpoints[0].spec.Address().Addr(), AgentReport{})
	_, _, err = s.Admit(Request{MaxWait: RetryQueueWait})
	require.ErrorIs(t, err, ErrNoEndpoint, "a new caller can retry")
	now = now.Add(100 * time.Millisecond)
	_, waiter, err := s.Admit(Request{ClientRetry: true, MaxWait: RetryQueueWait})
	require.NoError(t, err)
	require.NotNil(t, waiter)
	now = now.Add(defaultStartup)
	s.UpdateFromAgent(s.endpoints[0].spec.Address().Addr(), AgentReport{Accepting: true})
	require.Len(t, waiter.Assigned(), 1)
}

// TestNewRequestsGoFirstAfterOutage queues late requests during an outage. In the
// recovery window they must get only lateSlotShare of the slots, and new requests go
// before them; after it the remaining late requests must be assigned.
func TestNewRequestsGoFirstAfterOutage(t *testing.T) {
	// Nine late requests are queued: eight fit in lateSlotShare when the outage ends, and
	// one waits for a completion.
	const slots, first, retries = 10, 8, 9
	s := newModelService(1, slots)
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	host := s.endpoints[0].spec.Address().Addr()
	report := func(accepting bool) {
		s.UpdateFromAgent(host, AgentReport{Accepting: accepting, Running: s.endpoints[0].own})
	}
	report(false)
	late := Request{ClientRetry: true, MaxWait: RetryQueueWait}
	var waiters []*Waiter
	for range retries {
		_, w, err := s.Admit(late)
		require.NoError(t, err)
		waiters = append(waiters, w)
	}
	_, _, err := s.Admit(late)
	require.ErrorIs(t, err, ErrFull, "the expected wait exceeds MaxWait")
	now = now.Add(defaultStartup)
	report(true)
	assigned := func() (count int) {
		for _, w := range waiters {
			count += len(w.Assigned())
		}
		return count
	}
	require.Equal(t, first, assigned())
	for range slots + replicaExtra - first {
		_, w, err := s.Admit(Request{MaxWait: RetryQueueWait / 10})
		require.NoError(t, err)
		require.Nil(t, w, "a new request is assigned at once")
	}
	now = now.Add(recoveryWindow)
	s.Release(Assignment{endpoint: s.endpoints[0], spec: s.endpoints[0].spec})
	require.Equal(t, retries, assigned(), "all late requests are assigned after the recovery window")
}

// TestNothingWaitsForWithdrawnEndpoints evacuates the data centre of a service's only
// endpoint. A request must be rejected at once, also one that would be queued in an
// outage; once the data centre is back, requests are assigned.
func TestNothingWaitsForWithdrawnEndpoints(t *testing.T) {
	s := New("plain", "dc-1", zap.NewNop())
	specs := endpointSpecs(1, 6, nil)
	s.Update(specs, false, func(string) bool { return true }, 1)
	for _, req := range []Request{{MaxWait: time.Second}, {ClientRetry: true, MaxWait: RetryQueueWait}} {
		_, w, err := s.Admit(req)
		require.ErrorIs(t, err, ErrNoEndpoint)
		require.Nil(t, w)
	}
	s.Update(specs, false, func(string) bool { return false }, 2)
	_, w, err := s.Admit(Request{})
	require.NoError(t, err)
	require.Nil(t, w)
}

// TestRequestsDontWaitForALongPause guards against requests that wait in the queue though all
// endpoints have asked for a longer pause, and against callers who come back before its end.
func TestRequestsDontWaitForALongPause(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("plain", "here", zap.NewNop(), WithClock(func() time.Time { return now }))
	s.Update(endpointSpecs(2, 4, nil), false, func(string) bool { return false }, 1)
	request := Request{MaxWait: 500 * time.Millisecond}
	var first Assignment
	for _, pause := range []time.Duration{2 * time.Second, 3 * time.Second} {
		assignment, _, err := s.Admit(request)
		require.NoError(t, err)
		if first == (Assignment{}) {
			first = assignment
		}
		s.RecordPause(assignment, pause)
		s.Release(assignment)
	}
	_, waiter, err := s.Admit(request)
	require.ErrorIs(t, err, ErrPaused)
	require.Nil(t, waiter)
	require.InDelta(t, 2.0, s.RetryAfter(err, Caller{}).Seconds(), 0.6)
	now = now.Add(1700 * time.Millisecond)
	_, waiter, err = s.Admit(request)
	require.NoError(t, err)
	require.NotNil(t, waiter, "the pause ends within its MaxWait")
	now = now.Add(400 * time.Millisecond)
	s.Tick()
	require.Equal(t, first.Endpoint().ID(), (<-waiter.Assigned()).Endpoint().ID())
}
