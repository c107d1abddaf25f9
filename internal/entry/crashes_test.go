package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// crashStore is a crash.Store in memory that can be unavailable.
type crashStore struct {
	kv   *stand.KV
	down atomic.Bool
}

func (s *crashStore) err() error {
	if s.down.Load() {
		return store.ErrUnavailable
	}
	return nil
}

func (s *crashStore) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	return s.kv.Read(prefixes), s.err()
}

func (s *crashStore) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.kv.Put(key, value, expect, lease)
}

func (s *crashStore) Delete(_ context.Context, key string, expect uint64) error {
	if err := s.err(); err != nil {
		return err
	}
	return s.kv.Delete(key, expect)
}

func (s *crashStore) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	return s.kv.Grant(ttl), s.err()
}

// TestCrashesDuringAnOutageReachOtherEntries guards against a request that crashes endpoints
// being known to one entry only, because the store was away at that moment.
func TestCrashesDuringAnOutageReachOtherEntries(t *testing.T) {
	s := &crashStore{kv: stand.NewKV()}
	local, other := newCrashTracker(s, zap.NewNop()), newCrashTracker(s, zap.NewNop())
	s.down.Store(true)
	local.reportCrash("deadly", true)
	require.Equal(t, crash.Blocked, local.state("deadly"))
	s.down.Store(false)
	local.retryWrites()
	require.Eventually(t, func() bool {
		other.update(s.kv.Read([]string{crash.Prefix}))
		return other.state("deadly") == crash.Blocked
	}, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { local.mu.RLock(); defer local.mu.RUnlock(); return len(local.local) == 0 }, time.Second, time.Millisecond)
}

// TestUnwrittenCrashesAreBounded guards against memory that grows, and requests that stay
// isolated, with each crash that can't be written.
func TestUnwrittenCrashesAreBounded(t *testing.T) {
	s := &crashStore{kv: stand.NewKV()}
	s.down.Store(true)
	c := newCrashTracker(s, zap.NewNop())
	c.reportCrash("deadly", true)
	for n := range 2 * maxLocalCrashes {
		c.reportCrash(fmt.Sprint("bystander ", n), false)
	}
	require.LessOrEqual(t, len(c.local), maxLocalCrashes)
	require.Equal(t, crash.Blocked, c.state("deadly"))
}

// TestOlderSnapshotKeepsWrittenCrashes guards against a blocked request that runs because the
// answer to an earlier read of the store arrives after the write of its crash.
func TestOlderSnapshotKeepsWrittenCrashes(t *testing.T) {
	s := &crashStore{kv: stand.NewKV()}
	c := newCrashTracker(s, zap.NewNop())
	older := s.kv.Read([]string{crash.Prefix})
	c.reportCrash("deadly", true)
	c.update(older)
	require.Equal(t, crash.Blocked, c.state("deadly"))
	c.update(s.kv.Read([]string{crash.Prefix}))
	require.Equal(t, crash.Blocked, c.state("deadly"))
}

// TestCrashesLostInARecoveryAreWrittenAgain guards against a deadly request that runs again
// because the store has recovered from a copy without its crash, and against one that is
// blocked because each entry counts its crash once more.
func TestCrashesLostInARecoveryAreWrittenAgain(t *testing.T) {
	s := &crashStore{kv: stand.NewKV()}
	entries := []*crashTracker{newCrashTracker(s, zap.NewNop()), newCrashTracker(s, zap.NewNop()), newCrashTracker(s, zap.NewNop()), newCrashTracker(s, zap.NewNop())}
	updateAll := func() {
		for _, c := range entries {
			c.update(s.kv.Read([]string{crash.Prefix}))
			c.retryWrites()
		}
	}
	backup := s.kv.Backup()
	entries[0].reportCrash("deadly", true)
	entries[0].reportCrash("bystander", false)
	updateAll()
	s.kv.Recover(backup, stand.KeepLeases)
	for n := range 20 {
		_, err := s.kv.Put(fmt.Sprint("other/", n), nil, 0, 0)
		require.NoError(t, err)
	}
	updateAll()
	for _, c := range entries {
		require.Equal(t, crash.Blocked, c.state("deadly"))
		require.Equal(t, crash.Isolated, c.state("bystander"))
	}
	later := newCrashTracker(s, zap.NewNop())
	require.Eventually(t, func() bool {
		later.update(s.kv.Read([]string{crash.Prefix}))
		return later.state("deadly") == crash.Blocked && later.state("bystander") == crash.Isolated
	}, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	updateAll()
	require.Equal(t, crash.Isolated, entries[0].state("bystander"), "a crash counts once")
}

// TestRemovedCrashIsForgottenAfterARecovery guards against a record of an earlier era that stays
// because its revision is higher than the store's.
func TestRemovedCrashIsForgottenAfterARecovery(t *testing.T) {
	s := &crashStore{kv: stand.NewKV()}
	first, second := newCrashTracker(s, zap.NewNop()), newCrashTracker(s, zap.NewNop())
	first.reportCrash("cleared", false)
	backup := s.kv.Backup()
	for n := range 20 {
		_, err := s.kv.Put(fmt.Sprint("other/", n), nil, 0, 0)
		require.NoError(t, err)
	}
	first.reportCrash("cleared", false)
	second.update(s.kv.Read([]string{crash.Prefix}))
	s.kv.Recover(backup, stand.KeepLeases)
	second.update(s.kv.Read([]string{crash.Prefix}))
	second.retryWrites()
	require.Eventually(t, func() bool {
		second.update(s.kv.Read([]string{crash.Prefix}))
		second.mu.RLock()
		defer second.mu.RUnlock()
		return len(second.lost) == 0
	}, time.Second, time.Millisecond)
	first.clear("cleared")
	second.update(s.kv.Read([]string{crash.Prefix}))
	require.Equal(t, crash.Clear, second.state("cleared"))
}
