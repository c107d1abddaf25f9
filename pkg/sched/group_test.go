package sched

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// call is a caller's stream in a simulation. Its times are zero until they are known.
type call struct {
	service    *Service
	waiter     *Waiter
	assignment Assignment
	arrivedAt  time.Time
	lastEvent  time.Time
	prompt     float64
	events     int
	late       bool
	refused    bool
}

// fakeGroup is a group of ranks in front of which several entries schedule streams, with
// a simulated clock. A pass lasts as long as the slowest rank's own part, which grows with
// its streams and the prompts that it reads.
type fakeGroup struct {
	now      time.Time
	random   *rand.Rand
	specs    []*table.Endpoint
	services []*Service
	ranks    [][]*call
	paces    []float64
	passEnd  time.Time
	pass     time.Duration
	queued   []*call
	silent   map[int]bool
}

// The engine and the streams of the simulation, as of deployment B.
const (
	groupSlots        = 10
	groupSteps        = 6
	stepTime          = 5.85  // ms
	decodeTime        = 0.426 // ms for each request in each step
	prefillRate       = 61.2  // tokens per ms
	maxPrefill        = groupSteps * 512
	promptTokens      = 800
	streamEvents      = 23
	groupGap          = 120 * time.Millisecond
	groupTarget       = 400 * time.Millisecond
	requestsPerRank   = 3.7 // requests per second
	reportsEach       = 100 * time.Millisecond
	simulationStep    = time.Millisecond
	simulationEntries = 12
)

func newFakeGroup(ranks int) *fakeGroup {
	g := &fakeGroup{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, uint64(ranks))),
		ranks: make([][]*call, ranks), paces: slices.Repeat([]float64{1}, ranks), silent: make(map[int]bool),
	}
	for i := range ranks {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		g.specs = append(g.specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "model", Address: address, Slots: groupSlots}))
	}
	for entry := range uint64(simulationEntries) {
		s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return g.now }), WithRandom(rand.NewPCG(1, entry)),
			WithOtherEntries(func() int { return simulationEntries - 1 }))
		s.SetGapTarget(groupGap)
		s.Update(g.specs, true, func(string) bool { return false }, 1)
		g.services = append(g.services, s)
	}
	return g
}

// run plays the given time and returns the streams that arrived in it.
func (g *fakeGroup) run(span time.Duration) []*call {
	var calls []*call
	for end := g.now.Add(span); g.now.Before(end); g.step() {
		if g.random.Float64() < requestsPerRank*float64(len(g.ranks))*simulationStep.Seconds() {
			calls = append(calls, g.arrive())
		}
	}
	return calls
}

// onTime returns the share of the streams that were on time as far as they have got.
func (g *fakeGroup) onTime(calls []*call) float64 {
	count := 0
	for _, c := range calls {
		if !c.refused && !c.late && (c.events > 0 || g.now.Sub(c.arrivedAt) <= groupTarget) {
			count++
		}
	}
	return float64(count) / float64(len(calls))
}

func (g *fakeGroup) arrive() *call {
	c := &call{service: g.services[g.random.IntN(len(g.services))], arrivedAt: g.now, prompt: promptTokens}
	assignment, w, err := c.service.Admit(Request{MaxWait: groupTarget / 4, MaxEndpointWait: groupTarget})
	switch {
	case err != nil:
		c.refused = true
	case w != nil:
		c.waiter = w
		g.queued = append(g.queued, c)
	default:
		g.assign(c, assignment)
	}
	return c
}

func (g *fakeGroup) assign(c *call, assignment Assignment) {
	c.assignment = assignment
	rank := slices.Index(g.specs, assignment.Endpoint())
	g.ranks[rank] = append(g.ranks[rank], c)
}

