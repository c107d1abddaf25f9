// Package route decides which endpoints a request may go to and in which order
// they are tried.
//
// A decision is a pure function of a configuration, what is known of the
// endpoints' load, the request and a seed. Entries call it to route, tests call
// it with tables, and an audit calls it again with recorded inputs.
//
// Load reports lag, so all entries that went to the least loaded endpoint would
// meet there. Decide draws the order at random in proportion to free capacity
// instead: entries with the same stale report spread over all that had room.
package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/pkg/config"
)

// Load is what an entry knows about one endpoint. The zero value is an
// endpoint that has not reported yet.
type Load struct {
	capacity int
	busy     int
	ready    bool
	leaving  bool
	cached   bool
}

// LoadOption sets a part of a Load.
type LoadOption func(*Load)

// NotReady marks an endpoint that can't take requests now.
func NotReady() LoadOption {
	return func(l *Load) { l.ready = false }
}

// Leaving marks an endpoint that finishes its requests and takes no new ones.
func Leaving() LoadOption {
	return func(l *Load) { l.leaving = true }
}

// Cached marks an endpoint whose cache seems to hold the request's prompt.
func Cached() LoadOption {
	return func(l *Load) { l.cached = true }
}

// NewLoad returns the load of an endpoint that is ready, may run capacity
// requests at a time and has busy of them taken.
func NewLoad(capacity, busy int, options ...LoadOption) Load {
	load := Load{capacity: capacity, busy: busy, ready: true}
	for _, option := range options {
		option(&load)
	}
	return load
}

// Capacity returns how many requests the endpoint may run at a time.
func (l Load) Capacity() int { return l.capacity }

// Busy returns how many of them are taken.
func (l Load) Busy() int { return l.busy }

// Usable reports whether the endpoint takes new requests.
func (l Load) Usable() bool { return l.ready && !l.leaving }

// IsCached reports whether the endpoint's cache seems to hold the request's
// prompt.
func (l Load) IsCached() bool { return l.cached }

// IsLeaving reports whether the endpoint finishes and takes no new requests.
func (l Load) IsLeaving() bool { return l.leaving }

// Free returns how many more requests the endpoint could run.
func (l Load) Free() int { return max(0, l.capacity-l.busy) }

// Request is what a decision needs to know about a request.
type Request struct {
	service    string
	dataCentre string
	session    string
	exclude    []string
}

// RequestOption sets an optional part of a Request.
type RequestOption func(*Request)

// WithSession names the session whose earlier requests filled a cache.
func WithSession(session string) RequestOption {
	return func(r *Request) { r.session = session }
}

// WithExcluded names endpoints that are tried only after all others, since an
// earlier attempt failed there.
func WithExcluded(endpoints ...string) RequestOption {
	return func(r *Request) { r.exclude = endpoints }
}

// NewRequest returns a request for service that arrived in dataCentre.
func NewRequest(service, dataCentre string, options ...RequestOption) Request {
	request := Request{service: service, dataCentre: dataCentre}
	for _, option := range options {
		option(&request)
	}
	return request
}

// Reason tells why a decision names no endpoint, or why it prefers its first.
type Reason string

// The reasons of decisions.
const (
	// ReasonWeighted says that the order was drawn by free capacity.
	ReasonWeighted Reason = "drawn"
	// ReasonSession says that the first endpoint is the one that the session
	// hashes to.
	ReasonSession Reason = "session"
	// ReasonCached says that the first endpoint's cache seems to hold the
	// prompt.
	ReasonCached Reason = "cached"
	// ReasonNoEndpoint says that the rules leave no endpoint.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNoneReady says that no endpoint that the rules leave is ready.
	ReasonNoneReady Reason = "none_ready"
)

// Decision is the outcome of Decide.
type Decision struct {
	endpoints []config.Endpoint
	reason    Reason
}

// Endpoints returns the endpoints in the order in which to try them.
func (d Decision) Endpoints() []config.Endpoint { return d.endpoints }

// Reason returns why the decision is as it is.
func (d Decision) Reason() Reason { return d.reason }

