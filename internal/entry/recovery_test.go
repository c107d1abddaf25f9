package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/member"
	"github.com/lentilstand/lentilstand/platform"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// recoveryBound is how long the entries may take to write again what a store has lost.
const recoveryBound = 5 * time.Second

// leaseBound is when the registration of an entry that is gone has expired.
const leaseBound = 12 * time.Second

// startVoters starts two entries and waits until both vote.
func startVoters(t *testing.T) *bench.Bench {
	spec := twoEntries(stand.DefaultEngineSpec())
	spec.DataCentres = append(spec.DataCentres, "manastur")
	b := startBench(t, spec)
	require.Eventually(t, func() bool { return len(statusOf(b, "entry-1").Voters) == 2 }, 10*time.Second, 10*time.Millisecond)
	return b
}

// submit submits a patch that takes a data centre out or puts it back, and requires that it is accepted.
func submit(t *testing.T, b *bench.Bench, base uint64, out bool) entry.PatchResult {
	t.Helper()
	result, err := b.SubmitPatch(context.Background(), "entry-1", base, bench.DataCentreOutPatch("r", "manastur", out))
	require.NoError(t, err)
	require.Equal(t, entry.ResultAccepted, result.Result, result)
	return result
}

// recoverStore takes the store down for a moment and lets it recover from a backup.
func recoverStore(b *bench.Bench, backup stand.Backup, leases stand.RecoveredLeases) {
	b.KVServer().SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(500 * time.Millisecond)
	b.KVStore().Recover(backup, leases)
	b.KVServer().SetFaults(fakes.StoreFaults{})
}

// requireStored waits until a reader that knows nothing loads a version as the one in force.
func requireStored(t *testing.T, b *bench.Bench, want entry.PatchResult) {
	t.Helper()
	client := platform.NewStore(b.KVAddress(), "test")
	defer client.Close()
	var loadErr error
	loaded := func() bool {
		head, err := chain.ReadHead(context.Background(), client)
		if loadErr = err; err != nil || head.Hash() != want.Hash {
			return false
		}
		_, loadErr = chain.Load(context.Background(), client, head, nil)
		return loadErr == nil
	}
	require.Eventually(t, loaded, recoveryBound, 20*time.Millisecond, "the store must have version %d again: %v", want.Version, loadErr)
}

// TestLostVersionsAreWrittenAgain guards against accepted versions that a recovered store lacks
// being known only to the entries that run.
func TestLostVersionsAreWrittenAgain(t *testing.T) {
	b := startVoters(t)
	backup := b.KVStore().Backup()
	submit(t, b, 1, true)
	accepted := submit(t, b, 2, false)
	recoverStore(b, backup, stand.KeepLeases)
	requireStored(t, b, accepted)
	require.NoError(t, b.StartEntry(bench.EntrySpec{Name: "entry-3", DataCentre: "manastur"}))
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		require.Eventually(t, func() bool { return statusOf(b, name).Hash == accepted.Hash }, recoveryBound, 10*time.Millisecond, name)
	}
}

// TestPatchAfterStoreRecoveryIsObeyed guards against a patch that is accepted and obeyed by no
// entry, because the store has lost the version before it.
func TestPatchAfterStoreRecoveryIsObeyed(t *testing.T) {
	b := startVoters(t)
	backup := b.KVStore().Backup()
	lost := submit(t, b, 1, true)
	recoverStore(b, backup, stand.KeepLeases)
	require.Eventually(t, func() bool { return statusOf(b, "entry-2").ServeState == "fresh" }, recoveryBound, 10*time.Millisecond)
	next := submit(t, b, lost.Version, false)
	for _, name := range []string{"entry-1", "entry-2"} {
		require.Eventually(t, func() bool { return statusOf(b, name).Hash == next.Hash }, recoveryBound, 10*time.Millisecond, name)
	}
}

// TestForkedPatchIsNotAccepted guards against a patch being accepted that builds on an older
// version than the one that the entries obey.
func TestForkedPatchIsNotAccepted(t *testing.T) {
	b := startVoters(t)
	backup := b.KVStore().Backup()
	lost := submit(t, b, 1, true)
	recoverStore(b, backup, stand.KeepLeases)
	result, err := b.SubmitPatch(context.Background(), "entry-1", 1, bench.DataCentreOutPatch("r", "manastur", true))
	require.NoError(t, err)
	require.NotEqual(t, entry.ResultAccepted, result.Result, "version %d is in force", lost.Version)
}

