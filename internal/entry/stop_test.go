package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// TestStoppingEntryRefusesWhatCantEnd guards against requests that a stopping entry takes and
// then cuts off, though they could have been sent to another entry.
func TestStoppingEntryRefusesWhatCantEnd(t *testing.T) {
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity = engine.Capacity
	spec := twoEntries(engine)
	spec.AddressTTL = 2 * time.Second
	b := startBench(t, spec)
	chat := func(tokens int) bench.Response {
		answer, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost,
			"/v1/chat/completions", chatOf("question", tokens), nil)
		require.NoError(t, err, "the answer is cut off")
		return answer
	}
	const long = 300 // tokens of 10 ms
	require.Equal(t, http.StatusOK, chat(long).Status)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	stopped := make(chan int, 1)
	go func() { stopped <- b.Entry("entry-1").Stop(ctx) }()
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	answer := chat(long)
	require.Equal(t, http.StatusServiceUnavailable, answer.Status)
	require.Less(t, time.Since(began), time.Second)
	var failure wireError
	require.NoError(t, json.Unmarshal(answer.Body, &failure))
	require.Equal(t, "entry_stopping", failure.Error.Code)
	require.Equal(t, "not_run", answer.Header.Get("Lentilstand-Outcome"))
	require.Zero(t, <-stopped)
	b.RemoveEntry("entry-1")
}
