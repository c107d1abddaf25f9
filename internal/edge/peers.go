package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// How entries and agents hear of each other.
const (
	// helloPeriod is how often an entry tells others what it has read.
	helloPeriod = 200 * time.Millisecond
	// helloFanout bounds how many entries are told at a time; the others follow.
	helloFanout = 8
	// subscribePeriod is how often agents are asked to go on reporting.
	subscribePeriod = time.Second
	// namesPerAgent is how many entries tell an agent of the others at a time, while it
	// doesn't know them; if all did, a large fleet would flood agents that start.
	namesPerAgent = 4
	// fetchTimeout bounds the wait for a peer's picture.
	fetchTimeout = time.Second
	// fetchAfter is how long a peer's newer revision may be missing before it is
	// fetched: the watch usually brings it sooner.
	fetchAfter = 250 * time.Millisecond
	// deadAfter is the least time for which a member that the store still lists may be
	// silent, if others are heard, before callers are told of it no more. Its lease
	// ends after memberTTL anyway; this is for times when the store is disturbed.
	deadAfter = 2500 * time.Millisecond
	// deadRounds is the same in rounds of hellos, for large fleets: two in a row that
	// are lost say nothing.
	deadRounds = 2.5
)

// peers exchanges news with other entries and with agents.
type peers struct {
	entry *Entry

	mu      sync.Mutex
	heard   map[string]time.Time
	first   time.Time
	ahead   uint64
	aheadAt time.Time
	from    string
	fromAt  netip.AddrPort
	round   rotation
	relay   relayNews
	// wake is signalled when a peer is ahead.
	wake chan struct{}
}

// news is what a peer has read of the store: changes if it is partial, all pairs
// otherwise.
type news struct {
	revision uint64
	partial  bool
	changes  []store.Change
	pairs    []store.Pair
}

// sinceRelay returns how long no entry that watches the store has spoken.
func (p *peers) sinceRelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.relay.at)
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, heard: make(map[string]time.Time), wake: make(chan struct{}, 1), round: newRotation()}
}

// rotation goes round the members, a few at a time. It begins anywhere, so that
// entries that start together don't all tell the same ones.
type rotation struct {
	at int
}

func newRotation() rotation { return rotation{at: rand.IntN(1 << 20)} }

// next returns the members that are due.
func (r *rotation) next(members []table.Member) []table.Member {
	var due []table.Member
	for range min(helloFanout, len(members)) {
		r.at++
		due = append(due, members[r.at%len(members)])
	}
	return due
}

// silence returns how long a member of a fleet may be silent before it counts as
// dead.
func silence(members int) time.Duration {
	ticks := (members + helloFanout - 1) / helloFanout
	return max(deadAfter, time.Duration(deadRounds*float64(ticks)*float64(helloPeriod)))
}

// isAlive reports whether callers may be told of a member: it was heard lately,
// or this entry can't tell.
func (p *peers) isAlive(member table.Member) bool {
	limit := silence(len(p.entry.picture.Load().Members()))
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.heard[member.Name()]) < limit {
		return true
	}
	others := false
	for _, at := range p.heard {
		others = others || now.Sub(at) < limit
	}
	return !others || now.Sub(p.first) < limit
}

// run sends what is due until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.first = time.Now()
	p.mu.Unlock()
	var subscribed time.Time
	for ctx.Err() == nil {
		p.hello()
		now := time.Now()
		due := now.Sub(subscribed) >= subscribePeriod
		if p.subscribe(due) && due {
			subscribed = now
		}
		for next := time.Now().Add(helloPeriod); ctx.Err() == nil; {
			p.catchUp(ctx)
			left := time.Until(next)
			if left <= 0 || !p.wait(ctx, left) {
				break
			}
		}
	}
}

