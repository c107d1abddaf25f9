package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/simul"
	"github.com/lentilstand/lentilstand/pkg/sched"
)

// entries is the number of entries in simulations.
const entries = 12

// TestSlowRankDoesNotSlowItsGroup plays a rank of a group that becomes six times, or twice,
// slower. Without its exclusion, its requests slow the passes of all ranks until it recovers.
func TestSlowRankDoesNotSlowItsGroup(t *testing.T) {
	const ranks, slow = 24, 5
	testCases := []struct {
		pace float64
		// drain is the time in which the requests that the rank had end.
		drain time.Duration
	}{{1, 0}, {2, time.Second}, {6, 6 * time.Second}}
	for _, tc := range testCases {
		t.Run(fmt.Sprint(tc.pace), func(t *testing.T) {
			g := simul.NewGroup(7, ranks, entries)
			g.Run(3 * time.Second)
			g.SetPace(slow, tc.pace)
			drained := g.Run(tc.drain)
			during := g.Run(8*time.Second - tc.drain)
			running := g.Running(slow)
			g.SetPace(slow, 1)
			after := g.Run(2 * time.Second)
			used := g.Running(slow)
			g.Run(2 * time.Second)
			t.Logf("on time: %.3f at first, %.3f then, %.3f afterwards", g.OnTime(drained), g.OnTime(during), g.OnTime(after))
			require.GreaterOrEqual(t, g.OnTime(during), 0.97)
			require.GreaterOrEqual(t, g.OnTime(after), 0.97)
			require.Equal(t, tc.pace > 1, running == 0, "requests at the slow rank")
			require.NotZero(t, used, "the rank is used again")
		})
	}
}

// TestStartedEndpointIsNeitherFloodedNorIdle has twelve entries with requests for two endpoints find
// a third one at the same time. It guards against entries that all send there at once, and
// against shares that leave it idle though it bears its part.
func TestStartedEndpointIsNeitherFloodedNorIdle(t *testing.T) {
	// Most is the room that entries give an endpoint of a plain service.
	const demand, runTime, most = 80.0, 100 * time.Millisecond, simul.ServerSlots + 4
	testCases := []struct {
		name string
		// cold is how long the endpoint needs six times as long for a request, without notice.
		cold time.Duration
		// active is the number of entries that have requests, and most bounds those at the endpoint.
		active, most int
	}{
		{"warm", 0, entries, most},
		{"cold", 4 * time.Second, entries, most * 3 / 2},
		{"warm, and few entries have requests", 0, 2, most},
	}
	for _, tc := range testCases {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(tc.name, seed), func(t *testing.T) {
				p := simul.NewSite(seed, demand, entries)
				p.SetActive(tc.active)
				p.Add(runTime, 0)
				p.Add(runTime, 0)
				p.Run(2 * time.Second)
				started := p.Add(runTime, 0)
				startedAt := p.Now()
				started.ColdTime, started.WarmAt = 6*runTime, startedAt.Add(tc.cold)
				p.Run(tc.cold + 5*time.Second)
				share := float64(started.Sent(p.Now().Add(-2*time.Second), p.Now())) / 2
				atOnce := started.Sent(startedAt, startedAt.Add(100*time.Millisecond))
				t.Logf("at once %d, highest %d, then %.1f requests per second, %d refused", atOnce, started.Highest(), share, p.Refused())
				require.LessOrEqual(t, atOnce, simul.ServerSlots, "it isn't overloaded when it starts")
				require.LessOrEqual(t, started.Highest(), tc.most)
				require.GreaterOrEqual(t, share, demand/3/2, "half of its part")
			})
		}
	}
}

// TestEndpointThatFailsAtOnceGetsFewRequests guards against fast errors and refusals that raise the
// pace of an endpoint, as it always looks idle. It is used again once it serves requests.
func TestEndpointThatFailsAtOnceGetsFewRequests(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		p := simul.NewSite(1, 80, entries)
		p.Add(100*time.Millisecond, 0)
		p.Add(100*time.Millisecond, 0)
		p.Run(2 * time.Second)
		started, startedAt := p.Add(100*time.Millisecond, 0), p.Now()
		started.Refuses, started.Fails = refuses, !refuses
		p.Run(4 * time.Second)
		failed := float64(started.Sent(startedAt, p.Now())) / 4
		started.Refuses, started.Fails = false, false
		p.Run(6 * time.Second)
		share := float64(started.Sent(p.Now().Add(-2*time.Second), p.Now())) / 2
		t.Logf("%.1f requests per second, then %.1f", failed, share)
		require.LessOrEqual(t, failed, 10.0)
		require.GreaterOrEqual(t, share, 13.0)
	}
}