// step plays one step of the simulation: reports of agents, assignments of queued
// requests, and the end of a pass.
func (g *fakeGroup) step() {
	for i := range g.ranks {
		if g.now.UnixMilli()%reportsEach.Milliseconds() == int64(i)%reportsEach.Milliseconds() && !g.silent[i] {
			running := min(groupSlots, len(g.ranks[i]))
			for _, s := range g.services {
				s.UpdateFromAgent(g.specs[i].Address().Addr(), AgentReport{
					Running: running, Waiting: len(g.ranks[i]) - running, Pace: g.paces[i], Accepting: true,
					Entries: simulationEntries, PassInterval: g.pass,
				})
			}
		}
	}
	if g.now.UnixMilli()%reportsEach.Milliseconds() == 0 {
		for _, s := range g.services {
			s.Tick()
		}
	}
	g.queued = slices.DeleteFunc(g.queued, func(c *call) bool {
		select {
		case assignment := <-c.waiter.Assigned():
			g.assign(c, assignment)
			return true
		default:
		}
		if g.now.Sub(c.arrivedAt) <= groupTarget/4 {
			return false
		}
		if assignment, err := c.service.Cancel(c.waiter, ErrQueueTimeout); err == nil {
			g.assign(c, assignment)
		} else {
			c.refused = true
		}
		return true
	})
	if !g.now.Before(g.passEnd) {
		g.finishPass()
	}
	g.now = g.now.Add(simulationStep)
}

// finishPass gives each stream its event of the pass that ends, and starts the next one.
func (g *fakeGroup) finishPass() {
	g.pass = simulationStep
	for rank, calls := range g.ranks {
		for _, c := range calls[:min(groupSlots, len(calls))] {
			if c.prompt > 0 {
				continue
			}
			if c.events == 0 {
				c.late = g.now.Sub(c.arrivedAt) > groupTarget
			} else {
				c.late = c.late || g.now.Sub(c.lastEvent) > groupGap
			}
			c.events, c.lastEvent = c.events+1, g.now
			if c.events == streamEvents {
				c.service.RecordSuccess(c.assignment)
				c.service.Release(c.assignment)
			}
		}
		g.ranks[rank] = slices.DeleteFunc(calls, func(c *call) bool { return c.events == streamEvents })
		g.pass = max(g.pass, g.startPart(rank))
	}
	g.passEnd = g.now.Add(g.pass)
}

// startPart reads prompts and returns the duration of a rank's part of the next pass.
func (g *fakeGroup) startPart(rank int) time.Duration {
	running := g.ranks[rank][:min(groupSlots, len(g.ranks[rank]))]
	if len(running) == 0 {
		return 0
	}
	prefill := 0.0
	for _, c := range running {
		read := min(c.prompt, maxPrefill-prefill)
		c.prompt -= read
		prefill += read
	}
	ms := groupSteps*(stepTime+decodeTime*float64(len(running))) + prefill/prefillRate
	return time.Duration(g.paces[rank] * ms * float64(time.Millisecond))
}

// TestSlowRankDoesNotSlowItsGroup plays a rank of a group that becomes six times, or twice,
// slower. Without its exclusion, its requests slow the passes of all ranks until it recovers.
func TestSlowRankDoesNotSlowItsGroup(t *testing.T) {
	const ranks, slow = 24, 5
	testCases := []struct {
		pace float64
		// drain is the time in which the requests that the rank had end.
		drain time.Duration
	}{{1, 0}, {2, time.Second}, {6, 6 * time.Second}}
	for _, tc := range testCases {
		t.Run(fmt.Sprint(tc.pace), func(t *testing.T) {
			g := newFakeGroup(ranks)
			g.run(3 * time.Second)
			g.paces[slow] = tc.pace
			drained := g.run(tc.drain)
			during := g.run(8*time.Second - tc.drain)
			running := len(g.ranks[slow])
			g.paces[slow] = 1
			after := g.run(2 * time.Second)
			used := len(g.ranks[slow])
			g.run(2 * time.Second)
			t.Logf("on time: %.3f at first, %.3f then, %.3f afterwards", g.onTime(drained), g.onTime(during), g.onTime(after))
			require.GreaterOrEqual(t, g.onTime(during), 0.97)
			require.GreaterOrEqual(t, g.onTime(after), 0.97)
			require.Equal(t, tc.pace > 1, running == 0, "requests at the slow rank")
			require.NotZero(t, used, "the rank is used again")
		})
	}
}
