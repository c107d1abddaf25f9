package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/sched"
)

// Bounds of an attempt at an endpoint that falls silent.
const (
	// quietBound is how long an endpoint may send nothing, while its agent is silent
	// too, before the request goes on elsewhere: callers leave after two seconds.
	quietBound = 500 * time.Millisecond
	// quietCheck is how often that is looked at.
	quietCheck = 100 * time.Millisecond
)

// errQuiet says that an endpoint and its agent have fallen silent.
var errQuiet = eris.New("the endpoint and its agent are silent")

// mayMove reports whether a request may be sent once more now and would find room:
// silence alone is no reason to end an answer.
func (r *request) mayMove() bool {
	return r.sends+1 < r.route.MaxAttempts() &&
		r.entry.budget.allows(r.service.Name(), time.Now(), r.allowance()) &&
		r.service.HasCapacity(sched.Request{Resuming: true, Tried: r.tried})
}

// guard ends the returned context when the endpoint falls silent together with
// its agent, if the request may go on elsewhere. Progress tells of each sign of
// life.
func (r *request) guard(ctx context.Context, given sched.Assignment) (guarded context.Context, progress, stop func()) {
	if !r.route.Repeatable() {
		return ctx, func() {}, func() {}
	}
	guarded, cancel := context.WithCancelCause(ctx)
	var last atomic.Int64
	progress = func() { last.Store(time.Now().UnixNano()) }
	progress()
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(quietCheck)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if time.Since(time.Unix(0, last.Load())) > quietBound && r.service.IsAgentSilent(given) && r.mayMove() {
				cancel(errQuiet)
				return
			}
		}
	}()
	return guarded, progress, func() {
		close(done)
		cancel(nil)
		<-ended
	}
}
