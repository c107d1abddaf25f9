// Package edge is an entry on the platform: it takes callers' requests and sends
// them straight to endpoints by the routing table in the platform's store.
//
// One goroutine follows the store and keeps the picture of the system
// (pkg/mirror); requests are decided by its newest picture. Entries tell each
// other by datagrams what they have read, and fetch what they lack from one
// another, so that one that the store turns away stays current. Agents tell the
// load of their endpoints.
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
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// The steps of a graceful stop.
const (
	// acceptAfterLeaving is how long new connections are taken after the entry has
	// left the directory: callers keep answers for a while.
	acceptAfterLeaving = 3 * time.Second
	// stopMargin is kept between the end of a graceful stop and its bound.
	stopMargin = 700 * time.Millisecond
	// tickPeriod is how often grace periods, trust and idle connections are looked at.
	tickPeriod = 250 * time.Millisecond
)

// Entry is an entry on the platform. Use New.
type Entry struct {
	logger *zap.Logger
	meter  *meter.Meter
	store  *platform.Store
	pool   conns.Pool
	dialer link.Dialer

	settings atomic.Pointer[prefs.Edge]
	picture  atomic.Pointer[mirror.View]
	leaving  atomic.Bool
	active   atomic.Int64

	follower *follower
	peers    *peers
	budget   budget
	crashes  *crashes
	log      *requestLog
	ended    meter.Counter
	first    meter.Histogram

	mu       sync.Mutex
	services map[string]*sched.Service
	patience map[string]time.Duration

	callers   *webio.Server
	readiness *webio.Server
	directory *webio.Server
	admin     *webio.Server
	links     *link.Server
	socket    *dgram.Socket
	cancel    context.CancelFunc
	wait      sync.WaitGroup
}

// New returns an entry that isn't running yet.
func New(settings prefs.Edge, logger *zap.Logger) (*Entry, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		logger:   logger,
		meter:    metrics,
		store:    platform.NewStore(settings.Store(), settings.Name()),
		services: make(map[string]*sched.Service),
		patience: make(map[string]time.Duration),
		crashes:  newCrashes(logger),
		log:      newRequestLog(logger),
	}
	e.settings.Store(&settings)
	e.follower = newFollower(e)
	e.peers = newPeers(e)
	e.picture.Store(e.follower.state.View())
	e.ended = metrics.Counter("lentilstand_requests", "Requests by how they ended.", "result")
	e.first = metrics.Histogram("lentilstand_first_byte", "Time until a caller's first byte.", "service")
	metrics.Gauge("lentilstand_table_version", "Number of the routing table that is obeyed.", "mark", func(report func(int64, string)) {
		if t := e.picture.Load().Table(); t != nil {
			report(int64(t.Version()), "obeyed")
		}
	})
	metrics.Gauge("lentilstand_active", "Requests that are being served.", "what", func(report func(int64, string)) {
		report(e.active.Load(), "requests")
		report(e.pool.Opened(), "connections_opened")
		report(int64(e.pool.Idle()), "connections_idle")
	})
	return e, nil
}

// Start begins to listen, to follow the store and to serve.
func (e *Entry) Start() error {
	settings := e.settings.Load()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	socket, err := dgram.Listen(settings.Peer(), e.peers.receive, e.logger)
	if err != nil {
		return err
	}
	e.socket = socket
	if e.links, err = link.Listen(settings.Peer(), e.peers.serveStream, e.logger); err != nil {
		return err
	}
	e.callers = webio.NewServer(webio.HandlerFunc(e.serve), e.logger)
	e.readiness = webio.NewServer(webio.HandlerFunc(e.serveReadiness), e.logger)
	e.directory = webio.NewServer(webio.HandlerFunc(e.serveDirectory), e.logger)
	e.admin = webio.NewServer(admin.New(e, e.meter), e.logger)
	for _, listening := range []struct {
		server  *webio.Server
		address string
	}{
		{e.callers, settings.Listen()},
		{e.readiness, settings.Ready()},
		{e.directory, settings.Directory()},
		{e.admin, settings.Admin()},
	} {
		if err := listening.server.Listen(listening.address); err != nil {
			event.ListenFailed.Log(e.logger, event.Error(err))
			return err
		}
	}
	event.ProcessStarted.Log(e.logger, zap.String("listen", settings.Listen()), zap.String("store", settings.Store()))
	for _, loop := range []func(context.Context){e.follower.run, e.follower.register, e.peers.run, e.tick} {
		e.wait.Go(func() { loop(ctx) })
	}
	return nil
}

