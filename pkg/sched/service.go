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
	"github.com/lentilstand/lentilstand/pkg/pace"
	"github.com/lentilstand/lentilstand/pkg/pick"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Parameters of the queue and of the tracking of endpoints.
const (
	// replicaExtra is how many requests a model replica may have beyond its slots, so
	// that one can start as soon as another completes. It is fewer while slots are taken
	// for so long that a request would wait longer than its MaxEndpointWait.
	replicaExtra = 2
	// plainExtra is the same for endpoints of plain services.
	plainExtra = 4
	// passTargetShare is the share of the longest gap between events at which a stream is on
	// time that passes may take on average. A stream with one longer gap is late.
	passTargetShare = 0.75
	// runTimeWeight is the weight of one request in the moving average of run times.
	runTimeWeight = 0.1
	// resumeExtra is how many streams that resume from another endpoint an endpoint may
	// have beyond replicaExtra or plainExtra. Their callers already have part of the
	// response and disconnect after two seconds without an event, and a replica runs
	// them first.
	resumeExtra = 4
	// failureHalfLife is the half-life of an endpoint's failure score.
	failureHalfLife = 2 * time.Second
	// ejectThreshold and restoreThreshold are the failure scores at which an endpoint
	// is ejected and below which it is restored.
	ejectThreshold, restoreThreshold = 2.5, 1.0
	// agentTimeout is how long after an agent's last report the agent counts as silent.
	// The endpoint then gets no requests while other agents of the service report, and
	// only the load in its last report is still used. Agents report several times per
	// second.
	agentTimeout = 500 * time.Millisecond
	// stalledAgentTimeout is the same for an endpoint that has sent nothing for
	// silenceTimeout, of package edge, which makes a fault more likely. In that time
	// three reports are missed.
	stalledAgentTimeout = 300 * time.Millisecond
	// QueueWaitShare is the share of a route's latency target that a request may spend
	// in the queue.
	QueueWaitShare = 0.25
	// defaultOutage is the expected length of an outage before the service has had
	// one. Ranks restart and form a group in about that time.
	defaultOutage = 2200 * time.Millisecond
	// defaultStartup is the same for an entry that has seen no endpoint answer since
	// it started. Hosts that lost power together come back together, and the ranks of
	// a group form it within 0.6 s after the last of them has registered.
	defaultStartup = time.Second
	// RetryQueueWait is how long the request of a caller that has retried may spend in
	// the queue. Such a caller doesn't retry again, and abandons a stream that has had
	// no event for two seconds.
	RetryQueueWait = 1500 * time.Millisecond
	// groupRefusalWindow is how long no request is sent to a group after one of its
	// ranks refused a request, as the ranks of a group only run together. The window
	// ends earlier if an agent reports that its rank accepts requests again.
	groupRefusalWindow = 200 * time.Millisecond
	// typicalRequestTime is how long a request takes on a busy group: 30 events of
	// 100 ms. As each slot becomes free once in that time, it gives a lower bound of the
	// completion rate, also before any request has completed.
	typicalRequestTime = 3 * time.Second
	// outageRetrySpread is the time over which callers that were rejected during an
	// outage retry after it. If all retried at once, every slot would be busy with
	// prefill, and requests that arrive later would fail. At usual load half of the
	// slots are free, so the requests of an outage can be served within about its length.
	outageRetrySpread = 2500 * time.Millisecond
	// recoveryWindow is how long after an outage a model service is slower than usual.
	// Its ranks start with the initial expert map, and balance their load by two
	// switches of 0.6 s to 1.2 s. When all retries were served at once, passes took
	// 1.5 times as long, and events of all streams were late.
	recoveryWindow = 2 * time.Second
	// lateSlotShare is the share of its slots that a model replica gives to late
	// requests during recoveryWindow. At 0.3 and 0.4 more late requests failed than at
	// 0.6, and at 1 no request was answered on time.
	lateSlotShare = 0.6
	// minRetryAfter is the minimum time after which a rejected caller may retry.
	minRetryAfter = 300 * time.Millisecond
)

// errorResponseWeight is what an error response adds to an endpoint's failure score.
// It is low because some requests fail on any endpoint.
const errorResponseWeight = 0.3

