package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/hints"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/route"
)

// How sessions to agents are kept.
const (
	// reportTimeout is how long an agent may be silent before its session is
	// left.
	reportTimeout = 3 * time.Second
	// redialPause is the mean pause before a session is opened again. It doubles
	// with each dial that fails, up to maxRedialPause.
	redialPause    = 200 * time.Millisecond
	maxRedialPause = 3 * time.Second
)

// errNotConnected says that there is no session to an endpoint's agent.
var errNotConnected = eris.New("there is no session to the endpoint's agent")

// fleet keeps a session to the agent of each endpoint in the configuration.
type fleet struct {
	name   string
	dialer *link.Dialer
	logger *zap.Logger

	mu    sync.Mutex
	links map[string]*agentLink
}

func newFleet(name string, dialer *link.Dialer, logger *zap.Logger) *fleet {
	return &fleet{name: name, dialer: dialer, logger: logger, links: make(map[string]*agentLink)}
}

// run opens and closes sessions as the configuration changes, until ctx ends.
func (f *fleet) run(ctx context.Context, followed *follower) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for ctx.Err() == nil {
		changed := followed.changes()
		if rules := followed.currentRules(); rules != nil {
			f.update(ctx, rules, &wait)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (f *fleet) update(ctx context.Context, rules *route.Rules, wait *sync.WaitGroup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]config.Endpoint)
	for _, endpoint := range rules.Config().Endpoints() {
		wanted[endpoint.Name()] = endpoint
	}
	for name, l := range f.links {
		if wanted[name].Address() != l.endpoint.Address() {
			l.cancel()
			delete(f.links, name)
		}
	}
	for name, endpoint := range wanted {
		if l, ok := f.links[name]; ok {
			l.setVersion(rules.Head().Number())
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &agentLink{fleet: f, endpoint: endpoint, cancel: cancel, newVersion: make(chan struct{}, 1)}
		l.setVersion(rules.Head().Number())
		f.links[name] = l
		wait.Add(1)
		go func() {
			defer wait.Done()
			l.run(linkCtx)
		}()
	}
}

func (f *fleet) link(endpoint string) *agentLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[endpoint]
}

// loads returns what is known of the load of a service's endpoints. Those whose
// host is leaving count as leaving even if their agents don't say so yet.
func (f *fleet) loads(endpoints []config.Endpoint, hosts *hostWatch, prefix uint64) map[string]route.Load {
	loads := make(map[string]route.Load, len(endpoints))
	for _, endpoint := range endpoints {
		l := f.link(endpoint.Name())
		if l == nil {
			continue
		}
		load := l.loadFor(prefix)
		if hosts.isLeaving(endpoint.Host()) {
			load = route.NewLoad(load.Capacity(), load.Busy(), route.Leaving())
		}
		loads[endpoint.Name()] = load
	}
	return loads
}

// isAnyReady reports whether any of the endpoints takes requests.
func (f *fleet) isAnyReady(endpoints []config.Endpoint) bool {
	for _, endpoint := range endpoints {
		if l := f.link(endpoint.Name()); l != nil && l.load().Usable() {
			return true
		}
	}
	return false
}

func (f *fleet) fillStatus(status *Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		load := l.load()
		status.Endpoints = append(status.Endpoints, StatusEndpoint{
			Name:       l.endpoint.Name(),
			Service:    l.endpoint.Service(),
			DataCentre: l.endpoint.DataCentre(),
			Connected:  l.connected(),
			Usable:     load.Usable(),
			Capacity:   load.Capacity(),
			Busy:       load.Busy(),
			Version:    l.agentVersion(),
		})
	}
	sortEndpoints(status.Endpoints)
}

// agentLink is the session to one agent.
type agentLink struct {
	fleet      *fleet
	endpoint   config.Endpoint
	cancel     context.CancelFunc
	newVersion chan struct{}

	mu      sync.Mutex
	session *link.Session
	report  *wirepb.Report
	pending int
	version uint64
}

// run keeps the session open until ctx ends.
func (l *agentLink) run(ctx context.Context) {
	pause := redialPause
	for ctx.Err() == nil {
		if err := l.serve(ctx); err != nil {
			event.SessionDialFailed.Log(l.fleet.logger, zap.String("endpoint", l.endpoint.Name()), event.Error(err))
			pause = min(2*pause, maxRedialPause)
		} else {
			pause = redialPause
		}
		pauseUnless(ctx, pause/2+rand.N(pause))
	}
}

