package edge

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/belief"
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
	// coldMargin is by how much entries of a large fleet stay below their part of what
	// a cold endpoint bears: their moments are random, and at the full part of 26 a
	// second more than 44 met in one second now and then.
	coldMargin = 2
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
	// waitShare is the share of a route's aim that a request may wait for room.
	waitShare = 0.25
	// usualOutage is how long a service is taken to be without endpoints before it
	// has shown how long that takes: ranks restart and form a group in about that time.
	usualOutage = 2200 * time.Millisecond
	// returningWait is how long a caller who came back may wait for room: it won't
	// come again, and gives up a stream that is silent for two seconds.
	returningWait = 1500 * time.Millisecond
	// groupRefusal is how long a group's refusal of one request counts for all of its
	// ranks, which only run together; agents tell sooner when they run again.
	groupRefusal = 200 * time.Millisecond
	// usualRun is how long a request takes on a busy group, 30 events of 100 ms: as
	// many requests as there are slots end in that time, also before any was seen to.
	usualRun = 3 * time.Second
	// outageSpread is the time over which those who were refused in an outage come
	// back after it: all of them at once would fill every slot with prompts to read,
	// and whoever comes after that is lost.
	outageSpread = 1500 * time.Millisecond
	// leastBack is the least time after which a refused caller may come back.
	leastBack = 300 * time.Millisecond
)

// erredWeight is what an error in an answer counts: services have requests that
// fail wherever they run.
const erredWeight = 0.3

// Errors of place. All of them mean that nothing was sent.
var (
	errFull = eris.New("all endpoints are busy")
	errNone = eris.New("no endpoint takes requests")
	// errLate says that the request would begin too late to be of use.
	errLate = eris.New("the request would begin too late")
)

// endpoint is what the entry knows of one endpoint, under its service's lock.
type endpoint struct {
	spec     *table.Endpoint
	draining bool
	mine     int
	reported int
	mineThen int
	slots    int
	heard    time.Time
	agent    bool
	// agentsKnown is the fingerprint of the agents that its agent knows.
	agentsKnown uint32
	closed      bool
	pace        float64
	failures    float64
	failedAt    time.Time
	shunned     bool
	coldUntil   time.Time
	// coldTurn is from when on this entry may send to the endpoint while it is cold.
	coldTurn time.Time
	sent     []time.Time
}

// failing returns the decayed count of failures.
func (e *endpoint) failing(now time.Time) float64 {
	return e.failures * math.Exp2(-now.Sub(e.failedAt).Seconds()/failureHalfLife.Seconds())
}

// blame adds to the failures.
func (e *endpoint) blame(weight float64) {
	now := time.Now()
	e.failures, e.failedAt = e.failing(now)+weight, now
}

// seat is a request's place at an endpoint, as that was when it was given.
type seat struct {
	endpoint *endpoint
	spec     *table.Endpoint
}

// service holds the endpoints of a service and the requests that wait for them.
type service struct {
	name   string
	own    string
	logger *zap.Logger
	cold   func() (perSecond float64)
	// others returns how many other entries there are.
	others func() int

	mu        sync.Mutex
	engine    bool
	endpoints []*endpoint
	evacuated map[string]bool
	waiting   []*waiter
	finished  rate
	sent      rate
	refusedAt time.Time
	closedAt  time.Time
	outage    time.Duration
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

// update takes in the endpoints of a picture.
func (s *service) update(picture *belief.Picture, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	specs := picture.Endpoints(s.name)
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
			event.EndpointLeaving.Log(s.logger, zap.String("endpoint", spec.ID()), zap.Uint64("revision", picture.Revision()))
		}
		e.spec, e.draining = spec, spec.Draining()
		kept = append(kept, e)
	}
	for _, e := range s.endpoints {
		if !slices.Contains(kept, e) {
			event.EndpointRemoved.Log(s.logger, zap.String("service", s.name), zap.String("endpoint", e.spec.ID()),
				zap.Uint64("revision", picture.Revision()))
		}
	}
	s.endpoints = kept
	s.evacuated = make(map[string]bool)
	for _, e := range kept {
		if picture.Evacuated(e.spec.DataCentre()) {
			s.evacuated[e.spec.DataCentre()] = true
		}
	}
	table := picture.Table()
	s.engine = table != nil && table.Service(s.name) != nil && table.Service(s.name).Engine() != nil
	s.serveWaiting(now)
}

