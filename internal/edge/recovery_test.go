package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// Bounds of the deployments: a version applies within configApply and a leaving within drainLimit of
// its acknowledgement, once the store has been calm for contactSpan.
const (
	contactSpan = 3 * time.Second
	configApply = 2 * time.Second
	drainLimit  = 2 * time.Second
	// lostWrites is how many more revisions than the copy the store had.
	lostWrites = 30
)

// startPair starts two entries and waits until each knows the other.
func startPair(t *testing.T, replicas ...string) *site {
	s := startSite(t, replicas...)
	s.startEntry("entry-2")
	s.waitReady(1)
	require.Eventually(t, func() bool { return s.lists(0, 2)() && s.lists(1, 2)() }, registrationLimit, 10*time.Millisecond)
	return s
}

// advance writes keys that mean nothing, so that the store's revision rises, and waits until all
// entries know it.
func (s *site) advance() {
	for n := range lostWrites {
		s.write("op/unused", fmt.Sprint(n))
	}
	s.waitCurrent()
}

// waitCurrent waits until the views of all entries have the store's revision.
func (s *site) waitCurrent() {
	for _, e := range s.entries {
		require.Eventually(s.t, func() bool {
			status, err := json.Marshal(e.Status())
			require.NoError(s.t, err)
			var view struct {
				Revision uint64 `json:"revision"`
			}
			require.NoError(s.t, json.Unmarshal(status, &view))
			return view.Revision >= s.kv.Read([]string{"op/"}).Revision()
		}, contactSpan, 10*time.Millisecond)
	}
}

// recoverStore takes the store down for a second and lets it recover from a backup.
func (s *site) recoverStore(backup stand.Backup, leases stand.RecoveredLeases) {
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	s.kv.Recover(backup, leases)
	s.store.SetFaults(fakes.StoreFaults{})
}

// obeys reports whether an entry serves one key and refuses another one.
func (s *site) obeys(index int, served, refused string) bool {
	status := func(key string) int {
		return s.call(index, http.MethodPost, "/check/1", "", map[string]string{"Authorization": "Bearer " + key}).status
	}
	return status(served) == http.StatusOK && status(refused) == http.StatusUnauthorized
}

// requireObeyed checks that entries obey a version within configApply.
func (s *site) requireObeyed(served, refused string, entries ...int) {
	s.t.Helper()
	deadline := time.Now().Add(configApply)
	for _, index := range entries {
		require.Eventually(s.t, func() bool { return s.obeys(index, served, refused) }, time.Until(deadline), 10*time.Millisecond, "entry %d", index)
	}
}

