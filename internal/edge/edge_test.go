package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/edge"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// site is the platform with entries on it, in one process.
type site struct {
	t        *testing.T
	kv       *stand.KV
	store    *fakes.Store
	address  string
	version  int
	entries  []*edge.Entry
	settings []prefs.Edge
	replicas map[string]*fakes.Replica
	script   fakes.Script
}

func newSite(t *testing.T) *site {
	s := &site{t: t, kv: stand.NewKV(), replicas: make(map[string]*fakes.Replica)}
	s.store = fakes.NewStore(s.kv)
	server := httptest.NewServer(s.store)
	s.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// write writes a key of the operator or of a replica.
func (s *site) write(key, value string) {
	var txn stand.Txn
	txn.Put(key, []byte(value), 0)
	_, err := s.kv.Commit(txn)
	require.NoError(s.t, err)
}

func (s *site) remove(key string) {
	var txn stand.Txn
	txn.Remove(key)
	_, err := s.kv.Commit(txn)
	require.NoError(s.t, err)
}

// route is a route as the operator writes it.
type route struct {
	prefix, kind, service string
	resume                bool
	attempts              int
	timeoutMS             int
}

var usualRoutes = []route{
	{prefix: "/book/", kind: "non_idempotent", service: "plain", attempts: 1, timeoutMS: 1500},
	{prefix: "/check/", kind: "idempotent", service: "plain", attempts: 2, timeoutMS: 1500},
	{prefix: "/draft/", kind: "streaming", service: "plain", attempts: 2, timeoutMS: 3000, resume: true},
	{prefix: "/once/", kind: "streaming", service: "plain", attempts: 1, timeoutMS: 3000},
}

// configure writes the next version of the operator's configuration.
func (s *site) configure(keys []string, routes ...route) {
	s.version += 2
	config := map[string]any{
		"version":  s.version,
		"services": []any{map[string]any{"name": "plain", "healthPath": "/healthz", "maxConns": 50}},
		"tenants":  []any{map[string]any{"name": "rowers", "apiKeys": keys, "priority": 1}},
	}
	var rows []any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.prefix, "host": "club.example", "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMS,
			"targetLatencyMs": 400, "service": r.service, "maxAttempts": r.attempts, "streamResume": r.resume, "gapAimMs": 120,
		})
	}
	config["routes"] = rows
	encoded, err := json.Marshal(config)
	require.NoError(s.t, err)
	s.write("op/config", string(encoded))
}

// replica starts a replica and registers it.
func (s *site) replica(id, zone string) *fakes.Replica {
	r := fakes.NewReplica(id, 8, &s.script)
	s.t.Cleanup(r.Close)
	s.replicas[id] = r
	s.register(id, zone, "ready")
	return r
}

func (s *site) register(id, zone, state string) {
	s.write("servers/"+id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":%q,"slots":8,"state":%q,"coldLeftMs":0,"born":1}`,
		s.replicas[id].Address(), zone, state))
}

// entry starts an entry and waits until it is ready.
func (s *site) entry(name string) *edge.Entry {
	addresses := make([]string, 4)
	for i := range addresses {
		addresses[i] = procs.FreeAddress(s.t)
	}
	host, port, err := net.SplitHostPort(procs.FreeAddress(s.t))
	require.NoError(s.t, err)
	text := fmt.Sprintf(`{"name": %q, "data_centre": "gmunden", "ip": %q, "peer_port": %s, "admin_listen": %q, "listen": %q,
		"ready_listen": %q, "directory_listen": %q, "store": %q, "stop_bound_s": 3, "retry_ratio": 0.2, "retry_extra": 50,
		"retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5, "log_level": "error"}`,
		name, host, port, addresses[0], addresses[1], addresses[2], addresses[3], s.address)
	settings, err := prefs.ParseEdge("entry.jsonc", []byte(text))
	require.NoError(s.t, err)
	e, err := edge.New(settings, zap.NewNop())
	require.NoError(s.t, err)
	require.NoError(s.t, e.Start())
	s.entries, s.settings = append(s.entries, e), append(s.settings, settings)
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		e.Stop(ctx)
	})
	return e
}

