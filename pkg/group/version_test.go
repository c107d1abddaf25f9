package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// TestVersionsRiseAcrossEpochs guards against a switch whose version all ranks refuse: a group
// that has formed again reports no versions, but its ranks refuse those of earlier epochs.
func TestVersionsRiseAcrossEpochs(t *testing.T) {
	leader := group.NewLeader(3, 0, func(above uint64) uint64 { return above + 1 })
	now := time.Unix(1000, 0)
	views := make([]group.View, 3)
	report := func() {
		now = now.Add(tick)
		for i := range views {
			views[i] = group.View{Known: true, ReportedAt: now, Epoch: 2, Open: true, Pass: 1}
		}
		views[1].Ordered = 500
	}
	begin := func() uint64 {
		for range 60 {
			report()
			if leader.CanBegin(views, now) {
				return leader.Begin(views, now)
			}
			leader.Step(views, now)
		}
		require.Fail(t, "no switch may begin")
		return 0
	}
	first := begin()
	require.Greater(t, first, uint64(500))
	for range 60 {
		report()
		leader.Step(views, now)
	}
	require.Equal(t, group.Idle, leader.Phase(), "no rank has prepared the map")
	require.Greater(t, begin(), first)
}
