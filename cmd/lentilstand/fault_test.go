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

// startThree is startFleet with a third entry, so that one can be lost.
func startThree(t *testing.T) *procs.Fleet {
	t.Helper()
	f := startFleet(t)
	f.AddEntry("entry-3", "altmuenster")
	f.WaitReady()
	return f
}

const outPatch = `{"who": "test", "why": "maintenance", "set": {"data_centres": [{"name": "gmunden", "region": "at-upper", "out": %t}]}}`

// executed returns how often each body has run at the plain services.
func executed(t *testing.T, f *procs.Fleet) map[string]int {
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

// admitted returns how many requests the engines in gmunden have taken.
func admitted(t *testing.T, f *procs.Fleet) int {
	t.Helper()
	sum := 0
	for _, name := range []string{"skiff-1", "skiff-4"} {
		var counts stand.EngineCounts
		require.NoError(t, json.Unmarshal(f.Get(f.Agents[name].EndpointAddress, "/counts"), &counts))
		sum += counts.Admitted
	}
	return sum
}

// booking is a booking as its callers saw it.
type booking struct {
	mu        sync.Mutex
	confirmed bool
	answers   int
	notRun    int
}

func TestKillsNeverDoubleABooking(t *testing.T) {
	f := startThree(t)
	const count = 60
	bookings := make([]booking, count)
	var wait sync.WaitGroup
	send := func(n int, address string) {
		defer wait.Done()
		body := fmt.Sprintf("boat %d", n)
		status, header, _, err := call(address, http.MethodPost, "/bootshaus/bookings", body, http.Header{"Idempotency-Key": {body}})
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
	runs := executed(t, f)
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
			require.Zero(t, ran, "boat %d was refused as not run", n)
		}
	}
	require.Greater(t, confirmed, count/2, "most bookings are served")
}

func TestPausedEntryObeysWhatItMissed(t *testing.T) {
	f := startThree(t)
	paused := f.Entries["entry-2"]
	paused.Signal(syscall.SIGSTOP)
	var late sync.WaitGroup
	for n := range 10 {
		late.Add(1)
		go func() {
			defer late.Done()
			status, header, _, err := call(paused.Address, http.MethodPost, "/v1/chat/completions", chat(fmt.Sprint("late ", n), 2, true), nil)
			if err == nil && status != http.StatusOK && header.Get("Lentilstand-Outcome") != "not_run" {
				t.Errorf("a paused entry's late answer: %d %s", status, header.Get("Lentilstand-Outcome"))
			}
		}()
	}
	submission := f.Submit(f.Entries["entry-1"], 1, fmt.Sprintf(outPatch, true))
	require.Equal(t, entry.ResultAccepted, submission.Result, submission)
	before := admitted(t, f)
	paused.Signal(syscall.SIGCONT)
	late.Wait()
	for n := range 10 {
		_, _, _, _ = call(paused.Address, http.MethodPost, "/v1/chat/completions", chat(fmt.Sprint("after ", n), 2, true), nil)
	}
	require.Equal(t, before, admitted(t, f), "work by a version that is not in force any more")
	f.Eventually("the entry to catch up", func() bool {
		status, ok := f.Status(paused)
		return ok && status.Version == submission.Version && status.ServeState == "fresh"
	})
}

// caller keeps sending chats to the addresses that callers are told, and asks
// again when their time to live has passed.
type caller struct {
	f       *procs.Fleet
	asks    string
	stop    atomic.Bool
	wait    sync.WaitGroup
	served  atomic.Int64
	refused atomic.Int64

	mu       sync.Mutex
	failures []string
}

// startCallers starts callers that ask an entry for addresses.
func startCallers(f *procs.Fleet, asks string, count, tokens int) *caller {
	c := &caller{f: f, asks: asks}
	for n := range count {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.run(n, tokens)
		}()
	}
	return c
}