func (s *site) ready(at int) {
	require.Eventually(s.t, func() bool { return s.entries[at].Ready() == "" }, 5*time.Second, 5*time.Millisecond)
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to an entry.
func (s *site) call(at int, method, path, body string, header map[string]string) answer {
	request, err := http.NewRequest(method, "http://"+s.settings[at].Listen()+path, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Host = "club.example"
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Lentilstand-Request-Id", "request-1")
	request.Header.Set("Lentilstand-Deadline-Ms", "3000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// tokens makes a request one for a stream.
var tokens = map[string]string{"Lentilstand-Token-Counts": "100,40"}

func startSite(t *testing.T, replicas ...string) *site {
	s := newSite(t)
	s.configure([]string{"key-1"}, usualRoutes...)
	for _, id := range replicas {
		s.replica(id, "gmunden")
	}
	s.entry("entry-1")
	s.ready(0)
	return s
}

func TestRequestReachesAReplicaUnchanged(t *testing.T) {
	s := startSite(t, "i-1")
	got := s.call(0, http.MethodPost, "/book/2f?seat=4&x=%2F", "the body", map[string]string{
		"X-Other": "kept", "Lentilstand-Tenant": "forged", "Lentilstand-Expect-Replica": "forged", "Connection": "X-Hop", "X-Hop": "1",
	})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer of i-1", got.body)
	require.Equal(t, "seal-i-1", got.header.Get("Lentilstand-Response-Seal"))
	seen := s.replicas["i-1"].Seen()
	require.Len(t, seen, 1)
	require.Equal(t, "/book/2f?seat=4&x=%2F", seen[0].Target)
	require.Equal(t, "club.example", seen[0].Host)
	require.Equal(t, "the body", seen[0].Body)
	require.Equal(t, "kept", seen[0].Header.Get("X-Other"))
	require.Equal(t, "rowers", seen[0].Header.Get("Lentilstand-Tenant"))
	require.Equal(t, "i-1", seen[0].Header.Get("Lentilstand-Expect-Replica"))
	require.Empty(t, seen[0].Header.Get("Authorization"))
	require.Empty(t, seen[0].Header.Get("X-Hop"))
}

func TestAnswersOfTheEntryItself(t *testing.T) {
	s := newSite(t)
	s.entry("entry-1")
	require.Equal(t, http.StatusServiceUnavailable, s.call(0, http.MethodGet, "/check/1", "", nil).status, "no configuration yet")
	s.configure([]string{"key-1"}, usualRoutes...)
	s.ready(0)
	testCases := []struct {
		name   string
		path   string
		header map[string]string
		want   int
	}{
		{name: "no route", path: "/other/1", want: http.StatusNotFound},
		{name: "an unknown key", path: "/check/1", header: map[string]string{"Authorization": "Bearer none"}, want: http.StatusUnauthorized},
		{name: "no replica", path: "/check/1", want: http.StatusServiceUnavailable},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			began := time.Now()
			got := s.call(0, http.MethodGet, tc.path, "", tc.header)
			require.Equal(t, tc.want, got.status)
			require.Less(t, time.Since(began), 300*time.Millisecond, "what can't be served is refused at once")
			if tc.want == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

func TestMisdeedsOfReplicas(t *testing.T) {
	testCases := []struct {
		name    string
		path    string
		stream  bool
		misdeed fakes.Misdeed
		status  int
		runs    int
		body    string
	}{
		{name: "a refused request may be sent again", path: "/check/1", misdeed: fakes.Refuse, status: 200, runs: 1},
		{name: "a refused request of one attempt is not run", path: "/book/1", misdeed: fakes.Refuse, status: 503, runs: 0},
		{name: "a reset after the run says nothing", path: "/book/1", misdeed: fakes.Reset, status: 502, runs: 1},
		{name: "what may be repeated is", path: "/check/1", misdeed: fakes.Reset, status: 200, runs: 2},
		{name: "an error is passed on", path: "/book/1", misdeed: fakes.Fail, status: 500, runs: 1},
		{name: "an error of what may be repeated is tried again", path: "/check/1", misdeed: fakes.Fail, status: 200, runs: 2},
		{name: "an answer to another request is skipped", path: "/book/1", misdeed: fakes.Foreign, status: 200, runs: 1},
		{name: "an extra answer belongs to nobody", path: "/book/1", misdeed: fakes.Double, status: 200, runs: 1},
		{name: "no success without a seal", path: "/book/1", misdeed: fakes.Unsealed, status: 502, runs: 1},
		{name: "a body that ends with its connection", path: "/book/1", misdeed: fakes.Unframed, status: 200, runs: 1, body: "unframed"},
		{name: "a stream goes on at another replica", path: "/draft/1", stream: true, misdeed: fakes.CutEvent, status: 200, runs: 2},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, "i-1", "i-2")
			s.script.Add(tc.misdeed)
			var header map[string]string
			if tc.stream {
				header = tokens
			}
			got := s.call(0, http.MethodPost, tc.path, "", header)
			require.NoError(t, got.err)
			require.Equal(t, tc.status, got.status, got.body)
			runs := 0
			for _, r := range s.replicas {
				runs += len(r.Seen())
			}
			require.Equal(t, tc.runs, runs)
			if tc.body != "" {
				require.Equal(t, tc.body, got.body)
			}
			if tc.stream {
				requireEvents(t, got.body, 8)
			}
			if tc.status == http.StatusOK {
				require.NotContains(t, got.body, "foreign")
			}
		})
	}
}

// requireEvents checks that a stream has each event once, in order.
func requireEvents(t *testing.T, body string, events int) {
	t.Helper()
	var want strings.Builder
	for event := 1; event <= events; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", event, event)
	}
	require.Equal(t, want.String(), body)
}

func TestAStreamThatGoesOnElsewhereIsUrgentThere(t *testing.T) {
	s := startSite(t, "i-1", "i-2")
	s.script.Add(fakes.CutEvent)
	got := s.call(0, http.MethodPost, "/draft/1", "", tokens)
	require.NoError(t, got.err)
	urgency := make(map[string]string)
	for _, r := range s.replicas {
		for _, seen := range r.Seen() {
			urgency[seen.Header.Get("Last-Event-Id")] = seen.Header.Get("Lentilstand-Request-Priority")
		}
	}
	require.Equal(t, map[string]string{"": "1", "2": "0"}, urgency)
}

func TestAStreamThatCannotGoOnEndsUnfinished(t *testing.T) {
	s := startSite(t, "i-1")
	s.script.Add(fakes.CutEvent)
	got := s.call(0, http.MethodPost, "/once/1", "", tokens)
	require.Error(t, got.err, "a broken answer must not look complete")
	require.NotContains(t, got.body, "token 3", "no part of an event")
	require.Len(t, s.replicas["i-1"].Seen(), 1)
}

func TestTimeoutIsAnsweredInTime(t *testing.T) {
	s := newSite(t)
	s.configure([]string{"key-1"}, route{prefix: "/book/", kind: "non_idempotent", service: "plain", attempts: 1, timeoutMS: 400})
	s.replica("i-1", "gmunden")
	s.script.Add(fakes.Mute)
	s.entry("entry-1")
	s.ready(0)
	began := time.Now()
	got := s.call(0, http.MethodPost, "/book/1", "", nil)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.InDelta(t, 400, time.Since(began).Milliseconds(), 200)
}

func TestRulesFollowTheStore(t *testing.T) {
	s := startSite(t, "i-1")
	require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/book/1", "", nil).status)
	// 2 s is the platform's bound.
	bound := 2 * time.Second
	s.configure([]string{"key-2"}, usualRoutes...)
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusUnauthorized
	}, bound, 20*time.Millisecond)
	s.configure([]string{"key-1"}, usualRoutes...)
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusOK
	}, bound, 20*time.Millisecond)
	s.write("op/evacuate/gmunden", "{}")
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusServiceUnavailable
	}, bound, 20*time.Millisecond)
	s.remove("op/evacuate/gmunden")
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusOK
	}, bound, 20*time.Millisecond)
	s.register("i-1", "gmunden", "draining")
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusServiceUnavailable
	}, bound, 20*time.Millisecond)
}

