package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/drain"
)

func ExampleStop() {
	var stop drain.Stop
	now := time.Unix(1000, 0)
	fmt.Println(stop.Takes(time.Hour, now))
	stop.Begin(now.Add(7 * time.Second))
	fmt.Println(stop.Takes(5*time.Second, now))
	fmt.Println(stop.Takes(5*time.Second, now.Add(3*time.Second)))
	// Output:
	// true
	// true
	// false
}

func TestLongestRunTime(t *testing.T) {
	var runTimes drain.RunTimes
	now := time.Unix(1000, 0)
	_, known := runTimes.Longest("chat", now)
	require.False(t, known)
	for _, runTime := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		runTimes.Record("chat", runTime, now)
	}
	testCases := []struct {
		after time.Duration
		want  time.Duration
	}{
		{after: 0, want: 3 * time.Second},
		{after: 29 * time.Second, want: 3 * time.Second},
		{after: 59 * time.Second, want: 3 * time.Second},
		{after: 61 * time.Second, want: 0},
	}
	for _, tc := range testCases {
		got, known := runTimes.Longest("chat", now.Add(tc.after))
		require.Equal(t, tc.want, got, "after %v", tc.after)
		require.Equal(t, tc.want > 0, known)
	}
	_, known = runTimes.Longest("another", now)
	require.False(t, known)
}
