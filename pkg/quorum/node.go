package quorum

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/pkg/chain"
)

// Timing holds the time bounds of the protocol. All entries must use the same.
type Timing struct {
	maxReadAge time.Duration
	maxAckAge  time.Duration
	clockDrift time.Duration
}

// NewTiming returns time bounds: the greatest age at which a read of the service
// and an acknowledgement of a peer still count, and the margin that a Round adds
// to both because clocks run at different rates.
func NewTiming(maxReadAge, maxAckAge, clockDrift time.Duration) Timing {
	return Timing{maxReadAge: maxReadAge, maxAckAge: maxAckAge, clockDrift: clockDrift}
}

// DefaultTiming returns the time bounds that the daemons use.
func DefaultTiming() Timing {
	return NewTiming(2*time.Second, 1500*time.Millisecond, 200*time.Millisecond)
}

// MaxReadAge returns the greatest age at which a read of the service still counts.
func (t Timing) MaxReadAge() time.Duration { return t.maxReadAge }

// MaxAckAge returns the greatest age at which a peer's acknowledgement still
// counts.
func (t Timing) MaxAckAge() time.Duration { return t.maxAckAge }

// View is what an entry knows of the two refs.
type View struct {
	head    chain.Ref
	pending chain.Ref
	// digest is that of the newest ref.
	digest uint64
}

// NewView returns the view of a head and a pending ref. A pending ref whose term
// isn't above the head's is inactive and is left out.
func NewView(head, pending chain.Ref) View {
	if pending.Term() <= head.Term() {
		return View{head: head, digest: digestOf(head)}
	}
	return View{head: head, pending: pending, digest: digestOf(pending)}
}

// digestOf returns a digest of a ref, zero for the zero Ref.
func digestOf(ref chain.Ref) uint64 {
	if ref.Term() == 0 {
		return 0
	}
	return xxhash.Sum64(ref.Encode())
}

// Head returns the ref of the version in force.
func (v View) Head() chain.Ref { return v.head }

// Pending returns the active pending ref, the zero Ref if there is none.
func (v View) Pending() chain.Ref { return v.pending }

// HasPending reports whether a version is staged.
func (v View) HasPending() bool { return v.pending.Term() > 0 }

// Terms returns the terms of the view's refs.
func (v View) Terms() Terms {
	return Terms{head: v.head.Term(), pending: v.pending.Term(), digest: v.digest}
}

// conflictsWith reports whether two views name different versions in the same
// term, as a service that lost its state may show.
func (v View) conflictsWith(other View) bool {
	return conflicting(v.head, other.head) || conflicting(v.pending, other.pending) ||
		conflicting(v.head, other.pending) || conflicting(v.pending, other.head)
}

func conflicting(a, b chain.Ref) bool {
	return a.Term() != 0 && a.Term() == b.Term() && a.Hash() != b.Hash()
}

// Terms are the terms of a view's two refs, with a digest of the newest one. They identify the
// view: a service that has lost refs gives out their terms again, but not for the same refs.
type Terms struct {
	head    uint64
	pending uint64
	digest  uint64
}

// NewTerms returns the terms of a head and a pending ref; pending is zero if there
// is no pending ref. Digest is that of the newest ref, zero if it isn't known.
func NewTerms(head, pending, digest uint64) Terms {
	return Terms{head: head, pending: pending, digest: digest}
}

// Head returns the term of the head.
func (t Terms) Head() uint64 { return t.head }

// Pending returns the term of the pending ref.
func (t Terms) Pending() uint64 { return t.pending }

// Digest returns the digest of the newest ref.
func (t Terms) Digest() uint64 { return t.digest }

// hasSameNewest reports whether the newest refs of two views are the same. A peer of an
// earlier release sends no digest, so that only the terms are compared.
func (t Terms) hasSameNewest(other Terms) bool {
	return t.Newest() == other.Newest() && (t.digest == other.digest || t.digest == 0 || other.digest == 0)
}

// Newest returns the higher of the two terms.
func (t Terms) Newest() uint64 { return max(t.head, t.pending) }

// NewerThan reports whether t has a higher newest term than other or, with the same
// newest term, a higher head, which shows that the pending ref was committed.
func (t Terms) NewerThan(other Terms) bool {
	if t.Newest() != other.Newest() {
		return t.Newest() > other.Newest()
	}
	return t.head > other.head
}

// ack is a peer's acknowledgement that it holds a view.
type ack struct {
	// at is when the request that the peer answered was sent.
	at    time.Time
	terms Terms
}

// Node is the protocol state of one entry. Use NewNode. It is not safe for
// concurrent use.
type Node struct {
	self   string
	timing Timing
	view   View
	// currentAt is the latest time for which the node knows that no newer view
	// existed.
	currentAt time.Time
	acks      map[string]ack
}

// NewNode returns the state of an entry that knows no refs yet. Self names this
// run of the process: a restarted process is another voter, since it has lost the
// views that it acknowledged.
func NewNode(self string, timing Timing) *Node {
	return &Node{self: self, timing: timing, acks: make(map[string]ack)}
}

// Self returns the name of the node as a voter.
func (n *Node) Self() string { return n.self }

// View returns the refs as the node knows them.
func (n *Node) View() View { return n.view }

