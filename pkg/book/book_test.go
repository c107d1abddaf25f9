package book

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reservation is a call of Reserve. Times are in milliseconds.
type reservation struct {
	now, caller, urgency, earliest, latest int
	// want is the booked time, -1 if there is none.
	want int
}

// TestReserve guards against callers that are told the same time, less urgent callers that are
// told an earlier time than more urgent ones, and bookings that outlive their time.
func TestReserve(t *testing.T) {
	testCases := []struct {
		name      string
		perSecond float64
		// slower is by how much perSecond falls from one call to the next.
		slower       float64
		reservations []reservation
	}{
		{"spread over time", 10, 0, []reservation{{0, 1, 0, 500, 2000, 500}, {0, 2, 0, 500, 2000, 600}, {0, 3, 0, 500, 2000, 700}}},
		{"none after the latest time", 10, 0, []reservation{{0, 1, 0, 500, 600, 500}, {0, 2, 0, 500, 600, 600}, {0, 3, 0, 500, 600, -1}, {0, 4, 0, 700, 600, -1}}},
		{"the urgent first", 10, 0, []reservation{{0, 1, 1, 500, 2000, 500}, {0, 2, 1, 500, 2000, 600}, {0, 3, 0, 500, 2000, 500}, {0, 4, 1, 500, 2000, 800}, {0, 5, 2, 500, 2000, 900}}},
		{"a gap before later ones", 10, 0, []reservation{{0, 1, 0, 800, 2000, 800}, {0, 2, 0, 500, 2000, 500}, {0, 3, 0, 500, 2000, 600}}},
		{"lapsed bookings", 10, 0, []reservation{{0, 1, 0, 500, 2000, 500}, {0, 2, 0, 500, 2000, 600}, {600, 1, 0, 700, 2000, 700}}},
		{"a rate that falls", 10, 0.01, []reservation{{0, 1, 0, 500, 2000, 500}, {0, 2, 0, 500, 2000, 600}, {0, 3, 0, 500, 2000, 700}, {0, 4, 0, 500, 2000, 800}}},
		{"a rate that rises", 10, -0.01, []reservation{{0, 1, 0, 500, 2000, 500}, {0, 2, 0, 500, 2000, 600}, {0, 3, 0, 500, 2000, 700}, {0, 4, 0, 500, 2000, 800}}},
		{"no spare rate", 0, 0, []reservation{{0, 1, 0, 500, 2000, -1}}},
	}
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var b Book
			for i, r := range tc.reservations {
				booked, ok := b.Reserve(uint64(r.caller), r.urgency, tc.perSecond-float64(i)*tc.slower, at(r.earliest), at(r.latest), at(r.now))
				require.Equal(t, r.want >= 0, ok, i)
				known, isKnown := b.Booked(uint64(r.caller), at(r.now))
				require.Equal(t, ok, isKnown, i)
				require.Equal(t, booked, known, i)
				if ok {
					require.WithinDuration(t, at(r.want), booked, 2*time.Millisecond, i)
				}
			}
		})
	}
}

// TestBookingsAreBounded guards against a book that grows without bound under a flood of requests.
func TestBookingsAreBounded(t *testing.T) {
	var b Book
	now := time.Unix(1000, 0)
	for caller := range uint64(10 * maxBookings) {
		b.Reserve(caller, 0, 1e6, now.Add(time.Second), now.Add(time.Minute), now)
	}
	require.Equal(t, maxBookings, b.Len(now))
	require.Zero(t, b.Len(now.Add(2*time.Second)))
}
