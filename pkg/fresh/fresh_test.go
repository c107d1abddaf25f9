package fresh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/fresh"
	"github.com/lentilstand/lentilstand/pkg/store"
)

func ExampleTracker() {
	now := time.Unix(1000, 0)
	tracker := fresh.New(0)
	tracker.Advance(store.At(0, 7))
	// Another process asked the source 400 ms ago, when revision 7 was the newest.
	tracker.Confirm(store.At(0, 7), fresh.Relayed(now.Add(-400*time.Millisecond), 0))
	fmt.Println("ask in", tracker.AskIn(now, 1600*time.Millisecond, time.Second))
	// Output: ask in 1.2s
}

// TestEvidenceCoversItsRevision guards against a copy that counts as current by evidence about a
// revision that it doesn't have yet.
func TestEvidenceCoversItsRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := fresh.New(0)
	tracker.Advance(store.At(0, 5))
	require.True(t, tracker.Confirm(store.At(0, 3), fresh.Seen(now)), "evidence about an older revision covers the copy")
	later := now.Add(time.Second)
	require.False(t, tracker.Confirm(store.At(0, 6), fresh.Seen(later)))
	require.Equal(t, now, tracker.Latest().At())
	tracker.Advance(store.At(0, 6))
	require.Equal(t, later, tracker.Latest().At())
}

// TestEvidenceGetsOlder guards against evidence that stays young as processes pass it to each
// other: each hop adds the transit time of a message to its moment.
func TestEvidenceGetsOlder(t *testing.T) {
	const transit = 60 * time.Millisecond
	start := time.Unix(1000, 0)
	now := start
	trackers := []*fresh.Tracker{fresh.New(0), fresh.New(0)}
	trackers[0].Confirm(store.At(0, 0), fresh.Seen(start))
	for i := range 100 {
		from, to := trackers[i%2], trackers[1-i%2]
		evidence := from.Latest()
		age := evidence.Age(now)
		now = now.Add(transit)
		if evidence.CanRelay() {
			to.Confirm(store.At(0, 0), fresh.Relayed(now.Add(-age), evidence.Hops()))
		}
	}
	for _, tracker := range trackers {
		require.LessOrEqual(t, tracker.Latest().At().Sub(start), fresh.MaxHops*transit)
	}
}

// TestUnansweredCallIsRepeated checks when the source is asked again.
func TestUnansweredCallIsRepeated(t *testing.T) {
	const limit, retry = time.Second, 400 * time.Millisecond
	now := time.Unix(1000, 0)
	tracker := fresh.New(0)
	require.LessOrEqual(t, tracker.AskIn(now, limit, retry), time.Duration(0), "there is no evidence")
	tracker.Asked(now, false)
	require.Equal(t, retry, tracker.AskIn(now, limit, retry))
	now = now.Add(retry)
	require.LessOrEqual(t, tracker.AskIn(now, limit, retry), time.Duration(0))
	tracker.Asked(now, true)
	tracker.Confirm(store.At(0, 0), fresh.Seen(now))
	require.Equal(t, limit, tracker.AskIn(now, limit, retry))
}

// TestEvidenceOfOtherEraSaysNothing guards against a copy that counts as current by evidence of another era,
// in which the same revision is another state.
func TestEvidenceOfOtherEraSaysNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds int) fresh.Evidence { return fresh.Seen(now.Add(time.Duration(seconds) * time.Second)) }
	tracker := fresh.New(0)
	tracker.Advance(store.At(2, 5))
	require.True(t, tracker.Confirm(store.At(2, 5), at(0)))
	for _, earlier := range []store.Position{store.At(0, 9), store.At(1, 5), store.At(1, 100)} {
		require.False(t, tracker.Confirm(earlier, at(1)))
	}
	for _, later := range []store.Position{store.At(3, 1), store.At(3, 5), store.At(3, 4)} {
		require.False(t, tracker.Confirm(later, at(2)))
	}
	require.Equal(t, at(0), tracker.Latest())
	tracker.Advance(store.At(2, 100))
	require.Equal(t, at(0), tracker.Latest(), "the copy is of the earlier era")
	require.True(t, tracker.Confirm(store.At(2, 100), at(1)))
	tracker.Advance(store.At(3, 4))
	require.Equal(t, at(1), tracker.Latest(), "the copy lacks a revision of the era")
	tracker.Advance(store.At(2, 200))
	require.False(t, tracker.Confirm(store.At(2, 200), at(3)), "the copy doesn't go back")
	tracker.Advance(store.At(3, 5))
	require.Equal(t, at(2), tracker.Latest())
}

// TestEvidenceOfSkippedEraIsDropped guards against pending evidence that counts once the copy is in an even
// later era.
func TestEvidenceOfSkippedEraIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := fresh.New(0)
	tracker.Advance(store.At(1, 9))
	require.False(t, tracker.Confirm(store.At(2, 4), fresh.Seen(now)))
	tracker.Advance(store.At(3, 2))
	require.True(t, tracker.Latest().At().IsZero())
	require.True(t, tracker.Confirm(store.At(3, 2), fresh.Seen(now.Add(-time.Second))))
}
