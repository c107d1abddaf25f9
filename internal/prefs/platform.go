package prefs

import (
	"net"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// Bounds of the settings of processes on the platform.
const (
	maxPort  = 65535
	maxRatio = 1_000_000
	// defaultDirectoryTTL is how long callers keep an answer of the directory.
	defaultDirectoryTTL = 3 * time.Second
)

// Process holds what entries and agents on the platform have in common.
type Process struct {
	name       string
	dataCentre string
	ip         string
	port       int
	admin      string
	level      zapcore.Level
}

func readSite(object *jsonc.Object) Process {
	return Process{
		name:       object.String("name"),
		dataCentre: object.String("data_centre"),
		ip:         object.String("ip"),
		port:       int(object.Int("peer_port", 1, maxPort)),
		admin:      address(object, "admin_listen"),
		level:      logLevel(object),
	}
}

// Name returns the process's name, unique on the platform.
func (s Process) Name() string { return s.name }

// DataCentre returns where the process stands.
func (s Process) DataCentre() string { return s.dataCentre }

// PeerPort returns the port, the same on all hosts, for processes of the system.
func (s Process) PeerPort() int { return s.port }

// PeerAddress returns the address for other processes of the system.
func (s Process) PeerAddress() string { return net.JoinHostPort(s.ip, strconv.Itoa(s.port)) }

// AdminAddress returns the address for operators.
func (s Process) AdminAddress() string { return s.admin }

// LogLevel returns the lowest level that is logged.
func (s Process) LogLevel() zapcore.Level { return s.level }

// Edge holds the settings of an entry on the platform.
type Edge struct {
	Process
	listen      string
	ready       string
	directory   string
	store       string
	ttl         time.Duration
	stop        time.Duration
	retryRatio  float64
	retryExtra  float64
	retryWindow time.Duration
	coldOver    float64
	coldExtra   float64
}

// LoadEdge reads the settings of an entry on the platform from a file.
func LoadEdge(path string) (Edge, error) { return load(path, readEdge) }

// ParseEdge reads the settings of an entry on the platform from a text.
func ParseEdge(file string, data []byte) (Edge, error) { return parse(file, data, readEdge) }

func readEdge(object *jsonc.Object) Edge {
	edge := Edge{
		Process:     readSite(object),
		listen:      address(object, "listen"),
		ready:       address(object, "ready_listen"),
		directory:   address(object, "directory_listen"),
		store:       address(object, "store"),
		stop:        seconds(object, "stop_bound_s", defaultStopBound),
		ttl:         seconds(object, "address_ttl_s", defaultDirectoryTTL),
		retryRatio:  ratio(object, "retry_ratio"),
		retryExtra:  ratio(object, "retry_extra"),
		retryWindow: seconds(object, "retry_window_s", 0),
		coldOver:    ratio(object, "cold_overage"),
		coldExtra:   ratio(object, "cold_extra"),
	}
	if most := seconds(object, "max_address_ttl_s", maxSeconds*time.Second); edge.ttl > most {
		edge.ttl = most
	}
	return edge
}

// ratio reads a required number that isn't negative.
func ratio(object *jsonc.Object, name string) float64 {
	text := string(object.Raw(name))
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number < 0 || number > maxRatio {
		object.Addf(name, "field %q is %q and must be a number from 0 to %d", name, text, maxRatio)
		return 0
	}
	return number
}

// ListenAddress returns the address for callers.
func (e Edge) ListenAddress() string { return e.listen }

// ReadyAddress returns the address for checks of readiness.
func (e Edge) ReadyAddress() string { return e.ready }

// DirectoryAddress returns the address that tells callers where to connect.
func (e Edge) DirectoryAddress() string { return e.directory }

// StoreAddress returns the address of the platform's metadata store.
func (e Edge) StoreAddress() string { return e.store }

// AddressTTL returns how long callers keep the addresses they are told.
func (e Edge) AddressTTL() time.Duration { return e.ttl }

// StopTimeout returns how long a graceful stop may take.
func (e Edge) StopTimeout() time.Duration { return e.stop }

// RetryBudget returns how many attempts beyond the first all entries may make in
// a window: a share of the requests, and some more.
func (e Edge) RetryBudget() (ratio, extra float64, window time.Duration) {
	return e.retryRatio, e.retryExtra, e.retryWindow
}

// ColdOverage returns by how much the requests in one second to a cold endpoint
// may exceed what it bears: a factor, and some more.
func (e Edge) ColdOverage() (factor, extra float64) { return e.coldOver, e.coldExtra }

// Rank holds the settings of an agent on the platform.
type Rank struct {
	Process
	endpoint string
}

// LoadRank reads the settings of an agent on the platform from a file.
func LoadRank(path string) (Rank, error) { return load(path, readRank) }

// ParseRank reads the settings of an agent on the platform from a text.
func ParseRank(file string, data []byte) (Rank, error) { return parse(file, data, readRank) }

func readRank(object *jsonc.Object) Rank {
	return Rank{Process: readSite(object), endpoint: address(object, "endpoint")}
}

// EndpointAddress returns the address of the model replica on the same host.
func (r Rank) EndpointAddress() string { return r.endpoint }
