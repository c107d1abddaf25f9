package group

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of a Rank. None of them has changed anything.
var (
	// ErrOldFence says that an order comes from a leader whose lease has passed
	// to another.
	ErrOldFence = eris.New("the fencing number is old")
	// ErrOldOrder says that a later order of the same leader was taken before.
	ErrOldOrder = eris.New("the order is old")
	// ErrOldEpoch says that a release isn't of the epoch that the rank has
	// joined.
	ErrOldEpoch = eris.New("the release is of another epoch")
	// ErrWrongStep says that a release isn't for the step that comes next.
	ErrWrongStep = eris.New("the release is for another step")
	// ErrNoMap says that the rank doesn't hold the map that a release names.
	ErrNoMap = eris.New("the map isn't held")
	// ErrNoRoom says that the rank can't hold one more map.
	ErrNoRoom = eris.New("there is no room for one more map")
)

// Epoch orders the runs of a group: by the leader's fencing number, and under
// one leader by a count.
type Epoch struct {
	fence uint64
	count uint64
}

// NewEpoch returns the epoch of a fencing number and a count.
func NewEpoch(fence, count uint64) Epoch { return Epoch{fence: fence, count: count} }

// Fence returns the fencing number of the epoch's leader.
func (e Epoch) Fence() uint64 { return e.fence }

// Compare returns a negative number if e is older than other, zero if they are
// the same, and a positive one otherwise.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(cmp.Compare(e.fence, other.fence), cmp.Compare(e.count, other.count))
}

// Order tells orders apart: by the leader's fencing number, and under one leader
// by a number that grows. A rank takes no order that is older than one that it
// has taken, so a late order can't undo a later one.
type Order struct {
	fence  uint64
	number uint64
}

// NewOrder returns the order of a fencing number and a number.
func NewOrder(fence, number uint64) Order { return Order{fence: fence, number: number} }

// Release lets ranks start a step with a map.
type Release struct {
	epoch  Epoch
	step   uint64
	expert uint64
}

// NewRelease returns the release of a step with the expert map of a number.
func NewRelease(epoch Epoch, step, expertMap uint64) Release {
	return Release{epoch: epoch, step: step, expert: expertMap}
}

// Epoch returns the epoch of the release.
func (r Release) Epoch() Epoch { return r.epoch }

// Step returns the step that may start.
func (r Release) Step() uint64 { return r.step }

// ExpertMap returns the number of the map to use.
func (r Release) ExpertMap() uint64 { return r.expert }

// Rank is what the agent of a rank knows. Use NewRank.
type Rank struct {
	order   Order
	epoch   Epoch
	done    uint64
	current Release
	running bool
	held    map[uint64]bool
	room    int
}

// NewRank returns a rank that has just started, with room for a number of maps:
// two while a switch goes on. Fence is the highest fencing number in the
// key-value service, which the agent reads before it takes its first order, so
// that an order from before its restart is refused.
func NewRank(fence uint64, room int) *Rank {
	return &Rank{order: NewOrder(fence, 0), room: room, held: make(map[uint64]bool)}
}

// admit refuses an order that is older than one that was taken.
func (r *Rank) admit(order Order) error {
	switch {
	case order.fence < r.order.fence:
		return ErrOldFence
	case order.fence == r.order.fence && order.number < r.order.number:
		return ErrOldOrder
	}
	r.order = order
	return nil
}

// Load takes the order to hold a map. It may be given again.
func (r *Rank) Load(order Order, expertMap uint64) error {
	if err := r.admit(order); err != nil {
		return err
	}
	if !r.held[expertMap] && len(r.held) >= r.room {
		return ErrNoRoom
	}
	r.held[expertMap] = true
	return nil
}

// Drop takes the order to forget a map, unless the running step uses it. It may
// be given again.
func (r *Rank) Drop(order Order, expertMap uint64) error {
	if err := r.admit(order); err != nil {
		return err
	}
	if !r.running || r.current.expert != expertMap {
		delete(r.held, expertMap)
	}
	return nil
}

// Held returns the maps that the rank holds, in order.
func (r *Rank) Held() []uint64 { return slices.Sorted(maps.Keys(r.held)) }

// Join takes part in an epoch. A step of an earlier epoch that hasn't ended is
// given up. It returns the last step that has ended at the rank.
func (r *Rank) Join(epoch Epoch) (done uint64, err error) {
	if epoch.fence < r.order.fence {
		return 0, ErrOldFence
	}
	if epoch.fence > r.order.fence {
		r.order = NewOrder(epoch.fence, 0)
	}
	switch order := epoch.Compare(r.epoch); {
	case order < 0:
		return 0, ErrOldEpoch
	case order > 0:
		r.epoch = epoch
		r.running = false
	}
	return r.done, nil
}

// Start starts the step of a release. A release that comes again starts nothing
// and is no error.
func (r *Rank) Start(release Release) (started bool, err error) {
	switch {
	case release.epoch != r.epoch:
		return false, ErrOldEpoch
	case release == r.current && (r.running || r.done >= release.step):
		return false, nil
	case r.running || release.step <= r.done:
		return false, ErrWrongStep
	case !r.held[release.expert]:
		return false, ErrNoMap
	}
	r.current = release
	r.running = true
	return true, nil
}

// Finish takes note that all ranks have taken part in the running step. It
// reports false if the step is not the one that runs.
func (r *Rank) Finish(release Release) bool {
	if !r.running || r.current != release {
		return false
	}
	r.running = false
	r.done = release.step
	return true
}
