package rank

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// Carrying out orders.
const (
	// orderTTL is how long an order remains valid after the leader last sent it. The
	// leader sends the orders that are due again each orderResendInterval.
	orderTTL            = 400 * time.Millisecond
	orderResendInterval = 100 * time.Millisecond
	// prepareTTL and prepareResendInterval are the same for orders to prepare a map:
	// copying experts takes some hundred milliseconds, and a map has some kilobytes.
	prepareTTL            = 1500 * time.Millisecond
	prepareResendInterval = 250 * time.Millisecond
	// fullMapAfter is how many times a map is sent as changes before it is sent in full.
	fullMapAfter = 2
	// mapBytesPerSecond and mapBurst limit how fast a leader sends maps. The link of a
	// rank's host may carry no more than 8 Mbit/s, and drops what exceeds that.
	mapBytesPerSecond = 600_000
	mapBurst          = 20 * time.Millisecond
	// forwardThreshold is the time that the leader's link may take to carry a map to all
	// ranks before agents forward it to each other.
	forwardThreshold = 50 * time.Millisecond
	// orderHedgeDelay is how long a call with an order may take before another call
	// with the same order is started concurrently, up to maxHedges times. A rank on the
	// same host answers in about a millisecond, and a group that is held waits for its
	// slowest rank. A duplicate does no harm: the rank is already in the state that the
	// order asks for. A leader's calls to ranks on other hosts take longer, and the
	// platform charges for them.
	orderHedgeDelay       = 5 * time.Millisecond
	maxHedges             = 16
	remoteOrderHedgeDelay = 10 * time.Millisecond
	maxRemoteHedges       = 6
	// prepareHedgeDelay, with prepareHedgeDelayPerRank for each rank, is the delay of
	// orders to prepare a map: a rank takes longer to read one.
	prepareHedgeDelay        = 20 * time.Millisecond
	prepareHedgeDelayPerRank = 400 * time.Microsecond
	maxPrepareHedges         = 4
	// copyPollInterval is how often the rank's state is read while it copies experts.
	copyPollInterval = 25 * time.Millisecond
)

// orderState is the order that the agent carries out. A newer order replaces it.
type orderState struct {
	ctx        context.Context
	current    *wirepb.RankOrder
	receivedAt instant
	running    bool
}

// instant is a moment by the monotonic clock and by the wall clock.
type instant struct {
	monotonic, wall time.Time
}

func currentInstant() instant {
	now := time.Now()
	return instant{monotonic: now, wall: now.Round(0)}
}

// isWithin reports whether less than a span has passed since the instant, by both clocks.
// The monotonic clock stands still while the process is suspended; the wall clock doesn't,
// but may be set.
func (i instant) isWithin(span time.Duration) bool {
	now := time.Now()
	wall := now.Round(0).Sub(i.wall)
	return now.Sub(i.monotonic) <= span && wall <= span && wall >= -span
}

// sameOrder reports whether two orders request the same operation.
func sameOrder(a, b *wirepb.RankOrder) bool {
	return a != nil && b != nil && a.GetKind() == b.GetKind() && a.GetEpoch() == b.GetEpoch() &&
		a.GetVersion() == b.GetVersion() && a.GetPass() == b.GetPass()
}

// acceptOrder makes an order of the leader the current one.
func (a *Agent) acceptOrder(order *wirepb.RankOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if order.GetGroup() != a.state.Group || a.orders.ctx == nil {
		return
	}
	if order.GetKind() == wirepb.RankOrder_KIND_REPORT {
		go a.report(a.orders.ctx)
		return
	}
	a.orders.receivedAt = currentInstant()
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE {
		a.ordered = max(a.ordered, order.GetVersion())
	}
	if sameOrder(a.orders.current, order) && a.orders.running {
		return
	}
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE && !a.storePlan(order) {
		// The changes don't apply to a map that the agent knows. The leader sends the
		// full map after fullMapAfter attempts.
		return
	}
	a.orders.current = order
	if !a.orders.running {
		a.orders.running = true
		go a.runOrders(a.orders.ctx)
	}
}

// report reads the rank's state and reports it to the leader.
func (a *Agent) report(ctx context.Context) {
	a.pollRank(ctx)
	a.sendReport(ctx, skipCounts)
}

