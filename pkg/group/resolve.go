package group

import (
	"slices"
	"time"
)

// minPartialGroup is the smallest group in which a switch is resolved without one
// of its ranks. In a group of two, a leader that receives only its own rank's
// reports can't tell whether the other agent leads as well.
const minPartialGroup = 3

// allReportedExcept reports whether the given rank is the only one that has not
// reported recently, and all others are in the same epoch with the group open. It
// reports false for the leader's own rank and in groups below minPartialGroup.
func (l *Leader) allReportedExcept(rank int, views []View, now time.Time) bool {
	if len(views) != l.size || l.size < minPartialGroup || rank == l.ownRank || now.Sub(views[rank].ReportedAt) <= maxReportAge && views[rank].Known {
		return false
	}
	for other, view := range views {
		if other != rank && (!view.Known || !view.Open || now.Sub(view.ReportedAt) > maxReportAge || view.Epoch != views[l.ownRank].Epoch) {
			return false
		}
	}
	return true
}

// findHolder returns the first rank that reports to hold a pass.
func findHolder(views []View) (rank int, held bool) {
	rank = slices.IndexFunc(views, isHolding)
	return max(0, rank), rank >= 0
}

func isHolding(view View) bool { return view.Known && view.Held }

// resolveWithoutPivot resolves the hold of a leader whose host, and with it whose rank,
// is unreachable. That rank is the pivot, so the others mostly show whether it is armed,
// see armStage. The switch is then completed if it is and fenced if it isn't. Otherwise
// the group has to wait for the pivot's host.
func (l *Leader) resolveWithoutPivot(holder int, views []View, now time.Time) ([]Order, Outcome) {
	pivot, hold := l.pivot(holder), views[holder]
	othersArmed, canComplete := false, hold.ArmedPass == hold.HeldPass
	for rank, view := range views {
		switch {
		case rank == pivot || rank == holder:
		case view.Held:
			// Only one of the holds belongs to the switch.
			return nil, Pending
		case view.Armed == hold.Armed && view.ArmedPass == hold.ArmedPass:
			othersArmed = true
		default:
			canComplete = canComplete && view.Armed == 0 && view.Prepared == hold.Armed
		}
	}
	l.epoch, l.holderRank, l.armOrdered = views[l.ownRank].Epoch, holder, nil
	l.version, l.switchPass = hold.Armed, hold.HeldPass
	switch {
	case hold.Armed == 0:
		l.missingRank, l.missingArmed = pivot, false
		return l.beginFence(views, now)
	case othersArmed && canComplete:
		l.missingRank, l.missingArmed = pivot, true
		l.enterPhase(Arming, now)
		return l.arm(views, now)
	default:
		return nil, Pending
	}
}

// findSilent returns the only rank that has not reported recently.
func (l *Leader) findSilent(views []View, now time.Time) (rank int, found bool) {
	for rank := range views {
		if l.allReportedExcept(rank, views, now) {
			return rank, true
		}
	}
	return 0, false
}

// omit makes a switch of this leader that has come to a hold go on without a silent rank,
// and reports whether it may: the rank must be known to be armed or known not to be. In
// the latter case the switch can't be completed, and is fenced, which takes another rank
// that isn't armed.
func (l *Leader) omit(rank int, views []View, now time.Time) bool {
	if _, held := findHolder(views); !held || views[rank].Held {
		return false
	}
	armed := false
	switch l.phase {
	case Holding, Arming, Releasing:
		armed = l.phase == Releasing || l.wasArmed(views[rank], now)
		if l.armOrdered == nil || !armed && (l.armOrdered[rank] || !l.anyOtherUnarmed(rank, views)) {
			return false
		}
	case Fencing:
		if view := views[rank]; view.Armed != 0 || view.Prepared != l.fenceVersion {
			return false
		}
	default:
		return false
	}
	l.missingRank, l.missingArmed = rank, armed
	if !armed && l.phase != Fencing {
		l.enterFence(views, now)
	}
	return true
}

// anyOtherUnarmed reports whether any rank but the given one isn't armed.
func (l *Leader) anyOtherUnarmed(rank int, views []View) bool {
	for other, view := range views {
		if other != rank && view.Armed == 0 {
			return true
		}
	}
	return false
}

// wasArmed reports whether a silent rank's last report shows that it is armed for the
// switch. It remains so, since no other leader has received reports meanwhile.
func (l *Leader) wasArmed(view View, now time.Time) bool {
	return view.Known && view.Epoch == l.epoch && view.Armed == l.version && view.ArmedPass == l.switchPass && now.Sub(view.ReportedAt) < armTimeout
}

// canFence reports whether the switch may be given up: not if it goes on without a rank
// that is armed.
func (l *Leader) canFence() bool { return l.missingRank < 0 || !l.missingArmed }

