package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// admitAll admits requests until one is rejected, and returns how many were assigned.
func admitAll(t *testing.T, s *Service, req Request) int {
	for count := 0; ; count++ {
		_, w, err := s.Admit(req)
		require.Nil(t, w)
		if err != nil {
			require.ErrorIs(t, err, ErrFull)
			return count
		}
	}
}

// TestNoRequestWaitsForASlotBeyondItsLatencyTarget guards against requests that are sent
// to endpoints on which no slot becomes free in time.
func TestNoRequestWaitsForASlotBeyondItsLatencyTarget(t *testing.T) {
	const endpoints, slots = 3, 4
	testCases := []struct {
		runTime time.Duration
		extra   int
	}{
		{0, replicaExtra},
		{800 * time.Millisecond, replicaExtra},
		{1500 * time.Millisecond, 1},
		{4 * time.Second, 0},
	}
	for _, tc := range testCases {
		now := time.Unix(1000, 0)
		s := newModelService(endpoints, slots)
		s.now = func() time.Time { return now }
		if tc.runTime > 0 {
			assignment, _, err := s.Admit(Request{})
			require.NoError(t, err)
			now = now.Add(tc.runTime)
			s.Release(assignment)
			s.RecordSuccess(assignment)
			now = now.Add(time.Minute)
		}
		require.Equal(t, endpoints*(slots+tc.extra), admitAll(t, s, Request{MaxEndpointWait: 400 * time.Millisecond}), tc.runTime)
	}
}

// TestSlowPassesTakeFewerRequests guards against a model service that goes on to fill all
// slots while its passes take so long that no stream is on time.
func TestSlowPassesTakeFewerRequests(t *testing.T) {
	const endpoints, slots = 3, 12
	const gapTarget = 120 * time.Millisecond
	testCases := []struct {
		interval time.Duration
		most     int
	}{
		{0, slots + replicaExtra},
		{80 * time.Millisecond, slots + replicaExtra},
		{180 * time.Millisecond, slots/2 + replicaExtra/2},
		{900 * time.Millisecond, 2},
	}
	for _, tc := range testCases {
		s := newModelService(endpoints, slots)
		s.SetGapTarget(gapTarget)
		for _, e := range s.endpoints {
			require.True(t, s.UpdateFromAgent(e.spec.Address().Addr(), AgentReport{Accepting: true, PassInterval: tc.interval}))
		}
		require.Equal(t, endpoints*tc.most, admitAll(t, s, Request{}), tc.interval)
		_, _, err := s.Admit(Request{Resuming: true})
		require.NoError(t, err, "a stream that has begun isn't affected")
	}
}