// Errors of Acquire and Admit. All of them mean that the request was not sent.
var (
	// ErrFull means that endpoints are running, but that no slot is expected to become
	// free in time.
	ErrFull = eris.New("all endpoints are busy")
	// ErrNoEndpoint means that no endpoint takes the request: none is available, or
	// the request was sent to all available ones before.
	ErrNoEndpoint = eris.New("no endpoint takes requests")
	// ErrQueueTimeout means that the request wasn't assigned within its MaxWait.
	ErrQueueTimeout = eris.New("the request would begin too late")
	// ErrPaused means that all endpoints that could take the request have asked for a
	// pause which ends too late for it.
	ErrPaused = eris.New("all endpoints have asked for a pause")
)

// Assignment is the assignment of a request to an endpoint. It keeps the endpoint's
// specification as of that time.
type Assignment struct {
	endpoint   *endpoint
	spec       *table.Endpoint
	assignedAt time.Time
}

// Endpoint returns the endpoint that the request is assigned to.
func (a Assignment) Endpoint() *table.Endpoint { return a.spec }

// AgentReport is an agent's report on the load of its endpoint.
type AgentReport struct {
	// Running and Waiting count the requests of all entries at the endpoint.
	Running, Waiting int
	// Pace is how many times slower the endpoint is than its peers; at most 1 if it
	// isn't slower.
	Pace float64
	// Accepting is set if the endpoint is reachable and accepts requests.
	Accepting bool
	// AgentsKnown is the fingerprint of the set of agents that the agent knows, 0 if
	// it knows none.
	AgentsKnown uint32
	// Entries is the number of entries that the agent reports to.
	Entries int
	// PassInterval is the interval between passes of the endpoint's group, in each of
	// which a stream gets one event; zero if the group runs none.
	PassInterval time.Duration
}

// Service holds the endpoints of a service, as seen by one entry, and a queue of
// requests for them. Use New to create one. It is safe for concurrent use.
type Service struct {
	name         string
	dataCentre   string
	logger       *zap.Logger
	coldLimit    func() ColdLimit
	otherEntries func() int
	now          func() time.Time
	// entry is the name by which the entry's subset of the endpoints is selected. If it
	// is empty, the entry uses all endpoints.
	entry string

	mu     sync.Mutex
	random *rand.Rand
	// isModelService is set if the endpoints are model replicas.
	isModelService bool
	endpoints      []*endpoint
	evacuated      map[string]bool
	subset         subsetState
	// waiting is the queue, in order of arrival.
	waiting []*Waiter
	// completions and sends are the rates at which this entry's requests end, with any
	// result, and are sent to an endpoint.
	completions rate
	sends       rate
	// meanRunTime is the moving average of the time that a request is at an endpoint, of
	// requests that were answered; zero before the first.
	meanRunTime time.Duration
	// groupRefusedAt is when a rank last refused a request though it had more slots than
	// requests of this entry, zero if an agent has reported since that its rank accepts
	// requests again.
	groupRefusedAt time.Time
	// outageStart is the time since which no endpoint takes requests, zero while one
	// does. outageEnd is when the last outage ended.
	outageStart, outageEnd time.Time
	// meanOutage is the moving average of the length of outages, zero before the first.
	meanOutage time.Duration
	// passTarget is the mean interval between passes up to which streams are on time, zero
	// if the service has none.
	passTarget time.Duration
	// scratch is memory of loads and limitSlowRanks, which are called for each request.
	scratch scratch
	// anySlow is set while a rank is excluded because it is slow, or was readmitted lately.
	anySlow bool
	// hasServed is set once an endpoint has answered since the entry started.
	hasServed bool
}

// Option configures a Service.
type Option func(*Service)

// WithColdLimit sets the function that returns the limit for cold endpoints.
func WithColdLimit(coldLimit func() ColdLimit) Option {
	return func(s *Service) { s.coldLimit = coldLimit }
}

// WithOtherEntries sets the function that returns the number of other entries.
func WithOtherEntries(otherEntries func() int) Option {
	return func(s *Service) { s.otherEntries = otherEntries }
}

// WithSubset limits the entry with the given name to a subset of the endpoints; see
// package subset.
func WithSubset(entry string) Option {
	return func(s *Service) { s.entry = entry }
}

