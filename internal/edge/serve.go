package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/parts"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// defaultTimeout limits a request if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// request is the state of a caller's request while it is served.
type request struct {
	entry       *Entry
	exchange    *webio.Exchange
	head        platform.RequestHead
	view        *mirror.View
	route       *table.Route
	team        table.Team
	service     *sched.Service
	method      string
	target      string
	host        string
	body        []byte
	fingerprint uint64
	// parts holds the parts of the prompt that other requests may share.
	parts []blame.Part
	// probe is when the request became the probe of a part that is blocked, zero if it is
	// none.
	probe      time.Time
	receivedAt time.Time
	deadline   time.Time
	// isRetry is set if the caller's previous request seems to have been refused.
	isRetry bool

	attempts []attempt
	// tried holds the ids of the endpoints to which the request was assigned.
	tried map[string]bool
	// sendCount is the number of attempts that reached an endpoint.
	sendCount int
	// answered reports whether the endpoint of the last attempt has begun to answer.
	answered atomic.Bool
	// executed reports whether the last response shows that its endpoint has executed the request.
	executed bool
	// reachedEndpoint reports whether an endpoint has not said that it rejects the request.
	reachedEndpoint bool
	// mayHaveRun reports whether an endpoint may have started to run the request.
	mayHaveRun bool
	// status is the status that was sent to the caller; zero is logged as a broken
	// response. Reason explains a response that the entry determined itself or that
	// was interrupted; it is empty if an endpoint's response was forwarded in full.
	status int
	reason string
	// queued is the time that the request has waited for an endpoint.
	queued time.Duration
	// firstByte is the time from receivedAt to the first byte of the response.
	firstByte time.Duration
}

// attempt describes one attempt at a request in the request log.
type attempt struct {
	endpoint string
	// at is the time from the request's receivedAt to the start of the attempt.
	at time.Duration
	// detail describes the outcome: a status or why the attempt failed.
	detail string
}

// serve handles a caller's request.
func (e *Entry) serve(exchange *webio.Exchange) {
	e.active.Add(1)
	defer e.active.Add(-1)
	r := &request{
		entry:      e,
		exchange:   exchange,
		receivedAt: time.Now(),
		view:       e.view.Load(),
		tried:      make(map[string]bool),
	}
	r.read()
	if refusal := r.resolve(); refusal != nil {
		r.refuse(refusal)
	} else {
		ctx, cancel := context.WithDeadline(exchange.Context(), r.deadline)
		r.run(ctx)
		cancel()
	}
	r.log()
}

// read extracts the parts of the caller's request that are used for routing and
// forwarding.
func (r *request) read() {
	incoming := r.exchange.Request()
	r.head = platform.ParseRequestHead(incoming.Header)
	r.method, r.target = incoming.Method, incoming.RequestURI
	if r.target == "" {
		r.target = incoming.URL.RequestURI()
	}
	r.host = incoming.Host
	r.body = r.exchange.Body()
}

// refusal is the entry's own response to a request that it does not complete.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may retry, zero if a retry would not help.
	retryAfter time.Duration
}

// refuseBlocked returns the refusal of a request that has crashed endpoints.
func refuseBlocked() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "the request is blocked: endpoints died while running it"}
}

// resolve determines the route, team, service and deadline of the request, or
// returns why it is refused.
func (r *request) resolve() *refusal {
	t := r.view.Table()
	if t == nil {
		return &refusal{http.StatusServiceUnavailable, "no routing table is known yet", time.Second}
	}
	path, _, _ := strings.Cut(r.target, "?")
	if !strings.HasPrefix(r.target, "/") || strings.ContainsAny(r.target, " \r\n\t") {
		return &refusal{status: http.StatusBadRequest, reason: "the request target is not a path"}
	}
	r.route = t.Match(hostname(r.host), path)
	if r.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	if t.RequiresKeys() && !r.route.Public() {
		team, ok := t.Team(r.head.Key)
		if !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown API key"}
		}
		r.team = team
	} else if team, ok := t.Team(r.head.Key); ok {
		r.team = team
	}
	r.service = r.entry.service(r.route.Service(xxhash.Sum64String(r.head.ID)))
	r.fingerprint = requestFingerprint(r.method, r.target, r.team.Name(), r.body)
	if r.entry.crashTracker.isBlocked(r.fingerprint) {
		return refuseBlocked()
	}
	r.parts = parts.Of(r.service.Name(), r.head.SharedParts)
	if refusal := r.entry.parts.check(r.parts); refusal != nil {
		return refusal
	}
	timeout := defaultTimeout
	for _, bound := range []time.Duration{r.route.Timeout(), r.head.Timeout} {
		if bound > 0 {
			timeout = min(timeout, bound)
		}
	}
	r.deadline = r.receivedAt.Add(timeout)
	return r.checkStop()
}

// hostname returns the host name of a Host header in lower case, without the port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse responds with a refusal.
func (r *request) refuse(refusal *refusal) {
	r.respond(refusal.status, refusal.reason, platform.RefusalHeader(refusal.retryAfter), platform.ErrorBody(refusal.reason))
}

// respond sends a complete response.
func (r *request) respond(status int, reason string, header http.Header, body []byte) {
	r.status, r.reason = status, reason
	if r.firstByte == 0 {
		r.firstByte = time.Since(r.receivedAt)
	}
	if err := r.exchange.ReplyVerbatim(status, header, body); err != nil {
		r.reason = "the caller has gone: " + reason
	}
}

// log logs the finished request and updates the metrics.
func (r *request) log() {
	served := r.status >= http.StatusOK && r.status < http.StatusMultipleChoices && r.reason == ""
	result := "refused"
	switch {
	case served:
		result = "served"
	case r.status == 0:
		result = "broken"
	case r.status < http.StatusInternalServerError:
		result = "denied"
	case r.mayHaveRun:
		result = "failed"
	}
	name := ""
	if r.service != nil {
		name = r.service.Name()
	}
	r.entry.requests.Add(1, result)
	if served {
		r.entry.firstByte.Record(r.firstByte.Seconds(), name)
	}
	now := time.Now()
	fields := []zap.Field{
		zap.String("request", r.head.ID),
		zap.String("result", result),
		zap.Int("status", r.status),
		zap.String("reason", r.reason),
		zap.String("service", name),
		zap.String("team", r.team.Name()),
		zap.Uint64("revision", r.view.Revision()),
		zap.Uint64("era", r.view.Position().Era()),
		zap.Int64("age_ms", now.Sub(r.view.ConfirmedAt()).Milliseconds()),
		zap.Int64("queued_ms", r.queued.Milliseconds()),
		zap.Int64("first_ms", r.firstByte.Milliseconds()),
		zap.Int64("total_ms", now.Sub(r.receivedAt).Milliseconds()),
		zap.Strings("attempts", formatAttempts(r.attempts)),
	}
	if t := r.view.Table(); t != nil {
		fields = append(fields, zap.Uint64("version", t.Version()))
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name()))
	}
	if !r.deadline.IsZero() {
		fields = append(fields, zap.Int64("patience_ms", r.deadline.Sub(r.receivedAt).Milliseconds()))
	}
	r.entry.log.write(served, fields...)
}

func formatAttempts(attempts []attempt) []string {
	formatted := make([]string, 0, len(attempts))
	for _, a := range attempts {
		formatted = append(formatted, a.endpoint+" at "+strconv.FormatInt(a.at.Milliseconds(), 10)+"ms: "+a.detail)
	}
	return formatted
}
