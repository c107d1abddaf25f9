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
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/holds"
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

// chatAndLeave sends a chat and closes the connection after the caller's patience.
func chatAndLeave(b *bench.Bench, entry, body string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, _ = b.Call(ctx, b.Entry(entry).Address(), "b", http.MethodPost, "/v1/chat/completions", body, nil)
}

// TestCrashCountsThoughItsCallerHasLeft guards against chats that crash endpoint after endpoint,
// because each of their attempts has ended before the crash.
func TestCrashCountsThoughItsCallerHasLeft(t *testing.T) {
	testCases := []struct {
		name string
		body func(n int) string
		// header limits the time of the chat, nil if the caller leaves.
		header http.Header
		most   int
		code   string
	}{
		{name: "the same chat", body: func(int) string { return chatOf("poison", 2) }, most: 3, code: "request_crashes_endpoints"},
		{
			name: "time limit", body: func(int) string { return chatOf("poison", 2) }, header: http.Header{"Lentilstand-Timeout-Ms": {"50"}},
			most: 3, code: "request_crashes_endpoints",
		},
		{name: "chats that share a message", body: func(n int) string { return sharedChat("poison", n) }, most: 2, code: "prompt_crashes_endpoints"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			engine := stand.DefaultEngineSpec()
			engine.ColdCapacity = engine.Capacity
			b := startBench(t, twoEntries(engine))
			crashes := func() int {
				return b.Engine("asistent-1").Counts().Crashes + b.Engine("asistent-2").Counts().Crashes
			}
			call := func(entry, body string, header http.Header) bench.Response {
				answer, err := b.Call(context.Background(), b.Entry(entry).Address(), "b", http.MethodPost, "/v1/chat/completions", body, header)
				require.NoError(t, err)
				return answer
			}
			for n, entry := range []string{"entry-1", "entry-2"} {
				require.Equal(t, http.StatusOK, call(entry, sharedChat("sound", n), nil).Status)
			}
			// The entries have seen answers for long enough to block a message at the first crash.
			time.Sleep(5200 * time.Millisecond)
			for _, name := range []string{"asistent-1", "asistent-2"} {
				b.Engine(name).SetFaults(stand.EngineFaults{CrashOn: "poison", CrashDelayMS: 150})
			}
			for n := range 8 {
				entry := []string{"entry-1", "entry-2"}[n%2]
				if tc.header != nil {
					call(entry, tc.body(n), tc.header)
				} else {
					chatAndLeave(b, entry, tc.body(n), 50*time.Millisecond)
				}
				time.Sleep(800 * time.Millisecond)
			}
			require.LessOrEqual(t, crashes(), tc.most)
			last := call("entry-1", tc.body(9), nil)
			var failure wireError
			require.NoError(t, json.Unmarshal(last.Body, &failure))
			require.Equal(t, tc.code, failure.Error.Code)
			require.Equal(t, http.StatusOK, call("entry-2", sharedChat("sound", 5), nil).Status)
		})
	}
}

// crashRecords returns the number of requests that are known to have been at crashes.
func crashRecords(b *bench.Bench) int {
	return len(crash.Records(b.KVStore().Read([]string{crash.Prefix})))
}

// TestCallersThatLeaveIsolateNoAnsweredChat guards against chats that are blamed for a crash
// although the endpoint answered them before their callers left, and checks that one that waited
// for its answer is blamed if the endpoint's host refuses connections right after.
func TestCallersThatLeaveIsolateNoAnsweredChat(t *testing.T) {
	testCases := []struct {
		name    string
		prefill time.Duration
		// pause is the time from the end of the chat to the crash.
		pause   time.Duration
		records int
	}{
		{name: "answered"},
		{name: "unanswered", prefill: time.Second, records: 1},
		{name: "unanswered, crash after the window", prefill: time.Second, pause: holds.Window},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			engine := stand.DefaultEngineSpec()
			engine.ColdCapacity, engine.Prefill, engine.Step = engine.Capacity, tc.prefill, 10*time.Millisecond
			b := startBench(t, twoEntries(engine))
			chatAndLeave(b, "entry-1", chatOf("sound", 200), 400*time.Millisecond)
			time.Sleep(tc.pause)
			for _, name := range []string{"asistent-1", "asistent-2"} {
				b.StopEndpoint(name)
			}
			if tc.records > 0 {
				require.Eventually(t, func() bool { return crashRecords(b) == tc.records }, 3*time.Second, 10*time.Millisecond)
			}
			time.Sleep(time.Second)
			require.Equal(t, tc.records, crashRecords(b))
		})
	}
}