// WithClock sets the clock, for simulations.
func WithClock(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// WithRandom sets the source of random numbers.
func WithRandom(source rand.Source) Option {
	return func(s *Service) { s.random = rand.New(source) }
}

// New returns a service without endpoints, for an entry in dataCentre.
func New(name, dataCentre string, logger *zap.Logger, options ...Option) *Service {
	s := &Service{
		name:         name,
		dataCentre:   dataCentre,
		logger:       logger,
		coldLimit:    func() ColdLimit { return ColdLimit{} },
		otherEntries: func() int { return 0 },
		now:          time.Now,
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// randomBelow returns a random duration in [0, bound). The caller must hold s.mu.
func (s *Service) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound)))
}

// rate is an exponentially decayed rate of events per second.
type rate struct {
	perSecond float64
	last      time.Time
}

// rateHalfLife is the half-life of a rate.
const rateHalfLife = time.Second

// add counts an event.
func (r *rate) add(now time.Time) {
	r.perSecond = r.at(now) + math.Ln2/rateHalfLife.Seconds()
	r.last = now
}

// at returns the rate at the time now.
func (r *rate) at(now time.Time) float64 {
	return r.perSecond * math.Exp2(-now.Sub(r.last).Seconds()/rateHalfLife.Seconds())
}

// Update sets the service's endpoints as of a revision of the store, whether they are
// model replicas, and which data centres are evacuated.
func (s *Service) Update(specs []*table.Endpoint, isModelService bool, evacuated func(dataCentre string) bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	updated := make([]*endpoint, 0, len(specs))
	var started []*endpoint
	for _, spec := range specs {
		e := s.find(spec.ID())
		if e == nil || e.spec.Incarnation() != spec.Incarnation() {
			e = &endpoint{slots: spec.Slots(), pace: 1}
			if spec.ColdFor() > 0 {
				e.coldUntil = now.Add(spec.ColdFor())
			}
			// Endpoints that this entry finds when it starts have usually run before.
			if len(s.endpoints) > 0 || spec.ColdFor() > 0 {
				started = append(started, e)
			}
			event.EndpointAdded.Log(s.logger, zap.String("service", s.name), zap.String("endpoint", spec.ID()),
				zap.Stringer("address", spec.Address()), zap.Duration("cold_for", spec.ColdFor()))
		} else if spec.ColdFor() > 0 && spec.ColdFor() != e.spec.ColdFor() {
			e.coldUntil, e.coldSendAfter = now.Add(spec.ColdFor()), time.Time{}
			started = append(started, e)
			event.EndpointCold.Log(s.logger, zap.String("endpoint", spec.ID()), zap.Duration("cold_for", spec.ColdFor()))
		}
		if spec.Draining() && !e.draining {
			event.EndpointLeaving.Log(s.logger, zap.String("endpoint", spec.ID()), zap.Uint64("revision", revision))
		}
		e.spec = spec
		e.setDraining(spec.Draining() || e.saidLeaving, now)
		updated = append(updated, e)
	}
	for _, e := range s.endpoints {
		if !slices.Contains(updated, e) {
			e.setDraining(true, now)
			event.EndpointRemoved.Log(s.logger, zap.String("service", s.name), zap.String("endpoint", e.spec.ID()),
				zap.Uint64("revision", revision))
		}
	}
	s.endpoints = updated
	s.evacuated = make(map[string]bool)
	for _, e := range updated {
		if evacuated(e.spec.DataCentre()) {
			s.evacuated[e.spec.DataCentre()] = true
		}
	}
	s.isModelService = isModelService
	s.updateSubset(now)
	for _, e := range started {
		s.startRamp(e, now, "started")
	}
	s.assignWaiting(now)
}

// SetGapTarget sets the longest gap between events at which the service's streams are on
// time, zero for none.
func (s *Service) SetGapTarget(target time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passTarget = time.Duration(passTargetShare * float64(target))
}

