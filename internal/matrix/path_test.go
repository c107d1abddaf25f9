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

// The world that a cell runs in: two entries, two engines and two plain
// services that share a ledger, each agent behind a proxy.
type world struct {
	t      *testing.T
	b      *bench.Bench
	ledger *stand.ExecutionLog
	faults sync.WaitGroup
}

var (
	engines = []string{"lm-1", "lm-2"}
	plains  = []string{"book-1", "book-2"}
)

func newWorld(t *testing.T) *world {
	w := &world{t: t, ledger: &stand.ExecutionLog{}}
	engine := stand.DefaultEngineSpec()
	engine.Capacity, engine.ColdCapacity, engine.Step = 8, 8, 20*time.Millisecond
	plain := stand.PlainSpec{Capacity: 8, ProcessingTime: 20 * time.Millisecond, ExecutionLog: w.ledger}
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
	w.b = b
	t.Cleanup(func() {
		w.faults.Wait()
		b.Close()
	})
	return w
}

// eachProxy makes trouble at all agents for the connections that are open.
func (w *world) eachProxy(trouble bench.Fault) {
	for _, name := range append(engines, plains...) {
		w.b.Proxy(name).SetFault(trouble)
	}
}

// at arranges that fault is caused once when the step is reached: by the chat,
// for the steps of a stream, or else by the booking.
func (w *world) at(step string, fault func()) {
	watch := func(names []string, pattern string, count int) {
		var once sync.Once
		for _, name := range names {
			w.b.Proxy(name).OnMatch(pattern, count, func() { once.Do(fault) })
		}
	}
	switch step {
	case "choose":
		fault()
	case "claim":
		w.onWrite("claim/", 1, fault)
	case "admit":
		watch(plains, "book", 1)
	case "send":
		watch(plains, "marked-boat", 1)
	case "settle":
		w.onWrite("claim/", 2, fault)
	case "first token":
		watch(engines, "chat.completion.chunk", 1)
	case "mid stream":
		watch(engines, "chat.completion.chunk", 5)
	case "last chunk":
		watch(engines, "[DONE]", 1)
	}
}