// Reload takes in settings that were read again. Addresses stay as they are.
func (e *Entry) Reload(settings prefs.Edge) {
	e.settings.Store(&settings)
	event.SettingsReloaded.Log(e.logger)
}

// Stop leaves the directory, serves on for callers that don't know yet, lets
// running requests finish until the end of ctx, and returns how many were cut
// off.
func (e *Entry) Stop(ctx context.Context) int {
	event.ProcessLeaving.Log(e.logger, zap.Int64("active", e.active.Load()))
	e.leaving.Store(true)
	e.callers.Withdraw()
	e.follower.deregister()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		bounded, cancel = context.WithDeadline(ctx, deadline.Add(-stopMargin))
		defer cancel()
	}
	pause(bounded, acceptAfterLeaving)
	left := e.callers.Shutdown(bounded)
	e.cancel()
	e.socket.Close()
	e.links.Close()
	done, ended := context.WithCancel(context.Background())
	ended()
	for _, server := range []*webio.Server{e.readiness, e.directory, e.admin} {
		server.Shutdown(done)
	}
	e.wait.Wait()
	e.store.Close()
	e.meter.Close()
	if left > 0 {
		event.ProcessCutOff.Log(e.logger, zap.Int("left", left))
		return left
	}
	event.ProcessStopped.Log(e.logger)
	return 0
}

// pause waits unless ctx ends before.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// service returns the state of a service's endpoints.
func (e *Entry) service(name string) *sched.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = sched.New(name, e.settings.Load().DataCentre(), e.logger,
			sched.WithOtherEntries(func() int { return max(0, len(e.picture.Load().Members())-1) }),
			sched.WithColdLimit(func() sched.ColdLimit { return e.cold(name) }))
		update(s, e.picture.Load())
		e.services[name] = s
	}
	return s
}

// cold returns what a cold endpoint of a service may be sent by all entries,
// whichever of them are counted as members.
func (e *Entry) cold(name string) sched.ColdLimit {
	picture := e.picture.Load()
	s := describedBy(picture, name)
	if s == nil || s.ColdPerSecond() <= 0 {
		return sched.ColdLimit{}
	}
	factor, extra := e.settings.Load().ColdBound()
	bears := s.ColdPerSecond()
	return sched.ColdLimit{Rate: bears * min(1, factor), MaxRate: bears*factor + extra, Entries: max(1, len(picture.Members()))}
}

// returningShare is the share of a route's usual patience below which a caller is
// taken to have spent some of it on an attempt before.
const returningShare = 0.97

// isReturning reports whether a caller seems to have been refused before: less
// than the usual time is left to it, or it resumes a stream. An entry that has just
// started takes the route's timeout for usual.
func (e *Entry) isReturning(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	usual, known := e.patience[r.route.Name()]
	e.patience[r.route.Name()] = max(usual, r.call.Patience)
	if !known {
		usual = r.route.Timeout()
	}
	return r.call.LastEvent != "" || float64(r.call.Patience) < returningShare*float64(usual)
}

// describedBy returns a service of the picture's routing table, nil if that has none
// of the name.
func describedBy(picture *mirror.View, name string) *table.Service {
	if t := picture.Table(); t != nil {
		return t.Service(name)
	}
	return nil
}

// update tells a service what a picture says of it.
func update(s *sched.Service, picture *mirror.View) {
	described := describedBy(picture, s.Name())
	engine := described != nil && described.Engine() != nil
	s.Update(picture.Endpoints(s.Name()), engine, picture.Evacuated, picture.Revision())
}