// slotShare returns the share of their slots that endpoints are given requests for. It is
// below one while passes take longer than passTarget, since each request makes them
// longer, and streams that aren't on time take all slots, for longer. The caller must hold
// s.mu.
func (s *Service) slotShare(now time.Time) float64 {
	if s.passTarget <= 0 {
		return 1
	}
	var sum time.Duration
	count := 0
	for _, e := range s.endpoints {
		if e.passInterval > 0 && e.hasFreshReport(now) {
			sum += e.passInterval
			count++
		}
	}
	if sum <= time.Duration(count)*s.passTarget {
		return 1
	}
	return float64(count) * float64(s.passTarget) / float64(sum)
}

// PassInterval returns the longest interval between passes that an agent of the service has
// reported recently, zero if none has.
func (s *Service) PassInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestPass(s.now())
}

// longestPass is PassInterval for a caller that holds s.mu.
func (s *Service) longestPass(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, e := range s.endpoints {
		if e.hasFreshReport(now) {
			longest = max(longest, e.passInterval)
		}
	}
	return longest
}

// find returns the endpoint with the given ID, or nil. The caller must hold s.mu.
func (s *Service) find(id string) *endpoint {
	for _, e := range s.endpoints {
		if e.spec.ID() == id {
			return e
		}
	}
	return nil
}

// scratch is memory that is used again by each decision.
type scratch struct {
	loads      []pick.Load
	exclusions []*exclusion
	excluded   []bool
}

// loads returns the endpoints' loads as input for pick.Choose. They are valid until the next
// call. The caller must hold s.mu.
func (s *Service) loads(tried map[string]bool, now time.Time) []pick.Load {
	loads := slices.Grow(s.scratch.loads[:0], len(s.endpoints))[:len(s.endpoints)]
	s.scratch.loads = loads
	anyFreshReport := slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return !e.unused && e.hasFreshReport(now) })
	limit := s.currentColdLimit(now, anyFreshReport)
	entries, anySlow := s.entriesPerEndpoint(), s.anySlow
	for i, e := range s.endpoints {
		if e.unused || e.draining {
			loads[i] = pick.Load{Age: -1, Pace: 1, Unavailable: true}
			continue
		}
		age := time.Duration(-1)
		if !e.reportedAt.IsZero() {
			age = now.Sub(e.reportedAt)
		}
		silent := e.hasAgentTimedOut(now)
		loads[i] = pick.Load{
			Slots:       e.slots,
			Own:         e.own,
			Reported:    e.reported,
			OwnAtReport: e.ownAtReport,
			Age:         age,
			Others:      s.othersAt(e, entries, now),
			RunTime:     s.runTimeOf(e),
			Failures:    e.failureScore(now),
			Pace:        e.currentPace(now),
			Local:       e.spec.DataCentre() == s.dataCentre,
			// A host that hangs also stops its agent, and requests sent to it would run
			// only after their callers have given up.
			Unavailable: s.evacuated[e.spec.DataCentre()] || (e.notAccepting && !silent) || (silent && anyFreshReport),
			Throttled:   now.Before(e.pausedUntil) || e.isAtLimit(now) || limit.Rate > 0 && e.isCold(now) && e.isThrottled(now, limit, s.randomBelow),
			Ejected:     e.ejected,
			Tried:       tried[e.spec.ID()],
		}
		anySlow = anySlow || loads[i].Pace > 1
	}
	if anySlow {
		s.limitSlowRanks(loads, now)
	}
	s.limitRamps(loads, now)
	s.setSlowness(loads, now)
	return loads
}

// runTimeOf returns the usual time of a request at an endpoint whose load is known from its
// responses only, and otherwise zero. The caller must hold s.mu.
func (s *Service) runTimeOf(e *endpoint) time.Duration {
	if e.hasAgent || s.isModelService {
		return 0
	}
	return s.meanRunTime
}

// choose returns the endpoint to assign a request to now. The caller must hold s.mu.
func (s *Service) choose(req Request, now time.Time) (*endpoint, pick.Verdict) {
	extra := plainExtra
	if s.isModelService {
		extra = replicaExtra
	}
	extra = s.limitExtra(extra, req.MaxEndpointWait)
	if req.Resuming {
		extra += resumeExtra
	}
	if s.isModelService && now.Sub(s.groupRefusedAt) < groupRefusalWindow {
		return nil, pick.NoneAvailable
	}
	loads := s.loads(req.Tried, now)
	if share := s.slotShare(now); share < 1 && !req.Resuming {
		extra = int(share * float64(extra))
		for i := range loads {
			loads[i].Slots = int(math.Ceil(share * float64(loads[i].Slots)))
		}
	}
	if req.isLate() && s.isRecovering(now) {
		extra = 0
		for i := range loads {
			loads[i].Slots = int(math.Ceil(lateSlotShare * float64(loads[i].Slots)))
		}
	}
	pick.EstimateArrivals(loads, extra, s.sends.at(now))
	at, verdict := pick.Choose(loads, extra, s.random.Uint64())
	if verdict != pick.Chosen {
		return nil, verdict
	}
	return s.endpoints[at], verdict
}