// beginFence fences the current switch.
func (l *Leader) beginFence(views []View, now time.Time) ([]Order, Outcome) {
	l.enterFence(views, now)
	return l.fence(views, now)
}

// enterFence begins a fence under a version above all known ones.
func (l *Leader) enterFence(views []View, now time.Time) {
	l.fenceVersion = l.newVersion(views, l.version)
	l.lossy = true
	l.enterPhase(Fencing, now)
}

// fence orders the ranks to prepare a newer version, after which they refuse a delayed
// Arm of the old one, and then releases the hold. The ranks that aren't armed go first:
// their newer version shows every other leader that the switch can't be completed. Only
// then are ranks disarmed, in the reverse order of armStage.
func (l *Leader) fence(views []View, now time.Time) ([]Order, Outcome) {
	var orders, disarms []Order
	stage := holderStage
	for rank, view := range views {
		switch {
		case rank == l.missingRank:
		case view.Armed != 0:
			if rankStage := l.armStage(rank); rankStage > stage {
				disarms, stage = nil, rankStage
			} else if rankStage < stage {
				continue
			}
			disarms = append(disarms, l.newOrder(rank, Disarm, view.Armed, 0))
		case view.Prepared > l.fenceVersion:
			// Another leader uses newer versions.
			l.fenceVersion = l.newVersion(views, 0)
			l.phaseStart = now
			return nil, Pending
		case view.Prepared != l.fenceVersion:
			orders = append(orders, l.newOrder(rank, Prepare, l.fenceVersion, 0))
		}
	}
	if len(orders) == 0 {
		orders = disarms
	}
	if len(orders) > 0 {
		if now.Sub(l.phaseStart) > fenceTimeout {
			l.fenceVersion = l.newVersion(views, l.fenceVersion)
			l.phaseStart = now
			return nil, Pending
		}
		return orders, Pending
	}
	for rank, view := range views {
		if view.Held && rank != l.missingRank {
			if view.HeldPass > max(taggedPass(l.fenceVersion, l.epoch, newestPass(views)), newestPass(views)) {
				// The ranks' versions must show the pass before it is released.
				l.enterFence(views, now)
				return nil, Pending
			}
			orders = append(orders, l.newOrder(rank, Release, 0, view.HeldPass))
		}
	}
	if len(orders) > 0 {
		return orders, Pending
	}
	l.missingRank = -1
	l.enterPhase(Idle, now)
	return nil, Abandoned
}

// resolve completes or fences a switch that another leader has left unfinished, or
// this one before it was suspended.
func (l *Leader) resolve(views []View, now time.Time) ([]Order, Outcome) {
	held, armed, pass, version := false, 0, uint64(0), uint64(0)
	for rank, view := range views {
		if view.Held {
			held, pass, l.holderRank = true, view.HeldPass, rank
		}
		if view.Armed != 0 {
			armed++
			version = max(version, view.Armed)
		}
	}
	if !held && (armed == 0 || allArmedAlike(views)) {
		return nil, Pending
	}
	if !held {
		pass = armedPass(views)
	}
	if pass <= newestPass(views) {
		// The reports are from before and after the pass began. It isn't held any more,
		// and all ranks use one map in it.
		return nil, Pending
	}
	l.epoch, l.missingRank, l.armOrdered = views[0].Epoch, -1, nil
	l.version = version
	if armed == 0 {
		return l.beginFence(views, now)
	}
	l.switchPass = pass
	for _, view := range views {
		matches := view.Armed == version && view.ArmedPass == pass
		if !matches && (view.Armed != 0 || view.Prepared != version) {
			return l.beginFence(views, now)
		}
	}
	if held {
		l.enterPhase(Arming, now)
		return l.arm(views, now)
	}
	// No rank holds the pass. It is held at an armed rank, if possible at one whose
	// pivot is armed as well, as armStage would have left it.
	for rank, view := range views {
		if view.Armed != 0 && (views[l.holderRank].Armed == 0 || views[l.pivot(rank)].Armed != 0) {
			l.holderRank = rank
		}
	}
	l.enterPhase(Holding, now)
	return l.hold(views, now)
}

// allArmedAlike reports whether all ranks are armed for the same version and pass.
func allArmedAlike(views []View) bool {
	for _, view := range views {
		if view.Armed == 0 || view.Armed != views[0].Armed || view.ArmedPass != views[0].ArmedPass {
			return false
		}
	}
	return true
}

// armedPass returns the pass that the first armed rank is armed for.
func armedPass(views []View) uint64 {
	for _, view := range views {
		if view.Armed != 0 {
			return view.ArmedPass
		}
	}
	return 0
}
