package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// defaultPatience is how long a request may take if neither the caller nor the
// route says.
const defaultPatience = 30 * time.Second

// request is a caller's request while it is served.
type request struct {
	entry    *Entry
	exchange *webio.Exchange
	call     platform.Call
	picture  *mirror.View
	route    *table.Route
	team     table.Team
	service  *sched.Service
	method   string
	target   string
	host     string
	body     []byte
	mark     uint64
	began    time.Time
	deadline time.Time

	attempts []attempt
	tried    map[string]bool
	// sends counts the attempts that reached an endpoint.
	sends int
	// ran says that an endpoint may have begun to run the request.
	ran    bool
	status int
	reason string
	first  time.Duration
}

// attempt is one send of a request, for the log.
type attempt struct {
	endpoint string
	at       time.Duration
	result   string
}

// serve answers a caller's request.
func (e *Entry) serve(exchange *webio.Exchange) {
	e.active.Add(1)
	defer e.active.Add(-1)
	r := &request{
		entry:    e,
		exchange: exchange,
		began:    time.Now(),
		picture:  e.picture.Load(),
		tried:    make(map[string]bool),
	}
	r.read()
	if refusal := r.decide(); refusal != nil {
		r.refuse(refusal)
	} else {
		ctx, cancel := context.WithDeadline(exchange.Context(), r.deadline)
		r.run(ctx)
		cancel()
	}
	r.log()
}

// read takes what is needed from the caller's request.
func (r *request) read() {
	incoming := r.exchange.Request()
	r.call = platform.ReadCall(incoming.Header)
	r.method, r.target = incoming.Method, incoming.RequestURI
	if r.target == "" {
		r.target = incoming.URL.RequestURI()
	}
	r.host = incoming.Host
	r.body = r.exchange.Body()
}

// refusal is an answer of the entry's own to a request that hasn't run.
type refusal struct {
	status int
	reason string
	// back is when the caller may come back, zero if that wouldn't help.
	back time.Duration
}

// decide finds the route, the team and the service, or refuses.
func (r *request) decide() *refusal {
	t := r.picture.Table()
	if t == nil {
		return &refusal{http.StatusServiceUnavailable, "no routing table is known yet", time.Second}
	}
	path, _, _ := strings.Cut(r.target, "?")
	if !strings.HasPrefix(r.target, "/") || strings.ContainsAny(r.target, " \r\n\t") {
		return &refusal{status: http.StatusBadRequest, reason: "the request's target isn't a path"}
	}
	r.route = t.Match(hostname(r.host), path)
	if r.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	if t.RequiresKeys() && !r.route.Public() {
		team, ok := t.Team(r.call.Key)
		if !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "no team holds the key"}
		}
		r.team = team
	} else if team, ok := t.Team(r.call.Key); ok {
		r.team = team
	}
	r.service = r.entry.service(r.route.Service(xxhash.Sum64String(r.call.ID)))
	r.mark = fingerprint(r.method, r.target, r.team.Name(), r.body)
	if r.entry.crashes.isBlocked(r.mark) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "endpoints have died under this request"}
	}
	patience := defaultPatience
	for _, bound := range []time.Duration{r.route.Timeout(), r.call.Patience} {
		if bound > 0 {
			patience = min(patience, bound)
		}
	}
	r.deadline = r.began.Add(patience)
	return nil
}

// hostname returns the name in a Host header, without a port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse answers with the entry's own words.
func (r *request) refuse(refusal *refusal) {
	r.answer(refusal.status, refusal.reason, platform.RefusalHeader(refusal.back), platform.ErrorBody(refusal.reason))
}

// answer sends a whole answer.
func (r *request) answer(status int, reason string, header http.Header, body []byte) {
	r.status, r.reason = status, reason
	if r.first == 0 {
		r.first = time.Since(r.began)
	}
	if err := r.exchange.PassOn(status, header, body); err != nil {
		r.reason = "the caller has gone: " + reason
	}
}

// log writes the request's line and counts it.
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
	case r.ran:
		result = "failed"
	}
	name := ""
	if r.service != nil {
		name = r.service.Name()
	}
	r.entry.ended.Add(1, result)
	if served {
		r.entry.first.Record(r.first.Seconds(), name)
	}
	now := time.Now()
	fields := []zap.Field{
		zap.String("request", r.call.ID),
		zap.String("result", result),
		zap.Int("status", r.status),
		zap.String("reason", r.reason),
		zap.String("service", name),
		zap.String("team", r.team.Name()),
		zap.Uint64("revision", r.picture.Revision()),
		zap.Int64("age_ms", now.Sub(r.picture.ConfirmedAt()).Milliseconds()),
		zap.Int64("first_ms", r.first.Milliseconds()),
		zap.Int64("total_ms", now.Sub(r.began).Milliseconds()),
		zap.Strings("attempts", describe(r.attempts)),
	}
	if t := r.picture.Table(); t != nil {
		fields = append(fields, zap.Uint64("version", t.Version()))
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name()))
	}
	if !r.deadline.IsZero() {
		fields = append(fields, zap.Int64("patience_ms", r.deadline.Sub(r.began).Milliseconds()))
	}
	r.entry.log.write(served, fields...)
}

func describe(attempts []attempt) []string {
	described := make([]string, 0, len(attempts))
	for _, a := range attempts {
		described = append(described, a.endpoint+" at "+strconv.FormatInt(a.at.Milliseconds(), 10)+"ms: "+a.result)
	}
	return described
}
