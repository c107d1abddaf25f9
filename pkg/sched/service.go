package sched

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/pick"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Bounds of what waits and of trust in endpoints.
const (
	// engineExtra is how many requests may stand at a model replica beyond its
	// slots: one that begins as another ends costs no pause.
	engineExtra = 2
	// plainExtra is the same for endpoints of plain services.
	plainExtra = 4
	// resumeExtra is how many streams that go on from another endpoint may stand at
	// one beyond that: their callers have a part of the answer and leave after two
	// seconds of silence, and they go first there.
	resumeExtra = 4
	// failureHalfLife is how fast a failure is forgotten.
	failureHalfLife = 2 * time.Second
	// shunAt and trustAt are the failures at which an endpoint is shunned and trusted
	// again.
	shunAt, trustAt = 2.5, 1.0
	// agentSilence is how long an agent that was heard may send nothing before its
	// reports count no more; it reports several times a second.
	agentSilence = 500 * time.Millisecond
	// quietAgent is the same for a stream that has had no event for quietBound, which
	// is a sign by itself: three reports are missing.
	quietAgent = 300 * time.Millisecond
	// QueueWaitShare is the share of a route's aim that a request may wait for room.
	QueueWaitShare = 0.25
	// usualOutage is how long a service is taken to be without endpoints before it
	// has shown how long that takes: ranks restart and form a group in about that time.
	usualOutage = 2200 * time.Millisecond
	// usualForming is the same for an entry that has found none since it started: hosts
	// that lost power together come back together, and the ranks of a group need 0.6 s
	// and the registration of the last of them to form it.
	usualForming = time.Second
	// RetryQueueWait is how long a caller who came back may wait for room: it won't
	// come again, and gives up a stream that is silent for two seconds.
	RetryQueueWait = 1500 * time.Millisecond
	// groupRefusal is how long a group's refusal of one request counts for all of its
	// ranks, which only run together; agents tell sooner when they run again.
	groupRefusal = 200 * time.Millisecond
	// usualRun is how long a request takes on a busy group, 30 events of 100 ms: as
	// many requests as there are slots end in that time, also before any was seen to.
	usualRun = 3 * time.Second
	// outageSpread is the time over which those who were refused in an outage come
	// back after it: all of them at once would fill every slot with prompts to read,
	// and whoever comes after that is lost. Half of the slots are free at usual load,
	// so that as many as came in an outage can be served within about its length.
	outageSpread = 2500 * time.Millisecond
	// settling is how long after an outage a model service isn't yet as fast as usual:
	// its ranks have the map that they begin with, and two switches of 0.6 s to 1.2 s
	// even them out. All who come back at once made passes 1.5 times as long, and events
	// of all streams late.
	settling = 2 * time.Second
	// lateShare is the share of its slots that a model replica meanwhile gives to those
	// who can't be served on time any more: with 0.3 and 0.4 more of them are lost, with
	// all of them nobody is served on time (trials on the grown sites, 2026-12-04).
	lateShare = 0.6
	// leastBack is the least time after which a refused caller may come back.
	leastBack = 300 * time.Millisecond
)

// erredWeight is what an error in an answer counts: services have requests that
// fail wherever they run.
const erredWeight = 0.3

// Errors of place. All of them mean that nothing was sent.
var (
	// ErrFull says that endpoints run, but none will have room in time.
	ErrFull = eris.New("all endpoints are busy")
	// ErrNoEndpoint says that no endpoint runs.
	ErrNoEndpoint = eris.New("no endpoint takes requests")
	// ErrQueueTimeout says that the request would begin too late to be of use.
	ErrQueueTimeout = eris.New("the request would begin too late")
)

// Assignment is a request's place at an endpoint, as that was when it was given.
type Assignment struct {
	endpoint *endpoint
	spec     *table.Endpoint
}

// Endpoint returns the endpoint.
func (s Assignment) Endpoint() *table.Endpoint { return s.spec }

