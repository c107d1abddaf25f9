package prefs

import (
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// Defaults and limits of the settings of processes on the platform.
const (
	maxPort  = 65535
	maxRatio = 1_000_000
	// defaultDirectoryTTL is how long callers may cache a response of the directory.
	defaultDirectoryTTL = 3 * time.Second
)

// Process holds the settings that entries and agents on the platform share.
type Process struct {
	name         string
	dataCentre   string
	ip           string
	peerPort     int
	adminAddress string
	logLevel     zapcore.Level
	limits       Limits
}

func readProcess(object *jsonc.Object) Process {
	return Process{
		name:         object.String("name"),
		dataCentre:   object.String("data_centre"),
		ip:           object.String("ip"),
		peerPort:     int(object.Int("peer_port", 1, maxPort)),
		adminAddress: requiredAddress(object, "admin_listen"),
		logLevel:     readLogLevel(object),
		limits:       readLimits(object),
	}
}

// Name returns the process's name, which is unique on the platform.
func (s Process) Name() string { return s.name }

// DataCentre returns the data centre in which the process runs.
func (s Process) DataCentre() string { return s.dataCentre }

// PeerPort returns the port on which the system's processes listen for each
// other; it is the same on all hosts.
func (s Process) PeerPort() int { return s.peerPort }

// PeerAddress returns the address on which the process listens for other
// processes of the system.
func (s Process) PeerAddress() string { return net.JoinHostPort(s.ip, strconv.Itoa(s.peerPort)) }

// AdminAddress returns the address on which the process listens for operators.
func (s Process) AdminAddress() string { return s.adminAddress }

// LogLevel returns the minimum level of log entries.
func (s Process) LogLevel() zapcore.Level { return s.logLevel }

// Limits returns the limits of the host on which the process runs.
func (s Process) Limits() Limits { return s.limits }

// Edge holds the settings of an entry on the platform.
type Edge struct {
	Process
	listenAddress    string
	readyAddress     string
	directoryAddress string
	storeAddress     string
	dataCentres      []string
	addressTTL       time.Duration
	stopTimeout      time.Duration
	retryRatio       float64
	retryExtra       float64
	retryWindow      time.Duration
	coldFactor       float64
	coldExtra        float64
}

// LoadEdge loads the settings of an entry on the platform from a file.
func LoadEdge(path string) (Edge, error) { return load(path, readEdge) }

// ParseEdge parses the settings of an entry on the platform; file is the name
// for error messages.
func ParseEdge(file string, data []byte) (Edge, error) { return parse(file, data, readEdge) }

func readEdge(object *jsonc.Object) Edge {
	edge := Edge{
		Process:          readProcess(object),
		listenAddress:    requiredAddress(object, "listen"),
		readyAddress:     requiredAddress(object, "ready_listen"),
		directoryAddress: requiredAddress(object, "directory_listen"),
		storeAddress:     requiredAddress(object, "store"),
		dataCentres:      fieldNames(object, "data_centres"),
		stopTimeout:      optionalSeconds(object, "stop_bound_s", defaultStopTimeout),
		addressTTL:       optionalSeconds(object, "address_ttl_s", defaultDirectoryTTL),
		retryRatio:       requiredRatio(object, "retry_ratio"),
		retryExtra:       requiredRatio(object, "retry_extra"),
		retryWindow:      optionalSeconds(object, "retry_window_s", 0),
		coldFactor:       requiredRatio(object, "cold_overage"),
		coldExtra:        requiredRatio(object, "cold_extra"),
	}
	if limit := optionalSeconds(object, "max_address_ttl_s", maxSeconds*time.Second); edge.addressTTL > limit {
		edge.addressTTL = limit
	}
	return edge
}

// fieldNames reads an optional field with an object and returns the names of its fields, sorted.
func fieldNames(object *jsonc.Object, name string) []string {
	raw := object.Raw(name)
	if raw == nil {
		return nil
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		object.Addf(name, "field %q must be an object", name)
	}
	return slices.Sorted(maps.Keys(fields))
}

// requiredRatio reads a required field with a non-negative number.
func requiredRatio(object *jsonc.Object, name string) float64 {
	text := string(object.Raw(name))
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number < 0 || number > maxRatio {
		object.Addf(name, "field %q is %q and must be a number from 0 to %d", name, text, maxRatio)
		return 0
	}
	return number
}

// ListenAddress returns the address on which the entry listens for callers.
func (e Edge) ListenAddress() string { return e.listenAddress }

// ReadyAddress returns the address on which the entry serves readiness checks.
func (e Edge) ReadyAddress() string { return e.readyAddress }

// DirectoryAddress returns the address on which the entry serves the directory,
// which tells callers which entries to connect to.
func (e Edge) DirectoryAddress() string { return e.directoryAddress }

// StoreAddress returns the address of the platform's metadata store.
func (e Edge) StoreAddress() string { return e.storeAddress }

// DataCentres returns the names of all data centres, none if the settings don't have them.
func (e Edge) DataCentres() []string { return e.dataCentres }

// AddressTTL returns how long callers may cache the addresses of entries.
func (e Edge) AddressTTL() time.Duration { return e.addressTTL }

// StopTimeout returns the maximum duration of a graceful stop.
func (e Edge) StopTimeout() time.Duration { return e.stopTimeout }

// RetryBudget returns the budget of retries that all entries share: within a
// window they may retry a ratio of the requests, plus extra retries.
func (e Edge) RetryBudget() (ratio, extra float64, window time.Duration) {
	return e.retryRatio, e.retryExtra, e.retryWindow
}

// ColdOverage returns the limit of the requests in one second to a cold
// endpoint: factor times the rate that it can serve, plus extra.
func (e Edge) ColdOverage() (factor, extra float64) { return e.coldFactor, e.coldExtra }

// Rank holds the settings of an agent on the platform.
type Rank struct {
	Process
	endpointAddress string
}

// LoadRank loads the settings of an agent on the platform from a file.
func LoadRank(path string) (Rank, error) { return load(path, readRank) }

// ParseRank parses the settings of an agent on the platform; file is the name
// for error messages.
func ParseRank(file string, data []byte) (Rank, error) { return parse(file, data, readRank) }

func readRank(object *jsonc.Object) Rank {
	return Rank{Process: readProcess(object), endpointAddress: requiredAddress(object, "endpoint")}
}

// EndpointAddress returns the address of the model replica on the same host.
func (r Rank) EndpointAddress() string { return r.endpointAddress }