// limitExtra returns how many of extra requests beyond the slots of an endpoint can begin
// within a time, zero for no limit. The caller must hold s.mu.
func (s *Service) limitExtra(extra int, maxWait time.Duration) int {
	if maxWait <= 0 || s.meanRunTime <= 0 || len(s.endpoints) == 0 {
		return extra
	}
	slots := 0
	for _, e := range s.endpoints {
		slots += e.slots
	}
	// A slot of an endpoint becomes free each meanRunTime / slots.
	freed := float64(maxWait) / float64(s.meanRunTime) * float64(slots) / float64(len(s.endpoints))
	return min(extra, int(freed))
}

// HasCapacity reports whether a request could be assigned to an endpoint now.
func (s *Service) HasCapacity(req Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, verdict := s.choose(req, s.now())
	return verdict == pick.Chosen
}

// assign chooses an endpoint for a request and counts the request there. The caller
// must hold s.mu.
func (s *Service) assign(req Request, now time.Time) (Assignment, pick.Verdict) {
	e, verdict := s.choose(req, now)
	if len(req.Tried) == 0 {
		s.trackOutage(verdict == pick.NoneAvailable, now)
	}
	if verdict != pick.Chosen {
		return Assignment{}, verdict
	}
	e.own++
	e.takeFromLimit(now)
	e.ramp.RecordSend(now)
	s.sends.add(now)
	if e.isCold(now) {
		e.coldSends = append(e.coldSends, now)
	}
	return Assignment{endpoint: e, spec: e.spec, assignedAt: now}, pick.Chosen
}

// RecordGroupRefusal records that an endpoint refused a request. If it is a rank, and this
// entry's requests don't fill its slots, it is taken to have refused because its group isn't
// running. Requests of other entries aren't considered.
func (s *Service) RecordGroupRefusal(assignment Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(assignment, pace.Refused, s.now())
	if s.isModelService && assignment.endpoint.own < assignment.endpoint.slots {
		s.groupRefusedAt = s.now()
	}
}

// Release ends an assignment, after the request has completed or failed.
func (s *Service) Release(assignment Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	assignment.endpoint.own--
	s.completions.add(now)
	s.assignWaiting(now)
}

// RecordSuccess records a response that shows that the endpoint works, and reduces the
// endpoint's failure score by 30 %.
func (s *Service) RecordSuccess(assignment Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, e := s.now(), assignment.endpoint
	s.hasServed = true
	if runTime := now.Sub(assignment.assignedAt); s.meanRunTime == 0 {
		s.meanRunTime = runTime
	} else {
		s.meanRunTime += time.Duration(runTimeWeight * float64(runTime-s.meanRunTime))
	}
	e.failures, e.failuresUpdatedAt = e.failureScore(now)*0.7, now
	s.recordResponseTime(assignment, false, now)
	s.observe(assignment, pace.Served, now)
	if e.ejected && e.failures < restoreThreshold {
		e.ejected = false
		s.startRamp(e, now, "serves again")
		event.EndpointTrusted.Log(s.logger, zap.String("endpoint", e.spec.ID()))
	}
}

// RecordFailure records a failed attempt that points to a fault of the endpoint.
func (s *Service) RecordFailure(assignment Assignment, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := assignment.endpoint, s.now()
	e.addFailure(1, now)
	s.observe(assignment, pace.Failed, now)
	s.recordResponseTime(assignment, true, now)
	if !e.ejected && e.failures >= ejectThreshold {
		e.ejected = true
		event.EndpointShunned.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", reason),
			zap.Float64("failures", e.failures))
	}
}

