package edge

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/parts"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/sched"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// Timing and fan-out of the exchange with other entries and with agents.
const (
	// helloPeriod is how often an entry sends hello datagrams.
	helloPeriod = 200 * time.Millisecond
	// helloFanout limits the members that receive a hello in one period; the next
	// periods cover the others.
	helloFanout = 8
	// subscribePeriod is how often subscriptions at agents are renewed.
	subscribePeriod = time.Second
	// fullReportInterval is the mean number of rounds of hellos from one that reports all
	// suspects to the next. They are random rounds, since each round goes to other members.
	fullReportInterval = 10
	// announceInterval is the least time between two announcements of suspects.
	announceInterval = 50 * time.Millisecond
	// startupPeriod is how long after its start a process asks for reports on suspect parts
	// with each of its hellos.
	startupPeriod = 2 * time.Second
	// agentListSenders is the expected number of entries that send an agent the list
	// of all agents in one round, until the agent has it. If all entries sent it, a large
	// fleet would flood agents that start.
	agentListSenders = 4
	// fetchTimeout limits a fetch of a peer's state.
	fetchTimeout = time.Second
	// fetchDelay is how long a revision that a peer announced may be missing here
	// before it is fetched. The watch usually delivers it sooner.
	fetchDelay = 250 * time.Millisecond
	// minPeerTimeout is the shortest silence after which a member that the store still
	// lists is omitted from the directory, provided that other members are heard. A
	// failed member's lease expires after memberTTL anyway; the timeout is for times when
	// the store is disturbed.
	minPeerTimeout = 2500 * time.Millisecond
	// peerTimeoutRounds is the same limit in rounds of hellos, for large fleets, where
	// it exceeds minPeerTimeout. A silence of two rounds, which the loss of one hello
	// causes, must not count as a failure.
	peerTimeoutRounds = 2.5
)

// peers exchanges state with other entries and subscribes to agents.
type peers struct {
	entry *Entry

	mu        sync.Mutex
	lastHello map[string]time.Time
	// leaving holds the names of the members that have said in their last hello that they
	// stop.
	leaving   map[string]bool
	startedAt time.Time
	// announcing is set while an announcement of suspects is due, and announcedAt is when
	// the last one was sent.
	announcing  bool
	announcedAt time.Time
	// newestPosition is the latest position announced by a peer, and aheadSince when
	// peers were first ahead of this entry. newestPeer and newestAddress are those of
	// the peer that announced newestPosition last.
	newestPosition store.Position
	aheadSince     time.Time
	newestPeer     string
	newestAddress  netip.AddrPort
	// holder is a peer that holds other things than this entry, and mergedHeld identifies what
	// the two hold of which that was fetched already, in an era.
	holder     holder
	mergedHeld map[heldPair]bool
	mergedEra  uint64
	targets    roundRobin
	guests     guests
	// wake is signalled when a peer announces a newer revision.
	wake chan struct{}
}

// holder is a peer, and what it and this entry hold that the store has lost. The zero value is
// nobody.
type holder struct {
	name    string
	address netip.AddrPort
	held    heldPair
}

// heldPair is the fingerprints of what this entry and a peer hold.
type heldPair struct{ own, peer uint64 }

// stateUpdate is what an entry has read from the store: the changes since the revision
// that another entry knows if partial is set, otherwise all pairs. The wire
// format calls it a picture. Held is what the entry knows from earlier eras beside it.
type stateUpdate struct {
	position store.Position
	partial  bool
	changes  []store.Change
	pairs    []store.Pair
	held     []mirror.Held
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, lastHello: make(map[string]time.Time), leaving: make(map[string]bool), wake: make(chan struct{}, 1), targets: newRoundRobin()}
}

// roundRobin cycles through the members, helloFanout at a time. It starts at a random
// position, so that entries that start together send to different members.
type roundRobin struct {
	position int
}

func newRoundRobin() roundRobin { return roundRobin{position: rand.IntN(1 << 20)} }

// next returns the next members in turn.
func (r *roundRobin) next(members []table.Member) []table.Member {
	var batch []table.Member
	for range min(helloFanout, len(members)) {
		r.position++
		batch = append(batch, members[r.position%len(members)])
	}
	return batch
}

// peerTimeout returns the silence after which a member counts as failed in a fleet of a
// size.
func peerTimeout(members int) time.Duration {
	rounds := (members + helloFanout - 1) / helloFanout
	return max(minPeerTimeout, time.Duration(peerTimeoutRounds*float64(rounds)*float64(helloPeriod)))
}

