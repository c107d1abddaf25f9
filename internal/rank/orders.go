package rank

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// How orders are carried out.
const (
	// orderKept is how long an order counts after the leader last gave it; it gives
	// what it wants again each orderRefresh.
	orderKept    = 400 * time.Millisecond
	orderRefresh = 100 * time.Millisecond
	// prepareKept and prepareRefresh are the same for orders that carry a whole map:
	// copies take some hundred milliseconds, and a map is some kilobytes.
	prepareKept    = 1500 * time.Millisecond
	prepareRefresh = 250 * time.Millisecond
	// wholeAfter is how often a map is sent as changes before it is sent whole.
	wholeAfter = 2
	// paceBytesPerSecond and paceBurst bound how fast a leader sends maps: the link
	// of a rank's host may carry 8 Mbit/s, and drops what comes faster.
	paceBytesPerSecond = 600_000
	paceBurst          = 20 * time.Millisecond
	// orderHedge is how long an order may go without an answer before it is given
	// again beside it, maxHedges times at most: a rank on the same host answers in
	// about a millisecond, a group waits for the last of its ranks, and whichever
	// copy comes later finds the state that it asks for. A map takes longer to read.
	orderHedge   = 20 * time.Millisecond
	prepareHedge = 60 * time.Millisecond
	maxHedges    = 4
	// orderPoll is how often the rank is looked at while it copies experts.
	orderPoll = 25 * time.Millisecond
)

// orders is the order that the agent carries out. A newer one replaces it.
type orders struct {
	ctx     context.Context
	current *wirepb.RankOrder
	given   time.Time
	running bool
}

// same reports whether two orders ask for the same.
func same(a, b *wirepb.RankOrder) bool {
	return a != nil && b != nil && a.GetKind() == b.GetKind() && a.GetEpoch() == b.GetEpoch() &&
		a.GetVersion() == b.GetVersion() && a.GetPass() == b.GetPass()
}

// carryOut takes an order of the leader.
func (a *Agent) carryOut(order *wirepb.RankOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if order.GetGroup() != a.state.Group || a.orders.ctx == nil {
		return
	}
	a.orders.given = time.Now()
	if same(a.orders.current, order) && a.orders.running {
		return
	}
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE && !a.learnPlan(order) {
		// The leader sends the whole map next time.
		return
	}
	a.orders.current = order
	if !a.orders.running {
		a.orders.running = true
		go a.work(a.orders.ctx)
	}
}

// wanted returns the order that still counts and isn't achieved, nil if there is
// none; then the work on orders ends.
func (a *Agent) wanted() *wirepb.RankOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	order := a.orders.current
	kept := orderKept
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE {
		kept = prepareKept
	}
	if order == nil || time.Since(a.orders.given) > kept || achieved(order, a.state) || order.GetEpoch() != a.state.Epoch {
		a.orders.current, a.orders.running = nil, false
		return nil
	}
	return order
}

// achieved reports whether a rank's state shows what an order asks for.
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

// work carries out orders until none is wanted.
func (a *Agent) work(ctx context.Context) {
	var accepted *wirepb.RankOrder
	for ctx.Err() == nil {
		order := a.wanted()
		if order == nil {
			return
		}
		if same(order, accepted) {
			time.Sleep(orderPoll)
		} else {
			a.mu.Lock()
			plan := a.plans.find(order.GetVersion())
			a.mu.Unlock()
			switch err := giveHedged(ctx, a.rank, order, plan); {
			case err == nil:
				accepted = order
			case errors.Is(err, platform.ErrNoResponse):
				event.OrderUnanswered.Log(a.logger, zap.Stringer("kind", order.GetKind()), zap.Uint64("version", order.GetVersion()),
					zap.Uint64("pass", order.GetPass()))
			default:
				// The leader sees the rank's state and decides anew.
				event.OrderRefused.Log(a.logger, zap.Stringer("kind", order.GetKind()), zap.Uint64("version", order.GetVersion()),
					zap.Uint64("pass", order.GetPass()), event.Error(err))
				accepted = order
			}
		}
		a.look(ctx)
		a.report(ctx, rest)
	}
}

