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
	knowing, others := informed(agents, s.AgentsKnown())
	require.Empty(t, knowing, "none was heard")
	require.Equal(t, agents, others)

	for i, agent := range agents {
		load := &wirepb.Load{Open: true, Reachable: true, AgentsKnown: dgram.Fingerprint(agents)}
		if i == 1 {
			load.AgentsKnown = dgram.Fingerprint(agents[:2])
		}
		require.True(t, s.Heard(agent.Addr(), reportOf(load)))
	}
	knowing, others = informed(agents, s.AgentsKnown())
	require.Equal(t, []netip.AddrPort{agents[0], agents[2], agents[3]}, knowing)
	require.Equal(t, []netip.AddrPort{agents[1]}, others)

	knowing, _ = informed(append(agents, netip.MustParseAddrPort("10.0.0.9:7900")), s.AgentsKnown())
	require.Empty(t, knowing, "an agent has joined")
}
