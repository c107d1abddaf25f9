// Package rank is an agent on the platform: it stands beside one rank of a model
// group, tells entries the rank's load, and takes part in keeping the group's
// expert map balanced.
//
// Agents don't call the platform's store. Entries ask them for reports and tell
// them of the other agents; among the agents of a group the one of the lowest
// rank that is heard leads. Leadership is only a convenience: two leaders at once
// cost a switch, and never a wrong map (pkg/group).
package rank

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// How an agent reports.
const (
	// reportPeriod is how often the rank's state is read and told. Reading it is free
	// on its own host.
	reportPeriod = 100 * time.Millisecond
	// subscriberKept is how long an entry is told after it last asked.
	subscriberKept = 3500 * time.Millisecond
	// unreachableAfter is how long the rank may fail to answer before entries are
	// told so.
	unreachableAfter = 300 * time.Millisecond
	// countTicks is how many reports there are for each that may count experts.
	countTicks = 2
	// countBytesPerSecond bounds what a leader is told of counts: an eighth of the
	// slowest link of a rank's host, 8 Mbit/s. In large groups ranks take turns.
	countBytesPerSecond = 125_000
)

// Agent stands beside one rank. Use New.
type Agent struct {
	settings prefs.Rank
	logger   *zap.Logger
	meter    *meter.Meter
	rank     *platform.Rank
	socket   *dgram.Socket
	admin    *webio.Server
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time
	agents      []netip.AddrPort
	agentsKnown uint32
	shape       shape
	state       platform.RankState
	answered    time.Time
	unreachable bool
	counts      counter
	experts     [][]int
	expertsMap  uint64
	expertsIn   uint64
	seq         uint64
	orders      orders
	plans       plans

	lead *lead
}

// New returns an agent that isn't running yet.
func New(settings prefs.Rank, logger *zap.Logger) (*Agent, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    settings,
		logger:      logger,
		meter:       metrics,
		rank:        platform.NewRank(settings.EndpointAddress()),
		subscribers: make(map[netip.AddrPort]time.Time),
	}
	a.lead = newLead(a, metrics)
	return a, nil
}

// Start begins to listen and to report.
func (a *Agent) Start() error {
	socket, err := dgram.Listen(a.settings.PeerAddress(), a.receive, a.logger)
	if err != nil {
		return err
	}
	a.socket = socket
	a.admin = webio.NewServer(admin.New(a, a.meter), a.logger)
	if err := a.admin.Listen(a.settings.AdminAddress()); err != nil {
		event.ListenFailed.Log(a.logger, event.Error(err))
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	event.ProcessStarted.Log(a.logger, zap.String("listen", a.settings.PeerAddress()), zap.String("endpoint", a.settings.EndpointAddress()))
	a.orders.ctx = ctx
	a.wait.Go(func() { a.run(ctx) })
	return nil
}

// Stop ends the agent. Nothing of a request runs in it.
func (a *Agent) Stop(context.Context) int {
	event.ProcessLeaving.Log(a.logger)
	a.cancel()
	a.socket.Close()
	done, ended := context.WithCancel(context.Background())
	ended()
	a.admin.Shutdown(done)
	a.wait.Wait()
	a.meter.Close()
	event.ProcessStopped.Log(a.logger)
	return 0
}

// NotReadyReason returns why the agent can't report, empty if it can.
func (a *Agent) NotReadyReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable || a.answered.IsZero() {
		return "the replica on this host doesn't answer"
	}
	return ""
}

func (a *Agent) run(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.look(ctx)
		a.tellEntries()
		a.report(ctx, a.counting(tick))
		a.lead.tick(time.Now())
	}
}

// turn says what a rank does of counting in one period.
type turn int

const (
	// rest says that other ranks count.
	rest turn = iota
	// begin says that the counts are looked at, to count from here on.
	begin
	// tell says that what was counted is told.
	tell
)

// counting returns what is due at a tick: in large groups each rank counts for one
// period of several.
func (a *Agent) counting(tick int) turn {
	if tick%countTicks != 0 {
		return rest
	}
	a.mu.Lock()
	size, numbers, rank := a.state.Size, a.shape.sets*a.shape.experts, a.state.Rank
	a.mu.Unlock()
	period := (countTicks * reportPeriod).Seconds()
	turns := int(float64(size*numbers) / (countBytesPerSecond * period))
	if turns <= 1 {
		return tell
	}
	switch (tick/countTicks + rank) % (turns + 1) {
	case 0:
		return begin
	case 1:
		return tell
	default:
		return rest
	}
}

