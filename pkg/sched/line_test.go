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

// newEngineService returns a model service whose endpoints have some slots each.
func newEngineService(endpoints, slots int) *Service {
	s := New("model", "here", zap.NewNop())
	s.engine = true
	for i := range endpoints {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		spec := table.NewEndpoint(table.EndpointSpec{ID: string(rune('a' + i)), Service: "model", Address: address, DataCentre: "here", Slots: slots})
		s.endpoints = append(s.endpoints, &endpoint{spec: spec, slots: slots, pace: 1})
	}
	return s
}

// TestAStreamThatGoesOnElsewhereFindsRoom fills all endpoints: a new request is
// refused at once, a stream whose endpoint fell silent is placed.
func TestAStreamThatGoesOnElsewhereFindsRoom(t *testing.T) {
	const endpoints, slots = 3, 4
	s := newEngineService(endpoints, slots)
	for range endpoints * (slots + engineExtra) {
		_, err := s.Acquire(context.Background(), Request{})
		require.NoError(t, err)
	}
	_, err := s.Acquire(context.Background(), Request{MaxWait: 50 * time.Millisecond})
	require.ErrorIs(t, err, ErrFull)
	for range endpoints * resumeExtra {
		given, err := s.Acquire(context.Background(), Request{Resuming: true, Tried: map[string]bool{"a": false}})
		require.NoError(t, err)
		require.LessOrEqual(t, given.endpoint.mine, slots+engineExtra+resumeExtra)
	}
	_, err = s.Acquire(context.Background(), Request{Resuming: true})
	require.ErrorIs(t, err, ErrFull)
}

// TestAStreamThatGoesOnGoesFirst has streams that go on, and callers who came
// back, wait beside more urgent new requests.
func TestAStreamThatGoesOnGoesFirst(t *testing.T) {
	resumes, returns, urgent, usual := Request{Priority: 2, Resuming: true}, Request{Priority: 2, ClientRetry: true}, Request{Priority: 1}, Request{Priority: 2}
	require.True(t, resumes.before(urgent))
	require.False(t, urgent.before(resumes))
	require.True(t, urgent.before(returns))
	require.True(t, returns.before(usual))
	require.False(t, usual.before(usual))
}

// TestAfterAnOutageReturningCallersWait plays the load that the floor of ending and
// outageSpread answer: a group has formed again, its slots are taken at once, and no
// request has ended yet. Who came back won't come again and may wait; a new caller
// is refused at once and told when to come back.
func TestAfterAnOutageReturningCallersWait(t *testing.T) {
	s := newEngineService(12, 12)
	var seats []Assignment
	for range 12 * (12 + engineExtra) {
		given, err := s.Acquire(context.Background(), Request{})
		require.NoError(t, err)
		seats = append(seats, given)
	}
	began := time.Now()
	_, err := s.Acquire(context.Background(), Request{MaxWait: 10 * time.Millisecond})
	require.ErrorIs(t, err, ErrFull)
	require.Less(t, time.Since(began), 50*time.Millisecond)
	placed := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), Request{ClientRetry: true, MaxWait: RetryQueueWait})
		placed <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.Release(seats[0])
	require.NoError(t, <-placed)
}

func TestCallersComeBackSpreadAfterAnOutage(t *testing.T) {
	testCases := []struct {
		name   string
		hasRun bool
		outage time.Duration
	}{
		{name: "endpoints ran before", hasRun: true, outage: usualOutage},
		{name: "the entry has started with them", outage: usualForming},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newEngineService(1, 12)
			if tc.hasRun {
				given, err := s.Acquire(context.Background(), Request{})
				require.NoError(t, err)
				s.RecordSuccess(given)
			}
			s.endpoints[0].draining = true
			_, err := s.Acquire(context.Background(), Request{})
			require.ErrorIs(t, err, ErrNoEndpoint)
			least, most := time.Hour, time.Duration(0)
			for range 400 {
				back := s.RetryAfter(err)
				least, most = min(least, back), max(most, back)
			}
			require.Greater(t, least, tc.outage-100*time.Millisecond, "not before there are endpoints")
			require.LessOrEqual(t, most, tc.outage+outageSpread)
			require.Greater(t, most-least, outageSpread*3/4)
		})
	}
}

// TestReturningCallersWaitForAGroupThatForms has callers who were refused before come
// back to an entry that has lost power together with all endpoints.
func TestReturningCallersWaitForAGroupThatForms(t *testing.T) {
	s := newEngineService(1, 12)
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	// Before its agent speaks, the endpoint seems to run.
	given, _, err := s.Admit(Request{MaxWait: RetryQueueWait})
	require.NoError(t, err)
	s.RecordGroupRefusal(given)
	s.Release(given)
	now = now.Add(groupRefusal)
	s.UpdateFromAgent(s.endpoints[0].spec.Address().Addr(), AgentReport{})
	_, _, err = s.Admit(Request{MaxWait: RetryQueueWait})
	require.ErrorIs(t, err, ErrNoEndpoint, "a new caller comes back")
	now = now.Add(100 * time.Millisecond)
	_, waiter, err := s.Admit(Request{ClientRetry: true, MaxWait: RetryQueueWait})
	require.NoError(t, err)
	require.NotNil(t, waiter)
	now = now.Add(usualForming)
	s.UpdateFromAgent(s.endpoints[0].spec.Address().Addr(), AgentReport{Accepting: true})
	require.Len(t, waiter.Assigned(), 1)
}

// TestAfterAnOutageThoseOnTimeGoFirst has callers that are late come back to a group
// that has just formed: they leave slots to new callers, who go before them, until the
// group has settled.
func TestAfterAnOutageThoseOnTimeGoFirst(t *testing.T) {
	// Seven find a place: six as the group runs again, and one as a request ends.
	const slots, first, returning = 10, 6, 7
	s := newEngineService(1, slots)
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	host := s.endpoints[0].spec.Address().Addr()
	speak := func(opens bool) {
		s.UpdateFromAgent(host, AgentReport{Accepting: opens, Running: s.endpoints[0].mine})
	}
	speak(false)
	late := Request{ClientRetry: true, MaxWait: RetryQueueWait}
	var waiters []*Waiter
	for range returning {
		_, w, err := s.Admit(late)
		require.NoError(t, err)
		waiters = append(waiters, w)
	}
	_, _, err := s.Admit(late)
	require.ErrorIs(t, err, ErrFull, "it would wait too long")
	now = now.Add(usualForming)
	speak(true)
	served := func() (count int) {
		for _, w := range waiters {
			count += len(w.Assigned())
		}
		return count
	}
	require.Equal(t, first, served())
	for range slots + engineExtra - first {
		_, w, err := s.Admit(Request{MaxWait: RetryQueueWait / 10})
		require.NoError(t, err)
		require.Nil(t, w, "a new caller has room at once")
	}
	now = now.Add(settling)
	s.Release(Assignment{endpoint: s.endpoints[0], spec: s.endpoints[0].spec})
	require.Equal(t, returning, served(), "all go in turn once the group has settled")
}
