package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// twoEntries returns a bench with two entries and two model endpoints.
func twoEntries(engine stand.EngineSpec) bench.Spec {
	return bench.Spec{
		Region:      "r",
		DataCentres: []string{"centru"},
		Teams:       []string{"a", "b"},
		Entries:     []bench.EntrySpec{{Name: "entry-1", DataCentre: "centru"}, {Name: "entry-2", DataCentre: "centru"}},
		Services: []bench.Service{{
			Name: "asistent", Kind: config.KindModel, Repeatable: true, ExtraFields: `"queue": {"max_wait_ms": 10000}`,
			Replicas: []bench.Replica{
				{Name: "asistent-1", DataCentre: "centru", Engine: engine, Warm: true},
				{Name: "asistent-2", DataCentre: "centru", Engine: engine, Warm: true},
			},
		}},
	}
}

func chatOf(content string, tokens int) string {
	return fmt.Sprintf(`{"model": "asistent", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, tokens, content)
}

func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity = engine.Capacity
	b := startBench(t, twoEntries(engine))
	crashes := func() int {
		return b.Engine("asistent-1").Counts().Crashes + b.Engine("asistent-2").Counts().Crashes
	}
	for _, name := range []string{"asistent-1", "asistent-2"} {
		b.Engine(name).SetFaults(stand.EngineFaults{CrashOn: "poison"})
	}
	const bystanders = 4
	answers := make([]bench.Response, bystanders)
	var wait sync.WaitGroup
	for n := range bystanders {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[n], _ = b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost,
				"/v1/chat/completions", chatOf(fmt.Sprint("bystander ", n), 60), nil)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	var last bench.Response
	for n := range 8 {
		entry := []string{"entry-1", "entry-2"}[n%2]
		answer, err := b.Call(context.Background(), b.Entry(entry).Address(), "b", http.MethodPost,
			"/v1/chat/completions", chatOf("poison", 2), nil)
		require.NoError(t, err)
		require.NotEqual(t, http.StatusOK, answer.Status)
		last = answer
	}
	wait.Wait()
	require.LessOrEqual(t, crashes(), 2, "the request must be blocked after the second crash")
	var failure wireError
	require.NoError(t, json.Unmarshal(last.Body, &failure))
	require.Equal(t, "request_crashes_endpoints", failure.Error.Code)
	require.Equal(t, "not_run", last.Header.Get("Lentilstand-Outcome"))
	for n, answer := range answers {
		require.Equal(t, http.StatusOK, answer.Status)
		require.True(t, strings.HasSuffix(string(answer.Body), "data: [DONE]\n\n"), "bystander %d: %s", n, answer.Body)
	}
}
