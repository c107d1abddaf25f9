package rank

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/demand"
	"github.com/lentilstand/lentilstand/pkg/group"
)

// Leading a group.
const (
	// leaderTimeout is how long an agent receives no announcement of a leader before it
	// leads itself. A leader announces itself each reportInterval.
	leaderTimeout = 300 * time.Millisecond
	// agentTimeout is how long an agent may send nothing before the leader polls its
	// rank itself, each directPollInterval. The platform charges for these calls, but
	// they are needed to release ranks that a crashed agent has left held.
	agentTimeout       = 350 * time.Millisecond
	directPollInterval = 250 * time.Millisecond
	// suspendThreshold is the difference between the wall clock and the monotonic clock
	// above which the process is taken to have been suspended.
	suspendThreshold = 300 * time.Millisecond
	// planInterval is how often the leader computes a new map.
	planInterval = 200 * time.Millisecond
	// countHalfLife is the time in which the weight of counts halves. The demand for an
	// expert can rise within seconds, and some hundred requests give counts that are
	// stable enough.
	countHalfLife = 350 * time.Millisecond
	// costPerCopy is how much each copy of an expert must lower the load of the most
	// loaded rank, in mean loads. The platform charges for copies, and a copy slows all
	// passes a little while it runs. The value applies when a pass takes targetPassShare
	// of the gap between tokens that streams aim at; the longer passes take, the less a
	// copy has to gain.
	costPerCopy     = 0.04
	targetPassShare = 0.5
	// minCostFactor and maxCostFactor limit the factor on costPerCopy and minGain.
	minCostFactor = 0.4
	maxCostFactor = 6
	// minGain is the least reduction of the skew, averaged over all sets, for which a
	// switch is made at a cost factor of 1.
	minGain = 0.1
	// minChoices is how many choices of experts must have been counted before a map is
	// computed from them.
	minChoices = 20000
	// versionStride is the distance between the numbers of versions. A random number below it
	// is added to each, so that two leaders are unlikely to choose the same one.
	versionStride = 1 << 16
)

// leader is an agent's part in electing its group's leader and in being it.
type leader struct {
	agent *Agent
	mu    sync.Mutex
	// followed and followedRank are the address and the rank of the agent that this one
	// follows, and leaderHeardAt is when it last announced that it leads.
	followed      netip.AddrPort
	leaderHeardAt time.Time
	followedRank  int
	leading       bool
	// startedAt is when the agent started or was last suspended.
	startedAt time.Time
	// lastWall and lastTick are the wall clock and the monotonic clock at the last tick.
	lastWall time.Time
	lastTick time.Time

	machine *group.Leader
	views   []group.View
	// experts has for each rank the experts that it reported, by set.
	experts [][][]int
	// slowdowns has the factor by which each rank is slow, 1 or less if it isn't.
	slowdowns []float64
	// knownMaps has the map that each rank's agent knows completely.
	knownMaps []knownMap
	// counts has the choices of experts by which maps are planned, and recent those of a
	// longer time, which are stored. Both are nil before the first counts.
	counts, recent *demand.Counter
	hint           demandHint
	sender         demandSender
	// openedAt is when the group was last seen to open with its initial map.
	openedAt  time.Time
	plannedAt time.Time
	// plan is the map that the ranks are ordered to prepare, by set and rank.
	plan [][][]int
	// base is the map that plan replaces, nil if the agents may not know it.
	base        [][][]int
	baseVersion uint64
	sentOrders  map[int]sentOrder
	// mapsSentBy is when the link will have transmitted the maps sent so far.
	mapsSentBy time.Time
	lastSeq    map[int]uint64
	rankStarts map[int]int64
	// addresses has the addresses of the ranks' agents. directRanks has the ranks by
	// their agents' addresses, for polls and orders that bypass the agents.
	addresses   map[int]netip.AddrPort
	directRanks map[netip.AddrPort]*directRank
	// skew is the skew of the map in use, averaged over all sets.
	skew float64
	// passTime is the measured duration of a pass.
	passTime  time.Duration
	timedPass uint64
	timedAt   time.Time
	// switches and demands count switches and demands for experts by what became of them.
	switches, demands meter.Counter
}