func TestForeignItemsNameNoReplica(t *testing.T) {
	s := newSite(t)
	s.configure([]string{"key-1"}, usualRoutes...)
	for key, value := range map[string]string{
		"servers/a": "no JSON", "servers/b": `{"service":"plain"}`, "servers/c": `{"service":"plain","address":"name:1","zone":"z","state":"ready"}`,
		"servers/d": `{"service":"plain","address":"127.0.0.1:1","zone":"z","state":"odd"}`, "lentilstand/members/x": "{}", "other/key": "1",
	} {
		s.write(key, value)
	}
	s.replica("i-1", "gmunden")
	s.entry("entry-1")
	s.ready(0)
	for range 10 {
		require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/book/1", "", nil).status)
	}
}

func TestAnEntryLearnsFromItsPeersWhatTheStoreDoesNotTell(t *testing.T) {
	testCases := []struct {
		name   string
		faults fakes.StoreFaults
	}{
		{name: "turned away", faults: fakes.StoreFaults{Down: true, Only: []string{"entry-1"}}},
		{name: "silent", faults: fakes.StoreFaults{Silent: true, Only: []string{"entry-1"}}},
		{name: "a watch that hears nothing", faults: fakes.StoreFaults{Deaf: true, Only: []string{"entry-1"}}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, "i-1")
			s.entry("entry-2")
			s.ready(1)
			require.Eventually(t, func() bool { return len(s.addresses(0)) == 2 && len(s.addresses(1)) == 2 }, 5*time.Second, 20*time.Millisecond)
			s.store.SetFaults(tc.faults)
			s.configure([]string{"key-2"}, usualRoutes...)
			require.Eventually(t, func() bool {
				return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusUnauthorized
			}, 2*time.Second, 20*time.Millisecond)
		})
	}
}

