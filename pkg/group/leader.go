package group

import (
	"slices"
	"time"
)

// View is the state of a rank as of its last report.
type View struct {
	// Known is true if the rank has reported since this leader started or was last
	// suspended.
	Known bool
	// ReportedAt is when the leader received the report.
	ReportedAt time.Time
	// Epoch counts how often the group has formed. The group runs passes while Open.
	Epoch uint64
	Open  bool
	// Pass is the last pass that has begun.
	Pass uint64
	// Map is the version in use. Prepared is the version that has been copied and is
	// ready to be armed, zero if there is none.
	Map, Prepared uint64
	// Ordered is the highest version that the rank is known to have been ordered to prepare,
	// also in earlier epochs. The rank refuses it and all versions below.
	Ordered uint64
	// Armed is the version that the rank switches to when ArmedPass begins, zero if
	// there is none.
	Armed, ArmedPass uint64
	// Held is true while the rank keeps HeldPass from beginning.
	Held     bool
	HeldPass uint64
}

// OrderKind is the operation that an order requests of a rank.
type OrderKind int

// The kinds of orders.
const (
	Prepare OrderKind = iota + 1
	Arm
	Disarm
	Hold
	Release
	// Report asks for a report of the rank's state and changes nothing.
	Report
)

// Order requests an operation of one rank. Step returns it again until the rank's
// reports show the result.
type Order struct {
	Rank    int
	Kind    OrderKind
	Epoch   uint64
	Version uint64
	Pass    uint64
}

// Phase is a stage of a switch. The package comment describes the stages.
type Phase int

// The phases of a switch.
const (
	Idle Phase = iota
	Preparing
	Holding
	Arming
	Releasing
	Settling
	Fencing
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"idle", "preparing", "holding", "arming", "releasing", "settling", "fencing"}[p]
}

// Timing of a switch.
const (
	// maxReportAge is the age up to which decisions may rely on a report. Agents
	// report every 100 ms.
	maxReportAge = 250 * time.Millisecond
	// freshReportAge, with leadTimePerRank for each rank, is the age up to which a report
	// shows that a rank's host is running.
	freshReportAge = 90 * time.Millisecond
	// takeoverDelay is how long a new leader only receives reports. After that, the
	// reports that the previous leader has received are too old for it to act on.
	takeoverDelay = maxReportAge + 50*time.Millisecond
	// prepareTimeout, holdTimeout, armTimeout and settleTimeout limit the phases.
	// Copying experts takes some hundred milliseconds, and a call to a rank that gets
	// no answer times out after 150 ms. armTimeout is short because the group has to
	// wait if it reaches the held pass while ranks are being armed.
	prepareTimeout = 4 * time.Second
	holdTimeout    = 2 * time.Second
	armTimeout     = 1500 * time.Millisecond
	settleTimeout  = 2 * time.Second
	// fenceTimeout is how long ranks may take to prepare a fence, which copies no
	// experts. After that a newer version is tried, since a rank may refuse a version
	// permanently.
	fenceTimeout = time.Second
	// defaultLeadTime is how far ahead of the newest pass a switch is scheduled.
	// Holding and arming take two rounds of reports, and a group that reaches the held
	// pass earlier has to wait. lossyLeadTime is used instead while orders get lost.
	// leadTimePerRank is added for each rank, since the leader's link and processor
	// handle the ranks one after the other. Once a switch has been armed, the time that
	// recent ones took is used instead of defaultLeadTime, and at least minLeadTime: one
	// round of reports.
	defaultLeadTime = 280 * time.Millisecond
	minLeadTime     = 100 * time.Millisecond
	lossyLeadTime   = 700 * time.Millisecond
	leadTimePerRank = 2500 * time.Microsecond
	// minLeadPasses and maxLeadPasses limit the lead in passes. longLeadPasses is the
	// minimum if a pass takes at least the lead time: the pass under way may end at any
	// moment, and the one after it is long enough.
	minLeadPasses  = 3
	longLeadPasses = 2
	maxLeadPasses  = 14
	// maxPassesAhead limits the lead of a switch in an idle group, in which each one that is
	// given up makes the next one's lead longer.
	maxPassesAhead = 2 * maxLeadPasses
	// minPassWindow is the shortest span from which the duration of passes is estimated
	// while ranks prepare a map. Agents report every 100 ms.
	minPassWindow = 150 * time.Millisecond
	// defaultPassTime is the assumed duration of a pass until one has been measured.
	defaultPassTime = 50 * time.Millisecond
)