// giveHedged gives an order and, as long as no answer comes, gives it again. It
// returns the first answer.
func giveHedged(ctx context.Context, rank *platform.RankClient, order *wirepb.RankOrder, plan [][][]int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedge := orderHedge
	if order.GetKind() == wirepb.RankOrder_KIND_PREPARE {
		hedge = prepareHedge
	}
	answers := make(chan error, 1+maxHedges)
	start := func() { answers <- give(ctx, rank, order, plan) }
	go start()
	ticker := time.NewTicker(hedge)
	defer ticker.Stop()
	for given, unanswered := 1, 0; ; {
		select {
		case <-ticker.C:
			if given <= maxHedges {
				given++
				go start()
			}
		case err := <-answers:
			if !errors.Is(err, platform.ErrNoResponse) {
				return err
			}
			if unanswered++; unanswered == given {
				return err
			}
		}
	}
}

// give gives an order to a rank, for Prepare with the map by set and rank.
func give(ctx context.Context, rank *platform.RankClient, order *wirepb.RankOrder, plan [][][]int) error {
	switch order.GetKind() {
	case wirepb.RankOrder_KIND_PREPARE:
		return rank.Prepare(ctx, order.GetEpoch(), order.GetVersion(), plan)
	case wirepb.RankOrder_KIND_ARM:
		return rank.Arm(ctx, order.GetEpoch(), order.GetVersion(), order.GetPass())
	case wirepb.RankOrder_KIND_DISARM:
		return rank.Disarm(ctx, order.GetEpoch(), order.GetVersion())
	case wirepb.RankOrder_KIND_HOLD:
		return rank.Hold(ctx, order.GetEpoch(), order.GetPass())
	default:
		return rank.Release(ctx, order.GetEpoch(), order.GetPass())
	}
}

// encodeExperts writes lists of experts one after another: numbered from one,
// each list with a zero behind it.
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

// bySet groups the lists of all ranks, set after set.
func bySet(lists [][]int, size int) [][][]int {
	var sets [][][]int
	for size > 0 && len(lists) >= size {
		sets = append(sets, lists[:size])
		lists = lists[size:]
	}
	return sets
}

// learnPlan remembers the map of an order, and reports whether it is known then.
// The caller holds the lock.
func (a *Agent) learnPlan(order *wirepb.RankOrder) bool {
	if a.plans.find(order.GetVersion()) != nil {
		return true
	}
	plan := bySet(decodeExperts(order.GetExperts()), a.state.Size)
	if len(order.GetExperts()) == 0 {
		base := a.plans.find(order.GetBase())
		if order.GetBase() == 0 {
			base = inTurn(a.shape, a.state.Size)
		}
		plan = applyChanges(base, order.GetChanges())
	}
	if len(plan) == 0 {
		return false
	}
	a.plans.add(order.GetVersion(), plan)
	return true
}

// encodeChanges writes the lists of plan that differ from those of base.
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

// applyChanges returns base with the changed lists, nil if they don't fit.
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

// plansKept is how many maps an agent remembers: the one in use and what came
// after it.
const plansKept = 4

// plans remembers the newest maps that were to be prepared, by version.
type plans struct {
	versions []uint64
	maps     [][][][]int
}

func (p *plans) add(version uint64, experts [][][]int) {
	if p.find(version) != nil {
		return
	}
	p.versions, p.maps = append(p.versions, version), append(p.maps, experts)
	if len(p.versions) > plansKept {
		p.versions, p.maps = p.versions[1:], p.maps[1:]
	}
}

func (p *plans) find(version uint64) [][][]int {
	for i, known := range p.versions {
		if known == version {
			return p.maps[i]
		}
	}
	return nil
}