// knownMap is the version of the map in use that an agent has reported, and whether
// the agent knows the map.
type knownMap struct {
	version uint64
	known   bool
}

// is reports whether the agent knows the map of a version.
func (k knownMap) is(version uint64) bool { return k.known && k.version == version }

// sentOrder is the last order to a rank, when it was last sent and how often.
type sentOrder struct {
	order    group.Order
	sentAt   time.Time
	attempts int
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func newLeader(a *Agent, metrics *meter.Meter) *leader {
	l := &leader{agent: a, startedAt: time.Now()}
	metrics.Gauge("lentilstand_expert_skew_thousandths", "The fullest rank's load over the mean, if this agent leads.", "map",
		func(report func(int64, string)) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.leading {
				report(int64(l.skew*1000), "in_use")
			}
		})
	metrics.Gauge("lentilstand_demand_age_ms", "Time since the agent was sent or has counted the demand for experts.", "demand",
		func(report func(int64, string)) {
			if age, known := l.hint.age(time.Now()); known {
				report(age.Milliseconds(), "known")
			}
		})
	l.switches = metrics.Counter("lentilstand_expert_switches", "Switches of the expert map by this agent as the leader.", "event")
	l.demands = metrics.Counter("lentilstand_demands", "Demands for experts that were sent to an entry, learned from one, or refused.", "result")
	return l
}

// reportTarget returns the address of the leader to send reports to. If leading is
// true, this agent leads and handles its own reports.
func (l *leader) reportTarget() (address netip.AddrPort, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.followed, l.leading
}

// handleLead handles a leader's announcement from another agent. The agent follows
// the lowest rank that has announced itself within leaderTimeout, and stops leading
// unless its own rank is lower.
func (l *leader) handleLead(from netip.AddrPort, message *wirepb.Lead) {
	a := l.agent
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	if message.GetGroup() != state.Group {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := int(message.GetRank())
	now := time.Now()
	if rank > l.followedRank && now.Sub(l.leaderHeardAt) < leaderTimeout && l.followed.IsValid() {
		return
	}
	if l.leading && rank > state.Rank {
		return
	}
	if l.leading {
		l.leading = false
		event.GroupYielded.Log(a.logger, zap.String("group", state.Group), zap.Int("leader", rank))
	}
	l.followed, l.followedRank, l.leaderHeardAt = from, rank, now
}

// tick runs the election and, if this agent leads, a step of the leader.
func (l *leader) tick(now time.Time) {
	a := l.agent
	a.mu.Lock()
	state, agents, shape := a.state, a.agents, a.shape
	usable := now.Sub(a.lastAnswer) < unreachableTimeout && state.Group != "" && state.Size > 1
	a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detectSuspension(now)
	if !usable || shape.sets == 0 || len(agents) == 0 {
		l.leading = false
		return
	}
	if !l.leading {
		// Agents of higher ranks wait longer, so that normally only one starts to lead.
		wait := leaderTimeout + time.Duration(state.Rank)*reportInterval/2
		if now.Sub(l.leaderHeardAt) < wait || now.Sub(l.startedAt) < wait {
			return
		}
		l.startLeading(state.Size, state.Rank)
		event.GroupLed.Log(a.logger, zap.String("group", state.Group), zap.Int("rank", state.Rank), zap.Uint64("epoch", state.Epoch))
	}
	a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Lead{Lead: &wirepb.Lead{Group: state.Group, Rank: uint32(state.Rank)}}},
		otherAgents(agents, a.socket.Address())...)
	l.pollSilentAgents(agents, now)
	l.step(now)
	l.sendDemand(now)
}

// detectSuspension resets the leader if the process was suspended. The monotonic
// clock doesn't advance during a suspension, but the wall clock does.
func (l *leader) detectSuspension(now time.Time) {
	wall := now.Round(0)
	if !l.lastTick.IsZero() {
		suspended := wall.Sub(l.lastWall) - now.Sub(l.lastTick)
		if suspended > suspendThreshold || now.Sub(l.lastTick) > maxTickDelay {
			if l.machine != nil {
				l.machine.Reset()
			}
			for i := range l.views {
				l.views[i].Known = false
			}
			l.startedAt, l.leading = now, false
		}
	}
	l.lastWall, l.lastTick = wall, now
}