// Outcome is the result of a switch.
type Outcome int

// The outcomes of a switch.
const (
	// Pending means that a switch is in progress or that there is none.
	Pending Outcome = iota
	// Done means that all ranks use the new map.
	Done
	// Abandoned means that all ranks keep their previous map.
	Abandoned
)

// Leader runs the switches of one group. It is a state machine without I/O: Step
// takes the reported states of the ranks and returns the orders that are due. Use
// NewLeader.
type Leader struct {
	size    int
	ownRank int
	// holderRank is the rank that holds or is to hold the pass of the switch.
	holderRank int
	phase      Phase
	epoch      uint64
	// version is the version being switched to, fenceVersion the one that fences it.
	version      uint64
	fenceVersion uint64
	// switchPass is the first pass with the new map.
	switchPass uint64
	phaseStart time.Time
	// times has the durations of the phases of the current or last switch.
	times Times
	// lossy is set after a switch that timed out, was fenced or took long to arm, as
	// when orders get lost. It is cleared after a switch that was armed quickly.
	lossy bool
	// armTimes has the times that recent switches took from being scheduled until all
	// ranks were armed.
	armTimes armTimes
	// startedAt is when the leader began to receive reports, zero before the first
	// Step and after Reset.
	startedAt time.Time
	// passTime is the measured duration of a pass, zero if unknown.
	passTime time.Duration
	// passes measures passes while ranks prepare a map.
	passes passMeter
	// dueAt is when the switch was last known to be certain: all ranks were armed and
	// none held the pass.
	dueAt time.Time
	// missingRank is the unreachable rank that the switch goes on without, -1 if none.
	// Its rank is known to be armed if missingArmed is set, and known not to be
	// otherwise.
	missingRank  int
	missingArmed bool
	// armOrdered has the ranks that were ordered to arm the version being switched to.
	// It is nil for a switch that another leader began, whose orders are unknown.
	armOrdered map[int]bool
	nextNumber func(above uint64) uint64
}

// NewLeader returns the leader of a group of size ranks that runs on the host of
// rank own. The function next returns a number above the given one that no other
// leader chooses. Numbers below 2^40 make versions that JSON represents exactly.
//
// A leader holds passes at the rank after its own, so that another leader can release
// the hold if the leader's host fails. See armStage for how that leader finds out whether
// the failed host's rank is armed.
func NewLeader(size, own int, next func(above uint64) uint64) *Leader {
	return &Leader{size: size, ownRank: own, holderRank: (own + 1) % size, missingRank: -1, nextNumber: next}
}

// pivot returns the rank before the one that holds a pass. Normally it is the rank on
// the host of the leader that had the pass held.
func (l *Leader) pivot(holder int) int { return (holder + l.size - 1) % l.size }

// The stages in which ranks are armed. A fence disarms them in the reverse order.
const (
	holderStage = iota
	pivotStage
	otherStage
)

// armStage returns the stage in which a rank is armed: the rank that holds the pass
// first, then its pivot, then all others. Each stage begins when the one before it is
// reported to be complete. The pivot is therefore not armed if the holder isn't, and it
// is armed if one of the others is. Only between these two reports can nobody but the
// pivot's own host tell.
func (l *Leader) armStage(rank int) int {
	switch rank {
	case l.holderRank:
		return holderStage
	case l.pivot(l.holderRank):
		return pivotStage
	default:
		return otherStage
	}
}

// SetPassTime sets the measured duration of a pass.
func (l *Leader) SetPassTime(span time.Duration) { l.passTime = span }

// Phase returns the phase of the current switch, Idle if there is none.
func (l *Leader) Phase() Phase { return l.phase }

// Version returns the version that the ranks are to prepare: the fence's while
// fencing, the new map's otherwise.
func (l *Leader) Version() uint64 {
	if l.phase == Fencing {
		return l.fenceVersion
	}
	return l.version
}

// SwitchVersion returns the version of the new map of the current or last switch, also
// while that is fenced under another version.
func (l *Leader) SwitchVersion() uint64 { return l.version }

// SwitchPass returns the pass at which the current or last switch takes effect, zero before the
// first one has been scheduled.
func (l *Leader) SwitchPass() uint64 { return l.switchPass }

// IsFencing reports whether the ranks are to prepare the map in use again, under a
// newer version.
func (l *Leader) IsFencing() bool { return l.phase == Fencing }

