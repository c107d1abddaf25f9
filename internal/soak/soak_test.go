package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "the first seed")
	seeds     = flag.Int("soak.seeds", 1, "how many seeds are run, one after the other")
	seconds   = flag.Int("soak.seconds", 10, "how long faults are injected, a seed")
	entries   = flag.Int("soak.entries", 3, "how many entries there are")
	logs      = flag.String("soak.logs", "", "a directory for the logs of seeds with findings")
)

func TestMain(m *testing.M) {
	code := m.Run()
	procs.RemoveBinary()
	os.Exit(code)
}

// regressions are the seeds that ever failed, with the cause. Processes don't take
// the same turns again, so that such a seed may pass by luck; each has a test of
// its own that doesn't depend on that.
var regressions = map[uint64]string{}

func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, "") })
	}
}

func TestSeedsThatFailed(t *testing.T) {
	for seed, cause := range regressions {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Log(cause)
			soak(t, seed, "")
		})
	}
}

// plannedEach is which seeds have planned work only.
const plannedEach = 4

// run is one soak.
type run struct {
	t       *testing.T
	site    *site
	history *history
	random  *rand.Rand
	planted string
	// plannedOnly seeds have stops, reloads and changes alone: nothing excuses an
	// answer that is lost then.
	plannedOnly bool
	store       sync.Mutex
	wait        sync.WaitGroup
}

