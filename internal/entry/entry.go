// Package entry implements the load balancer process that accepts requests from
// callers and routes them to endpoints according to the versioned configuration.
//
// An entry watches the configuration in the key-value store and polls its peers
// for their view of it. It keeps a session to the agent of each endpoint, queues
// requests by service and team until an agent grants a credit, and streams
// responses back to callers.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/pkg/claim"
	"github.com/lentilstand/lentilstand/pkg/drain"
	"github.com/lentilstand/lentilstand/pkg/holds"
	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/platform"
)

// Entry accepts requests from callers and proxies them to endpoints. Create one
// with New.
type Entry struct {
	settings    prefs.Entry
	logger      *zap.Logger
	meter       *meter.Meter
	incarnation string
	kv          *platform.Store
	dialer      link.Dialer
	follower    *follower
	registrar   *registrar
	coordinator *coordinator
	agents      *agentPool
	hosts       *hostWatcher
	queues      *serviceQueues
	teams       *teamLimits
	claims      *claim.Claims
	records     *audit.Writer
	crashes     *crashTracker
	parker      *streamParker
	budget      retry.Budget
	// account limits what clients and peers make the process keep.
	account    *memory.Account
	requests   meter.Counter
	firstBytes meter.Histogram
	leaving    atomic.Bool
	// stop is when the process ends, if it is stopping.
	stop     drain.Stop
	runTimes drain.RunTimes
	active   atomic.Int64
	// held has the requests that endpoints may hold though their attempts have ended.
	held holds.Table[heldRequest]
	// lostAttempts counts the attempts that ended without the whole response.
	lostAttempts meter.Counter

	callers     *webio.Server
	peers       *link.Server
	adminServer *webio.Server
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// bufferShare is the part of the account's limit that responses buffered for slow readers may have
// in addition.
const bufferShare = 4

// New returns an entry that has not been started.
func New(settings prefs.Entry, logger *zap.Logger) (*Entry, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:    settings,
		logger:      logger,
		meter:       metrics,
		incarnation: uuid.NewString(),
		kv:          platform.NewStore(settings.KeyValueAddress(), settings.Name()),
		queues:      newServiceQueues(),
		teams:       newTeamLimits(),
		account:     memory.New(settings.Limits().MemoryMB(), settings.Limits().Descriptors()),
	}
	e.account.Observe(logger, metrics)
	voter := settings.Name() + "/" + e.incarnation[:8]
	e.claims = claim.New(e.kv, voter)
	e.records = audit.NewWriter(e.kv, voter)
	e.crashes = newCrashTracker(e.kv, logger)
	e.parker = newStreamParker(min(settings.StreamBufferBudget(), e.account.Limit()/bufferShare), logger)
	e.follower = newFollower(voter, e.kv, e.crashes, &e.dialer, logger)
	e.agents = newAgentPool(settings.Name(), &e.dialer, e.recordLaterCrash, logger)
	e.hosts = newHostWatcher(settings.HostListAddress())
	e.coordinator = newCoordinator(e.follower, e.kv, settings.Name(), logger)
	e.registrar = newRegistrar(e, voter)
	e.lostAttempts = metrics.Counter("lentilstand_lost_attempts",
		"Attempts that ended without the whole response, by what was learned about the endpoint or that nothing was.", "finding")
	e.requests = metrics.Counter("lentilstand_requests", "Requests by how they ended.", "result")
	e.firstBytes = metrics.Histogram("lentilstand_first_byte", "Time until a caller's first byte.", "service")
	metrics.Gauge("lentilstand_queue_requests", "Requests that wait, by service.", "service", e.queues.reportRequests)
	metrics.Gauge("lentilstand_queue_bytes", "Bytes of requests that wait, by service.", "service", e.queues.reportBytes)
	metrics.Gauge("lentilstand_team_held_bytes", "Bytes of answers held for slow readers, by team.", "team", e.teams.reportHeld)
	metrics.Gauge("lentilstand_parking", "Bytes that stalled streams hold, and streams parked so far.", "what", e.parker.reportHeld)
	metrics.Gauge("lentilstand_team_active", "Requests being served, by team.", "team", e.teams.reportActive)
	metrics.Gauge("lentilstand_version", "Number of the configuration in force.", "mark", e.follower.reportVersion)
	return e, nil
}

