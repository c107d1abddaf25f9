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

// Parameters for reserving credits.
const (
	// immediateTries is the number of endpoints that are first tried without
	// queueing at the agent.
	immediateTries = 2
	// parallelWaits is the number of endpoints at whose agents a request queues
	// concurrently.
	parallelWaits = 2
	// reserveWait is how long a reservation queues at an agent.
	reserveWait = 250 * time.Millisecond
	// reserveGrace is how much longer the entry waits for the agent's response.
	reserveGrace = time.Second
	// retryDelay is the pause after a failed round of reservations, such as when an
	// agent rejects an outdated version.
	retryDelay = 50 * time.Millisecond
)

// Errors of a reservation. In each case the request has not run.
var (
	errBusy         = eris.New("the endpoint is busy")
	errStaleVersion = eris.New("the endpoint knows a newer configuration")
	errUnavailable  = eris.New("the endpoint does not accept requests")
)

// grant is a credit that an endpoint's agent granted.
type grant struct {
	conn        *agentConn
	endpoint    config.Endpoint
	stream      *link.Stream
	incarnation string
	credit      uint64
	version     uint64
	exclusive   bool
	// epoch identifies the endpoint's process as of the agent's last report.
	epoch string
	trace audit.Attempt
}

// release returns an unused credit.
func (g *grant) release() { g.stream.Close() }

// reserve queues the request and then tries endpoints until an agent grants a
// credit.
func (r *inflightRequest) reserve(ctx context.Context) (*grant, *apierr.Error) {
	rules := r.entry.follower.currentRules()
	queue := r.entry.queues.forService(r.service, len(rules.UsableEndpoints(r.service.Name())))
	if refusal := r.enterQueue(ctx, queue); refusal != nil {
		return nil, refusal
	}
	defer queue.Release()
	queueDeadline := time.Now().Add(r.service.Queue().MaxWait())
	for {
		found, refusal := r.tryReserve(ctx)
		if found != nil || refusal != nil {
			return found, refusal
		}
		switch {
		case r.exchange.Context().Err() != nil:
			return nil, r.callerGoneError()
		case ctx.Err() != nil:
			return nil, r.timeoutError()
		case time.Now().After(queueDeadline) && r.entry.agents.anyReady(rules.UsableEndpoints(r.service.Name())):
			return nil, r.queueTimeoutError(queue)
		case time.Now().After(queueDeadline):
			return nil, r.noEndpointError("no endpoint of the service is ready")
		}
	}
}

// tryReserve makes one pass over the endpoints, by the current rules and loads. It
// returns neither a grant nor an error if the caller should try again.
func (r *inflightRequest) tryReserve(ctx context.Context) (*grant, *apierr.Error) {
	if refusal := r.checkAdmission(); refusal != nil {
		return nil, refusal
	}
	if refusal := r.checkStop(); refusal != nil {
		return nil, refusal
	}
	state := r.crashState()
	if state == crash.Blocked {
		return nil, r.blockedError()
	}
	if refusal := r.checkParts(); refusal != nil {
		return nil, refusal
	}
	rules := r.entry.follower.currentRules()
	usable := rules.UsableEndpoints(r.service.Name())
	loads := r.entry.agents.loads(usable, r.entry.hosts, r.prefix)
	request := route.NewRequest(r.service.Name(), r.entry.settings.DataCentre(),
		route.WithSession(r.session), route.WithExcluded(r.log.Tried()...))
	seed := rand.Uint64()
	decision := route.Decide(*rules, loads, request, seed)
	switch decision.Reason() {
	case route.ReasonNoEndpoint:
		return nil, r.noEndpointError("the configuration has no usable endpoint for the service")
	case route.ReasonNoneReady:
		// Broken sessions may be about to be reopened.
		sleep(ctx, retryDelay)
		return nil, nil
	}
	var found *grant
	if state == crash.Isolated {
		found = r.reserveExclusive(ctx, rules, decision.Endpoints()[0])
	} else {
		found = r.reserveAny(ctx, rules, decision.Endpoints())
	}
	if found == nil {
		return nil, nil
	}
	if !r.isStillAllowed(found) || !r.beginProbe() {
		found.release()
		return nil, nil
	}
	found.trace = audit.NewAttempt(found.endpoint.Name(), *rules, loads, seed)
	return found, nil
}

func (r *inflightRequest) noEndpointError(message string) *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, "no_endpoint", message,
		apierr.WithOutcome(r.log.Outcome()), apierr.WithRetryAfter(shortRetryAfter))
}

