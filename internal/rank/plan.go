package rank

import (
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/place"
)

// currentMap returns the map in use by set and rank, nil if it isn't known, and its
// version. It is the map that this agent was ordered to prepare, or else the one that the
// ranks report, provided that all reports are of the version that this agent's rank uses.
// Mixing in reports from before a switch would give a map that no rank has. The
// caller holds the lock.
func (l *leader) currentMap() (experts [][][]int, version uint64) {
	a := l.agent
	a.mu.Lock()
	state, shape, plan := a.state, a.shape, a.plans.find(a.state.Map)
	a.mu.Unlock()
	if state.Map == 0 {
		plan = roundRobin(shape, state.Size)
	}
	if plan != nil {
		return plan, state.Map
	}
	reported := make([][][]int, shape.sets)
	for rank, lists := range l.experts {
		if len(lists) != shape.sets || l.views[rank].Map != state.Map || l.views[rank].Epoch != state.Epoch {
			return nil, state.Map
		}
		for set, list := range lists {
			reported[set] = append(reported[set], list)
		}
	}
	return reported, state.Map
}

// roundRobin returns the map that ranks start with: the experts of each set are
// assigned to the ranks in turn.
func roundRobin(shape mapShape, size int) [][][]int {
	sets := make([][][]int, shape.sets)
	for set := range sets {
		sets[set] = make([][]int, size)
		for expert := range shape.experts {
			sets[set][expert%size] = append(sets[set][expert%size], expert)
		}
	}
	return sets
}

// worthPlanning updates the skew, and reports whether it is high enough for a new
// map to gain the given reduction. This check takes far less time than computing a
// map. The caller holds the lock.
func (l *leader) worthPlanning(current [][][]int, loads [][]float64, shape mapShape, gain float64) bool {
	sum := 0.0
	for set, ranks := range current {
		sum += place.FromRanks(ranks, shape.experts).PassTimeSkew(loads[set], l.slowdowns)
	}
	l.skew = sum / float64(len(current))
	return l.skew-1 >= gain
}

// costFactor returns the factor on costPerCopy and minGain that follows from the
// duration of passes. Passes of a group that has just opened say nothing about the load that
// is about to return. The caller holds the lock.
func (l *leader) costFactor(shape mapShape, now time.Time) float64 {
	if l.isOpening(now) {
		return minCostFactor
	}
	if shape.pause == 0 || l.passTime == 0 {
		return 1
	}
	factor := targetPassShare * float64(shape.pause) / float64(l.passTime)
	return min(maxCostFactor, max(minCostFactor, factor*factor))
}

// measurePassTime updates the running average of the duration of passes from a report
// of the leader's own rank. The caller holds the lock.
func (l *leader) measurePassTime(pass uint64, now time.Time) {
	passes, span := pass-l.timedPass, now.Sub(l.timedAt)
	if pass < l.timedPass || span > passTimeWindow*4 {
		l.timedPass, l.timedAt = pass, now
		return
	}
	if span >= passTimeWindow && passes > 0 {
		l.passTime = (l.passTime + span/time.Duration(passes)) / 2
		l.timedPass, l.timedAt = pass, now
		l.machine.SetPassTime(l.passTime)
	}
}

// passTimeWindow is the span over which the duration of passes is measured.
const passTimeWindow = 400 * time.Millisecond

// replan computes a new map and starts a switch to it if it lowers the skew enough.
// The caller holds the lock.
func (l *leader) replan(now time.Time) {
	a := l.agent
	a.mu.Lock()
	shape := a.shape
	a.mu.Unlock()
	current, currentVersion := l.currentMap()
	loads, stored := l.planningLoads(shape, currentVersion, now)
	if current == nil || len(loads) != len(current) {
		return
	}
	factor := l.costFactor(shape, now)
	if !l.worthPlanning(current, loads, shape, minGain*factor) {
		return
	}
	plan := make([][][]int, len(current))
	before, after, copies := 0.0, 0.0, 0
	for set, ranks := range current {
		m := place.FromRanks(ranks, shape.experts)
		next, loaded := place.Rebalance(m, loads[set], place.RebalanceOptions{
			Slots: shape.slots, MaxNewPerRank: shape.spare, CostPerReplica: costPerCopy * factor, Slowdowns: l.slowdowns,
		})
		before += m.PassTimeSkew(loads[set], l.slowdowns) / float64(len(current))
		after += next.PassTimeSkew(loads[set], l.slowdowns) / float64(len(current))
		copies += loaded
		plan[set] = next.Ranks()
	}
	if before-after < minGain*factor {
		return
	}
	l.plan, l.base, l.baseVersion = plan, current, currentVersion
	version := l.machine.Begin(l.views, now)
	if stored {
		l.switches.Add(1, "planned_by_stored_demand")
	} else {
		l.switches.Add(1, "planned_by_counts")
	}
	event.SwitchPlanned.Log(a.logger, zap.Uint64("version", version), zap.Float64("skew", before), zap.Float64("expected", after),
		zap.Int("copies", copies), zap.Bool("stored_demand", stored), zap.Duration("pass_time", l.passTime), zap.Uint64("pass", l.views[0].Pass))
	orders, _ := l.machine.Step(l.views, now)
	l.sendOrders(orders, now)
}
