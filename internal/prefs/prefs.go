// Package prefs reads the settings of the processes from JSON with comments.
//
// A settings file is checked as a whole: every finding is reported with its
// place, and unknown fields are findings. A process learns its name, addresses
// and data centre from its settings.
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

// Defaults and bounds of settings.
const (
	defaultAddressTTL = 5 * time.Second
	defaultStopBound  = 60 * time.Second
	defaultFirstByte  = 2 * time.Second
	maxSeconds        = 3600
	maxCapacity       = 100_000
	maxBoundMS        = 600_000

	defaultStreamBudget = 16 << 20
	minStreamBudget     = 64 << 10
	maxStreamBudget     = 1 << 40
)

// load reads a settings file and maps it by read.
func load[S any](path string, read func(*jsonc.Object) S) (S, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none S
		return none, eris.Wrap(err, "can't read the settings")
	}
	return parse(path, data, read)
}

func parse[S any](file string, data []byte, read func(*jsonc.Object) S) (S, error) {
	var settings S
	var findings diag.List
	if root := jsonc.Parse(file, data, &findings); root != nil {
		settings = read(root)
		root.RejectUnknown()
	}
	return settings, findings.Err()
}

// address reads a required IP address with a port.
func address(object *jsonc.Object, name string) string {
	return checkAddress(object, name, object.String(name))
}

// addressOr reads an optional IP address with a port.
func addressOr(object *jsonc.Object, name, fallback string) string {
	return checkAddress(object, name, object.StringOr(name, fallback))
}

func checkAddress(object *jsonc.Object, name, text string) string {
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		object.Addf(name, "field %q is %q and must be an IP address and a port", name, text)
	}
	return text
}

func seconds(object *jsonc.Object, name string, fallback time.Duration) time.Duration {
	number := object.IntOr(name, int64(fallback/time.Second), 0, maxSeconds)
	return time.Duration(number) * time.Second
}

func logLevel(object *jsonc.Object) zapcore.Level {
	const name = "log_level"
	text := object.StringOr(name, "info")
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		object.Addf(name, "field %q is %q and must be debug, info, warn or error", name, text)
	}
	return level
}

// Entry holds the settings of an entry.
type Entry struct {
	name       string
	dataCentre string
	listen     string
	peer       string
	admin      string
	keyValue   string
	hostList   string
	addressTTL time.Duration
	stopBound  time.Duration
	budget     int64
	level      zapcore.Level
}

// LoadEntry reads an entry's settings from a file.
func LoadEntry(path string) (Entry, error) { return load(path, readEntry) }

// ParseEntry reads an entry's settings from a text.
func ParseEntry(file string, data []byte) (Entry, error) { return parse(file, data, readEntry) }

func readEntry(object *jsonc.Object) Entry {
	return Entry{
		name:       object.String("name"),
		dataCentre: object.String("data_centre"),
		listen:     address(object, "listen"),
		peer:       address(object, "peer_listen"),
		admin:      address(object, "admin_listen"),
		keyValue:   address(object, "key_value"),
		hostList:   addressOr(object, "host_list", ""),
		addressTTL: seconds(object, "address_ttl_s", defaultAddressTTL),
		stopBound:  seconds(object, "stop_bound_s", defaultStopBound),
		budget:     object.IntOr("stream_budget_bytes", defaultStreamBudget, minStreamBudget, maxStreamBudget),
		level:      logLevel(object),
	}
}

// Name returns the entry's name, unique among the entries.
func (e Entry) Name() string { return e.name }

// DataCentre returns the data centre that the entry stands in.
func (e Entry) DataCentre() string { return e.dataCentre }

// ListenAddress returns the address for callers.
func (e Entry) ListenAddress() string { return e.listen }

// PeerAddress returns the address for other entries.
func (e Entry) PeerAddress() string { return e.peer }

// AdminAddress returns the address for operators.
func (e Entry) AdminAddress() string { return e.admin }

// KeyValueAddress returns the address of the key-value service.
func (e Entry) KeyValueAddress() string { return e.keyValue }

// HostListAddress returns the address of the platform's host list, or nothing.
func (e Entry) HostListAddress() string { return e.hostList }

