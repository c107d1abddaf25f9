// Package prefs loads the settings of the processes from JSON with comments.
//
// Loading reports all errors of a settings file with their positions; unknown
// fields are errors. The settings give a process its name, addresses and data
// centre.
package prefs

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// Defaults and limits of settings.
const (
	defaultAddressTTL      = 5 * time.Second
	defaultStopTimeout     = 60 * time.Second
	defaultFirstByteTarget = 2 * time.Second
	maxSeconds             = 3600
	maxCapacity            = 100_000
	maxTimeoutMS           = 600_000

	defaultStreamBudget = 16 << 20
	minStreamBudget     = 64 << 10
	maxStreamBudget     = 1 << 40
)

// load reads a settings file and decodes its root object with read.
func load[S any](path string, read func(*jsonc.Object) S) (S, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero S
		return zero, eris.Wrap(err, "can't read the settings")
	}
	return parse(path, data, read)
}

// parse decodes the root object of data with read; file is the name for error
// messages.
func parse[S any](file string, data []byte, read func(*jsonc.Object) S) (S, error) {
	var settings S
	var findings diag.List
	if root := jsonc.Parse(file, data, &findings); root != nil {
		settings = read(root)
		root.RejectUnknown()
	}
	return settings, findings.Err()
}

// requiredAddress reads a required field with an IP address and port.
func requiredAddress(object *jsonc.Object, name string) string {
	return validateAddress(object, name, object.String(name))
}

// optionalAddress reads an optional field with an IP address and port.
func optionalAddress(object *jsonc.Object, name, fallback string) string {
	return validateAddress(object, name, object.StringOr(name, fallback))
}

func validateAddress(object *jsonc.Object, name, text string) string {
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		object.Addf(name, "field %q is %q and must be an IP address and a port", name, text)
	}
	return text
}

// optionalSeconds reads an optional field with a number of seconds.
func optionalSeconds(object *jsonc.Object, name string, fallback time.Duration) time.Duration {
	number := object.IntOr(name, int64(fallback/time.Second), 0, maxSeconds)
	return time.Duration(number) * time.Second
}

func readLogLevel(object *jsonc.Object) zapcore.Level {
	const name = "log_level"
	text := object.StringOr(name, "info")
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		object.Addf(name, "field %q is %q and must be debug, info, warn or error", name, text)
	}
	return level
}

// Entry holds the settings of an entry outside the platform.
type Entry struct {
	name               string
	dataCentre         string
	listenAddress      string
	peerAddress        string
	adminAddress       string
	keyValueAddress    string
	hostListAddress    string
	addressTTL         time.Duration
	stopTimeout        time.Duration
	streamBufferBudget int64
	logLevel           zapcore.Level
	limits             Limits
}

// LoadEntry loads an entry's settings from a file.
func LoadEntry(path string) (Entry, error) { return load(path, readEntry) }

// ParseEntry parses an entry's settings; file is the name for error messages.
func ParseEntry(file string, data []byte) (Entry, error) { return parse(file, data, readEntry) }

func readEntry(object *jsonc.Object) Entry {
	return Entry{
		name:               object.String("name"),
		dataCentre:         object.String("data_centre"),
		listenAddress:      requiredAddress(object, "listen"),
		peerAddress:        requiredAddress(object, "peer_listen"),
		adminAddress:       requiredAddress(object, "admin_listen"),
		keyValueAddress:    requiredAddress(object, "key_value"),
		hostListAddress:    optionalAddress(object, "host_list", ""),
		addressTTL:         optionalSeconds(object, "address_ttl_s", defaultAddressTTL),
		stopTimeout:        optionalSeconds(object, "stop_bound_s", defaultStopTimeout),
		streamBufferBudget: object.IntOr("stream_budget_bytes", defaultStreamBudget, minStreamBudget, maxStreamBudget),
		logLevel:           readLogLevel(object),
		limits:             readLimits(object),
	}
}

// Name returns the entry's name, which is unique among the entries.
func (e Entry) Name() string { return e.name }

// DataCentre returns the data centre in which the entry runs.
func (e Entry) DataCentre() string { return e.dataCentre }

// ListenAddress returns the address on which the entry listens for callers.
func (e Entry) ListenAddress() string { return e.listenAddress }

// PeerAddress returns the address on which the entry listens for other entries.
func (e Entry) PeerAddress() string { return e.peerAddress }

// AdminAddress returns the address on which the entry listens for operators.
func (e Entry) AdminAddress() string { return e.adminAddress }

// KeyValueAddress returns the address of the key-value service.
func (e Entry) KeyValueAddress() string { return e.keyValueAddress }

// HostListAddress returns the address of the platform's host list, or "" if none
// is configured.
func (e Entry) HostListAddress() string { return e.hostListAddress }

// AddressTTL returns how long callers may cache the addresses of entries.
func (e Entry) AddressTTL() time.Duration { return e.addressTTL }

