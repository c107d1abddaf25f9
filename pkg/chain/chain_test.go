package chain_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// countingStore is an in-memory key-value service that counts the bytes of the
// values that are read.
type countingStore struct {
	kv        *stand.KV
	bytesRead int
}

func (s *countingStore) Read(_ context.Context, prefixes ...string) (store.Snapshot, error) {
	snapshot := s.kv.Read(prefixes)
	for _, pair := range snapshot.Pairs() {
		s.bytesRead += len(pair.Value())
	}
	return snapshot, nil
}

func (s *countingStore) Put(_ context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	return s.kv.Put(key, value, expect, lease)
}

func (s *countingStore) Delete(_ context.Context, key string, expect uint64) error {
	return s.kv.Delete(key, expect)
}

// writeHistory writes versions up to last. It returns a reference to the last one and
// all versions by number.
func writeHistory(t *testing.T, s *countingStore, last uint64) (chain.Ref, []*config.Version) {
	ctx := context.Background()
	cfg, err := config.Parse("f", []byte(`{"data_centres": [{"name": "a", "region": "r"}]}`))
	require.NoError(t, err)
	version := config.NewFirstVersion(cfg, time.Unix(0, 0))
	require.NoError(t, chain.Init(ctx, s, version, "test"))
	require.ErrorIs(t, chain.Init(ctx, s, version, "test"), store.ErrConflict)
	versions := []*config.Version{nil, version}
	for number := uint64(1); number < last; number++ {
		text := fmt.Sprintf(`{"base": %d, "who": "a", "why": "b", "set": {"data_centres": [{"name": "dc-%d", "region": "r"}]}}`, number, number)
		patch, err := config.ParsePatch("p", []byte(text))
		require.NoError(t, err)
		version, err = version.ApplyPatch(patch, time.Unix(int64(number), 0))
		require.NoError(t, err)
		require.NoError(t, chain.WriteVersion(ctx, s, version))
		versions = append(versions, version)
	}
	return chain.NewRef(last, last, version.Hash(), nil, "test"), versions
}

func TestLoad(t *testing.T) {
	ctx := context.Background()
	s := &countingStore{kv: stand.NewKV()}
	head, versions := writeHistory(t, s, 150)
	fresh, err := chain.Load(ctx, s, head, nil)
	require.NoError(t, err)
	require.Equal(t, versions[150].Hash(), fresh.Hash())

	s.bytesRead = 0
	next, err := chain.Load(ctx, s, head, versions[149])
	require.NoError(t, err)
	require.Equal(t, versions[150].Hash(), next.Hash())
	require.Less(t, s.bytesRead, 600, "only one record is read")

	for _, number := range []uint64{1, 2, 64, 65, 66, 128, 129, 150} {
		version, err := chain.VersionAt(ctx, s, head, number)
		require.NoError(t, err, number)
		require.Equal(t, versions[number].Hash(), version.Hash())
	}
	_, err = chain.VersionAt(ctx, s, head, 151)
	require.Error(t, err)
}

func TestLoadFromARejectedVersion(t *testing.T) {
	ctx := context.Background()
	s := &countingStore{kv: stand.NewKV()}
	head, versions := writeHistory(t, s, 5)
	patch, err := config.ParsePatch("p", []byte(`{"base": 4, "who": "x", "why": "y", "set": {"data_centres": [{"name": "other", "region": "r"}]}}`))
	require.NoError(t, err)
	rejected, err := versions[4].ApplyPatch(patch, time.Unix(9, 0))
	require.NoError(t, err)
	require.NoError(t, chain.WriteVersion(ctx, s, rejected))
	loaded, err := chain.Load(ctx, s, head, rejected)
	require.NoError(t, err)
	require.Equal(t, versions[5].Hash(), loaded.Hash())
}

func TestForgedRecordIsDetected(t *testing.T) {
	ctx := context.Background()
	s := &countingStore{kv: stand.NewKV()}
	head, versions := writeHistory(t, s, 5)
	key := chain.RecordKey(3, versions[3].Hash())
	pair, ok := s.kv.Read([]string{key}).Get(key)
	require.True(t, ok)
	forged := versions[4].Record().Encode()
	_, err := s.kv.Put(key, forged, pair.Revision(), 0)
	require.NoError(t, err)
	_, err = chain.Load(ctx, s, head, nil)
	require.ErrorIs(t, err, config.ErrChainBroken)
}

// TestRestoredVersionIsLoadedWithoutItsHistory guards against versions after a lost one that
// nobody can load.
func TestRestoredVersionIsLoadedWithoutItsHistory(t *testing.T) {
	ctx := context.Background()
	s := &countingStore{kv: stand.NewKV()}
	head, versions := writeHistory(t, s, 9)
	for number := uint64(4); number <= 7; number++ {
		key := chain.RecordKey(number, versions[number].Hash())
		pair, _ := s.kv.Read([]string{key}).Get(key)
		require.NoError(t, s.kv.Delete(key, pair.Revision()))
	}
	_, err := chain.Load(ctx, s, head, nil)
	require.ErrorIs(t, err, config.ErrChainBroken)
	require.NoError(t, chain.Restore(ctx, s, versions[7]))
	for _, from := range []*config.Version{nil, versions[5], versions[8]} {
		loaded, err := chain.Load(ctx, s, head, from)
		require.NoError(t, err)
		require.Equal(t, versions[9].Hash(), loaded.Hash())
	}
	for _, number := range []uint64{7, 8, 9} {
		version, err := chain.VersionAt(ctx, s, head, number)
		require.NoError(t, err, number)
		require.Equal(t, versions[number].Hash(), version.Hash())
	}
	_, err = chain.VersionAt(ctx, s, head, 5)
	require.ErrorIs(t, err, config.ErrChainBroken, "what nobody has written again is said to be missing")
}
