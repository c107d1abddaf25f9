package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/level"
)

// TestTeamsTakeTurns guards against a team with many queued requests that delays those of others
// of the same kind, and against turns that outweigh urgency.
func TestTeamsTakeTurns(t *testing.T) {
	s := newModelService(1, 4)
	for range 4 + replicaExtra {
		_, _, err := s.Admit(Request{Priority: 1})
		require.NoError(t, err)
	}
	var waiters []*Waiter
	var teams string
	wait := func(team string, priority int) {
		_, w, err := s.Admit(Request{Team: team, Priority: priority, MaxWait: time.Minute})
		require.NoError(t, err)
		waiters, teams = append(waiters, w), teams+team
	}
	for range 6 {
		wait("a", 1)
	}
	wait("b", 1)
	wait("b", 1)
	wait("c", 1)
	wait("d", 0)
	order := ""
	for range waiters {
		s.Release(Assignment{endpoint: s.endpoints[0], spec: s.endpoints[0].spec})
		for i, w := range waiters {
			if len(w.Assigned()) > 0 {
				<-w.Assigned()
				order += teams[i : i+1]
			}
		}
	}
	require.Equal(t, "dabcabaaaa", order)
}

// playSeparated plays an overload in which half of the entries get only the most urgent requests
// and the others none of them. It returns the share of the most urgent requests on time in the
// overload, and the value of all requests.
func playSeparated(exchange func(*play)) (urgent, value float64) {
	const seeds = 6
	for seed := range uint64(seeds) {
		p := newPlay()
		p.separated, p.exchange = true, exchange
		p.load = func(_ int, at time.Duration) float64 { return during(1, 1.7)(at) }
		p.run(14*time.Second, seed)
		urgent += p.mean(4*time.Second, 10*time.Second, func(r *playRequest) bool { return r.kind == 0 }) / seeds
		value += p.mean(0, 14*time.Second, func(*playRequest) bool { return true }) / seeds
	}
	return urgent, value
}

// TestEntriesAgreeOnTheLevel guards against an entry that sends its less urgent requests while
// most urgent ones find no slot at another entry, and against failures of the exchange: an entry
// that hears nobody uses its own view, and one that sends false levels changes little.
func TestEntriesAgreeOnTheLevel(t *testing.T) {
	falseLevels := func(thousandths int32) func(*play) {
		return func(p *play) {
			sendHellos(p)
			for _, s := range p.services {
				s.ReceivePressure("false", NewPressure("model", level.FromThousandths(thousandths), 0))
			}
		}
	}
	aloneUrgent, aloneValue := playSeparated(nil)
	testCases := []struct {
		name     string
		exchange func(*play)
	}{
		{name: "all are heard", exchange: sendHellos},
		{name: "one sends that all is open", exchange: falseLevels(1 << 30)},
		{name: "one sends that nothing is admitted", exchange: falseLevels(-1 << 30)},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			urgent, value := playSeparated(tc.exchange)
			t.Logf("most urgent %.3f, alone %.3f; value %.3f, alone %.3f", urgent, aloneUrgent, value, aloneValue)
			require.GreaterOrEqual(t, urgent, 0.95)
			require.GreaterOrEqual(t, value, aloneValue-0.03)
		})
	}
	require.GreaterOrEqual(t, aloneUrgent, 0.9, "an entry that hears nobody holds back by its own view")
}

// TestLevelFollowsWithinTheLongestWait guards against entries that go on to admit less urgent
// requests for longer than the longest wait in a queue after the group has become full, and
// against levels that outlast the reports and the hellos that they follow from.
func TestLevelFollowsWithinTheLongestWait(t *testing.T) {
	now := time.Unix(1000, 0)
	const entries = 4
	var services []*Service
	for range entries {
		services = append(services, newGroupService(12, 4, 60*time.Millisecond, &now))
	}
	// Only the first entries get the most urgent requests.
	hello := func(running int) {
		now = now.Add(200 * time.Millisecond)
		for i, s := range services {
			report(s, running, 60*time.Millisecond)
			for range 4 {
				req := Request{Priority: 2}
				if i < entries-1 {
					req.Priority = 0
				}
				s.kinds.countOffered(req.kind(), now)
				s.kinds.countSent(req.kind(), now)
			}
		}
		for i, s := range services {
			if pressure, ok := s.UpdatePressure(); ok {
				for j, other := range services {
					if i != j {
						other.ReceivePressure(fmt.Sprint(i), pressure)
					}
				}
			}
		}
	}
	last := services[entries-1]
	for range 10 {
		hello(4)
	}
	require.Equal(t, level.Level(3), last.agreement.Level())
	longestWait := last.MaxWait(time.Second)
	full := now
	for last.agreement.Level() > 2 {
		hello(10)
		require.LessOrEqual(t, now.Sub(full), longestWait)
	}
	for range 5 {
		hello(10)
	}
	require.False(t, last.HasCapacity(Request{Priority: 2}))
	for range 20 {
		hello(4)
	}
	require.Equal(t, level.Level(3), last.agreement.Level())
	for range 10 {
		hello(10)
	}
	now = now.Add(agentTimeout + 1)
	_, ok := last.UpdatePressure()
	require.False(t, ok, "no agent reports")
	require.True(t, last.HasCapacity(Request{Priority: 2}))
}