// AddressTTL returns how long callers keep the addresses they are told.
func (e Entry) AddressTTL() time.Duration { return e.addressTTL }

// StopTimeout returns how long a graceful stop may take.
func (e Entry) StopTimeout() time.Duration { return e.stopBound }

// StreamBufferBudget returns how many bytes of answers stalled streams may hold.
func (e Entry) StreamBufferBudget() int64 { return e.budget }

// LogLevel returns the lowest level that is logged.
func (e Entry) LogLevel() zapcore.Level { return e.level }

// Agent holds the settings of an agent.
type Agent struct {
	name      string
	service   string
	kind      config.Kind
	listen    string
	admin     string
	endpoint  string
	capacity  int
	cold      int
	warmAfter int
	firstByte time.Duration
	stopBound time.Duration
	level     zapcore.Level
}

// LoadAgent reads an agent's settings from a file.
func LoadAgent(path string) (Agent, error) { return load(path, readAgent) }

// ParseAgent reads an agent's settings from a text.
func ParseAgent(file string, data []byte) (Agent, error) { return parse(file, data, readAgent) }

func readAgent(object *jsonc.Object) Agent {
	return Agent{
		name:      object.String("name"),
		service:   object.String("service"),
		kind:      config.Kind(object.OneOf("kind", string(config.KindModel), string(config.KindPlain))),
		listen:    address(object, "listen"),
		admin:     address(object, "admin_listen"),
		endpoint:  address(object, "endpoint"),
		capacity:  int(object.Int("capacity", 1, maxCapacity)),
		cold:      int(object.IntOr("cold_capacity", admit.DefaultColdCapacity, 1, maxCapacity)),
		warmAfter: int(object.IntOr("warm_after", admit.DefaultWarmAfter, 0, maxCapacity)),
		firstByte: time.Duration(object.IntOr("first_byte_ms", defaultFirstByte.Milliseconds(), 1, maxBoundMS)) * time.Millisecond,
		stopBound: seconds(object, "stop_bound_s", defaultStopBound),
		level:     logLevel(object),
	}
}

// Name returns the name of the endpoint that the agent stands beside.
func (a Agent) Name() string { return a.name }

// Service returns the name of the endpoint's service.
func (a Agent) Service() string { return a.service }

// Kind returns what the endpoint speaks.
func (a Agent) Kind() config.Kind { return a.kind }

// ListenAddress returns the address for entries.
func (a Agent) ListenAddress() string { return a.listen }

// AdminAddress returns the address for operators.
func (a Agent) AdminAddress() string { return a.admin }

// EndpointAddress returns the address of the endpoint.
func (a Agent) EndpointAddress() string { return a.endpoint }

// Capacity returns how many requests the warm endpoint bears at a time.
func (a Agent) Capacity() int { return a.capacity }

// ColdCapacity returns how many requests the cold endpoint bears at a time.
func (a Agent) ColdCapacity() int { return a.cold }

// WarmAfter returns how many completions in time make the endpoint warm.
func (a Agent) WarmAfter() int { return a.warmAfter }

// FirstByteTarget returns the time within which a first byte counts as in time.
func (a Agent) FirstByteTarget() time.Duration { return a.firstByte }

// StopTimeout returns how long a graceful stop may take.
func (a Agent) StopTimeout() time.Duration { return a.stopBound }

// LogLevel returns the lowest level that is logged.
func (a Agent) LogLevel() zapcore.Level { return a.level }

// Operator holds the settings of the operators' commands.
type Operator struct {
	keyValue string
	entries  []string
}

// LoadOperator reads the settings of the operators' commands from a file.
func LoadOperator(path string) (Operator, error) { return load(path, readOperator) }

func readOperator(object *jsonc.Object) Operator {
	operator := Operator{keyValue: address(object, "key_value"), entries: object.Strings("entries")}
	if len(operator.entries) == 0 {
		object.Addf("entries", "field %q must name the admin address of at least one entry", "entries")
	}
	for _, entry := range operator.entries {
		checkAddress(object, "entries", entry)
	}
	return operator
}

// KeyValueAddress returns the address of the key-value service.
func (o Operator) KeyValueAddress() string { return o.keyValue }

// EntryAddresses returns the admin addresses of the entries.
func (o Operator) EntryAddresses() []string { return o.entries }