// maxTickDelay is the time between two ticks above which all reports count as
// outdated.
const maxTickDelay = time.Second

// otherAgents returns agents without own.
func otherAgents(agents []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for _, agent := range agents {
		if agent != own {
			list = append(list, agent)
		}
	}
	return list
}

// startLeading makes this agent the leader, without any reports yet. The caller holds
// the lock.
func (l *leader) startLeading(size, rank int) {
	l.leading = true
	l.views = make([]group.View, size)
	l.experts = make([][][]int, size)
	l.slowdowns, l.knownMaps = make([]float64, size), make([]knownMap, size)
	l.sentOrders = make(map[int]sentOrder)
	l.lastSeq = make(map[int]uint64)
	l.rankStarts = make(map[int]int64)
	l.addresses = make(map[int]netip.AddrPort)
	l.directRanks = make(map[netip.AddrPort]*directRank)
	l.counts, l.recent = nil, nil
	l.sender = demandSender{checkedAt: time.Now()}
	l.machine = group.NewLeader(size, rank, func(above uint64) uint64 {
		return (above/versionStride+1)*versionStride + rand.Uint64N(versionStride)
	})
}

// handleReport handles a rank's report that came from the address of its agent. It
// ignores a report that is older than one received before.
func (l *leader) handleReport(from netip.AddrPort, report *wirepb.RankReport) {
	a := l.agent
	a.mu.Lock()
	state, shape := a.state, a.shape
	a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := int(report.GetRank())
	if !l.leading || report.GetGroup() != state.Group || rank >= len(l.views) {
		return
	}
	// A sequence number that is lower by 100 or more is taken to be that of a
	// restarted agent.
	if l.rankStarts[rank] == report.GetStart() && report.GetSeq() <= l.lastSeq[rank] && report.GetSeq()+100 > l.lastSeq[rank] {
		return
	}
	l.rankStarts[rank], l.lastSeq[rank] = report.GetStart(), report.GetSeq()
	if direct := l.directRanks[from]; direct != nil {
		direct.lastReport = time.Now()
	}
	if rank == state.Rank {
		l.measurePassTime(report.GetPass(), time.Now())
	}
	l.applyReport(from, report, shape, time.Now())
}

// applyReport updates the view of a rank from a report. The caller holds the lock.
func (l *leader) applyReport(from netip.AddrPort, report *wirepb.RankReport, shape mapShape, now time.Time) {
	rank := int(report.GetRank())
	l.addresses[rank] = from
	before := l.views[rank]
	l.views[rank] = group.View{
		Known: true, ReportedAt: now, Epoch: report.GetEpoch(), Open: report.GetOpen(), Pass: report.GetPass(),
		Map: report.GetExpertMap(), Prepared: report.GetPrepared(), Ordered: report.GetOrdered(), Armed: report.GetArmed(), ArmedPass: report.GetArmedPass(),
		Held: report.GetHeld(), HeldPass: report.GetHeldPass(),
	}
	l.slowdowns[rank], l.knownMaps[rank] = report.GetPace(), knownMap{version: report.GetExpertMap(), known: report.GetMapKnown()}
	if lists := decodeExperts(report.GetExperts()); len(lists) == shape.sets {
		l.experts[rank] = lists
	} else if !before.Known || before.Epoch != report.GetEpoch() || before.Map != report.GetExpertMap() {
		// A rank that is polled directly reports no lists.
		l.experts[rank] = nil
	}
	l.addCounts(report.GetCounts(), shape, now)
	opened := report.GetOpen() && (!before.Open || before.Epoch != report.GetEpoch())
	if opened && report.GetExpertMap() == 0 {
		l.openedAt = now
	}
	if l.machine.Phase() != group.Idle || opened {
		l.step(now)
	}
}

