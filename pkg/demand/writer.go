package demand

import "time"

const (
	// MinChange is the distance up to which a demand counts as the same: the counts of two
	// seconds differ by half of it by chance.
	MinChange = 0.1
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
	// stored is the demand in the store, and changedAt when it was last seen to change or
	// this process wrote it.
	stored    *Demand
	changedAt time.Time
}

// Offer makes d the demand to write.
func (w *Writer) Offer(d *Demand) { w.pending = d }

// Next returns the demand that is to be written now, nil if there is none. Stored is the
// demand that the store has, and failedAt when a call to the store last failed. A demand is
// dropped if the store has about the same, or has failed lately: the next one follows in
// time.
func (w *Writer) Next(stored *Demand, failedAt, now time.Time) *Demand {
	if w.stored != stored {
		w.stored, w.changedAt = stored, now
	}
	if w.pending == nil {
		return nil
	}
	if now.Sub(failedAt) < failurePause || Distance(w.pending, stored) <= MinChange {
		w.pending = nil
		return nil
	}
	if now.Sub(w.changedAt) < writeInterval {
		return nil
	}
	next := w.pending
	w.pending, w.changedAt = nil, now
	return next
}
