// Package entry is the process that takes callers' requests and sends them to
// endpoints by the numbered configuration.
//
// An entry follows the configuration in the key-value service and asks its peers
// what they know of it, keeps a session to the agent of each endpoint, holds
// requests in queues by service and team until an agent grants a credit, and
// passes answers on as they come.
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
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/pkg/claim"
	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/platform"
)

// Entry takes callers' requests. Use New.
type Entry struct {
	settings    prefs.Entry
	logger      *zap.Logger
	meter       *meter.Meter
	incarnation string
	kv          *platform.Store
	dialer      link.Dialer
	follower    *follower
	registrar   *registrar
	acceptor    *acceptor
	fleet       *fleet
	hosts       *hostWatch
	queues      *queues
	teams       *teamLimits
	claims      *claim.Claims
	records     *audit.Writer
	crashes     *crashes
	parking     *parking
	budget      retry.Budget
	requests    meter.Counter
	firstBytes  meter.Histogram
	leaving     atomic.Bool
	active      atomic.Int64

	callers     *webio.Server
	peers       *link.Server
	adminServer *webio.Server
	cancel      context.CancelFunc
	wait        sync.WaitGroup
}

// New returns an entry that isn't running yet.
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
		queues:      newQueues(),
		teams:       newTeamLimits(),
	}
	voter := settings.Name() + "/" + e.incarnation[:8]
	e.claims = claim.New(e.kv, voter)
	e.records = audit.NewWriter(e.kv, voter)
	e.crashes = newCrashes(e.kv, logger)
	e.parking = newParking(settings.StreamBufferBudget(), logger)
	e.follower = newFollower(voter, e.kv, e.crashes, &e.dialer, logger)
	e.fleet = newFleet(settings.Name(), &e.dialer, logger)
	e.hosts = newHostWatch(settings.HostListAddress())
	e.acceptor = newAcceptor(e.follower, e.kv, settings.Name(), logger)
	e.registrar = newRegistrar(e, voter)
	e.requests = metrics.Counter("lentilstand_requests", "Requests by how they ended.", "result")
	e.firstBytes = metrics.Histogram("lentilstand_first_byte", "Time until a caller's first byte.", "service")
	metrics.Gauge("lentilstand_queue_requests", "Requests that wait, by service.", "service", e.queues.reportRequests)
	metrics.Gauge("lentilstand_queue_bytes", "Bytes of requests that wait, by service.", "service", e.queues.reportBytes)
	metrics.Gauge("lentilstand_team_held_bytes", "Bytes of answers held for slow readers, by team.", "team", e.teams.reportHeld)
	metrics.Gauge("lentilstand_parking", "Bytes that stalled streams hold, and streams parked so far.", "what", e.parking.reportHeld)
	metrics.Gauge("lentilstand_team_active", "Requests being served, by team.", "team", e.teams.reportActive)
	metrics.Gauge("lentilstand_version", "Number of the configuration in force.", "mark", e.follower.reportVersion)
	return e, nil
}

