package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// book sends a booking with an idempotency key and disconnects after timeout.
func book(b *bench.Bench, timeout time.Duration) (bench.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return b.Call(ctx, b.Entry("entry-1").Address(), "a", http.MethodPost, "/depozit/orders", "motor",
		http.Header{"Idempotency-Key": {"order-1"}})
}

// TestChangeOutlivesItsCaller disconnects a caller while its request runs. A retry
// with the same key must return the stored outcome.
func TestChangeOutlivesItsCaller(t *testing.T) {
	ledger := &stand.ExecutionLog{}
	b := startBench(t, oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4, ProcessingTime: time.Second, ExecutionLog: ledger}))
	_, err := book(b, 400*time.Millisecond)
	require.Error(t, err, "the caller must have disconnected")
	answer, err := book(b, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, answer.Status, string(answer.Body))
	require.Equal(t, "true", answer.Header.Get("Lentilstand-Replayed"))
	require.Len(t, ledger.Executions(), 1)
}

func TestUnknownOutcomeSaysSo(t *testing.T) {
	ledger := &stand.ExecutionLog{}
	b := startBench(t, oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4, ExecutionLog: ledger}))
	b.Plain("depozit-1").SetFaults(stand.PlainFaults{DropResponses: true})
	first, err := book(b, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, first.Status)
	require.Equal(t, "unknown", first.Header.Get("Lentilstand-Outcome"))
	require.Contains(t, string(first.Body), `"handle":"/v1/outcomes/order-1"`)
	b.Plain("depozit-1").SetFaults(stand.PlainFaults{})
	asked, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodGet, "/v1/outcomes/order-1", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, asked.Status)
	require.Equal(t, "unknown", asked.Header.Get("Lentilstand-Outcome"))
	require.Len(t, ledger.Executions(), 1, "the request must not run again")
}

// TestEmptyChangeIsSentOnce guards against transparent retries by the HTTP client.
// Go's http.Transport resends a request without a body that has an idempotency key
// when a reused connection fails before the response.
func TestEmptyChangeIsSentOnce(t *testing.T) {
	ledger := &stand.ExecutionLog{}
	b := startBench(t, oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4, ExecutionLog: ledger}))
	address := b.Entry("entry-1").Address()
	_, err := b.Call(context.Background(), address, "a", http.MethodGet, "/depozit/stock", "", nil)
	require.NoError(t, err)
	b.Plain("depozit-1").SetFaults(stand.PlainFaults{DropResponses: true})
	for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		answer, err := b.Call(context.Background(), address, "a", http.MethodPost, "/depozit/"+header, "", http.Header{header: {"k"}})
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, answer.Status)
		require.Equal(t, "unknown", answer.Header.Get("Lentilstand-Outcome"))
	}
	require.Len(t, ledger.Executions(), 2)
}
