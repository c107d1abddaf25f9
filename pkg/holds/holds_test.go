package holds_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/holds"
)

func ExampleTable() {
	var table holds.Table[string]
	left := time.Now()
	table.Add("i-1@1", "request 7", left)
	fmt.Println(table.Take("i-1@1", left.Add(200*time.Millisecond)))
	// Output: [request 7]
}

// TestRequestsAreForgottenAfterTheWindow guards against requests that are blamed for a crash
// though their endpoint has let go of them before.
func TestRequestsAreForgottenAfterTheWindow(t *testing.T) {
	start := time.Now()
	testCases := []struct {
		name    string
		elapsed time.Duration
		want    []int
	}{
		{name: "both", elapsed: holds.Window - time.Millisecond, want: []int{1, 2}},
		{name: "the later one", elapsed: holds.Window, want: []int{2}},
		{name: "none", elapsed: holds.Window + time.Millisecond},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var table holds.Table[int]
			table.Add("a", 1, start)
			table.Add("a", 2, start.Add(time.Millisecond))
			table.Add("b", 3, start.Add(-time.Second))
			require.NotContains(t, table.Incarnations(start.Add(tc.elapsed)), "b")
			require.Equal(t, tc.want, table.Take("a", start.Add(tc.elapsed)))
			require.Empty(t, table.Take("a", start), "a crash is attributed once")
		})
	}
}

// TestTableIsBounded guards against memory that grows with the callers that leave.
func TestTableIsBounded(t *testing.T) {
	var table holds.Table[int]
	start := time.Now()
	for n := range 10_000 {
		table.Add("a", n, start)
		table.Add(fmt.Sprint(n), n, start)
	}
	require.LessOrEqual(t, len(table.Take("a", start)), 256)
	require.Empty(t, table.Incarnations(start.Add(holds.Window)))
}
