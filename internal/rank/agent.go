// Package rank implements the agent on the platform. An agent runs on the host of
// one rank of a model group, reports the rank's load to entries, and takes part in
// balancing the group's expert map.
//
// Agents don't call the platform's store. Entries subscribe to their reports and
// send them the addresses of all agents. Of the reachable agents of a group, the one
// of the lowest rank leads. Safety doesn't depend on a single leader: two concurrent
// leaders may cost a switch, but never make ranks use different maps in one pass
// (see pkg/group).
package rank

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// Reporting.
const (
	// reportInterval is how often the rank's state is read and reported. Reading it is
	// free of charge on the rank's own host.
	reportInterval = 100 * time.Millisecond
	// openingInterval is how often the state is read while the group isn't open. Requests
	// wait for the group then, and so does the first switch of the expert map.
	openingInterval = 25 * time.Millisecond
	// subscriptionTTL is how long an entry receives reports after it last subscribed.
	subscriptionTTL = 3500 * time.Millisecond
	// unreachableTimeout is how long the rank may fail to answer before it is reported
	// as unreachable.
	unreachableTimeout = 300 * time.Millisecond
	// ticksPerCount is the interval of expert counts: one in this many reports may
	// include them.
	ticksPerCount = 2
	// countBytesPerSecond limits the rate of counts that a leader receives to an eighth
	// of the slowest link of a rank's host, 8 Mbit/s. Each count is taken to be one
	// byte. In large groups the ranks take turns.
	countBytesPerSecond = 125_000
)

// Agent serves one rank, on the rank's host. Use New.
type Agent struct {
	settings prefs.Rank
	logger   *zap.Logger
	meter    *meter.Meter
	account  *memory.Account
	rank     *platform.RankClient
	socket   *dgram.Socket
	admin    *webio.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu sync.Mutex
	// subscribers has when each entry last subscribed.
	subscribers map[netip.AddrPort]time.Time
	// agents has the addresses of the service's agents, agentsKnown their fingerprint.
	agents      []netip.AddrPort
	agentsKnown uint32
	shape       mapShape
	// state is the rank's state as of lastAnswer.
	state       platform.RankState
	lastAnswer  time.Time
	unreachable bool
	counts      countTracker
	passes      passClock
	// experts has the experts that the rank holds, by set, in the map of
	// expertsVersion and expertsEpoch.
	experts        [][]int
	expertsVersion uint64
	expertsEpoch   uint64
	seq            uint64
	orders         orderState
	plans          planCache
	// ordered is the highest version that the agent was ordered to prepare.
	ordered uint64

	leader *leader
}

// New returns an agent that hasn't been started.
func New(settings prefs.Rank, logger *zap.Logger) (*Agent, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    settings,
		logger:      logger,
		meter:       metrics,
		account:     memory.New(settings.Limits().MemoryMB(), settings.Limits().Descriptors()),
		rank:        platform.NewRankClient(settings.EndpointAddress()),
		subscribers: make(map[netip.AddrPort]time.Time),
	}
	a.account.Observe(logger, metrics)
	a.leader = newLeader(a, metrics)
	return a, nil
}

// Start starts to listen and to report.
func (a *Agent) Start() error {
	a.account.LimitHeap()
	socket, err := dgram.Listen(a.settings.PeerAddress(), a.handleDatagram, a.logger)
	if err != nil {
		return err
	}
	a.socket = socket
	a.admin = webio.NewServer(admin.New(a, a.meter), a.logger, webio.WithAccount(a.account))
	if err := a.admin.Listen(a.settings.AdminAddress()); err != nil {
		event.ListenFailed.Log(a.logger, event.Error(err))
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	event.ProcessStarted.Log(a.logger, zap.String("listen", a.settings.PeerAddress()), zap.String("endpoint", a.settings.EndpointAddress()))
	a.orders.ctx = ctx
	a.wg.Go(func() { a.run(ctx) })
	return nil
}

// Stop stops the agent. It doesn't wait for requests, since none run in an agent.
func (a *Agent) Stop(context.Context) int {
	event.ProcessLeaving.Log(a.logger)
	a.cancel()
	a.socket.Close()
	stopped, stop := context.WithCancel(context.Background())
	stop()
	a.admin.Shutdown(stopped)
	a.wg.Wait()
	a.meter.Close()
	event.ProcessStopped.Log(a.logger)
	return 0
}

// NotReadyReason returns why the agent can't report, or an empty string if it can.
func (a *Agent) NotReadyReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable || a.lastAnswer.IsZero() {
		return "the replica on this host doesn't answer"
	}
	return ""
}

