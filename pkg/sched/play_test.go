package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Dimensions of a play, and the load per second and the latency targets of its kinds of request,
// the most urgent first. The first of the teams has more than half of the requests.
const playEntries, playRanks, playTeams, playSpan = 6, 12, 8, 14 * time.Second

var (
	playRates   = []float64{20.4, 9, 15.4}
	playTargets = []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, time.Second}
)

// play plays a load through several entries in front of a small group whose passes follow the
// engine's formula, with a simulated clock.
type play struct {
	// mostUrgent and others are the factors of the load, and skew that of the work of experts,
	// from the fourth to the ninth second. At other times they are 1, 1 and 1.7.
	mostUrgent, others, skew float64
	// stall is by how much one pass in three seconds is longer, as in a switch of the expert map.
	stall time.Duration
	// separated is set if the most urgent requests and the others get to different entries.
	separated bool
	// exchange runs each hello period, or is nil.
	exchange func(*play)

	now      time.Time
	random   *rand.Rand
	services []*Service
	// queues are the requests at each rank, of which the first ones run.
	queues            [playRanks][]*playRequest
	running           [playRanks]int
	outside, all      []*playRequest
	passEnd           time.Time
	passTime, elapsed time.Duration
	stalls            time.Duration
}

// playRequest is a request in a play. At a time after due it is refused if it is queued, and
// otherwise returns to an entry.
type playRequest struct {
	kind, entry, team, prompt, unread, events, got, attempts int
	arrived, last, due                                       time.Time
	first, longestGap                                        time.Duration
	waiter                                                   *Waiter
	assignment                                               Assignment
}

func (r *playRequest) isDone() bool { return r.got == r.events }

// value is 1 for a response on time, 0.4 for a late one and 0 for none.
func (r *playRequest) value() float64 {
	switch {
	case !r.isDone():
		return 0
	case r.first > playTargets[r.kind] || r.longestGap > 120*time.Millisecond:
		return 0.4
	default:
		return 1
	}
}

// isServed is 1 for a whole response and 0 for none.
func (r *playRequest) isServed() float64 { return float64(min(1, r.got/r.events)) }

// mean returns the mean of a value over the requests that fulfil a condition.
func mean(requests []*playRequest, value func(*playRequest) float64, include func(*playRequest) bool) float64 {
	sum, count := 0.0, 0.0
	for _, r := range requests {
		if include(r) {
			sum += value(r)
			count++
		}
	}
	return sum / count
}

// factor returns the value that a factor has now.
func (p *play) factor(usual, then float64) float64 {
	if p.elapsed >= 4*time.Second && p.elapsed < 9*time.Second {
		return then
	}
	return usual
}

// run plays requests that arrive within playSpan, and goes on until they have ended.
func (p *play) run(seed uint64) {
	const step = 2 * time.Millisecond
	p.now, p.random = time.Unix(1000, 0), rand.New(rand.NewPCG(seed, 1))
	for i := range playEntries {
		s := newGroupService(playRanks, 0, 0, &p.now)
		s.random, s.otherEntries = rand.New(rand.NewPCG(seed, uint64(i+2))), func() int { return playEntries - 1 }
		p.services = append(p.services, s)
	}
	for ; p.elapsed < playSpan+10*time.Second; p.elapsed, p.now = p.elapsed+step, p.now.Add(step) {
		load := p.factor(1, p.mostUrgent)
		for kind, rate := range playRates {
			if p.elapsed < playSpan && p.random.Float64() < rate*load*step.Seconds() {
				r := &playRequest{kind: kind, entry: p.random.IntN(playEntries), arrived: p.now, team: p.random.IntN(playTeams) * p.random.IntN(2)}
				r.prompt, r.events = 674+p.random.IntN(287), 10+p.random.IntN(27)
				if p.separated {
					r.entry = r.entry/2 + playEntries/2*min(kind, 1)
				}
				p.all = append(p.all, r)
				p.admit(r)
			}
			load = p.factor(1, p.others)
		}
		p.moveOutside()
		if !p.now.Before(p.passEnd) {
			p.pass()
		}
		p.report(int(p.elapsed/step) % 50)
		if p.elapsed%(200*time.Millisecond) == 0 {
			if p.exchange != nil {
				p.exchange(p)
			}
			for _, s := range p.services {
				s.Tick()
			}
		}
	}
}