// RecordErrorResponse records an error response, which is only weak evidence of a
// fault of the endpoint.
func (s *Service) RecordErrorResponse(assignment Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	assignment.endpoint.addFailure(errorResponseWeight, s.now())
	s.observe(assignment, pace.Failed, s.now())
}

// RecordLeaving records that an endpoint has said that it leaves. It gets no more requests
// unless it restarts.
func (s *Service) RecordLeaving(assignment Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := assignment.endpoint
	if e.saidLeaving {
		return
	}
	if !e.draining {
		event.EndpointLeaving.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("source", "its answer"))
	}
	e.saidLeaving = true
	e.setDraining(true, s.now())
	s.updateSubset(s.now())
}

// RecordPause records that an endpoint has turned a request away and wants no more for the
// given time.
func (s *Service) RecordPause(assignment Assignment, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := assignment.endpoint
	until := s.now().Add(pause)
	if !until.After(e.pausedUntil) {
		return
	}
	e.pausedUntil = until
	s.startRamp(e, until, "pause")
	event.EndpointPaused.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.Duration("pause", pause))
}

// LeavingSince returns when it became known that the endpoint of an assignment is draining, has
// said that it leaves, or is no longer registered, zero if it isn't leaving.
func (s *Service) LeavingSince(assignment Assignment) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return assignment.endpoint.leavingSince
}

// Tick restores ejected endpoints whose failures have decayed, discards a silent agent's
// report that its endpoint accepts no requests, and assigns queued requests. It must be
// called several times per second.
func (s *Service) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range s.endpoints {
		if e.ejected && e.failureScore(now) < restoreThreshold {
			e.ejected = false
			s.startRamp(e, now, "failure score decayed")
			event.EndpointTrusted.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.String("reason", "failure score decayed"))
		}
		if e.notAccepting && e.hasAgentTimedOut(now) {
			e.notAccepting = false
		}
	}
	if s.anySlow {
		// A rank is readmitted in time also while the entry has no requests.
		s.loads(nil, now)
	}
	s.updateSubset(now)
	s.assignWaiting(now)
}

// UpdateFromResponse sets an endpoint's load from the header of its response, unless
// an agent has ever reported on the endpoint.
func (s *Service) UpdateFromResponse(assignment Assignment, running, waiting, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := assignment.endpoint
	if e.hasAgent {
		return
	}
	e.reported, e.ownAtReport, e.reportedAt = running+waiting, e.own, s.now()
	if slots > 0 {
		e.slots = slots
	}
}

// UpdateFromAgent sets the load of the endpoint at an IP address from its agent's
// report. It returns false if the service has no endpoint at that address.
func (s *Service) UpdateFromAgent(from netip.Addr, report AgentReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range s.endpoints {
		if e.spec.Address().Addr() != from {
			continue
		}
		if !e.hasAgent {
			e.hasAgent = true
			event.AgentHeard.Log(s.logger, zap.String("endpoint", e.spec.ID()))
		}
		e.reported, e.ownAtReport, e.reportedAt = report.Running+report.Waiting, e.own, now
		e.agentsKnown, e.entries = report.AgentsKnown, report.Entries
		if report.Accepting && e.notAccepting {
			s.groupRefusedAt = time.Time{}
			s.startRamp(e, now, "accepts again")
		}
		e.notAccepting = !report.Accepting
		e.pace, e.passInterval = max(1, report.Pace), report.PassInterval
		s.assignWaiting(now)
		return true
	}
	return false
}

// AgentsKnown returns, by host address, the fingerprint of the set of agents that the
// host's agent knows. It leaves out silent agents.
func (s *Service) AgentsKnown() map[netip.Addr]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, known := s.now(), make(map[netip.Addr]uint32)
	for _, e := range s.endpoints {
		if e.hasFreshReport(now) {
			known[e.spec.Address().Addr()] = e.agentsKnown
		}
	}
	return known
}

// IsAgentSilent reports whether the agent of an assignment's endpoint has reported
// before, but not within stalledAgentTimeout, as when its host hangs or is partitioned
// off.
func (s *Service) IsAgentSilent(assignment Assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return assignment.endpoint.hasAgent && s.now().Sub(assignment.endpoint.reportedAt) > stalledAgentTimeout
}