func (c *caller) addresses() []string {
	_, _, body, err := call(c.f.Entries[c.asks].Address, http.MethodGet, "/v1/entries", "", nil)
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

func (c *caller) run(n, tokens int) {
	var addresses []string
	var until time.Time
	for i := 0; !c.stop.Load(); i++ {
		if time.Now().After(until) {
			addresses, until = c.addresses(), time.Now().Add(time.Second)
		}
		if len(addresses) == 0 {
			continue
		}
		content := fmt.Sprintf("caller %d asks %d", n, i)
		status, header, body, err := call(addresses[i%len(addresses)], http.MethodPost, "/v1/chat/completions", chat(content, tokens, true), nil)
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

// end stops the callers and checks that nothing failed.
func (c *caller) end(t *testing.T) {
	t.Helper()
	c.stop.Store(true)
	c.wait.Wait()
	t.Logf("served %d, refused %d, failed %d", c.served.Load(), c.refused.Load(), len(c.failures))
	require.Empty(t, c.failures)
	require.Positive(t, c.served.Load())
}

func TestGracefulStopsCutNothingOff(t *testing.T) {
	f := startThree(t)
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
	f.Eventually("the vote to be given up", func() bool {
		status, ok := f.Status(f.Entries["entry-1"])
		return ok && len(status.Voters) == 2
	})
}

func TestHostListTellsFirst(t *testing.T) {
	f := startThree(t)
	f.Post(f.Hosts, "/hosts", `{"name": "host-skiff-1", "state": "leaving"}`)
	f.Post(f.Hosts, "/hosts", `{"name": "host-skiff-4", "state": "leaving"}`)
	time.Sleep(3 * time.Second)
	before := admitted(t, f)
	for n := range 8 {
		require.NoError(t, mixedRequest(f.Entries["entry-1"].Address, 4*n))
	}
	require.Equal(t, before, admitted(t, f), "new work at hosts that leave")
}

func TestDataCentreCycleDuringAnOutage(t *testing.T) {
	f := startThree(t)
	callers := startCallers(f, "entry-3", 6, 10)
	time.Sleep(500 * time.Millisecond)
	submission := f.Submit(f.Entries["entry-3"], 1, fmt.Sprintf(outPatch, true))
	require.Equal(t, entry.ResultAccepted, submission.Result, submission)
	time.Sleep(time.Second)
	f.Post(f.KV, "/faults", `{"down": true}`)
	time.Sleep(2 * time.Second)
	before := admitted(t, f)
	time.Sleep(4 * time.Second)
	require.Equal(t, before, admitted(t, f), "new work in a data centre that is out")
	served := callers.served.Load()
	f.Post(f.KV, "/faults", `{}`)
	require.Greater(t, served, int64(0))
	f.Eventually("the service to be heard again", func() bool {
		status, ok := f.Status(f.Entries["entry-3"])
		return ok && status.ServeState == "fresh" && status.AgeMS < 1500
	})
	submission = f.Submit(f.Entries["entry-3"], 2, fmt.Sprintf(outPatch, false))
	require.Equal(t, entry.ResultAccepted, submission.Result, submission)
	f.Eventually("work in the data centre that is back", func() bool { return admitted(t, f) > before })
	callers.end(t)
}

func TestProcessStartedDuringAnOutageRefuses(t *testing.T) {
	f := startThree(t)
	f.Post(f.KV, "/faults", `{"down": true}`)
	f.Entries["entry-2"].Kill()
	f.RestartEntry("entry-2")
	time.Sleep(4 * time.Second)
	status, header, _, err := call(f.Entries["entry-2"].Address, http.MethodPost, "/v1/chat/completions", chat("x", 2, false), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "not_run", header.Get("Lentilstand-Outcome"))
	for _, name := range []string{"entry-1", "entry-3"} {
		require.NoError(t, mixedRequest(f.Entries[name].Address, 0), "two of three voters go on")
	}
	f.Entries["entry-3"].Kill()
	f.Eventually("a lone entry to refuse", func() bool {
		status, header, _, err := call(f.Entries["entry-1"].Address, http.MethodPost, "/v1/chat/completions", chat("x", 2, false), nil)
		return err == nil && status == http.StatusServiceUnavailable && header.Get("Lentilstand-Outcome") == "not_run"
	})
}

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
	f.Eventually("the restarted entries to refuse", func() bool {
		code, header, _, err := call(f.Entries["entry-1"].Address, http.MethodGet, "/bootshaus/x", "", nil)
		return err == nil && code == http.StatusServiceUnavailable && header.Get("Lentilstand-Outcome") == "not_run"
	})
	unconfirmed := procs.Start(t, append([]string{"voters", "--settings", f.Operator, "remove"}, status.Voters...)...)
	require.Equal(t, exitUsage, unconfirmed.Wait(5*time.Second))
	remove := procs.Start(t, append([]string{"voters", "--settings", f.Operator, "remove", "--confirm-dead"}, status.Voters...)...)
	require.Equal(t, exitOK, remove.Wait(5*time.Second), remove.Log())
	f.WaitReady()
	require.NoError(t, mixedRequest(f.Entries["entry-1"].Address, 0))
}