func (e *Entry) allServices() []*sched.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.services))
}

// publish makes a picture the one that requests are decided by.
func (e *Entry) publish(picture *mirror.View) {
	e.picture.Store(picture)
	for _, s := range e.allServices() {
		update(s, picture)
	}
	if t := picture.Table(); t != nil {
		t.Services(func(s *table.Service) { e.service(s.Name()) })
	}
}

// tick does what is due from time to time.
func (e *Entry) tick(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, tickPeriod)
		now := time.Now()
		e.follower.expire(now)
		known := make(map[netip.AddrPort]bool)
		e.picture.Load().EachEndpoint(func(endpoint *table.Endpoint) { known[endpoint.Address()] = true })
		e.pool.Prune(now, func(address netip.AddrPort) bool { return known[address] })
		for _, s := range e.allServices() {
			s.Tick()
		}
		e.log.flush(now)
	}
}

// Ready returns why the entry takes no new work, empty if it does.
func (e *Entry) Ready() string {
	switch {
	case e.leaving.Load():
		return "the process is leaving"
	case e.picture.Load().Table() == nil:
		return "no routing table is known yet"
	default:
		return ""
	}
}

// serveReadiness answers checks of readiness.
func (e *Entry) serveReadiness(exchange *webio.Exchange) {
	request := exchange.Request()
	switch reason := e.Ready(); {
	case !platform.IsReadiness(request.URL.Path):
		exchange.Reply(http.StatusNotFound, nil, nil)
	case reason != "":
		exchange.Reply(http.StatusServiceUnavailable, nil, platform.ErrorBody(reason))
	default:
		exchange.Reply(http.StatusOK, nil, nil)
	}
}

// serveDirectory tells callers which addresses to use.
func (e *Entry) serveDirectory(exchange *webio.Exchange) {
	request := exchange.Request()
	if !platform.IsDirectory(request.URL.Path) {
		exchange.Reply(http.StatusNotFound, nil, nil)
		return
	}
	addresses := e.addresses()
	if len(addresses) == 0 {
		exchange.Reply(http.StatusServiceUnavailable, nil, platform.ErrorBody("no entry is known"))
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	exchange.Reply(http.StatusOK, header, platform.DirectoryAnswer(addresses, e.settings.Load().AddressTTL()))
}

// maxAddresses bounds an answer of the directory.
const maxAddresses = 64

// addresses returns the entries that callers may use.
func (e *Entry) addresses() []string {
	settings := e.settings.Load()
	var addresses []string
	self := false
	for _, member := range e.picture.Load().Members() {
		if member.Name() == settings.Name() {
			self = true
			if e.Ready() != "" {
				continue
			}
		} else if !e.peers.isAlive(member) {
			continue
		}
		addresses = append(addresses, member.ClientAddress())
	}
	if !self && e.Ready() == "" {
		addresses = append(addresses, settings.Listen())
	}
	return window(addresses, rand.IntN(max(1, len(addresses))))
}

// window returns maxAddresses of the addresses at most, from one on and round, so
// that callers of a large fleet use all of it.
func window(addresses []string, from int) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	return slices.Concat(addresses[from:], addresses[:from])[:maxAddresses]
}

// Status returns the entry's state.
func (e *Entry) Status() any {
	picture := e.picture.Load()
	status := struct {
		Version     uint64   `json:"version"`
		Revision    uint64   `json:"revision"`
		ConfirmedMS int64    `json:"confirmed_ms_ago"`
		Members     []string `json:"members"`
		Active      int64    `json:"active"`
	}{Revision: picture.Revision(), ConfirmedMS: time.Since(picture.ConfirmedAt()).Milliseconds(), Active: e.active.Load()}
	if t := picture.Table(); t != nil {
		status.Version = t.Version()
	}
	for _, member := range picture.Members() {
		status.Members = append(status.Members, member.Name())
	}
	return status
}