// alive returns this entry and those members that haven't said that they stop and were heard
// recently. It returns silent ones too while this entry cannot tell, because it hears no member or
// has just started.
func (p *peers) alive(members []table.Member) []table.Member {
	own, timeout := p.entry.settings.Load().Name(), peerTimeout(len(members))
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	isHeard := func(name string) bool { return now.Sub(p.lastHello[name]) < timeout }
	canTell := now.Sub(p.startedAt) >= timeout && slices.ContainsFunc(slices.Collect(maps.Keys(p.lastHello)), isHeard)
	var alive []table.Member
	for _, member := range members {
		if name := member.Name(); name == own || !p.leaving[name] && (isHeard(name) || !canTell) {
			alive = append(alive, member)
		}
	}
	return alive
}

// run sends hellos and subscriptions, and fetches missing state, until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.startedAt = time.Now()
	p.mu.Unlock()
	var subscribed time.Time
	for ctx.Err() == nil {
		p.sendHellos()
		p.entry.demands.flush(ctx)
		now := time.Now()
		renew := now.Sub(subscribed) >= subscribePeriod
		if p.subscribe(renew) && renew {
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

// wait waits until a peer announces a newer revision, and reports whether one did
// within the timeout.
func (p *peers) wait(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
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

// sendHellos announces this entry's revision to the next members in turn.
func (p *peers) sendHellos() {
	message := p.helloMessage(rand.IntN(fullReportInterval) == 0)
	for _, member := range p.targets.next(p.audience()) {
		p.send(member, message)
	}
}

// broadcast announces the revision that the store has just shown to all, if the fleet is so large
// that some entries do not watch the store.
func (p *peers) broadcast() {
	if len(p.entry.view.Load().Members()) > maxAllWatching {
		p.announce()
	}
}

// announceSuspects tells all members at once which suspects have changed. Hellos in turn
// take seconds in a large fleet, in which further endpoints may crash. As one crash makes
// many requests suspect, announcements are at least announceInterval apart.
func (p *peers) announceSuspects() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.announcing {
		return
	}
	p.announcing = true
	time.AfterFunc(announceInterval-time.Since(p.announcedAt), func() {
		p.mu.Lock()
		p.announcing, p.announcedAt = false, time.Now()
		p.mu.Unlock()
		p.announce()
	})
}

// announceLeaving tells all members at once that this entry stops, so that their directories
// don't list it any more, whatever the store says.
func (p *peers) announceLeaving() { p.announce() }

// announce sends a hello to all members and guests.
func (p *peers) announce() {
	message := p.helloMessage(false)
	for _, member := range p.audience() {
		p.send(member, message)
	}
}

// audience returns the members, and the guests as if they were members without a name.
func (p *peers) audience() []table.Member {
	view := p.entry.view.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Concat(view.Members(), p.guests.list(view, time.Now()))
}

// sendSuspects sends all that this entry knows about suspects to an entry that has just
// started, and that would send them to endpoints until it hears of them. It also tells whether this
// entry holds what the store has lost.
func (p *peers) sendSuspects(address netip.AddrPort) {
	message := p.helloMessage(true)
	hello := message.GetHello()
	if len(hello.GetParts()) == 0 && len(hello.GetSuspects()) == 0 && hello.GetHeld() == 0 {
		return
	}
	hello.Starting = false
	p.entry.socket.Send(message, address)
}

// isStarting reports whether this process has started within startupPeriod.
func (p *peers) isStarting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) < startupPeriod
}

// helloMessage returns a hello. It has all suspects if full is set, otherwise those that
// have changed recently.
func (p *peers) helloMessage(full bool) *wirepb.Datagram {
	// Evidence covers each later revision, but no earlier one.
	evidence := p.entry.storeSyncer.evidence.Latest()
	watching, position := p.entry.storeSyncer.isWatching(), p.entry.storeSyncer.position()
	reports := p.entry.parts.tracker.Export(time.Now())
	if full {
		reports = p.entry.parts.tracker.ExportAll(time.Now())
	}
	hello := &wirepb.Hello{
		Name:     p.entry.settings.Load().Name(),
		Revision: position.Revision(),
		Era:      position.Era(),
		Held:     p.entry.storeSyncer.heldFingerprint(),
		Suspects: p.entry.crashTracker.export(full),
		Watching: watching,
		Parts:    parts.Encode(reports),
		Starting: p.isStarting(),
		Leaving:  p.entry.leaving.Load(),
		Limits:   encodeLimits(p.entry.allServices()),

		Pressures: encodePressures(p.entry.allServices()),
	}
	writeEvidence(hello, evidence, time.Now())
	if age, ok := p.entry.storeSyncer.eraAge(time.Now()); ok {
		milliseconds := uint32(min(age, maxEraAge).Milliseconds())
		hello.EraAgeMs = &milliseconds
	}
	return &wirepb.Datagram{Body: &wirepb.Datagram_Hello{Hello: hello}}
}

