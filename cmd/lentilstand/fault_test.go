package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// startThreeEntries starts the fleet with a third entry, so that a majority remains
// when one entry is lost.
func startThreeEntries(t *testing.T) *procs.Fleet {
	t.Helper()
	f := startFleet(t)
	f.AddEntry("entry-3", "altmuenster")
	f.WaitReady()
	return f
}

const outPatch = `{"who": "test", "why": "maintenance", "set": {"data_centres": [{"name": "gmunden", "region": "at-upper", "out": %t}]}}`

// countExecutions returns how often the plain services executed each request body.
func countExecutions(t *testing.T, f *procs.Fleet) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, name := range []string{"boot-1", "boot-2"} {
		var executions []stand.Execution
		require.NoError(t, json.Unmarshal(f.Get(f.Agents[name].EndpointAddress, "/executions"), &executions))
		for _, e := range executions {
			counts[e.Body]++
		}
	}
	return counts
}

// countAdmitted returns how many requests the engines in gmunden have admitted.
func countAdmitted(t *testing.T, f *procs.Fleet) int {
	t.Helper()
	sum := 0
	for _, name := range []string{"skiff-1", "skiff-4"} {
		var counts stand.EngineCounts
		require.NoError(t, json.Unmarshal(f.Get(f.Agents[name].EndpointAddress, "/counts"), &counts))
		sum += counts.Admitted
	}
	return sum
}

// booking counts the responses that the callers of one booking received.
type booking struct {
	mu        sync.Mutex
	confirmed bool
	answers   int
	notRun    int
}

// TestKillsNeverDoubleABooking guards against a booking that runs twice, and against
// a false confirmation or refusal, when each booking is sent to two entries while
// an entry and an agent are killed and restarted.
func TestKillsNeverDoubleABooking(t *testing.T) {
	f := startThreeEntries(t)
	const count = 60
	bookings := make([]booking, count)
	var wait sync.WaitGroup
	send := func(n int, address string) {
		defer wait.Done()
		body := fmt.Sprintf("boat %d", n)
		status, header, _, err := sendRequest(address, http.MethodPost, "/bootshaus/bookings", body, http.Header{"Idempotency-Key": {body}})
		b := &bookings[n]
		b.mu.Lock()
		defer b.mu.Unlock()
		b.answers++
		if err == nil && status == http.StatusCreated {
			b.confirmed = true
		}
		if err == nil && header.Get("Lentilstand-Outcome") == "not_run" {
			b.notRun++
		}
	}
	for n := range count {
		for _, name := range []string{"entry-1", "entry-2"} {
			wait.Add(1)
			go send(n, f.Entries[name].Address)
		}
		switch n {
		case 20:
			f.Entries["entry-1"].Kill()
		case 30:
			f.Agents["boot-1"].Kill()
			f.RestartAgent("boot-1")
		case 40:
			f.RestartEntry("entry-1")
		}
		time.Sleep(10 * time.Millisecond)
	}
	wait.Wait()
	runs := countExecutions(t, f)
	confirmed := 0
	for n := range bookings {
		b := &bookings[n]
		ran := runs[fmt.Sprintf("boat %d", n)]
		require.LessOrEqual(t, ran, 1, "boat %d ran twice", n)
		if b.confirmed {
			confirmed++
			require.Equal(t, 1, ran, "boat %d was confirmed", n)
		}
		if b.notRun == b.answers {
			require.Zero(t, ran, "boat %d was refused as not_run", n)
		}
	}
	require.Greater(t, confirmed, count/2, "most bookings must be served")
}

// TestPausedEntryObeysWhatItMissed guards against an entry that serves an outdated
// version after a pause (SIGSTOP) during which a data centre was taken out.
func TestPausedEntryObeysWhatItMissed(t *testing.T) {
	f := startThreeEntries(t)
	paused := f.Entries["entry-2"]
	paused.Signal(syscall.SIGSTOP)
	var pendingCalls sync.WaitGroup
	for n := range 10 {
		pendingCalls.Add(1)
		go func() {
			defer pendingCalls.Done()
			status, header, _, err := sendRequest(paused.Address, http.MethodPost, "/v1/chat/completions", chatBody(fmt.Sprint("late ", n), 2, true), nil)
			if err == nil && status != http.StatusOK && header.Get("Lentilstand-Outcome") != "not_run" {
				t.Errorf("response of an entry after its pause: %d %s", status, header.Get("Lentilstand-Outcome"))
			}
		}()
	}
	result := f.Submit(f.Entries["entry-1"], 1, fmt.Sprintf(outPatch, true))
	require.Equal(t, entry.ResultAccepted, result.Result, result)
	before := countAdmitted(t, f)
	paused.Signal(syscall.SIGCONT)
	pendingCalls.Wait()
	for n := range 10 {
		_, _, _, _ = sendRequest(paused.Address, http.MethodPost, "/v1/chat/completions", chatBody(fmt.Sprint("after ", n), 2, true), nil)
	}
	require.Equal(t, before, countAdmitted(t, f), "an engine admitted work under a version that is no longer in force")
	f.Eventually("the entry to catch up", func() bool {
		status, ok := f.Status(paused)
		return ok && status.Version == result.Version && status.ServeState == "fresh"
	})
}

