package group

import "time"

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
	for rank, view := range views {
		if view.Known && view.Held {
			return rank, true
		}
	}
	return 0, false
}

// resolveWithoutRank resolves the hold of a leader whose host, and with it whose
// rank, is unreachable. That rank is armed last: if any other rank isn't armed, it
// isn't either, and the switch can be fenced without it.
func (l *Leader) resolveWithoutRank(rank int, views []View, now time.Time) ([]Order, Outcome) {
	someUnarmed := false
	for other, view := range views {
		someUnarmed = someUnarmed || (other != rank && view.Armed == 0)
	}
	if !someUnarmed {
		return nil, Pending
	}
	l.epoch, l.version = views[l.ownRank].Epoch, 0
	l.missingRank = rank
	return l.beginFence(views, now)
}

// beginFence fences the current switch under a version above all known ones.
func (l *Leader) beginFence(views []View, now time.Time) ([]Order, Outcome) {
	l.fenceVersion = l.nextVersion(max(highestVersion(views), l.version))
	l.lossy = true
	l.enterPhase(Fencing, now)
	return l.fence(views, now)
}

// fence disarms all ranks and orders them to prepare a newer version, after which
// they refuse a delayed Arm of the old one. Then it releases the hold.
func (l *Leader) fence(views []View, now time.Time) ([]Order, Outcome) {
	var orders []Order
	for rank, view := range views {
		switch {
		case rank == l.missingRank:
		case view.Armed != 0:
			orders = append(orders, l.newOrder(rank, Disarm, view.Armed, 0))
		case view.Prepared > l.fenceVersion:
			// Another leader uses newer versions.
			l.fenceVersion = l.nextVersion(highestVersion(views))
			l.phaseStart = now
			return nil, Pending
		case view.Prepared != l.fenceVersion:
			orders = append(orders, l.newOrder(rank, Prepare, l.fenceVersion, 0))
		}
	}
	if len(orders) > 0 {
		if now.Sub(l.phaseStart) > fenceTimeout {
			l.fenceVersion = l.nextVersion(max(highestVersion(views), l.fenceVersion))
			l.phaseStart = now
			return nil, Pending
		}
		return orders, Pending
	}
	for rank, view := range views {
		if view.Held && rank != l.missingRank {
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
	for _, view := range views {
		if view.Held {
			held, pass = true, view.HeldPass
		}
		if view.Armed != 0 {
			armed++
			version = max(version, view.Armed)
		}
	}
	if !held && (armed == 0 || allArmedAlike(views)) {
		return nil, Pending
	}
	l.epoch, l.missingRank = views[0].Epoch, -1
	l.version = version
	if armed == 0 {
		return l.beginFence(views, now)
	}
	if !held {
		pass = armedPass(views)
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
	// No rank holds the pass. It is held at the rank after an unarmed one, which is
	// then the last to be armed.
	for rank, view := range views {
		if view.Armed == 0 {
			l.holderRank = (rank + 1) % l.size
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
