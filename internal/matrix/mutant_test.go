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

// failureRecorder is a require.TestingT that only records whether the test has failed.
type failureRecorder struct {
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }

func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// checkFails reports whether a check fails.
func checkFails(check func(t require.TestingT)) bool {
	r := &failureRecorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		check(r)
	}()
	<-done
	return r.failed
}

// TestChecksCanFail guards against a checkChat that accepts everything: responses as
// a broken relay would deliver them must fail the check.
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
		name     string
		wantFail bool
		got      answer
	}{
		{"complete response", false, stream(text, true)},
		{"truncated response without [DONE]", false, stream(text[:20], false)},
		{"another caller's response", true, stream(other, true)},
		{"missing bytes", true, stream(text[:20]+text[30:], true)},
		{"truncated response with [DONE]", true, stream(text[:20], true)},
		{"spliced responses", true, stream(text[:20]+other[20:], false)},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.wantFail, checkFails(func(t require.TestingT) { checkChat(t, content, tc.got) }))
		})
	}
}

// TestBrokenClaimsTurnRed guards against a checkBooking that misses a booking that
// runs twice: the store ignores revisions, so that two entries get the same claim.
func TestBrokenClaimsTurnRed(t *testing.T) {
	env := newTestEnv(t)
	env.b.KVStore().IgnoreRevisions()
	const body = "twice"
	answers := make([]answer, 2)
	var wait sync.WaitGroup
	for i, entry := range []string{"entry-1", "entry-2"} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = env.call(entry, http.MethodPost, "/book/x", body, "key")
		}()
	}
	wait.Wait()
	require.True(t, checkFails(func(t require.TestingT) { env.checkBooking(t, body, answers) }), "without compare-and-swap, a booking runs twice and the check must fail")
}

// TestUntrueRefusalTurnsRed checks that checkBooking fails if a caller is told
// not_run although its booking was executed.
func TestUntrueRefusalTurnsRed(t *testing.T) {
	env := newTestEnv(t)
	const body = "ran"
	got := env.call("entry-1", http.MethodPost, "/book/x", body, "key")
	require.Equal(t, http.StatusCreated, got.status, got.body)
	untrue := answer{status: http.StatusServiceUnavailable, outcome: "not_run"}
	require.True(t, checkFails(func(t require.TestingT) { env.checkBooking(t, body, []answer{untrue}) }))
}

// TestWorkInADataCentreTurnsRed checks that checkDataCentreOut fails for a data
// centre that still gets new work.
func TestWorkInADataCentreTurnsRed(t *testing.T) {
	env := newTestEnv(t)
	require.True(t, checkFails(func(t require.TestingT) { env.checkDataCentreOut(t, time.Now().Add(-3*time.Second)) }), "no patch took the data centre out, so the check must fail")
}

// TestEnginesFallWithoutLimits guards against a stand-in engine that tolerates more
// requests than its cold capacity, which would hide a missing limit in the agents.
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
	require.Equal(t, 1, engine.Counts().Crashes, "more requests than its cold capacity must crash the engine")
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header            { return http.Header{} }
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }
func (discardResponse) WriteHeader(int)                {}