// callerPool sends chats continuously to the entry addresses that an entry
// publishes, and refreshes the addresses when their time to live expires.
type callerPool struct {
	f           *procs.Fleet
	sourceEntry string
	stop        atomic.Bool
	wait        sync.WaitGroup
	served      atomic.Int64
	refused     atomic.Int64

	mu       sync.Mutex
	failures []string
}

// startCallers starts callers that get the addresses from sourceEntry.
func startCallers(f *procs.Fleet, sourceEntry string, count, tokens int) *callerPool {
	c := &callerPool{f: f, sourceEntry: sourceEntry}
	for n := range count {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.run(n, tokens)
		}()
	}
	return c
}

func (c *callerPool) addresses() []string {
	_, _, body, err := sendRequest(c.f.Entries[c.sourceEntry].Address, http.MethodGet, "/v1/entries", "", nil)
	var list struct{ Entries []struct{ Address string } }
	if err != nil || json.Unmarshal([]byte(body), &list) != nil {
		return nil
	}
	var addresses []string
	for _, e := range list.Entries {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

func (c *callerPool) run(n, tokens int) {
	var addresses []string
	var expires time.Time
	for i := 0; !c.stop.Load(); i++ {
		if time.Now().After(expires) {
			addresses, expires = c.addresses(), time.Now().Add(time.Second)
		}
		if len(addresses) == 0 {
			continue
		}
		content := fmt.Sprintf("caller %d asks %d", n, i)
		status, header, body, err := sendRequest(addresses[i%len(addresses)], http.MethodPost, "/v1/chat/completions", chatBody(content, tokens, true), nil)
		text, clean := streamedText(body)
		switch {
		case err == nil && status == http.StatusOK && clean && text == stand.CompletionText(content, tokens):
			c.served.Add(1)
		case err == nil && header.Get("Lentilstand-Outcome") == "not_run":
			c.refused.Add(1)
			time.Sleep(50 * time.Millisecond)
		default:
			c.mu.Lock()
			c.failures = append(c.failures, fmt.Sprintf("%s: %d %v %q", content, status, err, body))
			c.mu.Unlock()
		}
	}
}

// end stops the callers and checks that no request failed.
func (c *callerPool) end(t *testing.T) {
	t.Helper()
	c.stop.Store(true)
	c.wait.Wait()
	t.Logf("served %d, refused %d, failed %d", c.served.Load(), c.refused.Load(), len(c.failures))
	require.Empty(t, c.failures)
	require.Positive(t, c.served.Load())
}

// TestGracefulStopsCutNothingOff guards against failed requests when an agent and an
// entry are stopped by SIGTERM under load.
func TestGracefulStopsCutNothingOff(t *testing.T) {
	f := startThreeEntries(t)
	callers := startCallers(f, "entry-1", 6, 30)
	time.Sleep(500 * time.Millisecond)
	f.Agents["skiff-2"].Signal(syscall.SIGTERM)
	require.Zero(t, f.Agents["skiff-2"].Wait(15*time.Second), f.Agents["skiff-2"].Log())
	leaving := f.Entries["entry-2"]
	leaving.Signal(syscall.SIGTERM)
	require.Zero(t, leaving.Wait(15*time.Second), leaving.Log())
	time.Sleep(500 * time.Millisecond)
	callers.end(t)
	delete(f.Entries, "entry-2")
	f.Eventually("the stopped entry to lose its vote", func() bool {
		status, ok := f.Status(f.Entries["entry-1"])
		return ok && len(status.Voters) == 2
	})
}

// TestHostListTellsFirst guards against new work on hosts that the host list shows
// as leaving.
func TestHostListTellsFirst(t *testing.T) {
	f := startThreeEntries(t)
	f.Post(f.HostListAddress, "/hosts", `{"name": "host-skiff-1", "state": "leaving"}`)
	f.Post(f.HostListAddress, "/hosts", `{"name": "host-skiff-4", "state": "leaving"}`)
	time.Sleep(3 * time.Second)
	before := countAdmitted(t, f)
	for n := range 8 {
		require.NoError(t, sendMixedRequest(f.Entries["entry-1"].Address, 4*n))
	}
	require.Equal(t, before, countAdmitted(t, f), "new work on hosts that are leaving")
}

// TestDataCentreCycleDuringAnOutage guards against new work in a data centre that is
// out, and against failed requests, while the key-value service is down.
func TestDataCentreCycleDuringAnOutage(t *testing.T) {
	f := startThreeEntries(t)
	callers := startCallers(f, "entry-3", 6, 10)
	time.Sleep(500 * time.Millisecond)
	result := f.Submit(f.Entries["entry-3"], 1, fmt.Sprintf(outPatch, true))
	require.Equal(t, entry.ResultAccepted, result.Result, result)
	time.Sleep(time.Second)
	f.Post(f.KeyValueAddress, "/faults", `{"down": true}`)
	time.Sleep(2 * time.Second)
	before := countAdmitted(t, f)
	time.Sleep(4 * time.Second)
	require.Equal(t, before, countAdmitted(t, f), "new work in a data centre that is out")
	served := callers.served.Load()
	f.Post(f.KeyValueAddress, "/faults", `{}`)
	require.Greater(t, served, int64(0))
	f.Eventually("the entry to read the key-value service again", func() bool {
		status, ok := f.Status(f.Entries["entry-3"])
		return ok && status.ServeState == "fresh" && status.AgeMS < 1500
	})
	result = f.Submit(f.Entries["entry-3"], 2, fmt.Sprintf(outPatch, false))
	require.Equal(t, entry.ResultAccepted, result.Result, result)
	f.Eventually("work in the data centre after its return", func() bool { return countAdmitted(t, f) > before })
	callers.end(t)
}

// TestProcessStartedDuringAnOutageRefuses guards against an entry that serves
// requests without a current version: one started while the key-value service is
// down, and one that has lost the majority of the voters.
func TestProcessStartedDuringAnOutageRefuses(t *testing.T) {
	f := startThreeEntries(t)
	f.Post(f.KeyValueAddress, "/faults", `{"down": true}`)
	f.Entries["entry-2"].Kill()
	f.RestartEntry("entry-2")
	time.Sleep(4 * time.Second)
	status, header, _, err := sendRequest(f.Entries["entry-2"].Address, http.MethodPost, "/v1/chat/completions", chatBody("x", 2, false), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "not_run", header.Get("Lentilstand-Outcome"))
	for _, name := range []string{"entry-1", "entry-3"} {
		require.NoError(t, sendMixedRequest(f.Entries[name].Address, 0), "two of three voters keep serving")
	}
	f.Entries["entry-3"].Kill()
	f.Eventually("an entry without a majority to refuse requests", func() bool {
		status, header, _, err := sendRequest(f.Entries["entry-1"].Address, http.MethodPost, "/v1/chat/completions", chatBody("x", 2, false), nil)
		return err == nil && status == http.StatusServiceUnavailable && header.Get("Lentilstand-Outcome") == "not_run"
	})
}

// TestAllEntriesDieAtOnce guards against restarted entries that serve requests
// before an operator has removed the votes of the dead processes, and against ones
// that can't recover afterwards.
func TestAllEntriesDieAtOnce(t *testing.T) {
	f := startFleet(t)
	status, ok := f.Status(f.Entries["entry-1"])
	require.True(t, ok)
	for _, name := range []string{"entry-1", "entry-2"} {
		f.Entries[name].Kill()
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		f.RestartEntry(name)
	}
	f.Eventually("the restarted entries to refuse requests", func() bool {
		code, header, _, err := sendRequest(f.Entries["entry-1"].Address, http.MethodGet, "/bootshaus/x", "", nil)
		return err == nil && code == http.StatusServiceUnavailable && header.Get("Lentilstand-Outcome") == "not_run"
	})
	unconfirmed := procs.Start(t, append([]string{"voters", "--settings", f.OperatorSettings, "remove"}, status.Voters...)...)
	require.Equal(t, exitUsage, unconfirmed.Wait(5*time.Second))
	remove := procs.Start(t, append([]string{"voters", "--settings", f.OperatorSettings, "remove", "--confirm-dead"}, status.Voters...)...)
	require.Equal(t, exitOK, remove.Wait(5*time.Second), remove.Log())
	f.WaitReady()
	require.NoError(t, sendMixedRequest(f.Entries["entry-1"].Address, 0))
}