// onWrite causes the fault when a key with the prefix is written for the nth
// time.
func (w *world) onWrite(prefix string, count int, fault func()) {
	var mu sync.Mutex
	w.b.KVServer().OnWrite(func(key string) {
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

// later causes something after a while, without holding up the step.
func (w *world) later(wait time.Duration, run func()) {
	w.faults.Add(1)
	go func() {
		defer w.faults.Done()
		time.Sleep(wait)
		run()
	}()
}

// answer is how a request ended for its caller.
type answer struct {
	status  int
	outcome string
	body    string
	broken  bool
}

func (w *world) call(entry, method, path, body, key string) answer {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	got, err := w.b.Call(ctx, w.b.Entry(entry).Address(), "a", method, path, body, header)
	return answer{status: got.Status, outcome: got.Header.Get("Lentilstand-Outcome"), body: string(got.Body), broken: err != nil}
}

const chatTokens = 12

func (w *world) chat(entry, content string) answer {
	body := fmt.Sprintf(`{"model": "lm", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, chatTokens, content)
	return w.call(entry, http.MethodPost, "/v1/chat/completions", body, "")
}

// checkChat checks that a caller got the whole answer to its own question, or
// an error, and never a part that looks whole.
func checkChat(t require.TestingT, content string, got answer) (whole bool) {
	text, clean := streamText(got.body)
	if got.status == http.StatusOK && clean && !got.broken {
		require.Equal(t, stand.CompletionText(content, chatTokens), text, "the whole answer to one's own question")
		return true
	}
	require.False(t, clean, "an answer that broke off must have no clean end")
	require.True(t, strings.HasPrefix(stand.CompletionText(content, chatTokens), text), "no splicing: %q", text)
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

// executions counts how often a booking has run.
func (w *world) executions(body string) int {
	count := 0
	for _, e := range w.ledger.Executions() {
		if e.Body == body {
			count++
		}
	}
	return count
}

// causes are what the faults do, and how long until all is well again. They
// are called at the step.
var causes = map[string]func(w *world){
	"process killed": func(w *world) {
		w.later(0, func() {
			for _, name := range []string{"lm-1", "book-1"} {
				if err := w.b.RestartAgent(name); err != nil {
					w.t.Error(err)
				}
			}
		})
	},
	"connection cut":              func(w *world) { w.eachProxy(bench.Disconnect) },
	"connection silent one way":   func(w *world) { w.eachProxy(bench.BlackholeResponses) },
	"connection silent both ways": func(w *world) { w.eachProxy(bench.Blackhole) },
	"message late":                func(w *world) { w.eachProxy(bench.Delay) },
	"key-value service down":      func(w *world) { w.kvFault(fakes.StoreFaults{Down: true}) },
	"key-value service slow":      func(w *world) { w.kvFault(fakes.StoreFaults{SlowMS: 700}) },
	"key-value answer lost":       func(w *world) { w.kvFault(fakes.StoreFaults{DropResponses: true}) },
	"endpoint cold again": func(w *world) {
		for _, name := range engines {
			w.b.Engine(name).SetFaults(stand.EngineFaults{Cold: true})
		}
	},
	"request that crashes endpoints": func(w *world) {
		for _, name := range engines {
			w.b.Engine(name).SetFaults(stand.EngineFaults{CrashOn: "poison"})
		}
	},
	"back end slow": func(w *world) {
		for _, name := range plains {
			w.b.Plain(name).SetFaults(stand.PlainFaults{SlowMS: 1000})
		}
		for _, name := range engines {
			w.b.Engine(name).SetFaults(stand.EngineFaults{PauseMS: 100})
		}
	},
}

// resumable are the faults after which an answer goes on, since its engine can
// resume it.
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

// faultTime is how long a fault of the key-value service lasts.
const faultTime = 1500 * time.Millisecond

func (w *world) kvFault(faults fakes.StoreFaults) {
	w.b.KVServer().SetFaults(faults)
	w.later(faultTime, func() { w.b.KVServer().SetFaults(fakes.StoreFaults{}) })
}

func pathCells() []cell {
	cells := slowCallerCells()
	for _, fault := range faults {
		cause, ok := causes[fault]
		if !ok {
			continue
		}
		for _, step := range pathSteps {
			cells = append(cells, cell{fault: fault, step: step, run: func(t *testing.T) { runPath(t, fault, step, cause) }})
		}
	}
	return cells
}

// runPath sends chats and bookings, with duplicates, causes the fault at the
// step, and checks what must always hold.
func runPath(t *testing.T, fault, step string, cause func(w *world)) {
	w := newWorld(t)
	var caused atomic.Bool
	w.at(step, func() {
		caused.Store(true)
		cause(w)
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
		spawn(func() { chats[i] = w.chat(entry, "question at "+entry) })
		spawn(func() { bookings[i] = w.call(entry, http.MethodPost, "/book/x", marked, "marked-key") })
	}
	if fault == "request that crashes endpoints" {
		spawn(func() { w.chat("entry-1", "poison") })
	}
	wait.Wait()
	require.True(t, caused.Load(), "the step was not reached")
	for i, entry := range []string{"entry-1", "entry-2"} {
		whole := checkChat(t, "question at "+entry, chats[i])
		if resumable[fault] {
			require.True(t, whole, "streams go on elsewhere: %s", chats[i].body)
		}
	}
	w.faults.Wait()
	w.checkBooking(t, marked, bookings[:])
	w.checkRecovery(t, fault)
}

// checkBooking checks that a booking ran at most once and that nothing untrue
// was said of it, also after late messages have had time to arrive.
func (w *world) checkBooking(t require.TestingT, body string, answers []answer) {
	time.Sleep(200 * time.Millisecond)
	runs := w.executions(body)
	require.LessOrEqual(t, runs, 1, "at most once")
	said := ""
	for _, got := range answers {
		said += fmt.Sprintf(" %d %s %s;", got.status, got.outcome, got.body)
		if got.status == http.StatusCreated {
			require.Equal(t, 1, runs, "a booking that was confirmed has run")
		}
	}
	refusals := 0
	for _, got := range answers {
		if got.outcome == "not_run" {
			refusals++
		}
	}
	if refusals == len(answers) {
		require.Zero(t, runs, "all callers were told that it has not run:%s", said)
	}
}

// checkRecovery checks that requests are served again within a bound.
func (w *world) checkRecovery(t *testing.T, fault string) {
	t.Helper()
	for _, name := range engines {
		w.b.Engine(name).SetFaults(stand.EngineFaults{})
	}
	for _, name := range plains {
		w.b.Plain(name).SetFaults(stand.PlainFaults{})
	}
	require.Eventually(t, func() bool {
		got := w.chat("entry-1", "afterwards")
		booked := w.call("entry-2", http.MethodPost, "/book/after", "after", fmt.Sprint("after ", time.Now().UnixNano()))
		return checkChat(t, "afterwards", got) && booked.status == http.StatusCreated
	}, 12*time.Second, 200*time.Millisecond, "service after %s", fault)
}