// AgentReport is what an agent tells of its endpoint.
type AgentReport struct {
	// Running and Waiting are the requests of all entries there.
	Running, Waiting int
	// Pace over 1 means that the endpoint is slower than its kind.
	Pace float64
	// Accepting says that the endpoint can be reached and takes requests.
	Accepting bool
	// AgentsKnown is the fingerprint of the agents that the agent knows, 0 for none.
	AgentsKnown uint32
	// Entries is how many entries the agent reports to.
	Entries int
}

// Service holds the endpoints of a service and the requests that wait for them, as
// one entry sees them. Use New. It is safe for concurrent use.
type Service struct {
	name   string
	own    string
	logger *zap.Logger
	cold   func() ColdLimit
	others func() int
	now    func() time.Time

	mu        sync.Mutex
	random    *rand.Rand
	engine    bool
	endpoints []*endpoint
	evacuated map[string]bool
	waiting   []*Waiter
	finished  rate
	sent      rate
	refusedAt time.Time
	// closedAt is since when no endpoint takes requests, zero while one does, and
	// reopenedAt when one last did again.
	closedAt, reopenedAt time.Time
	outage               time.Duration
	// hasRun says that an endpoint has answered since the entry started.
	hasRun bool
}

// Option changes what a Service is made of.
type Option func(*Service)

// WithColdLimit sets what a cold endpoint of the service may be sent.
func WithColdLimit(cold func() ColdLimit) Option {
	return func(s *Service) { s.cold = cold }
}

// WithOtherEntries sets how many other entries there are.
func WithOtherEntries(others func() int) Option {
	return func(s *Service) { s.others = others }
}