// wait waits for news of a peer, and reports whether some came.
func (p *peers) wait(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-p.wake:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// hello tells the next few members what this entry has read.
func (p *peers) hello() {
	e := p.entry
	message := p.helloMessage(e.follower.revision(), e.follower.isWatching())
	for _, member := range p.round.next(e.picture.Load().Members()) {
		p.tell(member, message)
	}
}

// tellAll tells all members of a revision that was just read, if they rely on it.
func (p *peers) tellAll(revision uint64) {
	members := p.entry.picture.Load().Members()
	if len(members) <= maxWatchers {
		return
	}
	message := p.helloMessage(revision, true)
	for _, member := range members {
		p.tell(member, message)
	}
}

func (p *peers) helloMessage(revision uint64, watching bool) *wirepb.Datagram {
	hello := &wirepb.Hello{
		Name:     p.entry.settings.Load().Name(),
		Revision: revision,
		Suspects: p.entry.crashes.suspects(),
		Watching: watching,
	}
	p.mu.Lock()
	p.relay.tell(hello, time.Now())
	p.mu.Unlock()
	return &wirepb.Datagram{Body: &wirepb.Datagram_Hello{Hello: hello}}
}

// relayNews is when an entry that watches the store was last known to speak, to this
// entry or to others that said so: in a large fleet each one speaks to an entry only
// every few seconds.
type relayNews struct {
	at time.Time
}

// tell puts the news into a hello.
func (r *relayNews) tell(hello *wirepb.Hello, now time.Time) {
	if !r.at.IsZero() {
		age := uint32(min(max(0, now.Sub(r.at)), time.Hour).Milliseconds())
		hello.RelayAgeMs = &age
	}
}

// hear takes the news from a hello.
func (r *relayNews) hear(hello *wirepb.Hello, now time.Time) {
	switch {
	case hello.GetWatching():
		r.at = now
	case hello.RelayAgeMs != nil:
		at := now.Add(-time.Duration(hello.GetRelayAgeMs()) * time.Millisecond)
		if at.After(r.at) {
			r.at = at
		}
	}
}

func (p *peers) tell(member table.Member, message *wirepb.Datagram) {
	if address, err := netip.ParseAddrPort(member.PeerAddress()); err == nil && member.Name() != p.entry.settings.Load().Name() {
		p.entry.socket.Send(message, address)
	}
}

// subscribe asks the agents of model replicas for reports.
//
// Agents that weren't heard lately are asked at each call, the others if a round is
// due. It reports whether it knows whom to ask.
func (p *peers) subscribe(due bool) bool {
	e := p.entry
	picture := e.picture.Load()
	if picture.Table() == nil {
		return false
	}
	names := func() bool { return rand.Float64()*float64(len(picture.Members())) < namesPerAgent }
	port := uint16(e.settings.Load().PeerPort())
	picture.Table().Services(func(service *table.Service) {
		engine := service.Engine()
		if engine == nil {
			return
		}
		var agents []netip.AddrPort
		for _, endpoint := range picture.Endpoints(service.Name()) {
			agents = append(agents, netip.AddrPortFrom(endpoint.Address().Addr(), port))
		}
		short, full := toAsk(agents, e.service(service.Name()).AgentsKnown(), due, names)
		if len(short)+len(full) == 0 {
			return
		}
		asked := &wirepb.Subscribe{
			Sets: uint32(engine.Sets), Experts: uint32(engine.Experts), Places: uint32(engine.Places),
			Spare:   uint32(engine.Spare),
			PauseMs: uint32(picture.Table().MinGapTarget(service.Name()).Milliseconds()),
		}
		e.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: asked}}, short...)
		if len(full) == 0 {
			return
		}
		for _, agent := range agents {
			asked.Agents = append(asked.Agents, agent.String())
		}
		e.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: asked}}, full...)
	})
	return true
}

// toAsk returns the agents to ask for reports, and those of them that are told of all
// agents too. Known holds by host the fingerprint of the agents that an agent showed
// lately to know; those that know others, or weren't heard, are told if names says
// so.
func toAsk(agents []netip.AddrPort, known map[netip.Addr]uint32, due bool, names func() bool) (short, full []netip.AddrPort) {
	current := dgram.Fingerprint(agents)
	for _, agent := range agents {
		shown, heard := known[agent.Addr()]
		switch {
		case shown != current && names():
			full = append(full, agent)
		case due || !heard:
			short = append(short, agent)
		}
	}
	return short, full
}

func reportOf(load *wirepb.Load) sched.AgentReport {
	return sched.AgentReport{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Pace: load.GetPace(),
		Accepting: load.GetOpen() && load.GetReachable(), AgentsKnown: load.GetAgentsKnown(),
		Entries: int(load.GetEntries()),
	}
}

