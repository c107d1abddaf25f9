// Package agent is the process beside an endpoint. It is the one place where
// the requests of all entries meet, so it has the last word on what its endpoint
// is given: it hands out credits, opens the endpoint's capacity as work is
// completed, refuses what is routed by an older configuration than it has seen,
// and lets nothing new in when the endpoint leaves.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/hints"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// Bounds of the connections to the endpoint.
const (
	endpointDialTimeout = time.Second
	endpointReadBuffer  = 32 << 10
	endpointIdleConns   = 64
)

// Agent stands beside one endpoint. Use New.
type Agent struct {
	settings    prefs.Agent
	logger      *zap.Logger
	meter       *meter.Meter
	incarnation string
	gate        *admit.Limiter
	ramp        *admit.SlowStart
	client      *http.Client
	version     atomic.Uint64
	attempts    meter.Counter
	firstBytes  meter.Histogram

	server      *link.Server
	adminServer *webio.Server
	cancel      context.CancelFunc
	wait        sync.WaitGroup

	mu      sync.Mutex
	ready   bool
	leaving bool
	epoch   string
	model   string
	hints   hints.Filter
	changed chan struct{}
}

// New returns an agent that isn't running yet.
func New(settings prefs.Agent, logger *zap.Logger) (*Agent, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    settings,
		logger:      logger,
		meter:       metrics,
		incarnation: uuid.NewString(),
		gate:        admit.NewLimiter(0),
		ramp: admit.NewSlowStart(settings.Capacity(), settings.FirstByteTarget(),
			admit.WithColdStart(settings.ColdCapacity(), settings.WarmAfter())),
		client:  newEndpointClient(),
		changed: make(chan struct{}),
	}
	a.attempts = metrics.Counter("lentilstand_attempts", "Attempts by what became of them.", "result")
	a.firstBytes = metrics.Histogram("lentilstand_first_byte", "Time until the endpoint's first byte.", "service")
	metrics.Gauge("lentilstand_credits", "Credits by state.", "state", a.reportCredits)
	return a, nil
}

// newEndpointClient returns a client whose small receive buffers let the
// endpoint feel a slow reader soon.
func newEndpointClient() *http.Client {
	dialer := &net.Dialer{Timeout: endpointDialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(endpointReadBuffer)
		return conn, nil
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: endpointIdleConns,
			DisableCompression:  true,
			ReadBufferSize:      4 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (a *Agent) reportCredits(report func(n int64, value string)) {
	usage := a.gate.Usage()
	report(int64(usage.Capacity()), "capacity")
	report(int64(usage.InUse()), "taken")
	report(int64(usage.Running()), "running")
	report(int64(usage.Waiting()), "waiting")
}

// Start begins to listen and to watch the endpoint.
func (a *Agent) Start() error {
	server, err := link.Listen(a.settings.ListenAddress(), a.serveStream, a.logger)
	if err != nil {
		return err
	}
	pages := admin.New(a, a.meter)
	pages.Handle("POST /leave", a.leaveByOrder)
	adminServer, err := pages.Listen(a.settings.AdminAddress(), a.logger)
	if err != nil {
		server.Close()
		return err
	}
	a.server, a.adminServer = server, adminServer
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.wait.Add(1)
	go a.watchEndpoint(ctx)
	if a.settings.Kind() == config.KindModel {
		a.wait.Add(1)
		go a.followCache(ctx)
	}
	event.ProcessStarted.Log(a.logger,
		zap.String("listen", server.Address()),
		zap.String("admin", adminServer.Address()),
		zap.String("endpoint", a.settings.EndpointAddress()))
	return nil
}

// Leave refuses new work from now on. What runs goes on.
func (a *Agent) Leave() {
	a.mu.Lock()
	if a.leaving {
		a.mu.Unlock()
		return
	}
	a.leaving = true
	a.mu.Unlock()
	a.gate.Close()
	event.EndpointLeaving.Log(a.logger)
	a.notify()
}

func (a *Agent) leaveByOrder(exchange *webio.Exchange) {
	a.Leave()
	admin.ReplyJSON(exchange, http.StatusOK, a.Status())
}

// stopPoll is how often a graceful stop looks whether all work is done.
const stopPoll = 20 * time.Millisecond

// Stop leaves, waits for what runs until ctx ends, and then ends the agent. It
// returns how many requests it cut off.
func (a *Agent) Stop(ctx context.Context) int {
	event.ProcessLeaving.Log(a.logger)
	a.Leave()
	left := a.drain(ctx)
	a.Close()
	if left > 0 {
		event.ProcessCutOff.Log(a.logger, zap.Int("left", left))
	} else {
		event.ProcessStopped.Log(a.logger)
	}
	return left
}

func (a *Agent) drain(ctx context.Context) int {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		a.gate.Sweep()
		left := a.gate.Usage().InUse()
		if left == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return left
		}
	}
}

// Close ends the agent at once.
func (a *Agent) Close() {
	a.cancel()
	a.gate.Close()
	a.notify()
	a.server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.adminServer.Shutdown(ctx)
	a.wait.Wait()
	a.client.CloseIdleConnections()
	a.meter.Close()
}

// notify wakes those who wait for a change of the agent's state.
func (a *Agent) notify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) changes() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// observeVersion takes note of a configuration version that an entry routes by
// and returns the newest one seen.
func (a *Agent) observeVersion(version uint64) uint64 {
	for {
		newest := a.version.Load()
		if version <= newest {
			return newest
		}
		if a.version.CompareAndSwap(newest, version) {
			return version
		}
	}
}

// NotReadyReason returns why the endpoint takes no new work, empty if it does.
func (a *Agent) NotReadyReason() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return "the endpoint is leaving"
	case !a.ready:
		return "the endpoint can't be reached or isn't ready"
	default:
		return ""
	}
}

// Status is an agent's state as its admin address shows it.
type Status struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Incarnation string `json:"incarnation"`
	Version     uint64 `json:"version"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Epoch       string `json:"epoch"`
	Capacity    int    `json:"capacity"`
	Taken       int    `json:"taken"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
}

// Status returns the agent's state.
func (a *Agent) Status() any {
	usage := a.gate.Usage()
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{
		Name:        a.settings.Name(),
		Service:     a.settings.Service(),
		Incarnation: a.incarnation,
		Version:     a.version.Load(),
		Ready:       a.ready,
		Leaving:     a.leaving,
		Epoch:       a.epoch,
		Capacity:    usage.Capacity(),
		Taken:       usage.InUse(),
		Running:     usage.Running(),
		Waiting:     usage.Waiting(),
	}
}

// Address returns the address that the agent listens on for entries.
func (a *Agent) Address() string { return a.server.Address() }

// AdminAddress returns the address that the agent listens on for operators.
func (a *Agent) AdminAddress() string { return a.adminServer.Address() }
