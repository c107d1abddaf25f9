package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/member"
	"github.com/lentilstand/lentilstand/pkg/quorum"
)

// How peers are asked.
const (
	// askInterval is the time between two questions to a peer.
	askInterval = 500 * time.Millisecond
	// askTimeout bounds the wait for a peer's answer.
	askTimeout = time.Second
)

// askPeers asks every other member what it knows, over and over, until ctx
// ends. Each peer has a goroutine of its own, so that a silent one delays none.
func (f *follower) askPeers(ctx context.Context) {
	peers := make(map[string]*peer)
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		f.updatePeers(ctx, peers, &wait)
		for _, p := range peers {
			kick(p.ask)
		}
		select {
		case <-ticker.C:
		case <-f.askNow:
		case <-ctx.Done():
			return
		}
	}
}

// updatePeers starts asking new members and stops asking those that are gone.
// While the service is out of reach the last known members are kept.
func (f *follower) updatePeers(ctx context.Context, peers map[string]*peer, wait *sync.WaitGroup) {
	present := make(map[string]bool)
	for _, m := range f.memberList() {
		if m.Voter() == f.node.Self() {
			continue
		}
		present[m.Voter()] = true
		if peers[m.Voter()] != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		p := &peer{follower: f, member: m, ask: make(chan struct{}, 1), cancel: cancel}
		peers[m.Voter()] = p
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.run(peerCtx)
		}()
	}
	for voter, p := range peers {
		if !present[voter] {
			p.cancel()
			delete(peers, voter)
		}
	}
}

// peer asks one other entry.
type peer struct {
	follower *follower
	member   member.Member
	ask      chan struct{}
	cancel   context.CancelFunc
	session  *link.Session
	stream   *link.Stream
	voter    string
}

func (p *peer) run(ctx context.Context) {
	defer p.hangUp()
	for {
		select {
		case <-p.ask:
		case <-ctx.Done():
			return
		}
		if err := p.exchange(ctx); err != nil {
			event.SessionDialFailed.Log(p.follower.logger, zap.String("peer", p.member.Name()), event.Error(err))
			p.hangUp()
		}
	}
}

func (p *peer) hangUp() {
	if p.session != nil {
		p.session.Close()
	}
	p.session, p.stream = nil, nil
}

func (p *peer) connect(ctx context.Context) error {
	if p.stream != nil {
		return nil
	}
	session, err := p.follower.dialer.Dial(ctx, p.member.PeerAddress())
	if err != nil {
		return err
	}
	stream, err := session.Open()
	if err != nil {
		session.Close()
		return err
	}
	p.session, p.stream, p.voter = session, stream, ""
	return nil
}

// exchange asks the peer once and takes in its answer.
func (p *peer) exchange(ctx context.Context) error {
	if err := p.connect(ctx); err != nil {
		return err
	}
	asked := time.Now()
	if err := p.stream.Write(p.follower.question()); err != nil {
		return err
	}
	message, err := p.stream.ReadWithin(askTimeout)
	if err != nil {
		return err
	}
	state := message.GetPeerState()
	if state == nil {
		return eris.New("the peer's answer is no state")
	}
	if p.voter == "" {
		p.voter = state.GetVoter()
	}
	if p.voter != p.member.Voter() {
		return eris.Errorf("the peer is %s by now", p.voter)
	}
	return p.follower.hear(p.voter, state, asked)
}

// question returns what the entry asks its peers.
func (f *follower) question() *wirepb.Frame {
	f.mu.Lock()
	defer f.mu.Unlock()
	terms := f.node.View().Terms()
	ask := &wirepb.PeerAsk{
		HeadTerm:    terms.Head(),
		PendingTerm: terms.Pending(),
	}
	if f.head != nil {
		ask.Number = f.head.Number()
	}
	return &wirepb.Frame{Body: &wirepb.Frame_PeerAsk{PeerAsk: ask}}
}

