package rank

import (
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/place"
)

// current returns the map in use by set and rank, nil if it isn't known: as this
// agent was told to prepare it, or as the ranks report it if all reports are of the
// map that this agent's rank uses. Reports of ranks that haven't told yet that they
// switched would make up a map that no rank has. The caller holds the lock.
func (l *lead) current() [][][]int {
	a := l.agent
	a.mu.Lock()
	state, shape, told := a.state, a.shape, a.plans.find(a.state.Map)
	a.mu.Unlock()
	if state.Map == 0 {
		told = inTurn(shape, state.Size)
	}
	if told != nil {
		return told
	}
	reported := make([][][]int, shape.sets)
	for rank, lists := range l.experts {
		if len(lists) != shape.sets || l.views[rank].Map != state.Map || l.views[rank].Epoch != state.Epoch {
			return nil
		}
		for set, list := range lists {
			reported[set] = append(reported[set], list)
		}
	}
	return reported
}

// inTurn returns the map that ranks begin with.
func inTurn(shape shape, size int) [][][]int {
	sets := make([][][]int, shape.sets)
	for set := range sets {
		sets[set] = make([][]int, size)
		for expert := range shape.experts {
			sets[set][expert%size] = append(sets[set][expert%size], expert)
		}
	}
	return sets
}

// worthPlanning reports whether the fullest ranks are so far over the mean that a
// plan may gain enough; that costs far less than to plan. The caller holds the
// lock.
func (l *lead) worthPlanning(current [][][]int, shape shape, gain float64) bool {
	sum := 0.0
	for set, ranks := range current {
		sum += place.FromRanks(ranks, shape.experts).PassTimeSkew(l.loads[set], l.paces)
	}
	l.skew = sum / float64(len(current))
	return l.skew-1 >= gain
}

// price returns the factor on what a copy must gain, by how long passes take. The
// caller holds the lock.
func (l *lead) price(shape shape) float64 {
	if shape.pause == 0 || l.passTime == 0 {
		return 1
	}
	factor := comfortablePass * float64(shape.pause) / float64(l.passTime)
	return min(mostPrice, max(leastPrice, factor*factor))
}

// timePasses takes note of how long passes take, by a report of the leader's own
// rank. The caller holds the lock.
func (l *lead) timePasses(pass uint64, now time.Time) {
	passes, span := pass-l.timedPass, now.Sub(l.timedAt)
	if pass < l.timedPass || span > passWindow*4 {
		l.timedPass, l.timedAt = pass, now
		return
	}
	if span >= passWindow && passes > 0 {
		l.passTime = (l.passTime + span/time.Duration(passes)) / 2
		l.timedPass, l.timedAt = pass, now
		l.machine.SetPassTime(l.passTime)
	}
}

// passWindow is the span over which passes are timed.
const passWindow = 400 * time.Millisecond

// replan looks for a better map and begins to switch to it. The caller holds the
// lock.
func (l *lead) replan(now time.Time) {
	a := l.agent
	a.mu.Lock()
	shape := a.shape
	a.mu.Unlock()
	current := l.current()
	if current == nil || len(l.loads) != len(current) || l.tokens < minTokens {
		return
	}
	price := l.price(shape)
	if !l.worthPlanning(current, shape, minGain*price) {
		return
	}
	plan := make([][][]int, len(current))
	before, after, copies := 0.0, 0.0, 0
	for set, ranks := range current {
		m := place.FromRanks(ranks, shape.experts)
		next, loaded := place.Rebalance(m, l.loads[set], place.RebalanceOptions{
			Slots: shape.places, MaxNewPerRank: shape.spare, CostPerReplica: gainPerCopy * price, Slowdowns: l.paces,
		})
		before += m.PassTimeSkew(l.loads[set], l.paces) / float64(len(current))
		after += next.PassTimeSkew(l.loads[set], l.paces) / float64(len(current))
		copies += loaded
		plan[set] = next.Ranks()
	}
	if before-after < minGain*price {
		return
	}
	l.plan, l.base, l.baseVersion = plan, current, l.views[0].Map
	version := l.machine.Begin(l.views, now)
	event.SwitchPlanned.Log(a.logger, zap.Uint64("version", version), zap.Float64("skew", before), zap.Float64("expected", after),
		zap.Int("copies", copies), zap.Duration("pass_time", l.passTime), zap.Uint64("pass", l.views[0].Pass))
	orders, _ := l.machine.Step(l.views, now)
	l.send(orders, now)
}
