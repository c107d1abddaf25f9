package rank

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// directRank is a rank that the leader can poll and give orders to without its agent.
type directRank struct {
	rank       *platform.RankClient
	lastReport time.Time
	lastPoll   time.Time
	polling    bool
}

// pollSilentAgents polls the ranks whose agents haven't reported for agentTimeout.
// The caller holds the lock.
func (l *leader) pollSilentAgents(agents []netip.AddrPort, now time.Time) {
	a := l.agent
	replica, err := netip.ParseAddrPort(a.settings.EndpointAddress())
	if err != nil {
		return
	}
	for _, agent := range agents {
		direct := l.directRanks[agent]
		if direct == nil {
			direct = &directRank{rank: platform.NewRemoteRankClient(netip.AddrPortFrom(agent.Addr(), replica.Port()).String()), lastReport: now}
			l.directRanks[agent] = direct
		}
		if agent == a.socket.Address() || now.Sub(direct.lastReport) < agentTimeout || now.Sub(direct.lastPoll) < directPollInterval || direct.polling {
			continue
		}
		if direct.lastPoll.Before(direct.lastReport) {
			event.AgentSilent.Log(a.logger, zap.Stringer("agent", agent))
		}
		direct.lastPoll, direct.polling = now, true
		go l.pollDirectly(agent, direct)
	}
}

// pollDirectly reads a rank's state and uses it in place of its agent's report.
func (l *leader) pollDirectly(agent netip.AddrPort, direct *directRank) {
	a := l.agent
	state, err := direct.rank.State(a.orders.ctx)
	a.mu.Lock()
	own, shape := a.state, a.shape
	a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	direct.polling = false
	if err != nil {
		event.RankUnreachable.Log(a.logger, zap.Stringer("agent", agent), event.Error(err))
	}
	if err != nil || !l.leading || state.Group != own.Group || state.Rank >= len(l.views) {
		return
	}
	l.applyReport(agent, newReport(state), shape, time.Now())
}

// isReporting reports whether an agent has sent its rank's state recently. The caller holds
// the lock.
func (l *leader) isReporting(agent netip.AddrPort, now time.Time) bool {
	direct := l.directRanks[agent]
	return direct == nil || now.Sub(direct.lastReport) < agentTimeout
}

// sendDirectly sends an order to a rank itself if force is set or if the rank's agent
// hasn't reported for agentTimeout. It reports whether it sends the order. The caller
// holds the lock.
func (l *leader) sendDirectly(agent netip.AddrPort, order *wirepb.RankOrder, force bool, now time.Time) bool {
	direct := l.directRanks[agent]
	if direct == nil || (!force && l.isReporting(agent, now)) || order.GetKind() == wirepb.RankOrder_KIND_REPORT {
		return false
	}
	a := l.agent
	plan := l.plan
	go func() {
		err := callRankHedged(a.orders.ctx, direct.rank, order, plan, remoteHedges(order))
		if err != nil || !force {
			event.RankOrdered.Log(a.logger, zap.Stringer("agent", agent), zap.Stringer("kind", order.GetKind()),
				zap.Uint64("version", order.GetVersion()), zap.Uint64("pass", order.GetPass()), event.Error(err))
		}
		// A rank without a reporting agent is polled again at the next tick.
		l.mu.Lock()
		direct.lastPoll = time.Time{}
		l.mu.Unlock()
	}()
	return true
}

// newReport returns a report of a rank's state.
func newReport(state platform.RankState) *wirepb.RankReport {
	return &wirepb.RankReport{
		Group: state.Group, Epoch: state.Epoch, Rank: uint32(state.Rank), Size: uint32(state.Size), Open: state.Open,
		Start: state.Start, Pass: state.Pass, ExpertMap: state.Map, Prepared: state.Prepared, Armed: state.Armed,
		ArmedPass: state.ArmedPass, Held: state.IsHeld, HeldPass: state.Held,
		Pace: state.Pace,
	}
}