// TestRegistrationLostInRecoveryIsWrittenAgain guards against an entry that takes itself for
// registered by a lease that the store has lost or given to another client.
func TestRegistrationLostInRecoveryIsWrittenAgain(t *testing.T) {
	for name, leases := range map[string]stand.RecoveredLeases{
		"leases kept": stand.KeepLeases, "leases dropped": stand.DropLeases, "leases and keys dropped": stand.DropLeasesAndKeys,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startVoters(t)
			isRegistered := func(name string) bool {
				_, found := b.KVStore().Read([]string{member.Prefix}).Get(member.Key(name))
				return found
			}
			backup := b.KVStore().Backup()
			require.NoError(t, b.StartEntry(bench.EntrySpec{Name: "entry-3", DataCentre: "manastur"}))
			require.Eventually(t, func() bool { return isRegistered("entry-3") }, recoveryBound, 10*time.Millisecond)
			recoverStore(b, backup, leases)
			for range 30 {
				b.KVStore().Grant(time.Hour)
			}
			require.Eventually(t, func() bool { return isRegistered("entry-1") && isRegistered("entry-3") }, 2*time.Second, 10*time.Millisecond)
			time.Sleep(time.Second)
			for _, name := range []string{"entry-1", "entry-3"} {
				b.Entry(name).Close()
				b.RemoveEntry(name)
			}
			require.Eventually(t, func() bool { return !isRegistered("entry-1") && !isRegistered("entry-3") }, leaseBound, 50*time.Millisecond,
				"the registrations must have leases of their own")
		})
	}
}

// TestRequestDoesNotRunAgainAfterStoreRecovery guards against a request that must not be repeated
// running twice, because the store has lost its claim or its outcome.
func TestRequestDoesNotRunAgainAfterStoreRecovery(t *testing.T) {
	for name, running := range map[string]bool{"outcome lost": false, "recovery while it runs": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger := &stand.ExecutionLog{}
			spec := oneEach(stand.DefaultEngineSpec(), stand.PlainSpec{Capacity: 4, ProcessingTime: 2 * time.Second, ExecutionLog: ledger})
			spec.Entries = append(spec.Entries, bench.EntrySpec{Name: "entry-2", DataCentre: "centru"})
			b := startBench(t, spec)
			order := func(name string) bench.Response {
				response, err := b.Call(context.Background(), b.Entry(name).Address(), "a", http.MethodPost, "/depozit/orders", "motor",
					http.Header{"Idempotency-Key": {"order-1"}})
				require.NoError(t, err)
				return response
			}
			backup := b.KVStore().Backup()
			first := make(chan bench.Response, 1)
			go func() { first <- order("entry-1") }()
			if running {
				require.Eventually(t, func() bool { return len(b.KVStore().Read([]string{"claim/"}).Pairs()) == 1 }, time.Second, 5*time.Millisecond)
			} else {
				require.Equal(t, http.StatusCreated, (<-first).Status)
			}
			recoverStore(b, backup, stand.KeepLeases)
			var answer bench.Response
			require.Eventually(t, func() bool {
				answer = order("entry-2")
				return answer.Status != http.StatusServiceUnavailable
			}, recoveryBound, 50*time.Millisecond)
			require.Equal(t, http.StatusCreated, answer.Status, string(answer.Body))
			require.Equal(t, "true", answer.Header.Get("Lentilstand-Replayed"))
			require.Len(t, ledger.Executions(), 1)
		})
	}
}

// TestLostAnswerIsSettledInALaterEra guards against an operator who is told that a version isn't
// in force, or never gets an answer, because the store has lost the write whose answer was lost.
func TestLostAnswerIsSettledInALaterEra(t *testing.T) {
	for _, key := range []string{chain.PendingKey, chain.HeadKey} {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			b := startVoters(t)
			backup := b.KVStore().Backup()
			before, _ := b.KVStore().Read([]string{key}).Get(key)
			b.KVServer().SetFaults(fakes.StoreFaults{DropResponses: true, DropPrefix: key})
			results := make(chan entry.PatchResult, 1)
			go func() {
				result, err := b.SubmitPatch(context.Background(), "entry-1", 1, bench.DataCentreOutPatch("r", "manastur", true))
				if err == nil {
					results <- result
				}
				close(results)
			}()
			require.Eventually(t, func() bool {
				pair, _ := b.KVStore().Read([]string{key}).Get(key)
				return pair.Revision() > before.Revision()
			}, recoveryBound, 5*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			recoverStore(b, backup, stand.KeepLeases)
			result := <-results
			require.Equal(t, entry.ResultAccepted, result.Result, result)
			requireStored(t, b, result)
			for _, name := range []string{"entry-1", "entry-2"} {
				require.Eventually(t, func() bool { return statusOf(b, name).Hash == result.Hash }, recoveryBound, 10*time.Millisecond, name)
			}
		})
	}
}