// receive takes a datagram.
func (p *peers) receive(from netip.AddrPort, message *wirepb.Datagram) {
	switch body := message.GetBody().(type) {
	case *wirepb.Datagram_Hello:
		p.heardHello(from, body.Hello)
	case *wirepb.Datagram_Load:
		for _, s := range p.entry.allServices() {
			if s.UpdateFromAgent(from.Addr(), reportOf(body.Load)) {
				return
			}
		}
	}
}

func (p *peers) heardHello(from netip.AddrPort, hello *wirepb.Hello) {
	p.entry.crashes.learn(hello.GetSuspects())
	known := p.entry.follower.revision()
	if hello.GetWatching() {
		p.entry.follower.relayed(hello.GetRevision())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.heard[hello.GetName()] = now
	p.relay.hear(hello, now)
	if hello.GetRevision() <= known {
		return
	}
	if p.ahead <= known {
		p.aheadAt = now
	}
	if hello.GetRevision() >= p.ahead {
		p.ahead, p.from, p.fromAt = hello.GetRevision(), hello.GetName(), from
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// catchUp fetches the picture of a peer that has read more, if the store doesn't
// show it in time.
func (p *peers) catchUp(ctx context.Context) {
	known := p.entry.follower.revision()
	relies := !p.entry.follower.watches()
	p.mu.Lock()
	due := p.ahead > known && (relies || time.Since(p.aheadAt) > fetchAfter)
	name, address := p.from, p.fromAt
	p.mu.Unlock()
	if !due {
		return
	}
	// The peer's address is that of its datagram: a process that has just started
	// knows no members yet.
	news, err := p.fetch(ctx, address.String(), known)
	if err != nil {
		event.SessionDialFail.Log(p.entry.logger, zap.String("peer", name), event.Error(err))
		return
	}
	p.entry.follower.learn(news, name)
}

// fetch asks the entry at address for its picture.
func (p *peers) fetch(ctx context.Context, address string, known uint64) (news, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	session, err := p.entry.dialer.Dial(ctx, address)
	if err != nil {
		return news{}, err
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return news{}, err
	}
	ask := &wirepb.Frame{Body: &wirepb.Frame_PictureAsk{PictureAsk: &wirepb.PictureAsk{Revision: known}}}
	if err := stream.Write(ask); err != nil {
		return news{}, err
	}
	answer, err := stream.ReadWithin(fetchTimeout)
	if err != nil {
		return news{}, err
	}
	picture := answer.GetPicture()
	got := news{revision: picture.GetRevision(), partial: picture.GetPartial()}
	for _, wire := range picture.GetPairs() {
		pair := store.NewPair(wire.GetKey(), wire.GetValue(), wire.GetRevision())
		got.pairs = append(got.pairs, pair)
		got.changes = append(got.changes, store.Written(pair))
	}
	for _, wire := range picture.GetRemoved() {
		got.changes = append(got.changes, store.Removed(wire.GetKey(), wire.GetRevision()))
	}
	return got, nil
}

// serveStream answers a peer that asks for the picture.
func (p *peers) serveStream(_ *link.Session, stream *link.Stream, first *wirepb.Frame) {
	if first.GetPictureAsk() == nil {
		return
	}
	told := p.entry.follower.since(first.GetPictureAsk().GetRevision())
	picture := &wirepb.Picture{Revision: told.revision, Partial: told.partial}
	add := func(pair store.Pair, list *[]*wirepb.StoredPair) {
		*list = append(*list, &wirepb.StoredPair{Key: pair.Key(), Value: pair.Value(), Revision: pair.Revision()})
	}
	for _, pair := range told.pairs {
		add(pair, &picture.Pairs)
	}
	for _, change := range told.changes {
		if change.IsRemoved() {
			add(change.Pair(), &picture.Removed)
		} else {
			add(change.Pair(), &picture.Pairs)
		}
	}
	if err := stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Picture{Picture: picture}}); err != nil {
		event.FrameRefused.Log(p.entry.logger, event.Error(err))
	}
	// The other side closes the stream once it has read the frame.
	if _, err := stream.ReadWithin(fetchTimeout); err == nil {
		event.FrameRefused.Log(p.entry.logger, zap.String("reason", "a frame after the only question of a stream"))
	}
}
