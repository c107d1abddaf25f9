package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// within returns the share of the response times that are at most a target.
func (p *plainSite) within(target time.Duration) float64 {
	count := 0
	for _, took := range p.times {
		if took <= target {
			count++
		}
	}
	return float64(count) / float64(len(p.times)+p.refused)
}

// TestEachPace checks what is reported as metrics.
func TestEachPace(t *testing.T) {
	p := newPlainSite(1, 56)
	p.add(80*time.Millisecond, 0)
	p.run(2 * time.Second)
	p.add(80*time.Millisecond, 0)
	s := p.services[0]
	paces := make(map[string]EndpointPace)
	s.EachPace(func(endpoint *table.Endpoint, pace EndpointPace) { paces[endpoint.ID()] = pace })
	require.Zero(t, paces["0"].RampRate)
	require.Positive(t, paces["1"].RampRate)
	require.Equal(t, s.meanRunTime, paces["1"].ResponseTime, "it has no responses yet")

	g := newModelService(2, 4)
	require.True(t, g.UpdateFromAgent(g.endpoints[0].spec.Address().Addr(), AgentReport{Accepting: true, Pace: 6}))
	g.loads(nil, g.now())
	g.EachPace(func(endpoint *table.Endpoint, pace EndpointPace) { paces[endpoint.ID()] = pace })
	require.Equal(t, EndpointPace{ExcludedAt: 6}, paces["a"])
	require.Zero(t, paces["b"])
}

// TestSlowPlainEndpointGetsLess plays four endpoints of which one becomes slower and recovers. It
// guards against entries that send it as much as the others since it isn't full, and
// against an endpoint that isn't used again after it has recovered.
func TestSlowPlainEndpointGetsLess(t *testing.T) {
	const demand, runTime, target = 56.0, 80 * time.Millisecond, 200 * time.Millisecond
	testCases := []struct {
		slower float64
		// most bounds its requests per second while it is slower, and onTime is the share of all
		// requests that must be on time.
		most, onTime float64
	}{{1, 18, 0.99}, {2, 9, 0.95}, {6, 5, 0.92}}
	for _, tc := range testCases {
		for seed := range uint64(4) {
			p := newPlainSite(seed, demand)
			for range 4 {
				p.add(runTime, 0)
			}
			p.run(8 * time.Second)
			slow := p.servers[2]
			slow.runTime = time.Duration(tc.slower * float64(runTime))
			p.run(time.Second)
			first := p.within(target)
			p.run(7 * time.Second)
			onTime, rate := p.within(target), float64(slow.sentIn(p.now.Add(-7*time.Second), p.now))/7
			slow.runTime = runTime
			p.run(15 * time.Second)
			after := float64(slow.sentIn(p.now.Add(-5*time.Second), p.now)) / 5
			t.Logf("%v times slower: on time %.3f in the first second, %.3f then; %.1f requests per second, %.1f after it has recovered",
				tc.slower, first, onTime, rate, after)
			require.GreaterOrEqual(t, onTime, tc.onTime)
			require.LessOrEqual(t, rate, tc.most)
			require.GreaterOrEqual(t, after, demand/4/2, "half of its part")
		}
	}
}
