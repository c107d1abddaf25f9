// Package edge implements the entry on the platform: it accepts callers' requests and
// forwards them directly to endpoints, according to the routing table in the platform's
// store. Each ready entry is registered in the store as a member.
//
// One goroutine watches the store and maintains a view of the system (pkg/mirror);
// each request is routed by the latest view. Entries exchange the revisions that they
// have read in datagrams and fetch missing changes from each other, so that an entry
// stays current while the store refuses its calls. Agents report the load of their
// endpoints.
package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/conns"
	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/drain"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/retry"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

const (
	// maintenancePeriod is how often grace periods, endpoint health and idle
	// connections are checked, and the request log is flushed.
	maintenancePeriod = 250 * time.Millisecond
)

// Entry forwards callers' requests to endpoints. Use New to create one.
type Entry struct {
	logger *zap.Logger
	meter  *meter.Meter
	// account limits what clients and endpoints make the process keep.
	account *memory.Account
	store   *platform.Store
	pool    conns.Pool
	dialer  link.Dialer

	settings atomic.Pointer[prefs.Edge]
	view     atomic.Pointer[mirror.View]
	leaving  atomic.Bool
	// stop is when the process ends, if it is stopping.
	stop     drain.Stop
	runTimes drain.RunTimes
	// active is the number of callers' requests in progress.
	active atomic.Int64

	storeSyncer  *storeSyncer
	registration *registration
	peers        *peers
	demands      *demands
	budget       budget
	buffers      webio.ByteBudget
	crashTracker *crashTracker
	parts        *partGuard
	detector     *crashDetector
	log          *requestLog
	requests     meter.Counter
	firstByte    meter.Histogram
	// lostAttempts counts the attempts that ended without the endpoint's whole response, by
	// what was learned about the endpoint.
	lostAttempts meter.Counter

	mu       sync.Mutex
	services map[string]*sched.Service
	// callerTimeouts holds the timeouts that callers send, by route.
	callerTimeouts map[string]*retry.Timeouts

	clients    *webio.Server
	readiness  *webio.Server
	directory  *webio.Server
	admin      *webio.Server
	links      *link.Server
	socket     *dgram.Socket
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns an entry that is not running yet.
func New(settings prefs.Edge, logger *zap.Logger) (*Entry, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		logger:         logger,
		meter:          metrics,
		store:          platform.NewStore(settings.StoreAddress(), settings.Name()),
		services:       make(map[string]*sched.Service),
		callerTimeouts: make(map[string]*retry.Timeouts),
		crashTracker:   newCrashTracker(logger),
		log:            newRequestLog(logger),
	}
	e.settings.Store(&settings)
	e.limitMemory(settings.Limits())
	e.storeSyncer = newStoreSyncer(e)
	e.store.OnEra(e.storeSyncer.observeEra)
	e.registration = newRegistration(e, metrics)
	e.peers = newPeers(e)
	e.demands = newDemands(e, metrics)
	e.parts = &partGuard{entry: e}
	e.crashTracker.explainWith(&e.parts.tracker)
	e.detector = newCrashDetector(e)
	e.view.Store(e.storeSyncer.state.View())
	e.requests = metrics.Counter("lentilstand_requests", "Finished requests by result.", "result")
	e.firstByte = metrics.Histogram("lentilstand_first_byte", "Time until the first byte of a response.", "service")
	e.lostAttempts = metrics.Counter("lentilstand_lost_attempts",
		"Attempts that ended without the whole response, by what was learned about the endpoint or why nothing was.", "finding")
	crashRecords := metrics.Counter("lentilstand_crash_records", "Changes of the records of requests that may crash endpoints.", "change")
	e.crashTracker.changes = func(kind string) { crashRecords.Add(1, kind) }
	metrics.Gauge("lentilstand_table_version", "Version of the routing table in use.", "mark", func(report func(int64, string)) {
		if t := e.view.Load().Table(); t != nil {
			report(int64(t.Version()), "obeyed")
		}
	})
	metrics.Gauge("lentilstand_active", "Requests in progress and connections to endpoints.", "what", func(report func(int64, string)) {
		report(e.active.Load(), "requests")
		report(e.pool.Opened(), "connections_opened")
		report(int64(e.pool.Idle()), "connections_idle")
	})
	metrics.Gauge("lentilstand_endpoint_limit_thousandths", "Requests in 1,000 seconds that an endpoint takes from all entries.", "endpoint",
		func(report func(int64, string)) {
			for _, s := range e.allServices() {
				s.EachLimit(func(endpoint *table.Endpoint, perSecond float64) { report(int64(1000*perSecond), endpoint.ID()) })
			}
		})
	metrics.Gauge("lentilstand_store_evidence_age_ms", "Time since the view was shown to be current by a call to the store, of any entry.", "what",
		func(report func(int64, string)) {
			if evidence := e.storeSyncer.evidence.Latest(); !evidence.At().IsZero() {
				report(evidence.Age(time.Now()).Milliseconds(), "age")
			}
		})
	metrics.Gauge("lentilstand_store_era", "Newest era that the store has named, 0 if none. It rises each time the store recovers from a copy.", "what",
		func(report func(int64, string)) { report(int64(e.store.Era()), "era") })
	e.storeSyncer.older = metrics.Counter("lentilstand_store_older_answers", "Answers of the store that were older than the view, by call.", "call")
	e.storeSyncer.asks = metrics.Counter("lentilstand_store_asks", "Calls to the store for want of recent evidence, by what they showed.", "result")
	e.addPaceMetrics(metrics)
	e.addAdmissionMetrics(metrics)
	e.measureForecasts(metrics)
	return e, nil
}

