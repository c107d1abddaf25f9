package rank

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// directRank is a rank that the leader can ask and order without its agent.
type directRank struct {
	rank  *platform.Rank
	heard time.Time
	asked time.Time
	busy  bool
}

// askDirectly asks the ranks whose agents are silent. The caller holds the lock.
func (l *lead) askDirectly(agents []netip.AddrPort, now time.Time) {
	a := l.agent
	replica, err := netip.ParseAddrPort(a.settings.EndpointAddress())
	if err != nil {
		return
	}
	for _, agent := range agents {
		direct := l.direct[agent]
		if direct == nil {
			direct = &directRank{rank: platform.NewFarRank(netip.AddrPortFrom(agent.Addr(), replica.Port()).String()), heard: now}
			l.direct[agent] = direct
		}
		if agent == a.socket.Address() || now.Sub(direct.heard) < agentSilence || now.Sub(direct.asked) < directPeriod || direct.busy {
			continue
		}
		if direct.asked.Before(direct.heard) {
			event.AgentSilent.Log(a.logger, zap.Stringer("agent", agent))
		}
		direct.asked, direct.busy = now, true
		go l.askOne(agent, direct)
	}
}

// askOne asks a rank for its state and takes the answer for its agent's report.
func (l *lead) askOne(agent netip.AddrPort, direct *directRank) {
	a := l.agent
	state, err := direct.rank.State(a.orders.ctx)
	a.mu.Lock()
	own, shape := a.state, a.shape
	a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	direct.busy = false
	if err != nil {
		event.RankUnreachable.Log(a.logger, zap.Stringer("agent", agent), event.Error(err))
	}
	if err != nil || !l.leads || state.Group != own.Group || state.Rank >= len(l.views) {
		return
	}
	l.adopt(agent, reportOf(state), shape)
}

// orderDirectly gives an order straight to a rank if it must or if the rank's
// agent is silent, and reports whether it does. The caller holds the lock.
func (l *lead) orderDirectly(agent netip.AddrPort, order *wirepb.RankOrder, must bool, now time.Time) bool {
	direct := l.direct[agent]
	if direct == nil || (!must && now.Sub(direct.heard) < agentSilence) {
		return false
	}
	a := l.agent
	plan := l.plan
	go func() {
		err := give(a.orders.ctx, direct.rank, order, plan)
		if err != nil || !must {
			event.RankOrdered.Log(a.logger, zap.Stringer("agent", agent), zap.Stringer("kind", order.GetKind()),
				zap.Uint64("version", order.GetVersion()), zap.Uint64("pass", order.GetPass()), event.Error(err))
		}
		l.mu.Lock()
		direct.asked = time.Time{}
		l.mu.Unlock()
	}()
	return true
}

// reportOf makes a report of a rank's state.
func reportOf(state platform.RankState) *wirepb.RankReport {
	return &wirepb.RankReport{
		Group: state.Group, Epoch: state.Epoch, Rank: uint32(state.Rank), Size: uint32(state.Size), Open: state.Open,
		Start: state.Start, Pass: state.Pass, ExpertMap: state.Map, Prepared: state.Prepared, Armed: state.Armed,
		ArmedPass: state.ArmedPass, Held: state.IsHeld, HeldPass: state.Held,
		Pace: state.Pace,
	}
}
