package edge

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// hostOf returns the host address of an endpoint of newModelService.
func hostOf(endpoint int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(endpoint + 1)}) }

// newModelService returns a model service with a number of endpoints and slots in each.
func newModelService(endpoints, slots int, logger *zap.Logger) *sched.Service {
	s := sched.New("model", "here", logger)
	var specs []*table.Endpoint
	for i := range endpoints {
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{
			ID: fmt.Sprint(i), Service: "model", Address: netip.AddrPortFrom(hostOf(i), 80), DataCentre: "here", Slots: slots,
		}))
	}
	s.Update(specs, true, func(string) bool { return false }, 1)
	return s
}

// newEntry returns an entry that is not running.
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

// TestSilenceAloneCancelsNothing guards against cancelling a stream that cannot be resumed
// elsewhere. An attempt whose endpoint and agent are silent is cancelled only if an
// attempt is left and another endpoint has capacity.
func TestSilenceAloneCancelsNothing(t *testing.T) {
	entry := newEntry(t)
	testCases := []struct {
		name      string
		sendCount int
		others    int
		resume    bool
		silent    bool
		cancelled bool
		attempts  int
	}{
		{name: "another endpoint has capacity", others: 1, resume: true, silent: true, attempts: 2, cancelled: true},
		{name: "no other endpoint", resume: true, silent: true, attempts: 2},
		{name: "no attempt is left", sendCount: 1, others: 1, resume: true, silent: true, attempts: 2},
		{name: "not resumable", others: 1, silent: true, attempts: 2},
		{name: "agent not silent", others: 1, resume: true, attempts: 2},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newModelService(1+tc.others, 4, zap.NewNop())
			assignment, err := s.Acquire(context.Background(), sched.Request{})
			require.NoError(t, err)
			sendReports := func() {
				for i := range 1 + tc.others {
					if address := hostOf(i); address != assignment.Endpoint().Address().Addr() || !tc.silent {
						s.UpdateFromAgent(address, sched.AgentReport{Accepting: true})
					}
				}
			}
			s.UpdateFromAgent(assignment.Endpoint().Address().Addr(), sched.AgentReport{Accepting: true})
			sendReports()
			reported := make(chan struct{})
			go func() {
				defer close(reported)
				for range 40 {
					time.Sleep(25 * time.Millisecond)
					sendReports()
				}
			}()
			r := &request{
				entry: entry, service: s, view: entry.view.Load(), sendCount: tc.sendCount,
				tried: map[string]bool{assignment.Endpoint().ID(): true},
				route: table.NewRoute(table.RouteSpec{Name: "r", Semantics: table.Stream, Resumable: tc.resume, MaxAttempts: tc.attempts}),
			}
			ctx, _, stop := r.guardAttempt(context.Background(), assignment)
			defer stop()
			select {
			case <-ctx.Done():
				require.ErrorIs(t, context.Cause(ctx), errSilent)
				require.True(t, tc.cancelled)
			case <-time.After(silenceTimeout + 3*silenceCheckPeriod):
				require.False(t, tc.cancelled)
			}
			<-reported
		})
	}
}

// TestCallersThatLeaveAreNoFailures guards against endpoints that get no more requests because
// callers left while they received long responses.
func TestCallersThatLeaveAreNoFailures(t *testing.T) {
	entry := newEntry(t)
	core, logs := observer.New(zap.InfoLevel)
	s := newModelService(1, 4, zap.New(core))
	gone, leave := context.WithCancel(context.Background())
	leave()
	for _, ctx := range []context.Context{gone, context.Background()} {
		for range 20 {
			assignment, err := s.Acquire(context.Background(), sched.Request{})
			require.NoError(t, err)
			r := &request{entry: entry, service: s, route: table.NewRoute(table.RouteSpec{Name: "r"})}
			r.answered.Store(true)
			r.recordResult(ctx, assignment, interrupted, "")
			s.Release(assignment)
		}
		shunned := logs.FilterField(zap.Int("event", event.EndpointShunned.Number())).Len()
		require.Equal(t, ctx.Err() == nil, shunned > 0, "only an endpoint that breaks off has failed")
	}
}

// TestClientRetriesAreRecognized checks that a caller with less time left than callers of new
// requests on its route counts as one that comes back, and one that sends no timeout doesn't:
// requests that come back may wait for longer and get fewer slots after an outage.
func TestClientRetriesAreRecognized(t *testing.T) {
	entry := newEntry(t)
	route := table.NewRoute(table.RouteSpec{Name: "r", Timeout: 8 * time.Second})
	testCases := []struct {
		name string
		head platform.RequestHead
		want bool
	}{
		{name: "the whole time is left", head: platform.RequestHead{Timeout: 8 * time.Second}},
		{name: "less time than others, as callers' timeouts differ", head: platform.RequestHead{Timeout: 7 * time.Second}},
		{name: "some time was used", head: platform.RequestHead{Timeout: 6600 * time.Millisecond}, want: true},
		{name: "no timeout", head: platform.RequestHead{}},
		{name: "a stream is resumed", head: platform.RequestHead{LastEvent: "3"}, want: true},
	}
	for _, tc := range testCases {
		require.Equal(t, tc.want, entry.isClientRetry(&request{route: route, head: tc.head}), tc.name)
	}
}

// TestStreamsLeaveARankThatSlowsItsGroup guards against passes that stay long until the last
// stream on a slow rank has ended, and against streams that are moved while passes are short
// enough, or that can't be continued elsewhere.
func TestStreamsLeaveARankThatSlowsItsGroup(t *testing.T) {
	entry := newEntry(t)
	testCases := []struct {
		name   string
		pace   float64
		pass   time.Duration
		resume bool
		moved  bool
	}{
		{name: "slow rank, long passes", pace: 6, pass: 250 * time.Millisecond, resume: true, moved: true},
		{name: "slow rank, short passes", pace: 6, pass: 60 * time.Millisecond, resume: true},
		{name: "long passes of another cause", pace: 1, pass: 250 * time.Millisecond, resume: true},
		{name: "stream that can't be resumed", pace: 6, pass: 250 * time.Millisecond},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newModelService(3, 4, zap.NewNop())
			s.SetGapTarget(120 * time.Millisecond)
			assignment, err := s.Acquire(context.Background(), sched.Request{})
			require.NoError(t, err)
			for i := range 3 {
				report := sched.AgentReport{Accepting: true, Pace: 1, PassInterval: tc.pass}
				if hostOf(i) == assignment.Endpoint().Address().Addr() {
					report.Pace, report.Running = tc.pace, 1
				}
				s.UpdateFromAgent(hostOf(i), report)
			}
			s.Tick()
			require.True(t, s.HasCapacity(sched.Request{}))
			r := &request{
				entry: entry, service: s, view: entry.view.Load(), tried: map[string]bool{assignment.Endpoint().ID(): true},
				route: table.NewRoute(table.RouteSpec{Name: "r", Semantics: table.Stream, Resumable: tc.resume, MaxAttempts: 2}),
			}
			cause := r.moveCause(assignment, 0)
			require.Equal(t, tc.moved, cause != nil)
			require.Equal(t, tc.moved, movesAttempt(cause))
		})
	}
}
