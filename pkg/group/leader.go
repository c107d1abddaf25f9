package group

// rankState is what a leader knows of a rank in its epoch.
type rankState struct {
	joined bool
	done   uint64
	held   map[uint64]bool
}

// Leader is what the leader of a group knows. Use NewLeader.
type Leader struct {
	epoch   Epoch
	ranks   map[string]*rankState
	names   []string
	step    uint64
	out     bool
	current uint64
	target  uint64
	orders  uint64
}

// NewLeader returns the leader of the named ranks who holds the lease with the
// fencing number, and who uses the given map until it is told another.
func NewLeader(names []string, fence, expertMap uint64) *Leader {
	l := &Leader{names: names, current: expertMap, target: expertMap}
	l.begin(NewEpoch(fence, 0))
	return l
}

// begin starts an epoch. Nothing is known of any rank in it.
func (l *Leader) begin(epoch Epoch) {
	l.epoch = epoch
	l.out = false
	l.ranks = make(map[string]*rankState, len(l.names))
	for _, name := range l.names {
		l.ranks[name] = &rankState{held: make(map[uint64]bool)}
	}
}

// Epoch returns the epoch, which ranks are to join.
func (l *Leader) Epoch() Epoch { return l.epoch }

// Order returns a new order, newer than all before.
func (l *Leader) Order() Order {
	l.orders++
	return NewOrder(l.epoch.fence, l.orders)
}

// Dropped takes note that a rank doesn't hold a map any more.
func (l *Leader) Dropped(name string, epoch Epoch, expertMap uint64) {
	if state := l.ranks[name]; state != nil && epoch == l.epoch {
		delete(state.held, expertMap)
	}
}

// Current returns the map that steps are released with.
func (l *Leader) Current() uint64 { return l.current }

// Target returns the map that steps are to be released with as soon as all
// ranks hold it.
func (l *Leader) Target() uint64 { return l.target }

// Use sets the target. The current map stays in use until every rank holds the
// target, so a switch that fails costs no step.
func (l *Leader) Use(expertMap uint64) { l.target = expertMap }

// Joined takes note that a rank has joined the epoch, with the last step that
// has ended there and the maps that it holds. Other epochs are left out.
func (l *Leader) Joined(name string, epoch Epoch, done uint64, held []uint64) {
	state := l.ranks[name]
	if state == nil || epoch != l.epoch {
		return
	}
	state.joined = true
	state.done = max(state.done, done)
	for _, expertMap := range held {
		state.held[expertMap] = true
	}
}

// Restarted takes note that a rank runs anew. Its epoch has ended: all ranks
// must join the next one.
func (l *Leader) Restarted(name string) {
	if l.ranks[name] != nil {
		l.begin(NewEpoch(l.epoch.fence, l.epoch.count+1))
	}
}

// Holds takes note that a rank holds a map in the epoch.
func (l *Leader) Holds(name string, epoch Epoch, expertMap uint64) {
	if state := l.ranks[name]; state != nil && epoch == l.epoch {
		state.held[expertMap] = true
	}
}

// Finished takes note that a step has ended at a rank.
func (l *Leader) Finished(name string, release Release) {
	if state := l.ranks[name]; state != nil && release.epoch == l.epoch {
		state.done = max(state.done, release.step)
	}
}

// allHold reports whether every rank holds a map.
func (l *Leader) allHold(expertMap uint64) bool {
	for _, state := range l.ranks {
		if !state.held[expertMap] {
			return false
		}
	}
	return true
}

// Next returns the release of the next step. It reports false while a rank
// hasn't joined, the step before hasn't ended everywhere, or no map is held by
// all.
func (l *Leader) Next() (Release, bool) {
	last := uint64(0)
	for _, state := range l.ranks {
		if !state.joined {
			return Release{}, false
		}
		last = max(last, state.done)
	}
	if l.out {
		for _, state := range l.ranks {
			if state.done < l.step {
				return Release{}, false
			}
		}
	}
	switch {
	case l.allHold(l.target):
		l.current = l.target
	case !l.allHold(l.current):
		return Release{}, false
	}
	l.step = last + 1
	l.out = true
	return NewRelease(l.epoch, l.step, l.current), true
}
