package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/frame"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/config"
)

func TestMain(m *testing.M) {
	// Idle connections of http.DefaultClient may outlive a test.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

// oneEach returns a bench with one entry, one model endpoint and one plain endpoint.
func oneEach(engine stand.EngineSpec, plain stand.PlainSpec) bench.Spec {
	return bench.Spec{
		Region:      "r",
		DataCentres: []string{"centru"},
		Teams:       []string{"a", "b"},
		Entries:     []bench.EntrySpec{{Name: "entry-1", DataCentre: "centru"}},
		Services: []bench.Service{
			{
				Name: "asistent", Kind: config.KindModel, Repeatable: true,
				Replicas: []bench.Replica{{Name: "asistent-1", DataCentre: "centru", Engine: engine}},
			},
			{
				Name: "depozit", Kind: config.KindPlain, PathPrefix: "/depozit",
				Replicas: []bench.Replica{{Name: "depozit-1", DataCentre: "centru", Plain: plain}},
			},
		},
	}
}

func startBench(t *testing.T, spec bench.Spec) *bench.Bench {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	b, err := bench.Start(ctx, spec)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

func observedSpec() (bench.Spec, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.DebugLevel)
	spec := oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4})
	spec.Logger = zap.New(core)
	return spec, logs
}

// wireError is the documented JSON form of an error.
type wireError struct {
	Error struct {
		Message string
		Type    string
		Code    string
		Outcome string
	}
}

func TestBadRequests(t *testing.T) {
	spec, _ := observedSpec()
	b := startBench(t, spec)
	address := b.Entry("entry-1").Address()
	bearer := http.Header{"Authorization": {"Bearer " + bench.APIKey("a")}}
	const chatPath = "/v1/chat/completions"
	testCases := []struct {
		name   string
		method string
		path   string
		header http.Header
		body   string
		status int
		code   string
	}{
		{"no key", "POST", chatPath, nil, `{}`, 401, "missing_api_key"},
		{"unknown team", "POST", chatPath, http.Header{"Authorization": {"Bearer x"}}, `{}`, 401, "unknown_team"},
		{"malformed JSON", "POST", chatPath, bearer, `{"model":`, 400, "malformed_json"},
		{"no model", "POST", chatPath, bearer, `{}`, 400, "missing_model"},
		{"unknown model", "POST", chatPath, bearer, `{"model": "x"}`, 404, "unknown_model"},
		{"wrong method", "GET", chatPath, bearer, ``, 405, "method_not_allowed"},
		{"unknown API path", "GET", "/v1/x", bearer, ``, 404, "unknown_path"},
		{"unknown path", "GET", "/x", bearer, ``, 404, "unknown_path"},
		{"path beside a prefix", "GET", "/depozitul", bearer, ``, 404, "unknown_path"},
		{"body too large", "POST", chatPath, bearer, strings.Repeat("x", webio.MaxBodyBytes+1), 413, "body_too_large"},
		{"malformed timeout", "GET", "/depozit/x", http.Header{"Authorization": bearer["Authorization"], "Lentilstand-Timeout-Ms": {"soon"}}, ``, 400, "malformed_timeout"},
		{"long key", "POST", "/depozit/x", http.Header{"Authorization": bearer["Authorization"], "Idempotency-Key": {strings.Repeat("k", 300)}}, ``, 400, "malformed_key"},
		{"unknown outcome key", "GET", "/v1/outcomes/x", bearer, ``, 404, "unknown_key"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			answer, err := b.Call(context.Background(), address, "", tc.method, tc.path, tc.body, tc.header)
			require.NoError(t, err)
			require.Equal(t, tc.status, answer.Status, string(answer.Body))
			var failure wireError
			require.NoError(t, json.Unmarshal(answer.Body, &failure), string(answer.Body))
			require.Equal(t, tc.code, failure.Error.Code)
			require.NotEmpty(t, failure.Error.Message)
			require.Equal(t, "not_run", answer.Header.Get("Lentilstand-Outcome"))
		})
	}
}

// exchangeRaw calls send on a new connection and returns everything that is received
// until the server closes it.
func exchangeRaw(t *testing.T, address string, send func(conn net.Conn)) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	send(conn)
	answer, err := io.ReadAll(conn)
	if err != nil {
		require.NotErrorIs(t, err, context.DeadlineExceeded, "the connection must be closed")
	}
	return string(answer)
}

