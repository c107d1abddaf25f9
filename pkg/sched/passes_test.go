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
	s := newGroupService(4, 4, 0, &now)
	idle, _ := s.PassTimes()
	for range 4 {
		_, _, err := s.Admit(Request{PromptTokens: 1600})
		require.NoError(t, err)
	}
	predicted, _ := s.PassTimes()
	require.Greater(t, predicted, idle+20*time.Millisecond, "four long prompts were sent")
	for range 20 {
		now = now.Add(observeInterval)
		report(s, 4, 150*time.Millisecond)
	}
	predicted, measured := s.PassTimes()
	require.Equal(t, 150*time.Millisecond, measured)
	require.Greater(t, predicted, measured)
	now = now.Add(agentTimeout + 1)
	predicted, _ = s.PassTimes()
	require.Zero(t, predicted, "the agents are silent")
}
