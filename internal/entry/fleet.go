package entry

import (
	"cmp"
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

// Timing of sessions to agents.
const (
	// reportTimeout is how long the entry waits for an agent's next report before
	// it closes the session.
	reportTimeout = 3 * time.Second
	// redialDelay is the mean delay before a session is reopened. It doubles with
	// each failed dial, up to maxRedialDelay.
	redialDelay    = 200 * time.Millisecond
	maxRedialDelay = 3 * time.Second
)

// errNotConnected reports that there is no session to an endpoint's agent.
var errNotConnected = eris.New("there is no session to the endpoint's agent")

// agentPool maintains a session to the agent of each endpoint in the
// configuration.
type agentPool struct {
	name   string
	dialer *link.Dialer
	logger *zap.Logger

	// crashed is called with the incarnation of an endpoint that has crashed.
	crashed func(incarnation string)

	mu    sync.Mutex
	conns map[string]*agentConn
}

func newAgentPool(name string, dialer *link.Dialer, crashed func(incarnation string), logger *zap.Logger) *agentPool {
	return &agentPool{name: name, dialer: dialer, logger: logger, crashed: crashed, conns: make(map[string]*agentConn)}
}

// run opens and closes sessions as the configuration changes, until ctx is done.
func (p *agentPool) run(ctx context.Context, source *follower) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		changed := source.changes()
		if rules := source.currentRules(); rules != nil {
			p.update(ctx, rules, &wg)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (p *agentPool) update(ctx context.Context, rules *route.Rules, wg *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[string]config.Endpoint)
	for _, endpoint := range rules.Config().Endpoints() {
		wanted[endpoint.Name()] = endpoint
	}
	for name, c := range p.conns {
		if wanted[name].Address() != c.endpoint.Address() {
			c.cancel()
			delete(p.conns, name)
		}
	}
	for name, endpoint := range wanted {
		if c, ok := p.conns[name]; ok {
			c.setVersion(rules.Head().Number())
			continue
		}
		connCtx, cancel := context.WithCancel(ctx)
		c := &agentConn{pool: p, endpoint: endpoint, cancel: cancel, newVersion: make(chan struct{}, 1)}
		c.setVersion(rules.Head().Number())
		p.conns[name] = c
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(connCtx)
		}()
	}
}

func (p *agentPool) conn(endpoint string) *agentConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[endpoint]
}

// loads returns the known load of each endpoint. Endpoints on a host that is
// leaving count as leaving even if their agents don't report it yet.
func (p *agentPool) loads(endpoints []config.Endpoint, hosts *hostWatcher, prefix uint64) map[string]route.Load {
	loads := make(map[string]route.Load, len(endpoints))
	for _, endpoint := range endpoints {
		c := p.conn(endpoint.Name())
		if c == nil {
			continue
		}
		load := c.loadForPrefix(prefix)
		if hosts.isLeaving(endpoint.Host()) {
			load = route.NewLoad(load.Capacity(), load.Busy(), route.Leaving())
		}
		loads[endpoint.Name()] = load
	}
	return loads
}

// anyReady reports whether any of the endpoints accepts requests.
func (p *agentPool) anyReady(endpoints []config.Endpoint) bool {
	for _, endpoint := range endpoints {
		if c := p.conn(endpoint.Name()); c != nil && c.load().Usable() {
			return true
		}
	}
	return false
}

func (p *agentPool) fillStatus(status *Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		load := c.load()
		status.Endpoints = append(status.Endpoints, StatusEndpoint{
			Name:       c.endpoint.Name(),
			Service:    c.endpoint.Service(),
			DataCentre: c.endpoint.DataCentre(),
			Connected:  c.connected(),
			Usable:     load.Usable(),
			Capacity:   load.Capacity(),
			Busy:       load.Busy(),
			Version:    c.agentVersion(),
		})
	}
	sortEndpoints(status.Endpoints)
}

// agentConn maintains the session to one agent. Pending counts the requests sent
// since the last report.
type agentConn struct {
	pool       *agentPool
	endpoint   config.Endpoint
	cancel     context.CancelFunc
	newVersion chan struct{}

	mu      sync.Mutex
	session *link.Session
	report  *wirepb.Report
	// lastEpoch is the last epoch that was reported, and lastDown whether the last report said
	// that the endpoint is down; they outlast the session.
	lastEpoch string
	lastDown  bool
	pending   int
	version   uint64
}

// run keeps the session open until ctx is done.
func (c *agentConn) run(ctx context.Context) {
	delay := redialDelay
	for ctx.Err() == nil {
		if err := c.runSession(ctx); err != nil {
			event.SessionDialFailed.Log(c.pool.logger, zap.String("endpoint", c.endpoint.Name()), event.Error(err))
			delay = min(2*delay, maxRedialDelay)
		} else {
			delay = redialDelay
		}
		sleep(ctx, delay/2+rand.N(delay))
	}
}

