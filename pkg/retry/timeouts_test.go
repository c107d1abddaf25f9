package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/retry"
)

// shareOfRetries sends timeouts of spread to 1 times the limit, less what was spent, and returns
// the share that counts as those of callers that come back.
func shareOfRetries(timeouts *retry.Timeouts, spread float64, spent time.Duration, now time.Time) float64 {
	const limit, calls = 8 * time.Second, 400
	random := rand.New(rand.NewPCG(1, 2))
	retries := 0
	for i := range calls {
		timeout := time.Duration((1-spread*random.Float64())*float64(limit)) - spent
		if timeouts.IsRetry(timeout, limit, now.Add(time.Duration(i)*time.Millisecond)) {
			retries++
		}
	}
	return float64(retries) / calls
}

// TestCallersWhoseTimeoutsDifferAreNoRetries guards against new requests that are queued and
// limited like those of callers that come back, only as their callers wait for less long.
func TestCallersWhoseTimeoutsDifferAreNoRetries(t *testing.T) {
	for _, spread := range []float64{0, 0.05, 0.15} {
		var timeouts retry.Timeouts
		now := time.Unix(1000, 0)
		require.Zero(t, shareOfRetries(&timeouts, spread, 0, now), "spread %v, before the range is known", spread)
		require.Less(t, shareOfRetries(&timeouts, spread, 0, now.Add(time.Second)), 0.03, "spread %v", spread)
		timeouts.RecordRefusal(now.Add(2 * time.Second))
		late := shareOfRetries(&timeouts, spread, time.Second, now.Add(2*time.Second))
		require.Greater(t, late, map[float64]float64{0: 0.99, 0.05: 0.99, 0.15: 0.7}[spread], "spread %v, callers that come back", spread)
		require.Less(t, shareOfRetries(&timeouts, spread, 0, now.Add(3*time.Second)), 0.03, "spread %v, after refusals", spread)
	}
}

// TestNewEntryKnowsRetries checks an entry that has started during an outage, and has seen only
// callers that come back.
func TestNewEntryKnowsRetries(t *testing.T) {
	var timeouts retry.Timeouts
	now := time.Unix(1000, 0)
	timeouts.RecordRefusal(now)
	require.Equal(t, 1.0, shareOfRetries(&timeouts, 0.15, 2*time.Second, now))
	require.Zero(t, shareOfRetries(&timeouts, 0.15, 0, now.Add(time.Second)))
}
