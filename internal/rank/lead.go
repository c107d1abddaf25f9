package rank

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/group"
)

// How a group is led.
const (
	// leadSilence is how long agents of lower ranks must be silent before this one
	// leads; a leader tells the others each reportPeriod.
	leadSilence = 400 * time.Millisecond
	// agentSilence is how long an agent may send nothing before its rank is asked
	// straight, each directPeriod; that is priced, and needed to release ranks that
	// an agent that died has left held.
	agentSilence = 350 * time.Millisecond
	directPeriod = 250 * time.Millisecond
	// suspendedFor is the difference between the clocks that shows that the process
	// stood still.
	suspendedFor = 300 * time.Millisecond
	// planPeriod is how often a better map is looked for.
	planPeriod = 200 * time.Millisecond
	// halfLife is how fast counts lose their weight: experts come into demand within
	// seconds, and some hundred requests make their counts steady enough.
	halfLife = 350 * time.Millisecond
	// gainPerCopy is what a copy of an expert must take off the fullest rank's load,
	// in mean loads, when passes take comfortablePass of the pause that streams aim
	// at; the longer passes take, the more a gain is worth. A copy is priced, and
	// slows all passes a little while it is made.
	gainPerCopy     = 0.04
	comfortablePass = 0.5
	// leastPrice and mostPrice bound the factor on gainPerCopy.
	leastPrice = 0.4
	mostPrice  = 6
	// minGain is the least gain of the fullest ranks' loads over all sets that a
	// switch is made for, at the usual price.
	minGain = 0.1
	// minTokens is how many choices of experts must be known before a plan.
	minTokens = 20000
	// versionSpread leaves room below each version for a random number, so that no
	// two leaders choose the same.
	versionSpread = 1 << 16
)

// lead is an agent's part in leading its group.
type lead struct {
	agent    *Agent
	mu       sync.Mutex
	follows  netip.AddrPort
	leaderAt time.Time
	low      int
	leads    bool
	began    time.Time
	lastWall time.Time
	lastTick time.Time

	machine *group.Leader
	views   []group.View
	experts [][][]int
	// paces are those of the ranks; over 1 they are slow.
	paces []float64
	// known are the maps of which the agents of the ranks know all lists.
	known   []knownMap
	loads   [][]float64
	counted time.Time
	tokens  float64
	planned time.Time
	plan    [][][]int
	// base is the map that plan replaces, nil if agents may not know it.
	base        [][][]int
	baseVersion uint64
	sent        map[int]sentOrder
	// paced is when the maps that were sent have left the link.
	paced  time.Time
	seen   map[int]uint64
	starts map[int]int64
	// addresses holds where the agents of the ranks are, and direct the ranks that
	// are asked and ordered straight, since their agents are silent.
	addresses map[int]netip.AddrPort
	direct    map[netip.AddrPort]*directRank
	skew      float64
	// passTime is how long a pass takes.
	passTime  time.Duration
	timedPass uint64
	timedAt   time.Time
}

// knownMap is the map in use as an agent knows it.
type knownMap struct {
	version uint64
	ok      bool
}

// is reports whether the agent knows all lists of a version.
func (k knownMap) is(version uint64) bool { return k.ok && k.version == version }

// sentOrder is an order as it was last sent to a rank.
type sentOrder struct {
	order group.Order
	at    time.Time
	times int
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func newLead(a *Agent, metrics *meter.Meter) *lead {
	l := &lead{agent: a, began: time.Now()}
	metrics.Gauge("lentilstand_expert_skew_thousandths", "The fullest rank's load over the mean, if this agent leads.", "map",
		func(report func(int64, string)) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.leads {
				report(int64(l.skew*1000), "in_use")
			}
		})
	return l
}

// whom returns the address of the leader that reports go to, or that this agent
// leads itself.
func (l *lead) whom() (leader netip.AddrPort, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follows, l.leads
}

// heard takes note that another agent leads.
func (l *lead) heard(from netip.AddrPort, message *wirepb.Lead) {
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
	if rank > l.low && now.Sub(l.leaderAt) < leadSilence && l.follows.IsValid() {
		return
	}
	if l.leads && rank > state.Rank {
		return
	}
	if l.leads {
		l.leads = false
		event.GroupYielded.Log(a.logger, zap.String("group", state.Group), zap.Int("leader", rank))
	}
	l.follows, l.low, l.leaderAt = from, rank, now
}

