package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/blame"
)

const (
	deadly blame.Part = 1
	common blame.Part = 2
	rare   blame.Part = 3
)

// history is a sequence of crashes and answers at one tracker.
type history struct {
	tracker blame.Tracker
	now     time.Time
	crashes int
}

// newHistory returns a history in which the common part has been answered for a while.
func newHistory() *history {
	h := &history{now: time.Unix(1000, 0)}
	h.answer(common)
	h.sleep(time.Minute)
	return h
}

func (h *history) sleep(duration time.Duration) { h.now = h.now.Add(duration) }

func (h *history) answer(parts ...blame.Part) { h.tracker.RecordAnswer(parts, h.now) }

// crash records the crash of another endpoint.
func (h *history) crash(parts ...blame.Part) {
	h.crashes++
	h.tracker.RecordCrash(parts, fmt.Sprint("i-", h.crashes), h.now)
}

// passes reports whether a request with the parts may be sent by the entry that probes them
// first, or by one that probes them much later.
func (h *history) passes(probesFirst bool, parts ...blame.Part) bool {
	rank := 1000
	if probesFirst {
		rank = 0
	}
	ranked := func(blame.Part) int { return rank }
	refused, _ := h.tracker.Check(parts, ranked, h.now)
	if refused {
		return false
	}
	_, ok := h.tracker.BeginProbe(parts, ranked, h.now)
	return ok
}

// TestPartsAreBlocked guards against parts that crash endpoints and aren't blocked, and
// against sound parts of the same requests that are.
func TestPartsAreBlocked(t *testing.T) {
	testCases := []struct {
		name   string
		events func(h *history)
		want   map[blame.Part]bool
	}{
		{
			name: "a part that was never answered", events: func(h *history) { h.crash(common, deadly) },
			want: map[blame.Part]bool{deadly: true, common: false},
		},
		{name: "bystanders at the same endpoint", events: func(h *history) {
			h.crash(common, deadly)
			h.tracker.RecordCrash([]blame.Part{common, rare}, "i-1", h.now)
			h.answer(common, rare)
		}, want: map[blame.Part]bool{deadly: true, common: false, rare: false}},
		{name: "a part in common use that begins to crash endpoints", events: func(h *history) {
			for range 3 {
				h.sleep(5 * time.Second)
				h.crash(common)
			}
		}, want: map[blame.Part]bool{common: true}},
		{name: "three endpoints that crash together", events: func(h *history) {
			for range 3 {
				h.crash(common)
			}
		}, want: map[blame.Part]bool{common: false}},
		{name: "crashes with answers between them", events: func(h *history) {
			for range 6 {
				h.sleep(5 * time.Second)
				h.crash(common)
				h.sleep(time.Second)
				h.answer(common)
			}
		}, want: map[blame.Part]bool{common: false}},
		{name: "crashes that another part explains", events: func(h *history) {
			for range 4 {
				h.sleep(5 * time.Second)
				h.crashes++
				for _, parts := range [][]blame.Part{{deadly}, {common}} {
					h.tracker.RecordCrash(parts, fmt.Sprint("i-", h.crashes), h.now)
				}
			}
		}, want: map[blame.Part]bool{deadly: true, common: false}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHistory()
			tc.events(h)
			for part, blocked := range tc.want {
				require.Equal(t, blocked, !h.passes(false, part), "part %d", part)
				require.Equal(t, blocked, h.tracker.IsBlocked([]blame.Part{part}, time.Time{}, h.now), "part %d", part)
			}
		})
	}
}

// TestPartsInCommonUseSurviveARestart guards against a crash soon after the start of an
// entry, which knows of no answers yet, blocking what most requests have.
func TestPartsInCommonUseSurviveARestart(t *testing.T) {
	h := &history{now: time.Unix(1000, 0)}
	h.crash(common)
	require.True(t, h.passes(false, common))
	h.answer(rare)
	h.crash(common)
	require.True(t, h.passes(false, common), "crashes of one episode")
	h.sleep(4 * time.Second)
	h.crash(common)
	require.False(t, h.passes(false, common))
	h.answer(common)
	require.True(t, h.passes(false, common))
}

// TestBlockedPartsAreProbed guards against parts that stay blocked though they are sound,
// and against probes that crash endpoints again and again.
func TestBlockedPartsAreProbed(t *testing.T) {
	h := newHistory()
	h.crash(deadly)
	for _, delay := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute} {
		h.sleep(delay - time.Millisecond)
		require.False(t, h.passes(true, deadly), "%s after the last crash", delay)
		h.sleep(time.Millisecond)
		require.False(t, h.passes(false, deadly), "only one entry probes")
		require.True(t, h.passes(true, deadly))
		require.False(t, h.passes(true, deadly), "only one request is the probe")
		require.False(t, h.tracker.IsBlocked([]blame.Part{deadly}, h.now, h.now), "the probe isn't cancelled")
		require.True(t, h.tracker.IsBlocked([]blame.Part{deadly}, time.Time{}, h.now), "other requests are")
		h.crash(deadly)
	}
	h.sleep(4 * time.Minute)
	require.True(t, h.passes(true, deadly))
	h.answer(deadly)
	require.True(t, h.passes(false, deadly))
	var last blame.Change
	for _, change := range h.tracker.DrainChanges() {
		last = change
	}
	require.Equal(t, deadly, last.Part())
	require.False(t, last.Blocked())
}

