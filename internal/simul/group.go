package simul

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/table"
)

const (
	// step is the time between two states of a simulation.
	step = time.Millisecond
	// reportInterval is the interval of agents' reports and of calls of sched.Service.Tick.
	reportInterval = 100 * time.Millisecond
)

// The engine and the streams of a group.
const (
	groupSlots       = 10
	stepsPerPass     = 6
	stepTime         = 5.85  // ms
	decodeTime       = 0.426 // ms for each request in each step
	prefillRate      = 61.2  // tokens per ms
	prefillPerStep   = 512   // tokens
	promptTokens     = 800
	eventsPerStream  = 23
	gapTarget        = 120 * time.Millisecond
	latencyTarget    = 400 * time.Millisecond
	streamsPerSecond = 3.7 // of each rank
)

// Stream is a caller's stream.
type Stream struct {
	service    *sched.Service
	waiter     *sched.Waiter
	assignment sched.Assignment
	arrivedAt  time.Time
	lastEvent  time.Time
	// prompt is the number of tokens that the rank hasn't read yet.
	prompt  float64
	events  int
	late    bool
	refused bool
}

// Group is a group of ranks on which several entries schedule streams. A pass lasts as long as
// the slowest rank's own part, which grows with its streams and the prompts that it reads.
type Group struct {
	now      time.Time
	random   *rand.Rand
	specs    []*table.Endpoint
	services []*sched.Service
	// ranks has the streams at each rank, of which the first groupSlots run.
	ranks   [][]*Stream
	paces   []float64
	queued  []*Stream
	pass    time.Duration
	passEnd time.Time
}

// NewGroup returns a group without load.
func NewGroup(seed uint64, ranks, entries int) *Group {
	g := &Group{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, uint64(ranks))),
		ranks: make([][]*Stream, ranks), paces: slices.Repeat([]float64{1}, ranks),
	}
	for i := range ranks {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		g.specs = append(g.specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "model", Address: address, Slots: groupSlots}))
	}
	for entry := range uint64(entries) {
		s := sched.New("model", "here", zap.NewNop(), sched.WithClock(func() time.Time { return g.now }),
			sched.WithRandom(rand.NewPCG(1, entry)), sched.WithOtherEntries(func() int { return entries - 1 }))
		s.SetGapTarget(gapTarget)
		s.Update(g.specs, true, func(string) bool { return false }, 1)
		g.services = append(g.services, s)
	}
	return g
}

// SetPace sets how many times slower a rank is, and reports that it is.
func (g *Group) SetPace(rank int, pace float64) { g.paces[rank] = pace }

// Running returns the number of streams at a rank.
func (g *Group) Running(rank int) int { return len(g.ranks[rank]) }

// Run plays the given time and returns the streams that arrived in it.
func (g *Group) Run(span time.Duration) []*Stream {
	var streams []*Stream
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(step) {
		if g.random.Float64() < streamsPerSecond*float64(len(g.ranks))*step.Seconds() {
			streams = append(streams, g.arrive())
		}
		g.report()
		g.queued = slices.DeleteFunc(g.queued, g.leavesQueue)
		if !g.now.Before(g.passEnd) {
			g.finishPass()
		}
	}
	return streams
}

// OnTime returns the share of streams that were on time as far as they have got.
func (g *Group) OnTime(streams []*Stream) float64 {
	count := 0
	for _, c := range streams {
		if !c.refused && !c.late && (c.events > 0 || g.now.Sub(c.arrivedAt) <= latencyTarget) {
			count++
		}
	}
	return float64(count) / float64(len(streams))
}

func (g *Group) arrive() *Stream {
	c := &Stream{service: g.services[g.random.IntN(len(g.services))], arrivedAt: g.now, prompt: promptTokens}
	assignment, w, err := c.service.Admit(sched.Request{MaxWait: latencyTarget / 4, MaxEndpointWait: latencyTarget})
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

func (g *Group) assign(c *Stream, assignment sched.Assignment) {
	c.assignment = assignment
	rank := slices.Index(g.specs, assignment.Endpoint())
	g.ranks[rank] = append(g.ranks[rank], c)
}

// report delivers the agents' reports that are due, which come at different moments.
func (g *Group) report() {
	due := g.now.UnixMilli() % reportInterval.Milliseconds()
	for i, streams := range g.ranks {
		if due != int64(i)%reportInterval.Milliseconds() {
			continue
		}
		running := min(groupSlots, len(streams))
		for _, s := range g.services {
			s.UpdateFromAgent(g.specs[i].Address().Addr(), sched.AgentReport{
				Running: running, Waiting: len(streams) - running, Pace: g.paces[i], Accepting: true,
				Entries: len(g.services), PassInterval: g.pass,
			})
		}
	}
	if due == 0 {
		for _, s := range g.services {
			s.Tick()
		}
	}
}

// leavesQueue assigns a queued stream that has got a rank, or refuses it after its longest wait.
func (g *Group) leavesQueue(c *Stream) bool {
	select {
	case assignment := <-c.waiter.Assigned():
		g.assign(c, assignment)
		return true
	default:
	}
	if g.now.Sub(c.arrivedAt) <= latencyTarget/4 {
		return false
	}
	if assignment, err := c.service.Cancel(c.waiter, sched.ErrQueueTimeout); err == nil {
		g.assign(c, assignment)
	} else {
		c.refused = true
	}
	return true
}

// finishPass gives each running stream its event of the pass that ends, and starts the next
// pass.
func (g *Group) finishPass() {
	g.pass = step
	for rank, streams := range g.ranks {
		for _, c := range streams[:min(groupSlots, len(streams))] {
			if c.prompt == 0 {
				g.addEvent(c)
			}
		}
		g.ranks[rank] = slices.DeleteFunc(streams, func(c *Stream) bool { return c.events == eventsPerStream })
		g.pass = max(g.pass, g.startPart(rank))
	}
	g.passEnd = g.now.Add(g.pass)
}

// addEvent gives a stream an event, and ends it after the last one.
func (g *Group) addEvent(c *Stream) {
	if c.events == 0 {
		c.late = g.now.Sub(c.arrivedAt) > latencyTarget
	} else {
		c.late = c.late || g.now.Sub(c.lastEvent) > gapTarget
	}
	c.events, c.lastEvent = c.events+1, g.now
	if c.events == eventsPerStream {
		c.service.RecordSuccess(c.assignment)
		c.service.Release(c.assignment)
	}
}

// startPart reads prompts and returns the duration of a rank's part of the next pass.
func (g *Group) startPart(rank int) time.Duration {
	running := g.ranks[rank][:min(groupSlots, len(g.ranks[rank]))]
	if len(running) == 0 {
		return 0
	}
	prefill := 0.0
	for _, c := range running {
		read := min(c.prompt, stepsPerPass*prefillPerStep-prefill)
		c.prompt -= read
		prefill += read
	}
	ms := stepsPerPass*(stepTime+decodeTime*float64(len(running))) + prefill/prefillRate
	return time.Duration(g.paces[rank] * ms * float64(time.Millisecond))
}