// look reads the rank's state.
func (a *Agent) look(ctx context.Context) {
	state, err := a.rank.State(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err == nil {
		a.state, a.answered = state, now
	}
	unreachable := now.Sub(a.answered) > unreachableAfter
	if unreachable == a.unreachable || ctx.Err() != nil {
		return
	}
	a.unreachable = unreachable
	if unreachable {
		event.RankUnreachable.Log(a.logger, event.Error(err))
	} else {
		event.RankReachable.Log(a.logger, zap.String("group", state.Group), zap.Int("rank", state.Rank), zap.Uint64("epoch", state.Epoch))
	}
}

// counter turns counts since the rank's start into counts since the last look.
type counter struct {
	start int64
	last  []uint64
}

// since returns what was added to counts, nil at first and after a start of the
// rank.
func (c *counter) since(counts []uint64, start int64) []uint32 {
	known := c.start == start && len(c.last) == len(counts)
	var added []uint32
	if known {
		added = make([]uint32, len(counts))
		for i, count := range counts {
			if count >= c.last[i] {
				added[i] = uint32(min(count-c.last[i], 1<<31))
			}
		}
	}
	c.start, c.last = start, counts
	return added
}

// report tells the group's leader what the rank does.
func (a *Agent) report(ctx context.Context, counting turn) {
	a.mu.Lock()
	state, stale := a.state, time.Since(a.answered) > unreachableAfter
	knowsExperts := a.expertsMap == state.Map && a.expertsIn == state.Epoch && a.experts != nil
	a.mu.Unlock()
	if state.Size == 0 || state.Group == "" || stale {
		return
	}
	if !knowsExperts {
		if experts, version, err := a.rank.Experts(ctx); err == nil {
			a.mu.Lock()
			a.experts, a.expertsMap, a.expertsIn = experts, version, state.Epoch
			a.mu.Unlock()
		}
	}
	message := reportOf(state)
	if counting != rest {
		if counts, _, err := a.rank.Counts(ctx); err == nil {
			a.mu.Lock()
			added := a.counts.since(counts, state.Start)
			a.mu.Unlock()
			if counting == tell {
				message.Counts = added
			}
		}
	}
	a.mu.Lock()
	a.seq++
	message.Seq = a.seq
	message.MapKnown = state.Map == 0 || a.plans.find(state.Map) != nil
	if a.expertsMap == state.Map && a.expertsIn == state.Epoch {
		message.Experts = encodeExperts(a.experts)
	}
	a.mu.Unlock()
	if leader, own := a.lead.whom(); own {
		a.lead.take(a.socket.Address(), message)
	} else if leader.IsValid() {
		a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_RankReport{RankReport: message}}, leader)
	}
}

// tellEntries sends the rank's load to the entries that asked.
func (a *Agent) tellEntries() {
	a.mu.Lock()
	now := time.Now()
	var entries []netip.AddrPort
	for entry, asked := range a.subscribers {
		if now.Sub(asked) > subscriberKept {
			delete(a.subscribers, entry)
			continue
		}
		entries = append(entries, entry)
	}
	state := a.state
	load := &wirepb.Load{
		Running:   uint32(state.Running),
		Waiting:   uint32(state.Waiting),
		Pace:      state.Pace,
		Open:      state.Open || state.Size == 0,
		Reachable: !a.unreachable,

		AgentsKnown: a.agentsKnown,
		Entries:     uint32(len(entries)),
	}
	a.mu.Unlock()
	a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Load{Load: load}}, entries...)
}

// receive takes a datagram.
func (a *Agent) receive(from netip.AddrPort, message *wirepb.Datagram) {
	switch body := message.GetBody().(type) {
	case *wirepb.Datagram_Subscribe:
		a.subscribe(from, body.Subscribe)
	case *wirepb.Datagram_Lead:
		a.lead.heard(from, body.Lead)
	case *wirepb.Datagram_RankReport:
		a.lead.take(from, body.RankReport)
	case *wirepb.Datagram_RankOrder:
		if leader, own := a.lead.whom(); !own && leader == from {
			a.carryOut(body.RankOrder)
		}
	}
}

// shape is the shape of the service's expert maps.
type shape struct {
	sets, experts, places, spare int
	pause                        time.Duration
}

func (a *Agent) subscribe(from netip.AddrPort, asked *wirepb.Subscribe) {
	var agents []netip.AddrPort
	for _, text := range asked.GetAgents() {
		if address, err := netip.ParseAddrPort(text); err == nil {
			agents = append(agents, address)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers[from] = time.Now()
	if len(agents) > 0 {
		a.agents, a.agentsKnown = agents, dgram.Fingerprint(agents)
	}
	a.shape = shape{
		sets: int(asked.GetSets()), experts: int(asked.GetExperts()), places: int(asked.GetPlaces()), spare: int(asked.GetSpare()),
		pause: time.Duration(asked.GetPauseMs()) * time.Millisecond,
	}
}

// Status returns the agent's state.
func (a *Agent) Status() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return struct {
		Group string `json:"group"`
		Epoch uint64 `json:"epoch"`
		Rank  int    `json:"rank"`
		Open  bool   `json:"open"`
		Map   uint64 `json:"expert_map"`
		Pass  uint64 `json:"pass"`
	}{a.state.Group, a.state.Epoch, a.state.Rank, a.state.Open, a.state.Map, a.state.Pass}
}
