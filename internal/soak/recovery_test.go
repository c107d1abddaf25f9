package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// Bounds of the platform on withdrawn replicas, with the values of the users' sites.
const (
	drainBound    = 2 * time.Second
	evacuateBound = 5 * time.Second
)

// maxOtherWrites limits the writes of keys without meaning that a recovery loses.
const maxOtherWrites = 40

// calmTime is the part of a run without faults at its end, in which all entries are in touch and
// have to obey all that was written.
const calmTime = disturbanceWindow + 2*slack

// lastRecovery is how long before the end of the faults the last recoveries begin.
const lastRecovery = 5 * time.Second

// evacuatedZone is a zone with replicas of the plain service only.
const evacuatedZone = "b"

// withdrawal is a replica that may get no more requests after a bound from a write.
type withdrawal struct {
	rule, key string
	bound     time.Duration
	plain     *plain
}

// TestStoreRecoveries guards against entries that don't obey what was acknowledged before or after
// the store recovered from a copy.
func TestStoreRecoveries(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRecoveries(t, seed) })
	}
}

func runRecoveries(t *testing.T, seed uint64) {
	spec := defaultSpec()
	// Entries use zones that are equally far alike.
	spec.plainZone = "c"
	r := &run{t: t, site: newSite(t, spec), random: rand.New(rand.NewPCG(seed, 3)), plannedOnly: seed%plannedSeedInterval == 0, entriesOnly: true}
	r.history = newHistory(r.site)
	r.site.addPlain(evacuatedZone)
	r.site.addPlain(evacuatedZone)
	require.Eventually(t, func() bool { return r.listsAllEntries() }, 15*time.Second, 50*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for range 10 {
		clients.Go(func() { r.history.newCaller().run(ctx) })
	}
	for _, e := range r.site.entries {
		clients.Go(func() { r.history.probeConfig(ctx, e) })
	}
	recoveries := rand.New(rand.NewPCG(r.random.Uint64(), 0))
	end := time.Now().Add(time.Duration(*seconds)*time.Second - calmTime)
	r.activeFaults.Go(func() { r.recoverStore(recoveries, end.Add(-lastRecovery)) })
	faults := []func(*rand.Rand){
		r.changeConfig, r.changeConfig, r.changeConfig, r.changeConfig, r.drainReplica, r.drainReplica, r.evacuate, r.stop, r.reload,
		r.pause, r.kill, r.faultStoreLink, r.replaceReplica,
	}
	if r.plannedOnly {
		faults = faults[:9]
	}
	r.injectFaults(faults, time.Until(end))
	healed := time.Now()
	time.Sleep(calmTime)
	isRecovered := func() bool { return r.history.callersServed(recoveryStart(healed, time.Now())) && r.listsAllEntries() }
	for time.Since(healed) < recoveryBound && !isRecovered() {
		time.Sleep(slack)
	}
	if !isRecovered() {
		r.history.report("RECOVER", "callers aren't served %v after the last fault, or directories don't list all entries", time.Since(healed))
	}
	cancel()
	clients.Wait()
	r.history.checkExecutions()
	t.Logf("%d versions, %d probes of entries that had to obey one, %d withdrawals", r.site.writes.version, r.history.dueProbes, len(r.site.withdrawals))
	r.reportFindings(seed)
}

// listsAllEntries reports whether the directories of all entries list all entries.
func (r *run) listsAllEntries() bool {
	for _, e := range r.site.entries {
		if len(r.history.newCaller().resolve(e)) != *entries {
			return false
		}
	}
	return true
}

// recoverStore lets the store recover from copies some seconds old until a time, sometimes twice
// within some seconds. One entry has no other faults than of its link to the store meanwhile, so
// that what was acknowledged stays known.
func (r *run) recoverStore(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		witness := r.acquireRandomDaemon(random, r.site.entries)
		if witness == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		var rewrites sync.WaitGroup
		from := r.site.writes.backup()
		// Revisions of other keys, which nobody writes again.
		for range random.IntN(maxOtherWrites) {
			var other stand.Txn
			other.Put("op/other", nil, 0)
			_, err := r.site.kv.Commit(other)
			require.NoError(r.t, err)
		}
		for _, change := range []func(*rand.Rand){r.changeConfig, r.drainReplica} {
			changeRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
			r.activeFaults.Go(func() { change(changeRandom) })
		}
		time.Sleep(randomDuration(random, 300*time.Millisecond, 4*time.Second))
		r.recoverFrom(random, witness, from, &rewrites)
		if random.IntN(3) == 0 {
			if random.IntN(3) > 0 {
				from = r.site.writes.backup()
			}
			time.Sleep(randomDuration(random, 100*time.Millisecond, 3*time.Second))
			r.recoverFrom(random, witness, from, &rewrites)
		}
		rewrites.Wait()
		witness.release()
		time.Sleep(min(time.Until(end), randomDuration(random, 2*time.Second, 5*time.Second)))
	}
}

