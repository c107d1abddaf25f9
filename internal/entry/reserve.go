package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/agent"
	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/route"
)

// How credits are looked for.
const (
	// quickTries is how many endpoints are asked for a credit at once, without
	// waiting there.
	quickTries = 2
	// waitingTries is how many endpoints are waited for at the same time.
	waitingTries = 2
	// reserveWait is how long one reservation waits at an agent.
	reserveWait = 250 * time.Millisecond
	// reserveGrace is how much longer the entry waits for the agent's answer.
	reserveGrace = time.Second
	// stalePause is the pause after an agent has refused an old version.
	stalePause = 50 * time.Millisecond
)

// Errors of a reservation. Nothing has run.
var (
	errBusy         = eris.New("the endpoint is busy")
	errStaleVersion = eris.New("the endpoint knows a newer configuration")
	errUnusable     = eris.New("the endpoint takes no requests")
)

// grant is a credit at an endpoint.
type grant struct {
	link        *agentLink
	endpoint    config.Endpoint
	stream      *link.Stream
	incarnation string
	credit      uint64
	version     uint64
	alone       bool
	trace       audit.Attempt
}

// release gives back a credit that isn't used.
func (g *grant) release() { g.stream.Close() }

// reserve finds an endpoint that gives the request a credit.
func (f *inflight) reserve(ctx context.Context) (*grant, *apierr.Error) {
	rules := f.entry.follower.currentRules()
	queue := f.entry.queues.of(f.service, len(rules.UsableEndpoints(f.service.Name())))
	if refusal := f.enterQueue(ctx, queue); refusal != nil {
		return nil, refusal
	}
	defer queue.Release()
	giveUp := time.Now().Add(f.service.Queue().MaxWait())
	for {
		found, refusal := f.search(ctx)
		if found != nil || refusal != nil {
			return found, refusal
		}
		switch {
		case f.exchange.Context().Err() != nil:
			return nil, f.callerGone()
		case ctx.Err() != nil:
			return nil, f.timedOut()
		case time.Now().After(giveUp) && f.entry.fleet.isAnyReady(rules.UsableEndpoints(f.service.Name())):
			return nil, f.waitedTooLong(queue)
		case time.Now().After(giveUp):
			return nil, f.unserved("no endpoint of the service is ready")
		}
	}
}

// search asks for a credit once, by the rules and loads of this moment. It
// returns neither a grant nor a refusal if it should be called again.
func (f *inflight) search(ctx context.Context) (*grant, *apierr.Error) {
	if refusal := f.admissible(); refusal != nil {
		return nil, refusal
	}
	state := f.crashState()
	if state == crash.Blocked {
		return nil, f.blocked()
	}
	rules := f.entry.follower.currentRules()
	usable := rules.UsableEndpoints(f.service.Name())
	loads := f.entry.fleet.loads(usable, f.entry.hosts, f.prefix)
	request := route.NewRequest(f.service.Name(), f.entry.settings.DataCentre(),
		route.WithSession(f.session), route.WithExcluded(f.log.Tried()...))
	drawn := rand.Uint64()
	decision := route.Decide(*rules, loads, request, drawn)
	switch decision.Reason() {
	case route.ReasonNoEndpoint:
		return nil, f.unserved("no endpoint of the service is in service")
	case route.ReasonNoneReady:
		// Sessions that broke a moment ago are being opened again.
		pauseUnless(ctx, stalePause)
		return nil, nil
	}
	var found *grant
	if state == crash.Isolated {
		found = f.askAlone(ctx, rules, decision.Endpoints()[0])
	} else {
		found = f.ask(ctx, rules, decision.Endpoints())
	}
	if found == nil {
		return nil, nil
	}
	if !f.stillAllowed(found) {
		found.release()
		return nil, nil
	}
	found.trace = audit.NewAttempt(found.endpoint.Name(), *rules, loads, drawn)
	return found, nil
}

func (f *inflight) unserved(message string) *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, "no_endpoint", message,
		apierr.WithOutcome(f.log.Outcome()), apierr.WithRetryAfter(retrySoon))
}

// ask asks the endpoints for a credit, first without waiting there.
func (f *inflight) ask(ctx context.Context, rules *route.Rules, endpoints []config.Endpoint) *grant {
	version := rules.Head().Number()
	for _, endpoint := range endpoints[:min(quickTries, len(endpoints))] {
		found, err := f.askOne(ctx, endpoint, version, 0)
		if err == nil {
			return found
		}
		if isStale(err) {
			f.entry.follower.refuted()
			pauseUnless(ctx, stalePause)
			return nil
		}
	}
	return f.askWaiting(ctx, endpoints[:min(waitingTries, len(endpoints))], version)
}

