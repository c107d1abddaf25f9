package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/sched"
)

// Timing of the detection of silent endpoints.
const (
	// silenceTimeout is how long an endpoint may send nothing, while its agent is
	// silent too, before the request is moved to another endpoint. Callers give up
	// after two seconds of silence.
	silenceTimeout = 500 * time.Millisecond
	// silenceCheckPeriod is how often silence is checked.
	silenceCheckPeriod = 100 * time.Millisecond
)

// errSilent is the cause of an attempt's cancellation when its endpoint and agent
// are silent.
var errSilent = eris.New("the endpoint and its agent are silent")

// canRetryElsewhere reports whether a retry is allowed now and another endpoint has
// capacity for it. Otherwise a silent attempt continues, since cancelling it would
// only lose the response.
func (r *request) canRetryElsewhere() bool {
	return r.sendCount+1 < r.route.MaxAttempts() &&
		r.entry.budget.allowsRetry(r.service.Name(), time.Now(), r.retryLimits()) &&
		r.service.HasCapacity(sched.Request{Resuming: true, Tried: r.tried})
}

// guardAttempt returns a context that is cancelled with errSilent when the
// endpoint and its agent fall silent and the request can be retried elsewhere, and with
// errPartBlocked when a part of its prompt becomes blocked before it is answered.
// Progress must be called whenever the endpoint has sent something, and stop at the end
// of the attempt. A request that is not repeatable has no silence timeout.
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
			if r.route.Repeatable() && time.Since(time.Unix(0, lastProgress.Load())) > silenceTimeout && r.service.IsAgentSilent(assignment) && r.canRetryElsewhere() {
				cancel(errSilent)
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
