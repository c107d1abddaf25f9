package quorum

import (
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/chain"
)

// Timing holds the time bounds of the protocol. All entries must use the same.
type Timing struct {
	fresh    time.Duration
	evidence time.Duration
	slack    time.Duration
}

// NewTiming returns time bounds: how old a read of the service may be to rely
// on, how old a peer's word may be, and what is added for clocks that run at
// different rates.
func NewTiming(fresh, evidence, slack time.Duration) Timing {
	return Timing{fresh: fresh, evidence: evidence, slack: slack}
}

// DefaultTiming returns the time bounds that the daemons use.
func DefaultTiming() Timing {
	return NewTiming(2*time.Second, 1500*time.Millisecond, 200*time.Millisecond)
}

// MaxReadAge returns how old a read of the service may be to rely on.
func (t Timing) MaxReadAge() time.Duration { return t.fresh }

// MaxAckAge returns how old a peer's word may be to rely on.
func (t Timing) MaxAckAge() time.Duration { return t.evidence }

// View is what an entry knows of the two marks.
type View struct {
	head    chain.Ref
	pending chain.Ref
}

// NewView returns the view of a head and a pending mark. A pending mark that
// isn't above the head is left out.
func NewView(head, pending chain.Ref) View {
	if pending.Term() <= head.Term() {
		return View{head: head}
	}
	return View{head: head, pending: pending}
}

// Head returns the mark of the version in force.
func (v View) Head() chain.Ref { return v.head }

// Pending returns the active pending mark, the zero Mark if there is none.
func (v View) Pending() chain.Ref { return v.pending }

// HasPending reports whether a version is staged.
func (v View) HasPending() bool { return v.pending.Term() > 0 }

// Terms returns the terms of the view's marks.
func (v View) Terms() Terms { return Terms{head: v.head.Term(), pending: v.pending.Term()} }

// contradicts reports whether two views give different content to one term,
// which a service that lost its state may show.
func (v View) contradicts(other View) bool {
	return differ(v.head, other.head) || differ(v.pending, other.pending) ||
		differ(v.head, other.pending) || differ(v.pending, other.head)
}

func differ(a, b chain.Ref) bool {
	return a.Term() != 0 && a.Term() == b.Term() && a.Hash() != b.Hash()
}

// Terms are the terms of the two marks of a view, which tell it from others.
type Terms struct {
	head    uint64
	pending uint64
}

// NewTerms returns the terms of a head and a pending mark, which is zero if
// there is none.
func NewTerms(head, pending uint64) Terms { return Terms{head: head, pending: pending} }

// Head returns the term of the head.
func (t Terms) Head() uint64 { return t.head }

// Pending returns the term of the pending mark.
func (t Terms) Pending() uint64 { return t.pending }

// Newest returns the higher of the terms.
func (t Terms) Newest() uint64 { return max(t.head, t.pending) }

// NewerThan reports whether t knows more than other: a higher term, or what became
// of the same one.
func (t Terms) NewerThan(other Terms) bool {
	if t.Newest() != other.Newest() {
		return t.Newest() > other.Newest()
	}
	return t.head > other.head
}

// ack is a peer's acknowledgement that it holds a view.
type ack struct {
	at    time.Time
	terms Terms
}

// Node is what an entry knows. Use NewNode. It is not safe for concurrent use.
type Node struct {
	self    string
	timing  Timing
	view    View
	freshAt time.Time
	acks    map[string]ack
}

// NewNode returns the state of an entry that knows nothing yet. Self is the
// name of this run of the process; a restarted process is another voter.
func NewNode(self string, timing Timing) *Node {
	return &Node{self: self, timing: timing, acks: make(map[string]ack)}
}

// Self returns the name by which the node has a vote.
func (n *Node) Self() string { return n.self }

// View returns what the node knows of the marks.
func (n *Node) View() View { return n.view }