// maxEraAge limits the age of an era in a hello.
const maxEraAge = time.Hour

// maxHelloLimits is how many limits of endpoints a hello has at most. If there are more, it
// has some of them, taken at random.
const maxHelloLimits = 16

// encodeLimits encodes the limits of services' endpoints.
func encodeLimits(services []*sched.Service) []*wirepb.EndpointLimit {
	var encoded []*wirepb.EndpointLimit
	for _, s := range services {
		for _, limit := range s.Limits() {
			encoded = append(encoded, &wirepb.EndpointLimit{
				Incarnation: limit.Incarnation(), PerSecond: limit.PerSecond(), AgeMs: uint32(max(0, limit.Age()).Milliseconds()),
			})
		}
	}
	if len(encoded) > maxHelloLimits {
		rand.Shuffle(len(encoded), func(i, j int) { encoded[i], encoded[j] = encoded[j], encoded[i] })
		encoded = encoded[:maxHelloLimits]
	}
	return encoded
}

// decodeLimits is the inverse of encodeLimits. It leaves out limits that aren't numbers.
func decodeLimits(encoded []*wirepb.EndpointLimit) []sched.Limit {
	var limits []sched.Limit
	for _, wire := range encoded {
		if perSecond := wire.GetPerSecond(); perSecond >= 0 && !math.IsInf(perSecond, 1) {
			limits = append(limits, sched.NewLimit(wire.GetIncarnation(), perSecond, time.Duration(wire.GetAgeMs())*time.Millisecond))
		}
	}
	return limits
}

func (p *peers) send(member table.Member, message *wirepb.Datagram) {
	if address, err := netip.ParseAddrPort(member.PeerAddress()); err == nil && member.Name() != p.entry.settings.Load().Name() {
		p.entry.socket.Send(message, address)
	}
}

// subscribe requests reports from the agents of model replicas.
//
// Agents that were not heard recently are asked on every call, the others only if renew
// is set. It reports whether a routing table is known.
func (p *peers) subscribe(renew bool) bool {
	e := p.entry
	view := e.view.Load()
	if view.Table() == nil {
		return false
	}
	port := uint16(e.settings.Load().PeerPort())
	view.Table().Services(func(service *table.Service) {
		engine := service.Engine()
		if engine == nil {
			return
		}
		var agents, targets []netip.AddrPort
		for _, endpoint := range view.Endpoints(service.Name()) {
			agents = append(agents, netip.AddrPortFrom(endpoint.Address().Addr(), port))
		}
		scheduler := e.service(service.Name())
		for _, address := range scheduler.ReportSources() {
			targets = append(targets, netip.AddrPortFrom(address.Addr(), port))
		}
		sendsList := func() bool { return rand.Float64()*scheduler.EntriesPerEndpoint() < agentListSenders }
		short, full := subscriptionTargets(targets, dgram.Fingerprint(agents), scheduler.AgentsKnown(), renew, sendsList)
		if len(short)+len(full) == 0 {
			return
		}
		message := &wirepb.Subscribe{
			Sets: uint32(engine.Sets), Experts: uint32(engine.Experts), Places: uint32(engine.Places),
			Spare:   uint32(engine.Spare),
			PauseMs: uint32(view.Table().MinGapTarget(service.Name()).Milliseconds()),
		}
		e.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: message}}, short...)
		if len(full) == 0 {
			return
		}
		for _, agent := range agents {
			message.Agents = append(message.Agents, agent.String())
		}
		e.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: message}}, full...)
	})
	return true
}

// subscriptionTargets returns those of the given agents that get a subscription without
// the list of all agents, and those that get it with the list, which has the fingerprint
// current. Known holds, by host, the fingerprint of the list that an agent reported
// recently. An agent with another list, or without a recent report, gets the list if
// sendsList returns true.
func subscriptionTargets(agents []netip.AddrPort, current uint32, known map[netip.Addr]uint32, renew bool, sendsList func() bool) (short, full []netip.AddrPort) {
	for _, agent := range agents {
		reported, heard := known[agent.Addr()]
		switch {
		case reported != current && sendsList():
			full = append(full, agent)
		case renew || !heard:
			short = append(short, agent)
		}
	}
	return short, full
}