// runSession opens a session and processes the agent's reports until the session
// ends. It returns an error if the session could not be opened.
func (c *agentConn) runSession(ctx context.Context) error {
	session, err := c.pool.dialer.Dial(ctx, c.endpoint.Address())
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
	if err := stream.Write(c.watchFrame()); err != nil {
		return err
	}
	defer c.clearSession()
	for first := true; ; first = false {
		message, err := stream.ReadWithin(reportTimeout)
		if err != nil {
			c.logSessionEnd(session, first, err)
			return nil
		}
		if message.GetReport() == nil {
			event.FrameRefused.Log(c.pool.logger, zap.String("endpoint", c.endpoint.Name()))
			return nil
		}
		c.setReport(session, message.GetReport())
		if first {
			event.SessionOpened.Log(c.pool.logger, zap.String("endpoint", c.endpoint.Name()))
			go c.announceVersions(session, stream)
		}
	}
}

func (c *agentConn) logSessionEnd(session *link.Session, first bool, cause error) {
	select {
	case <-session.Closed():
		if !first {
			event.SessionClosed.Log(c.pool.logger, zap.String("endpoint", c.endpoint.Name()))
		}
	default:
		event.SessionSilent.Log(c.pool.logger, zap.String("endpoint", c.endpoint.Name()), event.Error(cause))
	}
}

func (c *agentConn) watchFrame() *wirepb.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: &wirepb.Watch{Entry: c.pool.name, Version: c.version}}}
}

// announceVersions sends each newer configuration version to the agent, so that
// the agent rejects requests that a formerly paused entry still sends by an older
// version.
func (c *agentConn) announceVersions(session *link.Session, stream *link.Stream) {
	for {
		select {
		case <-c.newVersion:
			if stream.Write(c.watchFrame()) != nil {
				return
			}
		case <-session.Closed():
			return
		}
	}
}

func (c *agentConn) setVersion(version uint64) {
	c.mu.Lock()
	newer := version > c.version
	c.version = max(c.version, version)
	c.mu.Unlock()
	if newer {
		wake(c.newVersion)
	}
}

func (c *agentConn) setReport(session *link.Session, report *wirepb.Report) {
	c.mu.Lock()
	crashed := ""
	c.session = session
	if !report.GetSame() {
		// An agent that has just started doesn't know the epoch yet.
		epoch := cmp.Or(report.GetEpoch(), c.lastEpoch)
		// One that has said that its endpoint leaves expects it to end.
		if !c.report.GetLeaving() && (report.GetDown() || epoch != c.lastEpoch) {
			crashed = incarnationOf(c.endpoint.Name(), c.lastEpoch)
		}
		c.report = report
		c.lastEpoch, c.lastDown = epoch, report.GetDown()
	}
	// Requests sent since the previous report count only until this one.
	c.pending = 0
	c.mu.Unlock()
	if crashed != "" {
		c.pool.crashed(crashed)
	}
}

// incarnationOf returns an identifier of an endpoint's process.
func incarnationOf(endpoint, epoch string) string { return endpoint + "@" + epoch }

// hasCrashed reports whether the endpoint's process of an epoch has ended, by the agent's last
// report.
func (c *agentConn) hasCrashed(epoch string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.report.GetLeaving() && (c.lastDown || c.lastEpoch != epoch)
}

func (c *agentConn) clearSession() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = nil
	c.report = nil
}

func (c *agentConn) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil
}

func (c *agentConn) agentVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report.GetVersion()
}

// epoch returns the epoch of the endpoint's process in the agent's last report.
func (c *agentConn) epoch() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEpoch
}

// load returns the endpoint's load from its last report plus the requests that
// this entry has sent since.
func (c *agentConn) load() route.Load { return c.loadForPrefix(0) }

// loadForPrefix is like load, and marks the load as cached if the endpoint's cache
// may hold the given prompt prefix. A zero prefix means that there is none.
func (c *agentConn) loadForPrefix(prefix uint64) route.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
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
	return route.NewLoad(int(report.GetCapacity()), int(report.GetBusy())+c.pending, options...)
}

// addPending counts a request that the last report does not include.
func (c *agentConn) addPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
}

// openStream opens a stream to the agent.
func (c *agentConn) openStream() (*link.Session, *link.Stream, error) {
	c.mu.Lock()
	session := c.session
	c.mu.Unlock()
	if session == nil {
		return nil, nil, errNotConnected
	}
	stream, err := session.Open()
	return session, stream, err
}

// closeUnresponsive closes a session on which a request to the agent timed out, so
// that no other request waits on it. The connection loop opens a new one.
func (c *agentConn) closeUnresponsive(session *link.Session) {
	event.SessionSilent.Log(c.pool.logger, zap.String("endpoint", c.endpoint.Name()))
	session.Close()
}

// revokeTimeout bounds the revocation of a credit.
const revokeTimeout = 2 * time.Second

// revoke invalidates a credit. It returns true only if the agent confirms that the
// credit was never used. It dials a separate connection because the session itself
// may be broken.
func (c *agentConn) revoke(incarnation string, credit uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	session, err := c.pool.dialer.Dial(ctx, c.endpoint.Address())
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
	message, err := stream.ReadWithin(revokeTimeout)
	return err == nil && message.GetRevoked() != nil && !message.GetRevoked().GetStarted()
}
