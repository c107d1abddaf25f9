// Package table defines the versioned routing table that operators write: which
// service handles a host and path, which requests are idempotent, which team an API
// key belongs to, and the properties of each service. It also defines the endpoints,
// evacuations and members that are found beside it in the store.
//
// All types are immutable values. The results of Match and Team depend only on the
// table and their arguments.
package table

import (
	"slices"
	"strings"
	"time"
)

// Semantics are the execution semantics of a route's requests.
type Semantics int

// The execution semantics of a route.
const (
	// AtMostOnce means that a request must not be executed more than once.
	AtMostOnce Semantics = iota
	// Idempotent means that a request may be executed again.
	Idempotent
	// Stream means that the response is a stream of events. The request may be executed
	// again only if the stream is resumable.
	Stream
)

// Split is a service's share of the traffic of a route.
type Split struct {
	service string
	weight  int
}

// NewSplit returns a split that gives service a share in proportion to weight.
func NewSplit(service string, weight int) Split { return Split{service: service, weight: weight} }

// Service returns the service's name.
func (s Split) Service() string { return s.service }

// RouteSpec holds the fields of a Route.
type RouteSpec struct {
	// Name identifies the route.
	Name string
	// Host and Prefix are the host and the path prefix of the requests that the route
	// matches.
	Host, Prefix string
	// Semantics are the execution semantics of the route's requests.
	Semantics Semantics
	// Resumable is set if a stream can be resumed after its last event, at another
	// endpoint.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or a stream's first event, is on
	// time.
	LatencyTarget time.Duration
	// GapTarget is the longest time between two events of a stream that is on time.
	GapTarget time.Duration
	// MaxAttempts bounds the number of endpoints that a request may be sent to.
	MaxAttempts int
	// Priority is the priority of the route's requests; lower values go first.
	Priority int
	// Splits are the services that share the route's traffic.
	Splits []Split
}

// Route maps requests with a host and a path prefix to services.
type Route struct{ spec RouteSpec }

// NewRoute returns a route with the given fields.
func NewRoute(spec RouteSpec) *Route { return &Route{spec: spec} }

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Semantics returns the execution semantics of the route's requests.
func (r *Route) Semantics() Semantics { return r.spec.Semantics }

// Resumable reports whether a stream can be resumed after its last event, at another
// endpoint.
func (r *Route) Resumable() bool { return r.spec.Resumable }

// Repeatable reports whether a request may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.spec.Semantics == Idempotent || (r.spec.Semantics == Stream && r.spec.Resumable)
}

// Public reports whether requests need no API key.
func (r *Route) Public() bool { return r.spec.Public }

// Timeout returns the bound on the time until the response is complete.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyTarget returns the time within which a response, or a stream's first event, is
// on time.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// GapTarget returns the longest time between two events of a stream that is on time.
func (r *Route) GapTarget() time.Duration { return r.spec.GapTarget }

// MaxAttempts returns the number of endpoints that a request may be sent to, at least
// one.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Priority returns the priority of the route's requests; lower values go first.
func (r *Route) Priority() int { return r.spec.Priority }

// Service returns the service that handles a request with the given hash, chosen by the
// weights of the route's splits. If the weights add up to zero it is the first split's
// service, and without splits it is empty.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, split := range r.spec.Splits {
		total += split.weight
	}
	if total <= 0 {
		if len(r.spec.Splits) == 0 {
			return ""
		}
		return r.spec.Splits[0].service
	}
	remaining := int(hash % uint64(total))
	for _, split := range r.spec.Splits {
		if remaining -= split.weight; remaining < 0 {
			return split.service
		}
	}
	return r.spec.Splits[len(r.spec.Splits)-1].service
}

// Engine describes the model replicas of a service and their performance.
type Engine struct {
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// KVTokens is the capacity of a replica's KV cache in tokens.
	KVTokens int
	// Stride is the number of decode steps in a pass with decoding requests.
	Stride int
	// Step is the fixed part of the time that a pass takes, and PerSequence the part for
	// each decoding request.
	Step, PerSequence time.Duration
	// ContextPerThousand is the part of a step's time for each 1,000 tokens of context.
	ContextPerThousand time.Duration
	// PrefillRate is the number of prompt tokens that are prefilled per second.
	PrefillRate float64
	// MeanPromptTokens and MeanOutputTokens are the mean token counts of a request's
	// prompt and of its response.
	MeanPromptTokens, MeanOutputTokens int
	// Sets, Experts, Places and Spare are the dimensions of an expert map: the number of
	// sets of layers, of experts in each set, of places for experts of a set on a rank,
	// and of those places that one switch may change.
	Sets, Experts, Places, Spare int
	// ExpertMB is the size of one expert, and LinkMbps the rate at which it is copied.
	ExpertMB, LinkMbps float64
	// ExpertShare is the share of the work per token that experts do.
	ExpertShare float64
}