func decodeLoad(load *wirepb.Load) sched.AgentReport {
	return sched.AgentReport{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Pace: load.GetPace(),
		Accepting: load.GetOpen() && load.GetReachable(), AgentsKnown: load.GetAgentsKnown(),
		Entries: int(load.GetEntries()), PassInterval: time.Duration(load.GetPassMs()) * time.Millisecond,
	}
}

// receive handles a datagram from a peer or an agent.
func (p *peers) receive(from netip.AddrPort, message *wirepb.Datagram) {
	switch body := message.GetBody().(type) {
	case *wirepb.Datagram_Hello:
		p.receiveHello(from, body.Hello)
	case *wirepb.Datagram_Demand:
		p.entry.demands.receive(from, body.Demand)
	case *wirepb.Datagram_Load:
		p.entry.demands.answer(from, body.Load)
		for _, s := range p.entry.allServices() {
			if s.UpdateFromAgent(from.Addr(), decodeLoad(body.Load)) {
				return
			}
		}
	}
}

func (p *peers) receiveHello(from netip.AddrPort, hello *wirepb.Hello) {
	p.entry.crashTracker.merge(hello.GetSuspects())
	p.entry.parts.merge(hello.GetParts())
	if limits := decodeLimits(hello.GetLimits()); len(limits) > 0 {
		for _, s := range p.entry.allServices() {
			s.MergeLimits(limits)
		}
	}
	p.receivePressures(hello.GetName(), hello.GetPressures())
	if hello.GetStarting() {
		p.sendSuspects(from)
	}
	known, held, position := p.entry.storeSyncer.position(), p.entry.storeSyncer.heldFingerprint(), store.At(hello.GetEra(), hello.GetRevision())
	now := time.Now()
	if evidence, ok := readEvidence(hello, now); ok {
		p.entry.storeSyncer.receiveEvidence(position, evidence)
	}
	if hello.EraAgeMs != nil {
		p.entry.storeSyncer.noteEraAge(hello.GetEra(), time.Duration(hello.GetEraAgeMs())*time.Millisecond, now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHello[hello.GetName()] = now
	if hello.GetLeaving() {
		p.leaving[hello.GetName()] = true
	} else {
		delete(p.leaving, hello.GetName())
	}
	p.guests.hear(p.entry.view.Load(), from, hello.GetLeaving(), now)
	isHolder := p.noteHolder(holder{name: hello.GetName(), address: from, held: heldPair{own: held, peer: hello.GetHeld()}}, position, known)
	isAhead := position.After(known)
	if isAhead && !p.newestPosition.After(known) {
		p.aheadSince = now
	}
	if isAhead && position.Compare(p.newestPosition) >= 0 {
		p.newestPosition, p.newestPeer, p.newestAddress = position, hello.GetName(), from
	}
	if !isAhead && !isHolder {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// noteHolder records a peer that holds, in the era of this entry, other things than this entry: it may
// know what this entry lacks, or that the store has removed what this entry holds. It reports whether
// the peer is one. The caller holds p.mu.
func (p *peers) noteHolder(peer holder, position, known store.Position) bool {
	if p.mergedHeld == nil || p.mergedEra != known.Era() {
		p.mergedHeld, p.mergedEra, p.holder = make(map[heldPair]bool), known.Era(), holder{}
	}
	if peer.held.own == peer.held.peer || position.Era() != known.Era() || p.mergedHeld[peer.held] {
		return false
	}
	p.holder = peer
	return true
}

// catchUp fetches the state of a peer with a later position: at once if this entry does
// not watch the store or the peer has seen a new era, otherwise if its watch has not delivered that
// revision within fetchDelay. It also fetches what a peer holds that the store has lost.
func (p *peers) catchUp(ctx context.Context) {
	known := p.entry.storeSyncer.position()
	usesRelay := !p.entry.storeSyncer.shouldWatch()
	p.mu.Lock()
	isDue := p.newestPosition.After(known) &&
		(usesRelay || p.newestPosition.Era() > known.Era() || time.Since(p.aheadSince) > fetchDelay)
	name, address := p.newestPeer, p.newestAddress
	peer := p.holder
	p.holder = holder{}
	if !isDue && peer.address.IsValid() {
		name, address, isDue = peer.name, peer.address, true
	}
	p.mu.Unlock()
	if !isDue {
		return
	}
	// The address is taken from the peer's datagram, since a process that has just
	// started knows no members yet.
	update, err := p.fetch(ctx, address.String(), known)
	if err != nil {
		event.SessionDialFailed.Log(p.entry.logger, zap.String("peer", name), event.Error(err))
		return
	}
	p.entry.storeSyncer.applyUpdate(update, name)
	if address == peer.address {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.mergedHeld) < maxMergedHeld {
			p.mergedHeld[peer.held] = true
		}
	}
}

// maxMergedHeld limits the pairs of fingerprints that an entry keeps in an era.
const maxMergedHeld = 4096

// fetch requests what the entry at address has read since a known position.
func (p *peers) fetch(ctx context.Context, address string, known store.Position) (stateUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	session, err := p.entry.dialer.Dial(ctx, address)
	if err != nil {
		return stateUpdate{}, err
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return stateUpdate{}, err
	}
	request := &wirepb.Frame{Body: &wirepb.Frame_PictureAsk{PictureAsk: &wirepb.PictureAsk{
		Revision: known.Revision(), Era: known.Era(), Held: p.entry.storeSyncer.heldFingerprint(),
	}}}
	if err := stream.Write(request); err != nil {
		return stateUpdate{}, err
	}
	response, err := stream.ReadWithin(fetchTimeout)
	if err != nil {
		return stateUpdate{}, err
	}
	picture := response.GetPicture()
	update := stateUpdate{position: store.At(picture.GetEra(), picture.GetRevision()), partial: picture.GetPartial(), held: decodeHeld(picture.GetHeld())}
	for _, wire := range picture.GetPairs() {
		pair := store.NewPair(wire.GetKey(), wire.GetValue(), wire.GetRevision())
		update.pairs = append(update.pairs, pair)
		update.changes = append(update.changes, store.Written(pair))
	}
	for _, wire := range picture.GetRemoved() {
		update.changes = append(update.changes, store.Removed(wire.GetKey(), wire.GetRevision()))
	}
	return update, nil
}

// encodeHeld encodes what an entry knows from earlier eras.
func encodeHeld(held []mirror.Held) []*wirepb.HeldPair {
	var encoded []*wirepb.HeldPair
	for _, item := range held {
		pair := item.Pair()
		encoded = append(encoded, &wirepb.HeldPair{
			Pair:    &wirepb.StoredPair{Key: pair.Key(), Value: pair.Value(), Revision: pair.Revision()},
			Removed: item.IsRemoved(), Era: item.Position().Era(), Revision: item.Position().Revision(),
			Shown: item.Shown(), LeftMs: uint32(item.Left().Milliseconds()),
		})
	}
	return encoded
}

// decodeHeld is the inverse of encodeHeld.
func decodeHeld(encoded []*wirepb.HeldPair) []mirror.Held {
	var held []mirror.Held
	for _, wire := range encoded {
		pair := store.NewPair(wire.GetPair().GetKey(), wire.GetPair().GetValue(), wire.GetPair().GetRevision())
		position := store.At(wire.GetEra(), wire.GetRevision())
		held = append(held, mirror.NewHeld(pair, wire.GetRemoved(), position, wire.GetShown(), time.Duration(wire.GetLeftMs())*time.Millisecond))
	}
	return held
}

// serveStream serves a peer's request for this entry's state.
func (p *peers) serveStream(_ *link.Session, stream *link.Stream, first *wirepb.Frame) {
	if first.GetPictureAsk() == nil {
		return
	}
	ask := first.GetPictureAsk()
	update := p.entry.storeSyncer.updateSince(store.At(ask.GetEra(), ask.GetRevision()), ask.GetHeld())
	picture := &wirepb.Picture{
		Revision: update.position.Revision(), Era: update.position.Era(), Partial: update.partial, Held: encodeHeld(update.held),
	}
	add := func(pair store.Pair, list *[]*wirepb.StoredPair) {
		*list = append(*list, &wirepb.StoredPair{Key: pair.Key(), Value: pair.Value(), Revision: pair.Revision()})
	}
	for _, pair := range update.pairs {
		add(pair, &picture.Pairs)
	}
	for _, change := range update.changes {
		if change.IsRemoved() {
			add(change.Pair(), &picture.Removed)
		} else {
			add(change.Pair(), &picture.Pairs)
		}
	}
	if err := stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Picture{Picture: picture}}); err != nil {
		event.FrameRefused.Log(p.entry.logger, event.Error(err))
	}
	// The peer closes the stream once it has read the frame.
	if _, err := stream.ReadWithin(fetchTimeout); err == nil {
		event.FrameRefused.Log(p.entry.logger, zap.String("reason", "unexpected frame after the first of the stream"))
	}
}
