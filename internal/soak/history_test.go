package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds of the platform that the checks use, with the values of the users' sites.
const (
	// disturbanceWindow is how long after a fault the process, link, replica or store
	// that it affected still counts as disturbed.
	disturbanceWindow = 3 * time.Second
	configApplyBound  = 2 * time.Second
	rollbackBound     = 8 * 250 * time.Millisecond
	graceBound        = 8 * time.Second
	recoveryBound     = 12 * time.Second
	// slack allows for scheduling delays, since all processes share one machine.
	slack = 500 * time.Millisecond
)

// callRecord is a request as its caller sent it and the response that the caller got.
type callRecord struct {
	id, path, body string
	entry          *daemon
	start, end     time.Time
	status         int
	header         http.Header
	answer         string
	// unsent is set if no connection could be made, err if no complete response came.
	unsent bool
	err    error
	// undisturbed is set if no fault affected the entry, the endpoints or their
	// agents from disturbanceWindow before the request until its end; stopping is
	// set if the entry had received SIGTERM within about graceBound. inTouch is set if the
	// entry and the store were undisturbed for as long.
	undisturbed, stopping, inTouch bool
}

func (a *callRecord) atMostOnce() bool {
	return strings.HasPrefix(a.path, "/book/") || strings.HasPrefix(a.path, "/once/")
}

func (a *callRecord) isStream() bool {
	return strings.HasPrefix(a.path, "/draft/") || strings.HasPrefix(a.path, "/once/")
}

func (a *callRecord) served() bool { return a.err == nil && a.status == http.StatusOK }

// history records all requests and the findings of the checks.
type history struct {
	site *site

	mu       sync.Mutex
	calls    map[string]*callRecord
	count    int
	findings []string
	// dueProbes is the number of probes at entries that had to obey the version.
	dueProbes int
}

func newHistory(s *site) *history { return &history{site: s, calls: make(map[string]*callRecord)} }

func (h *history) report(rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings = append(h.findings, rule+": "+fmt.Sprintf(format, args...))
}

// caller sends requests sequentially over persistent connections.
type caller struct {
	history         *history
	client          *http.Client
	addresses       []string
	addressesExpire time.Time
	lastFailure     map[string]time.Time
}

func (h *history) newCaller() *caller {
	dialer := net.Dialer{Timeout: time.Second}
	return &caller{history: h, lastFailure: make(map[string]time.Time), client: &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4},
	}}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	paths := []string{"/book/1", "/check/2?x=%2F", "/draft/3", "/draft/4", "/once/5"}
	for ctx.Err() == nil {
		if entry := c.pickEntry(); entry != nil {
			got := c.send(entry, paths[rand.IntN(len(paths))], "key")
			if got.err != nil {
				c.lastFailure[entry.front] = time.Now()
			}
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

// pickEntry returns a random entry that the directory lists and that hasn't failed
// within the last second, nil if there is none.
func (c *caller) pickEntry() *daemon {
	entries := c.history.site.entries
	if time.Now().After(c.addressesExpire) {
		e := entries[rand.IntN(len(entries))]
		if addresses := c.resolve(e); len(addresses) > 0 {
			c.addresses, c.addressesExpire = addresses, time.Now().Add(time.Second)
		}
	}
	var usable []*daemon
	for _, e := range entries {
		for _, address := range c.addresses {
			if address == e.front && time.Since(c.lastFailure[address]) > time.Second {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}

func (c *caller) resolve(e *daemon) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+e.directory+"/lentilstand/resolve?name=club.example&region=r&zone=a", nil)
	if err != nil {
		return nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var result struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&result) != nil {
		return nil
	}
	return result.Addresses
}

// send sends one request and records its result.
func (c *caller) send(entry *daemon, path, key string) *callRecord {
	h := c.history
	a := &callRecord{path: path, entry: entry, start: time.Now()}
	h.mu.Lock()
	h.count++
	a.id = fmt.Sprintf("request-%d", h.count)
	a.body = "body of " + a.id
	h.calls[a.id] = a
	h.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.front+path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		panic(err)
	}
	// Without GetBody, the transport can't retry the request by itself.
	request.GetBody = nil
	request.Host = "club.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Lentilstand-Request-Id", a.id)
	request.Header.Set("Lentilstand-Deadline-Ms", "3000")
	if a.isStream() {
		request.Header.Set("Lentilstand-Token-Counts", "100,40")
	}
	got := callRecord{}
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		got.status, got.header = response.StatusCode, response.Header
		var content []byte
		content, err = io.ReadAll(response.Body)
		got.answer = string(content)
	}
	var dial *net.OpError
	got.unsent = errors.As(err, &dial) && dial.Op == "dial"
	got.err, got.end = err, time.Now()
	h.complete(a, got)
	if a.served() {
		h.checkAnswer(a)
	}
	return a
}