// recoverFrom plays one recovery. Rewrites has the owners that write again what is lost.
func (r *run) recoverFrom(random *rand.Rand, witness *daemon, from copyOfStore, rewrites *sync.WaitGroup) {
	r.store.Lock()
	defer r.store.Unlock()
	w := r.site.writes
	if !r.plannedOnly {
		faults := []func(*rand.Rand){r.pause, r.kill, r.stop, r.faultStoreLink}
		for range random.IntN(4) {
			fault, faultRandom := faults[random.IntN(len(faults))], rand.New(rand.NewPCG(random.Uint64(), 0))
			r.activeFaults.Go(func() { fault(faultRandom) })
		}
	}
	w.gate.Lock()
	away := time.Now()
	inTouch, _ := witness.inTouchSince()
	if _, store := r.site.lastDisturbed(); store.After(inTouch) {
		inTouch = store
	}
	r.site.markDisturbed(true)
	// Slow calls are carried out after the recovery though they were sent before.
	kinds := []fakes.StoreFaults{{Down: true}, {Unresponsive: true}, {SlowMS: random.Int64N(2000)}, {}}
	kind := random.IntN(len(kinds))
	r.site.store.SetFaults(kinds[kind])
	duration := randomDuration(random, 0, 2*time.Second)
	moment := randomDuration(random, 0, duration+1)
	r.disconnect(kind == len(kinds)-1, moment)
	leases := stand.RecoveredLeases(random.IntN(int(stand.DropLeasesAndKeys) + 1))
	keys := w.recover(from, leases, away, inTouch.Add(disturbanceWindow))
	r.t.Logf("%s: the store, away since %s (kind %d), recovers from a copy; leases %d, lost keys %v",
		time.Now().UTC().Format(time.StampMilli), away.UTC().Format(time.StampMilli), kind, leases, keys)
	r.disconnect(kind == len(kinds)-1, duration-moment)
	r.site.store.SetFaults(fakes.StoreFaults{})
	r.site.markDisturbed(true)
	w.gate.Unlock()
	for _, key := range keys {
		delay, newestOnly := time.Duration(0), random.IntN(2) == 0
		if random.IntN(3) > 0 {
			delay = randomDuration(random, 0, 4*time.Second)
		}
		gap := randomDuration(random, 0, 300*time.Millisecond)
		rewrites.Go(func() {
			time.Sleep(delay)
			for {
				more, err := w.writeNextLost(key, newestOnly)
				if err != nil {
					r.t.Error(err)
				}
				if !more {
					return
				}
				time.Sleep(gap)
			}
		})
	}
}

// disconnect waits, and meanwhile resets the entries' connections to the store if isCut is set.
func (r *run) disconnect(isCut bool, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range r.site.entries {
			if isCut {
				e.relay.reset()
			}
		}
	}
}

// plainsIn returns the plain replicas that are in use in a zone.
func (s *site) plainsIn(zone string) []*plain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.plains), func(p *plain) bool { return p.zone != zone })
}

// withdraw records that replicas may get no more requests after a bound from the write of a key.
func (s *site) withdraw(rule, key string, bound time.Duration, plains ...*plain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range plains {
		s.withdrawals = append(s.withdrawals, withdrawal{rule: rule, key: key, bound: bound, plain: p})
	}
}

// drainReplica starts a plain replica and drains another one. Its process runs on.
func (r *run) drainReplica(random *rand.Rand) {
	p := r.site.takePlain(random)
	if p == nil {
		return
	}
	r.site.addPlain(p.zone)
	time.Sleep(randomDuration(random, 0, time.Second))
	key := "servers/" + p.id
	r.site.registerForm(p.id, "plain", p.relay.address(), p.zone, "draining", 1)
	r.site.withdraw("DRAIN", key, drainBound, p)
	time.Sleep(randomDuration(random, 500*time.Millisecond, 3*time.Second))
	r.site.remove(key)
}

// evacuate evacuates evacuatedZone for good.
func (r *run) evacuate(*rand.Rand) {
	key := "op/evacuate/" + evacuatedZone
	if _, isBound := r.site.writes.boundSince(key); isBound {
		return
	}
	r.site.put(key, map[string]any{})
	r.site.withdraw("EVAC", key, evacuateBound, r.site.plainsIn(evacuatedZone)...)
}

// checkWithdrawals compares the requests that withdrawn replicas executed with the bounds.
func (h *history) checkWithdrawals() {
	for _, w := range h.site.withdrawals {
		since, isBound := h.site.writes.boundSince(w.key)
		if !isBound {
			continue
		}
		for _, seen := range w.plain.replica.Requests() {
			a := h.calls[seen.Header.Get("Lentilstand-Request-Id")]
			if late := seen.At.Sub(since); a != nil && a.inTouch && late > w.bound+slack {
				h.report(w.rule, "%s from %s reached %s %v after the write of %s was acknowledged", a.id, a.entry.name, w.plain.id, late, w.key)
			}
		}
	}
}

// checkDenied checks that callers with a key that all versions allow aren't refused as strangers.
func (h *history) checkDenied() {
	const maxDenied = 5
	denied := 0
	for _, a := range h.calls {
		isDenied := a.status == http.StatusUnauthorized || a.status == http.StatusForbidden || a.status == http.StatusNotFound
		if isDenied && a.path != probePath {
			denied++
		}
	}
	if denied > maxDenied {
		h.report("DENIED", "%d requests that all versions allow were refused", denied)
	}
}
