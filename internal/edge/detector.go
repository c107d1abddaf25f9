package edge

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/conns"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/holds"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
)

const (
	// detectPeriod is how often endpoints are checked that may hold requests whose
	// attempts have ended.
	detectPeriod = 100 * time.Millisecond
	// leavingNotice is how long an endpoint must have been leaving for its end to be a
	// planned one. Endpoints serve for seconds after they have said that they leave.
	leavingNotice = 500 * time.Millisecond
)

// finding is what was found out about the endpoint of an attempt that ended without a
// response.
type finding string

const (
	// alive means that the endpoint's process runs.
	alive finding = "alive"
	// down means that the endpoint has crashed: its host refuses connections.
	down finding = "down"
	// replaced means that another process has the endpoint's name or address, so that the
	// endpoint has ended. It may have done so in order if the store's news are late.
	replaced finding = "replaced"
	// unreachable means that the endpoint's host doesn't respond.
	unreachable finding = "unreachable"
	// leaving means that the endpoint has said that it leaves, and may end.
	leaving finding = "leaving"
)

// heldRequest is a request that an endpoint held when the attempt at it ended.
type heldRequest struct {
	id          string
	fingerprint uint64
	parts       []blame.Part
	partIDs     []string
	assignment  sched.Assignment
	service     *sched.Service
	// unanswered is set if the endpoint hadn't begun to answer.
	unanswered bool
	endedAt    time.Time
}

func newHeldRequest(r *request, assignment sched.Assignment) heldRequest {
	return heldRequest{
		id: r.head.ID, fingerprint: r.fingerprint, parts: r.parts, partIDs: r.head.SharedParts,
		assignment: assignment, service: r.service, unanswered: !r.answered.Load(), endedAt: time.Now(),
	}
}

// isLeaving reports whether the endpoint was known to leave when the attempt ended, so that its
// end is a planned one.
func (h heldRequest) isLeaving() bool {
	since := h.service.LeavingSince(h.assignment)
	return !since.IsZero() && h.endedAt.Sub(since) >= leavingNotice
}

// crashDetector finds out which endpoints have crashed, and records which requests they held.
// A crash counts for a request whether its attempt broke off or had ended just before for
// another reason, such as a caller who left.
type crashDetector struct {
	entry *Entry
	held  holds.Table[heldRequest]
	// wake is signalled when a request was added to held.
	wake chan struct{}
}

func newCrashDetector(e *Entry) *crashDetector {
	return &crashDetector{entry: e, wake: make(chan struct{}, 1)}
}

// connectionLost records that the connection of an attempt has ended by itself. It returns
// once the endpoint has been checked, so that the request isn't sent again without need.
func (d *crashDetector) connectionLost(ctx context.Context, h heldRequest) {
	if h.isLeaving() {
		d.entry.lostAttempts.Add(1, string(leaving))
		return
	}
	found := d.examine(ctx, h.assignment.Endpoint(), d.entry.pool.Probe)
	d.entry.lostAttempts.Add(1, string(found))
	switch found {
	case down, replaced:
		d.recordCrash(found, h)
		d.crashed(found, h.assignment.Endpoint())
	case unreachable:
		if ctx.Err() != nil {
			// The check was given up.
			d.keep(h)
			return
		}
		d.recordCrash(found, h)
	case alive:
		// The connections to an endpoint also end when another rank of its group crashes,
		// and blaming its requests too would hide the one that causes the crashes among all
		// that were in progress. It may also be about to crash itself.
		d.keep(h)
	}
}

// attemptEnded records that an attempt was ended for another reason than its endpoint.
func (d *crashDetector) attemptEnded(h heldRequest, reason string) {
	d.entry.lostAttempts.Add(1, reason)
	d.keep(h)
}

// keep remembers a request in case its endpoint crashes. One that the endpoint has begun to
// answer isn't remembered, since endpoints crash on a request as they begin.
func (d *crashDetector) keep(h heldRequest) {
	if !h.unanswered {
		return
	}
	d.held.Add(h.assignment.Endpoint().Incarnation(), h, h.endedAt)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run checks the endpoints that may hold requests, until ctx ends.
func (d *crashDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-d.wake:
		case <-ctx.Done():
			return
		}
		for incarnations := d.held.Incarnations(time.Now()); len(incarnations) > 0 && ctx.Err() == nil; incarnations = d.held.Incarnations(time.Now()) {
			sleep(ctx, detectPeriod)
			var checks sync.WaitGroup
			for _, incarnation := range incarnations {
				checks.Go(func() { d.check(ctx, incarnation) })
			}
			checks.Wait()
		}
	}
}

// check records a crash for the requests that an incarnation holds if it has crashed.
func (d *crashDetector) check(ctx context.Context, incarnation string) {
	h, ok := d.held.Any(incarnation, time.Now())
	if !ok {
		return
	}
	// An unreachable host doesn't count here, since it may be this host that is cut off.
	if found := d.examine(ctx, h.assignment.Endpoint(), d.entry.pool.Check); found == down || found == replaced {
		d.crashed(found, h.assignment.Endpoint())
	}
}

// crashed records a crash for the requests that an endpoint may still hold.
func (d *crashDetector) crashed(found finding, endpoint *table.Endpoint) {
	for _, h := range d.held.Take(endpoint.Incarnation(), time.Now()) {
		if !h.isLeaving() {
			d.entry.lostAttempts.Add(1, string(found)+"_later")
			d.recordCrash(found, h)
		}
	}
}

// examine finds out whether an endpoint's process runs. Check is a method of the pool of
// connections.
func (d *crashDetector) examine(ctx context.Context, endpoint *table.Endpoint, check func(context.Context, netip.AddrPort) conns.Liveness) finding {
	switch check(ctx, endpoint.Address()) {
	case conns.Down:
		return down
	case conns.Alive:
		if d.isReplaced(endpoint) {
			return replaced
		}
		return alive
	default:
		return unreachable
	}
}

// isReplaced reports whether another endpoint has the name or the address of the given one.
func (d *crashDetector) isReplaced(endpoint *table.Endpoint) bool {
	isReplaced := false
	d.entry.view.Load().EachEndpoint(func(other *table.Endpoint) {
		sameName := other.Service() == endpoint.Service() && other.ID() == endpoint.ID()
		if (sameName || other.Address() == endpoint.Address()) && other.Incarnation() != endpoint.Incarnation() {
			isReplaced = true
		}
	})
	return isReplaced
}

// recordCrash records that an endpoint has crashed while it held a request.
func (d *crashDetector) recordCrash(found finding, h heldRequest) {
	endpoint := h.assignment.Endpoint()
	crashes := d.entry.crashTracker.recordCrash(h.fingerprint, endpoint.Incarnation(), h.unanswered)
	event.RequestSuspected.Log(d.entry.logger, zap.String("request", h.id), zap.String("endpoint", endpoint.ID()),
		zap.Uint64("fingerprint", h.fingerprint), zap.String("finding", string(found)), zap.Int("crashes", crashes))
	if found == down {
		d.entry.parts.recordCrash(h)
	}
	if found == down || crashes > 1 {
		d.entry.peers.announceSuspects()
	}
}
