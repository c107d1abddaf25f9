package edge

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// hostOf returns the address of an endpoint's host.
func hostOf(endpoint int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(endpoint + 1)}) }

// newModelService returns a model service whose endpoints have some slots each.
func newModelService(endpoints, slots int) *sched.Service {
	s := sched.New("model", "here", zap.NewNop())
	var specs []*table.Endpoint
	for i := range endpoints {
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{
			ID: fmt.Sprint(i), Service: "model", Address: netip.AddrPortFrom(hostOf(i), 80), DataCentre: "here", Slots: slots,
		}))
	}
	s.Update(specs, true, func(string) bool { return false }, 1)
	return s
}

// newEntry returns an entry that isn't running.
func newEntry(t *testing.T) *Entry {
	settings, err := prefs.ParseEdge("entry.jsonc", []byte(`{"name": "e", "data_centre": "here", "ip": "127.0.0.1", "peer_port": 7000,
		"admin_listen": "127.0.0.1:7001", "listen": "127.0.0.1:7002", "ready_listen": "127.0.0.1:7003",
		"directory_listen": "127.0.0.1:7004", "store": "127.0.0.1:7005", "stop_bound_s": 3, "retry_ratio": 0.2, "retry_extra": 50,
		"retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5, "log_level": "error"}`))
	require.NoError(t, err)
	entry, err := New(settings, zap.NewNop())
	require.NoError(t, err)
	return entry
}

// TestSilenceAloneEndsNoAnswer has a stream at an endpoint that fell silent with
// its agent. It is given up only if it may go on elsewhere.
func TestSilenceAloneEndsNoAnswer(t *testing.T) {
	entry := newEntry(t)
	testCases := []struct {
		name     string
		sends    int
		others   int
		resume   bool
		silent   bool
		given    bool
		attempts int
	}{
		{name: "another endpoint has room", others: 1, resume: true, silent: true, attempts: 2, given: true},
		{name: "no other endpoint", resume: true, silent: true, attempts: 2},
		{name: "no attempt is left", sends: 1, others: 1, resume: true, silent: true, attempts: 2},
		{name: "it can't be resumed", others: 1, silent: true, attempts: 2},
		{name: "the agent is heard", others: 1, resume: true, attempts: 2},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newModelService(1+tc.others, 4)
			given, err := s.Acquire(context.Background(), sched.Request{})
			require.NoError(t, err)
			speak := func() {
				for i := range 1 + tc.others {
					if address := hostOf(i); address != given.Endpoint().Address().Addr() || !tc.silent {
						s.UpdateFromAgent(address, sched.AgentReport{Accepting: true})
					}
				}
			}
			s.UpdateFromAgent(given.Endpoint().Address().Addr(), sched.AgentReport{Accepting: true})
			speak()
			spoken := make(chan struct{})
			go func() {
				defer close(spoken)
				for range 40 {
					time.Sleep(25 * time.Millisecond)
					speak()
				}
			}()
			r := &request{
				entry: entry, service: s, picture: entry.picture.Load(), sends: tc.sends,
				tried: map[string]bool{given.Endpoint().ID(): true},
				route: table.NewRoute(table.RouteSpec{Name: "r", Semantics: table.Stream, Resumable: tc.resume, MaxAttempts: tc.attempts}),
			}
			ctx, _, stop := r.guard(context.Background(), given)
			defer stop()
			select {
			case <-ctx.Done():
				require.ErrorIs(t, context.Cause(ctx), errQuiet)
				require.True(t, tc.given)
			case <-time.After(quietBound + 3*quietCheck):
				require.False(t, tc.given)
			}
			<-spoken
		})
	}
}