// activeOrder returns the current order if it is still valid and not achieved.
// Otherwise it returns nil and clears running, since runOrders then ends.
func (a *Agent) activeOrder() *wirepb.RankOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	order := a.orders.current
	ttl := orderTTL
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE {
		ttl = prepareTTL
	}
	if order == nil || !a.orders.receivedAt.isWithin(ttl) || achieved(order, a.state) || order.GetEpoch() != a.state.Epoch {
		a.orders.current, a.orders.running = nil, false
		return nil
	}
	return order
}

// achieved reports whether a rank's state shows the result of an order.
func achieved(order *wirepb.RankOrder, state platform.RankState) bool {
	switch order.GetKind() {
	case wirepb.RankOrder_KIND_PREPARE:
		return state.Prepared == order.GetVersion()
	case wirepb.RankOrder_KIND_ARM:
		return state.Armed == order.GetVersion() && state.ArmedPass == order.GetPass()
	case wirepb.RankOrder_KIND_DISARM:
		return state.Armed != order.GetVersion()
	case wirepb.RankOrder_KIND_HOLD:
		return state.IsHeld && state.Held == order.GetPass()
	case wirepb.RankOrder_KIND_RELEASE:
		return !state.IsHeld || state.Held != order.GetPass()
	default:
		return true
	}
}

// runOrders carries out orders until none is active.
func (a *Agent) runOrders(ctx context.Context) {
	// answered is the last order that the rank has accepted or refused.
	var answered *wirepb.RankOrder
	for ctx.Err() == nil {
		order := a.activeOrder()
		if order == nil {
			return
		}
		if sameOrder(order, answered) {
			time.Sleep(copyPollInterval)
		} else {
			a.mu.Lock()
			plan, size := a.plans.find(order.GetVersion()), a.state.Size
			a.mu.Unlock()
			switch err := callRankHedged(ctx, a.rank, order, plan, localHedges(order, size)); {
			case err == nil:
				answered = order
			case errors.Is(err, platform.ErrNoResponse):
				event.OrderUnanswered.Log(a.logger, zap.Stringer("kind", order.GetKind()), zap.Uint64("version", order.GetVersion()),
					zap.Uint64("pass", order.GetPass()))
			default:
				// The leader decides again when it receives the rank's state.
				event.OrderRefused.Log(a.logger, zap.Stringer("kind", order.GetKind()), zap.Uint64("version", order.GetVersion()),
					zap.Uint64("pass", order.GetPass()), event.Error(err))
				answered = order
			}
		}
		a.report(ctx)
	}
}

// hedges determines how soon and how often a call is repeated that isn't answered.
type hedges struct {
	delay time.Duration
	most  int
}

// localHedges returns the hedges of an order to the rank on the same host, of a group of
// size ranks.
func localHedges(order *wirepb.RankOrder, size int) hedges {
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE {
		return hedges{delay: prepareHedgeDelay + time.Duration(size)*prepareHedgeDelayPerRank, most: maxPrepareHedges}
	}
	return hedges{delay: orderHedgeDelay, most: maxHedges}
}

// remoteHedges returns the hedges of an order to a rank on another host.
func remoteHedges(order *wirepb.RankOrder) hedges {
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE {
		return hedges{delay: remoteOrderHedgeDelay, most: 0}
	}
	return hedges{delay: remoteOrderHedgeDelay, most: maxRemoteHedges}
}

// callRankHedged calls a rank with an order, and starts further calls while none is
// answered. It returns the result of the first call that is answered.
func callRankHedged(ctx context.Context, rank *platform.RankClient, order *wirepb.RankOrder, plan [][][]int, hedges hedges) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, 1+hedges.most)
	call := func() { answers <- callRank(ctx, rank, order, plan) }
	go call()
	ticker := time.NewTicker(hedges.delay)
	defer ticker.Stop()
	for started, unanswered := 1, 0; ; {
		select {
		case <-ticker.C:
			if started <= hedges.most {
				started++
				go call()
			}
		case err := <-answers:
			if !errors.Is(err, platform.ErrNoResponse) {
				return err
			}
			if unanswered++; unanswered == started {
				return err
			}
		}
	}
}