// find returns the endpoint of an id. The caller holds the lock.
func (s *service) find(id string) *endpoint {
	for _, e := range s.endpoints {
		if e.spec.ID() == id {
			return e
		}
	}
	return nil
}

// loads returns what the choice needs to know. The caller holds the lock.
func (s *service) loads(tried map[string]bool, now time.Time) []pick.Load {
	loads := make([]pick.Load, len(s.endpoints))
	perSecond := s.cold()
	heard := slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.agent && now.Sub(e.heard) <= agentSilence })
	for i, e := range s.endpoints {
		age := time.Duration(-1)
		if !e.heard.IsZero() {
			age = now.Sub(e.heard)
		}
		silent := e.agent && age > agentSilence
		loads[i] = pick.Load{
			Slots:    e.slots,
			Mine:     e.mine,
			Reported: e.reported,
			MineThen: e.mineThen,
			Age:      age,
			Failures: e.failing(now),
			Pace:     e.pace,
			Local:    e.spec.DataCentre() == s.own,
			// A host that stands still takes its agent along, and what is sent there
			// arrives when nobody waits for it any more.
			Closed:  e.draining || s.evacuated[e.spec.DataCentre()] || (e.closed && !silent) || (silent && heard),
			Spent:   perSecond > 0 && now.Before(e.coldUntil) && e.isSpent(now, perSecond),
			Shunned: e.shunned,
			Tried:   tried[e.spec.ID()],
		}
	}
	return loads
}

// isSpent reports whether a cold endpoint has had what this entry may send it. Of a
// large fleet each entry sends one request in several seconds, and begins at a
// random moment of these, so that they don't all begin together.
func (e *endpoint) isSpent(now time.Time, perSecond float64) bool {
	if perSecond >= 1 {
		return e.sentWithin(now, time.Second)+1 > perSecond
	}
	period := time.Duration(coldMargin * float64(time.Second) / perSecond)
	if e.coldTurn.IsZero() {
		e.coldTurn = now.Add(rand.N(period))
	}
	return now.Before(e.coldTurn) || e.sentWithin(now, period) > 0
}

// sentWithin returns how many requests were sent in the last span.
func (e *endpoint) sentWithin(now time.Time, span time.Duration) float64 {
	first := 0
	for first < len(e.sent) && now.Sub(e.sent[first]) > span {
		first++
	}
	e.sent = e.sent[first:]
	return float64(len(e.sent))
}

// choose returns the endpoint that takes a request now. The caller holds the lock.
func (s *service) choose(t ticket, now time.Time) (*endpoint, pick.Verdict) {
	extra := plainExtra
	if s.engine {
		extra = engineExtra
	}
	if t.resuming {
		extra += resumeExtra
	}
	if s.engine && now.Sub(s.refusedAt) < groupRefusal {
		return nil, pick.None
	}
	loads := s.loads(t.tried, now)
	pick.Foresee(loads, extra, s.others(), s.sent.at(now))
	at, verdict := pick.Choose(loads, extra, rand.Uint64())
	if verdict != pick.Chosen {
		return nil, verdict
	}
	return s.endpoints[at], verdict
}

// hasRoom reports whether an endpoint would take a request now.
func (s *service) hasRoom(t ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, verdict := s.choose(t, time.Now())
	return verdict == pick.Chosen
}