// addCounts adds the choices of experts that a rank has counted. The caller holds the lock.
func (l *leader) addCounts(counts []uint32, shape mapShape, now time.Time) {
	if len(counts) != shape.sets*shape.experts || len(counts) == 0 {
		return
	}
	if !l.counts.Fits(shape.sets, shape.experts) {
		l.counts = demand.NewCounter(shape.sets, shape.experts, countHalfLife)
		l.recent = demand.NewCounter(shape.sets, shape.experts, recentHalfLife)
	}
	l.counts.Add(counts, now)
	l.recent.Add(counts, now)
}

// step advances the current switch, or computes a new map if it is time to. The
// caller holds the lock.
func (l *leader) step(now time.Time) {
	a := l.agent
	phase, version := l.machine.Phase(), l.machine.Version()
	orders, outcome := l.machine.Step(l.views, now)
	switch outcome {
	case group.Done:
		l.switches.Add(1, "done")
		event.SwitchDone.Log(a.logger, zap.Uint64("version", version), zap.Uint64("pass", l.views[0].Pass), phaseTimes(l.machine.Times()))
	case group.Abandoned:
		l.switches.Add(1, "abandoned")
		event.SwitchAbandoned.Log(a.logger, zap.Uint64("version", version), zap.Uint64("switch", l.machine.SwitchVersion()),
			zap.Uint64("pass", l.machine.SwitchPass()), zap.Stringer("phase", phase), phaseTimes(l.machine.Times()))
	}
	if after := l.machine.Phase(); phase == group.Idle && after != group.Idle {
		event.HoldResolved.Log(a.logger, zap.Uint64("version", l.machine.Version()), zap.Stringer("phase", after))
	} else if after == group.Releasing && phase != group.Releasing {
		event.SwitchArmed.Log(a.logger, zap.Uint64("version", version), zap.Uint64("pass", l.machine.SwitchPass()))
	}
	if l.machine.IsFencing() {
		l.planFence()
	}
	l.sendOrders(orders, now)
	if now.Sub(l.plannedAt) >= planInterval && l.machine.CanBegin(l.views, now) {
		l.plannedAt = now
		l.replan(now)
	}
}

// phaseTimes returns a log field with the durations of the phases of a switch, without
// those that it didn't reach.
func phaseTimes(times group.Times) zap.Field {
	var list []string
	for phase, span := range times {
		if span > 0 {
			list = append(list, fmt.Sprintf("%v %dms", group.Phase(phase), span.Milliseconds()))
		}
	}
	return zap.Strings("phases", list)
}

// encodePlan encodes all lists of a map to be prepared, set by set.
func encodePlan(plan [][][]int) []uint32 {
	var experts []uint32
	for _, ranks := range plan {
		experts = append(experts, encodeExperts(ranks)...)
	}
	return experts
}

// needsFullMap reports whether a rank's agent must be sent the whole new map instead
// of the changes. That is so if the agent hasn't reported that it knows the map in
// use, or if the changes have been sent several times without effect. The caller
// holds the lock.
func (l *leader) needsFullMap(rank, attempts int) bool {
	return l.base == nil || attempts >= fullMapAfter || !l.knownMaps[rank].is(l.baseVersion)
}

// planFence makes the map in use the one to prepare. It is sent as changes to itself, that
// is without any, to the agents that know it. The caller holds the lock.
func (l *leader) planFence() {
	l.plan, l.baseVersion = l.currentMap()
	l.base = l.plan
}

// lastSent returns when an order was last sent to its rank and how often. The caller
// holds the lock.
func (l *leader) lastSent(order group.Order) sentOrder {
	if last := l.sentOrders[order.Rank]; last.order == order {
		return last
	}
	return sentOrder{order: order}
}

