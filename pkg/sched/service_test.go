package sched

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// fleetSizes are the numbers of entries of the sites, of the grown sites and of the
// largest fleet that the system is designed for.
var fleetSizes = []int{1, 6, 7, 31, 34, 105, 340}

// TestColdLimitHoldsOverAllEntries has all entries send to one cold endpoint as fast as
// its limit allows, with the rates of the sites. In no second may the endpoint get more
// than 1.5 times its rate plus five requests.
func TestColdLimitHoldsOverAllEntries(t *testing.T) {
	for _, rate := range []float64{17, 22, 26, 36} {
		for _, members := range fleetSizes {
			t.Run(fmt.Sprintf("%v/%d", rate, members), func(t *testing.T) {
				maxRate := rate*1.5 + 5
				limit := ColdLimit{Rate: rate, MaxRate: maxRate, Entries: members}.withPeriod()
				endpoints := make([]endpoint, members)
				var sent []time.Time
				start := time.Unix(1000, 0)
				for now := start; now.Sub(start) < 6*time.Second; now = now.Add(5 * time.Millisecond) {
					for i := range endpoints {
						if !endpoints[i].isThrottled(now, limit, rand.N[time.Duration]) {
							endpoints[i].coldSends = append(endpoints[i].coldSends, now)
							sent = append(sent, now)
						}
					}
				}
				require.NotEmpty(t, sent)
				for first, last := 0, 0; last < len(sent); last++ {
					for sent[last].Sub(sent[first]) >= time.Second {
						first++
					}
					require.LessOrEqual(t, float64(last-first+1), maxRate, "at %v", sent[last].Sub(start))
				}
			})
		}
	}
}

// TestAgentsKnownLeavesOutSilentAgents has an agent report and fall silent. It may have
// restarted since, so that its last fingerprint no longer holds.
func TestAgentsKnownLeavesOutSilentAgents(t *testing.T) {
	s := newModelService(2, 4)
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	host := s.endpoints[1].spec.Address().Addr()
	require.True(t, s.UpdateFromAgent(host, AgentReport{Accepting: true, AgentsKnown: 7}))
	require.False(t, s.UpdateFromAgent(netip.MustParseAddr("10.9.9.9"), AgentReport{Accepting: true}), "no endpoint has that address")
	now = now.Add(agentTimeout)
	require.Equal(t, map[netip.Addr]uint32{host: 7}, s.AgentsKnown())
	now = now.Add(time.Millisecond)
	require.Empty(t, s.AgentsKnown())
}

// TestColdLimitHoldsBeforeMembership has entries start together with all endpoints,
// with many requests waiting at each entry. No entry is a member yet, so each learns
// the number of entries only from the agents' reports.
func TestColdLimitHoldsBeforeMembership(t *testing.T) {
	const entries, endpoints, slots, rate = 34, 12, 30, 22.0
	maxRate := rate*1.5 + 5
	now := time.Unix(1000, 0)
	sent := make(map[string]int)
	for range entries {
		s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return now }),
			WithColdLimit(func() ColdLimit { return ColdLimit{Rate: rate, MaxRate: maxRate, Entries: 1} }))
		var specs []*table.Endpoint
		for i := range endpoints {
			specs = append(specs, table.NewEndpoint(table.EndpointSpec{
				ID: fmt.Sprint(i), Service: "model", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
				Slots: slots, ColdFor: 3 * time.Second,
			}))
		}
		s.Update(specs, true, func(string) bool { return false }, 1)
		for i := range endpoints {
			s.UpdateFromAgent(specs[i].Address().Addr(), AgentReport{Accepting: true, Entries: entries})
		}
		for range 100 {
			if assignment, w, err := s.Admit(Request{}); err == nil && w == nil {
				sent[assignment.Endpoint().ID()]++
			}
		}
	}
	for id, count := range sent {
		require.LessOrEqual(t, float64(count), maxRate, id)
	}
}

// TestDecisionsAreReproducible checks that two services with the same clock and seed
// choose the same endpoints, as simulations require.
func TestDecisionsAreReproducible(t *testing.T) {
	decide := func(seed uint64) (chosen []string) {
		now := time.Unix(1000, 0)
		s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return now }), WithRandom(rand.NewPCG(seed, 1)))
		var specs []*table.Endpoint
		for i := range 12 {
			specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "model", Slots: 8}))
		}
		s.Update(specs, true, func(string) bool { return false }, 1)
		for range 60 {
			now = now.Add(10 * time.Millisecond)
			assignment, _, err := s.Admit(Request{})
			require.NoError(t, err)
			chosen = append(chosen, assignment.Endpoint().ID())
		}
		return chosen
	}
	require.Equal(t, decide(1), decide(1))
	require.NotEqual(t, decide(1), decide(2))
}