// PassTime returns the time that a pass takes while all slots are decoding and no prompt is
// prefilled.
func (e *Engine) PassTime() time.Duration {
	return time.Duration(e.Stride) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
}

// ServiceSpec holds the fields of a Service.
type ServiceSpec struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections bounds the number of connections to an endpoint from all clients.
	MaxConnections int
	// ColdPerSecond is the number of requests per second that a cold endpoint sustains;
	// zero means no limit.
	ColdPerSecond float64
	// ColdStart is how long an endpoint is cold after it has started.
	ColdStart time.Duration
	// Engine describes the service's model replicas; nil for plain services.
	Engine *Engine
}

// Service is a set of equivalent endpoints.
type Service struct{ spec ServiceSpec }

// NewService returns a service with the given fields.
func NewService(spec ServiceSpec) *Service { return &Service{spec: spec} }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// MaxConnections returns the bound on the number of connections to an endpoint.
func (s *Service) MaxConnections() int { return s.spec.MaxConnections }

// ColdPerSecond returns the number of requests per second that a cold endpoint
// sustains; zero means no limit.
func (s *Service) ColdPerSecond() float64 { return s.spec.ColdPerSecond }

// ColdStart returns how long an endpoint is cold after it has started.
func (s *Service) ColdStart() time.Duration { return s.spec.ColdStart }

// Engine returns the description of the service's model replicas, or nil for plain
// services.
func (s *Service) Engine() *Engine { return s.spec.Engine }

// Team is a customer that API keys belong to.
type Team struct {
	name     string
	priority int
	// override is set if priority replaces the routes' priorities.
	override bool
}

// NewTeam returns a team whose requests have their route's priority.
func NewTeam(name string) Team { return Team{name: name} }

// WithPriority returns the team with a priority that overrides its routes' priorities.
func (t Team) WithPriority(priority int) Team {
	t.priority, t.override = priority, true
	return t
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Priority returns the priority of the team's requests on a route.
func (t Team) Priority(route *Route) int {
	if t.override {
		return t.priority
	}
	return route.Priority()
}

// Spec holds the fields of a Table.
type Spec struct {
	// Version is the table's version number.
	Version uint64
	// Routes and Services are the table's contents.
	Routes   []*Route
	Services []*Service
	// Teams maps API keys to teams; nil if no API keys are required.
	Teams map[string]Team
}

// Table is one version of the routing table. Use New to create one.
type Table struct {
	version uint64
	// byHost holds the routes of each host, those with the longest path prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	// named holds the names of the services and of those that routes lead to.
	named map[string]bool
	teams map[string]Team
}

// New returns a table with the given fields.
func New(spec Spec) *Table {
	t := &Table{
		version:  spec.Version,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service),
		named:    make(map[string]bool),
		teams:    spec.Teams,
	}
	for _, route := range spec.Routes {
		for _, split := range route.spec.Splits {
			t.named[split.service] = true
		}
		t.byHost[route.spec.Host] = append(t.byHost[route.spec.Host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.spec.Prefix) - len(a.spec.Prefix) })
	}
	for _, service := range spec.Services {
		t.services[service.Name()] = service
		t.named[service.Name()] = true
	}
	return t
}

// Version returns the table's version number.
func (t *Table) Version() uint64 { return t.version }

// Match returns the route for host and path, or nil if there is none. If several match,
// it is the one with the longest path prefix.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.spec.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Names reports whether the table has a service with the given name or a route to it.
func (t *Table) Names(service string) bool { return t.named[service] }

// Services calls f for every service, in no particular order.
func (t *Table) Services(f func(*Service)) {
	for _, service := range t.services {
		f(service)
	}
}

// MinGapTarget returns the shortest GapTarget of the routes to a service, or zero if
// none of them has one.
func (t *Table) MinGapTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, route := range routes {
			serves := slices.ContainsFunc(route.spec.Splits, func(s Split) bool { return s.service == service })
			if target := route.GapTarget(); serves && target > 0 && (shortest == 0 || target < shortest) {
				shortest = target
			}
		}
	}
	return shortest
}

// Team returns the team that an API key belongs to.
func (t *Table) Team(key string) (Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// RequiresKeys reports whether requests on routes that aren't public need an API key.
func (t *Table) RequiresKeys() bool { return t.teams != nil }
