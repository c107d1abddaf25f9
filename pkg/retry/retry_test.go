package retry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/retry"
)

// TestLog checks the outcome of a request, and whether it may be retried, for sequences
// of attempt states.
func TestLog(t *testing.T) {
	testCases := []struct {
		name       string
		states     []retry.State
		outcome    retry.Outcome
		repeatable bool
		mayRetry   bool
	}{
		{"no attempt", nil, retry.OutcomeNotRun, false, true},
		{"unsent", []retry.State{retry.Unsent}, retry.OutcomeNotRun, false, true},
		{"refused twice", []retry.State{retry.Refused, retry.Refused}, retry.OutcomeNotRun, false, true},
		{"sent", []retry.State{retry.Sent}, retry.OutcomeUnknown, false, false},
		{"unknown, then refused", []retry.State{retry.Unknown, retry.Refused}, retry.OutcomeUnknown, false, false},
		{"unknown, repeatable", []retry.State{retry.Unknown}, retry.OutcomeUnknown, true, true},
		{"unknown, then run", []retry.State{retry.Unknown, retry.Run}, retry.OutcomeRun, true, true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var log retry.Log
			for i, state := range tc.states {
				log.Begin(fmt.Sprint("endpoint ", i))
				log.SetState(state)
			}
			require.Equal(t, tc.outcome, log.Outcome())
			require.Equal(t, tc.mayRetry, log.MayRetry(tc.repeatable))
			require.Len(t, log.Tried(), len(tc.states))
		})
	}
}

// TestBudget checks that each key has its own balance: an initial one, and then a share
// of its successful requests.
func TestBudget(t *testing.T) {
	var budget retry.Budget
	spendAll := func(key string) int {
		count := 0
		for budget.Spend(key) {
			count++
		}
		return count
	}
	initial := spendAll("a")
	require.Equal(t, 10, initial)
	for range 100 {
		budget.Success("a", 20)
	}
	require.InDelta(t, 20, spendAll("a"), 1)
	require.Equal(t, initial, spendAll("b"), "keys don't share a budget")
}

func TestBackoffIsBounded(t *testing.T) {
	for n := range 100 {
		require.LessOrEqual(t, retry.Backoff(n+1).Seconds(), 1.0)
	}
}
