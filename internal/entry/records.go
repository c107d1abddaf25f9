package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// How records for audits are written.
const (
	// flushInterval is the time between two batches.
	flushInterval = 10 * time.Second
	// flushBound bounds the writing of the last batch.
	flushBound = 5 * time.Second
)

// keepRecords writes the records in batches until ctx ends. A batch that can't
// be written is tried again with the next one.
func (e *Entry) keepRecords(ctx context.Context) {
	for ctx.Err() == nil {
		pauseUnless(ctx, flushInterval)
		if err := e.records.Flush(ctx); err != nil && ctx.Err() == nil {
			event.RecordsHeld.Log(e.logger, zap.Int("held", e.records.Buffered()), event.Error(err))
		}
	}
}

// closeRecords writes the last batch of an entry that stops.
func (e *Entry) closeRecords() {
	ctx, cancel := context.WithTimeout(context.Background(), flushBound)
	defer cancel()
	if err := e.records.Close(ctx); err != nil {
		event.RecordsLost.Log(e.logger, zap.Int("held", e.records.Buffered()), event.Error(err))
	}
}