func TestRequestsAreServedWhileTheStoreIsDown(t *testing.T) {
	s := startSite(t, "i-1")
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	for range 20 {
		require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/book/1", "", nil).status)
		time.Sleep(20 * time.Millisecond)
	}
	s.store.SetFaults(fakes.StoreFaults{Forgetful: true})
	s.configure([]string{"key-2"}, usualRoutes...)
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusUnauthorized
	}, 2*time.Second, 20*time.Millisecond, "a history that is gone is read anew")
}

// TestAHistoryThatIsDroppedUnheardIsNoticed lets all watches hear nothing while
// the configuration changes, as a store does that drops its history.
func TestAHistoryThatIsDroppedUnheardIsNoticed(t *testing.T) {
	s := startSite(t, "i-1")
	for i := range 2 {
		s.entry(fmt.Sprintf("entry-%d", i+2))
		s.ready(i + 1)
	}
	require.Eventually(t, func() bool { return len(s.addresses(0)) == 3 }, 5*time.Second, 20*time.Millisecond)
	s.store.SetFaults(fakes.StoreFaults{Mute: true})
	s.configure([]string{"key-2"}, usualRoutes...)
	time.Sleep(time.Second)
	s.store.SetFaults(fakes.StoreFaults{Forgetful: true})
	for at := range s.entries {
		require.Eventually(t, func() bool {
			return s.call(at, http.MethodPost, "/book/1", "", nil).status == http.StatusUnauthorized
		}, 2*time.Second, 20*time.Millisecond, "entry %d", at+1)
	}
}

// addresses asks an entry's directory.
func (s *site) addresses(at int) []string {
	response, err := http.Get("http://" + s.settings[at].Directory() + "/lentilstand/resolve?name=club.example&region=r&zone=gmunden")
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	defer response.Body.Close()
	var told struct {
		Addresses []string `json:"addresses"`
		TTLS      int      `json:"ttlS"`
	}
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&told))
	require.Positive(s.t, told.TTLS)
	return told.Addresses
}

func TestAnEntryThatStopsLeavesTheDirectoryAndFinishesItsWork(t *testing.T) {
	s := startSite(t, "i-1")
	s.entry("entry-2")
	s.ready(1)
	require.Eventually(t, func() bool { return len(s.addresses(1)) == 2 }, 5*time.Second, 20*time.Millisecond)
	done := make(chan answer, 1)
	go func() { done <- s.call(0, http.MethodPost, "/draft/1", "", tokens) }()
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		stopped <- s.entries[0].Stop(ctx)
	}()
	require.Eventually(t, func() bool {
		addresses := s.addresses(1)
		return len(addresses) == 1 && addresses[0] == s.settings[1].Listen()
	}, 2*time.Second, 20*time.Millisecond)
	got := <-done
	require.NoError(t, got.err)
	requireEvents(t, got.body, 8)
	require.Zero(t, <-stopped)
}