// take chooses an endpoint and counts the request there. The caller holds the
// lock.
func (s *service) take(t ticket, now time.Time) (seat, pick.Verdict) {
	e, verdict := s.choose(t, now)
	if len(t.tried) == 0 {
		s.noteOutage(verdict == pick.None, now)
	}
	if verdict != pick.Chosen {
		return seat{}, verdict
	}
	e.mine++
	s.sent.add(now)
	if now.Before(e.coldUntil) {
		e.sent = append(e.sent, now)
	}
	return seat{endpoint: e, spec: e.spec}, pick.Chosen
}

// groupRefused takes note that a rank refused a request though it had room: the
// group doesn't run.
func (s *service) groupRefused(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine && e.mine < e.slots {
		s.refusedAt = time.Now()
	}
}

// release takes note that a request has left an endpoint.
func (s *service) release(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	e.mine--
	s.finished.add(now)
	s.serveWaiting(now)
}

// succeeded and failed take note of an endpoint's outcomes.
func (s *service) succeeded(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	e.failures, e.failedAt = e.failing(now)*0.7, now
	if e.shunned && e.failures < trustAt {
		e.shunned = false
		event.EndpointTrusted.Log(s.logger, zap.String("endpoint", e.spec.ID()))
	}
}

func (s *service) failed(e *endpoint, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.blame(1)
	if !e.shunned && e.failures >= shunAt {
		e.shunned = true
		event.EndpointShunned.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", reason),
			zap.Float64("failures", e.failures))
	}
}

// forgive lets endpoints that were shunned have a trial once their failures are
// old.
func (s *service) forgive(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.shunned && e.failing(now) < trustAt {
			e.shunned = false
			event.EndpointTrusted.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", "its failures are old"))
		}
		if e.agent && now.Sub(e.heard) > agentSilence && e.closed {
			e.closed = false
		}
	}
	s.serveWaiting(now)
}

// shown takes in the load that an answer's head shows.
func (s *service) shown(e *endpoint, running, waiting, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.agent {
		return
	}
	e.reported, e.mineThen, e.heard = running+waiting, e.mine, time.Now()
	if slots > 0 {
		e.slots = slots
	}
}

// heardFrom takes in an agent's report on the endpoint at an IP address.
func (s *service) heardFrom(from netip.Addr, load *wirepb.Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, e := range s.endpoints {
		if e.spec.Address().Addr() != from {
			continue
		}
		if !e.agent {
			e.agent = true
			event.AgentHeard.Log(s.logger, zap.String("endpoint", e.spec.ID()))
		}
		e.reported, e.mineThen, e.heard = int(load.GetRunning()+load.GetWaiting()), e.mine, now
		e.agentsKnown = load.GetAgentsKnown()
		opens := load.GetOpen() && load.GetReachable()
		if opens && e.closed {
			s.refusedAt = time.Time{}
		}
		e.closed = !opens
		e.pace = max(1, load.GetPace())
		s.serveWaiting(now)
		return true
	}
	return false
}

// informed splits the agents into those that have shown lately that they know of
// all of them, and the others.
func (s *service) informed(agents []netip.AddrPort, now time.Time) (informed, uninformed []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := dgram.Fingerprint(agents)
	known := make(map[netip.Addr]bool)
	for _, e := range s.endpoints {
		if e.agent && now.Sub(e.heard) <= agentSilence && e.agentsKnown == current {
			known[e.spec.Address().Addr()] = true
		}
	}
	for _, agent := range agents {
		if known[agent.Addr()] {
			informed = append(informed, agent)
		} else {
			uninformed = append(uninformed, agent)
		}
	}
	return informed, uninformed
}

// isSilent reports whether an endpoint's agent was heard before and is silent
// now, as when their host stands still or is cut off.
func (s *service) isSilent(e *endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.agent && time.Since(e.heard) > quietAgent
}

// erred takes note of an error in an endpoint's answer.
func (s *service) erred(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.blame(erredWeight)
}
