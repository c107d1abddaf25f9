package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/claim"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// faultyStore is an in-memory key-value service that can lose responses or be
// unavailable.
type faultyStore struct {
	kv    *stand.KV
	calls atomic.Uint64
	// loseEvery makes every nth write take effect without a response; zero loses
	// none.
	loseEvery uint64
	down      atomic.Bool
}

// losesResponse reports whether the response to the current write is lost.
func (s *faultyStore) losesResponse() bool {
	return s.loseEvery > 0 && s.calls.Add(1)%s.loseEvery == 0
}

func (s *faultyStore) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	if s.down.Load() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.kv.Read(prefixes), nil
}

func (s *faultyStore) Watch(ctx context.Context, since store.Position, wait time.Duration, prefixes ...string) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return s.kv.Watch(ctx, prefixes, since.Revision()), nil
}

func (s *faultyStore) Era() uint64 { return s.kv.Era() }

func (s *faultyStore) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	revision, err := s.kv.Put(key, value, expect, lease)
	if s.losesResponse() {
		return 0, store.ErrUncertain
	}
	return revision, err
}

func (s *faultyStore) Delete(_ context.Context, key string, expect uint64) error {
	err := s.kv.Delete(key, expect)
	if s.losesResponse() {
		return store.ErrUncertain
	}
	return err
}

func (s *faultyStore) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	return s.kv.Grant(ttl), nil
}

func TestClaimLifecycle(t *testing.T) {
	for _, loseEvery := range []uint64{0, 1, 2, 3} {
		t.Run(fmt.Sprint("lose every ", loseEvery), func(t *testing.T) {
			ctx := context.Background()
			kv := &faultyStore{kv: stand.NewKV(), loseEvery: loseEvery}
			first, second := claim.New(kv, "entry-1"), claim.New(kv, "entry-2")
			acquired, _, err := first.Acquire(ctx, "team", "key", "f")
			require.NoError(t, err)
			_, record, err := second.Acquire(ctx, "team", "key", "f")
			require.ErrorIs(t, err, claim.ErrAlreadyClaimed)
			require.False(t, record.Done())
			_, _, err = second.Acquire(ctx, "team", "key", "other")
			require.ErrorIs(t, err, claim.ErrKeyReused)

			require.NoError(t, acquired.Complete(ctx, claim.NewOutcome(201, []claim.Field{claim.NewField("A", "b")}, []byte("x"))))
			_, record, err = second.Acquire(ctx, "team", "key", "f")
			require.ErrorIs(t, err, claim.ErrAlreadyClaimed)
			require.True(t, record.Done())
			require.Equal(t, 201, record.Outcome().Status())
			require.Equal(t, "x", string(record.Outcome().Body()))

			other, _, err := first.Acquire(ctx, "team", "key 2", "f")
			require.NoError(t, err)
			require.NoError(t, other.Release(ctx))
			_, _, err = second.Acquire(ctx, "team", "key 2", "f")
			require.NoError(t, err, "a released key can be claimed again")
		})
	}
}

func TestUnavailableStoreGrantsNoClaim(t *testing.T) {
	kv := &faultyStore{kv: stand.NewKV()}
	kv.down.Store(true)
	_, _, err := claim.New(kv, "entry-1").Acquire(context.Background(), "team", "key", "f")
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// claimInput is the input of an operation in a recorded history: a call of Acquire
// or of Release.
type claimInput struct {
	owner   int
	release bool
}

// claimModel is the sequential specification: a lock with at most one owner.
var claimModel = porcupine.Model{
	Init: func() any { return -1 },
	Step: func(state, input, output any) (bool, any) {
		in, won := input.(claimInput), output.(bool)
		switch {
		case in.release:
			return state == in.owner, -1
		case won:
			return state == -1, in.owner
		default:
			return state != -1, state
		}
	},
}

func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	kv := &faultyStore{kv: stand.NewKV(), loseEvery: 3}
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	record := func(owner int, in claimInput, run func() bool) bool {
		call := time.Since(began).Nanoseconds()
		won := run()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: owner, Input: in, Output: won, Call: call, Return: time.Since(began).Nanoseconds()})
		return won
	}
	var wg sync.WaitGroup
	for owner := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			claims := claim.New(kv, fmt.Sprint("entry-", owner))
			for range 8 {
				var acquired *claim.Claim
				won := record(owner, claimInput{owner: owner}, func() bool {
					var err error
					acquired, _, err = claims.Acquire(context.Background(), "team", "key", "f")
					return err == nil
				})
				if won {
					record(owner, claimInput{owner: owner, release: true}, func() bool {
						return acquired.Release(context.Background()) == nil
					})
				}
			}
		}()
	}
	wg.Wait()
	require.True(t, porcupine.CheckOperations(claimModel, history))
}

func TestModelRejectsTwoOwners(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: claimInput{owner: 0}, Output: true, Call: 0, Return: 1},
		{ClientId: 1, Input: claimInput{owner: 1}, Output: true, Call: 2, Return: 3},
	}
	require.False(t, porcupine.CheckOperations(claimModel, history), "two owners at the same time")
}