// Start begins to listen, to follow the configuration and to serve.
func (e *Entry) Start() error {
	peers, err := link.Listen(e.settings.PeerAddress(), e.serveStream, e.logger)
	if err != nil {
		return err
	}
	e.peers = peers
	pages := admin.New(e, e.meter)
	pages.Handle("POST /leave", e.leaveByOrder)
	pages.Handle("POST /patches", e.submitPatch)
	pages.Handle("POST /patches/check", e.checkPatch)
	if e.adminServer, err = pages.Listen(e.settings.AdminAddress(), e.logger); err != nil {
		peers.Close()
		return err
	}
	e.callers = webio.NewServer(e, e.logger)
	if err := e.callers.Listen(e.settings.ListenAddress()); err != nil {
		peers.Close()
		e.adminServer.Shutdown(ended())
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.spawn(func() { e.follower.run(ctx) })
	e.spawn(func() { e.follower.askPeers(ctx) })
	e.spawn(func() { e.registrar.run(ctx) })
	e.spawn(func() { e.acceptor.run(ctx) })
	e.spawn(func() { e.fleet.run(ctx, e.follower) })
	e.spawn(func() { e.hosts.run(ctx) })
	e.spawn(func() { e.keepRecords(ctx) })
	event.ProcessStarted.Log(e.logger,
		zap.String("listen", e.callers.Address()),
		zap.String("peer", peers.Address()),
		zap.String("admin", e.adminServer.Address()))
	return nil
}

func (e *Entry) spawn(run func()) {
	e.wait.Add(1)
	go func() {
		defer e.wait.Done()
		run()
	}()
}

// ended returns a context that has ended.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Leave withdraws the entry from the addresses that callers are told. It goes
// on serving those who hold its address.
func (e *Entry) Leave() {
	if e.leaving.CompareAndSwap(false, true) {
		event.ProcessLeaving.Log(e.logger)
		e.registrar.update()
	}
}

func (e *Entry) leaveByOrder(exchange *webio.Exchange) {
	e.Leave()
	admin.ReplyJSON(exchange, http.StatusOK, e.Status())
}

// Stop leaves, serves callers until none can hold the entry's address any more,
// waits for what runs until ctx ends, and then ends the entry. It returns how
// many connections it cut off.
func (e *Entry) Stop(ctx context.Context) int {
	e.Leave()
	e.settle(ctx)
	left := e.callers.Shutdown(ctx)
	e.closeRecords()
	e.registrar.resign()
	e.shutdown()
	if left > 0 {
		event.ProcessCutOff.Log(e.logger, zap.Int("left", left))
	} else {
		event.ProcessStopped.Log(e.logger)
	}
	return left
}

// settle waits until the addresses that callers were told before the entry left
// have passed their time to live.
func (e *Entry) settle(ctx context.Context) {
	// Other entries learn of it by their next watch.
	timer := time.NewTimer(e.settings.AddressTTL() + watchWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close ends the entry at once, as if it had died.
func (e *Entry) Close() {
	e.callers.Shutdown(ended())
	e.shutdown()
}

func (e *Entry) shutdown() {
	e.cancel()
	e.peers.Close()
	e.adminServer.Shutdown(ended())
	e.wait.Wait()
	e.kv.Close()
	e.meter.Close()
}

// NotReadyReason returns why the entry takes no new work, empty if it does.
func (e *Entry) NotReadyReason() string {
	if standing := e.follower.standing(); !standing.MayServe() {
		return "the configuration isn't known to be current: " + standing.String()
	}
	return ""
}

// Status is an entry's state as its admin address shows it.
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

// StatusMember is a member of the fleet of entries.
type StatusMember struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Version    uint64 `json:"version"`
	Behind     bool   `json:"behind,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	Voter      bool   `json:"voter"`
}

// StatusEndpoint is an endpoint as the entry sees it.
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

// Status returns the entry's state.
func (e *Entry) Status() any {
	status := Status{
		Name:        e.settings.Name(),
		DataCentre:  e.settings.DataCentre(),
		Incarnation: e.incarnation,
		Leaving:     e.leaving.Load(),
		Active:      e.active.Load(),
	}
	e.follower.fillStatus(&status)
	e.fleet.fillStatus(&status)
	return status
}

// Dialer returns what the entry opens sessions with, to cut it off.
func (e *Entry) Dialer() *link.Dialer { return &e.dialer }

// Address returns the address that the entry listens on for callers.
func (e *Entry) Address() string { return e.callers.Address() }

// PeerAddress returns the address that the entry listens on for its peers.
func (e *Entry) PeerAddress() string { return e.peers.Address() }

// AdminAddress returns the address that the entry listens on for operators.
func (e *Entry) AdminAddress() string { return e.adminServer.Address() }