// bufferShare is the part of the account's limit that buffered responses may have in addition.
const bufferShare = 4

// limitMemory creates the account of the process.
func (e *Entry) limitMemory(limits prefs.Limits) {
	e.account = memory.New(limits.MemoryMB(), limits.Descriptors())
	e.account.Observe(e.logger, e.meter)
	e.pool.SetAccount(e.account)
	e.buffers.SetCeiling(e.account.Limit() / bufferShare)
}

// Start opens the listeners and starts to watch the store and serve requests.
func (e *Entry) Start() error {
	settings := e.settings.Load()
	e.account.LimitHeap()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	socket, err := dgram.Listen(settings.PeerAddress(), e.peers.receive, e.logger)
	if err != nil {
		return err
	}
	e.socket = socket
	if e.links, err = link.Listen(settings.PeerAddress(), e.peers.serveStream, e.logger, link.WithAccount(e.account)); err != nil {
		return err
	}
	account := webio.WithAccount(e.account)
	e.clients = webio.NewServer(webio.HandlerFunc(e.serve), e.logger, account)
	e.readiness = webio.NewServer(webio.HandlerFunc(e.serveReadiness), e.logger, account)
	e.directory = webio.NewServer(webio.HandlerFunc(e.serveDirectory), e.logger, account)
	e.admin = webio.NewServer(admin.New(e, e.meter), e.logger, account)
	for _, listener := range []struct {
		server  *webio.Server
		address string
	}{
		{e.clients, settings.ListenAddress()},
		{e.readiness, settings.ReadyAddress()},
		{e.directory, settings.DirectoryAddress()},
		{e.admin, settings.AdminAddress()},
	} {
		if err := listener.server.Listen(listener.address); err != nil {
			event.ListenFailed.Log(e.logger, event.Error(err))
			return err
		}
	}
	event.ProcessStarted.Log(e.logger, zap.String("listen", settings.ListenAddress()), zap.String("store", settings.StoreAddress()))
	for _, loop := range []func(context.Context){e.storeSyncer.run, e.storeSyncer.verify, e.registration.run, e.peers.run, e.detector.run, e.maintain} {
		e.background.Go(func() { loop(ctx) })
	}
	return nil
}

// Reload replaces the settings. Listen addresses do not change while the entry runs.
func (e *Entry) Reload(settings prefs.Edge) {
	e.settings.Store(&settings)
	e.storeSyncer.applySettings(&settings)
	event.SettingsReloaded.Log(e.logger)
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// service returns the scheduler of a service, and creates it on first use.
func (e *Entry) service(name string) *sched.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		settings := e.settings.Load()
		s = sched.New(name, settings.DataCentre(), e.logger,
			sched.WithSubset(settings.Name()),
			sched.WithOtherEntries(func() int { return max(0, len(e.view.Load().Members())-1) }),
			sched.WithColdLimit(func() sched.ColdLimit { return e.coldLimit(name) }))
		updateService(s, e.view.Load())
		e.services[name] = s
	}
	return s
}

// coldLimit returns the limit on the rate at which all entries together send requests
// to a cold endpoint of a service. Its rates are totals over all entries, so they do not
// depend on which entries are registered as members.
func (e *Entry) coldLimit(name string) sched.ColdLimit {
	view := e.view.Load()
	s := tableService(view, name)
	if s == nil || s.ColdPerSecond() <= 0 {
		return sched.ColdLimit{}
	}
	factor, extra := e.settings.Load().ColdOverage()
	rate := s.ColdPerSecond()
	return sched.ColdLimit{Rate: rate * min(1, factor), MaxRate: rate*factor + extra, Entries: max(1, len(view.Members()))}
}

// timeoutsOf returns what is known of the timeouts that callers send on a route.
func (e *Entry) timeoutsOf(route string) *retry.Timeouts {
	e.mu.Lock()
	defer e.mu.Unlock()
	timeouts := e.callerTimeouts[route]
	if timeouts == nil {
		timeouts = &retry.Timeouts{}
		e.callerTimeouts[route] = timeouts
	}
	return timeouts
}

// isClientRetry reports whether a caller seems to retry a request that was refused before:
// its timeout is shorter than usual on the route, or it resumes a stream. A request without a
// timeout says nothing about earlier attempts.
func (e *Entry) isClientRetry(r *request) bool {
	if r.head.LastEvent != "" || r.head.Timeout <= 0 {
		return r.head.LastEvent != ""
	}
	return e.timeoutsOf(r.route.Name()).IsRetry(r.head.Timeout, r.route.Timeout(), r.receivedAt)
}

