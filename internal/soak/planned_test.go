package soak_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

var (
	plannedSeed    = flag.Uint64("planned.seed", 1, "first seed of planned work at full length")
	plannedSeeds   = flag.Int("planned.seeds", 1, "number of seeds to run, in sequence")
	plannedSeconds = flag.Int("planned.seconds", 20, "seconds of planned work per seed")
	plannedStore   = flag.Bool("planned.store", true, "make the store silent around some stops")
)

// fullLengthSpec returns the shape of a deployment in which a stream may take as long as a
// process that stops.
func fullLengthSpec() siteSpec {
	return siteSpec{
		entries: 7, ranks: 12, plainZone: "a", slots: 12, pause: 100 * time.Millisecond, period: 100 * time.Millisecond, stride: 5,
		timeout: 8 * time.Second, addressTTL: 2 * time.Second,
	}
}

// Figures of the callers at full length.
const (
	plannedCallers = 24
	callerChannels = 11
	plannedRate    = 50 // requests a second
	meanEvents     = 28
	maxEvents      = 69
	callTimeout    = 8 * time.Second
	// lossSlack is how long after its last byte a request may be unread when its channel
	// closes.
	lossSlack = 200 * time.Millisecond
)

// plannedCall is a request and what came of it.
type plannedCall struct {
	id, path      string
	entry         *daemon
	sentAt, ended time.Time
	status        int
	// complete reports whether the whole answer came, and received the bytes of it.
	complete bool
	received int
	// kept reports whether the channel was used before.
	kept bool
	err  error
}

// channel is a connection of a caller.
type channel struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// plannedCaller keeps channels and the addresses of entries as long as callers may, or three
// times as long.
type plannedCaller struct {
	planned *planned
	keeps   time.Duration
	random  *rand.Rand

	mu       sync.Mutex
	idle     map[*daemon][]*channel
	resolved time.Time
	known    []*daemon
	failed   map[*daemon]time.Time
}

// planned is a run of planned work only, at the lengths of a deployment.
type planned struct {
	*run

	mu    sync.Mutex
	calls []*plannedCall
	count int
	// terms holds when entries got SIGTERM.
	terms map[*daemon][]time.Time
}

// TestPlannedWorkAtFullLength guards against requests that are lost in planned stops, which
// streams far shorter than a stop can't show. Planned work excuses no lost request.
func TestPlannedWorkAtFullLength(t *testing.T) {
	for i := range *plannedSeeds {
		seed := *plannedSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runPlanned(t, seed) })
	}
}

func runPlanned(t *testing.T, seed uint64) {
	p := &planned{run: &run{t: t, site: newSite(t, fullLengthSpec()), random: rand.New(rand.NewPCG(seed, 1)), plannedOnly: true}, terms: make(map[*daemon][]time.Time)}
	p.history = newHistory(p.site)
	require.Eventually(t, func() bool {
		return len(p.history.newCaller().resolve(p.site.entries[0])) == p.site.spec.entries
	}, 15*time.Second, 50*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, running sync.WaitGroup
	for n := range plannedCallers {
		c := &plannedCaller{
			planned: p, keeps: p.site.spec.addressTTL, random: rand.New(rand.NewPCG(seed, uint64(2+n))),
			idle: make(map[*daemon][]*channel), failed: make(map[*daemon]time.Time),
		}
		if n%3 == 0 {
			c.keeps *= 3
		}
		callers.Go(func() { c.run(ctx, &running) })
	}
	time.Sleep(3 * time.Second)
	p.work(time.Duration(*plannedSeconds) * time.Second)
	cancel()
	callers.Wait()
	running.Wait()
	p.check(seed)
}

// work stops, reloads and reconfigures until the time is over, in series that overlap.
func (p *planned) work(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		random := rand.New(rand.NewPCG(p.random.Uint64(), 0))
		work := []func(*rand.Rand){p.stopEntry, p.stopEntry, p.stopEntry, p.reload, p.changeConfig, p.stopAgent}
		chosen := work[p.random.IntN(len(work))]
		p.activeFaults.Go(func() { chosen(random) })
		if *plannedStore && p.random.IntN(6) == 0 {
			storeRandom := rand.New(rand.NewPCG(p.random.Uint64(), 0))
			p.activeFaults.Go(func() { p.silenceStore(storeRandom) })
		}
		time.Sleep(randomDuration(p.random, 200*time.Millisecond, 1500*time.Millisecond))
	}
	p.activeFaults.Wait()
}