// sendOrders sends orders to the agents of the ranks, and repeats an order only after
// its resend interval. The caller holds the lock.
func (l *leader) sendOrders(orders []group.Order, now time.Time) {
	a := l.agent
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	var fullMap, changes []uint32
	// Sending maps to all ranks of a large group takes longer than the resend interval.
	// Ranks that were sent none yet go first, or the last ones would never get theirs.
	slices.SortStableFunc(orders, func(a, b group.Order) int {
		return l.lastSent(a).sentAt.Compare(l.lastSent(b).sentAt)
	})
	var forwarded []preparedOrder
	for _, order := range orders {
		resendInterval := orderResendInterval
		if order.Kind == group.Prepare {
			resendInterval = prepareResendInterval
		}
		last := l.lastSent(order)
		if now.Sub(last.sentAt) < resendInterval || (order.Kind == group.Prepare && l.mapsSentBy.After(now.Add(mapBurst))) {
			continue
		}
		message := &wirepb.RankOrder{
			Group: state.Group, Epoch: order.Epoch, Kind: wirepb.RankOrder_Kind(order.Kind), Version: order.Version, Pass: order.Pass,
		}
		if order.Kind == group.Prepare {
			if l.plan == nil {
				continue
			}
			if l.needsFullMap(order.Rank, last.attempts) {
				if fullMap == nil {
					fullMap = encodePlan(l.plan)
				}
				message.Experts = fullMap
			} else {
				if changes == nil {
					changes = encodeChanges(l.base, l.plan)
				}
				message.Changes, message.Base = changes, l.baseVersion
				if address, ok := l.addresses[order.Rank]; ok && last.attempts == 0 && order.Rank != state.Rank && l.isReporting(address, now) {
					forwarded = append(forwarded, preparedOrder{order: order, address: address, message: message})
					continue
				}
			}
		}
		if order.Kind == group.Prepare && order.Rank != state.Rank {
			l.countMapBytes(message, now)
		}
		last.sentAt, last.attempts = now, last.attempts+1
		l.sentOrders[order.Rank] = last
		if order.Rank == state.Rank {
			a.acceptOrder(message)
			continue
		}
		if address, ok := l.addresses[order.Rank]; ok {
			// The leader calls the rank itself for a Hold and for the Release that ends
			// it. A hold that an agent placed would remain if the agent's host failed at
			// that moment. The agent gets the Release as well, as its calls are repeated
			// sooner.
			force := order.Kind == group.Hold || order.Kind == group.Release && l.machine.Phase() != group.Fencing
			if l.sendDirectly(address, message, force, now) && order.Kind != group.Release {
				continue
			}
			a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_RankOrder{RankOrder: message}}, address)
		}
	}
	l.sendForwarded(forwarded, now)
}

// preparedOrder is an order to prepare a map, ready to be sent to the agent at address.
type preparedOrder struct {
	order   group.Order
	address netip.AddrPort
	message *wirepb.RankOrder
}

// sendForwarded sends orders with the same content. The changes to a map of 129 ranks have
// some kilobytes, and the leader's link would take a second to carry them to every rank. If
// it would take longer than forwardThreshold, the orders go to some of the agents, which
// forward them to the others. An order that gets lost is sent again without forwarding. The
// caller holds the lock.
func (l *leader) sendForwarded(orders []preparedOrder, now time.Time) {
	batchSize := 1
	if len(orders) > 0 && time.Duration(len(orders))*transmitTime(orders[0].message) > forwardThreshold {
		batchSize = int(math.Ceil(math.Sqrt(float64(len(orders)))))
	}
	for len(orders) > 0 && !l.mapsSentBy.After(now.Add(mapBurst)) {
		batch := orders[:min(batchSize, len(orders))]
		orders = orders[len(batch):]
		message := proto.CloneOf(batch[0].message)
		for i, prepared := range batch {
			if i > 0 {
				message.Forward = append(message.Forward, prepared.address.String())
			}
			l.sentOrders[prepared.order.Rank] = sentOrder{order: prepared.order, sentAt: now, attempts: 1}
		}
		l.countMapBytes(message, now)
		l.agent.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_RankOrder{RankOrder: message}}, batch[0].address)
	}
}

// transmitTime returns how long the leader's link takes to carry a message with a map.
func transmitTime(message *wirepb.RankOrder) time.Duration {
	return time.Duration(proto.Size(message)) * time.Second / mapBytesPerSecond
}

// countMapBytes records that the link transmits a message with a map. The caller holds the
// lock.
func (l *leader) countMapBytes(message *wirepb.RankOrder, now time.Time) {
	l.mapsSentBy = latest(l.mapsSentBy, now).Add(transmitTime(message))
}
