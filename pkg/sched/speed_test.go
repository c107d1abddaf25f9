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

// TestOnlySoundEndpointGetsRequests guards against a ramp that makes an entry refuse requests, or
// send them to an endpoint that leaves or fails, while an idle endpoint could serve them.
func TestOnlySoundEndpointGetsRequests(t *testing.T) {
	for _, state := range []string{"leaves", "fails", "refuses"} {
		s := New("plain", "here", zap.NewNop())
		specs := []*table.Endpoint{table.NewEndpoint(table.EndpointSpec{ID: "old", Service: "plain", Slots: 6})}
		s.Update(specs, false, func(string) bool { return false }, 1)
		assignment, _, err := s.Admit(Request{})
		require.NoError(t, err)
		switch state {
		case "leaves":
			s.RecordLeaving(assignment)
		case "fails":
			s.RecordFailure(assignment, "test")
		default:
			s.RecordGroupRefusal(assignment)
		}
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: "new", Service: "plain", Slots: 6}))
		s.Update(specs, false, func(string) bool { return false }, 2)
		require.True(t, s.endpoints[1].ramp.IsActive())
		s.Release(assignment)
		assignment = Assignment{}
		for range 6 {
			require.False(t, s.loads(nil, s.now())[1].Throttled, state)
			next, w, err := s.Admit(Request{})
			require.NoError(t, err)
			require.Nil(t, w)
			if state != "refuses" {
				require.Equal(t, "new", next.Endpoint().ID(), "an endpoint that has refused once is still used")
			}
			// The caller has the response before the request before it is released.
			if assignment.endpoint != nil {
				s.Release(assignment)
			}
			assignment = next
		}
	}
}