// soak runs a seed's plan of faults and checks the promises. Planted is a fault of
// the harness itself, which must be found, empty if there is none.
func soak(t *testing.T, seed uint64, planted string) {
	r := &run{t: t, site: newSite(t, *entries), random: rand.New(rand.NewPCG(seed, 0)), planted: planted, plannedOnly: seed%plannedEach == 0}
	r.history = newHistory(r.site)
	require.Eventually(t, func() bool { return len(r.history.newCaller().resolve(r.site.entries[0])) == *entries }, 15*time.Second, 50*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var asking sync.WaitGroup
	for range 10 {
		asking.Go(func() { r.history.newCaller().run(ctx) })
	}
	for _, e := range r.site.entries {
		asking.Go(func() { r.history.probe(ctx, e) })
	}
	time.Sleep(time.Second)
	r.inject(time.Duration(*seconds) * time.Second)
	if planted == "recover" {
		r.plant()
	}
	healed := time.Now()
	pass := r.site.group.Pass()
	recovered := false
	for time.Since(healed) < recoverIn && !recovered {
		time.Sleep(500 * time.Millisecond)
		recovered = r.history.settled(time.Now().Add(-3*time.Second)) && r.site.group.Pass() > pass
	}
	if !recovered {
		r.history.find("RECOVER", "callers aren't served %v after the last fault, or the group stands", recoverIn)
	}
	cancel()
	asking.Wait()
	r.history.check()
	r.judge(seed)
}

// judge fails the test for findings, and shows what is needed to trace them.
func (r *run) judge(seed uint64) {
	findings := strings.Join(r.history.findings, "\n")
	if r.planted != "" {
		require.Contains(r.t, findings, plants[r.planted]+":", "the planted fault must be found")
		return
	}
	if findings != "" && *logs != "" {
		for _, d := range r.site.daemons() {
			path := filepath.Join(*logs, fmt.Sprintf("%d-%s.log", seed, d.name))
			require.NoError(r.t, os.WriteFile(path, []byte(d.current().Log()), 0o600))
		}
	}
	require.Empty(r.t, findings, "seed %d, %d requests", seed, r.history.count)
}

// inject injects faults one after the other, each for a while, so that they
// overlap, and waits until all have ended.
func (r *run) inject(span time.Duration) {
	faults := []func(*rand.Rand){
		r.pause, r.pause, r.kill, r.stop, r.stop, r.reload, r.troubleStoreLink, r.troubleStoreLink, r.troubleStore,
		r.troubleReplicaLink, r.replaceReplica, r.misbehave, r.misbehave, r.configure, r.configure, r.loseOrders,
	}
	if r.plannedOnly {
		faults = []func(*rand.Rand){r.stop, r.stop, r.reload, r.configure}
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		fault := faults[r.random.IntN(len(faults))]
		random := rand.New(rand.NewPCG(r.random.Uint64(), 0))
		r.wait.Go(func() { fault(random) })
		time.Sleep(between(r.random, 100*time.Millisecond, 900*time.Millisecond))
		r.plant()
	}
	r.wait.Wait()
}

// between returns a random span.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// aSpan is how long most faults last: less than contact, so that the mark at their
// begin holds until the one at their end.
func aSpan(random *rand.Rand) time.Duration {
	return between(random, 200*time.Millisecond, 2500*time.Millisecond)
}

// anyDaemon returns a daemon that no other fault uses, nil if the chosen one is.
func (r *run) anyDaemon(random *rand.Rand, among []*daemon) *daemon {
	if d := among[random.IntN(len(among))]; d.take() {
		return d
	}
	return nil
}

func (r *run) pause(random *rand.Rand) {
	d := r.anyDaemon(random, r.site.daemons())
	if d == nil {
		return
	}
	defer d.free()
	for range 1 + random.IntN(2) {
		d.disturb()
		d.signal(syscall.SIGSTOP)
		time.Sleep(aSpan(random))
		d.signal(syscall.SIGCONT)
		d.disturb()
		time.Sleep(between(random, 50*time.Millisecond, 300*time.Millisecond))
	}
}

func (r *run) kill(random *rand.Rand) {
	d := r.anyDaemon(random, r.site.daemons())
	if d == nil {
		return
	}
	defer d.free()
	d.disturb()
	d.current().Kill()
	time.Sleep(between(random, 50*time.Millisecond, time.Second))
	d.start(r.t)
	d.disturb()
}

// stop stops daemons by SIGTERM in turn and starts them again.
func (r *run) stop(random *rand.Rand) {
	for range 1 + random.IntN(2) {
		d := r.anyDaemon(random, r.site.daemons())
		if d == nil {
			return
		}
		d.mu.Lock()
		d.stopped = time.Now()
		d.mu.Unlock()
		d.signal(syscall.SIGTERM)
		if r.planted == "lost" {
			time.Sleep(100 * time.Millisecond)
			d.current().Kill()
		} else if code := d.current().Wait(graceBound + time.Second); code != 0 && code != 1 {
			r.history.find("STOP", "%s ended with code %d: %s", d.name, code, d.current().Log())
		}
		d.start(r.t)
		if !strings.HasPrefix(d.name, "entry") {
			d.disturb()
		}
		d.free()
	}
}

func (r *run) reload(random *rand.Rand) {
	if d := r.anyDaemon(random, r.site.daemons()); d != nil {
		defer d.free()
		d.signal(syscall.SIGHUP)
	}
}

func aTrouble(random *rand.Rand) trouble {
	switch random.IntN(4) {
	case 0:
		return trouble{delay: between(random, 30*time.Millisecond, 400*time.Millisecond)}
	case 1:
		return trouble{toTarget: true}
	case 2:
		return trouble{toClient: true}
	default:
		return trouble{toTarget: true, toClient: true}
	}
}

func (r *run) troubleStoreLink(random *rand.Rand) {
	e := r.site.entries[random.IntN(len(r.site.entries))]
	e.disturb()
	e.relay.set(aTrouble(random))
	time.Sleep(aSpan(random))
	if random.IntN(2) == 0 {
		e.relay.reset()
	}
	e.relay.set(trouble{})
	e.disturb()
}

func (r *run) troubleStore(random *rand.Rand) {
	if !r.store.TryLock() {
		return
	}
	defer r.store.Unlock()
	faults := []fakes.StoreFaults{{Down: true}, {Unresponsive: true}, {SlowMS: 300}, {HideChanges: true}, {HangWatches: true}, {HistoryCompacted: true}, {DropResponses: true}}
	r.site.shake(true)
	r.site.store.SetFaults(faults[random.IntN(len(faults))])
	time.Sleep(aSpan(random))
	r.site.store.SetFaults(fakes.StoreFaults{})
	r.site.shake(true)
}

func (r *run) troubleReplicaLink(random *rand.Rand) {
	r.site.mu.Lock()
	if len(r.site.plains) == 0 {
		r.site.mu.Unlock()
		return
	}
	p := r.site.plains[random.IntN(len(r.site.plains))]
	r.site.mu.Unlock()
	r.site.shake(false)
	p.relay.set(aTrouble(random))
	time.Sleep(aSpan(random))
	p.relay.reset()
	p.relay.set(trouble{})
	r.site.shake(false)
}

func (r *run) replaceReplica(random *rand.Rand) {
	r.site.shake(false)
	r.site.replacePlain(random)
	r.site.shake(false)
}

func (r *run) misbehave(random *rand.Rand) {
	r.site.shake(false)
	misdeeds := []fakes.Fault{
		fakes.Reject, fakes.ResetConnection, fakes.ServerError, fakes.ExtraResponse, fakes.StrayResponse, fakes.TruncateEvent, fakes.OmitSeal, fakes.OmitLength, fakes.NoResponse,
	}
	for range 1 + random.IntN(6) {
		r.site.script.Add(misdeeds[random.IntN(len(misdeeds))])
	}
}

func (r *run) configure(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		r.site.configure()
		time.Sleep(between(random, 20*time.Millisecond, 500*time.Millisecond))
	}
}

func (r *run) loseOrders(random *rand.Rand) {
	losing := rand.New(rand.NewPCG(random.Uint64(), 0))
	r.site.group.DropResponses(func(string) bool { return losing.IntN(2) == 0 })
	time.Sleep(aSpan(random))
	r.site.group.DropResponses(nil)
}
