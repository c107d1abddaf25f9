package mirror_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// decodeForm decodes pairs like decode, but the value of "endpoint/ID" is a start time in seconds, a
// sequence and a state.
func decodeForm(pair store.Pair) (any, error) {
	id, isEndpoint := strings.CutPrefix(pair.Key(), "endpoint/")
	if !isEndpoint {
		return decode(pair)
	}
	var spec form
	if _, err := fmt.Sscan(string(pair.Value()), &spec.start, &spec.sequence, &spec.state); err != nil {
		return nil, eris.Wrap(err, "malformed endpoint")
	}
	return table.NewEndpoint(table.EndpointSpec{
		ID: id, Service: "s", DataCentre: "a", Address: netip.MustParseAddrPort("10.0.0." + id + ":80"),
		Start: time.Unix(int64(spec.start), 0), Sequence: spec.sequence, Draining: spec.state == "draining",
	}), nil
}

// form is a record of an endpoint.
type form struct {
	start, sequence uint64
	state           string
}

// shownForms returns the endpoints in a view.
func shownForms(view *mirror.View) map[string]form {
	forms := make(map[string]form)
	for _, endpoint := range view.Endpoints("s") {
		shown := form{start: uint64(endpoint.Start().Unix()), sequence: endpoint.Sequence(), state: "ready"}
		if endpoint.Draining() {
			shown.state = "draining"
		}
		forms["endpoint/"+endpoint.ID()] = shown
	}
	return forms
}

// read has a state take a full read of the store.
func read(s *mirror.State, era, revision uint64, now time.Time, pairs ...store.Pair) {
	s.Replace(store.SnapshotAt(pairs, store.At(era, revision)), now, now)
}

// TestLateAnswerChangesNothing guards against an answer to a watch that is older than the state, which
// brings back what was removed since or an older form of what the store shows.
func TestLateAnswerChangesNothing(t *testing.T) {
	added := store.Written(pair("endpoint/1", "1 1 ready", 15))
	t.Run("removed key", func(t *testing.T) {
		s := mirror.New(decodeForm)
		read(s, 1, 20, start)
		s.Apply([]store.Change{added}, 15, start, start)
		require.Empty(t, ids(s.View()))
	})
	t.Run("held key", func(t *testing.T) {
		s := mirror.New(decodeForm)
		read(s, 1, 40, start, pair("endpoint/1", "1 5 draining", 40))
		newer := pair("endpoint/1", "1 2 ready", 18)
		read(s, 2, 20, start, newer)
		s.Apply([]store.Change{added}, 15, start, start)
		require.Equal(t, []store.Pair{newer}, s.Pairs())
		s.Apply([]store.Change{store.Removed("endpoint/1", 16)}, 16, start, start)
		require.Equal(t, []store.Pair{newer}, s.Pairs())
	})
}

// TestCopyDoesNotRestoreExpiredEndpoint guards against an endpoint that was removed shortly before the
// recovery, and is in use for the whole hold since the copy shows an older form of it.
func TestCopyDoesNotRestoreExpiredEndpoint(t *testing.T) {
	s := mirror.New(decodeForm)
	read(s, 1, 30, start, pair("endpoint/1", "1 5 ready", 30))
	graceUntil := start.Add(mirror.ExpiryGrace)
	s.Replace(store.SnapshotAt(nil, store.At(1, 40)), start, graceUntil)
	require.Equal(t, []string{"1"}, ids(s.View()), "in its grace period")
	shown := pair("endpoint/1", "1 4 ready", 20)
	read(s, 2, 20, start, shown)
	require.Equal(t, []store.Pair{shown}, s.Pairs())
	s.Expire(graceUntil.Add(time.Millisecond))
	require.Empty(t, ids(s.View()))
}

// TestPeerOfLaterEraDoesNotUndoLeaving guards against a peer that knows a key only from the copy of an
// earlier recovery, and whose state takes the place of the later one that the copy lacked.
func TestPeerOfLaterEraDoesNotUndoLeaving(t *testing.T) {
	for name, lost := range map[string][]store.Pair{
		"draining": {pair("endpoint/1", "1 5 draining", 40)},
		"removed":  nil,
	} {
		t.Run(name, func(t *testing.T) {
			knowing, started := mirror.New(decodeForm), mirror.New(decodeForm)
			read(knowing, 1, 39, start, pair("endpoint/1", "1 4 ready", 20), pair("table", "9", 39))
			read(knowing, 1, 40, start, append(lost, pair("table", "9", 39))...)
			read(started, 2, 30, start, pair("endpoint/1", "1 4 ready", 20), pair("table", "7", 30))
			for _, s := range []*mirror.State{knowing, started} {
				read(s, 3, 10, start, pair("endpoint/1", "1 3 ready", 10), pair("table", "5", 9))
			}
			knowing.MergeHeld(started.Held(), start)
			started.MergeHeld(knowing.Held(), start)
			for _, s := range []*mirror.State{knowing, started} {
				require.NotEqual(t, "ready", shownForms(s.View())["endpoint/1"].state)
				require.Equal(t, uint64(9), s.View().Table().Version())
			}
			require.Equal(t, knowing.HeldFingerprint(), started.HeldFingerprint())
			joined := mirror.New(decodeForm)
			read(joined, 3, 10, start, knowing.Pairs()...)
			joined.MergeHeld(knowing.Held(), start)
			require.Equal(t, uint64(9), joined.View().Table().Version())
		})
	}
}

