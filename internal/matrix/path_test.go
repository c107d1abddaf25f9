package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// testEnv is the environment of one cell: three entries, two engines and two plain
// services that share an execution log, each agent behind a proxy.
type testEnv struct {
	t             *testing.T
	b             *bench.Bench
	executionLog  *stand.ExecutionLog
	pendingFaults sync.WaitGroup
}

var (
	engines = []string{"lm-1", "lm-2"}
	plains  = []string{"book-1", "book-2"}
)

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, executionLog: &stand.ExecutionLog{}}
	engine := stand.DefaultEngineSpec()
	engine.Capacity, engine.ColdCapacity, engine.Step = 8, 8, 20*time.Millisecond
	plain := stand.PlainSpec{Capacity: 8, ProcessingTime: 20 * time.Millisecond, ExecutionLog: env.executionLog}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	b, err := bench.Start(ctx, bench.Spec{
		Region:      "r",
		DataCentres: []string{"dc-1", "dc-2"},
		Teams:       []string{"a"},
		Proxied:     true,
		Entries:     []bench.EntrySpec{{Name: "entry-1", DataCentre: "dc-1"}, {Name: "entry-2", DataCentre: "dc-2"}, {Name: "entry-3", DataCentre: "dc-2"}},
		Services: []bench.Service{
			{Name: "lm", Kind: config.KindModel, Repeatable: true, ExtraFields: `"timeout_ms": 20000`, Replicas: []bench.Replica{
				{Name: "lm-1", DataCentre: "dc-1", Engine: engine, Warm: true},
				{Name: "lm-2", DataCentre: "dc-2", Engine: engine, Warm: true},
			}},
			{Name: "book", Kind: config.KindPlain, PathPrefix: "/book", ExtraFields: `"timeout_ms": 8000`, Replicas: []bench.Replica{
				{Name: "book-1", DataCentre: "dc-1", Plain: plain, Warm: true},
				{Name: "book-2", DataCentre: "dc-2", Plain: plain, Warm: true},
			}},
		},
	})
	require.NoError(t, err)
	env.b = b
	t.Cleanup(func() {
		env.pendingFaults.Wait()
		b.Close()
	})
	return env
}

// setProxyFaults injects a fault into the open connections of all agents.
func (env *testEnv) setProxyFaults(fault bench.Fault) {
	for _, name := range append(engines, plains...) {
		env.b.Proxy(name).SetFault(fault)
	}
}

// onPathStep calls fault once, when the step is reached: by a chat for the steps of a
// stream, by a booking for the others.
func (env *testEnv) onPathStep(step string, fault func()) {
	watch := func(names []string, pattern string, count int) {
		var once sync.Once
		for _, name := range names {
			env.b.Proxy(name).OnMatch(pattern, count, func() { once.Do(fault) })
		}
	}
	switch step {
	case "choose":
		fault()
	case "claim":
		env.onWrite("claim/", 1, fault)
	case "admit":
		watch(plains, "book", 1)
	case "send":
		watch(plains, "marked-boat", 1)
	case "settle":
		env.onWrite("claim/", 2, fault)
	case "first token":
		watch(engines, "chat.completion.chunk", 1)
	case "mid stream":
		watch(engines, "chat.completion.chunk", 5)
	case "last chunk":
		watch(engines, "[DONE]", 1)
	}
}

// onWrite calls fault when a key with the prefix is written for the count-th time.
func (env *testEnv) onWrite(prefix string, count int, fault func()) {
	var mu sync.Mutex
	env.b.KVServer().OnWrite(func(key string) {
		mu.Lock()
		defer mu.Unlock()
		if !strings.HasPrefix(key, prefix) {
			return
		}
		if count--; count == 0 {
			fault()
		}
	})
}

// runAfter calls run after a delay, without blocking the step.
func (env *testEnv) runAfter(delay time.Duration, run func()) {
	env.pendingFaults.Add(1)
	go func() {
		defer env.pendingFaults.Done()
		time.Sleep(delay)
		run()
	}()
}

