package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
)

// How slow readers are parked.
const (
	// stallAfter is how long a write to a caller waits before its stream counts
	// as stalled.
	stallAfter = 500 * time.Millisecond
	// drainPoll is how often a parked stream looks whether its reader has taken
	// what was sent.
	drainPoll = 100 * time.Millisecond
)

// parking bounds what stalled streams hold. A stream whose caller is slow holds
// up to a window of its answer. When all stalled ones together are above the
// budget, those of the lowest priority are parked: their work at the engine is
// cancelled, and resumed at the offset when the reader has caught up.
type parking struct {
	budget int64
	logger *zap.Logger

	mu      sync.Mutex
	stalled []*attempt
	parked  int64
}

func newParking(budget int64, logger *zap.Logger) *parking {
	return &parking{budget: budget, logger: logger}
}

// stall counts a stream as stalled, and parks streams while the budget is
// exceeded.
func (p *parking) stall(t *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = append(p.stalled, t)
	for int64(len(p.stalled))*link.WindowBytes > p.budget {
		victim := p.lowest()
		p.drop(victim)
		p.parked++
		victim.park()
		event.StreamParked.Log(p.logger,
			zap.String("request", victim.inflight.id),
			zap.String("team", victim.inflight.team.Name()))
	}
}

// lowest returns the stalled stream of the lowest priority, the newest if there
// are several.
func (p *parking) lowest() *attempt {
	lowest := p.stalled[len(p.stalled)-1]
	for _, t := range slices.Backward(p.stalled) {
		if cmp.Less(t.inflight.team.Priority(), lowest.inflight.team.Priority()) {
			lowest = t
		}
	}
	return lowest
}

func (p *parking) drop(t *attempt) {
	p.stalled = slices.DeleteFunc(p.stalled, func(other *attempt) bool { return other == t })
}

// goOn takes note that a caller has taken what its stream waited with.
func (p *parking) goOn(t *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(t)
}

func (p *parking) reportHeld(report func(n int64, value string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report(int64(len(p.stalled))*link.WindowBytes, "stalled_bytes")
	report(p.parked, "parked_streams")
}

// park cancels the stream's work at the engine. The attempt ends when the write
// that waits has been taken.
func (t *attempt) park() {
	t.parked.Store(true)
	t.grant.stream.Close()
}

// writeToCaller writes a piece and counts the stream as stalled while it waits
// for long.
func (t *attempt) writeToCaller(data []byte) error {
	parking := t.inflight.entry.parking
	if !t.inflight.answer.canPark() {
		return t.inflight.answer.write(data)
	}
	var stalled sync.Once
	timer := time.AfterFunc(stallAfter, func() { stalled.Do(func() { parking.stall(t) }) })
	err := t.inflight.answer.write(data)
	if timer.Stop() {
		return err
	}
	// The timer has fired, perhaps just now: once the write is done the stream
	// must not be counted any more.
	stalled.Do(func() {})
	parking.goOn(t)
	return err
}

// awaitDrain waits until the caller has taken what was sent to it.
func (f *inflight) awaitDrain(ctx context.Context) {
	for ctx.Err() == nil && f.answer.stream.UnackedBytes() > 0 {
		pauseUnless(ctx, drainPoll)
	}
}
