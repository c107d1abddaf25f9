package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPassTimesFollowReportsAndSends guards against predictions that leave out requests that
// were sent since the agents' reports, or the prompts that wait at the ranks.
func TestPassTimesFollowReportsAndSends(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newModelService(4, 10)
	s.now = func() time.Time { return now }
	predict := func() time.Duration {
		predicted, _ := s.PassTimes()
		return predicted
	}
	require.Zero(t, predict(), "the engine's figures aren't known")
	s.SetGapTarget(120 * time.Millisecond)
	s.SetEngine(testEngine())
	require.Zero(t, predict(), "no agent has reported")
	report := func(running, waiting int, interval time.Duration) {
		for _, e := range s.endpoints {
			s.UpdateFromAgent(e.spec.Address().Addr(), AgentReport{Accepting: true, Running: running, Waiting: waiting, PassInterval: interval})
		}
	}
	report(4, 0, 0)
	idle := predict()
	report(4, 3, 0)
	require.Greater(t, predict(), idle+20*time.Millisecond, "three prompts wait at each rank")
	report(4, 0, 0)
	for range 4 {
		_, _, err := s.Admit(Request{PromptTokens: 1600})
		require.NoError(t, err)
	}
	require.Greater(t, predict(), idle+20*time.Millisecond, "four long prompts were sent")
	for range 20 {
		now = now.Add(observeInterval)
		report(4, 0, 150*time.Millisecond)
	}
	predicted, measured := s.PassTimes()
	require.Equal(t, 150*time.Millisecond, measured)
	require.Greater(t, predicted, measured)
	now = now.Add(agentTimeout + 1)
	require.Zero(t, predict(), "the agents are silent")
}