// reserveAny reserves a credit at one of the endpoints. It first tries some of them
// without queueing, and then queues.
func (r *inflightRequest) reserveAny(ctx context.Context, rules *route.Rules, endpoints []config.Endpoint) *grant {
	version := rules.Head().Number()
	for _, endpoint := range endpoints[:min(immediateTries, len(endpoints))] {
		found, err := r.reserveAt(ctx, endpoint, version, 0)
		if err == nil {
			return found
		}
		if isStale(err) {
			r.entry.follower.pollPeersNow()
			sleep(ctx, retryDelay)
			return nil
		}
	}
	return r.reserveFirst(ctx, endpoints[:min(parallelWaits, len(endpoints))], version)
}

// exclusiveWait is how long an isolated request waits until it can run alone on an
// endpoint.
const exclusiveWait = 4 * time.Second

// reserveExclusive reserves a credit to run the request alone on the endpoint.
func (r *inflightRequest) reserveExclusive(ctx context.Context, rules *route.Rules, endpoint config.Endpoint) *grant {
	found, err := r.sendReserve(ctx, endpoint, &wirepb.Reserve{
		Version: rules.Head().Number(),
		WaitMs:  uint32(exclusiveWait.Milliseconds()),
		Alone:   true,
	})
	if err != nil {
		sleep(ctx, retryDelay)
		return nil
	}
	return found
}

// reserveFirst queues at several endpoints concurrently. It uses the first credit
// that is granted and releases the others.
func (r *inflightRequest) reserveFirst(ctx context.Context, endpoints []config.Endpoint, version uint64) *grant {
	ctx, cancel := context.WithTimeout(ctx, reserveWait+reserveGrace)
	defer cancel()
	grants := make(chan *grant, len(endpoints))
	for _, endpoint := range endpoints {
		go func() {
			found, _ := r.reserveAt(ctx, endpoint, version, reserveWait)
			grants <- found
		}()
	}
	startedAt := time.Now()
	for i := range endpoints {
		if found := <-grants; found != nil {
			cancel()
			go releaseAll(grants, len(endpoints)-i-1)
			return found
		}
	}
	// Avoid a busy loop if all endpoints reject immediately.
	sleep(ctx, retryDelay-time.Since(startedAt))
	return nil
}

func releaseAll(grants <-chan *grant, count int) {
	for range count {
		if found := <-grants; found != nil {
			found.release()
		}
	}
}

// reserveAt reserves a credit at one endpoint and queues there for up to wait.
func (r *inflightRequest) reserveAt(ctx context.Context, endpoint config.Endpoint, version uint64, wait time.Duration) (*grant, error) {
	return r.sendReserve(ctx, endpoint, &wirepb.Reserve{Version: version, WaitMs: uint32(wait.Milliseconds())})
}

// sendReserve fills in the remaining fields of the reservation and sends it to the
// endpoint's agent.
func (r *inflightRequest) sendReserve(ctx context.Context, endpoint config.Endpoint, reserve *wirepb.Reserve) (*grant, error) {
	reserve.Service = r.service.Name()
	reserve.Entry = r.entry.settings.Name()
	reserve.Priority = uint32(r.team.Priority())
	c := r.entry.agents.conn(endpoint.Name())
	if c == nil {
		return nil, errNotConnected
	}
	session, stream, err := c.openStream()
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, stream.Close)
	granted, err := exchangeReserve(stream, reserve)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		stream.Close()
		if errors.Is(err, link.ErrTimeout) && ctx.Err() == nil {
			c.closeUnresponsive(session)
		}
		return nil, err
	}
	c.addPending()
	return &grant{
		conn:        c,
		endpoint:    endpoint,
		stream:      stream,
		incarnation: granted.GetIncarnation(),
		credit:      granted.GetCredit(),
		version:     reserve.GetVersion(),
		exclusive:   reserve.GetAlone(),
		epoch:       c.epoch(),
	}, nil
}

func exchangeReserve(stream *link.Stream, reserve *wirepb.Reserve) (*wirepb.Granted, error) {
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
		return nil, errUnavailable
	}
}

// isStillAllowed reports whether the current rules still allow the endpoint. They
// may have changed while the reservation waited.
func (r *inflightRequest) isStillAllowed(found *grant) bool {
	if !r.entry.follower.serveState().MayServe() {
		return false
	}
	for _, endpoint := range r.entry.follower.currentRules().UsableEndpoints(r.service.Name()) {
		if endpoint.Name() == found.endpoint.Name() {
			return true
		}
	}
	return false
}
