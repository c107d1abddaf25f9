package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// TestEachPace checks what is reported as metrics.
func TestEachPace(t *testing.T) {
	s := newModelService(2, 4)
	s.isModelService, s.meanRunTime = false, time.Second
	s.startRamp(s.endpoints[1], s.now(), "test")
	paces := make(map[string]EndpointPace)
	s.EachPace(func(endpoint *table.Endpoint, pace EndpointPace) { paces[endpoint.ID()] = pace })
	require.Zero(t, paces["a"].RampRate)
	require.Positive(t, paces["b"].RampRate)
	require.Equal(t, s.meanRunTime, paces["b"].ResponseTime, "it has no responses yet")

	g := newModelService(2, 4)
	require.True(t, g.UpdateFromAgent(g.endpoints[0].spec.Address().Addr(), AgentReport{Accepting: true, Pace: 6}))
	g.loads(nil, g.now())
	g.EachPace(func(endpoint *table.Endpoint, pace EndpointPace) { paces[endpoint.ID()] = pace })
	require.Equal(t, EndpointPace{ExcludedAt: 6}, paces["a"])
	require.Zero(t, paces["b"])
}

// TestEntryThatJoinsUsesItsEndpoints guards against an entry that holds back all endpoints since
// it knows none of them.
func TestEntryThatJoinsUsesItsEndpoints(t *testing.T) {
	joining := New("plain", "here", zap.NewNop())
	var specs []*table.Endpoint
	for i := range 2 {
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "plain", Slots: 6}))
	}
	joining.Update(specs, false, func(string) bool { return false }, 1)
	for range 2 * 6 {
		_, w, err := joining.Admit(Request{})
		require.NoError(t, err)
		require.Nil(t, w)
	}
}
