package matrix

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// recorder is a test that only notes whether it has failed.
type recorder struct {
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// turnsRed reports whether a check fails.
func turnsRed(check func(t require.TestingT)) bool {
	r := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		check(r)
	}()
	<-done
	return r.failed
}

// TestChecksCanFail breaks one mechanism after the other, or makes up what a
// broken one would show, and wants the check of its promise to turn red.
func TestChecksCanFail(t *testing.T) {
	const content = "question"
	text := stand.CompletionText(content, chatTokens)
	other := stand.CompletionText("another question", chatTokens)
	stream := func(text string, clean bool) answer {
		body := `data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n"
		if clean {
			body += "data: [DONE]\n\n"
		}
		return answer{status: http.StatusOK, body: body}
	}
	testCases := []struct {
		name string
		red  bool
		got  answer
	}{
		{"whole answer", false, stream(text, true)},
		{"broken answer without a clean end", false, stream(text[:20], false)},
		{"another caller's answer", true, stream(other, true)},
		{"a hole", true, stream(text[:20]+text[30:], true)},
		{"a cut answer that looks whole", true, stream(text[:20], true)},
		{"spliced answers", true, stream(text[:20]+other[20:], false)},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.red, turnsRed(func(t require.TestingT) { checkChat(t, content, tc.got) }))
		})
	}
}

func TestBrokenClaimsTurnRed(t *testing.T) {
	w := newWorld(t)
	w.b.KVStore().IgnoreRevisions()
	const body = "twice"
	answers := make([]answer, 2)
	var wait sync.WaitGroup
	for i, entry := range []string{"entry-1", "entry-2"} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = w.call(entry, http.MethodPost, "/book/x", body, "key")
		}()
	}
	wait.Wait()
	require.True(t, turnsRed(func(t require.TestingT) { w.checkBooking(t, body, answers) }), "without compare-and-swap a booking runs twice")
}

func TestUntrueRefusalTurnsRed(t *testing.T) {
	w := newWorld(t)
	const body = "ran"
	got := w.call("entry-1", http.MethodPost, "/book/x", body, "key")
	require.Equal(t, http.StatusCreated, got.status, got.body)
	untrue := answer{status: http.StatusServiceUnavailable, outcome: "not_run"}
	require.True(t, turnsRed(func(t require.TestingT) { w.checkBooking(t, body, []answer{untrue}) }))
}

func TestWorkInADataCentreTurnsRed(t *testing.T) {
	w := newWorld(t)
	require.True(t, turnsRed(func(t require.TestingT) { w.checkOut(t, time.Now().Add(-3*time.Second)) }), "nobody took it out")
}

func TestEnginesFallWithoutLimits(t *testing.T) {
	spec := stand.DefaultEngineSpec()
	engine := stand.NewEngine(spec)
	defer engine.Close()
	var wait sync.WaitGroup
	for range spec.ColdCapacity + 1 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { _ = recover() }()
			request, _ := http.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"max_tokens": 20}`))
			engine.ServeHTTP(discardResponse{}, request)
		}()
	}
	wait.Wait()
	require.Equal(t, 1, engine.Counts().Crashes, "more than a cold engine bears makes it fall over")
}

// discardResponse is a response that nobody reads.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}
