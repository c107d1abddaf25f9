package sched

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// fakeServer is an endpoint of a plain service in a simulation.
type fakeServer struct {
	spec *table.Endpoint
	// runTime is the time of a request while the server is warm, from warmAt on, and coldTime
	// before.
	runTime, coldTime time.Duration
	warmAt            time.Time
	// refuses and fails are set while the server refuses requests or answers with errors at once.
	refuses, fails bool
	// running are the requests in slots, and waiting the others.
	running, waiting []*plainCall
	// highest is the highest number of requests at the server, and sent when they arrived.
	highest int
	sent    []time.Time
}

// plainCall is a request in a simulation.
type plainCall struct {
	service    *Service
	assignment Assignment
	arrivedAt  time.Time
	endsAt     time.Time
}

// plainSite is a plain service that several entries use, with a simulated clock.
type plainSite struct {
	now      time.Time
	random   *rand.Rand
	services []*Service
	servers  []*fakeServer
	// demand is the number of requests per second, of as many entries as are active.
	demand float64
	active int
	// refused and times are the refusals and response times.
	refused int
	times   []time.Duration
}

const plainSlots = 6

func newPlainSite(seed uint64, demand float64, options ...Option) *plainSite {
	p := &plainSite{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, seed)), demand: demand, active: simulationEntries}
	for entry := range uint64(simulationEntries) {
		p.services = append(p.services, New("plain", "here", zap.NewNop(), append([]Option{
			WithClock(func() time.Time { return p.now }), WithRandom(rand.NewPCG(seed, entry)),
			WithOtherEntries(func() int { return simulationEntries - 1 }),
		}, options...)...))
	}
	return p
}

// add registers a server at all entries.
func (p *plainSite) add(runTime, coldFor time.Duration) *fakeServer {
	n := len(p.servers)
	server := &fakeServer{runTime: runTime, spec: table.NewEndpoint(table.EndpointSpec{
		ID: fmt.Sprint(n), Service: "plain", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80),
		Slots: plainSlots, ColdFor: coldFor,
	})}
	p.servers = append(p.servers, server)
	p.update()
	return server
}

func (p *plainSite) update() {
	var specs []*table.Endpoint
	for _, server := range p.servers {
		specs = append(specs, server.spec)
	}
	for _, s := range p.services {
		s.Update(specs, false, func(string) bool { return false }, 1)
	}
}

// run plays the given time.
func (p *plainSite) run(span time.Duration) {
	p.refused, p.times = 0, nil
	for end := p.now.Add(span); p.now.Before(end); p.now = p.now.Add(simulationStep) {
		if p.random.Float64() < p.demand*simulationStep.Seconds() {
			p.arrive()
		}
		for _, server := range p.servers {
			p.step(server)
		}
		if p.now.UnixMilli()%reportsEach.Milliseconds() == 0 {
			for _, s := range p.services {
				s.Tick()
			}
		}
	}
}

func (p *plainSite) arrive() {
	s := p.services[p.random.IntN(p.active)]
	assignment, w, err := s.Admit(Request{})
	if err != nil || w != nil {
		p.refused++
		if w != nil {
			_, _ = s.Cancel(w, ErrFull)
		}
		return
	}
	call := &plainCall{service: s, assignment: assignment, arrivedAt: p.now}
	for _, server := range p.servers {
		if server.spec == assignment.Endpoint() {
			server.waiting = append(server.waiting, call)
			server.sent = append(server.sent, p.now)
		}
	}
}

// step plays one step of a server.
func (p *plainSite) step(server *fakeServer) {
	server.highest = max(server.highest, len(server.running)+len(server.waiting))
	for i := 0; i < len(server.running); i++ {
		if call := server.running[i]; !p.now.Before(call.endsAt) {
			server.running = append(server.running[:i], server.running[i+1:]...)
			i--
			p.end(server, call)
		}
	}
	for len(server.waiting) > 0 && len(server.running) < plainSlots {
		call := server.waiting[0]
		server.waiting = server.waiting[1:]
		runTime := server.runTime
		switch {
		case server.refuses || server.fails:
			runTime = simulationStep
		case p.now.Before(server.warmAt):
			runTime = server.coldTime
		}
		call.endsAt = p.now.Add(time.Duration((0.5 + p.random.Float64()) * float64(runTime)))
		server.running = append(server.running, call)
	}
}

