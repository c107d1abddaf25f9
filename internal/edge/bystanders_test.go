package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/blame"
)

// TestPartsBesideADeadlyRequestAreUsedAgain guards against parts of prompts that are refused for 30 s
// because they came to an endpoint for the first time when a request crashed it that goes on to crash others.
func TestPartsBesideADeadlyRequestAreUsedAgain(t *testing.T) {
	const deadly, other = 1, 2
	part := blame.Part(10)
	first := func(blame.Part) int { return 0 }
	testCases := []struct {
		name string
		// crashes holds the requests that were at each of the crashes, partAt the number of
		// crashes, from the first one, at which a request had the part, and completed whether the
		// deadly request runs to completion after them.
		crashes   [][]uint64
		partAt    int
		completed bool
		want      bool
	}{
		{name: "one crash", crashes: [][]uint64{{deadly}}, partAt: 1, want: true},
		{name: "two crashes on one request", crashes: [][]uint64{{deadly, other}, {deadly}}, partAt: 1},
		{name: "two crashes on different requests", crashes: [][]uint64{{deadly}, {other}}, partAt: 1, want: true},
		{name: "the deadly request has the part", crashes: [][]uint64{{deadly}, {deadly}}, partAt: 2, want: true},
		{name: "the request is sound", crashes: [][]uint64{{deadly}, {deadly}}, partAt: 1, completed: true, want: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var tracker blame.Tracker
			now := time.Now()
			tracker.RecordAnswer([]blame.Part{1}, now.Add(-time.Minute))
			// A peer tells of all crashes of requests, as most entries hear of them.
			local, peer := newCrashTracker(zap.NewNop()), newCrashTracker(zap.NewNop())
			local.explainWith(&tracker)
			for i, requests := range tc.crashes {
				incarnation := fmt.Sprint("i-", i)
				if i < tc.partAt {
					tracker.RecordCrash([]blame.Part{part}, incarnation, now)
				}
				for _, request := range requests {
					peer.recordCrash(request, incarnation, true)
				}
			}
			local.merge(peer.export(true))
			if tc.completed {
				local.recordSuccess(deadly)
			}
			refused, _ := tracker.Check([]blame.Part{part}, first, now)
			require.True(t, refused, "until all entries have told of the crashes")
			refused, _ = tracker.Check([]blame.Part{part}, first, now.Add(3*time.Second))
			require.Equal(t, tc.want, refused)
		})
	}
}