// TestHeldStateDoesNotUndoNewWrite guards against a peer that can't tell a write from the copy, and
// whose state takes the place of the write that this process has seen.
func TestHeldStateDoesNotUndoNewWrite(t *testing.T) {
	last := pair("endpoint/1", "1 4 ready", 18)
	again := pair("endpoint/1", "1 4 ready", 25)
	watching, late := mirror.New(decodeForm), mirror.New(decodeForm)
	for _, s := range []*mirror.State{watching, late} {
		read(s, 1, 30, start, last)
		read(s, 1, 40, start)
	}
	read(watching, 2, 20, start)
	watching.Apply([]store.Change{store.Written(again)}, 25, start, start)
	read(late, 2, 25, start, again)
	watching.MergeHeld(late.Held(), start)
	require.Equal(t, []string{"1"}, ids(watching.View()))
}

// TestUndecodableHeldStateIsIgnored guards against a peer of another version whose state hides what the
// store shows.
func TestUndecodableHeldStateIsIgnored(t *testing.T) {
	s := mirror.New(decodeForm)
	read(s, 2, 20, start, pair("endpoint/1", "1 4 ready", 20))
	item := mirror.NewHeld(pair("endpoint/1", "other", 40), false, store.At(1, 40), 20, time.Second)
	require.False(t, s.MergeHeld([]mirror.Held{item}, start))
	require.Equal(t, []string{"1"}, ids(s.View()))
}

// TestKeyThatIsNotHeldIsNotRemoved guards against an endpoint that isn't used for the hold of a removal
// that never was: the copy lacked a form of it that can't be decoded.
func TestKeyThatIsNotHeldIsNotRemoved(t *testing.T) {
	undecodable, lost := pair("endpoint/1", "bad", 20), pair("endpoint/1", "1 2 ready", 21)
	t.Run("a peer knows more", func(t *testing.T) {
		s, peer := mirror.New(decodeForm), mirror.New(decodeForm)
		read(s, 1, 20, start, undecodable)
		read(peer, 1, 21, start, lost)
		for _, process := range []*mirror.State{s, peer} {
			read(process, 2, 10, start)
		}
		require.True(t, s.MergeHeld(peer.Held(), start))
		require.Equal(t, []string{"1"}, ids(s.View()))
	})
	t.Run("registered after a second recovery", func(t *testing.T) {
		s := mirror.New(decodeForm)
		read(s, 1, 20, start, undecodable)
		read(s, 2, 15, start)
		read(s, 3, 12, start, pair("endpoint/1", "2 0 ready", 12))
		require.Equal(t, []string{"1"}, ids(s.View()))
	})
}

// TestLateProcessHoldsNothingSettled guards against a process that was away during a recovery and holds on
// for another minute to what the others have settled.
func TestLateProcessHoldsNothingSettled(t *testing.T) {
	s := mirror.New(decodeForm)
	read(s, 1, 40, start, pair("table", "7", 38), pair("endpoint/1", "1 5 ready", 39), pair("evacuate/a", "", 40))
	read(s, 2, 30, start)
	require.Equal(t, []string{"1"}, ids(s.View()))
	require.True(t, s.View().Evacuated("a"))
	s.NoteEraAge(90*time.Second, start)
	s.Expire(start)
	require.Empty(t, ids(s.View()))
	require.False(t, s.View().Evacuated("a"))
	require.Equal(t, uint64(7), s.View().Table().Version(), "versions never go back")
}

// TestLaggingPeerLearnsOfRemoval guards against requests to an endpoint whose removal the copy has, by a
// process that hadn't seen it before the recovery, while another one had.
func TestLaggingPeerLearnsOfRemoval(t *testing.T) {
	knowing, lagging := mirror.New(decodeForm), mirror.New(decodeForm)
	for _, s := range []*mirror.State{knowing, lagging} {
		read(s, 1, 30, start, pair("endpoint/1", "1 4 ready", 18))
	}
	read(knowing, 1, 40, start)
	for _, s := range []*mirror.State{knowing, lagging} {
		read(s, 2, 45, start)
	}
	lagging.MergeHeld(knowing.Held(), start)
	knowing.MergeHeld(lagging.Held(), start)
	require.Empty(t, ids(knowing.View()))
	require.Empty(t, ids(lagging.View()))
	require.Equal(t, knowing.HeldFingerprint(), lagging.HeldFingerprint())
}

// TestRunningEndpointIsNotHeldOut guards against endpoints that get no requests for a minute: their keys
// had expired just before the recovery, and the copy has them in the form in which they stay.
func TestRunningEndpointIsNotHeldOut(t *testing.T) {
	shown := pair("endpoint/1", "1 4 ready", 18)
	s := mirror.New(decodeForm)
	read(s, 1, 30, start, shown)
	read(s, 1, 40, start)
	read(s, 2, 20, start, shown)
	require.Empty(t, ids(s.View()), "its removal may be repeated")
	s.Expire(start.Add(11 * time.Second))
	require.Equal(t, []string{"1"}, ids(s.View()))
}

// TestGoneEndpointIsNotHeld guards against requests to an endpoint that has gone: the first snapshot of an
// era lacks it, and nothing shows whether the copy did.
func TestGoneEndpointIsNotHeld(t *testing.T) {
	s := mirror.New(decodeForm)
	read(s, 1, 30, start, pair("endpoint/1", "1 4 ready", 18))
	read(s, 2, 20, start)
	require.Equal(t, []string{"1"}, ids(s.View()), "it may register again")
	s.Expire(start.Add(mirror.ExpiryGrace + time.Millisecond))
	require.Empty(t, ids(s.View()))
}