// callRank calls a rank with an order. An order to prepare has the map plan, by set
// and rank.
func callRank(ctx context.Context, rank *platform.RankClient, order *wirepb.RankOrder, plan [][][]int) error {
	switch order.GetKind() {
	case wirepb.RankOrder_KIND_PREPARE:
		return rank.Prepare(ctx, order.GetEpoch(), order.GetVersion(), plan)
	case wirepb.RankOrder_KIND_ARM:
		return rank.Arm(ctx, order.GetEpoch(), order.GetVersion(), order.GetPass())
	case wirepb.RankOrder_KIND_DISARM:
		return rank.Disarm(ctx, order.GetEpoch(), order.GetVersion())
	case wirepb.RankOrder_KIND_HOLD:
		return rank.Hold(ctx, order.GetEpoch(), order.GetPass())
	case wirepb.RankOrder_KIND_RELEASE:
		return rank.Release(ctx, order.GetEpoch(), order.GetPass())
	default:
		return eris.Wrapf(platform.ErrOrderRejected, "ranks know no orders of kind %v", order.GetKind())
	}
}

// encodeExperts concatenates lists of experts. Experts are numbered from one, and
// each list ends with a zero.
func encodeExperts(lists [][]int) []uint32 {
	var encoded []uint32
	for _, list := range lists {
		for _, expert := range list {
			encoded = append(encoded, uint32(expert+1))
		}
		encoded = append(encoded, 0)
	}
	return encoded
}

// decodeExperts is the inverse of encodeExperts.
func decodeExperts(encoded []uint32) [][]int {
	var lists [][]int
	list := []int{}
	for _, number := range encoded {
		if number == 0 {
			lists = append(lists, list)
			list = []int{}
			continue
		}
		list = append(list, int(number)-1)
	}
	return lists
}

// groupBySet splits the lists of all sets, in order, into those of each set. Each set
// has one list for each of size ranks.
func groupBySet(lists [][]int, size int) [][][]int {
	var sets [][][]int
	for size > 0 && len(lists) >= size {
		sets = append(sets, lists[:size])
		lists = lists[size:]
	}
	return sets
}

// storePlan stores the map of an order, and reports whether it is known afterwards.
// The caller holds the lock.
func (a *Agent) storePlan(order *wirepb.RankOrder) bool {
	if a.plans.find(order.GetVersion()) != nil {
		return true
	}
	plan := groupBySet(decodeExperts(order.GetExperts()), a.state.Size)
	if len(order.GetExperts()) == 0 {
		base := a.plans.find(order.GetBase())
		if order.GetBase() == 0 {
			base = roundRobin(a.shape, a.state.Size)
		}
		plan = applyChanges(base, order.GetChanges())
	}
	if len(plan) == 0 {
		return false
	}
	a.plans.add(order.GetVersion(), plan, a.state.Map)
	return true
}

// encodeChanges encodes the lists of plan that differ from those of base, each
// preceded by its set and rank.
func encodeChanges(base, plan [][][]int) []uint32 {
	var changes []uint32
	for set := range plan {
		for rank, list := range plan[set] {
			if !slices.Equal(base[set][rank], list) {
				changes = append(changes, uint32(set), uint32(rank))
				changes = append(changes, encodeExperts([][]int{list})...)
			}
		}
	}
	return changes
}

// applyChanges returns base with the changed lists, nil if the changes don't fit it.
func applyChanges(base [][][]int, changes []uint32) [][][]int {
	plan := make([][][]int, len(base))
	for set := range base {
		plan[set] = slices.Clone(base[set])
	}
	for len(changes) >= 3 {
		set, rank := int(changes[0]), int(changes[1])
		end := slices.Index(changes[2:], 0)
		if set >= len(plan) || rank >= len(plan[set]) || end < 0 {
			return nil
		}
		plan[set][rank] = decodeExperts(changes[2 : 2+end+1])[0]
		changes = changes[2+end+1:]
	}
	return plan
}

// maxPlans is how many maps an agent stores: the one in use and newer ones.
const maxPlans = 4

// planCache has the newest maps that the agent was ordered to prepare, by version, and the one in
// use: a fence makes ranks prepare that again, however many newer ones were prepared meanwhile.
type planCache struct {
	versions []uint64
	maps     [][][][]int
}

// add adds a map. Beyond maxPlans it removes the oldest one but that of version inUse.
func (p *planCache) add(version uint64, experts [][][]int, inUse uint64) {
	if p.find(version) != nil {
		return
	}
	p.versions, p.maps = append(p.versions, version), append(p.maps, experts)
	if len(p.versions) > maxPlans {
		oldest := 0
		if p.versions[0] == inUse {
			oldest = 1
		}
		p.versions, p.maps = slices.Delete(p.versions, oldest, oldest+1), slices.Delete(p.maps, oldest, oldest+1)
	}
}

func (p *planCache) find(version uint64) [][][]int {
	for i, known := range p.versions {
		if known == version {
			return p.maps[i]
		}
	}
	return nil
}
