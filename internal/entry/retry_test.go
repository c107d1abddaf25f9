package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// TestOutageDoesNotMultiplyLoad sends repeatable requests to a service that loses
// every response. The retry budget must bound the total number of attempts.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	const requests, floor = 60, 10
	ledger := &stand.ExecutionLog{}
	spec := oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4, ExecutionLog: ledger})
	spec.Services[1].Repeatable = true
	spec.Services[1].Replicas[0].Warm = true
	b := startBench(t, spec)
	b.Plain("depozit-1").SetFaults(stand.PlainFaults{DropResponses: true})
	for n := range requests {
		answer, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost, "/depozit/x", fmt.Sprint(n), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, answer.Status)
	}
	t.Logf("%d requests were sent %d times", requests, len(ledger.Executions()))
	require.LessOrEqual(t, len(ledger.Executions()), requests+floor)
	b.Plain("depozit-1").SetFaults(stand.PlainFaults{})
	answer, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost, "/depozit/x", "after", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, answer.Status)
}

func TestCallersDeadlineIsKept(t *testing.T) {
	ledger := &stand.ExecutionLog{}
	b := startBench(t, oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4, ProcessingTime: 800 * time.Millisecond, ExecutionLog: ledger}))
	sent := time.Now()
	answer, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost, "/depozit/x", "",
		http.Header{"Lentilstand-Timeout-Ms": {"200"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, answer.Status, string(answer.Body))
	require.Equal(t, "unknown", answer.Header.Get("Lentilstand-Outcome"))
	require.Less(t, time.Since(sent), 700*time.Millisecond)
	require.Eventually(t, func() bool { return len(ledger.Executions()) == 1 }, 3*time.Second, 10*time.Millisecond,
		"the request must still run, since its outcome was reported as unknown")
}
