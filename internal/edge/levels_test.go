package edge

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/level"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// TestEntriesExchangeLevels guards against levels that get lost between two entries, and against
// ones of services that the receiver doesn't know.
func TestEntriesExchangeLevels(t *testing.T) {
	newService := func() *sched.Service {
		s := sched.New("model", "here", zap.NewNop())
		address := netip.MustParseAddrPort("10.0.0.1:80")
		s.Update([]*table.Endpoint{table.NewEndpoint(table.EndpointSpec{ID: "a", Service: "model", Address: address, Slots: 10})},
			true, func(string) bool { return false }, 1)
		require.True(t, s.UpdateFromAgent(address.Addr(), sched.AgentReport{Accepting: true, Running: 20}))
		for priority := range 3 {
			_, _, err := s.Admit(sched.Request{Priority: priority})
			require.ErrorIs(t, err, sched.ErrFull)
		}
		return s
	}
	sent := encodePressures([]*sched.Service{newService(), sched.New("plain", "here", zap.NewNop())})
	require.Len(t, sent, 1, "a plain service has no level")
	require.Equal(t, "model", sent[0].GetService())
	require.Equal(t, int32(1000), sent[0].GetLevelThousandths(), "only the most urgent requests are admitted")

	receiver := newService()
	entry := &Entry{services: map[string]*sched.Service{"model": receiver}}
	entry.settings.Store(&prefs.Edge{})
	p := newPeers(entry)
	p.receivePressures("other", append(sent, &wirepb.Pressure{Service: "unknown"}, nil))
	p.receivePressures("", sent)
	receiver.UpdatePressure()
	agreed, own, heard := receiver.Levels()
	require.Equal(t, 1, heard, "its own hello doesn't count")
	require.Equal(t, level.Level(1), agreed)
	require.Equal(t, level.Level(1), own)

	p.receivePressures("other", nil)
	receiver.UpdatePressure()
	agreed, _, _ = receiver.Levels()
	require.Greater(t, agreed, level.Level(1), "a hello without a level says that all are admitted")
}