// TestEntriesAgreeWhoProbes guards against several entries that probe a part at once, and
// against none that does.
func TestEntriesAgreeWhoProbes(t *testing.T) {
	names := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	firsts := make(map[string]int)
	for n := range 400 {
		part := blame.PartOf("model", fmt.Sprint(n))
		ranks := make(map[int]string)
		for _, name := range names {
			ranks[blame.ProbeRank(part, name, names...)] = name
		}
		require.Len(t, ranks, len(names))
		firsts[ranks[0]]++
	}
	for _, name := range names {
		require.Greater(t, firsts[name], 50, name)
	}
	h := newHistory()
	h.crash(deadly)
	h.sleep(39 * time.Second)
	second := func(blame.Part) int { return 1 }
	refused, next := h.tracker.Check([]blame.Part{deadly}, second, h.now)
	require.True(t, refused)
	require.Equal(t, time.Second, next.Sub(h.now))
	h.sleep(time.Second)
	refused, _ = h.tracker.Check([]blame.Part{deadly}, second, h.now)
	require.False(t, refused, "the first entry hasn't probed")
}

// TestReportsCarryCrashesAndAnswers guards against entries that decide by their own crashes
// and answers only.
func TestReportsCarryCrashesAndAnswers(t *testing.T) {
	a, b := newHistory(), newHistory()
	b.answer(rare)
	b.sleep(time.Second)
	a.sleep(time.Second)
	a.crash(deadly)
	a.crash(rare)
	exchange := func() {
		b.tracker.Merge(a.tracker.Export(a.now), b.now)
		a.tracker.Merge(b.tracker.Export(b.now), a.now)
	}
	require.False(t, a.passes(false, rare), "only the other entry knows an answer")
	exchange()
	for name, h := range map[string]*history{"a": a, "b": b} {
		require.False(t, h.passes(false, deadly), name)
		require.True(t, h.passes(false, rare), name)
	}
	starting := &history{now: a.now}
	starting.tracker.Merge(a.tracker.ExportAll(a.now), starting.now)
	require.False(t, starting.passes(false, deadly), "an entry that has just started relies on the others")
}

// TestTrackerIsBounded guards against memory that grows with the number of parts.
func TestTrackerIsBounded(t *testing.T) {
	h := newHistory()
	h.crash(deadly)
	for n := range 20_000 {
		h.sleep(time.Millisecond)
		part := blame.Part(100 + n)
		h.answer(part)
		if n%10 == 0 {
			h.crash(part)
		}
	}
	require.False(t, h.passes(false, deadly), "blocked parts aren't evicted by others")
	require.LessOrEqual(t, len(h.tracker.ExportAll(h.now)), 24)
	h.sleep(2 * time.Hour)
	require.Empty(t, h.tracker.ExportAll(h.now))
}

// TestPartsOnTheWayToBeBlockedAreKept guards against a part that crashes endpoints being
// forgotten among the parts of other requests that the same crashes cut off.
func TestPartsOnTheWayToBeBlockedAreKept(t *testing.T) {
	h, peer := newHistory(), newHistory()
	h.answer(deadly)
	for range 3 {
		h.sleep(5 * time.Second)
		peer.now = h.now
		h.crash(deadly)
		for n := range 100 {
			bystander := blame.Part(1000*h.crashes + n)
			h.answer(bystander)
			h.sleep(time.Millisecond)
			h.tracker.RecordCrash([]blame.Part{bystander}, fmt.Sprint("i-", h.crashes), h.now)
		}
		peer.now = h.now
		peer.tracker.Merge(h.tracker.Export(h.now), peer.now)
	}
	require.False(t, h.passes(false, deadly))
	require.False(t, peer.passes(false, deadly))
}