// Begin starts a switch to a new version and returns the version. CanBegin must
// have returned true for the same arguments.
func (l *Leader) Begin(views []View, now time.Time) uint64 {
	l.epoch, l.missingRank = views[0].Epoch, -1
	l.armOrdered = make(map[int]bool)
	l.holderRank = (l.ownRank + 1) % l.size
	l.version = l.newVersion(views, max(l.version, l.fenceVersion))
	l.passes = newPassMeter(newestPass(views), now)
	l.enterPhase(Preparing, now)
	return l.version
}

// newVersion returns a version above the given one and those of the ranks, with the tag of the
// highest pass that is in use.
func (l *Leader) newVersion(views []View, above uint64) uint64 {
	number := l.nextNumber(versionNumber(max(above, highestVersion(views))))
	return tagVersion(number, l.epoch, usedPass(views))
}

// CanBegin reports whether a switch may start: the group is open, all ranks have
// reported recently, use the same map and have nothing armed or held. An idle group in which
// switches were given up must make passes before it gets another one.
func (l *Leader) CanBegin(views []View, now time.Time) bool {
	if l.phase != Idle || l.startedAt.IsZero() || now.Sub(l.startedAt) < takeoverDelay || !l.allReported(views, now) {
		return false
	}
	for _, view := range views {
		if view.Armed != 0 || view.Held || view.Map != views[0].Map {
			return false
		}
	}
	return usedPass(views) < newestPass(views)+maxPassesAhead
}

// Reset drops the current switch. It is called after the process was suspended,
// when the views may be outdated. Step later finds and resolves what is still held
// or armed.
func (l *Leader) Reset() {
	l.phase, l.startedAt = Idle, time.Time{}
	l.missingRank, l.armOrdered = -1, nil
}

func (l *Leader) enterPhase(phase Phase, now time.Time) {
	if l.phase == Idle {
		l.times = Times{}
	} else {
		l.times[l.phase] += now.Sub(l.phaseStart)
	}
	l.phase = phase
	l.phaseStart = now
}

// Times has the duration of each phase of a switch, by phase.
type Times [Fencing + 1]time.Duration

// Times returns the durations of the completed phases of the current or last switch.
func (l *Leader) Times() Times { return l.times }

// allReported reports whether all ranks have reported recently, in the same epoch
// and with the group open.
func (l *Leader) allReported(views []View, now time.Time) bool {
	if len(views) != l.size {
		return false
	}
	for _, view := range views {
		if !view.Known || !view.Open || now.Sub(view.ReportedAt) > maxReportAge || view.Epoch != views[0].Epoch {
			return false
		}
	}
	return true
}

// highestVersion returns the highest version that any rank reports to know.
func highestVersion(views []View) uint64 {
	highest := uint64(0)
	for _, view := range views {
		highest = max(highest, view.Map, view.Prepared, view.Armed, view.Ordered)
	}
	return highest
}

// newestPass returns the newest pass that any rank reports to have begun.
func newestPass(views []View) uint64 {
	newest := uint64(0)
	for _, view := range views {
		newest = max(newest, view.Pass)
	}
	return newest
}

// Step takes the views of all ranks and returns the orders that are due now, and
// the outcome of a switch that has ended.
func (l *Leader) Step(views []View, now time.Time) ([]Order, Outcome) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if now.Sub(l.startedAt) < takeoverDelay {
		return nil, Pending
	}
	if l.phase != Idle && l.epochAdvanced(views) {
		// The group has formed again, with the initial map and nothing armed or held.
		l.phase = Idle
		return nil, Abandoned
	}
	if holder, held := findHolder(views); l.phase == Idle && held && l.allReportedExcept(l.pivot(holder), views, now) {
		return l.resolveWithoutPivot(holder, views, now)
	}
	if !l.allReported(views, now) {
		silent, found := l.findSilent(views, now)
		if !found {
			// This leader may be cut off, and another one may take its place.
			l.armOrdered = nil
		}
		if !found || silent != l.missingRank && !l.omit(silent, views, now) {
			return nil, Pending
		}
	} else {
		l.missingRank = -1
	}
	switch l.phase {
	case Preparing:
		return l.prepare(views, now)
	case Holding:
		return l.hold(views, now)
	case Arming:
		return l.arm(views, now)
	case Releasing:
		return l.release(views, now)
	case Settling:
		return l.settle(views, now)
	case Fencing:
		return l.fence(views, now)
	default:
		return l.resolve(views, now)
	}
}

