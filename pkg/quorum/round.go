package quorum

import (
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/chain"
)

// Decision is the next step of a Round.
type Decision int

// The decisions of a round.
const (
	// DecisionWait means that the pending ref can't be committed yet.
	DecisionWait Decision = iota
	// DecisionCommit means that the pending ref may become the head.
	DecisionCommit
	// DecisionAbort means that no majority learned of the pending ref within the
	// round's timeout.
	DecisionAbort
)

// Round is the commit of one pending ref by the entry that coordinates it. Use
// NewRound.
type Round struct {
	timing  Timing
	head    chain.Ref
	pending chain.Ref
	staged  Terms
	// writtenAt is a time by which the pending ref had been written.
	writtenAt time.Time
	timeout   time.Duration
	// majorityAt is when a majority was first seen to know the pending ref.
	majorityAt time.Time
}

// NewRound returns a round that commits the pending ref of view, which had been
// written by writtenAt. The round aborts if no majority knows the ref within
// timeout.
func NewRound(timing Timing, view View, writtenAt time.Time, timeout time.Duration) *Round {
	return &Round{timing: timing, head: view.head, pending: view.pending, staged: view.Terms(), writtenAt: writtenAt, timeout: timeout}
}

// Unacknowledged returns the voters that haven't acknowledged the pending ref.
func (r *Round) Unacknowledged(node *Node) []string {
	var voters []string
	for _, voter := range r.head.Voters() {
		if !node.HasSeen(voter, r.staged) {
			voters = append(voters, voter)
		}
	}
	return voters
}

// Decide returns the next step, given the acknowledgements that node has
// received. The first call that finds a majority starts the wait for MaxAckAge.
func (r *Round) Decide(node *Node, now time.Time) Decision {
	hasSeen := func(voter string) bool { return node.HasSeen(voter, r.staged) }
	if !slices.ContainsFunc(r.head.Voters(), func(voter string) bool { return !hasSeen(voter) }) {
		return DecisionCommit
	}
	if r.majorityAt.IsZero() && isMajority(r.head.Voters(), hasSeen) {
		r.majorityAt = now
	}
	if r.majorityAt.IsZero() {
		if now.Sub(r.writtenAt) > r.timeout {
			return DecisionAbort
		}
		return DecisionWait
	}
	// Past both times no voter that doesn't know the pending ref can be serving.
	readsExpire := r.writtenAt.Add(r.timing.maxReadAge + r.timing.clockDrift)
	acksExpire := r.majorityAt.Add(r.timing.maxAckAge + r.timing.clockDrift)
	if !now.After(readsExpire) || !now.After(acksExpire) {
		return DecisionWait
	}
	return DecisionCommit
}

// CommitRef returns the head that brings the pending version into force. It keeps
// the term of the pending ref.
func (r *Round) CommitRef() chain.Ref {
	return chain.NewRef(r.pending.Term(), r.pending.Number(), r.pending.Hash(), r.pending.Voters(), r.pending.By())
}

// AbortRef returns the head that aborts the pending version: the present head
// with a term above that of the pending ref.
func (r *Round) AbortRef() chain.Ref {
	return chain.NewRef(r.pending.Term()+1, r.head.Number(), r.head.Hash(), r.head.Voters(), r.head.By())
}

// Pending returns the ref that the round commits or aborts.
func (r *Round) Pending() chain.Ref { return r.pending }

// Head returns the ref that was in force when the round began.
func (r *Round) Head() chain.Ref { return r.head }
