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
	now, last := time.Unix(1000, 0), uint64(500)
	views := make([]group.View, 3)
	for switches := 0; switches < 2; {
		now = now.Add(tick)
		for i := range views {
			views[i] = group.View{Known: true, ReportedAt: now, Epoch: 2, Open: true, Pass: 1}
		}
		views[1].Ordered = 500
		if leader.Step(views, now); leader.CanBegin(views, now) {
			version := leader.Begin(views, now)
			require.Greater(t, version, last)
			last, switches = version, switches+1
		}
		require.Less(t, now.Sub(time.Unix(1000, 0)), 10*time.Second, "a switch that no rank prepares is given up")
	}
}
