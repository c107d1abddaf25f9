package quorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/quorum"
)

func refOf(term uint64, hash string) chain.Ref {
	return chain.NewRef(term, term, hash, []string{"a", "b"}, "a")
}

// TestNewerRefIsNoAcknowledgement guards against a round that counts peers which hold a ref that
// the service has lost, so that its term is given out again.
func TestNewerRefIsNoAcknowledgement(t *testing.T) {
	now := time.Unix(1000, 0)
	node := quorum.NewNode("a", quorum.DefaultTiming())
	staged := quorum.NewView(refOf(3, "v3"), refOf(4, "v4 again"))
	node.Learn(staged, now)
	node.RecordAck("b", quorum.NewTerms(5, 0, 0), now, now)
	round := quorum.NewRound(quorum.DefaultTiming(), staged, now, 10*time.Second)
	require.Equal(t, []string{"b"}, round.Unacknowledged(node))
	require.Equal(t, quorum.DecisionWait, round.Decide(node, now.Add(9*time.Second)))
}

// TestOtherRefOfTheSameTermIsNoAcknowledgement guards against a round that counts peers which hold
// another version, staged before the service lost it and gave out its term again.
func TestOtherRefOfTheSameTermIsNoAcknowledgement(t *testing.T) {
	now := time.Unix(1000, 0)
	node := quorum.NewNode("a", quorum.DefaultTiming())
	staged := quorum.NewView(refOf(3, "v3"), refOf(4, "v4 again"))
	lost := quorum.NewView(refOf(3, "v3"), refOf(4, "v4"))
	node.Learn(staged, now)
	node.RecordAck("b", lost.Terms(), now, now)
	round := quorum.NewRound(quorum.DefaultTiming(), staged, now, 10*time.Second)
	require.Equal(t, []string{"b"}, round.Unacknowledged(node))
	node.RecordAck("b", staged.Terms(), now, now)
	require.Empty(t, round.Unacknowledged(node))
}

// TestHeadNeverGoesBack guards against a version in force being undone by one that was staged on
// the copy from which the service recovered.
func TestHeadNeverGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	node := quorum.NewNode("a", quorum.DefaultTiming())
	node.Learn(quorum.NewView(refOf(5, "v5"), chain.Ref{}), now)
	changed, rejected := node.Learn(quorum.NewView(refOf(3, "v3"), refOf(6, "v6")), now.Add(time.Second))
	require.False(t, changed)
	require.True(t, rejected)
	require.Equal(t, uint64(5), node.View().Head().Term())
}