// Learn takes in a view that was current at the time at: the sending time of a
// read, or of a question that a peer has answered, less the age that the peer
// gave. It reports whether the node's view has changed, and in older whether the
// view is older than the one known already or contradicts it; then it isn't
// obeyed.
func (n *Node) Learn(view View, at time.Time) (changed, older bool) {
	if n.view.contradicts(view) {
		return false, true
	}
	known, told := n.view.Terms(), view.Terms()
	if told.Newest() < known.Newest() {
		return false, true
	}
	changed = told.NewerThan(known)
	if changed {
		n.freshAt = at
		n.view = view
	}
	// Where the highest term is the same, nothing newer existed at that time.
	n.refresh(at)
	return changed, false
}

func (n *Node) refresh(at time.Time) {
	if at.After(n.freshAt) {
		n.freshAt = at
	}
}

// RecordAck takes in a peer's word that it holds the view with the terms, given in
// answer to a question that was sent at asked. ReadAt is the time at which the
// peer's view was current, less the time that the answer may have taken; it is
// the zero time if the peer can't tell.
func (n *Node) RecordAck(peer string, terms Terms, asked, readAt time.Time) {
	n.acks[peer] = ack{at: asked, terms: terms}
	if terms.Newest() == n.view.Terms().Newest() {
		n.refresh(readAt)
	}
}

// ViewAge returns how long ago the node's view is known to have been current.
func (n *Node) ViewAge(now time.Time) time.Duration {
	if n.freshAt.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(n.freshAt)
}

// IsFresh reports whether the view was current within the bound.
func (n *Node) IsFresh(now time.Time) bool { return n.ViewAge(now) <= n.timing.fresh }

// IsVoter reports whether the node has a vote on what follows the head.
func (n *Node) IsVoter() bool { return slices.Contains(n.view.head.Voters(), n.self) }

// ServeState tells why a node may take new work or not.
type ServeState int

// The standings of a node.
const (
	// ServeStateStale says that the node can't show that its view is current.
	ServeStateStale ServeState = iota
	// ServeStateNoVote says that the node isn't among the voters.
	ServeStateNoVote
	// ServeStateFresh says that the node has heard of the service in time.
	ServeStateFresh
	// ServeStateQuorum says that a majority holds the node's view.
	ServeStateQuorum
)

// MayServe reports whether the standing allows new work.
func (s ServeState) MayServe() bool { return s == ServeStateFresh || s == ServeStateQuorum }

// String returns the standing's name.
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

func (n *Node) hasQuorum(now time.Time) bool {
	holds := func(voter string) bool { return voter == n.self || n.holdsSame(voter, now) }
	if !isMajority(n.view.head.Voters(), holds) {
		return false
	}
	return !n.view.HasPending() || isMajority(n.view.pending.Voters(), holds)
}

func (n *Node) holdsSame(peer string, now time.Time) bool {
	word, ok := n.acks[peer]
	return ok && now.Sub(word.at) <= n.timing.evidence && word.terms == n.view.Terms()
}

// HasSeen reports whether a peer is known to know the term, and so to obey the
// pending mark of that term.
func (n *Node) HasSeen(peer string, term uint64) bool {
	if peer == n.self {
		return n.view.Terms().Newest() >= term
	}
	return n.acks[peer].terms.Newest() >= term
}

// PruneAcks drops the words of peers that have no vote any more.
func (n *Node) PruneAcks() {
	for peer := range n.acks {
		if !slices.Contains(n.view.head.Voters(), peer) && !slices.Contains(n.view.pending.Voters(), peer) {
			delete(n.acks, peer)
		}
	}
}

// isMajority reports whether holds is true of more than half of voters. Of no
// voters there is no majority.
func isMajority(voters []string, holds func(string) bool) bool {
	count := 0
	for _, voter := range voters {
		if holds(voter) {
			count++
		}
	}
	return 2*count > len(voters)
}
