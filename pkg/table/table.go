// Package table holds the numbered routing table that operators write: which
// service answers a host and a path, what may be repeated, which team a key
// belongs to, and how services are run.
//
// All types are immutable values. A table is looked up by Match and Team, which
// depend on nothing but their arguments.
package table

import (
	"slices"
	"strings"
	"time"
)

// Semantics says how often a request may run.
type Semantics int

// How often requests of a route may run.
const (
	// AtMostOnce lets each request run at most once.
	AtMostOnce Semantics = iota
	// Idempotent lets a request run again.
	Idempotent
	// Stream answers by events; it runs again only if it can be resumed.
	Stream
)

// Split is a service's share of a route.
type Split struct {
	service string
	weight  int
}

// NewSplit returns the share weight of service.
func NewSplit(service string, weight int) Split { return Split{service: service, weight: weight} }

// Service returns the service's name.
func (s Split) Service() string { return s.service }

// RouteSpec is what a Route is made of.
type RouteSpec struct {
	// Name tells routes apart.
	Name string
	// Host and Prefix select the route.
	Host, Prefix string
	// Semantics says how often a request may run.
	Semantics Semantics
	// Resumable streams go on after their last event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout bounds the wait for the whole answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or a stream's first event, is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events that is on time.
	GapTarget time.Duration
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	// Priority is the route's rank; zero comes first.
	Priority int
	// Splits are the services that share the route.
	Splits []Split
}

// Route says where requests of a host and path prefix go.
type Route struct{ spec RouteSpec }

// NewRoute returns a route.
func NewRoute(spec RouteSpec) *Route { return &Route{spec: spec} }

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Semantics returns how often a request may run.
func (r *Route) Semantics() Semantics { return r.spec.Semantics }

// Resumable reports whether a stream may go on at another endpoint.
func (r *Route) Resumable() bool { return r.spec.Resumable }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.spec.Semantics == Idempotent || (r.spec.Semantics == Stream && r.spec.Resumable)
}

// Public reports whether requests need no key.
func (r *Route) Public() bool { return r.spec.Public }

// Timeout returns the bound on the wait for the whole answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyTarget returns the time within which an answer is on time.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// GapTarget returns the longest pause between events that is on time.
func (r *Route) GapTarget() time.Duration { return r.spec.GapTarget }

// MaxAttempts returns how many endpoints one request may be sent to.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Priority returns the route's rank; zero comes first.
func (r *Route) Priority() int { return r.spec.Priority }

// Service returns the service that takes a request whose hash is given, by the
// weights of the route's splits.
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
	at := int(hash % uint64(total))
	for _, split := range r.spec.Splits {
		if at -= split.weight; at < 0 {
			return split.service
		}
	}
	return r.spec.Splits[len(r.spec.Splits)-1].service
}

// Engine describes the model replicas of a service and their pace.
type Engine struct {
	// Slots is how many requests run at once on a replica.
	Slots int
	// KVTokens is a replica's memory in tokens.
	KVTokens int
	// Stride is how many steps a pass with writers executes.
	Stride int
	// Step is a pass's fixed part, PerSequence its part for each request that writes.
	Step, PerSequence time.Duration
	// ContextPerThousand is a step's part for each 1,000 tokens of context.
	ContextPerThousand time.Duration
	// PrefillRate is how many prompt tokens are read in a second.
	PrefillRate float64
	// MeanPromptTokens and MeanOutputTokens are mean token counts of requests.
	MeanPromptTokens, MeanOutputTokens int
	// Sets, Experts, Places and Spare shape an expert map: sets of layers, experts
	// in each, places on a rank for each set, and how many of them may be new in one
	// switch.
	Sets, Experts, Places, Spare int
	// ExpertMB is the size of one expert, LinkMbps the rate at which it is copied.
	ExpertMB, LinkMbps float64
	// ExpertShare is the share of the work for tokens that goes to experts.
	ExpertShare float64
}

// ServiceSpec is what a Service is made of.
type ServiceSpec struct {
	// Name tells services apart.
	Name string
	// HealthPath is where an endpoint tells its health.
	HealthPath string
	// MaxConnections bounds the connections to one endpoint from all callers.
	MaxConnections int
	// ColdPerSecond is how many requests a cold endpoint bears in a second, zero for no bound.
	ColdPerSecond float64
	// ColdStart is how long an endpoint is cold after its start.
	ColdStart time.Duration
	// Engine describes model replicas, nil for plain services.
	Engine *Engine
}

// Service is a set of endpoints that answer alike.
type Service struct{ spec ServiceSpec }

// NewService returns a service.
func NewService(spec ServiceSpec) *Service { return &Service{spec: spec} }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// MaxConnections returns the bound on the connections to one endpoint.
func (s *Service) MaxConnections() int { return s.spec.MaxConnections }

// ColdPerSecond returns how many requests a cold endpoint bears in a second.
func (s *Service) ColdPerSecond() float64 { return s.spec.ColdPerSecond }

// ColdStart returns how long an endpoint is cold after its start.
func (s *Service) ColdStart() time.Duration { return s.spec.ColdStart }

// Engine returns the description of model replicas, nil for plain services.
func (s *Service) Engine() *Engine { return s.spec.Engine }

// Team is the owner of keys.
type Team struct {
	name     string
	priority int
	ranked   bool
}

// NewTeam returns a team without a rank of its own.
func NewTeam(name string) Team { return Team{name: name} }

// WithPriority returns the team with a rank that goes before its routes' ranks.
func (t Team) WithPriority(priority int) Team {
	t.priority, t.ranked = priority, true
	return t
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Priority returns the rank of the team's requests on a route.
func (t Team) Priority(route *Route) int {
	if t.ranked {
		return t.priority
	}
	return route.Priority()
}

// Spec is what a Table is made of.
type Spec struct {
	// Version numbers the table.
	Version uint64
	// Routes and Services are the table's rows.
	Routes   []*Route
	Services []*Service
	// Teams holds the team of each key, nil if no keys are asked for.
	Teams map[string]Team
}

// Table is one version of the operators' rules. Use New.
type Table struct {
	version  uint64
	byHost   map[string][]*Route
	services map[string]*Service
	teams    map[string]Team
}

// New returns a table.
func New(spec Spec) *Table {
	t := &Table{
		version:  spec.Version,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service),
		teams:    spec.Teams,
	}
	for _, route := range spec.Routes {
		t.byHost[route.spec.Host] = append(t.byHost[route.spec.Host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.spec.Prefix) - len(a.spec.Prefix) })
	}
	for _, service := range spec.Services {
		t.services[service.Name()] = service
	}
	return t
}

// Version returns the table's number.
func (t *Table) Version() uint64 { return t.version }

// Match returns the route with the longest prefix of path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.spec.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by its name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls each for every service.
func (t *Table) Services(each func(*Service)) {
	for _, service := range t.services {
		each(service)
	}
}

// MinGapTarget returns the shortest pause between events that the streams of a
// service aim at, zero if none does.
func (t *Table) MinGapTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, route := range routes {
			serves := slices.ContainsFunc(route.spec.Splits, func(s Split) bool { return s.service == service })
			if aim := route.GapTarget(); serves && aim > 0 && (shortest == 0 || aim < shortest) {
				shortest = aim
			}
		}
	}
	return shortest
}

// Team returns the team that holds key.
func (t *Table) Team(key string) (Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// RequiresKeys reports whether requests on routes that aren't open need a key.
func (t *Table) RequiresKeys() bool { return t.teams != nil }
