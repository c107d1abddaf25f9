package group

import "time"

// View is what a rank reported last.
type View struct {
	// Known says that the rank has reported at all.
	Known bool
	// At is when the report came.
	At time.Time
	// Epoch counts the formations of the group; Open groups run passes.
	Epoch uint64
	Open  bool
	// Pass is the last pass that was begun.
	Pass uint64
	// Map is the version in use, Prepared the version that is ready, zero if none.
	Map, Prepared uint64
	// Armed is the version that ArmedPass begins with, zero if none.
	Armed, ArmedPass uint64
	// Held says that HeldPass doesn't begin until it is released.
	Held     bool
	HeldPass uint64
}

// Kind is what an order asks of a rank.
type Kind int

// The kinds of orders.
const (
	Prepare Kind = iota + 1
	Arm
	Disarm
	Hold
	Release
)

// Order asks one rank for something. It is carried out again until the rank's
// reports show it.
type Order struct {
	Rank    int
	Kind    Kind
	Epoch   uint64
	Version uint64
	Pass    uint64
}

// Phase is how far a switch has come.
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

// Bounds of a switch.
const (
	// viewUse is how old a report may be to decide by; agents report each 100 ms.
	viewUse = 350 * time.Millisecond
	// newcomerWait is how long a new leader only listens: by then all that a leader
	// before it believes is too old for it to decide by.
	newcomerWait = viewUse + 50*time.Millisecond
	// prepareBound, holdBound and armBound bound the phases. Copies take some hundred
	// milliseconds, and an order that is lost is given again after 150 ms; while
	// ranks are armed the group may have to wait, so that phase is short.
	prepareBound = 4 * time.Second
	holdBound    = 2 * time.Second
	armBound     = 1500 * time.Millisecond
	settleBound  = 2 * time.Second
	// fenceBound is how long ranks may take to prepare a fence, which copies nothing,
	// before a newer version is tried: a rank may refuse a version for good.
	fenceBound = time.Second
	// usualLead is how far ahead a switch is put: the hold and the arming take two
	// rounds of reports, and a group that reaches the hold before stands still.
	// slowLead is used while orders get lost, and
	// leadPerRank is added for each rank: the leader's link and processor take them
	// one after the other.
	usualLead   = 280 * time.Millisecond
	slowLead    = 700 * time.Millisecond
	leadPerRank = 2500 * time.Microsecond
	// leastLead and mostLead bound the lead in passes.
	leastLead = 3
	mostLead  = 14
	// usualPass is how long a pass is taken to be before any was timed.
	usualPass = 50 * time.Millisecond
)

// Outcome is how a switch ended.
type Outcome int

// The outcomes of a switch.
const (
	// Running says that a switch goes on, or that there is none.
	Running Outcome = iota
	// Done says that all ranks use the new map.
	Done
	// Abandoned says that all ranks keep the map that they had.
	Abandoned
)

// Leader leads the switches of one group. It is a plain state machine: Step takes
// what the ranks report and returns the orders that are due. Use NewLeader.
type Leader struct {
	size    int
	own     int
	holder  int
	phase   Phase
	epoch   uint64
	version uint64
	fence   uint64
	pass    uint64
	since   time.Time
	slow    bool
	began   time.Time
	// passTime is how long a pass takes, zero if unknown.
	passTime time.Duration
	missing  int
	next     func(above uint64) uint64
}

// NewLeader returns the leader, beside the rank own, of a group of size ranks.
// Next returns a new version above another one, unlike any that another leader
// chooses.
//
// A leader holds passes at the rank after its own. The rank before the one that
// holds is always armed last, whoever leads by then: if the leader's host fails,
// others can still end the hold, and know that its rank is armed only if all are.
func NewLeader(size, own int, next func(above uint64) uint64) *Leader {
	return &Leader{size: size, own: own, holder: (own + 1) % size, missing: -1, next: next}
}

// armedLast returns the rank that is armed after all others when rank holder
// holds the pass.
func (l *Leader) armedLast(holder int) int { return (holder + l.size - 1) % l.size }

// SetPassTime tells how long a pass takes.
func (l *Leader) SetPassTime(span time.Duration) { l.passTime = span }

// Phase returns how far the switch has come.
func (l *Leader) Phase() Phase { return l.phase }

// Version returns the version that is being switched to, or the fence's while
// fencing.
func (l *Leader) Version() uint64 {
	if l.phase == Fencing {
		return l.fence
	}
	return l.version
}

// IsFence reports whether the ranks must prepare the map that is in use.
func (l *Leader) IsFence() bool { return l.phase == Fencing }

// Begin begins a switch to a new version and returns it. It must only be called
// when CanBegin.
func (l *Leader) Begin(views []View, now time.Time) uint64 {
	l.epoch, l.missing = views[0].Epoch, -1
	l.holder = (l.own + 1) % l.size
	l.version = l.next(highest(views))
	l.enter(Preparing, now)
	return l.version
}

// CanBegin reports whether a switch may begin: the group is open, all ranks have
// reported lately, use one map and have nothing armed or held.
func (l *Leader) CanBegin(views []View, now time.Time) bool {
	if l.phase != Idle || l.began.IsZero() || now.Sub(l.began) < newcomerWait || !l.complete(views, now) {
		return false
	}
	for _, view := range views {
		if view.Armed != 0 || view.Held || view.Map != views[0].Map {
			return false
		}
	}
	return true
}

// Reset forgets what the leader was about to do, as when it was suspended: what
// it believed of the ranks may be old. What is held or armed is found again.
func (l *Leader) Reset() { l.phase, l.began = Idle, time.Time{} }