// The weights that locality gives to free capacity.
const (
	sameDataCentreWeight = 8
	sameRegionWeight     = 2
	otherRegionWeight    = 1
	fullWeight           = 1e-6
	excludedWeight       = 1e-12
)

// sessionHeadroom is the share of its capacity that the endpoint of a session
// must have free for the session to stay there.
const sessionHeadroom = 0.1

// Decide returns the endpoints that the request may go to. Loads has an element
// for each endpoint that has reported.
func Decide(rules Rules, loads map[string]Load, request Request, seed uint64) Decision {
	usable := rules.UsableEndpoints(request.service)
	if len(usable) == 0 {
		return Decision{reason: ReasonNoEndpoint}
	}
	ready := slices.DeleteFunc(usable, func(e config.Endpoint) bool { return !loads[e.Name()].Usable() })
	if len(ready) == 0 {
		return Decision{reason: ReasonNoneReady}
	}
	ordered := draw(rules.Config(), ready, loads, request, seed)
	reason := ReasonWeighted
	cached := func(e config.Endpoint) bool { return loads[e.Name()].IsCached() }
	all := func(config.Endpoint) bool { return true }
	switch {
	case moveSessionFirst(ordered, loads, request, cached):
		reason = ReasonCached
	case moveSessionFirst(ordered, loads, request, all):
		reason = ReasonSession
	}
	return Decision{endpoints: ordered, reason: reason}
}

// drawn is an endpoint with its place in the drawn order; smaller goes first.
type drawn struct {
	endpoint config.Endpoint
	key      float64
}

// draw orders endpoints by a weighted draw without putting back: with keys
// from exponential distributions of rate w, the smallest key is that of an
// endpoint with a probability in proportion to its w.
func draw(cfg *config.Config, ready []config.Endpoint, loads map[string]Load, request Request, seed uint64) []config.Endpoint {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(request.service)))
	home, _ := cfg.DataCentre(request.dataCentre)
	order := make([]drawn, 0, len(ready))
	for _, endpoint := range ready {
		weight := fullWeight + float64(loads[endpoint.Name()].Free())
		weight *= locality(cfg, home, endpoint)
		if slices.Contains(request.exclude, endpoint.Name()) {
			weight *= excludedWeight
		}
		order = append(order, drawn{endpoint: endpoint, key: random.ExpFloat64() / weight})
	}
	slices.SortStableFunc(order, func(a, b drawn) int { return cmp.Compare(a.key, b.key) })
	endpoints := ready[:0]
	for _, element := range order {
		endpoints = append(endpoints, element.endpoint)
	}
	return endpoints
}

func locality(cfg *config.Config, home config.DataCentre, endpoint config.Endpoint) float64 {
	if endpoint.DataCentre() == home.Name() {
		return sameDataCentreWeight
	}
	dataCentre, _ := cfg.DataCentre(endpoint.DataCentre())
	if dataCentre.Region() == home.Region() {
		return sameRegionWeight
	}
	return otherRegionWeight
}

// moveSessionFirst puts the endpoint that a session hashes to first, among those
// that count, if it has room. Rendezvous hashing keeps a session in place while
// other endpoints come and go.
func moveSessionFirst(ordered []config.Endpoint, loads map[string]Load, request Request, counts func(config.Endpoint) bool) bool {
	if request.session == "" {
		return false
	}
	best, bestHash := -1, uint64(0)
	for i, endpoint := range ordered {
		if !counts(endpoint) {
			continue
		}
		hash := xxhash.Sum64String(request.session + "\x00" + endpoint.Name())
		if best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	if best < 0 {
		return false
	}
	name := ordered[best].Name()
	load := loads[name]
	room := float64(load.Free()) >= math.Max(1, sessionHeadroom*float64(load.Capacity()))
	if !room || slices.Contains(request.exclude, name) {
		return false
	}
	endpoint := ordered[best]
	copy(ordered[1:best+1], ordered[:best])
	ordered[0] = endpoint
	return true
}
