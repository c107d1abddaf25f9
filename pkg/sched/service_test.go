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

// fleetSizes are the entries of the sites, grown sites and the size to design for.
var fleetSizes = []int{1, 6, 7, 31, 34, 105, 340}

// TestAllEntriesTogetherSpareColdEndpoints has all entries send to one cold endpoint
// as fast as they may, with the figures of the sites: half as much more than it bears,
// and five, may come in no second.
func TestAllEntriesTogetherSpareColdEndpoints(t *testing.T) {
	for _, bears := range []float64{17, 22, 26, 36} {
		for _, members := range fleetSizes {
			t.Run(fmt.Sprintf("%v/%d", bears, members), func(t *testing.T) {
				bound := bears*1.5 + 5
				allowed := ColdLimit{Rate: bears, MaxRate: bound, Entries: members}.planned()
				cold := make([]endpoint, members)
				var sent []time.Time
				start := time.Unix(1000, 0)
				for now := start; now.Sub(start) < 6*time.Second; now = now.Add(5 * time.Millisecond) {
					for i := range cold {
						if !cold[i].isSpent(now, allowed, rand.N[time.Duration]) {
							cold[i].sent = append(cold[i].sent, now)
							sent = append(sent, now)
						}
					}
				}
				require.NotEmpty(t, sent)
				for first, last := 0, 0; last < len(sent); last++ {
					for sent[last].Sub(sent[first]) >= time.Second {
						first++
					}
					require.LessOrEqual(t, float64(last-first+1), bound, "at %v", sent[last].Sub(start))
				}
			})
		}
	}
}

// TestWhatASilentAgentKnewIsForgotten has an agent speak and fall silent: it may have
// started anew.
func TestWhatASilentAgentKnewIsForgotten(t *testing.T) {
	s := newEngineService(2, 4)
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	host := s.endpoints[1].spec.Address().Addr()
	require.True(t, s.UpdateFromAgent(host, AgentReport{Accepting: true, AgentsKnown: 7}))
	require.False(t, s.UpdateFromAgent(netip.MustParseAddr("10.9.9.9"), AgentReport{Accepting: true}), "no endpoint is there")
	now = now.Add(agentSilence)
	require.Equal(t, map[netip.Addr]uint32{host: 7}, s.AgentsKnown())
	now = now.Add(time.Millisecond)
	require.Empty(t, s.AgentsKnown())
}

// TestEntriesThatAreNoMembersYetSpareColdEndpoints has entries start together with all
// endpoints and serve a crowd that waits at each of them, while none knows of another
// but by the reports of agents.
func TestEntriesThatAreNoMembersYetSpareColdEndpoints(t *testing.T) {
	const entries, endpoints, slots, bears = 34, 12, 30, 22.0
	most := bears*1.5 + 5
	now := time.Unix(1000, 0)
	sent := make(map[string]int)
	for range entries {
		s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return now }),
			WithColdLimit(func() ColdLimit { return ColdLimit{Rate: bears, MaxRate: most, Entries: 1} }))
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
			if given, w, err := s.Admit(Request{}); err == nil && w == nil {
				sent[given.Endpoint().ID()]++
			}
		}
	}
	for id, count := range sent {
		require.LessOrEqual(t, float64(count), most, id)
	}
}

// TestDecisionsRepeat has two services of the same clock and seed decide alike, as an
// emulator needs.
func TestDecisionsRepeat(t *testing.T) {
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
			given, _, err := s.Admit(Request{})
			require.NoError(t, err)
			chosen = append(chosen, given.Endpoint().ID())
		}
		return chosen
	}
	require.Equal(t, decide(1), decide(1))
	require.NotEqual(t, decide(1), decide(2))
}
