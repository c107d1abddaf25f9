package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

// Bounds of TestDeadlyRequest, as the users' rules state them: more than maxLateRequests may not
// reach replicas later than contactTime after the third crash, and from twice that time on at least
// half of the sound requests are served.
const (
	contactTime     = 3 * time.Second
	maxLateRequests = 3
)

// maxDeadlyTime limits the time to the third crash and the recovery from it.
const maxDeadlyTime = 40 * time.Second

// deadlyPart is the part of prompts on which replicas crash. It isn't shared, so that a request
// with it counts as a whole.
const deadlyPart = "dead01"

// deadlyRun is a run of entries as processes before replicas that crash on a request.
type deadlyRun struct {
	site *site
	// patience returns how long the next caller waits.
	patience func() time.Duration

	mu       sync.Mutex
	replicas map[string]*fakes.Replica
	// down has the addresses of replicas that have crashed and don't start again yet, by id.
	down    map[string]string
	started int
	crashes []time.Time
	// late is the number of deadly requests that have reached replicas too late.
	late int
	// blocked is the number of sound requests that were refused as deadly ones. Served and failed
	// are those of callers who waited, sent since the recovery.
	served, blocked, failed int
}

// TestDeadlyRequest guards against a request that crashes replica after replica and isn't blocked,
// whether its callers stay or leave, and against sound requests that are blocked beside it.
func TestDeadlyRequest(t *testing.T) {
	for i := range *seeds {
		for _, leave := range []bool{false, true} {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprintf("%d/leave=%v", seed, leave), func(t *testing.T) { runDeadly(t, seed, leave) })
		}
	}
}

func runDeadly(t *testing.T, seed uint64, leave bool) {
	random := rand.New(rand.NewPCG(seed, 2))
	d := &deadlyRun{site: newSite(t, defaultSpec()), replicas: make(map[string]*fakes.Replica), down: make(map[string]string)}
	d.patience = func() time.Duration {
		if leave && random.IntN(4) > 0 {
			return randomDuration(random, 5*time.Millisecond, 60*time.Millisecond)
		}
		return 2 * time.Second
	}
	for _, p := range d.site.plains {
		d.remove(p.id)
	}
	for range plainReplicas {
		d.start("127.0.0.1:0", randomDuration(random, 20*time.Millisecond, 120*time.Millisecond))
	}
	caller := newHistory(d.site).newCaller()
	require.Eventually(t, func() bool { return len(caller.resolve(d.site.entries[0])) == *entries }, 15*time.Second, 50*time.Millisecond)
	time.Sleep(time.Second)
	var calls sync.WaitGroup
	for start := time.Now(); time.Since(start) < maxDeadlyTime && d.sinceRecovery(time.Now()) < time.Duration(*seconds)*time.Second/2; {
		address, patience := d.site.entries[random.IntN(len(d.site.entries))].front, d.patience()
		switch random.IntN(8) {
		case 0:
			calls.Go(func() { d.call(address, "deadly", patience) })
		case 1:
			body := fmt.Sprint("sound ", random.IntN(1000))
			calls.Go(func() { d.call(address, body, patience) })
		default:
			// The same sound request again and again, with callers that leave as often.
			calls.Go(func() { d.call(address, "sound", patience) })
		}
		time.Sleep(randomDuration(random, 10*time.Millisecond, 80*time.Millisecond))
		d.restart(random)
	}
	calls.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Logf("%d crashes, %d requests later than %v after the third; sound requests: %d served, %d failed, %d blocked",
		len(d.crashes), d.late, contactTime, d.served, d.failed, d.blocked)
	require.GreaterOrEqual(t, len(d.crashes), 3)
	require.LessOrEqual(t, d.late, maxLateRequests, "BUDGET")
	require.Zero(t, d.blocked, "sound requests are blocked")
	require.GreaterOrEqual(t, d.served, d.failed, "LOST")
}

// sinceRecovery returns the time since twice contactTime after the third crash, negative before.
func (d *deadlyRun) sinceRecovery(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < 3 {
		return -contactTime
	}
	return now.Sub(d.crashes[2].Add(2 * contactTime))
}

// start starts a replica at an address and registers it.
func (d *deadlyRun) start(address string, crashDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	id := fmt.Sprintf("direct-%d", d.started)
	r, err := fakes.NewReplicaAt(address, id, events, &d.site.script)
	require.NoError(d.site.t, err)
	d.site.t.Cleanup(r.Close)
	r.SetDeadlyPart(deadlyPart)
	r.SetCrashDelay(crashDelay, 0)
	r.OnCrash(func() { d.recordCrash(id) })
	d.replicas[id] = r
	d.site.register(id, "plain", r.Address())
}

func (d *deadlyRun) remove(id string) { d.site.remove("servers/" + id) }

// recordCrash is called when a deadly request has reached a replica, which crashes on it.
func (d *deadlyRun) recordCrash(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.crashes) >= 3 && now.Sub(d.crashes[2]) > contactTime {
		d.late++
	}
	if r := d.replicas[id]; r != nil {
		d.crashes = append(d.crashes, now)
		d.down[id] = r.Address()
		delete(d.replicas, id)
	}
}

// restart starts replicas for those that have crashed, half of them under the address of the old
// one. The record of the old one is removed at the same time.
func (d *deadlyRun) restart(random *rand.Rand) {
	d.mu.Lock()
	down := d.down
	d.down = make(map[string]string)
	d.mu.Unlock()
	for id, address := range down {
		delay, crashDelay := randomDuration(random, time.Second, 3*time.Second), randomDuration(random, 20*time.Millisecond, 120*time.Millisecond)
		if random.IntN(2) == 0 {
			address = "127.0.0.1:0"
		}
		time.AfterFunc(delay, func() {
			if d.site.t.Context().Err() == nil {
				d.remove(id)
				d.start(address, crashDelay)
			}
		})
	}
}

// call sends an idempotent request to an entry and leaves when its patience has passed.
func (d *deadlyRun) call(address, body string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/check/1", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "club.example"
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Lentilstand-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("Lentilstand-Deadline-Ms", "2000")
	if body == "deadly" {
		request.Header.Set("Lentilstand-Prompt-Prefix", deadlyPart+":40")
	}
	isRecovered := d.sinceRecovery(time.Now()) > 0
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if body == "deadly" || patience < time.Second {
		if err == nil {
			_ = response.Body.Close()
		}
		return
	}
	isServed := false
	content := ""
	if err == nil {
		defer response.Body.Close()
		body, readErr := io.ReadAll(response.Body)
		content = string(body)
		isServed = readErr == nil && response.StatusCode == http.StatusOK
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if strings.Contains(content, "blocked") {
		d.blocked++
	}
	switch {
	case !isRecovered:
	case isServed:
		d.served++
	default:
		d.failed++
	}
}
