package group

import "time"

// leastGroup is the size from which on a rank can be done without: in a group of
// two, a leader that hears only itself knows nothing of who else leads.
const leastGroup = 3

// onlyMissing reports whether all ranks but one have reported lately, from one
// open epoch.
func (l *Leader) onlyMissing(rank int, views []View, now time.Time) bool {
	if len(views) != l.size || l.size < leastGroup || rank == l.own || now.Sub(views[rank].At) <= viewUse && views[rank].Known {
		return false
	}
	for other, view := range views {
		if other != rank && (!view.Known || !view.Open || now.Sub(view.At) > viewUse || view.Epoch != views[l.own].Epoch) {
			return false
		}
	}
	return true
}

// holding returns the rank that is seen to hold a pass.
func holding(views []View) (rank int, held bool) {
	for rank, view := range views {
		if view.Known && view.Held {
			return rank, true
		}
	}
	return 0, false
}

// resolveWithout ends the hold of a leader whose rank can't be reached with its
// host. That rank is armed last: if any other isn't armed, it isn't either, and
// the switch can be fenced without it.
func (l *Leader) resolveWithout(rank int, views []View, now time.Time) ([]Order, Outcome) {
	unarmed := false
	for other, view := range views {
		unarmed = unarmed || (other != rank && view.Armed == 0)
	}
	if !unarmed {
		return nil, Running
	}
	l.epoch, l.version = views[l.own].Epoch, 0
	l.missing = rank
	return l.beginFence(views, now)
}

func (l *Leader) beginFence(views []View, now time.Time) ([]Order, Outcome) {
	l.fence = l.next(max(highest(views), l.version))
	l.slow = true
	l.enter(Fencing, now)
	return l.fenceOff(views, now)
}

// fenceOff disarms all ranks and has them prepare a newer version, after which no
// late Arm is accepted, and then ends the hold.
func (l *Leader) fenceOff(views []View, now time.Time) ([]Order, Outcome) {
	var orders []Order
	for rank, view := range views {
		switch {
		case rank == l.missing:
		case view.Armed != 0:
			orders = append(orders, l.order(rank, Disarm, view.Armed, 0))
		case view.Prepared > l.fence:
			// Another leader is at work with newer versions.
			l.fence = l.next(highest(views))
			l.since = now
			return nil, Running
		case view.Prepared != l.fence:
			orders = append(orders, l.order(rank, Prepare, l.fence, 0))
		}
	}
	if len(orders) > 0 {
		if now.Sub(l.since) > fenceBound {
			l.fence = l.next(max(highest(views), l.fence))
			l.since = now
			return nil, Running
		}
		return orders, Running
	}
	for rank, view := range views {
		if view.Held && rank != l.missing {
			orders = append(orders, l.order(rank, Release, 0, view.HeldPass))
		}
	}
	if len(orders) > 0 {
		return orders, Running
	}
	l.phase, l.missing = Idle, -1
	return nil, Abandoned
}

// resolve brings to its end what another leader, or this one before it was
// suspended, has left held or armed.
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
	if !held && (armed == 0 || allArmed(views)) {
		return nil, Running
	}
	l.epoch, l.missing = views[0].Epoch, -1
	l.version = version
	if armed == 0 {
		return l.beginFence(views, now)
	}
	if !held {
		pass = armedPass(views)
	}
	l.pass = pass
	for _, view := range views {
		forThis := view.Armed == version && view.ArmedPass == pass
		if !forThis && (view.Armed != 0 || view.Prepared != version) {
			return l.beginFence(views, now)
		}
	}
	if held {
		l.enter(Arming, now)
		return l.arm(views, now)
	}
	for rank, view := range views {
		if view.Armed == 0 {
			l.holder = (rank + 1) % l.size
		}
	}
	l.enter(Holding, now)
	return l.hold(views, now)
}

// allArmed reports whether all ranks are armed for the same pass and version.
func allArmed(views []View) bool {
	for _, view := range views {
		if view.Armed == 0 || view.Armed != views[0].Armed || view.ArmedPass != views[0].ArmedPass {
			return false
		}
	}
	return true
}

func armedPass(views []View) uint64 {
	for _, view := range views {
		if view.Armed != 0 {
			return view.ArmedPass
		}
	}
	return 0
}
