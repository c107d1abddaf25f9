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

// The bounds and defaults of the numbers in a configuration.
const (
	maxWeight            = 1000
	maxPriority          = 9
	maxActivePerTeam     = 100_000
	maxTimeoutMS         = 3_600_000
	maxQueueRequests     = 100_000
	maxQueueBytes        = 1 << 30
	maxQueueWaitMS       = 60_000
	maxRetryAttempts     = 10
	maxPercent           = 100
	defaultTimeoutMS     = 120_000
	defaultQueueRequests = 256
	defaultQueueBytes    = 8 << 20
	defaultQueueWaitMS   = 2_000
	defaultRetryAttempts = 3
	defaultRetryPercent  = 20
	defaultFirstTokenMS  = 630
	defaultTokenGapMS    = 70
	defaultGoodPercent   = 95
	maxNameLength        = 100
)

// Parse reads a whole configuration from JSON with comments. The returned
// *diag.Error holds every finding, including those of the checks across objects.
func Parse(file string, data []byte) (*Config, error) {
	var findings diag.List
	root := jsonc.Parse(file, data, &findings)
	if root == nil {
		return nil, findings.Err()
	}
	source := &reader{findings: &findings}
	config := (&Config{}).clone()
	source.readInto(config, root)
	root.RejectUnknown()
	config.index()
	config.check(source, root.Position(), &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// reader decodes the objects of a text and records their positions in it.
type reader struct {
	findings  *diag.List
	positions map[string]diag.Position
}

func positionKey(kind, name string) string { return kind + "/" + name }

// positionOf returns the position of an object in the text, or fallback if the
// text doesn't contain the object.
func (r *reader) positionOf(kind, name string, fallback diag.Position) diag.Position {
	if position, ok := r.positions[positionKey(kind, name)]; ok {
		return position
	}
	return fallback
}

// The fields that hold the objects of each kind in configurations and patches.
const (
	dataCentresField = "data_centres"
	endpointsField   = "endpoints"
	servicesField    = "services"
	modelsField      = "models"
	teamsField       = "teams"
)

// readInto adds the objects of root to config, replacing those of the same name.
func (r *reader) readInto(config *Config, root *jsonc.Object) {
	readKind(r, root, dataCentresField, config.dataCentres, readDataCentre)
	readKind(r, root, endpointsField, config.endpoints, readEndpoint)
	readKind(r, root, servicesField, config.services, readService)
	readKind(r, root, modelsField, config.models, readModel)
	readKind(r, root, teamsField, config.teams, readTeam)
}

func readKind[V any](r *reader, root *jsonc.Object, kind string, into map[string]V, read func(*jsonc.Object, string) V) {
	if r.positions == nil {
		r.positions = make(map[string]diag.Position)
	}
	for _, object := range root.Objects(kind) {
		name := readName(object)
		key := positionKey(kind, name)
		if _, exists := r.positions[key]; exists {
			object.Addf("name", "%s: duplicate name %q", kind, name)
		}
		r.positions[key] = object.Position()
		into[name] = read(object, name)
		object.RejectUnknown()
	}
}

// readName reads the field "name". Names become parts of keys and paths, hence
// their limits.
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
		name:         name,
		region:       object.String("region"),
		outOfService: object.BoolOr("out", false),
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
		object.Addf("path_prefix", "a model service must not have a path_prefix")
	}
	return service
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func readQueue(object *jsonc.Object) QueueLimits {
	limits := QueueLimits{
		maxRequests: defaultQueueRequests,
		maxBytes:    defaultQueueBytes,
		maxWait:     milliseconds(defaultQueueWaitMS),
	}
	if object == nil {
		return limits
	}
	limits.maxRequests = int(object.IntOr("max_requests", defaultQueueRequests, 0, maxQueueRequests))
	limits.maxBytes = object.IntOr("max_bytes", defaultQueueBytes, 0, maxQueueBytes)
	limits.maxWait = milliseconds(object.IntOr("max_wait_ms", defaultQueueWaitMS, 0, maxQueueWaitMS))
	object.RejectUnknown()
	return limits
}

func readRetry(object *jsonc.Object) RetryLimits {
	limits := RetryLimits{maxAttempts: defaultRetryAttempts, percent: defaultRetryPercent}
	if object == nil {
		return limits
	}
	limits.maxAttempts = int(object.IntOr("max_attempts", defaultRetryAttempts, 1, maxRetryAttempts))
	limits.percent = int(object.IntOr("percent", defaultRetryPercent, 0, maxPercent))
	object.RejectUnknown()
	return limits
}

func readObjectives(object *jsonc.Object) Objectives {
	objectives := Objectives{
		firstToken:  milliseconds(defaultFirstTokenMS),
		tokenGap:    milliseconds(defaultTokenGapMS),
		goodPercent: defaultGoodPercent,
	}
	if object == nil {
		return objectives
	}
	objectives.firstToken = milliseconds(object.IntOr("first_token_ms", defaultFirstTokenMS, 1, maxTimeoutMS))
	objectives.tokenGap = milliseconds(object.IntOr("token_gap_ms", defaultTokenGapMS, 1, maxTimeoutMS))
	objectives.goodPercent = int(object.IntOr("good_percent", defaultGoodPercent, 1, maxPercent-1))
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

// check adds the findings about the configuration as a whole: references to
// objects that don't exist, and addresses, keys and path prefixes that two objects
// share.
func (c *Config) check(source *reader, fallback diag.Position, findings *diag.List) {
	for _, endpoint := range c.Endpoints() {
		position := source.positionOf(endpointsField, endpoint.name, fallback)
		if _, ok := c.services[endpoint.service]; !ok && endpoint.service != "" {
			findings.Addf(position, "endpoint %q belongs to service %q, which doesn't exist", endpoint.name, endpoint.service)
		}
		if _, ok := c.dataCentres[endpoint.dataCentre]; !ok && endpoint.dataCentre != "" {
			findings.Addf(position, "endpoint %q is in data centre %q, which doesn't exist", endpoint.name, endpoint.dataCentre)
		}
	}
	c.checkAddresses(source, fallback, findings)
	c.checkServices(source, fallback, findings)
	c.checkTeams(source, fallback, findings)
}

func (c *Config) checkAddresses(source *reader, fallback diag.Position, findings *diag.List) {
	owners := make(map[string]string, len(c.endpoints))
	for _, endpoint := range c.Endpoints() {
		owner, taken := owners[endpoint.address]
		if taken && endpoint.address != "" {
			position := source.positionOf(endpointsField, endpoint.name, fallback)
			findings.Addf(position, "endpoints %q and %q have the same address %s", owner, endpoint.name, endpoint.address)
		}
		owners[endpoint.address] = endpoint.name
	}
}

func (c *Config) checkServices(source *reader, fallback diag.Position, findings *diag.List) {
	prefixes := make(map[string]string, len(c.services))
	for _, service := range c.Services() {
		owner, taken := prefixes[service.pathPrefix]
		if taken && service.pathPrefix != "" {
			position := source.positionOf(servicesField, service.name, fallback)
			findings.Addf(position, "services %q and %q have the same path_prefix %q", owner, service.name, service.pathPrefix)
		}
		prefixes[service.pathPrefix] = service.name
		if strings.HasPrefix(service.pathPrefix+"/", "/v1/") {
			position := source.positionOf(servicesField, service.name, fallback)
			findings.Addf(position, "path_prefix %q is within /v1, which is reserved for lentilstand", service.pathPrefix)
		}
	}
	for _, model := range c.Models() {
		service, ok := c.services[model.service]
		position := source.positionOf(modelsField, model.name, fallback)
		if !ok && model.service != "" {
			findings.Addf(position, "model %q belongs to service %q, which doesn't exist", model.name, model.service)
		}
		if ok && service.kind == KindPlain {
			findings.Addf(position, "model %q belongs to service %q, which isn't a model service", model.name, model.service)
		}
	}
}

func (c *Config) checkTeams(source *reader, fallback diag.Position, findings *diag.List) {
	owners := make(map[string]string, len(c.teams))
	for _, team := range c.Teams() {
		position := source.positionOf(teamsField, team.name, fallback)
		owner, taken := owners[team.keySHA256]
		if taken && team.keySHA256 != "" {
			findings.Addf(position, "teams %q and %q have the same key", owner, team.name)
		}
		owners[team.keySHA256] = team.name
		for _, service := range team.services {
			if _, ok := c.services[service]; !ok {
				findings.Addf(position, "team %q may use service %q, which doesn't exist", team.name, service)
			}
		}
	}
}

// UnservedServices returns one message for each service without usable endpoints.
func (c *Config) UnservedServices() []string {
	var messages []string
	for _, service := range c.Services() {
		if len(c.UsableEndpoints(service.name)) == 0 {
			messages = append(messages, fmt.Sprintf("service %q would have no endpoint that can take requests", service.name))
		}
	}
	return messages
}

// UsableEndpoints returns the endpoints of a service that are in a data centre in
// service and aren't leaving.
func (c *Config) UsableEndpoints(service string) []Endpoint {
	var usable []Endpoint
	for _, endpoint := range c.byService[service] {
		if endpoint.leaving || c.dataCentres[endpoint.dataCentre].outOfService {
			continue
		}
		usable = append(usable, endpoint)
	}
	return usable
}
