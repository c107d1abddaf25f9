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
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds to run, in sequence")
	seconds   = flag.Int("soak.seconds", 10, "seconds of fault injection per seed")
	entries   = flag.Int("soak.entries", 3, "number of entries")
	logs      = flag.String("soak.logs", "", "directory for the logs of seeds with findings")
)

func TestMain(m *testing.M) {
	code := m.Run()
	procs.RemoveBinary()
	os.Exit(code)
}

// regressions maps each seed that has failed to its cause. Process scheduling isn't
// deterministic, so that such a seed may pass by chance; each cause also has a
// deterministic test of its own.
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

// plannedSeedInterval is the interval of the seeds that run planned operations only.
const plannedSeedInterval = 4

// run is one run of the soak test.
type run struct {
	t            *testing.T
	site         *site
	history      *history
	random       *rand.Rand
	plantedFault string
	// plannedOnly limits the run to stops, reloads and configuration changes, which
	// don't excuse a lost response.
	plannedOnly bool
	// entriesOnly limits pauses, kills, stops and reloads to entries.
	entriesOnly  bool
	store        sync.Mutex
	activeFaults sync.WaitGroup
}

// soak runs the fault schedule of a seed and checks the guarantees. If plantedFault
// isn't empty, it names a fault of plantedFaults that the checks must report.
func soak(t *testing.T, seed uint64, plantedFault string) {
	r := &run{t: t, site: newSite(t, defaultSpec()), random: rand.New(rand.NewPCG(seed, 0)), plantedFault: plantedFault, plannedOnly: seed%plannedSeedInterval == 0}
	r.history = newHistory(r.site)
	require.Eventually(t, func() bool { return len(r.history.newCaller().resolve(r.site.entries[0])) == *entries }, 15*time.Second, 50*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for range 10 {
		clients.Go(func() { r.history.newCaller().run(ctx) })
	}
	for _, e := range r.site.entries {
		clients.Go(func() { r.history.probeConfig(ctx, e) })
	}
	time.Sleep(time.Second)
	faults := []func(*rand.Rand){
		r.pause, r.pause, r.kill, r.stop, r.stop, r.reload, r.faultStoreLink, r.faultStoreLink, r.faultStore,
		r.faultReplicaLink, r.replaceReplica, r.addReplicaFaults, r.addReplicaFaults, r.changeConfig, r.changeConfig, r.dropOrderResponses,
	}
	if r.plannedOnly {
		faults = []func(*rand.Rand){r.stop, r.stop, r.reload, r.changeConfig}
	}
	r.injectFaults(faults, time.Duration(*seconds)*time.Second)
	if plantedFault == "recover" {
		r.injectPlantedFault()
	}
	healed := time.Now()
	pass := r.site.group.Pass()
	recovered := false
	for time.Since(healed) < recoveryBound && !recovered {
		time.Sleep(500 * time.Millisecond)
		recovered = r.history.callersServed(recoveryStart(healed, time.Now())) && r.site.group.Pass() > pass
	}
	if !recovered {
		r.history.report("RECOVER", "callers aren't served %v after the last fault, or the group makes no progress", recoveryBound)
	}
	cancel()
	clients.Wait()
	r.history.checkExecutions()
	r.reportFindings(seed)
}

// reportFindings fails the test if there are findings, and then saves the daemons'
// logs if -soak.logs is set. With a planted fault, it fails unless that was found.
func (r *run) reportFindings(seed uint64) {
	findings := strings.Join(r.history.findings, "\n")
	if r.plantedFault != "" {
		require.Contains(r.t, findings, plantedFaults[r.plantedFault]+":", "the planted fault must be found")
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

// injectFaults starts random faults at random intervals, so that they overlap, and
// waits until all have ended.
func (r *run) injectFaults(faults []func(*rand.Rand), duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		fault := faults[r.random.IntN(len(faults))]
		random := rand.New(rand.NewPCG(r.random.Uint64(), 0))
		r.activeFaults.Go(func() { fault(random) })
		time.Sleep(randomDuration(r.random, 100*time.Millisecond, 900*time.Millisecond))
		r.injectPlantedFault()
	}
	r.activeFaults.Wait()
}

// randomDuration returns a random duration in [least, most).
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// faultDuration returns how long a fault lasts: less than disturbanceWindow, so that
// the disturbance recorded at its start still counts when the one at its end is
// recorded.
func faultDuration(random *rand.Rand) time.Duration {
	return randomDuration(random, 200*time.Millisecond, 2500*time.Millisecond)
}

// targets returns the daemons that pauses, kills, stops and reloads affect.
func (r *run) targets() []*daemon {
	if r.entriesOnly {
		return r.site.entries
	}
	return r.site.daemons()
}

// acquireRandomDaemon reserves a random daemon, and returns nil if another fault
// uses that one.
func (r *run) acquireRandomDaemon(random *rand.Rand, among []*daemon) *daemon {
	if d := among[random.IntN(len(among))]; d.tryAcquire() {
		return d
	}
	return nil
}

func (r *run) pause(random *rand.Rand) {
	d := r.acquireRandomDaemon(random, r.targets())
	if d == nil {
		return
	}
	defer d.release()
	for range 1 + random.IntN(2) {
		d.markDisturbed()
		d.signal(syscall.SIGSTOP)
		time.Sleep(faultDuration(random))
		d.signal(syscall.SIGCONT)
		d.markDisturbed()
		time.Sleep(randomDuration(random, 50*time.Millisecond, 300*time.Millisecond))
	}
}

func (r *run) kill(random *rand.Rand) {
	d := r.acquireRandomDaemon(random, r.targets())
	if d == nil {
		return
	}
	defer d.release()
	d.markDisturbed()
	d.current().Kill()
	time.Sleep(randomDuration(random, 50*time.Millisecond, time.Second))
	d.start(r.t)
	d.markDisturbed()
}

// stop restarts one or two daemons in sequence, by SIGTERM.
func (r *run) stop(random *rand.Rand) {
	for range 1 + random.IntN(2) {
		d := r.acquireRandomDaemon(random, r.targets())
		if d == nil {
			return
		}
		d.mu.Lock()
		d.stopped = time.Now()
		d.mu.Unlock()
		d.signal(syscall.SIGTERM)
		if r.plantedFault == "lost" {
			time.Sleep(100 * time.Millisecond)
			d.current().Kill()
		} else if code := d.current().Wait(graceBound + time.Second); code != 0 && code != 1 {
			r.history.report("STOP", "%s ended with code %d: %s", d.name, code, d.current().Log())
		}
		d.start(r.t)
		if !strings.HasPrefix(d.name, "entry") {
			d.markDisturbed()
		}
		d.release()
	}
}

func (r *run) reload(random *rand.Rand) {
	if d := r.acquireRandomDaemon(random, r.targets()); d != nil {
		defer d.release()
		d.signal(syscall.SIGHUP)
	}
}

func randomLinkFault(random *rand.Rand) linkFault {
	switch random.IntN(4) {
	case 0:
		return linkFault{delay: randomDuration(random, 30*time.Millisecond, 400*time.Millisecond)}
	case 1:
		return linkFault{blockToTarget: true}
	case 2:
		return linkFault{blockToClient: true}
	default:
		return linkFault{blockToTarget: true, blockToClient: true}
	}
}

func (r *run) faultStoreLink(random *rand.Rand) {
	e := r.site.entries[random.IntN(len(r.site.entries))]
	e.markDisturbed()
	e.relay.setFault(randomLinkFault(random))
	time.Sleep(faultDuration(random))
	if random.IntN(2) == 0 {
		e.relay.reset()
	}
	e.relay.setFault(linkFault{})
	e.markDisturbed()
}

func (r *run) faultStore(random *rand.Rand) {
	if !r.store.TryLock() {
		return
	}
	defer r.store.Unlock()
	faults := []fakes.StoreFaults{{Down: true}, {Unresponsive: true}, {SlowMS: 300}, {HideChanges: true}, {HangWatches: true}, {HistoryCompacted: true}, {DropResponses: true}}
	r.site.markDisturbed(true)
	r.site.store.SetFaults(faults[random.IntN(len(faults))])
	time.Sleep(faultDuration(random))
	r.site.store.SetFaults(fakes.StoreFaults{})
	r.site.markDisturbed(true)
}

func (r *run) faultReplicaLink(random *rand.Rand) {
	r.site.mu.Lock()
	if len(r.site.plains) == 0 {
		r.site.mu.Unlock()
		return
	}
	p := r.site.plains[random.IntN(len(r.site.plains))]
	r.site.mu.Unlock()
	r.site.markDisturbed(false)
	p.relay.setFault(randomLinkFault(random))
	time.Sleep(faultDuration(random))
	p.relay.reset()
	p.relay.setFault(linkFault{})
	r.site.markDisturbed(false)
}

func (r *run) replaceReplica(random *rand.Rand) {
	r.site.markDisturbed(false)
	r.site.replacePlain(random)
	r.site.markDisturbed(false)
}

func (r *run) addReplicaFaults(random *rand.Rand) {
	r.site.markDisturbed(false)
	faults := []fakes.Fault{
		fakes.Reject, fakes.ResetConnection, fakes.ServerError, fakes.ExtraResponse, fakes.StrayResponse, fakes.TruncateEvent, fakes.OmitSeal, fakes.OmitLength, fakes.NoResponse,
	}
	for range 1 + random.IntN(6) {
		r.site.script.Add(faults[random.IntN(len(faults))])
	}
}

func (r *run) changeConfig(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		r.site.writeNextConfig()
		time.Sleep(randomDuration(random, 20*time.Millisecond, 500*time.Millisecond))
	}
}

func (r *run) dropOrderResponses(random *rand.Rand) {
	dropRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	r.site.group.DropResponses(func(string) bool { return dropRandom.IntN(2) == 0 })
	time.Sleep(faultDuration(random))
	r.site.group.DropResponses(nil)
}