func (a *Agent) run(ctx context.Context) {
	ticker, opening := time.NewTicker(reportInterval), time.NewTicker(openingInterval)
	defer ticker.Stop()
	defer opening.Stop()
	for tick := 0; ; tick++ {
		if !a.waitTick(ctx, ticker.C, opening.C) {
			return
		}
		a.sendLoad()
		a.sendReport(ctx, a.countActionAt(tick))
		a.leader.tick(time.Now())
	}
}

// waitTick waits until a report is due, and reads the rank's state for it. A report is due
// at each tick of reports, and as soon as the group has opened. It returns false if ctx has
// ended.
func (a *Agent) waitTick(ctx context.Context, reports, opening <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-reports:
			a.pollRank(ctx)
			return true
		case <-opening:
			if !a.isOpening() {
				continue
			}
			if a.pollRank(ctx); !a.isOpening() {
				return true
			}
		}
	}
}

// isOpening reports whether the rank is reachable and its group isn't open.
func (a *Agent) isOpening() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Size > 0 && !a.state.Open && !a.unreachable
}

// countAction is what an agent does with the expert counts in one period.
type countAction int

const (
	// skipCounts leaves the counts alone while other ranks report theirs.
	skipCounts countAction = iota
	// resetCounts reads the counts as the base of the next difference.
	resetCounts
	// sendCounts reports the difference to the counts read before.
	sendCounts
)

// countActionAt returns the action that is due at a tick. In large groups each rank
// reports its counts in only one of several periods.
func (a *Agent) countActionAt(tick int) countAction {
	if tick%ticksPerCount != 0 {
		return skipCounts
	}
	a.mu.Lock()
	size, countsPerRank, rank := a.state.Size, a.shape.sets*a.shape.experts, a.state.Rank
	a.mu.Unlock()
	period := (ticksPerCount * reportInterval).Seconds()
	turns := int(float64(size*countsPerRank) / (countBytesPerSecond * period))
	if turns <= 1 {
		return sendCounts
	}
	switch (tick/ticksPerCount + rank) % (turns + 1) {
	case 0:
		return resetCounts
	case 1:
		return sendCounts
	default:
		return skipCounts
	}
}

