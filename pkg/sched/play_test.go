package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// playTeams is the number of teams in a play.
const playTeams = 8

// playKind is a kind of request in a play.
type playKind struct {
	perSecond float64
	target    time.Duration
	priority  int
}

// play plays a load through several entries in front of a small group whose passes follow the
// engine's formula, with a simulated clock.
type play struct {
	kinds          []playKind
	entries, ranks int
	// load is the factor of the load of a kind at a time since the start, and skew that of the
	// work of experts.
	load func(kind int, at time.Duration) float64
	skew func(at time.Duration) float64
	// separated is set if the most urgent requests and the others get to different entries.
	separated bool
	// configure changes the services, or nil.
	configure func([]*Service)
	// exchange runs each hello period, or is nil.
	exchange func(*play)

	now      time.Time
	random   *rand.Rand
	services []*Service
	queues   [][]*playRequest // by rank, running ones first
	running  []int            // by rank
	waiting  []*playRequest
	returns  []*playRequest
	all      []*playRequest
	passEnd  time.Time
	passTime time.Duration
}

// playRequest is a request in a play.
type playRequest struct {
	kind, entry, team, prompt, events, unread, got int
	arrived, first, last, back                     time.Time
	attempts                                       int
	longestGap                                     time.Duration
	done                                           bool
	waiter                                         *Waiter
	until                                          time.Time
	assignment                                     Assignment
}

// newPlay returns a play of three kinds of request on 12 ranks, with 1.7 of skew and 6 entries.
func newPlay() *play {
	return &play{
		kinds:   []playKind{{20.4, 400 * time.Millisecond, 0}, {9, 400 * time.Millisecond, 1}, {15.4, time.Second, 2}},
		entries: 6, ranks: 12,
		load: func(int, time.Duration) float64 { return 1 },
		skew: func(time.Duration) float64 { return 1.7 },
	}
}

// value is 1 for a response on time, 0.4 for a late one and 0 for none.
func (p *play) value(r *playRequest) float64 {
	switch {
	case !r.done:
		return 0
	case r.first.Sub(r.arrived) <= p.kinds[r.kind].target && r.longestGap <= 120*time.Millisecond:
		return 1
	default:
		return 0.4
	}
}

// mean returns the mean value of the requests that arrived in a span and fulfil a condition.
func (p *play) mean(from, to time.Duration, include func(*playRequest) bool) float64 {
	sum, count := 0.0, 0.0
	for _, r := range p.all {
		if at := r.arrived.Sub(time.Unix(1000, 0)); at >= from && at < to && include(r) {
			sum += p.value(r)
			count++
		}
	}
	return sum / math.Max(1, count)
}

// run plays requests that arrive within a span, and goes on until they have ended.
func (p *play) run(span time.Duration, seed uint64) {
	const step, report = 2 * time.Millisecond, 100 * time.Millisecond
	start := time.Unix(1000, 0)
	p.now, p.random = start, rand.New(rand.NewPCG(seed, 1))
	p.queues, p.running = make([][]*playRequest, p.ranks), make([]int, p.ranks)
	var specs []*table.Endpoint
	for i := range p.ranks {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "model", Address: address, DataCentre: "here", Slots: 10}))
	}
	for i := range p.entries {
		s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return p.now }), WithRandom(rand.NewPCG(seed, uint64(i+2))),
			WithOtherEntries(func() int { return p.entries - 1 }))
		s.SetGapTarget(120 * time.Millisecond)
		s.SetEngine(testEngine())
		s.Update(specs, true, func(string) bool { return false }, 1)
		p.services = append(p.services, s)
	}
	if p.configure != nil {
		p.configure(p.services)
	}
	for at := time.Duration(0); at < span+10*time.Second; at += step {
		p.now = start.Add(at)
		for kind, k := range p.kinds {
			if at < span && p.random.Float64() < k.perSecond*p.load(kind, at)*step.Seconds() {
				r := &playRequest{kind: kind, entry: p.random.IntN(p.entries), arrived: p.now, team: p.random.IntN(playTeams)}
				r.prompt, r.events = 674+p.random.IntN(287), 10+p.random.IntN(27)
				if p.separated {
					r.entry = p.random.IntN(p.entries/2) + p.entries/2*min(kind, 1)
				}
				p.all = append(p.all, r)
				p.admit(r)
			}
		}
		p.takeWaiting()
		if !p.now.Before(p.passEnd) {
			p.pass(at)
		}
		for rank := range p.ranks {
			if (at+time.Duration(rank)*step)%report == 0 {
				for _, s := range p.services {
					s.UpdateFromAgent(specs[rank].Address().Addr(), AgentReport{
						Accepting: true, Running: p.running[rank],
						Waiting: len(p.queues[rank]) - p.running[rank], PassInterval: p.passTime.Truncate(time.Millisecond), Entries: p.entries,
					})
				}
			}
		}
		if at%(200*time.Millisecond) == 0 {
			if p.exchange != nil {
				p.exchange(p)
			}
			for _, s := range p.services {
				s.Tick()
			}
		}
	}
}

