package mirror_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// TestRemovalThatAPeerSawEndsAHold guards against a state that holds what the store hasn't lost: it was
// removed after the recovery, which a peer has seen.
func TestRemovalThatAPeerSawEndsAHold(t *testing.T) {
	keys := []store.Pair{pair("endpoint/e", "1.1.1.1:9 5 ready", 2), pair("evacuate/a", "", 3), pair("table", "1", 1)}
	before, copied := store.SnapshotAt(keys, store.At(1, 9)), store.SnapshotAt(keys, store.At(2, 5))
	peer, state := mirror.New(decode), mirror.New(decode)
	require.True(t, peer.Replace(before, start, start))
	require.True(t, state.Replace(before, start, start))
	require.True(t, peer.Replace(copied, start, start))
	peer.Apply([]store.Change{store.Removed("endpoint/e", 6), store.Removed("evacuate/a", 7)}, 7, start, start)
	require.Len(t, peer.Removals(), 2)

	require.True(t, state.Replace(store.SnapshotAt(peer.Pairs(), peer.Position()), start, start))
	require.Equal(t, []string{"e"}, ids(state.View()))
	require.True(t, state.View().Evacuated("a"))
	held := state.Held()
	require.Len(t, held, 2)
	require.False(t, state.DropHeld([]store.Change{store.Written(keys[0]), store.Removed("table", 7)}, start, start))
	require.True(t, state.DropHeld(peer.Removals(), start, start))
	require.Empty(t, ids(state.View()))
	require.False(t, state.View().Evacuated("a"))
	require.Empty(t, state.Held())
	require.False(t, state.MergeHeld(held, start.Add(time.Second)), "held again")
	require.False(t, peer.MergeHeld(held, start.Add(time.Second)), "held by the peer")

	state.Apply([]store.Change{store.Written(pair("endpoint/e", "1.1.1.1:9 6 ready", 8))}, 8, start, start)
	require.Equal(t, []string{"e"}, ids(state.View()))
}