// epochAdvanced reports whether a rank reports an epoch after that of the switch.
func (l *Leader) epochAdvanced(views []View) bool {
	for _, view := range views {
		if view.Known && view.Epoch > l.epoch {
			return true
		}
	}
	return false
}

func (l *Leader) newOrder(rank int, kind OrderKind, version, pass uint64) Order {
	return Order{Rank: rank, Kind: kind, Epoch: l.epoch, Version: version, Pass: pass}
}

// prepare orders all ranks to copy the map.
func (l *Leader) prepare(views []View, now time.Time) ([]Order, Outcome) {
	l.passes.observe(newestPass(views), now)
	var orders []Order
	for rank, view := range views {
		if view.Prepared != l.version {
			orders = append(orders, l.newOrder(rank, Prepare, l.version, 0))
		}
	}
	if len(orders) > 0 {
		if now.Sub(l.phaseStart) > prepareTimeout {
			l.lossy = true
			l.enterPhase(Idle, now)
			return nil, Abandoned
		}
		return orders, Pending
	}
	// A release that is carried out late must not end the hold of a later switch, so that
	// no switch has the pass of an earlier one.
	l.switchPass = max(newestPass(views)+l.leadPasses(now), usedPass(views)+1)
	l.enterPhase(Holding, now)
	return l.hold(views, now)
}

// leadPasses returns how many passes ahead a switch is scheduled.
func (l *Leader) leadPasses(now time.Time) uint64 {
	average := l.passTime
	if average <= 0 {
		average = defaultPassTime
	}
	pass := l.passes.estimate(average, now)
	if leadTime := l.armTimes.leadTime(); leadTime > 0 && !l.lossy {
		// The pass under way may end at any moment. The average is too long after a time
		// without requests, in which a group runs no passes, hence minLeadPasses.
		return uint64(min(maxLeadPasses, max(minLeadPasses, 1+(leadTime+pass-1)/pass)))
	}
	leadTime := defaultLeadTime
	if l.lossy {
		leadTime = lossyLeadTime
	}
	if l.passTime <= 0 && !l.lossy {
		// The passes of a group that has just opened are long, as many prompts are read on
		// the initial map. With shorter ones the group waits until the ranks are armed.
		return minLeadPasses
	}
	leadTime += time.Duration(l.size) * leadTimePerRank
	least := time.Duration(minLeadPasses)
	if pass >= leadTime {
		least = longLeadPasses
	}
	return uint64(min(maxLeadPasses, max(least, (leadTime+pass-1)/pass)))
}

// armTimes is a moving average of the times that switches take from being scheduled until all
// ranks are armed, and of their deviation from it. The zero value has none.
type armTimes struct {
	mean, deviation time.Duration
}

// Weights of armTimes. They are those of the retransmission timeout of TCP (RFC 6298), but for
// the deviation, which is multiplied by 2 instead of 4: a group that reaches the held pass early
// only waits for the rest of the arming.
const (
	armMeanDivisor      = 8
	armDeviationDivisor = 4
	armDeviations       = 2
)

// add adds the time that a switch took.
func (a *armTimes) add(span time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = span, span/2
		return
	}
	difference := span - a.mean
	a.mean += difference / armMeanDivisor
	a.deviation += (max(difference, -difference) - a.deviation) / armDeviationDivisor
}

// leadTime returns how far ahead a switch is scheduled, zero if none has been armed yet.
func (a *armTimes) leadTime() time.Duration {
	if a.mean == 0 {
		return 0
	}
	return max(minLeadTime, a.mean+armDeviations*a.deviation)
}

// hold orders one rank to hold the pass of the switch, before anything is armed.
func (l *Leader) hold(views []View, now time.Time) ([]Order, Outcome) {
	for _, view := range views {
		if view.Held && view.HeldPass == l.switchPass {
			l.enterPhase(Arming, now)
			return l.arm(views, now)
		}
	}
	if newestPass(views) >= l.switchPass || now.Sub(l.phaseStart) > holdTimeout {
		// Nothing is armed, unless the hold was lost; resolve finds such ranks. A Hold that
		// arrives after its pass has begun is refused.
		l.lossy = true
		l.enterPhase(Idle, now)
		return nil, Abandoned
	}
	return []Order{l.newOrder(l.holderRank, Hold, 0, l.switchPass)}, Pending
}