// WithClock sets the clock, for play in simulated time.
func WithClock(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// WithRandom sets the source of random numbers.
func WithRandom(source rand.Source) Option {
	return func(s *Service) { s.random = rand.New(source) }
}

// New returns a service without endpoints, as an entry in a data centre sees it.
func New(name, dataCentre string, logger *zap.Logger, options ...Option) *Service {
	s := &Service{
		name:   name,
		own:    dataCentre,
		logger: logger,
		cold:   func() ColdLimit { return ColdLimit{} },
		others: func() int { return 0 },
		now:    time.Now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// draw returns a random span below a bound. The caller holds the lock.
func (s *Service) draw(below time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(below)))
}

// rate counts what happens in a second, smoothed.
type rate struct {
	perSecond float64
	last      time.Time
}

const rateHalfLife = time.Second

func (r *rate) add(now time.Time) {
	r.perSecond = r.at(now) + math.Ln2/rateHalfLife.Seconds()
	r.last = now
}

func (r *rate) at(now time.Time) float64 {
	return r.perSecond * math.Exp2(-now.Sub(r.last).Seconds()/rateHalfLife.Seconds())
}

// Update takes in the service's endpoints as of a revision of the store: whether they
// are model replicas, and from which data centres nothing may be used.
func (s *Service) Update(specs []*table.Endpoint, engine bool, evacuated func(dataCentre string) bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	kept := make([]*endpoint, 0, len(specs))
	for _, spec := range specs {
		e := s.find(spec.ID())
		if e == nil || e.spec.Incarnation() != spec.Incarnation() {
			e = &endpoint{slots: spec.Slots(), pace: 1}
			if spec.ColdFor() > 0 {
				e.coldUntil = now.Add(spec.ColdFor())
			}
			event.EndpointAdded.Log(s.logger, zap.String("service", s.name), zap.String("endpoint", spec.ID()),
				zap.Stringer("address", spec.Address()), zap.Duration("cold_for", spec.ColdFor()))
		} else if spec.ColdFor() > 0 && spec.ColdFor() != e.spec.ColdFor() {
			e.coldUntil, e.coldTurn = now.Add(spec.ColdFor()), time.Time{}
			event.EndpointCold.Log(s.logger, zap.String("endpoint", spec.ID()), zap.Duration("cold_for", spec.ColdFor()))
		}
		if spec.Draining() && !e.draining {
			event.EndpointLeaving.Log(s.logger, zap.String("endpoint", spec.ID()), zap.Uint64("revision", revision))
		}
		e.spec, e.draining = spec, spec.Draining()
		kept = append(kept, e)
	}
	for _, e := range s.endpoints {
		if !slices.Contains(kept, e) {
			event.EndpointRemoved.Log(s.logger, zap.String("service", s.name), zap.String("endpoint", e.spec.ID()),
				zap.Uint64("revision", revision))
		}
	}
	s.endpoints = kept
	s.evacuated = make(map[string]bool)
	for _, e := range kept {
		if evacuated(e.spec.DataCentre()) {
			s.evacuated[e.spec.DataCentre()] = true
		}
	}
	s.engine = engine
	s.serveWaiting(now)
}

// find returns the endpoint of an id. The caller holds the lock.
func (s *Service) find(id string) *endpoint {
	for _, e := range s.endpoints {
		if e.spec.ID() == id {
			return e
		}
	}
	return nil
}

// loads returns what the choice needs to know. The caller holds the lock.
func (s *Service) loads(tried map[string]bool, now time.Time) []pick.Load {
	loads := make([]pick.Load, len(s.endpoints))
	heard := slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.isHeard(now) })
	cold := s.coldNow(now, heard)
	for i, e := range s.endpoints {
		age := time.Duration(-1)
		if !e.heard.IsZero() {
			age = now.Sub(e.heard)
		}
		silent := e.isSilent(now)
		loads[i] = pick.Load{
			Slots:       e.slots,
			Own:         e.mine,
			Reported:    e.reported,
			OwnAtReport: e.mineThen,
			Age:         age,
			Failures:    e.failing(now),
			Pace:        e.pace,
			Local:       e.spec.DataCentre() == s.own,
			// A host that stands still takes its agent along, and what is sent there
			// arrives when nobody waits for it any more.
			Unavailable: e.draining || s.evacuated[e.spec.DataCentre()] || (e.closed && !silent) || (silent && heard),
			Throttled:   cold.Rate > 0 && e.isCold(now) && e.isSpent(now, cold, s.draw),
			Ejected:     e.shunned,
			Tried:       tried[e.spec.ID()],
		}
	}
	return loads
}

// choose returns the endpoint that takes a request now. The caller holds the lock.
func (s *Service) choose(t Request, now time.Time) (*endpoint, pick.Verdict) {
	extra := plainExtra
	if s.engine {
		extra = engineExtra
	}
	if t.Resuming {
		extra += resumeExtra
	}
	if s.engine && now.Sub(s.refusedAt) < groupRefusal {
		return nil, pick.NoneAvailable
	}
	loads := s.loads(t.Tried, now)
	if t.isLate() && s.isSettling(now) {
		extra = 0
		for i := range loads {
			loads[i].Slots = int(math.Ceil(lateShare * float64(loads[i].Slots)))
		}
	}
	pick.EstimateArrivals(loads, extra, s.others(), s.sent.at(now))
	at, verdict := pick.Choose(loads, extra, s.random.Uint64())
	if verdict != pick.Chosen {
		return nil, verdict
	}
	return s.endpoints[at], verdict
}

// HasCapacity reports whether an endpoint would take a request now.
func (s *Service) HasCapacity(t Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, verdict := s.choose(t, s.now())
	return verdict == pick.Chosen
}

// take chooses an endpoint and counts the request there. The caller holds the
// lock.
func (s *Service) take(t Request, now time.Time) (Assignment, pick.Verdict) {
	e, verdict := s.choose(t, now)
	if len(t.Tried) == 0 {
		s.noteOutage(verdict == pick.NoneAvailable, now)
	}
	if verdict != pick.Chosen {
		return Assignment{}, verdict
	}
	e.mine++
	s.sent.add(now)
	if e.isCold(now) {
		e.sent = append(e.sent, now)
	}
	return Assignment{endpoint: e, spec: e.spec}, pick.Chosen
}

