package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// The bounds and defaults of a configuration's numbers.
const (
	maxWeight         = 1000
	maxPriority       = 9
	maxActivePerTeam  = 100_000
	maxTimeoutMS      = 3_600_000
	maxQueueRequests  = 100_000
	maxQueueBytes     = 1 << 30
	maxQueueWaitMS    = 60_000
	maxRetryAttempts  = 10
	maxPercent        = 100
	defaultTimeoutMS  = 120_000
	defaultRequests   = 256
	defaultQueueBytes = 8 << 20
	defaultWaitMS     = 2_000
	defaultAttempts   = 3
	defaultRetryShare = 20
	defaultFirstMS    = 630
	defaultGapMS      = 70
	defaultGood       = 95
	maxNameLength     = 100
)

// Parse reads a whole configuration from JSON with comments. All findings,
// among them those of Check, are in the returned *diag.Error.
func Parse(file string, data []byte) (*Config, error) {
	var findings diag.List
	root := jsonc.Parse(file, data, &findings)
	if root == nil {
		return nil, findings.Err()
	}
	objects := &reader{findings: &findings}
	config := (&Config{}).clone()
	objects.readInto(config, root)
	root.RejectUnknown()
	config.index()
	config.check(objects, root.Position(), &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// reader maps the objects of a text and keeps where each of them stands.
type reader struct {
	findings *diag.List
	places   map[string]diag.Position
}

func placeKey(kind, name string) string { return kind + "/" + name }

// placeOf returns where an object stands in the text, or fallback where the
// text doesn't hold it.
func (r *reader) placeOf(kind, name string, fallback diag.Position) diag.Position {
	if place, ok := r.places[placeKey(kind, name)]; ok {
		return place
	}
	return fallback
}

// The names of the kinds of objects, as they stand in texts.
const (
	dataCentresField = "data_centres"
	endpointsField   = "endpoints"
	servicesField    = "services"
	modelsField      = "models"
	teamsField       = "teams"
)

// readInto adds the objects of root to config, over those of the same name.
func (r *reader) readInto(config *Config, root *jsonc.Object) {
	readKind(r, root, dataCentresField, config.dataCentres, readDataCentre)
	readKind(r, root, endpointsField, config.endpoints, readEndpoint)
	readKind(r, root, servicesField, config.services, readService)
	readKind(r, root, modelsField, config.models, readModel)
	readKind(r, root, teamsField, config.teams, readTeam)
}

func readKind[V any](r *reader, root *jsonc.Object, kind string, into map[string]V, read func(*jsonc.Object, string) V) {
	if r.places == nil {
		r.places = make(map[string]diag.Position)
	}
	for _, object := range root.Objects(kind) {
		name := readName(object)
		key := placeKey(kind, name)
		if _, twice := r.places[key]; twice {
			object.Addf("name", "%s has %q twice", kind, name)
		}
		r.places[key] = object.Position()
		into[name] = read(object, name)
		object.RejectUnknown()
	}
}

// readName reads the field "name", which keys and paths are made of.
func readName(object *jsonc.Object) string {
	name := object.String("name")
	if len(name) > maxNameLength {
		object.Addf("name", "the name is longer than %d bytes", maxNameLength)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }) {
		object.Addf("name", "the name %q must not contain blanks, slashes or control characters", name)
	}
	return name
}

func readDataCentre(object *jsonc.Object, name string) DataCentre {
	return DataCentre{
		name:   name,
		region: object.String("region"),
		out:    object.BoolOr("out", false),
	}
}

func readEndpoint(object *jsonc.Object, name string) Endpoint {
	endpoint := Endpoint{
		name:       name,
		service:    object.String("service"),
		dataCentre: object.String("data_centre"),
		address:    object.String("address"),
		host:       object.StringOr("host", ""),
		leaving:    object.BoolOr("leaving", false),
	}
	if _, err := netip.ParseAddrPort(endpoint.address); endpoint.address != "" && err != nil {
		object.Addf("address", "address %q must be an IP address and a port", endpoint.address)
	}
	return endpoint
}

func readService(object *jsonc.Object, name string) Service {
	service := Service{
		name:       name,
		kind:       Kind(object.OneOf("kind", string(KindModel), string(KindPlain))),
		pathPrefix: object.StringOr("path_prefix", ""),
		repeatable: object.BoolOr("repeatable", false),
		timeout:    milliseconds(object.IntOr("timeout_ms", defaultTimeoutMS, 1, maxTimeoutMS)),
		queue:      readQueue(object.ObjectOr("queue")),
		retry:      readRetry(object.ObjectOr("retry")),
		objectives: readObjectives(object.ObjectOr("objectives")),
	}
	if service.kind == KindPlain && !strings.HasPrefix(service.pathPrefix, "/") {
		object.Addf("path_prefix", "a plain service needs a path_prefix that starts with a slash")
	}
	if service.kind == KindModel && service.pathPrefix != "" {
		object.Addf("path_prefix", "a model service has no path_prefix")
	}
	return service
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func readQueue(object *jsonc.Object) QueueLimits {
	limits := QueueLimits{
		maxRequests: defaultRequests,
		maxBytes:    defaultQueueBytes,
		maxWait:     milliseconds(defaultWaitMS),
	}
	if object == nil {
		return limits
	}
	limits.maxRequests = int(object.IntOr("max_requests", defaultRequests, 0, maxQueueRequests))
	limits.maxBytes = object.IntOr("max_bytes", defaultQueueBytes, 0, maxQueueBytes)
	limits.maxWait = milliseconds(object.IntOr("max_wait_ms", defaultWaitMS, 0, maxQueueWaitMS))
	object.RejectUnknown()
	return limits
}

func readRetry(object *jsonc.Object) RetryLimits {
	limits := RetryLimits{maxAttempts: defaultAttempts, percent: defaultRetryShare}
	if object == nil {
		return limits
	}
	limits.maxAttempts = int(object.IntOr("max_attempts", defaultAttempts, 1, maxRetryAttempts))
	limits.percent = int(object.IntOr("percent", defaultRetryShare, 0, maxPercent))
	object.RejectUnknown()
	return limits
}

func readObjectives(object *jsonc.Object) Objectives {
	objectives := Objectives{
		firstToken:  milliseconds(defaultFirstMS),
		tokenGap:    milliseconds(defaultGapMS),
		goodPercent: defaultGood,
	}
	if object == nil {
		return objectives
	}
	objectives.firstToken = milliseconds(object.IntOr("first_token_ms", defaultFirstMS, 1, maxTimeoutMS))
	objectives.tokenGap = milliseconds(object.IntOr("token_gap_ms", defaultGapMS, 1, maxTimeoutMS))
	objectives.goodPercent = int(object.IntOr("good_percent", defaultGood, 1, maxPercent-1))
	object.RejectUnknown()
	return objectives
}

func readModel(object *jsonc.Object, name string) Model {
	return Model{name: name, service: object.String("service")}
}

func readTeam(object *jsonc.Object, name string) Team {
	team := Team{
		name:      name,
		keySHA256: object.String("key_sha256"),
		weight:    int(object.IntOr("weight", 1, 1, maxWeight)),
		priority:  int(object.IntOr("priority", 0, 0, maxPriority)),
		maxActive: int(object.IntOr("max_active", maxActivePerTeam, 1, maxActivePerTeam)),
		services:  object.Strings("services"),
	}
	if sum, err := hex.DecodeString(team.keySHA256); err != nil || len(sum) != 32 || strings.ToLower(team.keySHA256) != team.keySHA256 {
		object.Addf("key_sha256", "key_sha256 must be 64 lower-case hexadecimal digits")
	}
	return team
}

// check adds what is wrong with the configuration as a whole: references to
// objects that don't exist and names that stand for two things.
func (c *Config) check(places *reader, fallback diag.Position, findings *diag.List) {
	for _, endpoint := range c.Endpoints() {
		place := places.placeOf(endpointsField, endpoint.name, fallback)
		if _, ok := c.services[endpoint.service]; !ok && endpoint.service != "" {
			findings.Addf(place, "endpoint %q belongs to service %q, which doesn't exist", endpoint.name, endpoint.service)
		}
		if _, ok := c.dataCentres[endpoint.dataCentre]; !ok && endpoint.dataCentre != "" {
			findings.Addf(place, "endpoint %q stands in data centre %q, which doesn't exist", endpoint.name, endpoint.dataCentre)
		}
	}
	c.checkAddresses(places, fallback, findings)
	c.checkServices(places, fallback, findings)
	c.checkTeams(places, fallback, findings)
}

func (c *Config) checkAddresses(places *reader, fallback diag.Position, findings *diag.List) {
	owners := make(map[string]string, len(c.endpoints))
	for _, endpoint := range c.Endpoints() {
		owner, taken := owners[endpoint.address]
		if taken && endpoint.address != "" {
			place := places.placeOf(endpointsField, endpoint.name, fallback)
			findings.Addf(place, "endpoints %q and %q have the same address %s", owner, endpoint.name, endpoint.address)
		}
		owners[endpoint.address] = endpoint.name
	}
}

func (c *Config) checkServices(places *reader, fallback diag.Position, findings *diag.List) {
	prefixes := make(map[string]string, len(c.services))
	for _, service := range c.Services() {
		owner, taken := prefixes[service.pathPrefix]
		if taken && service.pathPrefix != "" {
			place := places.placeOf(servicesField, service.name, fallback)
			findings.Addf(place, "services %q and %q have the same path_prefix %q", owner, service.name, service.pathPrefix)
		}
		prefixes[service.pathPrefix] = service.name
		if strings.HasPrefix(service.pathPrefix+"/", "/v1/") {
			place := places.placeOf(servicesField, service.name, fallback)
			findings.Addf(place, "path_prefix %q is within /v1, which lentilstand answers itself", service.pathPrefix)
		}
	}
	for _, model := range c.Models() {
		service, ok := c.services[model.service]
		place := places.placeOf(modelsField, model.name, fallback)
		if !ok && model.service != "" {
			findings.Addf(place, "model %q belongs to service %q, which doesn't exist", model.name, model.service)
		}
		if ok && service.kind == KindPlain {
			findings.Addf(place, "model %q belongs to service %q, which is no model service", model.name, model.service)
		}
	}
}

func (c *Config) checkTeams(places *reader, fallback diag.Position, findings *diag.List) {
	owners := make(map[string]string, len(c.teams))
	for _, team := range c.Teams() {
		place := places.placeOf(teamsField, team.name, fallback)
		owner, taken := owners[team.keySHA256]
		if taken && team.keySHA256 != "" {
			findings.Addf(place, "teams %q and %q have the same key", owner, team.name)
		}
		owners[team.keySHA256] = team.name
		for _, service := range team.services {
			if _, ok := c.services[service]; !ok {
				findings.Addf(place, "team %q may use service %q, which doesn't exist", team.name, service)
			}
		}
	}
}

// UnservedServices returns one message for each service that has endpoints but none
// that requests may go to, since its data centres are out or its endpoints are
// leaving.
func (c *Config) UnservedServices() []string {
	var messages []string
	for _, service := range c.Services() {
		if len(c.UsableEndpoints(service.name)) == 0 {
			messages = append(messages, fmt.Sprintf("service %q would have no endpoint that requests may go to", service.name))
		}
	}
	return messages
}

// UsableEndpoints returns the endpoints of a service that stand in a data
// centre that is in service and are not leaving.
func (c *Config) UsableEndpoints(service string) []Endpoint {
	var usable []Endpoint
	for _, endpoint := range c.byService[service] {
		if endpoint.leaving || c.dataCentres[endpoint.dataCentre].out {
			continue
		}
		usable = append(usable, endpoint)
	}
	return usable
}