// TestPartsBesideADeadlyOneAreToldApart guards against sound parts that stay blocked because
// the first request with them also had a part that crashes endpoints, and against tests that
// crash more endpoints than needed.
func TestPartsBesideADeadlyOneAreToldApart(t *testing.T) {
	const sound, second blame.Part = 10, 11
	const wait = 3 * time.Second
	t.Run("a request without the deadly part clears the other", func(t *testing.T) {
		h := newHistory()
		h.crash(common, sound, deadly)
		require.False(t, h.passes(true, common, sound), "the group isn't up again")
		h.sleep(wait)
		require.False(t, h.passes(true, common, sound, deadly), "it can't tell the parts apart")
		require.True(t, h.passes(true, common, sound))
		require.False(t, h.passes(true, common, sound), "one test at a time")
		h.answer(common, sound)
		require.True(t, h.passes(false, common, sound))
		require.False(t, h.passes(true, common, deadly), "the deadly part is known, so that it isn't tested")
	})
	t.Run("a request with the deadly part convicts it", func(t *testing.T) {
		h := newHistory()
		h.crash(common, sound, deadly)
		h.sleep(wait)
		require.True(t, h.passes(true, common, deadly))
		h.crash(common, deadly)
		h.sleep(wait)
		require.False(t, h.passes(true, common, deadly))
		require.True(t, h.passes(false, common, sound), "the first crash is explained")
	})
	t.Run("two sound parts that only come together", func(t *testing.T) {
		h := newHistory()
		h.crash(sound, second, deadly)
		h.sleep(wait)
		require.True(t, h.passes(true, sound, second))
		h.answer(sound, second)
		require.False(t, h.passes(true, deadly))
	})
	t.Run("parts of different requests at one endpoint", func(t *testing.T) {
		h := newHistory()
		h.crash(common, deadly)
		h.tracker.RecordCrash([]blame.Part{rare}, "i-1", h.now)
		h.sleep(wait)
		require.False(t, h.passes(true, common, deadly), "the crash of another replica would be needed to tell")
		h.answer(rare)
		require.True(t, h.passes(false, rare))
	})
	t.Run("each of five crashes has another part", func(t *testing.T) {
		h := newHistory()
		for n := range blame.Part(5) {
			if h.passes(true, 20+n, deadly) {
				h.crash(20+n, deadly)
			}
			h.sleep(wait)
		}
		require.LessOrEqual(t, h.crashes, 2)
		require.False(t, h.passes(true, deadly))
		for n := range blame.Part(5) {
			require.True(t, h.passes(false, common, 20+n))
		}
	})
	t.Run("a test that no endpoint runs is repeated at once", func(t *testing.T) {
		h := newHistory()
		h.crash(common, sound, deadly)
		h.sleep(wait)
		first := func(blame.Part) int { return 0 }
		started, ok := h.tracker.BeginProbe([]blame.Part{sound}, first, h.now)
		require.True(t, ok)
		h.tracker.CancelProbe([]blame.Part{sound}, started)
		require.True(t, h.passes(true, sound))
		h.sleep(wait)
		require.True(t, h.passes(true, sound), "a test without an outcome is repeated later")
	})
}

// TestEntriesTestAPartInTurn guards against a part that crashes endpoints being tested by many
// entries at once.
func TestEntriesTestAPartInTurn(t *testing.T) {
	const sound blame.Part = 10
	first, second := newHistory(), newHistory()
	first.crash(sound, deadly)
	second.tracker.Merge(first.tracker.Export(first.now), second.now)
	for _, h := range []*history{first, second} {
		h.sleep(3 * time.Second)
	}
	require.True(t, first.passes(true, sound))
	second.tracker.Merge(first.tracker.Export(first.now), second.now)
	require.False(t, second.passes(true, sound), "another entry's test runs")
	first.answer(sound)
	second.tracker.Merge(first.tracker.Export(first.now), second.now)
	require.True(t, second.passes(false, sound))
	require.False(t, second.passes(true, deadly))
}

// TestKnownAnswersPreventTests guards against a test of the deadly part by an entry that only
// hasn't heard yet that another one knows an answer to the part beside it.
func TestKnownAnswersPreventTests(t *testing.T) {
	h, peer := newHistory(), newHistory()
	peer.answer(rare)
	h.sleep(time.Second)
	peer.now = h.now
	h.crash(rare, deadly)
	require.False(t, h.passes(true, deadly))
	peer.tracker.Merge(h.tracker.Export(h.now), peer.now)
	h.sleep(200 * time.Millisecond)
	peer.now = h.now
	h.tracker.Merge(peer.tracker.Export(peer.now), h.now)
	h.sleep(3 * time.Second)
	require.False(t, h.passes(true, deadly))
	require.True(t, h.passes(false, rare))
}

func ExampleTracker() {
	var tracker blame.Tracker
	now := time.Unix(1000, 0)
	system, turn := blame.PartOf("skiff-lm", "a0"), blame.PartOf("skiff-lm", "b1")
	tracker.RecordAnswer([]blame.Part{system}, now)
	now = now.Add(time.Minute)
	tracker.RecordCrash([]blame.Part{system, turn}, "endpoint-1", now)
	first := func(blame.Part) int { return 0 }
	for _, parts := range [][]blame.Part{{system}, {system, turn}} {
		refused, _ := tracker.Check(parts, first, now)
		fmt.Println(refused)
	}
	// Output:
	// false
	// true
}
