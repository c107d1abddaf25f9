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

// Timing of parking.
const (
	// stallTimeout is how long a write to a caller may block before its stream
	// counts as stalled.
	stallTimeout = 500 * time.Millisecond
	// drainPollInterval is how often a parked stream checks whether its caller has
	// read the buffered data.
	drainPollInterval = 100 * time.Millisecond
)

// streamParker limits the memory held by stalled streams. A stream whose caller
// reads slowly holds up to one flow control window of the response. When all stalled
// streams together exceed the budget, those of the lowest priority are parked: their
// work at the engine is canceled, and resumed at the same offset once the caller has
// caught up.
type streamParker struct {
	budget int64
	logger *zap.Logger

	mu      sync.Mutex
	stalled []*attempt
	parked  int64
}

func newStreamParker(budget int64, logger *zap.Logger) *streamParker {
	return &streamParker{budget: budget, logger: logger}
}

// addStalled adds a stalled stream and parks streams while the budget is exceeded.
func (p *streamParker) addStalled(t *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = append(p.stalled, t)
	for int64(len(p.stalled))*link.WindowBytes > p.budget {
		victim := p.lowestPriority()
		p.remove(victim)
		p.parked++
		victim.park()
		event.StreamParked.Log(p.logger,
			zap.String("request", victim.inflight.id),
			zap.String("team", victim.inflight.team.Name()))
	}
}

// lowestPriority returns the stalled stream of the lowest priority, and the most
// recently stalled one of several.
func (p *streamParker) lowestPriority() *attempt {
	lowest := p.stalled[len(p.stalled)-1]
	for _, t := range slices.Backward(p.stalled) {
		if cmp.Less(t.inflight.team.Priority(), lowest.inflight.team.Priority()) {
			lowest = t
		}
	}
	return lowest
}

func (p *streamParker) remove(t *attempt) {
	p.stalled = slices.DeleteFunc(p.stalled, func(other *attempt) bool { return other == t })
}

// removeStalled removes a stream whose blocked write has completed.
func (p *streamParker) removeStalled(t *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(t)
}

func (p *streamParker) reportHeld(report func(n int64, value string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report(int64(len(p.stalled))*link.WindowBytes, "stalled_bytes")
	report(p.parked, "parked_streams")
}

// park cancels the stream's work at the engine. The attempt ends when its blocked
// write completes.
func (t *attempt) park() {
	t.parked.Store(true)
	t.grant.stream.Close()
}

// writeToCaller writes data to the caller. While the write blocks for longer than
// stallTimeout, the stream counts as stalled.
func (t *attempt) writeToCaller(data []byte) error {
	parker := t.inflight.entry.parker
	if !t.inflight.response.canPark() {
		return t.inflight.response.write(data)
	}
	var stalled sync.Once
	timer := time.AfterFunc(stallTimeout, func() { stalled.Do(func() { parker.addStalled(t) }) })
	err := t.inflight.response.write(data)
	if timer.Stop() {
		return err
	}
	// The timer has fired, but its function may not have run yet. Ensure that it
	// does not add the stream after the write has completed.
	stalled.Do(func() {})
	parker.removeStalled(t)
	return err
}

// awaitDrained waits until the caller has read all buffered data.
func (r *inflightRequest) awaitDrained(ctx context.Context) {
	for ctx.Err() == nil && r.response.stream.UnackedBytes() > 0 {
		sleep(ctx, drainPollInterval)
	}
}
