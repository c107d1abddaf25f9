package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// TestCompletionRateOfGroup guards against an expected rate that depends on the few requests
// of one entry, and against one that assumes free slots while passes are long.
func TestCompletionRateOfGroup(t *testing.T) {
	const endpoints, slots, entries = 6, 10, 3
	testCases := []struct {
		name         string
		recovering   bool
		engine       *table.Engine
		reports      int
		running, own int
		interval     time.Duration
		coldFor      time.Duration
		want         float64
	}{
		// 30 requests complete in 24 passes, a third of them here.
		{"an equal share", false, testEngine(), endpoints, 5, 10, 50 * time.Millisecond, 0, 30 / 1.2 / entries},
		{"half of the requests are here", false, testEngine(), endpoints, 5, 15, 50 * time.Millisecond, 0, 30 / 1.2 * (0.5 + 1.0/entries) / 2},
		{"half of the agents are known", false, testEngine(), endpoints / 2, 5, 0, 50 * time.Millisecond, 0, 30 / 1.2 / entries / 2},
		{"long passes", false, testEngine(), endpoints, slots, 20, time.Second, 0, 60.0 / 24 / entries},
		{"after an outage", true, testEngine(), endpoints, 1, 2, time.Second, 0, endpoints * slots / 3.0 / entries},
		{"an endpoint is cold", false, testEngine(), endpoints, 1, 2, time.Second, time.Minute, endpoints * slots / 3.0 / entries},
		{"no passes", false, testEngine(), endpoints, 0, 0, 0, 0, endpoints * slots / 3.0 / entries},
		{"no reports", false, testEngine(), 0, 0, 0, 0, 0, endpoints * slots / 3.0 / entries},
		{"no engine", false, nil, endpoints, 5, 10, 50 * time.Millisecond, 0, endpoints * slots / 3.0 / entries},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := newModelService(endpoints, slots)
			if tc.recovering {
				s.outageEnd = now
			}
			s.now, s.otherEntries = func() time.Time { return now }, func() int { return entries - 1 }
			s.SetEngine(tc.engine)
			for i := range tc.own {
				s.endpoints[i%endpoints].own++
			}
			s.endpoints[0].coldUntil = now.Add(tc.coldFor)
			for _, e := range s.endpoints[:tc.reports] {
				s.UpdateFromAgent(e.spec.Address().Addr(), AgentReport{Accepting: true, Running: tc.running, PassInterval: tc.interval})
			}
			require.InDelta(t, tc.want, s.completionRate(now), 0.01)
		})
	}
}
