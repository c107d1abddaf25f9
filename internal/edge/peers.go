package edge

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
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
	// fetchTimeout bounds the wait for a peer's picture.
	fetchTimeout = time.Second
	// fetchAfter is how long a peer's newer revision may be missing before it is
	// fetched: the watch usually brings it sooner.
	fetchAfter = 250 * time.Millisecond
	// deadAfter is how long a member that the store still lists may be silent, if
	// others are heard, before callers are told of it no more.
	deadAfter = 2500 * time.Millisecond
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
	told    int
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, heard: make(map[string]time.Time)}
}

// isAlive reports whether callers may be told of a member: it was heard lately,
// or this entry can't tell.
func (p *peers) isAlive(member table.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.heard[member.Name()]) < deadAfter {
		return true
	}
	others := false
	for _, at := range p.heard {
		others = others || now.Sub(at) < deadAfter
	}
	return !others || now.Sub(p.first) < deadAfter
}

// run sends what is due until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.first = time.Now()
	p.mu.Unlock()
	var subscribed time.Time
	for ctx.Err() == nil {
		p.hello()
		if now := time.Now(); now.Sub(subscribed) >= subscribePeriod {
			subscribed = now
			p.subscribe()
		}
		p.catchUp(ctx)
		pause(ctx, helloPeriod)
	}
}

// hello tells the next few members what this entry has read.
func (p *peers) hello() {
	e := p.entry
	own := e.settings.Load().Name()
	members := e.picture.Load().Members()
	message := &wirepb.Datagram{Body: &wirepb.Datagram_Hello{Hello: &wirepb.Hello{
		Name:     own,
		Revision: e.follower.revision(),
		Suspects: e.crashes.suspects(),
	}}}
	for range min(helloFanout, len(members)) {
		p.told++
		member := members[p.told%len(members)]
		if address, err := netip.ParseAddrPort(member.Peers()); err == nil && member.Name() != own {
			e.socket.Send(message, address)
		}
	}
}

// subscribe asks the agents of model replicas for reports.
func (p *peers) subscribe() {
	e := p.entry
	picture := e.picture.Load()
	if picture.Table() == nil {
		return
	}
	port := uint16(e.settings.Load().PeerPort())
	picture.Table().Services(func(service *table.Service) {
		engine := service.Engine()
		if engine == nil {
			return
		}
		var agents []netip.AddrPort
		body := &wirepb.Subscribe{
			Sets: uint32(engine.Sets), Experts: uint32(engine.Experts), Places: uint32(engine.Places),
			Spare: uint32(engine.Spare), ExpertMb: engine.ExpertMB, LinkMbps: engine.LinkMbps,
			PauseMs: uint32(picture.Table().ShortestPause(service.Name()).Milliseconds()),
		}
		for _, endpoint := range picture.Endpoints(service.Name()) {
			agent := netip.AddrPortFrom(endpoint.Address().Addr(), port)
			agents = append(agents, agent)
			body.Agents = append(body.Agents, agent.String())
		}
		e.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: body}}, agents...)
	})
}

// receive takes a datagram.
func (p *peers) receive(from netip.AddrPort, message *wirepb.Datagram) {
	switch body := message.GetBody().(type) {
	case *wirepb.Datagram_Hello:
		p.heardHello(body.Hello)
	case *wirepb.Datagram_Load:
		for _, s := range p.entry.allServices() {
			if s.heardFrom(from.Addr(), body.Load) {
				return
			}
		}
	}
}

func (p *peers) heardHello(hello *wirepb.Hello) {
	p.entry.crashes.learn(hello.GetSuspects())
	known := p.entry.follower.revision()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.heard[hello.GetName()] = now
	if hello.GetRevision() <= known {
		return
	}
	if p.ahead <= known {
		p.aheadAt = now
	}
	if hello.GetRevision() >= p.ahead {
		p.ahead, p.from = hello.GetRevision(), hello.GetName()
	}
}

// catchUp fetches the picture of a peer that has read more, if the store doesn't
// show it in time.
func (p *peers) catchUp(ctx context.Context) {
	known := p.entry.follower.revision()
	p.mu.Lock()
	due := p.ahead > known && time.Since(p.aheadAt) > fetchAfter
	name := p.from
	p.mu.Unlock()
	if !due {
		return
	}
	for _, member := range p.entry.picture.Load().Members() {
		if member.Name() != name {
			continue
		}
		if snapshot, err := p.fetch(ctx, member.Peers(), known); err == nil {
			p.entry.follower.learn(snapshot, name)
		} else {
			event.SessionDialFail.Log(p.entry.logger, zap.String("peer", name), event.Error(err))
		}
		return
	}
}

// fetch asks the entry at address for its picture.
func (p *peers) fetch(ctx context.Context, address string, known uint64) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	session, err := p.entry.dialer.Dial(ctx, address)
	if err != nil {
		return store.Snapshot{}, err
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return store.Snapshot{}, err
	}
	ask := &wirepb.Frame{Body: &wirepb.Frame_PictureAsk{PictureAsk: &wirepb.PictureAsk{Revision: known}}}
	if err := stream.Write(ask); err != nil {
		return store.Snapshot{}, err
	}
	answer, err := stream.ReadWithin(fetchTimeout)
	if err != nil {
		return store.Snapshot{}, err
	}
	picture := answer.GetPicture()
	pairs := make([]store.Pair, 0, len(picture.GetPairs()))
	for _, pair := range picture.GetPairs() {
		pairs = append(pairs, store.NewPair(pair.GetKey(), pair.GetValue(), pair.GetRevision()))
	}
	return store.NewSnapshot(pairs, picture.GetRevision()), nil
}

// serveStream answers a peer that asks for the picture.
func (p *peers) serveStream(_ *link.Session, stream *link.Stream, first *wirepb.Frame) {
	if first.GetPictureAsk() == nil {
		return
	}
	revision, pairs := p.entry.follower.known()
	picture := &wirepb.Picture{Revision: revision}
	for _, pair := range pairs {
		picture.Pairs = append(picture.Pairs, &wirepb.StoredPair{Key: pair.Key(), Value: pair.Value(), Revision: pair.Revision()})
	}
	if err := stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Picture{Picture: picture}}); err != nil {
		event.FrameRefused.Log(p.entry.logger, event.Error(err))
	}
	// The other side closes the stream once it has read the frame.
	if _, err := stream.ReadWithin(fetchTimeout); err == nil {
		event.FrameRefused.Log(p.entry.logger, zap.String("reason", "a frame after the only question of a stream"))
	}
}
