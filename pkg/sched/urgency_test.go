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
	const teams = "aaaaaabbcd"
	s := newModelService(1, 4)
	admitAll(t, s, Request{Priority: 1})
	var waiters []*Waiter
	for _, team := range teams {
		req := Request{Team: string(team), Priority: 1, MaxWait: time.Minute}
		if team == 'd' {
			req.Priority = 0
		}
		_, w, err := s.Admit(req)
		require.NoError(t, err)
		waiters = append(waiters, w)
	}
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

// sendHellos has each entry send its level to all others but one.
func sendHellos(p *play) {
	for from, sender := range p.services {
		pressure, ok := sender.UpdatePressure()
		for to, receiver := range p.services {
			if ok && to != from && to != (from+1)%playEntries {
				receiver.ReceivePressure(fmt.Sprint(from), pressure)
			}
		}
	}
}

// TestEntriesAgreeOnTheLevel plays an overload in which half of the entries get only the most
// urgent requests and the others none of them. It guards against an entry that sends its less
// urgent requests while most urgent ones find no slot at another entry, and against failures of
// the exchange: an entry that hears nobody uses its own view, and one that sends false levels
// changes little.
func TestEntriesAgreeOnTheLevel(t *testing.T) {
	falseLevels := func(thousandths int32) func(*play) {
		return func(p *play) {
			sendHellos(p)
			for _, s := range p.services {
				s.ReceivePressure("false", NewPressure("model", level.FromThousandths(thousandths), 0))
			}
		}
	}
	testCases := []struct {
		name     string
		exchange func(*play)
		least    float64
	}{
		{"nobody is heard", nil, 0.9},
		{"all are heard", sendHellos, 0.95},
		{"one sends that all is open", falseLevels(1 << 30), 0.94},
		{"one sends that nothing is admitted", falseLevels(-1 << 30), 0.95},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			_, value, urgent := playAll(play{mostUrgent: 1.7, others: 1.7, skew: 1.7, separated: true, exchange: tc.exchange}, 6)
			t.Logf("value %.3f, of the most urgent kind in the overload %.3f", value, urgent)
			require.GreaterOrEqual(t, urgent, tc.least)
			require.GreaterOrEqual(t, value, 0.85)
		})
	}
}

// TestLevelFollowsWithinTheLongestWait guards against entries that go on to admit less urgent
// requests for longer than the longest wait in a queue after the group has become full, and
// against levels that outlast the agents' reports. The last entry gets no urgent requests.
func TestLevelFollowsWithinTheLongestWait(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &play{}
	for range playEntries {
		p.services = append(p.services, newGroupService(12, 4, 60*time.Millisecond, &now))
	}
	last := p.services[playEntries-1]
	hellos := func(count, running int) {
		for range count {
			now = now.Add(200 * time.Millisecond)
			for _, s := range p.services {
				req := Request{Priority: 0}
				if s == last {
					req.Priority = 2
				}
				report(s, running, 60*time.Millisecond)
				s.kinds.countOffered(req.kind(), now)
				s.kinds.countSent(req.kind(), now)
			}
			sendHellos(p)
		}
	}
	hellos(10, 4)
	require.Equal(t, level.Level(3), last.agreement.Level())
	full := now
	for last.agreement.Level() > 2 {
		hellos(1, 10)
		require.LessOrEqual(t, now.Sub(full), last.MaxWait(time.Second))
	}
	hellos(5, 10)
	require.False(t, last.HasCapacity(Request{Priority: 2}))
	now = now.Add(agentTimeout + 1)
	_, ok := last.UpdatePressure()
	require.False(t, ok, "no agent reports")
	require.True(t, last.HasCapacity(Request{Priority: 2}))
	hellos(20, 4)
	require.Equal(t, level.Level(3), last.agreement.Level())
}
