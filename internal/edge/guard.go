package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Timing of the checks of an attempt.
const (
	// silenceTimeout is how long an endpoint may send nothing, while its agent is
	// silent too, before the request is moved to another endpoint. Callers give up
	// after two seconds of silence.
	silenceTimeout = 500 * time.Millisecond
	// silenceCheckPeriod is how often an attempt is checked.
	silenceCheckPeriod = 100 * time.Millisecond
)

// errSilent is the cause of an attempt's cancellation when its endpoint and agent
// are silent.
var errSilent = eris.New("the endpoint and its agent are silent")

// errSlowRank is the cause of an attempt's cancellation when its endpoint is a slow rank that
// makes the passes of its group too long.
var errSlowRank = eris.New("the endpoint slows its group")

// movesAttempt reports whether cause cancels an attempt so that the request is moved to another
// endpoint.
func movesAttempt(cause error) bool {
	return errors.Is(cause, errSilent) || errors.Is(cause, errSlowRank)
}

// canRetryElsewhere reports whether a retry is allowed now and another endpoint has
// capacity for it. Otherwise the attempt continues, since cancelling it would only lose the
// response.
func (r *request) canRetryElsewhere() bool {
	return r.sendCount+1 < r.route.MaxAttempts() &&
		r.entry.budget.allowsRetry(r.service.Name(), time.Now(), r.retryLimits()) &&
		r.service.HasCapacity(sched.Request{Resuming: true, Tried: r.tried})
}

// moveCause returns why the request should be moved from its endpoint to another one, nil if
// it stays. Silence is the time since the endpoint has last sent something.
func (r *request) moveCause(assignment sched.Assignment, silence time.Duration) error {
	var cause error
	switch {
	case !r.route.Repeatable():
	case silence > silenceTimeout && r.service.IsAgentSilent(assignment):
		cause = errSilent
	case r.route.Semantics() == table.Stream && r.service.SlowsGroup(assignment):
		cause = errSlowRank
	}
	if cause == nil || !r.canRetryElsewhere() {
		return nil
	}
	return cause
}

// guardAttempt returns a context that is cancelled with errSilent when the
// endpoint and its agent fall silent, and with errSlowRank when a stream's endpoint slows
// its group, if the request can be retried elsewhere, and with errPartBlocked when a part of
// its prompt becomes blocked before it is answered. Progress must be called whenever the
// endpoint has sent something, and stop at the end of the attempt. A request that is not
// repeatable is never moved.
func (r *request) guardAttempt(ctx context.Context, assignment sched.Assignment) (guarded context.Context, progress, stop func()) {
	if !r.route.Repeatable() && len(r.parts) == 0 {
		return ctx, func() {}, func() {}
	}
	guarded, cancel := context.WithCancelCause(ctx)
	var lastProgress atomic.Int64
	progress = func() { lastProgress.Store(time.Now().UnixNano()) }
	progress()
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(silenceCheckPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-stopping:
				return
			case <-ticker.C:
			}
			if !r.answered.Load() && r.entry.parts.isBlocked(r) {
				cancel(errPartBlocked)
				return
			}
			if cause := r.moveCause(assignment, time.Since(time.Unix(0, lastProgress.Load()))); cause != nil {
				cancel(cause)
				return
			}
		}
	}()
	return guarded, progress, func() {
		close(stopping)
		cancel(nil)
		<-stopped
	}
}
