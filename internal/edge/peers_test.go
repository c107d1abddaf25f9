package edge

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// TestAgentListIsSentOnlyWhereUnknown checks that the list of agents is sent
// only to agents that do not report its fingerprint, also after an agent has joined.
func TestAgentListIsSentOnlyWhereUnknown(t *testing.T) {
	const endpoints = 4
	s := newModelService(endpoints, 8, zap.NewNop())
	var agents []netip.AddrPort
	for i := range endpoints {
		agents = append(agents, netip.AddrPortFrom(hostOf(i), 7900))
	}
	always, never := func() bool { return true }, func() bool { return false }
	short, full := subscriptionTargets(agents, dgram.Fingerprint(agents), s.AgentsKnown(), false, always)
	require.Empty(t, short)
	require.Equal(t, agents, full, "no agent was heard")
	short, full = subscriptionTargets(agents, dgram.Fingerprint(agents), s.AgentsKnown(), false, never)
	require.Equal(t, agents, short, "agents that were not heard are asked even if another entry sends the list")
	require.Empty(t, full)

	for i, agent := range agents {
		load := &wirepb.Load{Open: true, Reachable: true, AgentsKnown: dgram.Fingerprint(agents)}
		if i == 1 {
			load.AgentsKnown = dgram.Fingerprint(agents[:2])
		}
		require.True(t, s.UpdateFromAgent(agent.Addr(), decodeLoad(load)))
	}
	short, full = subscriptionTargets(agents, dgram.Fingerprint(agents), s.AgentsKnown(), false, always)
	require.Empty(t, short, "no renewal is due")
	require.Equal(t, []netip.AddrPort{agents[1]}, full)
	short, full = subscriptionTargets(agents, dgram.Fingerprint(agents), s.AgentsKnown(), true, always)
	require.Equal(t, []netip.AddrPort{agents[0], agents[2], agents[3]}, short)
	require.Equal(t, []netip.AddrPort{agents[1]}, full)

	joined := append(agents, netip.MustParseAddrPort("10.0.0.9:7900"))
	_, full = subscriptionTargets(joined, dgram.Fingerprint(joined), s.AgentsKnown(), false, always)
	require.Equal(t, joined, full, "an agent has joined")
}

// TestAgentsAreAskedAsSoonAsTheyAreKnown guards against a delay of the first
// subscriptions: a call without a routing table must not count as a renewal.
func TestAgentsAreAskedAsSoonAsTheyAreKnown(t *testing.T) {
	entry := newEntry(t)
	require.False(t, entry.peers.subscribe(true))
}