// stopEntry stops an entry, sends it further signals meanwhile, and starts it again.
func (p *planned) stopEntry(random *rand.Rand) {
	e := p.acquireRandomDaemon(random, p.site.entries)
	if e == nil {
		return
	}
	defer e.release()
	p.mu.Lock()
	p.terms[e] = append(p.terms[e], time.Now())
	p.mu.Unlock()
	e.signal(syscall.SIGTERM)
	if random.IntN(3) == 0 {
		time.Sleep(randomDuration(random, 0, time.Second))
		e.signal(syscall.SIGHUP)
		e.signal(syscall.SIGTERM)
	}
	if code := e.current().Wait(graceBound + time.Second); code != 0 && code != 1 {
		p.history.report("STOP", "%s ended with code %d", e.name, code)
	}
	e.start(p.t)
}

func (p *planned) stopAgent(random *rand.Rand) {
	a := p.acquireRandomDaemon(random, p.site.agents)
	if a == nil {
		return
	}
	defer a.release()
	a.signal(syscall.SIGTERM)
	a.current().Wait(graceBound + time.Second)
	a.start(p.t)
}

// silenceStore makes the store not respond for some seconds. That excuses no lost request.
func (p *planned) silenceStore(random *rand.Rand) {
	if !p.store.TryLock() {
		return
	}
	defer p.store.Unlock()
	p.site.store.SetFaults(fakes.StoreFaults{Unresponsive: true})
	time.Sleep(randomDuration(random, time.Second, 2500*time.Millisecond))
	p.site.store.SetFaults(fakes.StoreFaults{})
}

// run sends requests until ctx ends, at most one at a time on each channel.
func (c *plannedCaller) run(ctx context.Context, running *sync.WaitGroup) {
	slots := make(chan struct{}, callerChannels)
	for ctx.Err() == nil {
		pause := time.Duration(c.random.ExpFloat64() * float64(time.Second) * plannedCallers / plannedRate)
		time.Sleep(min(pause, 3*time.Second))
		entry := c.pick()
		if entry == nil {
			continue
		}
		path, tokens := c.draw()
		select {
		case slots <- struct{}{}:
			running.Go(func() {
				c.send(entry, path, tokens)
				<-slots
			})
		default:
		}
	}
}

// draw returns the path of a request and its number of output tokens, zero if it is no stream.
func (c *plannedCaller) draw() (path string, tokens int) {
	switch n := c.random.IntN(100); {
	case n < 84:
		events := math.Min(maxEvents, math.Max(1, meanEvents*math.Exp(0.7*c.random.NormFloat64()-0.25)))
		return "/draft/1", int(events) * 5
	case n < 93:
		return "/book/1", 0
	default:
		return "/check/1", 0
	}
}

