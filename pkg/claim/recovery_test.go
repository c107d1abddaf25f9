package claim_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/claim"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// acquireSettled acquires a key once claims are accepted again in a new era.
func acquireSettled(t *testing.T, claims *claim.Claims, key string) (*claim.Claim, claim.Record, error) {
	t.Helper()
	var acquired *claim.Claim
	var record claim.Record
	var err error
	require.Eventually(t, func() bool {
		acquired, record, err = claims.Acquire(context.Background(), "team", key, "f")
		return !errors.Is(err, store.ErrUnavailable)
	}, 2*claim.SettleTime, 10*time.Millisecond)
	return acquired, record, err
}

// TestLostOutcomeIsWrittenAgain guards against a request that runs twice because the store has
// lost that it had run.
func TestLostOutcomeIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	kv := &faultyStore{kv: stand.NewKV()}
	first, second := claim.New(kv, "entry-1"), claim.New(kv, "entry-2")
	// Entries call Restore whenever the store has shown something new.
	require.NoError(t, second.Restore(ctx))
	claimed, _, err := first.Acquire(ctx, "team", "claimed before the copy", "f")
	require.NoError(t, err)
	backup := kv.kv.Backup()
	require.NoError(t, claimed.Complete(ctx, claim.NewOutcome(201, nil, []byte("a"))))
	later, _, err := first.Acquire(ctx, "team", "claimed after the copy", "f")
	require.NoError(t, err)
	require.NoError(t, later.Complete(ctx, claim.NewOutcome(202, nil, []byte("b"))))
	_, _, err = first.Acquire(ctx, "team", "still running", "f")
	require.NoError(t, err)
	kv.kv.Recover(backup, stand.KeepLeases)

	_, _, err = second.Acquire(ctx, "team", "claimed after the copy", "f")
	require.ErrorIs(t, err, store.ErrUnavailable, "the owner has had no time to write its claims again")
	require.NoError(t, first.Restore(ctx))
	for key, status := range map[string]int{"claimed before the copy": 201, "claimed after the copy": 202, "still running": 0} {
		_, record, err := acquireSettled(t, second, key)
		require.ErrorIs(t, err, claim.ErrAlreadyClaimed, key)
		require.Equal(t, status != 0, record.Done(), key)
		require.Equal(t, status, record.Outcome().Status(), key)
	}
}

// TestOutcomeOfALostClaimIsStored guards against an outcome that isn't stored because the store
// has lost its claim.
func TestOutcomeOfALostClaimIsStored(t *testing.T) {
	ctx := context.Background()
	kv := &faultyStore{kv: stand.NewKV()}
	claims := claim.New(kv, "entry-1")
	_, _, err := claims.Acquire(ctx, "team", "other", "f")
	require.NoError(t, err)
	backup := kv.kv.Backup()
	acquired, _, err := claims.Acquire(ctx, "team", "key", "f")
	require.NoError(t, err)
	kv.kv.Recover(backup, stand.DropLeasesAndKeys)
	require.NoError(t, acquired.Complete(ctx, claim.NewOutcome(200, nil, nil)))
	record, err := claims.Lookup(ctx, "team", "key")
	require.NoError(t, err)
	require.True(t, record.Done())
}

// TestClaimHasALeaseOfItsEra guards against a claim that ends with another client's lease.
func TestClaimHasALeaseOfItsEra(t *testing.T) {
	ctx := context.Background()
	kv := &faultyStore{kv: stand.NewKV()}
	claims := claim.New(kv, "entry-1")
	backup := kv.kv.Backup()
	_, _, err := claims.Acquire(ctx, "team", "before", "f")
	require.NoError(t, err)
	kv.kv.Recover(backup, stand.DropLeases)
	var given []uint64
	for range 5 {
		given = append(given, kv.kv.Grant(time.Minute))
	}
	_, _, err = acquireSettled(t, claims, "after")
	require.NoError(t, err)
	for _, lease := range given {
		kv.kv.Revoke(lease)
	}
	_, err = claims.Lookup(ctx, "team", "after")
	require.NoError(t, err, "the claim must not end with a lease that was given to another client")
}

// TestReleaseOutlastsARecovery guards against a request that has provably not run being claimed
// for ever, because the copy is from before its release.
func TestReleaseOutlastsARecovery(t *testing.T) {
	ctx := context.Background()
	kv := &faultyStore{kv: stand.NewKV()}
	claims := claim.New(kv, "entry-1")
	acquired, _, err := claims.Acquire(ctx, "team", "key", "f")
	require.NoError(t, err)
	backup := kv.kv.Backup()
	require.NoError(t, acquired.Release(ctx))
	kv.kv.Recover(backup, stand.KeepLeases)
	require.NoError(t, claims.Restore(ctx))
	_, _, err = acquireSettled(t, claims, "key")
	require.NoError(t, err)
}
