package quorum

import (
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/chain"
)

// Decision is what a Round says should be done now.
type Decision int

// The verdicts of a round.
const (
	// DecisionWait says that it isn't time yet.
	DecisionWait Decision = iota
	// DecisionCommit says that the pending mark may become the head.
	DecisionCommit
	// DecisionAbort says that the round has taken too long and should be given up.
	DecisionAbort
)

// Round is the acceptance of one pending mark by the entry that watches over it.
// Use NewRound.
type Round struct {
	timing   Timing
	head     chain.Ref
	pending  chain.Ref
	written  time.Time
	bound    time.Duration
	majority time.Time
}

// NewRound returns the round of a pending mark that is known to have been
// written by the time written. It is given up if no majority knows the mark
// within bound.
func NewRound(timing Timing, view View, written time.Time, bound time.Duration) *Round {
	return &Round{timing: timing, head: view.head, pending: view.pending, written: written, bound: bound}
}

// Unacknowledged returns the voters that aren't known to know the pending mark.
func (r *Round) Unacknowledged(node *Node) []string {
	var missing []string
	for _, voter := range r.head.Voters() {
		if !node.HasSeen(voter, r.pending.Term()) {
			missing = append(missing, voter)
		}
	}
	return missing
}

// Decide returns what should be done now, by what the node knows of its peers.
func (r *Round) Decide(node *Node, now time.Time) Decision {
	knows := func(voter string) bool { return node.HasSeen(voter, r.pending.Term()) }
	if !slices.ContainsFunc(r.head.Voters(), func(voter string) bool { return !knows(voter) }) {
		return DecisionCommit
	}
	if r.majority.IsZero() && isMajority(r.head.Voters(), knows) {
		r.majority = now
	}
	if r.majority.IsZero() {
		if now.Sub(r.written) > r.bound {
			return DecisionAbort
		}
		return DecisionWait
	}
	silent := r.written.Add(r.timing.fresh + r.timing.slack)
	outvoted := r.majority.Add(r.timing.evidence + r.timing.slack)
	if !now.After(silent) || !now.After(outvoted) {
		return DecisionWait
	}
	return DecisionCommit
}

// CommitMark returns the mark that makes the pending version the head.
func (r *Round) CommitMark() chain.Ref {
	return chain.NewRef(r.pending.Term(), r.pending.Number(), r.pending.Hash(), r.pending.Voters(), r.pending.By())
}

// AbortMark returns the mark that gives up the pending version: the head again,
// with a term above the pending one's.
func (r *Round) AbortMark() chain.Ref {
	return chain.NewRef(r.pending.Term()+1, r.head.Number(), r.head.Hash(), r.head.Voters(), r.head.By())
}

// Pending returns the mark that the round is about.
func (r *Round) Pending() chain.Ref { return r.pending }

// Head returns the mark that was in force when the round began.
func (r *Round) Head() chain.Ref { return r.head }
