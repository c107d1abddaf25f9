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

// The codes with which an agent refuses. All of them mean "not run".
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

// Bounds of streams.
const (
	// HeartbeatInterval is how often an agent reports if nothing changes.
	HeartbeatInterval = time.Second
	// reportInterval is the least time between two reports.
	reportInterval = 50 * time.Millisecond
	// maxReserveWait bounds how long an entry may wait for a credit.
	maxReserveWait = 5 * time.Second
)

// serveStream serves one stream by its first frame.
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

func refused(code, message string, version uint64) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: &wirepb.Refused{
		Code:    code,
		Message: message,
		Version: version,
	}}}
}

// check returns the refusal of a reservation that can't be granted whatever the
// load is, or nil.
func (a *Agent) check(reserve *wirepb.Reserve) *wirepb.Frame {
	newest := a.observeVersion(reserve.GetVersion())
	switch {
	case reserve.GetService() != a.settings.Service():
		return refused(CodeWrongService, "this endpoint belongs to "+a.settings.Service(), newest)
	case reserve.GetVersion() < newest:
		return refused(CodeStaleVersion, "a newer configuration is in force", newest)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return refused(CodeLeaving, "the endpoint is leaving", newest)
	case !a.ready:
		return refused(CodeNotReady, "the endpoint isn't ready", newest)
	}
	return nil
}

// serveReserve grants a credit and runs the attempt that uses it.
func (a *Agent) serveReserve(session *link.Session, stream *link.Stream, reserve *wirepb.Reserve) {
	if refusal := a.check(reserve); refusal != nil {
		_ = stream.Write(refusal)
		return
	}
	credit, err := a.acquire(session, reserve)
	if err != nil {
		code := CodeBusy
		if errors.Is(err, admit.ErrClosed) {
			code = CodeLeaving
		}
		_ = stream.Write(refused(code, err.Error(), a.version.Load()))
		return
	}
	defer a.finish(credit)
	a.notify()
	granted := &wirepb.Granted{
		Incarnation: a.incarnation,
		Credit:      credit,
		LeaseMs:     uint32(a.gate.Lease().Milliseconds()),
	}
	if stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Granted{Granted: granted}}) != nil {
		return
	}
	next, err := stream.ReadWithin(a.gate.Lease())
	if err != nil {
		return
	}
	attempt := next.GetAttempt()
	if attempt == nil || attempt.GetCredit() != credit {
		event.FrameRefused.Log(a.logger, zap.String("peer", session.RemoteAddress()))
		return
	}
	if err := a.gate.Start(credit); err != nil {
		_ = stream.Write(refused(CodeCreditLapsed, err.Error(), a.version.Load()))
		return
	}
	a.serveAttempt(stream, attempt)
}

// acquire waits for a credit as long as the entry wants, or until its session
// ends.
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
		return a.gate.AcquireExclusive(ctx)
	}
	return a.gate.Acquire(ctx, int(reserve.GetPriority()))
}

func (a *Agent) finish(credit uint64) {
	a.gate.Finish(credit)
	a.applyCapacity()
	a.notify()
}

// serveRevoke makes sure that a credit is not used any more.
func (a *Agent) serveRevoke(stream *link.Stream, revoke *wirepb.Revoke) {
	// A credit of an earlier incarnation can't be used, but whether it was used
	// then nobody knows any more.
	started := true
	if revoke.GetIncarnation() == a.incarnation {
		started = a.gate.Revoke(revoke.GetCredit())
	}
	_ = stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Revoked{Revoked: &wirepb.Revoked{Started: started}}})
}

// report returns the agent's state as a frame.
func (a *Agent) report() *wirepb.Frame {
	usage := a.gate.Usage()
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
	}}}
}

// sameReport returns the heartbeat that stands for the report before.
func sameReport() *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Report{Report: &wirepb.Report{Same: true}}}
}

// followVersions takes note of the versions that an entry announces until its
// stream ends.
func (a *Agent) followVersions(stream *link.Stream) {
	for {
		message, err := stream.Read()
		if err != nil {
			return
		}
		a.observeVersion(message.GetWatch().GetVersion())
	}
}

// serveWatch reports the agent's state on each change and as a heartbeat.
func (a *Agent) serveWatch(session *link.Session, stream *link.Stream, watch *wirepb.Watch) {
	a.observeVersion(watch.GetVersion())
	event.SessionOpened.Log(a.logger, zap.String("entry", watch.GetEntry()))
	defer event.SessionClosed.Log(a.logger, zap.String("entry", watch.GetEntry()))
	go a.followVersions(stream)
	var last *wirepb.Frame
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := a.changes()
		report := a.report()
		if last != nil && proto.Equal(last, report) {
			report = sameReport()
		} else {
			last = report
		}
		if stream.Write(report) != nil {
			return
		}
		pause := time.NewTimer(reportInterval)
		select {
		case <-pause.C:
		case <-session.Closed():
			pause.Stop()
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
