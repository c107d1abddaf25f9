// Package agent implements the sidecar process of an endpoint. All entries send
// the endpoint's requests through its agent, which therefore makes the final
// admission decision: it grants credits, raises the endpoint's capacity as
// requests complete (slow start), refuses requests that were routed by an older
// configuration than it has seen, and admits nothing new while the endpoint
// is leaving.
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
	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/strict"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// Limits of the connections to the endpoint.
const (
	endpointDialTimeout = time.Second
	endpointReadBuffer  = 32 << 10
	endpointIdleConns   = 64
)

// Agent proxies and limits the requests to one endpoint. Create it with New.
type Agent struct {
	settings    prefs.Agent
	logger      *zap.Logger
	meter       *meter.Meter
	account     *memory.Account
	incarnation string
	limiter     *admit.Limiter
	slowStart   *admit.SlowStart
	client      *http.Client
	version     atomic.Uint64
	attempts    meter.Counter
	firstBytes  meter.Histogram

	server      *link.Server
	adminServer *webio.Server
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu      sync.Mutex
	ready   bool
	leaving bool
	// down is set while the endpoint's host refuses connections.
	down    bool
	epoch   string
	model   string
	hints   hints.Filter
	changed chan struct{}
}

// New returns an agent that has not been started.
func New(settings prefs.Agent, logger *zap.Logger) (*Agent, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    settings,
		logger:      logger,
		meter:       metrics,
		account:     memory.New(settings.Limits().MemoryMB(), settings.Limits().Descriptors()),
		incarnation: uuid.NewString(),
		limiter:     admit.NewLimiter(0),
		slowStart: admit.NewSlowStart(settings.Capacity(), settings.FirstByteTarget(),
			admit.WithColdStart(settings.ColdCapacity(), settings.WarmAfter())),
		client:  newEndpointClient(),
		changed: make(chan struct{}),
	}
	a.account.Observe(logger, metrics)
	a.attempts = metrics.Counter("lentilstand_attempts", "Attempts by what became of them.", "result")
	a.firstBytes = metrics.Histogram("lentilstand_first_byte", "Time until the endpoint's first byte.", "service")
	metrics.Gauge("lentilstand_credits", "Credits by state.", "state", a.observeCredits)
	return a, nil
}

// endpointHeadBytes limits the head of an endpoint's response.
const endpointHeadBytes = 32 << 10

// newEndpointClient returns an HTTP client with small receive buffers, so that
// backpressure from a slow reader reaches the endpoint quickly. It refuses responses that
// are malformed or may be incomplete.
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
		Transport: strict.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: endpointIdleConns,
			DisableCompression:  true,
			ReadBufferSize:      4 << 10,

			MaxResponseHeaderBytes: endpointHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (a *Agent) observeCredits(observe func(n int64, value string)) {
	usage := a.limiter.Usage()
	observe(int64(usage.Capacity()), "capacity")
	observe(int64(usage.InUse()), "taken")
	observe(int64(usage.Running()), "running")
	observe(int64(usage.Waiting()), "waiting")
}

// Start listens for entries and operators and begins to poll the endpoint.
func (a *Agent) Start() error {
	a.account.LimitHeap()
	server, err := link.Listen(a.settings.ListenAddress(), a.serveStream, a.logger, link.WithAccount(a.account))
	if err != nil {
		return err
	}
	pages := admin.New(a, a.meter)
	pages.Handle("POST /leave", a.handleLeave)
	adminServer, err := pages.Listen(a.settings.AdminAddress(), a.logger, webio.WithAccount(a.account))
	if err != nil {
		server.Close()
		return err
	}
	a.server, a.adminServer = server, adminServer
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.wg.Add(1)
	go a.watchEndpoint(ctx)
	if a.settings.Kind() == config.KindModel {
		a.wg.Add(1)
		go a.pollCacheEvents(ctx)
	}
	event.ProcessStarted.Log(a.logger,
		zap.String("listen", server.Address()),
		zap.String("admin", adminServer.Address()),
		zap.String("endpoint", a.settings.EndpointAddress()))
	return nil
}

// Leave refuses new requests from now on. Running requests continue.
func (a *Agent) Leave() {
	a.mu.Lock()
	if a.leaving {
		a.mu.Unlock()
		return
	}
	a.leaving = true
	a.mu.Unlock()
	a.limiter.Close()
	event.EndpointLeaving.Log(a.logger)
	a.notify()
}

func (a *Agent) handleLeave(exchange *webio.Exchange) {
	a.Leave()
	admin.ReplyJSON(exchange, http.StatusOK, a.Status())
}

// drainPollInterval is how often a graceful stop checks whether all credits are
// released.
const drainPollInterval = 20 * time.Millisecond

// Stop stops the agent gracefully: it refuses new requests, waits until the
// running ones have completed or ctx is done, and closes the agent. It returns
// the number of requests that it cut off.
func (a *Agent) Stop(ctx context.Context) int {
	event.ProcessLeaving.Log(a.logger)
	a.Leave()
	remaining := a.drain(ctx)
	a.Close()
	if remaining > 0 {
		event.ProcessCutOff.Log(a.logger, zap.Int("left", remaining))
	} else {
		event.ProcessStopped.Log(a.logger)
	}
	return remaining
}

// drain waits until no credit is in use or ctx is done and returns the number of
// credits still in use.
func (a *Agent) drain(ctx context.Context) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		a.limiter.Sweep()
		remaining := a.limiter.Usage().InUse()
		if remaining == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return remaining
		}
	}
}

// Close stops the agent without waiting for running requests.
func (a *Agent) Close() {
	a.cancel()
	a.limiter.Close()
	a.notify()
	a.server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.adminServer.Shutdown(ctx)
	a.wg.Wait()
	a.client.CloseIdleConnections()
	a.meter.Close()
}

// notify wakes all goroutines that wait on changeSignal.
func (a *Agent) notify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed on the next change of the
// agent's state.
func (a *Agent) changeSignal() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// observeVersion records a configuration version that an entry routes by and
// returns the newest version seen so far.
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

// NotReadyReason returns why the endpoint accepts no new requests, or "" if it
// accepts them.
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

// Status is the agent's state as served at its admin address.
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
	usage := a.limiter.Usage()
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

// Address returns the address on which the agent listens for entries.
func (a *Agent) Address() string { return a.server.Address() }

// AdminAddress returns the address on which the agent listens for operators.
func (a *Agent) AdminAddress() string { return a.adminServer.Address() }