// sendHellos has each entry send its level to all others but one.
func sendHellos(p *play) {
	for from, sender := range p.services {
		pressure, ok := sender.UpdatePressure()
		if !ok {
			continue
		}
		for to, receiver := range p.services {
			if to != from && to != (from+1)%p.entries {
				receiver.ReceivePressure(fmt.Sprint(from), pressure)
			}
		}
	}
}

// admit has a request arrive at its entry, for the first time or again.
func (p *play) admit(r *playRequest) {
	r.attempts++
	s, k := p.services[r.entry], p.kinds[r.kind]
	req := Request{
		Priority: k.priority, ClientRetry: r.attempts > 1, MaxWait: s.MaxWait(k.target), MaxEndpointWait: k.target,
		PromptTokens: r.prompt,
	}
	if req.ClientRetry {
		req.MaxWait = RetryQueueWait
	}
	assignment, w, err := s.Admit(req)
	switch {
	case err != nil:
		p.refuse(r, err)
	case w != nil:
		r.waiter, r.until = w, p.now.Add(req.MaxWait)
		p.waiting = append(p.waiting, r)
	default:
		p.send(r, assignment)
	}
}

// refuse has a refused caller return once, at the time that it is told.
func (p *play) refuse(r *playRequest, err error) {
	if r.attempts == 1 {
		r.back, r.entry = p.now.Add(p.services[r.entry].RetryAfter(err)), p.random.IntN(p.entries)
		p.returns = append(p.returns, r)
	}
}

func (p *play) send(r *playRequest, assignment Assignment) {
	r.assignment, r.unread = assignment, r.prompt
	rank := int(assignment.spec.Address().Addr().As4()[3]) - 1
	p.queues[rank] = append(p.queues[rank], r)
}

// takeWaiting sends queued requests that were assigned, refuses those whose time is over, and
// has callers return.
func (p *play) takeWaiting() {
	waiting := p.waiting
	p.waiting = nil
	for _, r := range waiting {
		switch {
		case len(r.waiter.Assigned()) > 0:
			p.send(r, <-r.waiter.Assigned())
		case p.now.After(r.until):
			_, err := p.services[r.entry].Cancel(r.waiter, ErrQueueTimeout)
			p.refuse(r, err)
		default:
			p.waiting = append(p.waiting, r)
		}
	}
	returns := p.returns
	p.returns = nil
	for _, r := range returns {
		if p.now.Before(r.back) {
			p.returns = append(p.returns, r)
		} else {
			p.admit(r)
		}
	}
}

// pass ends a pass, in which each stream whose prompt was read gets an event, and begins the
// next one.
func (p *play) pass(at time.Duration) {
	const step, perSequence, perToken = 5.85, 0.426, 1 / 61.2
	sumRunning, sumRead, mostOwn := 0.0, 0.0, 0.0
	for rank, queue := range p.queues {
		kept := queue[:0]
		for i, r := range queue {
			if i < p.running[rank] && r.unread == 0 {
				p.event(r)
			}
			if r.done {
				p.services[r.entry].RecordSuccess(r.assignment)
				p.services[r.entry].Release(r.assignment)
				continue
			}
			kept = append(kept, r)
		}
		p.queues[rank] = kept
		slices.SortStableFunc(kept[min(len(kept), p.running[rank]):], func(a, b *playRequest) int { return a.kind - b.kind })
		p.running[rank] = min(10, len(kept))
		left := 6 * 512
		for _, r := range kept[:p.running[rank]] {
			read := min(left, r.unread)
			left -= read
			r.unread -= read
		}
		running, read := float64(p.running[rank]), float64(6*512-left)
		sumRunning += running
		sumRead += read
		mostOwn = max(mostOwn, 6*perSequence*running+read*perToken)
	}
	mean := (6*perSequence*sumRunning + sumRead*perToken) / float64(p.ranks)
	pass := time.Duration((6*step + 0.15*mostOwn + 0.85*p.skew(at)*mean) * float64(time.Millisecond))
	p.passEnd = p.now.Add(pass)
	p.passTime = (2*p.passTime + pass) / 3
	if sumRunning == 0 {
		p.passTime = 0
	}
}

