package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// Timing of audit record writes.
const (
	// flushInterval is the time between two batches.
	flushInterval = 10 * time.Second
	// finalFlushTimeout bounds writing the last batch at shutdown.
	finalFlushTimeout = 5 * time.Second
)

// flushRecords writes audit records in batches until ctx is done. A batch that
// fails is retried with the next one.
func (e *Entry) flushRecords(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, flushInterval)
		if err := e.records.Flush(ctx); err != nil && ctx.Err() == nil {
			event.RecordsHeld.Log(e.logger, zap.Int("held", e.records.Buffered()), event.Error(err))
		}
	}
}

// closeRecords writes the last batch at shutdown.
func (e *Entry) closeRecords() {
	ctx, cancel := context.WithTimeout(context.Background(), finalFlushTimeout)
	defer cancel()
	if err := e.records.Close(ctx); err != nil {
		event.RecordsLost.Log(e.logger, zap.Int("held", e.records.Buffered()), event.Error(err))
	}
}