// Learn merges a view that was current at the time at: when a read was sent, or
// when a request that a peer answered was sent, less the age of the view that the
// peer gave. Changed reports whether the node's view is now another. Rejected
// reports that the view was ignored because its newest term is below that of the
// node's view, because its head is older than that of the node's view, or because it
// conflicts with the node's view. Only a service that has lost writes shows a newer pending
// ref beside an older head.
func (n *Node) Learn(view View, at time.Time) (changed, rejected bool) {
	if n.IsNewerThan(view) {
		return false, true
	}
	changed = view.Terms().NewerThan(n.view.Terms())
	if changed {
		n.currentAt = at
		n.view = view
	}
	// With the same newest term, no newer view existed at that time.
	n.confirmCurrent(at)
	return changed, false
}

// IsNewerThan reports whether the node knows of a newer ref than those of a view, or of
// another version in the same term.
func (n *Node) IsNewerThan(view View) bool {
	known, received := n.view.Terms(), view.Terms()
	return received.Newest() < known.Newest() || received.Head() < known.Head() || n.view.conflictsWith(view)
}

// confirmCurrent records that no newer view existed at the time at.
func (n *Node) confirmCurrent(at time.Time) {
	if at.After(n.currentAt) {
		n.currentAt = at
	}
}

// RecordAck records a peer's acknowledgement that it holds the view with the
// given terms, in answer to a request that was sent at sentAt. CurrentAt is the
// time at which the peer's view was current, less the time that the answer may
// have taken; it is zero if the peer doesn't know.
func (n *Node) RecordAck(peer string, terms Terms, sentAt, currentAt time.Time) {
	n.acks[peer] = ack{at: sentAt, terms: terms}
	if terms.hasSameNewest(n.view.Terms()) {
		n.confirmCurrent(currentAt)
	}
}

// ViewAge returns how long ago the node's view was last known to be current.
func (n *Node) ViewAge(now time.Time) time.Duration {
	if n.currentAt.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(n.currentAt)
}

// IsFresh reports whether the view was known to be current at most MaxReadAge ago.
func (n *Node) IsFresh(now time.Time) bool { return n.ViewAge(now) <= n.timing.maxReadAge }

// IsVoter reports whether the node is a voter of the head.
func (n *Node) IsVoter() bool { return slices.Contains(n.view.head.Voters(), n.self) }

// ServeState tells whether a node may take new work, and why.
type ServeState int

// The serve states of a node.
const (
	// ServeStateStale means that the node can't show that its view is current.
	ServeStateStale ServeState = iota
	// ServeStateNoVote means that the node isn't a voter.
	ServeStateNoVote
	// ServeStateFresh means that a recent enough read of the service confirmed the
	// node's view.
	ServeStateFresh
	// ServeStateQuorum means that a majority of the voters hold the node's view.
	ServeStateQuorum
)

// MayServe reports whether the state allows new work.
func (s ServeState) MayServe() bool { return s == ServeStateFresh || s == ServeStateQuorum }

// String returns the state's name.
func (s ServeState) String() string {
	return [...]string{"stale", "no_vote", "fresh", "quorum"}[s]
}

// ServeState returns whether the node may take new work now, and why.
func (n *Node) ServeState(now time.Time) ServeState {
	switch {
	case !n.IsVoter():
		return ServeStateNoVote
	case n.IsFresh(now):
		return ServeStateFresh
	case n.hasQuorum(now):
		return ServeStateQuorum
	default:
		return ServeStateStale
	}
}

// hasQuorum reports whether a majority of the head's voters, and of the pending
// ref's voters if there is one, hold the node's view.
func (n *Node) hasQuorum(now time.Time) bool {
	agrees := func(voter string) bool { return voter == n.self || n.hasSameView(voter, now) }
	if !isMajority(n.view.head.Voters(), agrees) {
		return false
	}
	return !n.view.HasPending() || isMajority(n.view.pending.Voters(), agrees)
}

// hasSameView reports whether a peer has acknowledged the node's view within
// MaxAckAge.
func (n *Node) hasSameView(peer string, now time.Time) bool {
	last, ok := n.acks[peer]
	return ok && now.Sub(last.at) <= n.timing.maxAckAge && last.terms.head == n.view.head.Term() && last.terms.hasSameNewest(n.view.Terms())
}

// HasSeen reports whether a peer, or the node itself, is known to hold the newest ref of a
// staged view, and so to enforce it. One that holds a newer ref doesn't count: the round has
// been decided, or the service has lost that ref and gives out its term again.
func (n *Node) HasSeen(peer string, staged Terms) bool {
	if peer == n.self {
		return n.view.Terms().hasSameNewest(staged)
	}
	return n.acks[peer].terms.hasSameNewest(staged)
}

// PruneAcks drops the acknowledgements of peers that are no longer voters.
func (n *Node) PruneAcks() {
	for peer := range n.acks {
		if !slices.Contains(n.view.head.Voters(), peer) && !slices.Contains(n.view.pending.Voters(), peer) {
			delete(n.acks, peer)
		}
	}
}

// isMajority reports whether match is true of more than half of voters. An empty
// set of voters has no majority.
func isMajority(voters []string, match func(string) bool) bool {
	count := 0
	for _, voter := range voters {
		if match(voter) {
			count++
		}
	}
	return 2*count > len(voters)
}