// event delivers the next event of a stream.
func (p *play) event(r *playRequest) {
	if r.got++; r.got == 1 {
		r.first = p.now
		p.services[r.entry].RecordFirstEvent(r.assignment)
	} else {
		r.longestGap = max(r.longestGap, p.now.Sub(r.last))
	}
	r.last, r.done = p.now, r.got == r.events
}

// during returns a load or a skew that has another value from the fourth to the ninth second.
func during(usual, then float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 9*time.Second {
			return then
		}
		return usual
	}
}

// TestOverloadIsBorneByTheLeastUrgent plays overloads through six entries. It guards against
// most urgent requests that aren't on time though the group could serve them, against kinds,
// teams and long requests that starve, and against fewer responses on time in total. Before
// requests were held back, the values with these seeds were 1.000, 0.779, 0.930, 0.854, 0.903
// and 0.525.
func TestOverloadIsBorneByTheLeastUrgent(t *testing.T) {
	const span, seeds = 14 * time.Second, 3
	testCases := []struct {
		name            string
		all, mostUrgent float64
		skew            float64
		least           float64
		urgentFits      bool
	}{
		{name: "usual load", all: 1, mostUrgent: 1, skew: 1.7, least: 0.99, urgentFits: true},
		{name: "more of all kinds", all: 1.7, mostUrgent: 1.7, skew: 1.7, least: 0.82, urgentFits: true},
		{name: "more of the most urgent kind", all: 1, mostUrgent: 2, skew: 1.7, least: 0.92, urgentFits: true},
		{name: "as much of the most urgent kind as the group serves", all: 1, mostUrgent: 2.4, skew: 1.7, least: 0.87},
		{name: "passes near the gap target", all: 1, mostUrgent: 1, skew: 2.8, least: 0.93, urgentFits: true},
		{name: "more of all kinds and long passes", all: 1.7, mostUrgent: 1.7, skew: 2.8, least: 0.6},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			value, urgent := 0.0, 0.0
			var all []*playRequest
			for seed := range uint64(seeds) {
				p := newPlay()
				p.skew = during(1.7, tc.skew)
				p.load = func(kind int, at time.Duration) float64 {
					if kind == 0 {
						return during(1, tc.mostUrgent)(at)
					}
					return during(1, tc.all)(at)
				}
				p.run(span, seed)
				value += p.mean(0, span, func(*playRequest) bool { return true }) / seeds
				urgent += p.mean(4*time.Second, 10*time.Second, func(r *playRequest) bool { return r.kind == 0 }) / seeds
				all = append(all, p.all...)
			}
			t.Logf("value %.3f, of the most urgent kind in the overload %.3f", value, urgent)
			require.GreaterOrEqual(t, value, tc.least)
			if tc.urgentFits {
				require.GreaterOrEqual(t, urgent, 0.95)
			}
			served := func(include func(*playRequest) bool) float64 {
				done, count := 0.0, 0.0
				for _, r := range all {
					if include(r) {
						count++
						if r.done {
							done++
						}
					}
				}
				return done / count
			}
			mean := served(func(*playRequest) bool { return true })
			for kind := range 3 {
				ofKind := served(func(r *playRequest) bool { return r.kind == kind })
				require.GreaterOrEqual(t, ofKind, mean/4, "kind %d", kind)
				longest := served(func(r *playRequest) bool { return r.kind == kind && r.prompt > 930 })
				require.GreaterOrEqual(t, longest, ofKind/2, "long requests of kind %d", kind)
			}
			for team := range playTeams {
				require.GreaterOrEqual(t, served(func(r *playRequest) bool { return r.team == team }), mean/4, "team %d", team)
			}
		})
	}
}