// report has a rank report to all entries, if there is one with this number.
func (p *play) report(rank int) {
	if rank >= playRanks {
		return
	}
	for _, s := range p.services {
		s.UpdateFromAgent(s.endpoints[rank].spec.Address().Addr(), AgentReport{
			Accepting: true, Running: p.running[rank], Waiting: len(p.queues[rank]) - p.running[rank],
			PassInterval: p.passTime.Truncate(time.Millisecond), Entries: playEntries,
		})
	}
}

// admit has a request arrive at its entry, for the first time or again.
func (p *play) admit(r *playRequest) {
	r.attempts++
	s, target := p.services[r.entry], playTargets[r.kind]
	req := Request{
		Priority: r.kind, Team: fmt.Sprint(r.team), PromptTokens: r.prompt,
		ClientRetry: r.attempts > 1, MaxWait: s.MaxWait(target), MaxEndpointWait: target,
	}
	if req.ClientRetry {
		req.MaxWait = RetryQueueWait
	}
	assignment, w, err := s.Admit(req)
	switch {
	case err != nil:
		p.refuse(r, err)
	case w != nil:
		r.waiter, r.due = w, p.now.Add(req.MaxWait)
		p.outside = append(p.outside, r)
	default:
		p.send(r, assignment)
	}
}

// refuse has a refused caller return once, at the time that it is told.
func (p *play) refuse(r *playRequest, err error) {
	if r.waiter = nil; r.attempts == 1 {
		r.due, r.entry = p.now.Add(p.services[r.entry].RetryAfter(err, Caller{Key: p.random.Uint64(), Priority: r.kind})), p.random.IntN(playEntries)
		p.outside = append(p.outside, r)
	}
}

func (p *play) send(r *playRequest, assignment Assignment) {
	r.assignment, r.unread = assignment, r.prompt
	rank := slices.Index(p.services[r.entry].endpoints, assignment.endpoint)
	p.queues[rank] = append(p.queues[rank], r)
}

// moveOutside sends queued requests that were assigned, refuses those whose time is over, and
// has callers return.
func (p *play) moveOutside() {
	outside := p.outside
	p.outside = nil
	for _, r := range outside {
		switch {
		case r.waiter != nil && len(r.waiter.Assigned()) > 0:
			p.send(r, <-r.waiter.Assigned())
		case p.now.Before(r.due):
			p.outside = append(p.outside, r)
		case r.waiter != nil:
			_, err := p.services[r.entry].Cancel(r.waiter, ErrQueueTimeout)
			p.refuse(r, err)
		default:
			p.admit(r)
		}
	}
}

// pass ends a pass, in which each stream whose prompt was read gets an event, and begins the
// next one.
func (p *play) pass() {
	const step, perSequence, perToken, maxRead = 5.85, 0.426, 1 / 61.2, 6 * 512
	sum, mostOwn := 0.0, 0.0
	for rank, queue := range p.queues {
		kept := queue[:0]
		for i, r := range queue {
			if i < p.running[rank] && r.unread == 0 {
				p.event(r)
			}
			if !r.isDone() {
				kept = append(kept, r)
			}
		}
		slices.SortStableFunc(kept[min(len(kept), p.running[rank]):], func(a, b *playRequest) int { return a.kind - b.kind })
		p.queues[rank], p.running[rank] = kept, min(10, len(kept))
		left := maxRead
		for _, r := range kept[:p.running[rank]] {
			read := min(left, r.unread)
			left, r.unread = left-read, r.unread-read
		}
		own := 6*perSequence*float64(p.running[rank]) + float64(maxRead-left)*perToken
		sum, mostOwn = sum+own, max(mostOwn, own)
	}
	pass := time.Duration((6*step + 0.15*mostOwn + 0.85*p.factor(1.7, p.skew)*sum/playRanks) * float64(time.Millisecond))
	if stalls := p.elapsed / (3 * time.Second); stalls > p.stalls {
		p.stalls = stalls
		pass += p.stall
	}
	p.passEnd, p.passTime = p.now.Add(pass), (2*p.passTime+pass)/3
	if sum == 0 {
		p.passTime = 0
	}
}

