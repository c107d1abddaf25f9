package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

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
