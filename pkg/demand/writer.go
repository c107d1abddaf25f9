package demand

import "time"

const (
	// writeInterval is the least time between two writes of a service's demand, by this
	// process or another one. The platform charges for calls, and a write ends all watches.
	writeInterval = 4 * time.Second
	// failurePause is how long after a failed call nothing is written.
	failurePause = time.Second
)

// Writer decides when the demand of one service is written to the store. The zero value
// has nothing to write.
type Writer struct {
	pending *Demand
	// pendingChange is the distance from which pending differs from another demand.
	pendingChange float64
	// restoring is set if pending is to be written even if calls to the store have failed lately, but
	// not over a demand that is stored later. Compared is set once it was compared with what the
	// store shows after its recovery.
	restoring, compared bool
	// stored is the demand in the store, and changedAt when it was last seen to change or
	// this process wrote it.
	stored    *Demand
	changedAt time.Time
}

// Offer makes d, for which so many choices of experts were counted, the demand to write.
func (w *Writer) Offer(d *Demand, choices float64) {
	w.pending, w.pendingChange, w.restoring = d, d.MinChange(choices), false
}

// Restore makes d the demand to write unless another one was offered. The store had it, and may have
// lost it, so that no other one may follow.
func (w *Writer) Restore(d *Demand) {
	if w.pending == nil {
		w.pending, w.pendingChange, w.restoring, w.compared = d, 0, true, false
	}
}

// Next returns the demand that is to be written now, nil if there is none. Stored is the
// demand that the store has, and failedAt when a call to the store last failed. A demand is
// dropped if the store has about the same, or has failed lately unless it is restored: the next
// one follows in time.
func (w *Writer) Next(stored *Demand, failedAt, now time.Time) *Demand {
	isChanged := w.stored != stored
	if isChanged {
		w.stored, w.changedAt = stored, now
	}
	if w.restoring && w.compared && isChanged {
		w.pending = nil
	}
	w.compared = true
	if w.pending == nil {
		return nil
	}
	hasFailed := now.Sub(failedAt) < failurePause
	if hasFailed && !w.restoring || Distance(w.pending, stored) <= w.pendingChange {
		w.pending = nil
		return nil
	}
	if hasFailed || now.Sub(w.changedAt) < writeInterval {
		return nil
	}
	next := w.pending
	w.pending, w.changedAt = nil, now
	return next
}