// pick returns an entry whose address the caller knows and that hasn't failed it.
func (c *plannedCaller) pick() *daemon {
	if time.Since(c.resolved) > c.keeps {
		entries := c.planned.site.entries
		addresses := c.planned.history.newCaller().resolve(entries[c.random.IntN(len(entries))])
		if len(addresses) > 0 {
			c.known, c.resolved = nil, time.Now()
			for _, e := range entries {
				for _, address := range addresses {
					if address == e.front {
						c.known = append(c.known, e)
					}
				}
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []*daemon
	for _, e := range c.known {
		if time.Since(c.failed[e]) > time.Second {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[c.random.IntN(len(usable))]
}

// take returns an idle channel to an entry, or a new one.
func (c *plannedCaller) take(e *daemon) (*channel, error) {
	c.mu.Lock()
	if idle := c.idle[e]; len(idle) > 0 {
		ch := idle[len(idle)-1]
		c.idle[e] = idle[:len(idle)-1]
		c.mu.Unlock()
		return ch, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *plannedCaller) send(e *daemon, path string, tokens int) {
	ch, err := c.take(e)
	if err != nil {
		c.mu.Lock()
		c.failed[e] = time.Now()
		c.mu.Unlock()
		return
	}
	call := &plannedCall{path: path, entry: e, kept: ch.used}
	c.planned.mu.Lock()
	c.planned.count++
	call.id = fmt.Sprintf("planned-%d", c.planned.count)
	c.planned.calls = append(c.planned.calls, call)
	c.planned.mu.Unlock()
	reusable := c.exchange(ch, call, tokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !call.complete {
		c.failed[e] = time.Now()
	}
	if !reusable {
		_ = ch.Close()
		return
	}
	ch.used = true
	c.idle[e] = append(c.idle[e], ch)
}

// exchange sends a request on a channel and reads the answer. It reports whether the channel
// can be used again.
func (c *plannedCaller) exchange(ch *channel, call *plannedCall, tokens int) (reusable bool) {
	var counts string
	if tokens > 0 {
		counts = fmt.Sprintf("Lentilstand-Token-Counts: 700,%d\r\n", tokens)
	}
	body := strings.Repeat("b", 700)
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: club.example\r\nAuthorization: Bearer key\r\nLentilstand-Request-Id: %s\r\nLentilstand-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		call.path, call.id, callTimeout.Milliseconds(), counts, len(body), body)
	sentAt := time.Now()
	_ = ch.SetDeadline(sentAt.Add(callTimeout + time.Second))
	var response *http.Response
	var received int64
	_, err := io.WriteString(ch, text)
	if err == nil {
		response, err = http.ReadResponse(ch.reader, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		received, err = io.Copy(io.Discard, response.Body)
	}
	c.planned.mu.Lock()
	defer c.planned.mu.Unlock()
	call.sentAt, call.ended, call.err, call.complete, call.received = sentAt, time.Now(), err, err == nil, int(received)
	if response != nil {
		call.status = response.StatusCode
	}
	return err == nil && !response.Close
}

// check reports the requests that were lost.
func (p *planned) check(seed uint64) {
	ran := make(map[string]bool)
	for _, replica := range p.site.allReplicas() {
		for _, seen := range replica.Requests() {
			ran[seen.Header.Get("Lentilstand-Request-Id")] = true
		}
	}
	statuses, excused := make(map[int]int), make(map[string]int)
	for _, call := range p.calls {
		statuses[call.status]++
		if call.complete || call.sentAt.IsZero() || call.ended.Sub(call.sentAt) >= callTimeout-100*time.Millisecond {
			continue
		}
		if !ran[call.id] && call.ended.Sub(call.sentAt) <= lossSlack {
			excused[fmt.Sprintf("closed unread, kept channel %v", call.kept)]++
			continue
		}
		term := p.lastTerm(call)
		sent, ended := call.sentAt.Sub(term), call.ended.Sub(term)
		if ran[call.id] && sent <= 3*time.Second && ended >= graceBound*5/6 && ended <= graceBound+time.Second {
			excused["at work in the last sixth of the stop"]++
			continue
		}
		p.history.report("LOST", "%s (%s) at %s, kept channel %v, sent %v after the last SIGTERM, run %v, ended %v after it with status %d and %d bytes: %v",
			call.id, call.path, call.entry.name, call.kept, sent, ran[call.id], ended, call.status, call.received, call.err)
	}
	p.t.Logf("seed %d: %d requests, by status %v, without a complete answer but not lost: %v", seed, len(p.calls), statuses, excused)
	if findings := p.history.findings; len(findings) > 0 && *logs != "" {
		for _, d := range p.site.daemons() {
			path := filepath.Join(*logs, fmt.Sprintf("planned-%d-%s.log", seed, d.name))
			require.NoError(p.t, os.WriteFile(path, []byte(d.current().Log()), 0o600))
		}
	}
	require.Empty(p.t, strings.Join(p.history.findings, "\n"))
	require.Greater(p.t, statuses[http.StatusOK]*10, len(p.calls)*8, "callers must be served")
}

// lastTerm returns when the entry of a request last got SIGTERM before the request ended.
func (p *planned) lastTerm(call *plannedCall) time.Time {
	var last time.Time
	for _, at := range p.terms[call.entry] {
		if at.Before(call.ended) {
			last = at
		}
	}
	return last
}
