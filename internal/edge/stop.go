package edge

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Timing of a graceful stop.
const (
	// acceptWhileLeaving is how long new connections are accepted while the entry stops,
	// since callers cache the directory's responses.
	acceptWhileLeaving = 3 * time.Second
	// stopMargin is the time reserved between the end of a graceful shutdown and its
	// deadline.
	stopMargin = 700 * time.Millisecond
	// runTimeMargin is how many times longer than estimated a request may run.
	runTimeMargin = 1.5
	// stoppingRetryAfter is when a caller may retry that a stopping entry has refused.
	// Another entry can serve it at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Stop shuts the entry down gracefully: it leaves the directory, keeps accepting from
// callers with a cached address the requests that end in time, and waits for running
// requests until ctx ends. It returns the number of requests that were cut off.
func (e *Entry) Stop(ctx context.Context) int {
	event.ProcessLeaving.Log(e.logger, zap.Int64("active", e.active.Load()))
	graceful, cancel := context.WithCancel(ctx)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		end := deadline.Add(-stopMargin)
		e.stop.Begin(end)
		graceful, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	e.leaving.Store(true)
	e.clients.DisableKeepAlives()
	e.peers.announceLeaving()
	// The store may not respond, and the time until the deadline counts from the signal.
	e.background.Go(e.registration.end)
	sleep(graceful, acceptWhileLeaving)
	left := e.clients.Shutdown(graceful)
	e.cancel()
	e.socket.Close()
	e.links.Close()
	immediate, expire := context.WithCancel(context.Background())
	expire()
	for _, server := range []*webio.Server{e.readiness, e.directory, e.admin} {
		server.Shutdown(immediate)
	}
	e.background.Wait()
	e.store.Close()
	e.meter.Close()
	if left > 0 {
		event.ProcessCutOff.Log(e.logger, zap.Int("left", left))
		return left
	}
	event.ProcessStopped.Log(e.logger)
	return 0
}

// checkStop returns why a request that no endpoint has yet must not be sent to one while the
// entry stops, nil if it ends in time. It would be cut off, though other entries can serve it.
func (r *request) checkStop() *refusal {
	now := time.Now()
	if r.reachedEndpoint || r.entry.stop.Takes(min(r.deadline.Sub(now), r.maxRunTime(now)), now) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "the process is shutting down before the request could end", retryAfter: stoppingRetryAfter,
	}
}

// maxRunTime returns how long the request may run, by the length of its response if it is a
// stream of a model, otherwise by the longest recent one on its route.
func (r *request) maxRunTime(now time.Time) time.Duration {
	if service := tableService(r.view, r.service.Name()); service != nil && service.Engine() != nil && r.head.MaxOutputTokens > 0 {
		return r.maxStreamTime(service.Engine())
	}
	if longest, known := r.entry.runTimes.Longest(r.route.Name(), now); known {
		return time.Duration(runTimeMargin * float64(longest))
	}
	return r.deadline.Sub(now)
}

// maxStreamTime returns how long a stream of a model may take. Each pass of the endpoint's
// group gives an event of Stride tokens.
func (r *request) maxStreamTime(engine *table.Engine) time.Duration {
	events := float64(r.head.MaxOutputTokens) / float64(max(1, engine.Stride))
	pass := max(r.service.PassInterval(), engine.PassTime())
	return r.route.LatencyTarget() + time.Duration(runTimeMargin*events*float64(pass))
}