// complete records the result of a request and whether faults may have affected it.
func (h *history) complete(a *callRecord, got callRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.status, a.header, a.answer, a.unsent, a.err, a.end = got.status, got.header, got.answer, got.unsent, got.err, got.end
	longAgo := func(at time.Time) bool { return a.start.Sub(at) > disturbanceWindow }
	unplanned, stopped, _ := a.entry.lastDisturbed()
	replicas, store := h.site.lastDisturbed()
	since, runs := a.entry.inTouchSince()
	a.inTouch = runs && longAgo(since) && longAgo(store)
	a.undisturbed = longAgo(unplanned) && longAgo(replicas)
	for _, agent := range h.site.agents {
		at, _, _ := agent.lastDisturbed()
		a.undisturbed = a.undisturbed && longAgo(at)
	}
	a.stopping = a.end.Sub(stopped) < graceBound+time.Second
}

// checkAnswer checks that a successful response belongs to its request and is complete.
func (h *history) checkAnswer(a *callRecord) {
	seal, id := a.header.Get("Lentilstand-Response-Seal"), a.header.Get("Lentilstand-Request-Id")
	replica, sealed := strings.CutPrefix(seal, "seal-")
	switch {
	case !sealed || id != a.id:
		h.report("MIXED", "%s got the response to %q with seal %q", a.id, id, seal)
	case a.isStream():
		var want strings.Builder
		for event := 1; event <= events; event++ {
			fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", event, event)
		}
		if a.answer != want.String() {
			h.report("ORDER", "%s got a stream of %d bytes with events missing, duplicated or out of order", a.id, len(a.answer))
		}
	case a.answer != "answer of "+replica && a.answer != "unframed":
		h.report("MIXED", "%s got body %q with the seal of %s", a.id, a.answer, replica)
	}
}

// probePath is the path of the requests of probeConfig.
const probePath = "/check/probe"

// probeConfig checks which configuration version an entry applies: it sends requests
// with the API keys of the latest version and of the one before it.
func (h *history) probeConfig(ctx context.Context, e *daemon) {
	c := h.newCaller()
	defer c.client.CloseIdleConnections()
	served := make(map[int]time.Time)
	lastStartCount := 0
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		version, ackedAt, isBound := h.site.writes.latestVersion()
		_, _, startCount := e.lastDisturbed()
		since, runs := e.inTouchSince()
		if startCount != lastStartCount {
			served, lastStartCount = make(map[int]time.Time), startCount
		}
		_, store := h.site.lastDisturbed()
		undisturbed := runs && time.Since(since) > disturbanceWindow && time.Since(store) > disturbanceWindow
		newer := c.send(e, probePath, versionKey(version))
		older := c.send(e, probePath, versionKey(version-1))
		if now, _, _ := h.site.writes.latestVersion(); now != version {
			continue
		}
		if _, _, after := e.lastDisturbed(); after != startCount {
			continue
		}
		due := undisturbed && isBound && newer.start.Sub(ackedAt) > configApplyBound+slack
		if due {
			h.mu.Lock()
			h.dueProbes++
			h.mu.Unlock()
		}
		first, has := served[version]
		switch {
		case newer.status == http.StatusUnauthorized && due:
			h.report("CONFIG", "%s rejects the key of version %d, %v after the write was acknowledged (%s)", e.name, version, newer.start.Sub(ackedAt), newer.id)
		case newer.status == http.StatusUnauthorized && has && newer.start.Sub(first) > rollbackBound:
			h.report("CONFIG", "%s reverted to a version older than %d (%s)", e.name, version, newer.id)
		case older.served() && (due || has && older.start.Sub(first) > rollbackBound):
			h.report("CONFIG", "%s still applies version %d, %v after version %d was acknowledged (%s)", e.name, version-1, older.start.Sub(ackedAt), version, older.id)
		}
		if newer.served() && !has {
			served[version] = newer.end
		}
	}
}

