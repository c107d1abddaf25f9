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

// sharedChat returns a chat of a shared message and one of its own.
func sharedChat(shared string, n int) string {
	return fmt.Sprintf(`{"model": "asistent", "stream": true, "max_tokens": 8, "messages": [{"role": "system", "content": %q}, {"role": "user", "content": "question %d"}]}`, shared, n)
}

// TestMessageThatCrashesEndpointsIsKeptFromOthers guards against endpoints that crash one
// after the other on chats which share one message only.
func TestMessageThatCrashesEndpointsIsKeptFromOthers(t *testing.T) {
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity = engine.Capacity
	b := startBench(t, twoEntries(engine))
	crashes := func() int {
		return b.Engine("asistent-1").Counts().Crashes + b.Engine("asistent-2").Counts().Crashes
	}
	for _, name := range []string{"asistent-1", "asistent-2"} {
		b.Engine(name).SetFaults(stand.EngineFaults{CrashOn: "poison"})
	}
	chat := func(n int, shared string) bench.Response {
		entry := []string{"entry-1", "entry-2"}[n%2]
		answer, err := b.Call(context.Background(), b.Entry(entry).Address(), "b", http.MethodPost, "/v1/chat/completions", sharedChat(shared, n), nil)
		require.NoError(t, err)
		return answer
	}
	for n := range 2 {
		require.Equal(t, http.StatusOK, chat(n, "sound").Status)
	}
	// The entries have seen answers for long enough to block at the first crash.
	time.Sleep(5200 * time.Millisecond)
	var last bench.Response
	for n := range 10 {
		last = chat(10+n, "poison")
		require.NotEqual(t, http.StatusOK, last.Status)
	}
	require.LessOrEqual(t, crashes(), 2)
	var failure wireError
	require.NoError(t, json.Unmarshal(last.Body, &failure))
	require.Equal(t, "prompt_crashes_endpoints", failure.Error.Code)
	require.NotEmpty(t, last.Header.Get("Retry-After"))
	require.Eventually(t, func() bool { return chat(1, "sound").Status == http.StatusOK }, 5*time.Second, 50*time.Millisecond)
}

// TestSoundMessageBesideADeadlyOneIsServed guards against a sound message staying blocked
// because the first chat that had it crashed an endpoint, on another message.
func TestSoundMessageBesideADeadlyOneIsServed(t *testing.T) {
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity = engine.Capacity
	b := startBench(t, twoEntries(engine))
	crashes := func() int {
		return b.Engine("asistent-1").Counts().Crashes + b.Engine("asistent-2").Counts().Crashes
	}
	for _, name := range []string{"asistent-1", "asistent-2"} {
		b.Engine(name).SetFaults(stand.EngineFaults{CrashOn: "poison"})
	}
	chat := func(entry, body string) bench.Response {
		answer, err := b.Call(context.Background(), b.Entry(entry).Address(), "b", http.MethodPost, "/v1/chat/completions", body, nil)
		require.NoError(t, err)
		return answer
	}
	require.Equal(t, http.StatusOK, chat("entry-1", sharedChat("known", 0)).Status)
	// The entry has seen answers for long enough to block at the first crash.
	time.Sleep(5200 * time.Millisecond)
	deadly := `{"model": "asistent", "stream": true, "max_tokens": 8, "messages": [{"role": "system", "content": "new"},
		{"role": "user", "content": "poison"}, {"role": "user", "content": "question"}]}`
	require.NotEqual(t, http.StatusOK, chat("entry-1", deadly).Status)
	require.Eventually(t, func() bool {
		require.NotEqual(t, http.StatusOK, chat("entry-1", deadly).Status)
		return chat("entry-1", sharedChat("new", 1)).Status == http.StatusOK
	}, 10*time.Second, 100*time.Millisecond)
	require.Eventually(t, func() bool { return chat("entry-2", sharedChat("new", 2)).Status == http.StatusOK }, 2*time.Second, 100*time.Millisecond)
	require.LessOrEqual(t, crashes(), 1)
}