func TestRawBytes(t *testing.T) {
	spec, logs := observedSpec()
	b := startBench(t, spec)
	e := b.Entry("entry-1")
	testCases := []struct {
		name    string
		address string
		send    func(conn net.Conn)
		answer  string
		event   event.Event
	}{
		{
			name:    "not HTTP",
			address: e.Address(),
			send:    func(conn net.Conn) { fmt.Fprint(conn, "\x00\x01\x02 what\r\n\r\n") },
			answer:  "HTTP/1.1 400",
			event:   event.RequestMalformed,
		},
		{
			name:    "flood of header fields",
			address: e.Address(),
			send: func(conn net.Conn) {
				fmt.Fprint(conn, "GET /v1/models HTTP/1.1\r\n")
				for i := range 100_000 {
					if _, err := fmt.Fprintf(conn, "X-Flood-%d: %064d\r\n", i, i); err != nil {
						return
					}
				}
			},
			event: event.RequestTooLarge,
		},
		{
			name:    "HTTP sent to an agent",
			address: b.Agent("asistent-1").Address(),
			send:    func(conn net.Conn) { fmt.Fprint(conn, "GET / HTTP/1.1\r\n\r\n") },
			event:   event.SessionRefused,
		},
		{
			name:    "garbage sent to the peer port",
			address: e.PeerAddress(),
			send:    func(conn net.Conn) { _, _ = conn.Write(bytes.Repeat([]byte{0xff}, 64)) },
			event:   event.SessionRefused,
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			logs.TakeAll()
			answer := exchangeRaw(t, tc.address, tc.send)
			require.True(t, strings.HasPrefix(answer, tc.answer), answer)
			require.Eventually(t, func() bool {
				return logs.FilterField(zap.Int("event", tc.event.Number())).Len() > 0
			}, 5*time.Second, 10*time.Millisecond)
		})
	}
	answer, err := b.Call(context.Background(), e.Address(), "a", http.MethodGet, "/v1/models", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
}

func TestLargeFramesTakeNoMemory(t *testing.T) {
	spec, _ := observedSpec()
	b := startBench(t, spec)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 50 {
		conn, err := net.Dial("tcp", b.Agent("asistent-1").Address())
		require.NoError(t, err)
		// A yamux frame that opens stream 1 and carries a length prefix above the
		// frame size limit.
		_, err = conn.Write([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff})
		require.NoError(t, err)
		defer conn.Close()
	}
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(frame.MaxBytes))
}

func TestCallerGoneFreesItsWork(t *testing.T) {
	engine := stand.DefaultEngineSpec()
	engine.Step = 50 * time.Millisecond
	b := startBench(t, oneEach(engine, stand.PlainSpec{Capacity: 4}))
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			body := fmt.Sprintf(`{"model": "asistent", "stream": %t, "max_tokens": 400, "messages": [{"content": "x"}]}`, stream)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := b.Call(ctx, b.Entry("entry-1").Address(), "a", http.MethodPost, "/v1/chat/completions", body, nil)
			require.Error(t, err)
			require.Eventually(t, func() bool { return b.Engine("asistent-1").Counts().Running == 0 },
				time.Second, 10*time.Millisecond, "the engine must stop generating")
		})
	}
}

// TestBytesThatAreNoText guards against failures to encode frames or audit records
// that contain invalid UTF-8. HTTP allows such bytes in header fields and paths.
func TestBytesThatAreNoText(t *testing.T) {
	spec, logs := observedSpec()
	b := startBench(t, spec)
	header := http.Header{"X-Note": {"caf\xe9"}, "X-Session-Id": {"\xff"}, "Idempotency-Key": {"\xfe"}}
	answer, err := b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost, "/depozit/%ff?q=\xff", "x", header)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, answer.Status, string(answer.Body))
	answer, err = b.Call(context.Background(), b.Entry("entry-1").Address(), "a", http.MethodPost, "/v1/chat/completions",
		`{"model": "asistent", "messages": [{"role": "user", "content": "x"}]}`, http.Header{"X-Session-Id": {"\xff"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status, string(answer.Body))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.Zero(t, b.Entry("entry-1").Stop(ctx), "Stop must write the records and cut off no connection")
	b.RemoveEntry("entry-1")
	require.Zero(t, logs.FilterField(zap.Int("event", event.RecordsLost.Number())).Len())
}