func (l *Leader) enter(phase Phase, now time.Time) {
	l.phase = phase
	l.since = now
}

// complete reports whether all ranks have reported lately, from one open epoch.
func (l *Leader) complete(views []View, now time.Time) bool {
	if len(views) != l.size {
		return false
	}
	for _, view := range views {
		if !view.Known || !view.Open || now.Sub(view.At) > viewUse || view.Epoch != views[0].Epoch {
			return false
		}
	}
	return true
}

func highest(views []View) uint64 {
	most := uint64(0)
	for _, view := range views {
		most = max(most, view.Map, view.Prepared, view.Armed)
	}
	return most
}

func newestPass(views []View) uint64 {
	newest := uint64(0)
	for _, view := range views {
		newest = max(newest, view.Pass)
	}
	return newest
}

// Step takes the ranks' views and returns the orders that are due now, and how a
// switch ended if one did.
func (l *Leader) Step(views []View, now time.Time) ([]Order, Outcome) {
	if l.began.IsZero() {
		l.began = now
	}
	if now.Sub(l.began) < newcomerWait {
		return nil, Running
	}
	if l.phase != Idle && l.changedEpoch(views) {
		// The group formed anew, with the first map and nothing armed or held.
		l.phase = Idle
		return nil, Abandoned
	}
	if holder, held := holding(views); l.phase == Idle && held && l.onlyMissing(l.armedLast(holder), views, now) {
		return l.resolveWithout(l.armedLast(holder), views, now)
	}
	if l.phase == Fencing && l.missing >= 0 && l.onlyMissing(l.missing, views, now) {
		return l.fenceOff(views, now)
	}
	if !l.complete(views, now) {
		return nil, Running
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
		return l.fenceOff(views, now)
	default:
		return l.resolve(views, now)
	}
}

func (l *Leader) changedEpoch(views []View) bool {
	for _, view := range views {
		if view.Known && view.Epoch > l.epoch {
			return true
		}
	}
	return false
}

func (l *Leader) order(rank int, kind Kind, version, pass uint64) Order {
	return Order{Rank: rank, Kind: kind, Epoch: l.epoch, Version: version, Pass: pass}
}

// prepare has all ranks copy the map.
func (l *Leader) prepare(views []View, now time.Time) ([]Order, Outcome) {
	var orders []Order
	for rank, view := range views {
		if view.Prepared != l.version {
			orders = append(orders, l.order(rank, Prepare, l.version, 0))
		}
	}
	if len(orders) > 0 {
		if now.Sub(l.since) > prepareBound {
			l.phase, l.slow = Idle, true
			return nil, Abandoned
		}
		return orders, Running
	}
	l.pass = newestPass(views) + l.lead()
	l.enter(Holding, now)
	return l.hold(views, now)
}

// lead returns how many passes ahead a switch is put.
func (l *Leader) lead() uint64 {
	lead, pass := usualLead, l.passTime
	if l.slow {
		lead = slowLead
	}
	if pass <= 0 {
		pass = usualPass
	}
	lead += time.Duration(l.size) * leadPerRank
	return uint64(min(mostLead, max(leastLead, (lead+pass-1)/pass)))
}

// hold has one rank hold the pass of the switch, before anything is armed.
func (l *Leader) hold(views []View, now time.Time) ([]Order, Outcome) {
	for _, view := range views {
		if view.Held && view.HeldPass == l.pass {
			l.enter(Arming, now)
			return l.arm(views, now)
		}
	}
	if newestPass(views) >= l.pass || now.Sub(l.since) > holdBound {
		// Nothing is armed, and a Hold that comes late is refused.
		l.phase, l.slow = Idle, true
		return nil, Abandoned
	}
	return []Order{l.order(l.holder, Hold, 0, l.pass)}, Running
}

// arm has all ranks arm the map, and releases the pass when all are seen armed.
func (l *Leader) arm(views []View, now time.Time) ([]Order, Outcome) {
	var orders []Order
	last, lastDue := l.own, false
	if holder, held := holding(views); held {
		last = l.armedLast(holder)
	}
	for rank, view := range views {
		switch {
		case view.Armed == l.version && view.ArmedPass == l.pass:
		case view.Prepared != l.version:
			// Another leader has replaced the map.
			return l.beginFence(views, now)
		case rank == last:
			lastDue = true
		default:
			orders = append(orders, l.order(rank, Arm, l.version, l.pass))
		}
	}
	if lastDue && len(orders) == 0 {
		orders = append(orders, l.order(last, Arm, l.version, l.pass))
	}
	if len(orders) == 0 {
		l.slow = now.Sub(l.since) > armBound/4
		l.enter(Releasing, now)
		return l.release(views, now)
	}
	if now.Sub(l.since) > armBound {
		return l.beginFence(views, now)
	}
	return orders, Running
}

// release ends the hold of a pass that all ranks are armed for.
func (l *Leader) release(views []View, now time.Time) ([]Order, Outcome) {
	var orders []Order
	for rank, view := range views {
		if view.Held && view.HeldPass == l.pass {
			orders = append(orders, l.order(rank, Release, 0, l.pass))
		}
	}
	if len(orders) > 0 {
		return orders, Running
	}
	l.enter(Settling, now)
	return l.settle(views, now)
}

// settle waits until all ranks use the map.
func (l *Leader) settle(views []View, now time.Time) ([]Order, Outcome) {
	for _, view := range views {
		if view.Map == l.version {
			continue
		}
		if view.Held || now.Sub(l.since) > settleBound {
			// An idle group makes no passes: what is armed is found again later.
			l.phase = Idle
		}
		return nil, Running
	}
	l.phase = Idle
	return nil, Done
}
