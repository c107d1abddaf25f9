package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// TestAgentsAreNamedOnlyToThoseWhoDoNotKnowThem has agents show what they know, fall
// silent and join.
func TestAgentsAreNamedOnlyToThoseWhoDoNotKnowThem(t *testing.T) {
	const endpoints = 4
	s := newEngineService(endpoints, 8)
	var agents []netip.AddrPort
	for _, e := range s.endpoints {
		agents = append(agents, netip.AddrPortFrom(e.spec.Address().Addr(), 7900))
	}
	now := time.Now()
	informed, uninformed := s.informed(agents, now)
	require.Empty(t, informed, "none was heard")
	require.Equal(t, agents, uninformed)

	current := dgram.Fingerprint(agents)
	for i, agent := range agents {
		load := &wirepb.Load{Open: true, Reachable: true, AgentsKnown: current}
		if i == 1 {
			load.AgentsKnown = dgram.Fingerprint(agents[:2])
		}
		require.True(t, s.heardFrom(agent.Addr(), load))
	}
	informed, uninformed = s.informed(agents, time.Now())
	require.Equal(t, []netip.AddrPort{agents[0], agents[2], agents[3]}, informed)
	require.Equal(t, []netip.AddrPort{agents[1]}, uninformed)

	informed, _ = s.informed(agents, time.Now().Add(agentSilence+time.Millisecond))
	require.Empty(t, informed, "one that is silent may have started anew")
	informed, _ = s.informed(append(agents, netip.MustParseAddrPort("10.0.0.9:7900")), time.Now())
	require.Empty(t, informed, "an agent has joined")
}