// hear takes in a peer's answer to a question that was sent at asked.
func (f *follower) hear(voter string, state *wirepb.PeerState, asked time.Time) error {
	terms := quorum.NewTerms(state.GetHeadTerm(), state.GetPendingTerm())
	var readAt time.Time
	if state.GetReadEver() {
		readAt = asked.Add(-time.Duration(state.GetAgeMs()) * time.Millisecond)
	}
	if len(state.GetHead()) > 0 && state.GetReadEver() {
		if err := f.adoptFrom(state, readAt); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.RecordAck(voter, terms, asked, readAt)
	f.notify()
	return nil
}

// adoptFrom takes over the newer view that a peer has sent with its versions.
func (f *follower) adoptFrom(state *wirepb.PeerState, readAt time.Time) error {
	headMark, err := chain.DecodeRef(state.GetHead())
	if err != nil {
		return err
	}
	var pendingMark chain.Ref
	if len(state.GetPending()) > 0 {
		if pendingMark, err = chain.DecodeRef(state.GetPending()); err != nil {
			return err
		}
	}
	f.mu.Lock()
	known := f.head
	f.mu.Unlock()
	head, err := versionFrom(known, headMark, state.GetSnapshot(), state.GetHeadRecord())
	if err != nil {
		return err
	}
	var pending *config.Version
	if pendingMark.Term() > 0 {
		if pending, err = versionFrom(head, pendingMark, nil, state.GetPendingRecord()); err != nil {
			return err
		}
	}
	f.learn(quorum.NewView(headMark, pendingMark), head, pending, readAt)
	return nil
}

// versionFrom returns the version that a mark names: the known one, the one
// that follows from it by a record, or the one in a snapshot.
func versionFrom(known *config.Version, mark chain.Ref, snapshot, record []byte) (*config.Version, error) {
	if known != nil && known.Hash() == mark.Hash() {
		return known, nil
	}
	var version *config.Version
	switch {
	case len(snapshot) > 0:
		decoded, err := config.DecodeSnapshot(snapshot)
		if err != nil {
			return nil, err
		}
		version = decoded
	case known != nil && len(record) > 0:
		decoded, err := config.DecodeRecord(record)
		if err != nil {
			return nil, err
		}
		if version, err = known.ApplyRecord(decoded); err != nil {
			return nil, err
		}
	}
	if version == nil || version.Hash() != mark.Hash() {
		return nil, eris.Errorf("the peer didn't send version %d", mark.Number())
	}
	return version, nil
}

// serveStream answers what another entry asks.
func (e *Entry) serveStream(session *link.Session, stream *link.Stream, first *wirepb.Frame) {
	for message := first; ; {
		ask := message.GetPeerAsk()
		if ask == nil {
			event.FrameRefused.Log(e.logger, zap.String("peer", session.RemoteAddress()))
			return
		}
		state := e.follower.reply(ask)
		if message == first {
			state.Voter = e.follower.voter
		}
		if stream.Write(&wirepb.Frame{Body: &wirepb.Frame_PeerState{PeerState: state}}) != nil {
			return
		}
		next, err := stream.Read()
		if err != nil {
			return
		}
		message = next
	}
}

// reply returns what the entry knows, with the marks and versions if the peer
// knows less.
func (f *follower) reply(ask *wirepb.PeerAsk) *wirepb.PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.node.View()
	terms := view.Terms()
	state := &wirepb.PeerState{HeadTerm: terms.Head(), PendingTerm: terms.Pending()}
	if age := f.node.ViewAge(time.Now()); age < 1<<62 {
		state.ReadEver = true
		// Rounded up, since an age must never be given too low.
		state.AgeMs = uint64(age.Milliseconds() + 1)
	}
	asker := quorum.NewTerms(ask.GetHeadTerm(), ask.GetPendingTerm())
	if asker.NewerThan(terms) {
		kick(f.askNow)
	}
	if terms.NewerThan(asker) && f.head != nil {
		f.fillVersions(state, ask.GetNumber())
	}
	return state
}

// fillVersions adds the marks and the versions that a peer at the given number
// lacks. The caller holds the lock.
func (f *follower) fillVersions(state *wirepb.PeerState, number uint64) {
	view := f.node.View()
	state.Head = view.Head().Encode()
	switch number {
	case f.head.Number():
	case f.head.Number() - 1:
		state.HeadRecord = f.head.Record().Encode()
	default:
		state.Snapshot = f.head.EncodeSnapshot()
	}
	if view.HasPending() && f.pending != nil {
		state.Pending = view.Pending().Encode()
		state.PendingRecord = f.pending.Record().Encode()
	}
}
