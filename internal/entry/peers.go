package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/parts"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/member"
	"github.com/lentilstand/lentilstand/pkg/quorum"
)

// Timing of peer polls.
const (
	// peerPollInterval is the time between two polls of a peer.
	peerPollInterval = 500 * time.Millisecond
	// peerPollTimeout bounds the wait for a peer's response.
	peerPollTimeout = time.Second
)

// pollPeers polls every other member for its view until ctx is done. Each peer has
// its own goroutine, so that an unresponsive peer does not delay the others.
func (f *follower) pollPeers(ctx context.Context) {
	peers := make(map[string]*peer)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		f.updatePeers(ctx, peers, &wg)
		for _, p := range peers {
			wake(p.poll)
		}
		select {
		case <-ticker.C:
		case <-f.pollNow:
		case <-ctx.Done():
			return
		}
	}
}

// updatePeers starts a goroutine for each new member and stops those of removed
// members. While the key-value store is unreachable, the last known members are
// kept.
func (f *follower) updatePeers(ctx context.Context, peers map[string]*peer, wg *sync.WaitGroup) {
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
		p := &peer{follower: f, member: m, poll: make(chan struct{}, 1), cancel: cancel}
		peers[m.Voter()] = p
		wg.Add(1)
		go func() {
			defer wg.Done()
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

// peer polls one other entry.
type peer struct {
	follower *follower
	member   member.Member
	poll     chan struct{}
	cancel   context.CancelFunc
	session  *link.Session
	stream   *link.Stream
	voter    string
}

func (p *peer) run(ctx context.Context) {
	defer p.disconnect()
	for {
		select {
		case <-p.poll:
		case <-ctx.Done():
			return
		}
		if err := p.pollOnce(ctx); err != nil {
			event.SessionDialFailed.Log(p.follower.logger, zap.String("peer", p.member.Name()), event.Error(err))
			p.disconnect()
		}
	}
}

func (p *peer) disconnect() {
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

// pollOnce sends one poll to the peer and processes the response.
func (p *peer) pollOnce(ctx context.Context) error {
	if err := p.connect(ctx); err != nil {
		return err
	}
	sentAt := time.Now()
	if err := p.stream.Write(p.follower.peerAskFrame()); err != nil {
		return err
	}
	message, err := p.stream.ReadWithin(peerPollTimeout)
	if err != nil {
		return err
	}
	state := message.GetPeerState()
	if state == nil {
		return eris.New("the peer's response is not a PeerState")
	}
	if p.voter == "" {
		p.voter = state.GetVoter()
	}
	if p.voter != p.member.Voter() {
		return eris.Errorf("the peer's address now belongs to %s", p.voter)
	}
	return p.follower.handlePeerState(p.voter, state, sentAt)
}

// peerAskFrame returns the poll that is sent to peers.
func (f *follower) peerAskFrame() *wirepb.Frame {
	f.mu.Lock()
	defer f.mu.Unlock()
	terms := f.node.View().Terms()
	ask := &wirepb.PeerAsk{
		HeadTerm:    terms.Head(),
		PendingTerm: terms.Pending(),
		Parts:       parts.Encode(f.parts.ExportAll(time.Now())),
	}
	if f.head != nil {
		ask.Number = f.head.Number()
	}
	return &wirepb.Frame{Body: &wirepb.Frame_PeerAsk{PeerAsk: ask}}
}

// handlePeerState processes a peer's response to a poll that was sent at sentAt.
func (f *follower) handlePeerState(voter string, state *wirepb.PeerState, sentAt time.Time) error {
	terms := quorum.NewTerms(state.GetHeadTerm(), state.GetPendingTerm(), state.GetNewestDigest())
	var readAt time.Time
	if state.GetReadEver() {
		readAt = sentAt.Add(-time.Duration(state.GetAgeMs()) * time.Millisecond)
	}
	if len(state.GetHead()) > 0 && state.GetReadEver() {
		if err := f.adoptPeerView(state, readAt); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.RecordAck(voter, terms, sentAt, readAt)
	f.notify()
	return nil
}

// adoptPeerView applies a newer view that a peer sent along with its versions.
func (f *follower) adoptPeerView(state *wirepb.PeerState, readAt time.Time) error {
	headRef, err := chain.DecodeRef(state.GetHead())
	if err != nil {
		return err
	}
	var pendingRef chain.Ref
	if len(state.GetPending()) > 0 {
		if pendingRef, err = chain.DecodeRef(state.GetPending()); err != nil {
			return err
		}
	}
	f.mu.Lock()
	known := f.head
	f.mu.Unlock()
	head, err := resolveVersion(known, headRef, state.GetSnapshot(), state.GetHeadRecord())
	if err != nil {
		return err
	}
	var pending *config.Version
	if pendingRef.Term() > 0 {
		if pending, err = resolveVersion(head, pendingRef, nil, state.GetPendingRecord()); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.learn(quorum.NewView(headRef, pendingRef), head, pending, readAt) && state.Era != nil {
		// The store may have lost what the peer knows, and the peer be cut off from it.
		f.era = min(f.era, state.GetEra())
	}
	return nil
}

// resolveVersion returns the version that a ref points to: the known version, the
// known version with the record applied, or the version in the snapshot.
func resolveVersion(known *config.Version, ref chain.Ref, snapshot, record []byte) (*config.Version, error) {
	if known != nil && known.Hash() == ref.Hash() {
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
	if version == nil || version.Hash() != ref.Hash() {
		return nil, eris.Errorf("the peer didn't send version %d", ref.Number())
	}
	return version, nil
}

// serveStream responds to the polls of another entry.
func (e *Entry) serveStream(session *link.Session, stream *link.Stream, first *wirepb.Frame) {
	for message := first; ; {
		ask := message.GetPeerAsk()
		if ask == nil {
			event.FrameRefused.Log(e.logger, zap.String("peer", session.RemoteAddress()))
			return
		}
		e.follower.parts.Merge(parts.Decode(ask.GetParts()), time.Now())
		parts.LogChanges(&e.follower.parts, e.logger)
		state := e.follower.peerState(ask)
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

// peerState returns the entry's state for a peer. It includes the refs and versions
// if the peer's view is older.
func (f *follower) peerState(ask *wirepb.PeerAsk) *wirepb.PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.node.View()
	terms := view.Terms()
	state := &wirepb.PeerState{HeadTerm: terms.Head(), PendingTerm: terms.Pending(), NewestDigest: terms.Digest(), Era: proto.Uint64(f.era)}
	if age := f.node.ViewAge(time.Now()); age < 1<<62 {
		state.ReadEver = true
		// Rounded up, because the reported age must never be too low.
		state.AgeMs = uint64(age.Milliseconds() + 1)
	}
	asker := quorum.NewTerms(ask.GetHeadTerm(), ask.GetPendingTerm(), 0)
	if asker.NewerThan(terms) {
		wake(f.pollNow)
	}
	if terms.NewerThan(asker) && f.head != nil {
		f.fillVersions(state, ask.GetNumber())
	}
	return state
}

// fillVersions adds the refs, and the versions that a peer at the given version
// number lacks. The caller must hold f.mu.
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