// RecordGroupRefusal takes note that a rank refused a request though it had room: the
// group doesn't run.
func (s *Service) RecordGroupRefusal(given Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine && given.endpoint.mine < given.endpoint.slots {
		s.refusedAt = s.now()
	}
}

// Release takes note that a request has left its seat.
func (s *Service) Release(given Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	given.endpoint.mine--
	s.finished.add(now)
	s.serveWaiting(now)
}

// RecordSuccess takes note of an answer that says that the endpoint is sound.
func (s *Service) RecordSuccess(given Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, e := s.now(), given.endpoint
	s.hasRun = true
	e.failures, e.failedAt = e.failing(now)*0.7, now
	if e.shunned && e.failures < trustAt {
		e.shunned = false
		event.EndpointTrusted.Log(s.logger, zap.String("endpoint", e.spec.ID()))
	}
}

// RecordFailure takes note of an attempt that says that the endpoint isn't sound.
func (s *Service) RecordFailure(given Assignment, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := given.endpoint
	e.blame(1, s.now())
	if !e.shunned && e.failures >= shunAt {
		e.shunned = true
		event.EndpointShunned.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", reason),
			zap.Float64("failures", e.failures))
	}
}

// RecordErrorResponse takes note of an error in an endpoint's answer, which says little of it.
func (s *Service) RecordErrorResponse(given Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	given.endpoint.blame(erredWeight, s.now())
}

// Tick lets endpoints that were shunned have a trial once their failures are
// old, and those who wait go on. It is to be called several times a second.
func (s *Service) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range s.endpoints {
		if e.shunned && e.failing(now) < trustAt {
			e.shunned = false
			event.EndpointTrusted.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", "its failures are old"))
		}
		if e.closed && e.isSilent(now) {
			e.closed = false
		}
	}
	s.serveWaiting(now)
}

// UpdateFromResponse takes in the load that an answer's head shows, unless an agent tells more.
func (s *Service) UpdateFromResponse(given Assignment, running, waiting, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := given.endpoint
	if e.agent {
		return
	}
	e.reported, e.mineThen, e.heard = running+waiting, e.mine, s.now()
	if slots > 0 {
		e.slots = slots
	}
}

// UpdateFromAgent takes in an agent's report on the endpoint at an IP address. It reports
// whether the service has that endpoint.
func (s *Service) UpdateFromAgent(from netip.Addr, report AgentReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range s.endpoints {
		if e.spec.Address().Addr() != from {
			continue
		}
		if !e.agent {
			e.agent = true
			event.AgentHeard.Log(s.logger, zap.String("endpoint", e.spec.ID()))
		}
		e.reported, e.mineThen, e.heard = report.Running+report.Waiting, e.mine, now
		e.agentsKnown, e.entries = report.AgentsKnown, report.Entries
		if report.Accepting && e.closed {
			s.refusedAt = time.Time{}
		}
		e.closed = !report.Accepting
		e.pace = max(1, report.Pace)
		s.serveWaiting(now)
		return true
	}
	return false
}

// AgentsKnown returns by host the fingerprint of the agents that the agent there
// knows, of those that were heard lately.
func (s *Service) AgentsKnown() map[netip.Addr]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, known := s.now(), make(map[netip.Addr]uint32)
	for _, e := range s.endpoints {
		if e.isHeard(now) {
			known[e.spec.Address().Addr()] = e.agentsKnown
		}
	}
	return known
}

// IsAgentSilent reports whether an endpoint's agent was heard before and is silent
// now, as when their host stands still or is cut off.
func (s *Service) IsAgentSilent(given Assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return given.endpoint.agent && s.now().Sub(given.endpoint.heard) > quietAgent
}
