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

// ServerSlots is the number of slots of a Server.
const ServerSlots = 6

// Server is an endpoint of a plain service.
type Server struct {
	// RunTime is the mean time of a request from WarmAt on, and ColdTime before.
	RunTime, ColdTime time.Duration
	WarmAt            time.Time
	// Refuses and Fails are set while the server refuses requests or answers with errors, both
	// at once.
	Refuses, Fails bool

	spec             *table.Endpoint
	running, waiting []*call
	highest          int
	sent             []time.Time
	// last is the last assignment to the server by each entry that has one.
	last map[*sched.Service]sched.Assignment
}

// call is a request at a server.
type call struct {
	service    *sched.Service
	assignment sched.Assignment
	arrivedAt  time.Time
	endsAt     time.Time
}

// Highest returns the highest number of requests that were at the server.
func (v *Server) Highest() int { return v.highest }

// Sent returns how many requests the server got between two times.
func (v *Server) Sent(from, to time.Time) int {
	count := 0
	for _, at := range v.sent {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// MostSent returns the largest number of requests that the server got within a span.
func (v *Server) MostSent(span time.Duration) int {
	most, first := 0, 0
	for last := range v.sent {
		for v.sent[last].Sub(v.sent[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Site is a plain service that several entries use.
type Site struct {
	now      time.Time
	random   *rand.Rand
	services []*sched.Service
	servers  []*Server
	// demand is the number of requests per second, of the first entries, as many as are active.
	demand float64
	active int
	// refused and times are the refusals and response times of the last run.
	refused int
	times   []time.Duration
}

// NewSite returns a site without servers.
func NewSite(seed uint64, demand float64, entries int, options ...sched.Option) *Site {
	p := &Site{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, seed)), demand: demand, active: entries}
	for entry := range uint64(entries) {
		p.services = append(p.services, sched.New("plain", "here", zap.NewNop(), append([]sched.Option{
			sched.WithClock(func() time.Time { return p.now }), sched.WithRandom(rand.NewPCG(seed, entry)),
			sched.WithOtherEntries(func() int { return entries - 1 }),
		}, options...)...))
	}
	return p
}

// SetActive sets how many entries have requests. At first all have.
func (p *Site) SetActive(entries int) { p.active = entries }

// Now returns the simulated time.
func (p *Site) Now() time.Time { return p.now }

// Refused returns the number of requests that were refused in the last run.
func (p *Site) Refused() int { return p.refused }

// Within returns the share of the requests that ended in the last run which were served
// within a target.
func (p *Site) Within(target time.Duration) float64 {
	count := 0
	for _, took := range p.times {
		if took <= target {
			count++
		}
	}
	return float64(count) / float64(len(p.times)+p.refused)
}

// Add registers a server at all entries. It is marked as cold for coldFor.
func (p *Site) Add(runTime, coldFor time.Duration) *Server {
	n := len(p.servers)
	server := &Server{
		RunTime: runTime, last: make(map[*sched.Service]sched.Assignment),
		spec: table.NewEndpoint(table.EndpointSpec{
			ID: fmt.Sprint(n), Service: "plain", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80),
			Slots: ServerSlots, ColdFor: coldFor,
		}),
	}
	p.servers = append(p.servers, server)
	specs := make([]*table.Endpoint, 0, len(p.servers))
	for _, v := range p.servers {
		specs = append(specs, v.spec)
	}
	for _, s := range p.services {
		s.Update(specs, false, func(string) bool { return false }, 1)
	}
	return server
}

// Pause has all entries that have used a server learn that it wants no requests for a time.
func (p *Site) Pause(server *Server, pause time.Duration) {
	for s, assignment := range server.last {
		s.RecordPause(assignment, pause)
	}
}

// Run plays the given time.
func (p *Site) Run(span time.Duration) {
	p.refused, p.times = 0, nil
	for end := p.now.Add(span); p.now.Before(end); p.now = p.now.Add(step) {
		if p.random.Float64() < p.demand*step.Seconds() {
			p.arrive()
		}
		for _, server := range p.servers {
			p.advance(server)
		}
		if p.now.UnixMilli()%reportInterval.Milliseconds() == 0 {
			for _, s := range p.services {
				s.Tick()
			}
		}
	}
}

func (p *Site) arrive() {
	s := p.services[p.random.IntN(p.active)]
	assignment, w, err := s.Admit(sched.Request{})
	if w != nil {
		assignment, err = s.Cancel(w, sched.ErrFull)
	}
	if err != nil {
		p.refused++
		return
	}
	at := slices.IndexFunc(p.servers, func(v *Server) bool { return v.spec == assignment.Endpoint() })
	server := p.servers[at]
	server.waiting = append(server.waiting, &call{service: s, assignment: assignment, arrivedAt: p.now})
	server.sent = append(server.sent, p.now)
	server.last[s] = assignment
}

// advance ends the requests of a server that are due and starts others.
func (p *Site) advance(server *Server) {
	server.highest = max(server.highest, len(server.running)+len(server.waiting))
	for i := 0; i < len(server.running); i++ {
		if c := server.running[i]; !p.now.Before(c.endsAt) {
			server.running = slices.Delete(server.running, i, i+1)
			i--
			p.end(server, c)
		}
	}
	for len(server.waiting) > 0 && len(server.running) < ServerSlots {
		c := server.waiting[0]
		server.waiting = server.waiting[1:]
		runTime := server.RunTime
		switch {
		case server.Refuses || server.Fails:
			runTime = step
		case p.now.Before(server.WarmAt):
			runTime = server.ColdTime
		}
		// The work of requests differs by half.
		c.endsAt = p.now.Add(time.Duration((0.5 + p.random.Float64()) * float64(runTime)))
		server.running = append(server.running, c)
	}
}

// end tells the entry of a request how it has ended.
func (p *Site) end(server *Server, c *call) {
	s := c.service
	s.UpdateFromResponse(c.assignment, len(server.running), len(server.waiting), ServerSlots)
	s.Release(c.assignment)
	switch {
	case server.Refuses:
		s.RecordGroupRefusal(c.assignment)
	case server.Fails:
		s.RecordErrorResponse(c.assignment)
	default:
		s.RecordSuccess(c.assignment)
		p.times = append(p.times, p.now.Sub(c.arrivedAt))
	}
}
