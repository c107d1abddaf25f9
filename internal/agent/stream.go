package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/admit"
)

// Codes of refused requests. All of them mean that the request did not run.
const (
	CodeBusy         = "busy"
	CodeLeaving      = "leaving"
	CodeNotReady     = "not_ready"
	CodeStaleVersion = "stale_version"
	CodeWrongService = "wrong_service"
	CodeCreditLapsed = "credit_lapsed"
	CodeUnreachable  = "endpoint_unreachable"
	CodeUnavailable  = "endpoint_unavailable"
)

// Intervals and limits of streams.
const (
	// HeartbeatInterval is the interval of reports while nothing changes.
	HeartbeatInterval = time.Second
	// reportInterval is the minimum time between two reports.
	reportInterval = 50 * time.Millisecond
	// maxReserveWait limits how long a reservation may wait for a credit.
	maxReserveWait = 5 * time.Second
)

// serveStream dispatches a stream by the type of its first frame.
func (a *Agent) serveStream(session *link.Session, stream *link.Stream, first *wirepb.Frame) {
	switch body := first.GetBody().(type) {
	case *wirepb.Frame_Reserve:
		a.serveReserve(session, stream, body.Reserve)
	case *wirepb.Frame_Watch:
		a.serveWatch(session, stream, body.Watch)
	case *wirepb.Frame_Revoke:
		a.serveRevoke(stream, body.Revoke)
	default:
		event.FrameRefused.Log(a.logger, zap.String("peer", session.RemoteAddress()))
	}
}

func refusedFrame(code, message string, version uint64) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: &wirepb.Refused{
		Code:    code,
		Message: message,
		Version: version,
	}}}
}

// validateReservation returns the refusal of a reservation that cannot be
// granted regardless of load, or nil.
func (a *Agent) validateReservation(reserve *wirepb.Reserve) *wirepb.Frame {
	newest := a.observeVersion(reserve.GetVersion())
	switch {
	case reserve.GetService() != a.settings.Service():
		return refusedFrame(CodeWrongService, "this endpoint belongs to "+a.settings.Service(), newest)
	case reserve.GetVersion() < newest:
		return refusedFrame(CodeStaleVersion, "a newer configuration is in force", newest)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return refusedFrame(CodeLeaving, "the endpoint is leaving", newest)
	case !a.ready:
		return refusedFrame(CodeNotReady, "the endpoint isn't ready", newest)
	}
	return nil
}

// serveReserve grants a credit and runs the attempt that uses it. The credit
// lapses if the attempt does not start within the lease.
func (a *Agent) serveReserve(session *link.Session, stream *link.Stream, reserve *wirepb.Reserve) {
	if refusal := a.validateReservation(reserve); refusal != nil {
		_ = stream.Write(refusal)
		return
	}
	credit, err := a.acquire(session, reserve)
	if err != nil {
		code := CodeBusy
		if errors.Is(err, admit.ErrClosed) {
			code = CodeLeaving
		}
		_ = stream.Write(refusedFrame(code, err.Error(), a.version.Load()))
		return
	}
	defer a.releaseCredit(credit)
	a.notify()
	granted := &wirepb.Granted{
		Incarnation: a.incarnation,
		Credit:      credit,
		LeaseMs:     uint32(a.limiter.Lease().Milliseconds()),
	}
	if stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Granted{Granted: granted}}) != nil {
		return
	}
	next, err := stream.ReadWithin(a.limiter.Lease())
	if err != nil {
		return
	}
	attempt := next.GetAttempt()
	if attempt == nil || attempt.GetCredit() != credit {
		event.FrameRefused.Log(a.logger, zap.String("peer", session.RemoteAddress()))
		return
	}
	if err := a.limiter.Start(credit); err != nil {
		_ = stream.Write(refusedFrame(CodeCreditLapsed, err.Error(), a.version.Load()))
		return
	}
	a.serveAttempt(stream, attempt)
}

// acquire waits for a credit until the wait time of the reservation has passed
// or the session ends.
func (a *Agent) acquire(session *link.Session, reserve *wirepb.Reserve) (uint64, error) {
	wait := min(maxReserveWait, time.Duration(reserve.GetWaitMs())*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	go func() {
		select {
		case <-session.Closed():
			cancel()
		case <-ctx.Done():
		}
	}()
	if reserve.GetAlone() {
		return a.limiter.AcquireExclusive(ctx)
	}
	return a.limiter.Acquire(ctx, int(reserve.GetPriority()))
}

// releaseCredit returns a credit and recomputes the capacity.
func (a *Agent) releaseCredit(credit uint64) {
	a.limiter.Finish(credit)
	a.applyCapacity()
	a.notify()
}

// serveRevoke revokes a credit and reports whether a request has started with it.
func (a *Agent) serveRevoke(stream *link.Stream, revoke *wirepb.Revoke) {
	// A credit of an earlier incarnation cannot be used any more, but whether it
	// was used before the restart is unknown, so it counts as started.
	started := true
	if revoke.GetIncarnation() == a.incarnation {
		started = a.limiter.Revoke(revoke.GetCredit())
	}
	_ = stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Revoked{Revoked: &wirepb.Revoked{Started: started}}})
}

// report returns the agent's state as a frame.
func (a *Agent) report() *wirepb.Frame {
	usage := a.limiter.Usage()
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wirepb.Frame{Body: &wirepb.Frame_Report{Report: &wirepb.Report{
		Incarnation: a.incarnation,
		Endpoint:    a.settings.Name(),
		Capacity:    uint32(usage.Capacity()),
		Busy:        uint32(usage.InUse()),
		Ready:       a.ready,
		Leaving:     a.leaving,
		Epoch:       a.epoch,
		Version:     a.version.Load(),
		Hints:       a.hints,
		Down:        a.down,
	}}}
}

// unchangedReport returns the heartbeat that repeats the previous report.
func unchangedReport() *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Report{Report: &wirepb.Report{Same: true}}}
}

// observeVersions records the configuration versions that an entry announces
// until its stream ends.
func (a *Agent) observeVersions(stream *link.Stream) {
	for {
		message, err := stream.Read()
		if err != nil {
			return
		}
		a.observeVersion(message.GetWatch().GetVersion())
	}
}

// serveWatch sends the agent's state on each change, at most once per
// reportInterval, and as a heartbeat otherwise.
func (a *Agent) serveWatch(session *link.Session, stream *link.Stream, watch *wirepb.Watch) {
	a.observeVersion(watch.GetVersion())
	event.SessionOpened.Log(a.logger, zap.String("entry", watch.GetEntry()))
	defer event.SessionClosed.Log(a.logger, zap.String("entry", watch.GetEntry()))
	go a.observeVersions(stream)
	var last *wirepb.Frame
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := a.changeSignal()
		report := a.report()
		if last != nil && proto.Equal(last, report) {
			report = unchangedReport()
		} else {
			last = report
		}
		if stream.Write(report) != nil {
			return
		}
		delay := time.NewTimer(reportInterval)
		select {
		case <-delay.C:
		case <-session.Closed():
			delay.Stop()
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-session.Closed():
			return
		}
	}
}
