package config

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// DataCentre is one site with endpoint hosts and entry hosts.
type DataCentre struct {
	name         string
	region       string
	outOfService bool
}

// Name returns the name of the data centre.
func (d DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d DataCentre) Region() string { return d.region }

// OutOfService reports whether operators have taken the data centre out of service.
func (d DataCentre) OutOfService() bool { return d.outOfService }

// Endpoint is one replica of a service behind its agent.
type Endpoint struct {
	name       string
	service    string
	dataCentre string
	address    string
	host       string
	leaving    bool
}

// Name returns the endpoint's name, unique among all endpoints.
func (e Endpoint) Name() string { return e.name }

// Service returns the name of the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// DataCentre returns the name of the endpoint's data centre.
func (e Endpoint) DataCentre() string { return e.dataCentre }

// Address returns the IP address and port of the endpoint's agent.
func (e Endpoint) Address() string { return e.address }

// Host returns the name of the endpoint's host in the platform's host list. If it
// is empty, the endpoint isn't checked against that list.
func (e Endpoint) Host() string { return e.host }

// Leaving reports whether operators are draining the endpoint for removal.
func (e Endpoint) Leaving() bool { return e.leaving }

// Kind is the interface that a service's endpoints implement.
type Kind string

const (
	// KindModel is a service of model engines with the chat completions interface.
	KindModel Kind = "model"
	// KindPlain is a service of ordinary HTTP servers.
	KindPlain Kind = "plain"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	name       string
	kind       Kind
	pathPrefix string
	repeatable bool
	timeout    time.Duration
	queue      QueueLimits
	retry      RetryLimits
	objectives Objectives
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Kind returns the interface that the service's endpoints implement.
func (s Service) Kind() Kind { return s.kind }

// PathPrefix returns the prefix of the paths that are routed to a plain service.
func (s Service) PathPrefix() string { return s.pathPrefix }

// Repeatable reports whether a request may be executed more than once.
func (s Service) Repeatable() bool { return s.repeatable }

// Timeout returns how long a request may take if the caller sets no timeout.
func (s Service) Timeout() time.Duration { return s.timeout }

// Queue returns the limits of the service's queue at each entry.
func (s Service) Queue() QueueLimits { return s.queue }

// Retry returns the limits on retries.
func (s Service) Retry() RetryLimits { return s.retry }

// Objectives returns the service-level objectives.
func (s Service) Objectives() Objectives { return s.objectives }

// QueueLimits bounds the queue of one service at one entry.
type QueueLimits struct {
	maxRequests int
	maxBytes    int64
	maxWait     time.Duration
}

// MaxRequests returns how many requests may be queued.
func (q QueueLimits) MaxRequests() int { return q.maxRequests }

// MaxBytes returns the greatest total size of the bodies of queued requests.
func (q QueueLimits) MaxBytes() int64 { return q.maxBytes }

// MaxWait returns how long a request may be queued.
func (q QueueLimits) MaxWait() time.Duration { return q.maxWait }

// RetryLimits bounds the retries of a service's requests.
type RetryLimits struct {
	maxAttempts int
	percent     int
}

// MaxAttempts returns how many attempts one request may have.
func (r RetryLimits) MaxAttempts() int { return r.maxAttempts }

// Percent returns how many retries are allowed per hundred successful requests.
func (r RetryLimits) Percent() int { return r.percent }

// Objectives are the service-level objectives that reports measure requests by.
type Objectives struct {
	firstToken  time.Duration
	tokenGap    time.Duration
	goodPercent int
}

// FirstToken returns the greatest time to the first byte of a good response.
func (o Objectives) FirstToken() time.Duration { return o.firstToken }

// TokenGap returns the greatest time between two chunks of a good response.
func (o Objectives) TokenGap() time.Duration { return o.tokenGap }

// GoodPercent returns the share of requests, in percent, that must be good.
func (o Objectives) GoodPercent() int { return o.goodPercent }

// Model is a name that callers use for a service of model engines.
type Model struct {
	name    string
	service string
}

// Name returns the name that callers use.
func (m Model) Name() string { return m.name }

// Service returns the name of the service that serves the model.
func (m Model) Service() string { return m.service }

// Team is a customer whose requests are admitted and accounted together.
type Team struct {
	name      string
	keySHA256 string
	weight    int
	priority  int
	maxActive int
	services  []string
}

// Name returns the name of the team.
func (t Team) Name() string { return t.name }

// KeySHA256 returns the SHA-256 of the team's API key in lower-case hexadecimal.
func (t Team) KeySHA256() string { return t.keySHA256 }

// Weight returns the team's share of a queue relative to the other teams.
func (t Team) Weight() int { return t.weight }

// Priority returns the priority of the team's requests; higher ones go first.
func (t Team) Priority() int { return t.priority }

// MaxActive returns how many requests of the team an entry serves concurrently.
func (t Team) MaxActive() int { return t.maxActive }

// Services returns the names of the services that the team may use; an empty
// list means all of them.
func (t Team) Services() []string { return t.services }

// MayUse reports whether the team may use the service.
func (t Team) MayUse(service string) bool {
	return len(t.services) == 0 || slices.Contains(t.services, service)
}

// Config is one immutable configuration. The zero value is the empty one.
type Config struct {
	dataCentres map[string]DataCentre
	endpoints   map[string]Endpoint
	services    map[string]Service
	models      map[string]Model
	teams       map[string]Team

	byService map[string][]Endpoint
	byKey     map[string]Team
}

// DataCentre returns the data centre of the given name.
func (c *Config) DataCentre(name string) (DataCentre, bool) {
	dataCentre, ok := c.dataCentres[name]
	return dataCentre, ok
}

// DataCentres returns all data centres, sorted by name.
func (c *Config) DataCentres() []DataCentre { return sorted(c.dataCentres) }

// Endpoint returns the endpoint of the given name.
func (c *Config) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := c.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints, sorted by name.
func (c *Config) Endpoints() []Endpoint { return sorted(c.endpoints) }

// EndpointsOf returns the endpoints of a service, sorted by name. The caller must
// not modify the slice.
func (c *Config) EndpointsOf(service string) []Endpoint { return c.byService[service] }

// Service returns the service of the given name.
func (c *Config) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// ServiceByPath returns the plain service with the longest path prefix that
// contains the path.
func (c *Config) ServiceByPath(path string) (Service, bool) {
	var best Service
	for _, service := range c.services {
		prefix := service.pathPrefix
		matches := prefix != "" && (path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/"))
		if matches && len(prefix) > len(best.pathPrefix) {
			best = service
		}
	}
	return best, best.name != ""
}

// Services returns all services, sorted by name.
func (c *Config) Services() []Service { return sorted(c.services) }

// Model returns the model of the given name.
func (c *Config) Model(name string) (Model, bool) {
	model, ok := c.models[name]
	return model, ok
}

// Models returns all models, sorted by name.
func (c *Config) Models() []Model { return sorted(c.models) }

// Team returns the team of the given name.
func (c *Config) Team(name string) (Team, bool) {
	team, ok := c.teams[name]
	return team, ok
}

// TeamByKey returns the team whose API key has the given SHA-256.
func (c *Config) TeamByKey(keySHA256 string) (Team, bool) {
	team, ok := c.byKey[keySHA256]
	return team, ok
}

// Teams returns all teams, sorted by name.
func (c *Config) Teams() []Team { return sorted(c.teams) }

// index builds the lookup tables from the objects.
func (c *Config) index() {
	c.byService = make(map[string][]Endpoint, len(c.services))
	for _, endpoint := range sorted(c.endpoints) {
		c.byService[endpoint.service] = append(c.byService[endpoint.service], endpoint)
	}
	c.byKey = make(map[string]Team, len(c.teams))
	for _, team := range c.teams {
		c.byKey[team.keySHA256] = team
	}
}

// clone returns a copy without lookup tables. Its maps of objects are never nil
// and can be changed without affecting c.
func (c *Config) clone() *Config {
	return &Config{
		dataCentres: cloneMap(c.dataCentres),
		endpoints:   cloneMap(c.endpoints),
		services:    cloneMap(c.services),
		models:      cloneMap(c.models),
		teams:       cloneMap(c.teams),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func sorted[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}