// answer is the result of a request as its caller saw it.
type answer struct {
	status  int
	outcome string
	body    string
	broken  bool
}

func (env *testEnv) call(entry, method, path, body, key string) answer {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	got, err := env.b.Call(ctx, env.b.Entry(entry).Address(), "a", method, path, body, header)
	return answer{status: got.Status, outcome: got.Header.Get("Lentilstand-Outcome"), body: string(got.Body), broken: err != nil}
}

const chatTokens = 12

func (env *testEnv) chat(entry, content string) answer {
	body := fmt.Sprintf(`{"model": "lm", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, chatTokens, content)
	return env.call(entry, http.MethodPost, "/v1/chat/completions", body, "")
}

// checkChat checks that a caller got the complete response to its own request or an
// error, and never a truncated response that looks complete.
func checkChat(t require.TestingT, content string, got answer) (whole bool) {
	text, clean := streamText(got.body)
	if got.status == http.StatusOK && clean && !got.broken {
		require.Equal(t, stand.CompletionText(content, chatTokens), text, "the response must be complete and belong to the request")
		return true
	}
	require.False(t, clean, "a truncated response must not end with [DONE]")
	require.True(t, strings.HasPrefix(stand.CompletionText(content, chatTokens), text), "a truncated response must be a prefix of the complete one: %q", text)
	return false
}

func streamText(body string) (string, bool) {
	var text strings.Builder
	clean := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if data == "[DONE]" {
			clean = true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), clean
}

// executions returns how often a booking was executed.
func (env *testEnv) executions(body string) int {
	count := 0
	for _, e := range env.executionLog.Executions() {
		if e.Body == body {
			count++
		}
	}
	return count
}

// faultInjectors inject the faults, and remove those that end by themselves. They are
// called when the step is reached.
var faultInjectors = map[string]func(env *testEnv){
	"process killed": func(env *testEnv) {
		env.runAfter(0, func() {
			for _, name := range []string{"lm-1", "book-1"} {
				if err := env.b.RestartAgent(name); err != nil {
					env.t.Error(err)
				}
			}
		})
	},
	"connection cut":              func(env *testEnv) { env.setProxyFaults(bench.Disconnect) },
	"connection silent one way":   func(env *testEnv) { env.setProxyFaults(bench.BlackholeResponses) },
	"connection silent both ways": func(env *testEnv) { env.setProxyFaults(bench.Blackhole) },
	"message late":                func(env *testEnv) { env.setProxyFaults(bench.Delay) },
	"key-value service down":      func(env *testEnv) { env.injectStoreFault(fakes.StoreFaults{Down: true}) },
	"key-value service slow":      func(env *testEnv) { env.injectStoreFault(fakes.StoreFaults{SlowMS: 700}) },
	"key-value answer lost":       func(env *testEnv) { env.injectStoreFault(fakes.StoreFaults{DropResponses: true}) },
	"endpoint cold again": func(env *testEnv) {
		for _, name := range engines {
			env.b.Engine(name).SetFaults(stand.EngineFaults{Cold: true})
		}
	},
	"request that crashes endpoints": func(env *testEnv) {
		for _, name := range engines {
			env.b.Engine(name).SetFaults(stand.EngineFaults{CrashOn: "poison"})
		}
	},
	"back end slow": func(env *testEnv) {
		for _, name := range plains {
			env.b.Plain(name).SetFaults(stand.PlainFaults{SlowMS: 1000})
		}
		for _, name := range engines {
			env.b.Engine(name).SetFaults(stand.EngineFaults{PauseMS: 100})
		}
	},
}

// resumable are the faults after which a stream must still complete, since the
// engines can resume it.
var resumable = map[string]bool{
	"process killed":              true,
	"connection cut":              true,
	"connection silent one way":   true,
	"connection silent both ways": true,
	"message late":                true,
	"key-value service down":      true,
	"key-value service slow":      true,
	"key-value answer lost":       true,
	"back end slow":               true,
}

// storeFaultDuration is how long a fault of the key-value service lasts.
const storeFaultDuration = 1500 * time.Millisecond

func (env *testEnv) injectStoreFault(faults fakes.StoreFaults) {
	env.b.KVServer().SetFaults(faults)
	env.runAfter(storeFaultDuration, func() { env.b.KVServer().SetFaults(fakes.StoreFaults{}) })
}

func pathCells() []cell {
	cells := slowCallerCells()
	for _, fault := range faults {
		inject, ok := faultInjectors[fault]
		if !ok {
			continue
		}
		for _, step := range pathSteps {
			cells = append(cells, cell{fault: fault, step: step, run: func(t *testing.T) { runPathCell(t, fault, step, inject) }})
		}
	}
	return cells
}

// runPathCell sends chats and duplicate bookings, injects the fault at the step,
// and checks the guarantees.
func runPathCell(t *testing.T, fault, step string, inject func(env *testEnv)) {
	env := newTestEnv(t)
	var injected atomic.Bool
	env.onPathStep(step, func() {
		injected.Store(true)
		inject(env)
	})
	const marked = `{"boat": "marked-boat"}`
	var wait sync.WaitGroup
	spawn := func(run func()) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			run()
		}()
	}
	var chats, bookings [2]answer
	for i, entry := range []string{"entry-1", "entry-2"} {
		spawn(func() { chats[i] = env.chat(entry, "question at "+entry) })
		spawn(func() { bookings[i] = env.call(entry, http.MethodPost, "/book/x", marked, "marked-key") })
	}
	if fault == "request that crashes endpoints" {
		spawn(func() { env.chat("entry-1", "poison") })
	}
	wait.Wait()
	require.True(t, injected.Load(), "the step was not reached")
	for i, entry := range []string{"entry-1", "entry-2"} {
		whole := checkChat(t, "question at "+entry, chats[i])
		if resumable[fault] {
			require.True(t, whole, "the stream must be resumed elsewhere: %s", chats[i].body)
		}
	}
	env.pendingFaults.Wait()
	env.checkBooking(t, marked, bookings[:])
	env.checkRecovery(t, fault)
}

// checkBooking checks that a booking was executed at most once and that callers were
// told the truth about it. It first waits 200 ms for late messages to arrive.
func (env *testEnv) checkBooking(t require.TestingT, body string, answers []answer) {
	time.Sleep(200 * time.Millisecond)
	runs := env.executions(body)
	require.LessOrEqual(t, runs, 1, "a booking must be executed at most once")
	summary := ""
	for _, got := range answers {
		summary += fmt.Sprintf(" %d %s %s;", got.status, got.outcome, got.body)
		if got.status == http.StatusCreated {
			require.Equal(t, 1, runs, "a confirmed booking must have been executed")
		}
	}
	refusals := 0
	for _, got := range answers {
		if got.outcome == "not_run" {
			refusals++
		}
	}
	if refusals == len(answers) {
		require.Zero(t, runs, "all callers were told not_run, but the booking was executed:%s", summary)
	}
}

// checkRecovery removes the faults and checks that requests are served again within
// 12 s.
func (env *testEnv) checkRecovery(t *testing.T, fault string) {
	t.Helper()
	for _, name := range engines {
		env.b.Engine(name).SetFaults(stand.EngineFaults{})
	}
	for _, name := range plains {
		env.b.Plain(name).SetFaults(stand.PlainFaults{})
	}
	require.Eventually(t, func() bool {
		got := env.chat("entry-1", "afterwards")
		booked := env.call("entry-2", http.MethodPost, "/book/after", "after", fmt.Sprint("after ", time.Now().UnixNano()))
		return checkChat(t, "afterwards", got) && booked.status == http.StatusCreated
	}, 12*time.Second, 200*time.Millisecond, "requests must be served again after %s", fault)
}
