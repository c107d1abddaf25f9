package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// TestSilenceAloneEndsNoAnswer has a stream at an endpoint that fell silent with
// its agent. It is given up only if it may go on elsewhere.
func TestSilenceAloneEndsNoAnswer(t *testing.T) {
	settings, err := prefs.ParseEdge("entry.jsonc", []byte(`{"name": "e", "data_centre": "here", "ip": "127.0.0.1", "peer_port": 7000,
		"admin_listen": "127.0.0.1:7001", "listen": "127.0.0.1:7002", "ready_listen": "127.0.0.1:7003",
		"directory_listen": "127.0.0.1:7004", "store": "127.0.0.1:7005", "stop_bound_s": 3, "retry_ratio": 0.2, "retry_extra": 50,
		"retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5, "log_level": "error"}`))
	require.NoError(t, err)
	entry, err := New(settings, zap.NewNop())
	require.NoError(t, err)
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
			s := newEngineService(1+tc.others, 4)
			now := time.Now()
			for _, e := range s.endpoints {
				e.agent, e.heard = true, now.Add(time.Hour)
			}
			if tc.silent {
				s.endpoints[0].heard = now.Add(-agentSilence)
			}
			r := &request{
				entry: entry, service: s, picture: entry.picture.Load(), sends: tc.sends,
				tried: map[string]bool{s.endpoints[0].spec.ID(): true},
				route: table.NewRoute(table.RouteSpec{Name: "r", Repeat: table.Stream, Resumable: tc.resume, Attempts: tc.attempts}),
			}
			ctx, _, stop := r.guard(context.Background(), seat{endpoint: s.endpoints[0], spec: s.endpoints[0].spec})
			defer stop()
			select {
			case <-ctx.Done():
				require.ErrorIs(t, context.Cause(ctx), errQuiet)
				require.True(t, tc.given)
			case <-time.After(quietBound + 3*quietCheck):
				require.False(t, tc.given)
			}
		})
	}
}