// StopTimeout returns the maximum duration of a graceful stop.
func (e Entry) StopTimeout() time.Duration { return e.stopTimeout }

// StreamBufferBudget returns how many bytes of responses the entry may buffer for
// stalled streams.
func (e Entry) StreamBufferBudget() int64 { return e.streamBufferBudget }

// LogLevel returns the minimum level of log entries.
func (e Entry) LogLevel() zapcore.Level { return e.logLevel }

// Limits returns the limits of the host on which the entry runs.
func (e Entry) Limits() Limits { return e.limits }

// Agent holds the settings of an agent outside the platform.
type Agent struct {
	name            string
	service         string
	kind            config.Kind
	listenAddress   string
	adminAddress    string
	endpointAddress string
	capacity        int
	coldCapacity    int
	warmAfter       int
	firstByteTarget time.Duration
	stopTimeout     time.Duration
	logLevel        zapcore.Level
	limits          Limits
}

// LoadAgent loads an agent's settings from a file.
func LoadAgent(path string) (Agent, error) { return load(path, readAgent) }

// ParseAgent parses an agent's settings; file is the name for error messages.
func ParseAgent(file string, data []byte) (Agent, error) { return parse(file, data, readAgent) }

func readAgent(object *jsonc.Object) Agent {
	return Agent{
		name:            object.String("name"),
		service:         object.String("service"),
		kind:            config.Kind(object.OneOf("kind", string(config.KindModel), string(config.KindPlain))),
		listenAddress:   requiredAddress(object, "listen"),
		adminAddress:    requiredAddress(object, "admin_listen"),
		endpointAddress: requiredAddress(object, "endpoint"),
		capacity:        int(object.Int("capacity", 1, maxCapacity)),
		coldCapacity:    int(object.IntOr("cold_capacity", admit.DefaultColdCapacity, 1, maxCapacity)),
		warmAfter:       int(object.IntOr("warm_after", admit.DefaultWarmAfter, 0, maxCapacity)),
		firstByteTarget: time.Duration(object.IntOr("first_byte_ms", defaultFirstByteTarget.Milliseconds(), 1, maxTimeoutMS)) * time.Millisecond,
		stopTimeout:     optionalSeconds(object, "stop_bound_s", defaultStopTimeout),
		logLevel:        readLogLevel(object),
		limits:          readLimits(object),
	}
}

// Name returns the name of the agent's endpoint.
func (a Agent) Name() string { return a.name }

// Service returns the name of the endpoint's service.
func (a Agent) Service() string { return a.service }

// Kind returns the kind of the endpoint's service.
func (a Agent) Kind() config.Kind { return a.kind }

// ListenAddress returns the address on which the agent listens for entries.
func (a Agent) ListenAddress() string { return a.listenAddress }

// AdminAddress returns the address on which the agent listens for operators.
func (a Agent) AdminAddress() string { return a.adminAddress }

// EndpointAddress returns the address of the endpoint.
func (a Agent) EndpointAddress() string { return a.endpointAddress }

// Capacity returns how many concurrent requests the warm endpoint can serve.
func (a Agent) Capacity() int { return a.capacity }

// ColdCapacity returns how many concurrent requests the cold endpoint can serve.
func (a Agent) ColdCapacity() int { return a.coldCapacity }

// WarmAfter returns the number of completions with a first byte in time after
// which a cold endpoint counts as warm.
func (a Agent) WarmAfter() int { return a.warmAfter }

// FirstByteTarget returns the time to the first byte up to which a completion
// counts as in time.
func (a Agent) FirstByteTarget() time.Duration { return a.firstByteTarget }

// StopTimeout returns the maximum duration of a graceful stop.
func (a Agent) StopTimeout() time.Duration { return a.stopTimeout }

// LogLevel returns the minimum level of log entries.
func (a Agent) LogLevel() zapcore.Level { return a.logLevel }

// Limits returns the limits of the host on which the agent runs.
func (a Agent) Limits() Limits { return a.limits }

// Operator holds the settings of the operators' commands.
type Operator struct {
	keyValueAddress string
	entryAddresses  []string
}

// LoadOperator loads the settings of the operators' commands from a file.
func LoadOperator(path string) (Operator, error) { return load(path, readOperator) }

func readOperator(object *jsonc.Object) Operator {
	operator := Operator{keyValueAddress: requiredAddress(object, "key_value"), entryAddresses: object.Strings("entries")}
	if len(operator.entryAddresses) == 0 {
		object.Addf("entries", "field %q must name the admin address of at least one entry", "entries")
	}
	for _, entry := range operator.entryAddresses {
		validateAddress(object, "entries", entry)
	}
	return operator
}

// KeyValueAddress returns the address of the key-value service.
func (o Operator) KeyValueAddress() string { return o.keyValueAddress }

// EntryAddresses returns the admin addresses of the entries.
func (o Operator) EntryAddresses() []string { return o.entryAddresses }