// checkExecutions compares, at the end of a run, the requests that replicas
// executed with those that callers sent.
func (h *history) checkExecutions() {
	runs := make(map[string]int)
	for _, replica := range h.site.allReplicas() {
		for _, seen := range replica.Requests() {
			id := seen.Header.Get("Lentilstand-Request-Id")
			runs[id]++
			a := h.calls[id]
			switch {
			case a == nil:
				h.report("UNASKED", "a replica executed unknown request %q", id)
			case seen.Target != a.path || seen.Body != a.body || seen.Method != http.MethodPost ||
				seen.Header.Get("Lentilstand-Tenant") != "rowers" || seen.Header.Get("Authorization") != "":
				h.report("UNASKED", "a replica executed %s with altered contents, as %s %s", id, seen.Method, seen.Target)
			}
		}
	}
	cut := 0
	for id, a := range h.calls {
		switch {
		case a.atMostOnce() && runs[id] > 1:
			h.report("TWICE", "%s (%s) was executed %d times", id, a.path, runs[id])
		case runs[id] > 2:
			h.report("BUDGET", "%s (%s) was executed %d times", id, a.path, runs[id])
		case a.atMostOnce() && runs[id] > 0 && (a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable):
			h.report("REFUSED", "%s (%s) was refused with status %d but was executed", id, a.path, a.status)
		}
		if runs[id] == 0 || a.err == nil || a.unsent || !a.undisturbed || a.end.Sub(a.start) > 3*time.Second {
			continue
		}
		if cut++; a.stopping {
			h.report("LOST", "%s (%s) at %s was executed, but its response was cut off after %v: %v", id, a.path, a.entry.name, a.end.Sub(a.start), a.err)
		}
	}
	if cut > 3 {
		h.report("LOST", "%d executed requests had their responses cut off without a disturbance", cut)
	}
	h.checkWithdrawals()
	h.checkDenied()
	for _, violation := range h.site.group.Violations() {
		h.report("MAP", "%s", violation)
	}
}

// hangingAfter is how long a request may be unanswered before it counts as not served.
const hangingAfter = 500 * time.Millisecond

// callersServed reports whether at least 90% of the requests that started after
// since were served, out of at least 50. Requests that hang count as not served.
func (h *history) callersServed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, served, now := 0, 0, time.Now()
	for _, a := range h.calls {
		isPending := a.end.IsZero()
		if !a.start.After(since) || isPending && now.Sub(a.start) < hangingAfter || strings.HasSuffix(a.path, "probe") {
			continue
		}
		all++
		if !isPending && a.served() {
			served++
		}
	}
	return all >= 50 && served*10 >= all*9
}

// TestCallersServedOnlyCountsWhatFollowsAFault guards against a recovery that is inferred
// from answers before a fault, or from callers whose requests hang and don't count.
func TestCallersServedOnlyCountsWhatFollowsAFault(t *testing.T) {
	now := time.Now()
	healed := now.Add(-time.Second)
	record := func(count int, start, end time.Time, status int) []*callRecord {
		var calls []*callRecord
		for range count {
			calls = append(calls, &callRecord{path: "/check/1", start: start, end: end, status: status})
		}
		return calls
	}
	before := record(100, healed.Add(-100*time.Millisecond), healed.Add(-50*time.Millisecond), http.StatusOK)
	after := record(60, healed.Add(100*time.Millisecond), healed.Add(200*time.Millisecond), http.StatusOK)
	testCases := []struct {
		name  string
		calls [][]*callRecord
		want  bool
	}{
		{"served before the fault only", [][]*callRecord{before}, false},
		{"served after the fault", [][]*callRecord{before, after}, true},
		{"refused after the fault", [][]*callRecord{after, record(20, healed.Add(100*time.Millisecond), now, http.StatusServiceUnavailable)}, false},
		{"hanging after the fault", [][]*callRecord{after, record(20, healed.Add(100*time.Millisecond), time.Time{}, 0)}, false},
		{"just sent", [][]*callRecord{after, record(20, now.Add(-50*time.Millisecond), time.Time{}, 0)}, true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHistory(nil)
			for _, call := range slices.Concat(tc.calls...) {
				h.calls[fmt.Sprint(len(h.calls))] = call
			}
			require.Equal(t, tc.want, h.callersServed(recoveryStart(healed, now)))
		})
	}
}

// recoveryWindow is the span of requests from which a recovery is inferred.
const recoveryWindow = 3 * time.Second

// recoveryStart returns the start of the requests from which a recovery after a fault that
// ended at healed is inferred.
func recoveryStart(healed, now time.Time) time.Time {
	if recent := now.Add(-recoveryWindow); recent.After(healed) {
		return recent
	}
	return healed
}