// registerForm writes the record of a replica with a sequence.
func (s *site) registerForm(id, state string, sequence int) {
	s.write("servers/"+id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"gmunden","slots":8,"state":%q,"coldLeftMs":0,"version":"v1","sequence":%d,"born":1}`,
		s.replicas[id].Address(), state, sequence))
}

// servedBy returns how many of a number of calls to an entry each replica got.
func (s *site) servedBy(index, calls int) map[string]int { return s.servedWith("key-1", index, calls) }

func (s *site) servedWith(key string, index, calls int) map[string]int {
	received := func(id string) (count int) {
		for _, request := range s.replicas[id].Requests() {
			if strings.HasPrefix(request.Target, "/check/") {
				count++
			}
		}
		return count
	}
	before, counts := make(map[string]int), make(map[string]int)
	for id := range s.replicas {
		before[id] = received(id)
	}
	header := map[string]string{"Authorization": "Bearer " + key}
	for range calls {
		s.call(index, http.MethodPost, "/check/1", "", header)
	}
	for id := range s.replicas {
		if count := received(id) - before[id]; count > 0 {
			counts[id] = count
		}
	}
	return counts
}

// registered reports whether the store has the registrations of entries.
func (s *site) registered(names ...string) func() bool {
	return func() bool {
		members := s.kv.Read([]string{"lentilstand/members/"})
		return !slices.ContainsFunc(names, func(name string) bool {
			_, found := members.Get("lentilstand/members/" + name)
			return !found
		})
	}
}

var recoveredLeases = map[string]stand.RecoveredLeases{
	"leases kept": stand.KeepLeases, "leases dropped": stand.DropLeases, "leases and keys dropped": stand.DropLeasesAndKeys,
}

// TestVersionAfterStoreRecoveryIsObeyed guards against entries that refuse all that a store shows
// which has recovered from a copy with a lower revision.
func TestVersionAfterStoreRecoveryIsObeyed(t *testing.T) {
	for name, leases := range recoveredLeases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startPair(t, "i-1")
			backup := s.kv.Backup()
			s.advance()
			s.configure([]string{"key-2"}, defaultRoutes...)
			s.requireObeyed("key-2", "key-1", 0, 1)
			s.recoverStore(backup, leases)
			time.Sleep(contactSpan)
			s.configure([]string{"key-3"}, defaultRoutes...)
			s.requireObeyed("key-3", "key-2", 0, 1)
		})
	}
}

// TestRouteAddedAfterStoreRecoveryIsServed guards against a new route that no entry serves.
func TestRouteAddedAfterStoreRecoveryIsServed(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1")
	backup := s.kv.Backup()
	s.advance()
	s.recoverStore(backup, stand.KeepLeases)
	time.Sleep(contactSpan)
	added := route{prefix: "/added/", kind: "idempotent", service: "plain", attempts: 2, timeoutMS: 1500}
	s.configure([]string{"key-1"}, append([]route{added}, defaultRoutes...)...)
	for index := range s.entries {
		require.Eventually(t, func() bool { return s.call(index, http.MethodPost, "/added/1", "", nil).status == http.StatusOK }, configApply, 10*time.Millisecond)
	}
}

// TestLostVersionStaysInForce guards against entries that go back to the configuration of the copy
// before the lost version is written again.
func TestLostVersionStaysInForce(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1")
	backup := s.kv.Backup()
	s.advance()
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.requireObeyed("key-2", "key-1", 0, 1)
	s.recoverStore(backup, stand.KeepLeases)
	require.Never(t, func() bool { return !s.obeys(0, "key-2", "key-1") || !s.obeys(1, "key-2", "key-1") }, contactSpan, 50*time.Millisecond)
	s.version -= 2 // The lost version is written again.
	s.configure([]string{"key-2"}, defaultRoutes...)
	require.Never(t, func() bool { return !s.obeys(0, "key-2", "key-1") }, time.Second, 50*time.Millisecond)
	s.configure([]string{"key-3"}, defaultRoutes...)
	s.requireObeyed("key-3", "key-2", 0, 1)
}

// TestLeavingAfterStoreRecoveryIsObeyed guards against requests that reach an endpoint that has said
// that it leaves.
func TestLeavingAfterStoreRecoveryIsObeyed(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1", "i-2")
	backup := s.kv.Backup()
	s.advance()
	s.recoverStore(backup, stand.KeepLeases)
	time.Sleep(contactSpan)
	s.registerForm("i-1", "draining", 1)
	time.Sleep(drainLimit)
	for index := range s.entries {
		require.Equal(t, map[string]int{"i-2": 30}, s.servedBy(index, 30))
	}
}

// TestLostLeavingStaysInForce guards against requests to an endpoint whose leaving or removal the
// copy lacks, until it is written again.
func TestLostLeavingStaysInForce(t *testing.T) {
	for _, removes := range []bool{false, true} {
		t.Run(fmt.Sprint("removed: ", removes), func(t *testing.T) {
			t.Parallel()
			s := startPair(t, "i-1", "i-2")
			backup := s.kv.Backup()
			s.registerForm("i-1", "draining", 1)
			if removes {
				s.remove("servers/i-1")
			}
			s.advance()
			require.Eventually(t, func() bool { return s.servedBy(0, 10)["i-1"] == 0 && s.servedBy(1, 10)["i-1"] == 0 }, drainLimit, 10*time.Millisecond)
			s.recoverStore(backup, stand.KeepLeases)
			for end := time.Now().Add(contactSpan); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				require.Equal(t, map[string]int{"i-2": 4}, s.servedBy(0, 4))
				require.Equal(t, map[string]int{"i-2": 4}, s.servedBy(1, 4))
			}
			// The endpoint starts again under its ID.
			s.write("servers/i-1", fmt.Sprintf(`{"service":"plain","address":%q,"zone":"gmunden","slots":8,"state":"ready","coldLeftMs":0,"version":"v1","sequence":0,"born":2}`,
				s.replicas["i-1"].Address()))
			s.registerForm("i-2", "draining", 1)
			only := func(index int) bool { return s.servedBy(index, 10)["i-1"] == 10 }
			require.Eventually(t, func() bool { return only(0) && only(1) }, drainLimit, 10*time.Millisecond)
		})
	}
}

// TestEvacuationSurvivesStoreRecovery guards against requests to a data centre whose evacuation the
// copy lacks, and against an evacuation after the recovery that isn't obeyed.
func TestEvacuationSurvivesStoreRecovery(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1")
	s.startReplica("i-2", "ebensee")
	s.startReplica("i-3", "unterach")
	backup := s.kv.Backup()
	s.write("op/evacuate/ebensee", "{}")
	s.advance()
	avoids := func(id string) func() bool {
		return func() bool { return s.servedBy(0, 10)[id] == 0 && s.servedBy(1, 10)[id] == 0 }
	}
	require.Eventually(t, avoids("i-2"), drainLimit, 10*time.Millisecond)
	s.recoverStore(backup, stand.KeepLeases)
	require.Never(t, func() bool { return !avoids("i-2")() }, contactSpan, 50*time.Millisecond)
	s.write("op/evacuate/gmunden", "{}")
	require.Eventually(t, avoids("i-1"), drainLimit, 10*time.Millisecond)
	s.write("op/evacuate/ebensee", "{}")
	s.remove("op/evacuate/ebensee")
	s.write("op/evacuate/unterach", "{}")
	only := func(index int) bool { return s.servedBy(index, 10)["i-2"] == 10 }
	require.Eventually(t, func() bool { return only(0) && only(1) }, drainLimit, 10*time.Millisecond, "the evacuation that was ended")
}

// TestEndpointAfterStoreRecoveryIsUsed guards against a new endpoint that gets no requests, and
// against one that is dropped at once since the copy lacks it.
func TestEndpointAfterStoreRecoveryIsUsed(t *testing.T) {
	t.Parallel()
	s := startPair(t)
	backup := s.kv.Backup()
	s.startReplica("i-1", "gmunden")
	s.advance()
	require.Eventually(t, func() bool { return s.servedBy(0, 1)["i-1"] == 1 && s.servedBy(1, 1)["i-1"] == 1 }, drainLimit, 10*time.Millisecond)
	s.recoverStore(backup, stand.KeepLeases)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		require.Equal(t, map[string]int{"i-1": 2}, s.servedBy(0, 2), "the endpoint that the copy lacks")
	}
	s.registerForm("i-1", "ready", 1)
	s.startReplica("i-2", "gmunden")
	s.registerForm("i-1", "draining", 2)
	only := func(index int) bool { return s.servedBy(index, 10)["i-2"] == 10 }
	require.Eventually(t, func() bool { return only(0) && only(1) }, drainLimit, 10*time.Millisecond, "the new endpoint")
	s.registerForm("i-1", "ready", 3)
	s.registerForm("i-2", "draining", 1)
	time.Sleep(drainLimit)
	for index := range s.entries {
		require.Equal(t, map[string]int{"i-1": 20}, s.servedBy(index, 20), "the endpoint that was written again")
	}
}

// TestRegistrationLostInStoreRecoveryIsWrittenAgain guards against an entry that takes the registration
// in its old view, or a lease that another entry has got meanwhile, for its own.
func TestRegistrationLostInStoreRecoveryIsWrittenAgain(t *testing.T) {
	for name, leases := range recoveredLeases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, "i-1")
			require.Eventually(t, s.registered("entry-1"), registrationLimit, 10*time.Millisecond)
			backup := s.kv.Backup()
			s.startEntry("entry-2")
			s.waitReady(1)
			require.Eventually(t, s.lists(0, 2), registrationLimit, 10*time.Millisecond)
			s.advance()
			s.recoverStore(backup, leases)
			require.Eventually(t, s.registered("entry-1", "entry-2"), contactSpan, 10*time.Millisecond)
			require.Never(t, func() bool { return !s.registered("entry-1", "entry-2")() }, registrationCheck, 50*time.Millisecond)
		})
	}
}

// TestLeaseGivenOutAgainIsNotRenewed guards against an entry that renews another one's lease for its
// own, and is registered nowhere.
func TestLeaseGivenOutAgainIsNotRenewed(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1")
	require.Eventually(t, s.registered("entry-1"), registrationLimit, 10*time.Millisecond)
	backup := s.kv.Backup()
	s.startEntry("entry-2")
	s.waitReady(1)
	require.Eventually(t, s.lists(0, 2), registrationLimit, 10*time.Millisecond)
	s.advance()
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	s.kv.Recover(backup, stand.KeepLeases)
	given := s.kv.Grant(time.Minute)
	s.store.SetFaults(fakes.StoreFaults{})
	time.Sleep(contactSpan)
	require.True(t, s.registered("entry-2")())
	s.kv.Revoke(given)
	require.True(t, s.registered("entry-2")(), "the registration is attached to another client's lease")
}

// TestEntryStartedAfterStoreRecoveryLearnsLostVersion guards against an entry that serves by the copy's
// configuration while others know a newer one.
func TestEntryStartedAfterStoreRecoveryLearnsLostVersion(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1", "i-2")
	backup := s.kv.Backup()
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.registerForm("i-1", "draining", 1)
	s.advance()
	s.requireObeyed("key-2", "key-1", 0, 1)
	s.recoverStore(backup, stand.KeepLeases)
	s.startEntry("entry-3")
	s.waitReady(2)
	time.Sleep(contactSpan)
	require.True(t, s.obeys(2, "key-2", "key-1"))
	require.Equal(t, map[string]int{"i-2": 20}, s.servedWith("key-2", 2, 20))
	s.configure([]string{"key-3"}, defaultRoutes...)
	s.requireObeyed("key-3", "key-2", 0, 1, 2)
}

// TestStoreRecoveriesInSuccession guards against a second recovery soon after the first one that
// undoes what was written between them.
func TestStoreRecoveriesInSuccession(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1")
	backup := s.kv.Backup()
	s.advance()
	s.recoverStore(backup, stand.KeepLeases)
	time.Sleep(contactSpan / 2)
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.requireObeyed("key-2", "key-1", 0, 1)
	s.recoverStore(backup, stand.DropLeases)
	require.Never(t, func() bool { return !s.obeys(0, "key-2", "key-1") || !s.obeys(1, "key-2", "key-1") }, contactSpan, 50*time.Millisecond)
	s.configure([]string{"key-3"}, defaultRoutes...)
	s.requireObeyed("key-3", "key-2", 0, 1)
}

// TestEntryCutOffDuringStoreRecoveryIsCurrent guards against an entry that the store doesn't answer
// during and after the recovery, and that orders what others tell it by revisions of two eras.
func TestEntryCutOffDuringStoreRecoveryIsCurrent(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1")
	backup := s.kv.Backup()
	s.advance()
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	s.kv.Recover(backup, stand.KeepLeases)
	s.store.SetFaults(fakes.StoreFaults{Down: true, Only: []string{"entry-2"}})
	time.Sleep(contactSpan)
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.requireObeyed("key-2", "key-1", 0, 1)
}

// TestOlderReadsAreNoRecovery guards against entries that believe each lower revision: the store
// answers reads from an older state within the same era.
func TestOlderReadsAreNoRecovery(t *testing.T) {
	t.Parallel()
	s := startPair(t, "i-1")
	s.store.SetFaults(fakes.StoreFaults{StaleReads: true})
	s.configure([]string{"key-2"}, defaultRoutes...)
	time.Sleep(2 * time.Second)
	s.store.SetFaults(fakes.StoreFaults{})
	s.requireObeyed("key-2", "key-1", 0, 1)
	s.store.SetFaults(fakes.StoreFaults{StaleReads: true, EraText: "0"})
	s.advance()
	require.Never(t, func() bool { return !s.obeys(0, "key-2", "key-1") || !s.obeys(1, "key-2", "key-1") }, 2*time.Second, 50*time.Millisecond)
}

// TestRemovalMissedDuringStoreRecoveryIsObeyed guards against requests to an endpoint that was removed
// after the recovery, but before the entry reached the store again.
func TestRemovalMissedDuringStoreRecoveryIsObeyed(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1", "i-2")
	backup := s.kv.Backup()
	s.advance()
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	s.kv.Recover(backup, stand.KeepLeases)
	s.remove("servers/i-1")
	time.Sleep(drainLimit)
	s.store.SetFaults(fakes.StoreFaults{})
	time.Sleep(contactSpan)
	for end := time.Now().Add(contactSpan); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		require.Equal(t, map[string]int{"i-2": 10}, s.servedBy(0, 10))
	}
}