// end reports the end of a request to its entry.
func (p *plainSite) end(server *fakeServer, call *plainCall) {
	s := call.service
	s.UpdateFromResponse(call.assignment, len(server.running), len(server.waiting), plainSlots)
	s.Release(call.assignment)
	switch {
	case server.refuses:
		s.RecordGroupRefusal(call.assignment)
	case server.fails:
		s.RecordErrorResponse(call.assignment)
	default:
		s.RecordSuccess(call.assignment)
		p.times = append(p.times, p.now.Sub(call.arrivedAt))
	}
}

// sentWithin returns the largest number of requests that the server got within a span.
func (server *fakeServer) sentWithin(span time.Duration) int {
	most, first := 0, 0
	for last := range server.sent {
		for server.sent[last].Sub(server.sent[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// sentIn returns how many requests the server got between two times.
func (server *fakeServer) sentIn(from, to time.Time) int {
	count := 0
	for _, at := range server.sent {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// TestStartedEndpointIsNeitherFloodedNorIdle has twelve entries with requests for two endpoints find
// a third one at the same time. It guards against entries that all send there at once, and
// against shares that leave it idle though it bears its part.
func TestStartedEndpointIsNeitherFloodedNorIdle(t *testing.T) {
	const demand, runTime = 80.0, 100 * time.Millisecond
	testCases := []struct {
		name string
		// cold is how long the endpoint needs six times as long for a request, without notice.
		cold time.Duration
		// active is the number of entries that have requests, and most bounds those at the endpoint.
		active, most int
	}{
		{"warm", 0, simulationEntries, plainSlots + plainExtra},
		{"cold", 4 * time.Second, simulationEntries, (plainSlots + plainExtra) * 3 / 2},
		{"warm, and few entries have requests", 0, 2, plainSlots + plainExtra},
	}
	for _, tc := range testCases {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(tc.name, seed), func(t *testing.T) {
				p := newPlainSite(seed, demand)
				p.active = tc.active
				p.add(runTime, 0)
				p.add(runTime, 0)
				p.run(2 * time.Second)
				started := p.add(runTime, 0)
				startedAt := p.now
				started.coldTime, started.warmAt = 6*runTime, startedAt.Add(tc.cold)
				p.run(tc.cold + 5*time.Second)
				share := float64(started.sentIn(p.now.Add(-2*time.Second), p.now)) / 2
				atOnce := started.sentIn(startedAt, startedAt.Add(100*time.Millisecond))
				t.Logf("at once %d, highest %d, then %.1f requests per second, %d refused", atOnce, started.highest, share, p.refused)
				require.LessOrEqual(t, atOnce, plainSlots, "it isn't overloaded when it starts")
				require.LessOrEqual(t, started.highest, tc.most)
				require.GreaterOrEqual(t, share, demand/3/2, "half of its part")
			})
		}
	}
}

// TestEndpointThatFailsAtOnceGetsFewRequests guards against fast errors and refusals that raise the
// pace of an endpoint, as it always looks idle. It is used again once it serves requests.
func TestEndpointThatFailsAtOnceGetsFewRequests(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		p := newPlainSite(1, 80)
		p.add(100*time.Millisecond, 0)
		p.add(100*time.Millisecond, 0)
		p.run(2 * time.Second)
		started := p.add(100*time.Millisecond, 0)
		started.refuses, started.fails = refuses, !refuses
		p.run(4 * time.Second)
		failed := float64(len(started.sent)) / 4
		started.refuses, started.fails = false, false
		p.run(6 * time.Second)
		share := float64(started.sentIn(p.now.Add(-2*time.Second), p.now)) / 2
		t.Logf("%.1f requests per second, then %.1f", failed, share)
		require.LessOrEqual(t, failed, 10.0)
		require.GreaterOrEqual(t, share, 13.0)
	}
}

// TestPausedEndpointIsNotFloodedWhenItRecovers has all entries learn of the same pause, and
// checks what the endpoint gets when it ends.
func TestPausedEndpointIsNotFloodedWhenItRecovers(t *testing.T) {
	p := newPlainSite(1, 80)
	for range 3 {
		p.add(100*time.Millisecond, 0)
	}
	p.run(time.Second)
	const pause = time.Second
	paused, until := p.servers[1], p.now.Add(pause)
	for _, s := range p.services {
		s.RecordPause(Assignment{endpoint: s.endpoints[1]}, pause)
	}
	p.run(pause + 4*time.Second)
	require.Zero(t, paused.sentIn(until.Add(-pause), until))
	require.LessOrEqual(t, paused.sentIn(until, until.Add(100*time.Millisecond)), 3)
	require.GreaterOrEqual(t, paused.sentIn(p.now.Add(-2*time.Second), p.now), 26)
}

// TestColdEndpointStaysWithinItsLimit guards against a pace above the limit of an endpoint that is
// cold, whether it bears more or not, and against a flood when its cold time ends.
func TestColdEndpointStaysWithinItsLimit(t *testing.T) {
	const rate, demand = 17.0, 100.0
	const maxRate = rate*1.5 + 5
	coldLimit := WithColdLimit(func() ColdLimit { return ColdLimit{Rate: rate, MaxRate: maxRate, Entries: simulationEntries} })
	for _, coldTime := range []time.Duration{100 * time.Millisecond, 350 * time.Millisecond} {
		p := newPlainSite(1, demand, coldLimit)
		p.add(100*time.Millisecond, 0)
		p.add(100*time.Millisecond, 0)
		p.run(2 * time.Second)
		cold, until := p.add(100*time.Millisecond, 3*time.Second), p.now.Add(3*time.Second)
		cold.coldTime, cold.warmAt = coldTime, until
		p.run(3 * time.Second)
		during := cold.sentWithin(time.Second)
		p.run(4 * time.Second)
		atOnce := cold.sentIn(until, until.Add(100*time.Millisecond))
		share := float64(cold.sentIn(p.now.Add(-2*time.Second), p.now)) / 2
		t.Logf("within a second %d, at the end at once %d, then %.1f requests per second", during, atOnce, share)
		require.LessOrEqual(t, float64(during), maxRate)
		require.LessOrEqual(t, atOnce, 10)
		require.GreaterOrEqual(t, share, demand/3/2)
	}
}

// TestEntryThatJoinsUsesItsEndpoints guards against an entry that holds back all endpoints since
// it knows none of them.
func TestEntryThatJoinsUsesItsEndpoints(t *testing.T) {
	p := newPlainSite(1, 80)
	p.add(100*time.Millisecond, 0)
	p.add(100*time.Millisecond, 0)
	joining := New("plain", "here", zap.NewNop())
	joining.Update([]*table.Endpoint{p.servers[0].spec, p.servers[1].spec}, false, func(string) bool { return false }, 1)
	for range 2 * plainSlots {
		_, w, err := joining.Admit(Request{})
		require.NoError(t, err)
		require.Nil(t, w)
	}
}

// TestOnlySoundEndpointGetsRequests guards against a ramp that makes an entry refuse requests, or
// send them to an endpoint that leaves or fails, while an idle endpoint could serve them.
func TestOnlySoundEndpointGetsRequests(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		s := New("plain", "here", zap.NewNop())
		specs := []*table.Endpoint{table.NewEndpoint(table.EndpointSpec{ID: "old", Service: "plain", Slots: 6})}
		s.Update(specs, false, func(string) bool { return false }, 1)
		assignment, _, err := s.Admit(Request{})
		require.NoError(t, err)
		if leaves {
			s.RecordLeaving(assignment)
		} else {
			s.RecordFailure(assignment, "test")
		}
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: "new", Service: "plain", Slots: 6}))
		s.Update(specs, false, func(string) bool { return false }, 2)
		require.True(t, s.endpoints[1].ramp.IsActive())
		s.Release(assignment)
		assignment = Assignment{}
		for range 6 {
			next, w, err := s.Admit(Request{})
			require.NoError(t, err)
			require.Nil(t, w)
			require.Equal(t, "new", next.Endpoint().ID())
			// The caller has the response before the request before it is released.
			if assignment.endpoint != nil {
				s.Release(assignment)
			}
			assignment = next
		}
	}
}