// tableService returns the named service of the view's routing table, or nil if there
// is none.
func tableService(view *mirror.View, name string) *table.Service {
	if t := view.Table(); t != nil {
		return t.Service(name)
	}
	return nil
}

// updateService updates a service's scheduler to a view.
func updateService(s *sched.Service, view *mirror.View) {
	configured := tableService(view, s.Name())
	engine := configured != nil && configured.Engine() != nil
	if t := view.Table(); engine {
		s.SetGapTarget(t.MinGapTarget(s.Name()))
		s.SetEngine(configured.Engine())
	}
	s.Update(view.Endpoints(s.Name()), engine, view.Evacuated, view.Revision())
}

func (e *Entry) allServices() []*sched.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.services))
}

// publish makes a view the one by which requests are routed.
func (e *Entry) publish(view *mirror.View) {
	e.view.Store(view)
	for _, s := range e.allServices() {
		updateService(s, view)
	}
	if t := view.Table(); t != nil {
		t.Services(func(s *table.Service) { e.service(s.Name()) })
	}
}

// maintain runs the periodic maintenance until ctx ends.
func (e *Entry) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, maintenancePeriod)
		now := time.Now()
		e.storeSyncer.expire(now)
		known := make(map[netip.AddrPort]bool)
		e.view.Load().EachEndpoint(func(endpoint *table.Endpoint) { known[endpoint.Address()] = true })
		e.pool.Prune(now, func(address netip.AddrPort) bool { return known[address] })
		for _, s := range e.allServices() {
			s.Tick()
		}
		e.log.flush(now)
	}
}

// NotReadyReason returns why the entry does not accept new requests, empty if it does.
func (e *Entry) NotReadyReason() string {
	switch {
	case e.leaving.Load():
		return "the process is shutting down"
	case e.view.Load().Table() == nil:
		return "no routing table is known yet"
	default:
		return ""
	}
}

// serveReadiness serves the readiness check.
func (e *Entry) serveReadiness(exchange *webio.Exchange) {
	request := exchange.Request()
	switch reason := e.NotReadyReason(); {
	case !platform.IsReadinessPath(request.URL.Path):
		exchange.Reply(http.StatusNotFound, nil, nil)
	case reason != "":
		exchange.Reply(http.StatusServiceUnavailable, nil, platform.ErrorBody(reason))
	default:
		exchange.Reply(http.StatusOK, nil, nil)
	}
}

// serveDirectory serves the directory, from which callers learn the addresses of the
// entries.
func (e *Entry) serveDirectory(exchange *webio.Exchange) {
	request := exchange.Request()
	if !platform.IsDirectoryPath(request.URL.Path) {
		exchange.Reply(http.StatusNotFound, nil, nil)
		return
	}
	addresses := e.addresses()
	if len(addresses) == 0 {
		exchange.Reply(http.StatusServiceUnavailable, nil, platform.ErrorBody("no entries are available"))
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	exchange.Reply(http.StatusOK, header, platform.DirectoryBody(addresses, e.settings.Load().AddressTTL()))
}

// maxAddresses limits the addresses in one response of the directory.
const maxAddresses = 64

// addresses returns the caller-facing addresses of the entries that are available.
func (e *Entry) addresses() []string {
	settings := e.settings.Load()
	var addresses []string
	self := false
	for _, member := range e.peers.alive(e.view.Load().Members()) {
		if member.Name() == settings.Name() {
			self = true
			if e.NotReadyReason() != "" {
				continue
			}
		}
		addresses = append(addresses, member.ClientAddress())
	}
	if !self && e.NotReadyReason() == "" {
		addresses = append(addresses, settings.ListenAddress())
	}
	return addressWindow(addresses, rand.IntN(max(1, len(addresses))))
}

// addressWindow returns at most maxAddresses addresses, starting at an index and wrapping
// around, so that callers are spread over all entries of a large fleet.
func addressWindow(addresses []string, start int) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	return slices.Concat(addresses[start:], addresses[:start])[:maxAddresses]
}

// Status returns the entry's state for the admin interface.
func (e *Entry) Status() any {
	view := e.view.Load()
	status := struct {
		Version     uint64   `json:"version"`
		Revision    uint64   `json:"revision"`
		Era         uint64   `json:"era"`
		ConfirmedMS int64    `json:"confirmed_ms_ago"`
		Members     []string `json:"members"`
		Active      int64    `json:"active"`
	}{Revision: view.Revision(), Era: view.Position().Era(), ConfirmedMS: time.Since(view.ConfirmedAt()).Milliseconds(), Active: e.active.Load()}
	if t := view.Table(); t != nil {
		status.Version = t.Version()
	}
	for _, member := range view.Members() {
		status.Members = append(status.Members, member.Name())
	}
	return status
}