// Start opens the listeners and starts the background loops that watch the
// configuration and maintain sessions to agents.
func (e *Entry) Start() error {
	e.account.LimitHeap()
	peers, err := link.Listen(e.settings.PeerAddress(), e.serveStream, e.logger, link.WithAccount(e.account))
	if err != nil {
		return err
	}
	e.peers = peers
	adminPages := admin.New(e, e.meter)
	adminPages.Handle("POST /leave", e.serveLeave)
	adminPages.Handle("POST /patches", e.submitPatch)
	adminPages.Handle("POST /patches/check", e.checkPatch)
	if e.adminServer, err = adminPages.Listen(e.settings.AdminAddress(), e.logger, webio.WithAccount(e.account)); err != nil {
		peers.Close()
		return err
	}
	e.callers = webio.NewServer(e, e.logger, webio.WithAccount(e.account))
	if err := e.callers.Listen(e.settings.ListenAddress()); err != nil {
		peers.Close()
		e.adminServer.Shutdown(canceledContext())
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.spawn(func() { e.follower.run(ctx) })
	e.spawn(func() { e.follower.pollPeers(ctx) })
	e.spawn(func() { e.registrar.run(ctx) })
	e.spawn(func() { e.coordinator.takeOverStalled(ctx) })
	e.spawn(func() { e.agents.run(ctx, e.follower) })
	e.spawn(func() { e.hosts.run(ctx) })
	e.spawn(func() { e.flushRecords(ctx) })
	e.spawn(func() { e.restoreClaims(ctx) })
	event.ProcessStarted.Log(e.logger,
		zap.String("listen", e.callers.Address()),
		zap.String("peer", peers.Address()),
		zap.String("admin", e.adminServer.Address()))
	return nil
}

func (e *Entry) spawn(run func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		run()
	}()
}

// canceledContext returns a context that is already canceled.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Leave removes the entry from the address list that callers receive. Callers
// that still hold its address continue to be served.
func (e *Entry) Leave() {
	if e.leaving.CompareAndSwap(false, true) {
		event.ProcessLeaving.Log(e.logger)
		e.registrar.update()
	}
}

func (e *Entry) serveLeave(exchange *webio.Exchange) {
	e.Leave()
	admin.ReplyJSON(exchange, http.StatusOK, e.Status())
}

// Stop shuts the entry down gracefully. It calls Leave, serves the requests of callers
// that end in time until the address list that names the entry has expired, waits for
// requests in progress until ctx is done, and then closes the entry. It returns the number
// of connections that were closed with a request in progress.
func (e *Entry) Stop(ctx context.Context) int {
	if end, ok := ctx.Deadline(); ok {
		e.stop.Begin(end)
	}
	e.Leave()
	e.awaitAddressTTL(ctx)
	cutOff := e.callers.Shutdown(ctx)
	e.closeRecords()
	e.registrar.resign()
	e.shutdown()
	if cutOff > 0 {
		event.ProcessCutOff.Log(e.logger, zap.Int("left", cutOff))
	} else {
		event.ProcessStopped.Log(e.logger)
	}
	return cutOff
}

// awaitAddressTTL waits until the address lists that callers received before
// Leave have expired.
func (e *Entry) awaitAddressTTL(ctx context.Context) {
	// Other entries list this one until their next watch returns.
	timer := time.NewTimer(e.settings.AddressTTL() + watchWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close stops the entry immediately, without the graceful shutdown of Stop.
func (e *Entry) Close() {
	e.callers.Shutdown(canceledContext())
	e.shutdown()
}

func (e *Entry) shutdown() {
	e.cancel()
	e.peers.Close()
	e.adminServer.Shutdown(canceledContext())
	e.wg.Wait()
	e.kv.Close()
	e.meter.Close()
}

// NotReadyReason returns the reason why the entry does not accept new requests, or the
// empty string if it does.
func (e *Entry) NotReadyReason() string {
	if state := e.follower.serveState(); !state.MayServe() {
		return "the configuration may be out of date: " + state.String()
	}
	return ""
}

// Status is the state of an entry as reported by its admin API.
type Status struct {
	Name        string           `json:"name"`
	DataCentre  string           `json:"data_centre"`
	Incarnation string           `json:"incarnation"`
	Leaving     bool             `json:"leaving"`
	ServeState  string           `json:"standing"`
	Version     uint64           `json:"version"`
	Hash        string           `json:"hash"`
	Pending     uint64           `json:"pending,omitempty"`
	AgeMS       int64            `json:"age_ms"`
	Voters      []string         `json:"voters"`
	Active      int64            `json:"active"`
	Members     []StatusMember   `json:"members"`
	Endpoints   []StatusEndpoint `json:"endpoints"`
}

// StatusMember describes one entry of the cluster.
type StatusMember struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Version    uint64 `json:"version"`
	Behind     bool   `json:"behind,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	Voter      bool   `json:"voter"`
}

// StatusEndpoint describes an endpoint and its last reported load.
type StatusEndpoint struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Usable     bool   `json:"usable"`
	Capacity   int    `json:"capacity"`
	Busy       int    `json:"busy"`
	Version    uint64 `json:"version"`
}

// Status returns the current state as a [Status].
func (e *Entry) Status() any {
	status := Status{
		Name:        e.settings.Name(),
		DataCentre:  e.settings.DataCentre(),
		Incarnation: e.incarnation,
		Leaving:     e.leaving.Load(),
		Active:      e.active.Load(),
	}
	e.follower.fillStatus(&status)
	e.agents.fillStatus(&status)
	return status
}

// Dialer returns the dialer for sessions to agents and peers. Tests use it to
// simulate network partitions.
func (e *Entry) Dialer() *link.Dialer { return &e.dialer }

// Address returns the listen address for callers.
func (e *Entry) Address() string { return e.callers.Address() }

// PeerAddress returns the listen address for other entries.
func (e *Entry) PeerAddress() string { return e.peers.Address() }

// AdminAddress returns the listen address of the admin API.
func (e *Entry) AdminAddress() string { return e.adminServer.Address() }
