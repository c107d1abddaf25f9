package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// refStore is a configStore in memory.
type refStore struct {
	crashStore
}

func (s *refStore) Watch(_ context.Context, _ store.Position, _ time.Duration, prefixes ...string) (store.Snapshot, error) {
	return s.kv.Read(prefixes), nil
}

// TestVersionOfACutOffPeerIsWrittenAgain guards against an accepted version that the store lacks
// for as long as those are cut off from it that knew the version before the recovery.
func TestVersionOfACutOffPeerIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	s := &refStore{crashStore{kv: stand.NewKV()}}
	newEntry := func(name string) *follower {
		return newFollower(name, s, newCrashTracker(s, zap.NewNop()), &link.Dialer{}, zap.NewNop())
	}
	read := func(f *follower) {
		require.NoError(t, f.handleSnapshot(ctx, s.kv.Read([]string{""}), time.Now()))
	}
	cfg, err := config.Parse("f", []byte(`{"data_centres": [{"name": "a", "region": "r"}]}`))
	require.NoError(t, err)
	first := config.NewFirstVersion(cfg, time.Unix(0, 0))
	require.NoError(t, chain.Init(ctx, s, first, "test"))
	local, cutOff := newEntry("a"), newEntry("b")
	read(local)
	backup := s.kv.Backup()
	patch, err := config.ParsePatch("p", []byte(`{"base": 1, "who": "a", "why": "b", "set": {"data_centres": [{"name": "b", "region": "r"}]}}`))
	require.NoError(t, err)
	second, err := first.ApplyPatch(patch, time.Unix(1, 0))
	require.NoError(t, err)
	require.NoError(t, chain.WriteVersion(ctx, s, second))
	head, err := chain.ReadHead(ctx, s)
	require.NoError(t, err)
	_, err = s.Put(ctx, chain.HeadKey, chain.NewRef(2, 2, second.Hash(), nil, "test").Encode(), head.Revision(), 0)
	require.NoError(t, err)
	read(cutOff)

	s.kv.Recover(backup, stand.KeepLeases)
	read(local)
	require.NoError(t, local.handlePeerState("b", cutOff.peerState(&wirepb.PeerAsk{HeadTerm: 1, Number: 1}), time.Now()))
	require.NoError(t, local.handleSnapshot(ctx, store.Unchanged(s.kv.Read(nil).Position()), time.Now()))
	head, err = chain.ReadHead(ctx, s)
	require.NoError(t, err)
	require.Equal(t, second.Hash(), head.Hash())
}
