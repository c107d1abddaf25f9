// Package route decides which endpoints a request may go to and in which order
// they are tried.
//
// A decision is a pure function of the configuration, the known load of the
// endpoints, the request and a seed. Entries use it to route requests, and an audit
// repeats it with recorded inputs.
//
// Load reports lag, so if every entry chose the least loaded endpoint, all of them
// would overload it at once. Decide instead orders the endpoints at random,
// weighted by free capacity, so entries with the same stale report spread their
// requests over all endpoints that had free capacity.
package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/pkg/config"
)

// Load is what an entry knows about the load of one endpoint. The zero value
// stands for an endpoint that has not reported yet, which isn't usable.
type Load struct {
	capacity int
	busy     int
	ready    bool
	leaving  bool
	cached   bool
}

// LoadOption configures a Load.
type LoadOption func(*Load)

// NotReady marks an endpoint that can't accept requests now.
func NotReady() LoadOption {
	return func(l *Load) { l.ready = false }
}

// Leaving marks a draining endpoint: it completes its requests and accepts no new
// ones.
func Leaving() LoadOption {
	return func(l *Load) { l.leaving = true }
}

// Cached marks an endpoint whose cache probably holds the request's prompt.
func Cached() LoadOption {
	return func(l *Load) { l.cached = true }
}

// NewLoad returns the load of a ready endpoint that can run capacity requests at a
// time, against which busy requests count now.
func NewLoad(capacity, busy int, options ...LoadOption) Load {
	load := Load{capacity: capacity, busy: busy, ready: true}
	for _, option := range options {
		option(&load)
	}
	return load
}

// Capacity returns how many requests the endpoint can run at a time.
func (l Load) Capacity() int { return l.capacity }

// Busy returns how many requests count against the capacity.
func (l Load) Busy() int { return l.busy }

// Usable reports whether the endpoint accepts new requests.
func (l Load) Usable() bool { return l.ready && !l.leaving }

// IsCached reports whether the endpoint's cache probably holds the request's
// prompt.
func (l Load) IsCached() bool { return l.cached }

// IsLeaving reports whether the endpoint is draining.
func (l Load) IsLeaving() bool { return l.leaving }

// Free returns how many more requests the endpoint can run.
func (l Load) Free() int { return max(0, l.capacity-l.busy) }

// Request holds the properties of a request that affect routing.
type Request struct {
	service    string
	dataCentre string
	session    string
	exclude    []string
}

// RequestOption configures a Request.
type RequestOption func(*Request)

// WithSession sets the session of the request, for session affinity: its earlier
// requests have filled the cache of an endpoint.
func WithSession(session string) RequestOption {
	return func(r *Request) { r.session = session }
}

// WithExcluded sets endpoints that practically always come after all others, since
// an earlier attempt failed there.
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

// Reason says why a decision has no endpoint, or why its first endpoint was chosen.
type Reason string

// Reasons of decisions.
const (
	// ReasonWeighted means that the order is random, weighted by free capacity.
	ReasonWeighted Reason = "drawn"
	// ReasonSession means that the first endpoint is the one that the session
	// hashes to.
	ReasonSession Reason = "session"
	// ReasonCached means that the first endpoint's cache probably holds the
	// prompt.
	ReasonCached Reason = "cached"
	// ReasonNoEndpoint means that the rules allow no endpoint.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNoneReady means that none of the endpoints that the rules allow accepts
	// requests.
	ReasonNoneReady Reason = "none_ready"
)

// Decision is the result of Decide.
type Decision struct {
	endpoints []config.Endpoint
	reason    Reason
}

// Endpoints returns the endpoints in the order in which to try them.
func (d Decision) Endpoints() []config.Endpoint { return d.endpoints }

// Reason returns the reason of the decision.
func (d Decision) Reason() Reason { return d.reason }

// Weights of endpoints. The weight is the free capacity times a factor for the
// distance. fullWeight and excludedWeight are so small that full endpoints
// practically always come after those with free capacity, and excluded ones last.
const (
	sameDataCentreWeight = 8
	sameRegionWeight     = 2
	otherRegionWeight    = 1
	fullWeight           = 1e-6
	excludedWeight       = 1e-12
)

// sessionHeadroom is the fraction of its capacity that an endpoint must have free
// to keep its sessions.
const sessionHeadroom = 0.1

// Decide returns the endpoints that the request may go to, in the order in which to
// try them. Loads has the load of each endpoint that has reported, by name.
func Decide(rules Rules, loads map[string]Load, request Request, seed uint64) Decision {
	usable := rules.UsableEndpoints(request.service)
	if len(usable) == 0 {
		return Decision{reason: ReasonNoEndpoint}
	}
	ready := slices.DeleteFunc(usable, func(e config.Endpoint) bool { return !loads[e.Name()].Usable() })
	if len(ready) == 0 {
		return Decision{reason: ReasonNoneReady}
	}
	ordered := weightedShuffle(rules.Config(), ready, loads, request, seed)
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

// candidate is an endpoint with its random sort key.
type candidate struct {
	endpoint config.Endpoint
	key      float64
}

// weightedShuffle orders endpoints by weighted random sampling without replacement.
// Each endpoint of weight w gets a sort key from the exponential distribution of
// rate w; the probability that its key is the smallest is proportional to w.
func weightedShuffle(cfg *config.Config, ready []config.Endpoint, loads map[string]Load, request Request, seed uint64) []config.Endpoint {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(request.service)))
	origin, _ := cfg.DataCentre(request.dataCentre)
	order := make([]candidate, 0, len(ready))
	for _, endpoint := range ready {
		weight := fullWeight + float64(loads[endpoint.Name()].Free())
		weight *= localityWeight(cfg, origin, endpoint)
		if slices.Contains(request.exclude, endpoint.Name()) {
			weight *= excludedWeight
		}
		order = append(order, candidate{endpoint: endpoint, key: random.ExpFloat64() / weight})
	}
	slices.SortStableFunc(order, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	endpoints := ready[:0]
	for _, element := range order {
		endpoints = append(endpoints, element.endpoint)
	}
	return endpoints
}

// localityWeight returns the factor for the distance between the request's data
// centre and the endpoint's.
func localityWeight(cfg *config.Config, origin config.DataCentre, endpoint config.Endpoint) float64 {
	if endpoint.DataCentre() == origin.Name() {
		return sameDataCentreWeight
	}
	dataCentre, _ := cfg.DataCentre(endpoint.DataCentre())
	if dataCentre.Region() == origin.Region() {
		return sameRegionWeight
	}
	return otherRegionWeight
}

// moveSessionFirst moves the eligible endpoint that the session hashes to into
// first place if it has enough free capacity and isn't excluded, and reports
// whether it did. With rendezvous hashing a session stays at its endpoint while
// other endpoints are added and removed.
func moveSessionFirst(ordered []config.Endpoint, loads map[string]Load, request Request, eligible func(config.Endpoint) bool) bool {
	if request.session == "" {
		return false
	}
	best, bestHash := -1, uint64(0)
	for i, endpoint := range ordered {
		if !eligible(endpoint) {
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
	hasHeadroom := float64(load.Free()) >= math.Max(1, sessionHeadroom*float64(load.Capacity()))
	if !hasHeadroom || slices.Contains(request.exclude, name) {
		return false
	}
	endpoint := ordered[best]
	copy(ordered[1:best+1], ordered[:best])
	ordered[0] = endpoint
	return true
}
