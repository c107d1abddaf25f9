package edge

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// TestAgentsAreNamedOnlyToThoseWhoDoNotKnowThem has agents show what they know, and
// one more join.
func TestAgentsAreNamedOnlyToThoseWhoDoNotKnowThem(t *testing.T) {
	const endpoints = 4
	s := newModelService(endpoints, 8)
	var agents []netip.AddrPort
	for i := range endpoints {
		agents = append(agents, netip.AddrPortFrom(hostOf(i), 7900))
	}
	always, never := func() bool { return true }, func() bool { return false }
	short, full := toAsk(agents, s.AgentsKnown(), false, always)
	require.Empty(t, short)
	require.Equal(t, agents, full, "none was heard")
	short, full = toAsk(agents, s.AgentsKnown(), false, never)
	require.Equal(t, agents, short, "they are asked at once, and told by others")
	require.Empty(t, full)

	for i, agent := range agents {
		load := &wirepb.Load{Open: true, Reachable: true, AgentsKnown: dgram.Fingerprint(agents)}
		if i == 1 {
			load.AgentsKnown = dgram.Fingerprint(agents[:2])
		}
		require.True(t, s.UpdateFromAgent(agent.Addr(), reportOf(load)))
	}
	short, full = toAsk(agents, s.AgentsKnown(), false, always)
	require.Empty(t, short, "no round is due")
	require.Equal(t, []netip.AddrPort{agents[1]}, full)
	short, full = toAsk(agents, s.AgentsKnown(), true, always)
	require.Equal(t, []netip.AddrPort{agents[0], agents[2], agents[3]}, short)
	require.Equal(t, []netip.AddrPort{agents[1]}, full)

	joined := append(agents, netip.MustParseAddrPort("10.0.0.9:7900"))
	_, full = toAsk(joined, s.AgentsKnown(), false, always)
	require.Equal(t, joined, full, "an agent has joined")
}

// TestAgentsAreAskedAsSoonAsTheyAreKnown starts an entry that knows no configuration
// yet: its round isn't spent on that.
func TestAgentsAreAskedAsSoonAsTheyAreKnown(t *testing.T) {
	entry := newEntry(t)
	require.False(t, entry.peers.subscribe(true))
}