// serve opens a session and follows the agent's reports until it ends.
func (l *agentLink) serve(ctx context.Context) error {
	session, err := l.fleet.dialer.Dial(ctx, l.endpoint.Address())
	if err != nil {
		return err
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, session.Close)
	defer stop()
	stream, err := session.Open()
	if err != nil {
		return err
	}
	if err := stream.Write(l.watchFrame()); err != nil {
		return err
	}
	defer l.drop()
	for first := true; ; first = false {
		message, err := stream.ReadWithin(reportTimeout)
		if err != nil {
			l.logEnd(session, first, err)
			return nil
		}
		if message.GetReport() == nil {
			event.FrameRefused.Log(l.fleet.logger, zap.String("endpoint", l.endpoint.Name()))
			return nil
		}
		l.setReport(session, message.GetReport())
		if first {
			event.SessionOpened.Log(l.fleet.logger, zap.String("endpoint", l.endpoint.Name()))
			go l.announce(session, stream)
		}
	}
}

func (l *agentLink) logEnd(session *link.Session, first bool, cause error) {
	select {
	case <-session.Closed():
		if !first {
			event.SessionClosed.Log(l.fleet.logger, zap.String("endpoint", l.endpoint.Name()))
		}
	default:
		event.SessionSilent.Log(l.fleet.logger, zap.String("endpoint", l.endpoint.Name()), event.Error(cause))
	}
}

func (l *agentLink) watchFrame() *wirepb.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: &wirepb.Watch{Entry: l.fleet.name, Version: l.version}}}
}

// announce tells the agent of each newer version, so that it refuses what a
// process that was paused still sends by an older one.
func (l *agentLink) announce(session *link.Session, stream *link.Stream) {
	for {
		select {
		case <-l.newVersion:
			if stream.Write(l.watchFrame()) != nil {
				return
			}
		case <-session.Closed():
			return
		}
	}
}

func (l *agentLink) setVersion(version uint64) {
	l.mu.Lock()
	newer := version > l.version
	l.version = max(l.version, version)
	l.mu.Unlock()
	if newer {
		kick(l.newVersion)
	}
}

func (l *agentLink) setReport(session *link.Session, report *wirepb.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
	if !report.GetSame() {
		l.report = report
	}
	// What the report doesn't show yet is counted until the next one.
	l.pending = 0
}

func (l *agentLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = nil
	l.report = nil
}

func (l *agentLink) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil
}

func (l *agentLink) agentVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report.GetVersion()
}

// load returns the endpoint's load by its last report and what the entry has
// sent there since.
func (l *agentLink) load() route.Load { return l.loadFor(0) }

// loadFor returns the endpoint's load for a request whose prompt has the given
// prefix, zero if it has none.
func (l *agentLink) loadFor(prefix uint64) route.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	if report == nil {
		return route.Load{}
	}
	var options []route.LoadOption
	if !report.GetReady() {
		options = append(options, route.NotReady())
	}
	if report.GetLeaving() {
		options = append(options, route.Leaving())
	}
	if prefix != 0 && hints.Filter(report.GetHints()).MayContain(prefix) {
		options = append(options, route.Cached())
	}
	return route.NewLoad(int(report.GetCapacity()), int(report.GetBusy())+l.pending, options...)
}

// expect counts a request that the next report will show.
func (l *agentLink) expect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending++
}

// open opens a stream to the agent.
func (l *agentLink) open() (*link.Session, *link.Stream, error) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session == nil {
		return nil, nil, errNotConnected
	}
	stream, err := session.Open()
	return session, stream, err
}

// leave closes a session on which a question had no answer, so that nothing
// waits on it any more. A new one is opened at once.
func (l *agentLink) leave(session *link.Session) {
	event.SessionSilent.Log(l.fleet.logger, zap.String("endpoint", l.endpoint.Name()))
	session.Close()
}

// revokeBound bounds the asking whether a credit was used.
const revokeBound = 2 * time.Second

// revoke makes sure that a credit isn't used from now on. It reports true only
// if the agent has confirmed that the credit has never been used. It asks over
// a connection of its own, since the session may be what is broken.
func (l *agentLink) revoke(incarnation string, credit uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), revokeBound)
	defer cancel()
	session, err := l.fleet.dialer.Dial(ctx, l.endpoint.Address())
	if err != nil {
		return false
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return false
	}
	revoke := &wirepb.Revoke{Incarnation: incarnation, Credit: credit}
	if stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Revoke{Revoke: revoke}}) != nil {
		return false
	}
	message, err := stream.ReadWithin(revokeBound)
	return err == nil && message.GetRevoked() != nil && !message.GetRevoked().GetStarted()
}