// pollRank reads the rank's state.
func (a *Agent) pollRank(ctx context.Context) {
	state, err := a.rank.State(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err == nil {
		a.state, a.lastAnswer = state, now
		a.passes.update(state, now)
	}
	unreachable := now.Sub(a.lastAnswer) > unreachableTimeout
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

// countTracker turns counts since the rank's start into counts since the last read.
type countTracker struct {
	start int64
	last  []uint64
}

// delta returns by how much the counts have increased since the last call. It
// returns nil at the first call and after a restart of the rank.
func (c *countTracker) delta(counts []uint64, start int64) []uint32 {
	hasBase := c.start == start && len(c.last) == len(counts)
	var added []uint32
	if hasBase {
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

// passClock measures the interval between passes from the pass numbers of reports. The
// zero value has measured none.
type passClock struct {
	epoch, pass uint64
	// since is when the measurement in progress began, with pass as the last pass.
	since    time.Time
	measured time.Duration
	busy     bool
}

// passClockWindow is the shortest span over which the interval is measured.
const passClockWindow = 200 * time.Millisecond

// update adds a report of the rank's state.
func (c *passClock) update(state platform.RankState, now time.Time) {
	c.busy = state.Open && state.Running+state.Waiting > 0
	switch span := now.Sub(c.since); {
	case !c.busy || state.Epoch != c.epoch || state.Pass < c.pass:
		c.epoch, c.pass, c.since, c.measured = state.Epoch, state.Pass, now, 0
	case state.Pass > c.pass && span >= passClockWindow:
		c.measured = span / time.Duration(state.Pass-c.pass)
		c.pass, c.since = state.Pass, now
	}
}

// interval returns the interval between passes: the last one measured, or the time for
// which no pass has begun if that is longer. It is zero for a group without requests.
func (c *passClock) interval(now time.Time) time.Duration {
	if !c.busy {
		return 0
	}
	if waiting := now.Sub(c.since); waiting > 2*passClockWindow {
		return max(c.measured, waiting)
	}
	return c.measured
}

// sendReport reports the rank's state to the group's leader.
func (a *Agent) sendReport(ctx context.Context, action countAction) {
	a.mu.Lock()
	state, stale := a.state, time.Since(a.lastAnswer) > unreachableTimeout
	knowsExperts := a.expertsVersion == state.Map && a.expertsEpoch == state.Epoch && a.experts != nil
	a.mu.Unlock()
	if state.Size == 0 || state.Group == "" || stale {
		return
	}
	if !knowsExperts {
		if experts, version, err := a.rank.Experts(ctx); err == nil {
			a.mu.Lock()
			a.experts, a.expertsVersion, a.expertsEpoch = experts, version, state.Epoch
			a.mu.Unlock()
		}
	}
	message := newReport(state)
	if action != skipCounts {
		if counts, _, err := a.rank.Counts(ctx); err == nil {
			a.mu.Lock()
			added := a.counts.delta(counts, state.Start)
			a.mu.Unlock()
			if action == sendCounts {
				message.Counts = added
			}
		}
	}
	a.mu.Lock()
	a.seq++
	message.Seq = a.seq
	message.Ordered = a.ordered
	message.MapKnown = state.Map == 0 || a.plans.find(state.Map) != nil
	if a.expertsVersion == state.Map && a.expertsEpoch == state.Epoch {
		message.Experts = encodeExperts(a.experts)
	}
	a.mu.Unlock()
	if leader, leading := a.leader.reportTarget(); leading {
		a.leader.handleReport(a.socket.Address(), message)
	} else if leader.IsValid() {
		a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_RankReport{RankReport: message}}, leader)
	}
}

// sendLoad sends the rank's load to the subscribed entries.
func (a *Agent) sendLoad() {
	now := time.Now()
	demandKnown := a.leader.hint.isKnown(now)
	a.mu.Lock()
	var entries []netip.AddrPort
	for entry, subscribedAt := range a.subscribers {
		if now.Sub(subscribedAt) > subscriptionTTL {
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
		PassMs:      uint32(a.passes.interval(now).Milliseconds()),
		DemandKnown: demandKnown || state.Size <= 1,
	}
	a.mu.Unlock()
	a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Load{Load: load}}, entries...)
}

// handleDatagram dispatches a datagram by its type.
func (a *Agent) handleDatagram(from netip.AddrPort, message *wirepb.Datagram) {
	switch body := message.GetBody().(type) {
	case *wirepb.Datagram_Subscribe:
		a.subscribe(from, body.Subscribe)
	case *wirepb.Datagram_Demand:
		a.handleDemand(from, body.Demand)
	case *wirepb.Datagram_Lead:
		a.leader.handleLead(from, body.Lead)
	case *wirepb.Datagram_RankReport:
		a.leader.handleReport(from, body.RankReport)
	case *wirepb.Datagram_RankOrder:
		if leader, leading := a.leader.reportTarget(); !leading && (leader == from || body.RankOrder.GetLeader() == leader.String()) {
			a.forwardOrder(body.RankOrder, leader)
			a.acceptOrder(body.RankOrder)
		}
	}
}

// forwardOrder sends an order of the leader to the agents that it names.
func (a *Agent) forwardOrder(order *wirepb.RankOrder, leader netip.AddrPort) {
	var agents []netip.AddrPort
	for _, text := range order.GetForward() {
		if address, err := netip.ParseAddrPort(text); err == nil {
			agents = append(agents, address)
		}
	}
	if len(agents) == 0 {
		return
	}
	forwarded := proto.CloneOf(order)
	forwarded.Forward, forwarded.Leader = nil, leader.String()
	a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_RankOrder{RankOrder: forwarded}}, agents...)
}

// mapShape is the shape of the service's expert maps: the number of sets, experts
// in each set, slots on each rank and spare slots, which limit what a rank loads in
// one switch. The pause is the gap between tokens that streams aim at.
type mapShape struct {
	sets, experts, slots, spare int
	pause                       time.Duration
}

func (a *Agent) subscribe(from netip.AddrPort, request *wirepb.Subscribe) {
	var agents []netip.AddrPort
	for _, agent := range request.GetAgents() {
		if address, err := netip.ParseAddrPort(agent); err == nil {
			agents = append(agents, address)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers[from] = time.Now()
	if len(agents) > 0 {
		a.agents, a.agentsKnown = agents, dgram.Fingerprint(agents)
	}
	a.shape = mapShape{
		sets: int(request.GetSets()), experts: int(request.GetExperts()), slots: int(request.GetPlaces()), spare: int(request.GetSpare()),
		pause: time.Duration(request.GetPauseMs()) * time.Millisecond,
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