// TestPausedEndpointIsNotFloodedWhenItRecovers has all entries learn of the same pause, and
// checks what the endpoint gets when it ends.
func TestPausedEndpointIsNotFloodedWhenItRecovers(t *testing.T) {
	p := simul.NewSite(1, 80, entries)
	var servers []*simul.Server
	for range 3 {
		servers = append(servers, p.Add(100*time.Millisecond, 0))
	}
	p.Run(4 * time.Second)
	const pause = time.Second
	paused, until := servers[1], p.Now().Add(pause)
	p.Pause(paused, pause)
	p.Run(pause + 4*time.Second)
	require.Zero(t, paused.Sent(until.Add(-pause), until))
	require.LessOrEqual(t, paused.Sent(until, until.Add(100*time.Millisecond)), 3)
	require.GreaterOrEqual(t, paused.Sent(p.Now().Add(-2*time.Second), p.Now()), 26)
}

// TestEndpointsThatRecoverTogetherServeTheirCallers guards against entries that refuse requests
// since all endpoints have recovered from the same pause.
func TestEndpointsThatRecoverTogetherServeTheirCallers(t *testing.T) {
	for seed := range uint64(4) {
		p := simul.NewSite(seed, 28, entries, sched.WithColdLimit(func() sched.ColdLimit { return sched.ColdLimit{Rate: 17, MaxRate: 30.5, Entries: entries} }))
		var servers []*simul.Server
		for range 4 {
			servers = append(servers, p.Add(80*time.Millisecond, 0))
		}
		p.Run(12 * time.Second)
		for _, server := range servers {
			p.Pause(server, time.Second)
		}
		p.Run(time.Second)
		p.Run(time.Second)
		require.LessOrEqual(t, p.Refused(), 2)
	}
}

// TestColdEndpointStaysWithinItsLimit guards against a pace above the limit of an endpoint that is
// cold, whether it bears more or not, and against a flood when its cold time ends.
func TestColdEndpointStaysWithinItsLimit(t *testing.T) {
	const rate, demand = 17.0, 100.0
	const maxRate = rate*1.5 + 5
	coldLimit := sched.WithColdLimit(func() sched.ColdLimit { return sched.ColdLimit{Rate: rate, MaxRate: maxRate, Entries: entries} })
	for _, coldTime := range []time.Duration{100 * time.Millisecond, 350 * time.Millisecond} {
		p := simul.NewSite(1, demand, entries, coldLimit)
		p.Add(100*time.Millisecond, 0)
		p.Add(100*time.Millisecond, 0)
		p.Run(2 * time.Second)
		cold, until := p.Add(100*time.Millisecond, 3*time.Second), p.Now().Add(3*time.Second)
		cold.ColdTime, cold.WarmAt = coldTime, until
		p.Run(3 * time.Second)
		during := cold.MostSent(time.Second)
		p.Run(4 * time.Second)
		atOnce := cold.Sent(until, until.Add(100*time.Millisecond))
		share := float64(cold.Sent(p.Now().Add(-2*time.Second), p.Now())) / 2
		t.Logf("within a second %d, at the end at once %d, then %.1f requests per second", during, atOnce, share)
		require.LessOrEqual(t, float64(during), maxRate)
		require.LessOrEqual(t, atOnce, 10)
		require.GreaterOrEqual(t, share, demand/3/2)
	}
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
			p := simul.NewSite(seed, demand, entries)
			var servers []*simul.Server
			for range 4 {
				servers = append(servers, p.Add(runTime, 0))
			}
			p.Run(8 * time.Second)
			slow := servers[2]
			slow.RunTime = time.Duration(tc.slower * float64(runTime))
			p.Run(time.Second)
			first := p.Within(target)
			p.Run(7 * time.Second)
			onTime, rate := p.Within(target), float64(slow.Sent(p.Now().Add(-7*time.Second), p.Now()))/7
			slow.RunTime = runTime
			p.Run(15 * time.Second)
			after := float64(slow.Sent(p.Now().Add(-5*time.Second), p.Now())) / 5
			t.Logf("%v times slower: on time %.3f in the first second, %.3f then; %.1f requests per second, %.1f after it has recovered",
				tc.slower, first, onTime, rate, after)
			require.GreaterOrEqual(t, onTime, tc.onTime)
			require.LessOrEqual(t, rate, tc.most)
			require.GreaterOrEqual(t, after, demand/4/2, "half of its part")
		}
	}
}