// event delivers the next event of a stream.
func (p *play) event(r *playRequest) {
	s := p.services[r.entry]
	if r.got++; r.got == 1 {
		r.first = p.now.Sub(r.arrived)
		s.RecordFirstEvent(r.assignment)
	} else {
		r.longestGap = max(r.longestGap, p.now.Sub(r.last))
	}
	if r.last = p.now; r.isDone() {
		s.RecordSuccess(r.assignment)
		s.Release(r.assignment)
	}
}

// playAll plays a load with several seeds. It returns the value of all requests, and that of the
// most urgent ones in the overload.
func playAll(load play, seeds int) (all []*playRequest, value, urgent float64) {
	for seed := range seeds {
		p := load
		p.run(uint64(seed))
		all = append(all, p.all...)
	}
	value = mean(all, (*playRequest).value, func(*playRequest) bool { return true })
	urgent = mean(all, (*playRequest).value, func(r *playRequest) bool {
		at := r.arrived.Sub(time.Unix(1000, 0))
		return r.kind == 0 && at >= 4*time.Second && at < 10*time.Second
	})
	return all, value, urgent
}

// TestOverloadIsBorneByTheLeastUrgent plays overloads through six entries. It guards against
// most urgent requests that aren't on time though the group could serve them, against kinds,
// teams and long requests that starve, and against fewer responses on time in total. All streams
// with a long pass are late.
func TestOverloadIsBorneByTheLeastUrgent(t *testing.T) {
	testCases := []struct {
		name       string
		load       play
		before     float64 // value before requests were held back
		least      float64
		urgentFits bool
	}{
		{"usual load", play{mostUrgent: 1, others: 1, skew: 1.7}, 1, 0.99, true},
		{"more of all kinds", play{mostUrgent: 1.7, others: 1.7, skew: 1.7}, 0.815, 0.84, true},
		{"more of the most urgent kind", play{mostUrgent: 2, others: 1, skew: 1.7}, 0.923, 0.925, true},
		{"as much of the most urgent kind as the group serves", play{mostUrgent: 2.4, others: 1, skew: 1.7}, 0.825, 0.86, false},
		{"passes near the gap target", play{mostUrgent: 1, others: 1, skew: 2.8}, 0.857, 0.93, true},
		{"more of all kinds and long passes", play{mostUrgent: 1.7, others: 1.7, skew: 2.8}, 0.531, 0.62, false},
		{"usual load and single long passes", play{mostUrgent: 1, others: 1, skew: 1.7, stall: 200 * time.Millisecond}, 0.716, 0.68, false},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			all, value, urgent := playAll(tc.load, 4)
			t.Logf("value %.3f, of the most urgent kind in the overload %.3f", value, urgent)
			require.GreaterOrEqual(t, value, tc.least, "before: %v", tc.before)
			if tc.urgentFits {
				require.GreaterOrEqual(t, urgent, 0.95)
			}
			if tc.load.stall > 0 {
				again := mean(all, func(r *playRequest) float64 { return float64(r.attempts - 1) }, func(r *playRequest) bool { return r.kind == 0 })
				require.LessOrEqual(t, again, 0.01, "most urgent requests are refused though the group serves them")
			}
			served := func(include func(*playRequest) bool) float64 { return mean(all, (*playRequest).isServed, include) }
			ofAll := served(func(*playRequest) bool { return true })
			for kind := range playRates {
				ofKind := served(func(r *playRequest) bool { return r.kind == kind })
				require.GreaterOrEqual(t, ofKind, ofAll/4, "kind %d", kind)
				long := served(func(r *playRequest) bool { return r.kind == kind && r.prompt > 930 })
				require.GreaterOrEqual(t, long, ofKind/2, "long requests of kind %d", kind)
			}
			for team := range playTeams {
				require.GreaterOrEqual(t, served(func(r *playRequest) bool { return r.team == team }), ofAll/4, "team %d", team)
			}
		})
	}
}