// isArmed reports whether a rank is armed for the switch.
func (l *Leader) isArmed(rank int, view View) bool {
	if rank == l.missingRank {
		return l.missingArmed
	}
	return view.Armed == l.version && view.ArmedPass == l.switchPass
}

// arm orders the ranks to arm the map, stage by stage, and releases the pass once all
// are reported armed.
func (l *Leader) arm(views []View, now time.Time) ([]Order, Outcome) {
	if !slices.ContainsFunc(views, func(view View) bool { return view.Held && view.HeldPass == l.switchPass }) {
		// Without the hold the pass may begin while some ranks are armed.
		l.enterPhase(Holding, now)
		return l.hold(views, now)
	}
	stage, due := otherStage, []int(nil)
	for rank, view := range views {
		if l.isArmed(rank, view) {
			continue
		}
		if view.Prepared != l.version && l.canFence() {
			// Another leader has had the rank prepare another version.
			return l.beginFence(views, now)
		}
		if rankStage := l.armStage(rank); rankStage < stage {
			due, stage = []int{rank}, rankStage
		} else if rankStage == stage {
			due = append(due, rank)
		}
	}
	if len(due) == 0 {
		l.lossy = now.Sub(l.phaseStart) > armTimeout*3/8
		l.enterPhase(Releasing, now)
		if l.armOrdered != nil {
			l.armTimes.add(l.times[Holding] + l.times[Arming])
		}
		return l.release(views, now)
	}
	if now.Sub(l.phaseStart) > armTimeout && l.canFence() {
		return l.beginFence(views, now)
	}
	if reports := l.missingReports(due, views, now); len(reports) > 0 {
		return reports, Pending
	}
	var orders []Order
	for _, rank := range due {
		if l.armOrdered != nil {
			l.armOrdered[rank] = true
		}
		orders = append(orders, l.newOrder(rank, Arm, l.version, l.switchPass))
	}
	return orders, Pending
}

// missingReports returns orders to report for ranks whose hosts may not be running. Nobody
// can tell whether a rank is armed whose host stops before it reports the outcome, so
// arming has to be short: before the first rank is armed, all must have reported since
// the pass was held, and before each stage its ranks must have reported lately.
func (l *Leader) missingReports(stage []int, views []View, now time.Time) []Order {
	if l.armOrdered == nil || slices.ContainsFunc(stage, func(rank int) bool { return l.armOrdered[rank] }) {
		return nil
	}
	var orders []Order
	for rank, view := range views {
		late := now.Sub(view.ReportedAt) > freshReportAge+time.Duration(l.size)*leadTimePerRank && slices.Contains(stage, rank)
		if late || len(l.armOrdered) == 0 && view.ReportedAt.Before(l.phaseStart) {
			orders = append(orders, l.newOrder(rank, Report, 0, l.switchPass))
		}
	}
	return orders
}

// release releases the held pass, for which all ranks are armed.
func (l *Leader) release(views []View, now time.Time) ([]Order, Outcome) {
	var orders []Order
	for rank, view := range views {
		if view.Held && view.HeldPass == l.switchPass {
			orders = append(orders, l.newOrder(rank, Release, 0, l.switchPass))
		}
	}
	if len(orders) > 0 {
		return orders, Pending
	}
	l.enterPhase(Settling, now)
	return l.settle(views, now)
}

// settle waits until all ranks are reported to use the map. While all are armed and none
// holds a pass, the switch is certain and needs no more orders, however long it takes until
// its pass begins. Otherwise settle waits for no longer than settleTimeout. A duplicate of
// the Hold may have been carried out after the Release, or a Hold of an earlier switch.
func (l *Leader) settle(views []View, now time.Time) ([]Order, Outcome) {
	settled, due := true, true
	var orders []Order
	for rank, view := range views {
		settled = settled && view.Map == l.version
		due = due && !view.Held && l.isArmed(rank, view)
		if view.Held && view.HeldPass == l.switchPass {
			orders = append(orders, l.newOrder(rank, Release, 0, l.switchPass))
		}
	}
	if settled {
		l.enterPhase(Idle, now)
		return nil, Done
	}
	if due {
		l.dueAt = now
	}
	if now.Sub(l.phaseStart) > settleTimeout && now.Sub(l.dueAt) > settleTimeout {
		// resolve finds later what is still held or armed.
		l.enterPhase(Idle, now)
		return nil, Pending
	}
	return orders, Pending
}