// aloneWait is how long an isolated request waits at an endpoint for a moment alone.
const aloneWait = 4 * time.Second

// askAlone asks an endpoint for a credit to run the request alone.
func (f *inflight) askAlone(ctx context.Context, rules *route.Rules, endpoint config.Endpoint) *grant {
	found, err := f.askFor(ctx, endpoint, &wirepb.Reserve{
		Version: rules.Head().Number(),
		WaitMs:  uint32(aloneWait.Milliseconds()),
		Alone:   true,
	})
	if err != nil {
		pauseUnless(ctx, stalePause)
		return nil
	}
	return found
}

// askWaiting waits at several endpoints for whichever credit comes first and
// gives the others back.
func (f *inflight) askWaiting(ctx context.Context, endpoints []config.Endpoint, version uint64) *grant {
	ctx, cancel := context.WithTimeout(ctx, reserveWait+reserveGrace)
	defer cancel()
	grants := make(chan *grant, len(endpoints))
	for _, endpoint := range endpoints {
		go func() {
			found, _ := f.askOne(ctx, endpoint, version, reserveWait)
			grants <- found
		}()
	}
	began := time.Now()
	for i := range endpoints {
		if found := <-grants; found != nil {
			cancel()
			go releaseAll(grants, len(endpoints)-i-1)
			return found
		}
	}
	// Endpoints that refuse at once would make this a busy loop.
	pauseUnless(ctx, stalePause-time.Since(began))
	return nil
}

func releaseAll(grants <-chan *grant, count int) {
	for range count {
		if found := <-grants; found != nil {
			found.release()
		}
	}
}

// askOne asks one endpoint for a credit and waits there for as long as wait.
func (f *inflight) askOne(ctx context.Context, endpoint config.Endpoint, version uint64, wait time.Duration) (*grant, error) {
	return f.askFor(ctx, endpoint, &wirepb.Reserve{Version: version, WaitMs: uint32(wait.Milliseconds())})
}

// askFor asks one endpoint for what reserve says, of which it fills in the rest.
func (f *inflight) askFor(ctx context.Context, endpoint config.Endpoint, reserve *wirepb.Reserve) (*grant, error) {
	reserve.Service = f.service.Name()
	reserve.Entry = f.entry.settings.Name()
	reserve.Priority = uint32(f.team.Priority())
	l := f.entry.fleet.link(endpoint.Name())
	if l == nil {
		return nil, errNotConnected
	}
	session, stream, err := l.open()
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, stream.Close)
	granted, err := askStream(stream, reserve)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		stream.Close()
		if errors.Is(err, link.ErrTimeout) && ctx.Err() == nil {
			l.leave(session)
		}
		return nil, err
	}
	l.expect()
	return &grant{
		link:        l,
		endpoint:    endpoint,
		stream:      stream,
		incarnation: granted.GetIncarnation(),
		credit:      granted.GetCredit(),
		version:     reserve.GetVersion(),
		alone:       reserve.GetAlone(),
	}, nil
}

func askStream(stream *link.Stream, reserve *wirepb.Reserve) (*wirepb.Granted, error) {
	wait := time.Duration(reserve.GetWaitMs()) * time.Millisecond
	if err := stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Reserve{Reserve: reserve}}); err != nil {
		return nil, err
	}
	message, err := stream.ReadWithin(wait + reserveGrace)
	if err != nil {
		return nil, err
	}
	if granted := message.GetGranted(); granted != nil {
		return granted, nil
	}
	switch message.GetRefused().GetCode() {
	case agent.CodeBusy:
		return nil, errBusy
	case agent.CodeStaleVersion:
		return nil, errStaleVersion
	default:
		return nil, errUnusable
	}
}

// stillAllowed reports whether the rules of this moment allow the endpoint that
// a credit was waited for.
func (f *inflight) stillAllowed(found *grant) bool {
	if !f.entry.follower.standing().MayServe() {
		return false
	}
	for _, endpoint := range f.entry.follower.currentRules().UsableEndpoints(f.service.Name()) {
		if endpoint.Name() == found.endpoint.Name() {
			return true
		}
	}
	return false
}
