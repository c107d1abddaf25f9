package rank

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/demand"
)

// Demand for experts that outlives the group.
const (
	// recentHalfLife is the half-life of the counts that are stored. With countHalfLife,
	// large groups, whose ranks take turns to report counts, have too few in a moment to tell
	// a change from chance.
	recentHalfLife = 2 * time.Second
	// demandInterval is how often the leader compares the demand with the one that it sent
	// last, and demandRefresh how often it sends one that has not changed, since datagrams
	// and writes get lost.
	demandInterval = 2 * time.Second
	demandRefresh  = 10 * time.Second
	// sendsPerTurn is how many demands go to the same entry before one goes to another. It
	// may be cut off from the store.
	sendsPerTurn = 5
	// demandTTL is how long an agent uses a stored demand before it asks for a newer one.
	demandTTL = time.Minute
	// openingPeriod is how long after a group has opened the stored demand is used. The
	// leader's own counts suffice long before.
	openingPeriod = 3 * time.Second
	// firstSwitchPeriod is how long after the opening the stored demand is used by a group
	// that still has its initial map and few choices: its first switch may have failed, which
	// takes up to 4 s. It ends, as an attempt at a plan takes 8 ms each planInterval.
	firstSwitchPeriod = 20 * time.Second
)

// demandHint is the last demand that the agent was sent or has counted itself. The zero
// value has none.
type demandHint struct {
	mu      sync.Mutex
	demand  *demand.Demand
	at      time.Time
	refused bool
}

// isKnown reports whether the agent needs no demand from entries.
func (h *demandHint) isKnown(now time.Time) bool {
	age, known := h.age(now)
	return known && age < demandTTL
}

// age returns the time since the demand was set, if it ever was.
func (h *demandHint) age(now time.Time) (age time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.at), !h.at.IsZero()
}

// set replaces the demand. A demand of nil counts as known, so that entries don't send one
// that the agent can't use again and again.
func (h *demandHint) set(d *demand.Demand, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand, h.at = d, now
}

// get returns the demand if it is that of as many sets and experts, and nil otherwise.
func (h *demandHint) get(shape mapShape) *demand.Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.demand.Fits(shape.sets, shape.experts) {
		return nil
	}
	return h.demand
}

// mayLogRefusal reports whether no demand was refused before.
func (h *demandHint) mayLogRefusal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.refused
	h.refused = true
	return first
}

// handleDemand handles the stored demand that an entry has sent.
func (a *Agent) handleDemand(from netip.AddrPort, message *wirepb.Demand) {
	a.mu.Lock()
	_, subscribed := a.subscribers[from]
	shape := a.shape
	a.mu.Unlock()
	now := time.Now()
	if !subscribed || a.leader.hint.isKnown(now) {
		return
	}
	received, err := demand.New(int(message.GetSets()), int(message.GetExperts()), message.GetWeights())
	if err != nil || !received.Fits(shape.sets, shape.experts) {
		if a.leader.hint.mayLogRefusal() {
			event.DemandRefused.Log(a.logger, zap.Stringer("entry", from), event.Error(err))
		}
		a.leader.demands.Add(1, "refused")
		received = nil
	} else {
		a.leader.demands.Add(1, "learned")
		event.DemandLearned.Log(a.logger, zap.Stringer("entry", from))
	}
	a.leader.hint.set(received, now)
}

// entries returns the addresses of the entries that subscribe to the agent, lowest first.
func (a *Agent) entries(now time.Time) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []netip.AddrPort
	for entry, subscribedAt := range a.subscribers {
		if now.Sub(subscribedAt) <= subscriptionTTL {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, netip.AddrPort.Compare)
	return entries
}

// demandSender decides when a leader sends its demand, and to which entry.
type demandSender struct {
	checkedAt time.Time
	sent      *demand.Demand
	sentAt    time.Time
	count     int
}

// next returns the entry that the demand is to be sent to now. Normally that is the first
// one, so that one process limits the writes to the store. Choices is how many choices of
// experts were counted.
func (s *demandSender) next(d *demand.Demand, choices float64, entries []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	if len(entries) == 0 || demand.Distance(d, s.sent) <= d.MinChange(choices) && now.Sub(s.sentAt) < demandRefresh {
		return netip.AddrPort{}, false
	}
	s.sent, s.sentAt = d, now
	s.count++
	if s.count%sendsPerTurn == 0 {
		return entries[s.count/sendsPerTurn%len(entries)], true
	}
	return entries[0], true
}

// sendDemand sends the demand of the last seconds to an entry, which stores it, if it is
// time to. The caller holds the lock.
func (l *leader) sendDemand(now time.Time) {
	if now.Sub(l.sender.checkedAt) < demandInterval || l.recent == nil || l.recent.Choices() < minChoices {
		return
	}
	l.sender.checkedAt = now
	counted := demand.FromLoads(l.recent.Loads())
	if counted == nil {
		return
	}
	l.hint.set(counted, now)
	entry, due := l.sender.next(counted, l.recent.Choices(), l.agent.entries(now), now)
	if !due {
		return
	}
	l.demands.Add(1, "sent")
	l.agent.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
		Sets: uint32(counted.Sets()), Experts: uint32(counted.Experts()), Weights: counted.Weights(), Choices: uint64(l.recent.Choices()),
	}}}, entry)
}

// isOpening reports whether the group has opened a short time ago. The caller holds the
// lock.
func (l *leader) isOpening(now time.Time) bool {
	return !l.openedAt.IsZero() && now.Sub(l.openedAt) < openingPeriod
}

// planningLoads returns the loads of experts, by set, that a map is planned by, nil if too
// little is known. Version is that of the map in use. While the group opens, and for
// firstSwitchPeriod if it still has its initial map, the stored demand is used as minChoices
// choices that were counted when it opened. The caller holds the lock.
func (l *leader) planningLoads(shape mapShape, version uint64, now time.Time) (loads [][]float64, stored bool) {
	counted := l.counts
	if !counted.Fits(shape.sets, shape.experts) {
		counted = demand.NewCounter(shape.sets, shape.experts, countHalfLife)
	}
	unswitched := version == 0 && counted.Choices() < minChoices && now.Sub(l.openedAt) < firstSwitchPeriod
	if hint := l.hint.get(shape); hint != nil && (unswitched || l.isOpening(now)) {
		return counted.LoadsWith(hint, max(1, minChoices*demand.Decay(now.Sub(l.openedAt), countHalfLife))), true
	}
	if counted.Choices() < minChoices {
		return nil, false
	}
	return counted.Loads(), false
}