// tick leads the group, if this agent is the one to do so.
func (l *lead) tick(now time.Time) {
	a := l.agent
	a.mu.Lock()
	state, agents, shape := a.state, a.agents, a.shape
	usable := now.Sub(a.answered) < unreachableAfter && state.Group != "" && state.Size > 1
	a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticeSuspension(now)
	if !usable || shape.sets == 0 || len(agents) == 0 {
		l.leads = false
		return
	}
	if !l.leads {
		// Agents of higher ranks wait a little longer, so that one begins alone.
		wait := leadSilence + time.Duration(state.Rank)*reportPeriod/2
		if now.Sub(l.leaderAt) < wait || now.Sub(l.began) < wait {
			return
		}
		l.begin(state.Size, state.Rank)
		event.GroupLed.Log(a.logger, zap.String("group", state.Group), zap.Int("rank", state.Rank), zap.Uint64("epoch", state.Epoch))
	}
	a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Lead{Lead: &wirepb.Lead{Group: state.Group, Rank: uint32(state.Rank)}}},
		others(agents, a.socket.Address())...)
	l.askDirectly(agents, now)
	l.step(now)
}

// noticeSuspension drops what the leader was about to do if the process stood
// still: the steady clock doesn't count that time, the time of day does.
func (l *lead) noticeSuspension(now time.Time) {
	wall := now.Round(0)
	if !l.lastTick.IsZero() {
		stood := wall.Sub(l.lastWall) - now.Sub(l.lastTick)
		if stood > suspendedFor || now.Sub(l.lastTick) > viewsTooOld {
			if l.machine != nil {
				l.machine.Reset()
			}
			for i := range l.views {
				l.views[i].Known = false
			}
			l.began, l.leads = now, false
		}
	}
	l.lastWall, l.lastTick = wall, now
}

// viewsTooOld is how late a tick may be before all reports count as old.
const viewsTooOld = time.Second

func others(agents []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for _, agent := range agents {
		if agent != own {
			list = append(list, agent)
		}
	}
	return list
}

// begin makes this agent the leader, which knows nothing yet. The caller holds
// the lock.
func (l *lead) begin(size, rank int) {
	l.leads = true
	l.views = make([]group.View, size)
	l.experts = make([][][]int, size)
	l.paces, l.known = make([]float64, size), make([]knownMap, size)
	l.sent = make(map[int]sentOrder)
	l.seen = make(map[int]uint64)
	l.starts = make(map[int]int64)
	l.addresses = make(map[int]netip.AddrPort)
	l.direct = make(map[netip.AddrPort]*directRank)
	l.loads, l.tokens = nil, 0
	l.machine = group.NewLeader(size, rank, func(above uint64) uint64 {
		return (above/versionSpread+1)*versionSpread + rand.Uint64N(versionSpread)
	})
}

// take takes a rank's report, which came from an agent's address.
func (l *lead) take(from netip.AddrPort, report *wirepb.RankReport) {
	a := l.agent
	a.mu.Lock()
	state, shape := a.state, a.shape
	a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := int(report.GetRank())
	if !l.leads || report.GetGroup() != state.Group || rank >= len(l.views) {
		return
	}
	if l.starts[rank] == report.GetStart() && report.GetSeq() <= l.seen[rank] && report.GetSeq()+100 > l.seen[rank] {
		return
	}
	l.starts[rank], l.seen[rank] = report.GetStart(), report.GetSeq()
	if direct := l.direct[from]; direct != nil {
		direct.heard = time.Now()
	}
	if rank == state.Rank {
		l.timePasses(report.GetPass(), time.Now())
	}
	l.adopt(from, report, shape)
}

// adopt makes a report the view of its rank. The caller holds the lock.
func (l *lead) adopt(from netip.AddrPort, report *wirepb.RankReport, shape shape) {
	rank := int(report.GetRank())
	l.addresses[rank] = from
	now := time.Now()
	l.views[rank] = group.View{
		Known: true, ReportedAt: now, Epoch: report.GetEpoch(), Open: report.GetOpen(), Pass: report.GetPass(),
		Map: report.GetExpertMap(), Prepared: report.GetPrepared(), Armed: report.GetArmed(), ArmedPass: report.GetArmedPass(),
		Held: report.GetHeld(), HeldPass: report.GetHeldPass(),
	}
	l.paces[rank], l.known[rank] = report.GetPace(), knownMap{version: report.GetExpertMap(), ok: report.GetMapKnown()}
	if lists := decodeExperts(report.GetExperts()); len(lists) == shape.sets {
		l.experts[rank] = lists
	} else {
		l.experts[rank] = nil
	}
	l.count(report.GetCounts(), shape, now)
	if l.machine.Phase() != group.Idle {
		l.step(now)
	}
}

