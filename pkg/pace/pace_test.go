package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/pace"
)

const runTime = 100 * time.Millisecond

var start = time.Unix(1000, 0)

// ramp returns a ramp that begins at 1 request per second at each of some entries, of an
// endpoint that is fully used at 40.
func ramp(entries int) pace.Ramp {
	return pace.New(pace.Start{At: start, Rate: float64(entries), Capacity: 40, Entries: entries, RunTime: runTime})
}

// end is how a request ends.
type end struct {
	result pace.Result
	took   time.Duration
	load   float64
}

// play sends a request whenever the ramp allows one, each of which ends before the next, and
// returns the rate after each.
func play(r *pace.Ramp, ends []end) (rates []float64) {
	now := start
	for _, e := range ends {
		for !r.Allows(now, false) {
			now = now.Add(time.Millisecond)
		}
		r.RecordSend(now)
		r.Observe(pace.Observation{Result: e.result, SentAt: now, At: now.Add(e.took), Load: e.load})
		now = now.Add(e.took)
		rates = append(rates, r.Rate())
	}
	return rates
}

// TestRate guards against rates that rise by chance or by fast errors, don't fall when the
// endpoint bears less, or never rise again.
func TestRate(t *testing.T) {
	good, quick := end{took: runTime}, end{took: runTime / 10}
	slow, full, over := end{took: 3 * runTime}, end{took: runTime, load: 1}, end{took: runTime, load: 1.5}
	refused, failed := end{result: pace.Refused, took: time.Millisecond}, end{result: pace.Failed, took: time.Millisecond}
	testCases := []struct {
		name    string
		entries int
		ends    []end
		rates   []float64
	}{
		{"good answers, one of many entries", 12, []end{good, good, good}, []float64{2, 4, 8}},
		{"until no limit is needed", 12, []end{quick, quick, quick, quick, quick, quick, quick}, []float64{2, 4, 8, 16, 32, 0, 0}},
		{"one good answer by chance", 2, []end{refused, good, refused}, []float64{0.5, 0.5, 0.25}},
		{"good answers, one of few entries", 2, []end{good, good, good, good}, []float64{1, 2, 2, 4}},
		{"fast errors", 12, []end{failed, failed, failed, failed}, []float64{0.5, 0.25, 0.25, 0.25}},
		{"slots are taken", 12, []end{full, full, full, full}, []float64{1, 1, 1, 1}},
		{"requests wait", 12, []end{over, over, over, good}, []float64{1, 1, 0.7, 1.4}},
		{"slower for once", 12, []end{good, slow, good}, []float64{2, 2, 4}},
		{"cold again", 12, []end{good, good, slow, slow, slow}, []float64{2, 4, 4, 4, 2.8}},
		{"always slower than others", 12, []end{slow, slow, slow, slow, good, good}, []float64{1, 1, 0.7, 1.4, 2.8, 5.6}},
		{"recovers after refusals", 12, []end{refused, refused, good, good, good}, []float64{0.5, 0.25, 0.5, 1, 2}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			r := ramp(tc.entries)
			require.InDeltaSlice(t, tc.rates, play(&r, tc.ends), 0.001)
		})
	}
}

// TestObservationsOfOtherRates guards against answers that say nothing of the current rate:
// those to earlier requests, several refusals of one burst, and answers to few requests.
func TestObservationsOfOtherRates(t *testing.T) {
	r, at := ramp(12), start.Add(time.Second)
	r.RecordSend(at)
	for range 3 {
		r.Observe(pace.Observation{Result: pace.Refused, SentAt: at, At: at.Add(runTime)})
	}
	require.InDelta(t, 0.5, r.Rate(), 0.001, "one burst")
	r.Observe(pace.Observation{SentAt: at, At: at.Add(2 * runTime)})
	require.InDelta(t, 0.5, r.Rate(), 0.001, "an answer to an earlier request")
	at = at.Add(4 * time.Second)
	r.RecordSend(at)
	r.Observe(pace.Observation{SentAt: at, At: at.Add(runTime)})
	require.InDelta(t, 0.5, r.Rate(), 0.001, "the entry sends less than it may")
}

// TestStartsAfterRefusals guards against an endpoint that becomes cold without notice and gets
// the full flow on.
func TestStartsAfterRefusals(t *testing.T) {
	var r pace.Ramp
	refused := pace.Observation{Result: pace.Refused, At: start}
	require.False(t, r.Observe(refused))
	require.False(t, r.Observe(refused))
	require.False(t, r.Observe(pace.Observation{At: start}))
	require.False(t, r.Observe(refused))
	require.False(t, r.Observe(refused))
	require.True(t, r.Observe(refused))
}

// TestEntriesBeginApart guards against entries that send together when a ramp begins, and against
// a limit that remains at an entry with few requests.
func TestEntriesBeginApart(t *testing.T) {
	const entries = 12
	sent := 0
	for entry := range entries {
		r := pace.New(pace.Start{At: start, Rate: entries, Capacity: 40, Entries: entries, Phase: (float64(entry) + 0.5) / entries})
		require.False(t, r.Allows(start, true))
		if r.Allows(start.Add(500*time.Millisecond), false) {
			sent++
		}
		require.True(t, r.Allows(start.Add(250*time.Millisecond), true), "no other endpoint takes the request")
	}
	require.Equal(t, entries/2, sent)

	r := pace.New(pace.Start{At: start, ColdUntil: start.Add(time.Minute), Rate: entries, Capacity: 40, Entries: entries})
	slowly := func(at time.Time) {
		r.RecordSend(at)
		r.Observe(pace.Observation{SentAt: at, At: at.Add(runTime), Load: 1})
	}
	slowly(start.Add(time.Minute))
	require.True(t, r.IsActive(), "it has just ended to be cold")
	slowly(start.Add(time.Minute + 10*time.Second))
	require.False(t, r.IsActive())
}

// BenchmarkAllows measures the decision for all endpoints of a service.
func BenchmarkAllows(b *testing.B) {
	for _, n := range []int{63, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ramps := make([]pace.Ramp, n)
			for i := range ramps {
				ramps[i] = ramp(12)
			}
			for b.Loop() {
				for i := range ramps {
					ramps[i].Allows(start, false)
				}
			}
		})
	}
}