// decay returns what is left of a weight after a span.
func decay(span, halfLife time.Duration) float64 {
	return math.Exp2(-span.Seconds() / halfLife.Seconds())
}

// count adds the choices of experts that a rank has counted. The caller holds the
// lock.
func (l *lead) count(counts []uint32, shape shape, now time.Time) {
	if len(counts) != shape.sets*shape.experts || len(counts) == 0 {
		return
	}
	if len(l.loads) != shape.sets {
		l.loads = make([][]float64, shape.sets)
		for set := range l.loads {
			l.loads[set] = make([]float64, shape.experts)
		}
		l.counted = now
	}
	keep := decay(now.Sub(l.counted), halfLife)
	l.counted = now
	l.tokens *= keep
	for set, loads := range l.loads {
		for expert := range loads {
			added := float64(counts[set*shape.experts+expert])
			loads[expert] = loads[expert]*keep + added
			l.tokens += added
		}
	}
}

// step takes the switch that is going on further, or looks for a better map. The
// caller holds the lock.
func (l *lead) step(now time.Time) {
	a := l.agent
	phase, version := l.machine.Phase(), l.machine.Version()
	orders, outcome := l.machine.Step(l.views, now)
	switch outcome {
	case group.Done:
		event.SwitchDone.Log(a.logger, zap.Uint64("version", version), zap.Uint64("pass", l.views[0].Pass))
	case group.Abandoned:
		event.SwitchAbandoned.Log(a.logger, zap.Uint64("version", version), zap.Stringer("phase", phase))
	}
	if after := l.machine.Phase(); phase == group.Idle && after != group.Idle {
		event.HoldResolved.Log(a.logger, zap.Uint64("version", l.machine.Version()), zap.Stringer("phase", after))
	} else if after == group.Releasing && phase != group.Releasing {
		event.SwitchArmed.Log(a.logger, zap.Uint64("version", version))
	}
	if l.machine.IsFencing() {
		l.plan, l.base = l.current(), nil
	}
	l.send(orders, now)
	if now.Sub(l.planned) >= planPeriod && l.machine.CanBegin(l.views, now) {
		l.planned = now
		l.replan(now)
	}
}

func encodePlan(plan [][][]int) []uint32 {
	var experts []uint32
	for _, ranks := range plan {
		experts = append(experts, encodeExperts(ranks)...)
	}
	return experts
}

// getsWhole reports whether a rank's agent is told the whole new map: if it hasn't
// shown that it knows the map in use, or hasn't taken the changes several times. The
// caller holds the lock.
func (l *lead) getsWhole(rank, times int) bool {
	return l.base == nil || times >= wholeAfter || !l.known[rank].is(l.baseVersion)
}

// send gives orders to the agents of the ranks, not more often than they need.
// The caller holds the lock.
func (l *lead) send(orders []group.Order, now time.Time) {
	a := l.agent
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	var experts, changes []uint32
	for _, order := range orders {
		refresh := orderRefresh
		if order.Kind == group.Prepare {
			refresh = prepareRefresh
		}
		last := l.sent[order.Rank]
		if last.order != order {
			last = sentOrder{order: order}
		}
		if now.Sub(last.at) < refresh || (order.Kind == group.Prepare && l.paced.After(now.Add(paceBurst))) {
			continue
		}
		message := &wirepb.RankOrder{
			Group: state.Group, Epoch: order.Epoch, Kind: wirepb.RankOrder_Kind(order.Kind), Version: order.Version, Pass: order.Pass,
		}
		if order.Kind == group.Prepare {
			if l.plan == nil {
				continue
			}
			if l.getsWhole(order.Rank, last.times) {
				if experts == nil {
					experts = encodePlan(l.plan)
				}
				message.Experts = experts
			} else {
				if changes == nil {
					changes = encodeChanges(l.base, l.plan)
				}
				message.Changes, message.Base = changes, l.baseVersion
			}
		}
		if order.Kind == group.Prepare && order.Rank != state.Rank {
			span := time.Duration(proto.Size(message)) * time.Second / paceBytesPerSecond
			l.paced = latest(l.paced, now).Add(span)
		}
		last.at, last.times = now, last.times+1
		l.sent[order.Rank] = last
		if order.Rank == state.Rank {
			a.carryOut(message)
			continue
		}
		if address, ok := l.addresses[order.Rank]; ok {
			// A hold that an agent gave would stand if its host failed just then.
			byLeader := order.Kind == group.Hold || order.Kind == group.Release && l.machine.Phase() == group.Releasing
			if l.orderDirectly(address, message, byLeader, now) {
				continue
			}
			a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_RankOrder{RankOrder: message}}, address)
		}
	}
}
