package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/quorum"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// restore writes the versions and refs that the entry knows again if the store has recovered
// from a copy that lacks them. Head and pending are the refs that the store shows in an era.
// What a peer knew from an earlier era counts as its own.
//
// The refs are written on condition of those that were shown, so that of several entries one
// writes them, and none replaces a ref that it hasn't seen. Within an era nothing is written:
// an older state is then one that lags behind the store, or a fault of the store, and the entry
// only refuses to go back.
func (f *follower) restore(ctx context.Context, era uint64, head, pending chain.Ref) error {
	f.mu.Lock()
	known, versions, isLater := f.node.View(), []*config.Version{f.head, f.pending}, era > f.era
	isLost := f.node.IsNewerThan(quorum.NewView(head, pending))
	f.mu.Unlock()
	if !isLater {
		return nil
	}
	// A version may be lost though its ref isn't: the head that names it may have been written
	// after the recovery.
	for _, version := range versions {
		if version == nil {
			continue
		}
		if err := chain.Restore(ctx, f.kv, version); err != nil {
			return err
		}
	}
	if !isLost {
		f.mu.Lock()
		f.era = era
		f.mu.Unlock()
		return nil
	}
	event.VersionRestored.Log(f.logger, zap.Uint64("version", known.Head().Number()), zap.Uint64("era", era),
		zap.Uint64("known_term", known.Terms().Newest()), zap.Uint64("shown_term", max(head.Term(), pending.Term())))
	// The staged ref goes first: a head alone would be older than what the entries know.
	if known.HasPending() && known.Pending().Term() > pending.Term() {
		if err := f.restoreRef(ctx, chain.PendingKey, known.Pending(), pending); err != nil {
			return err
		}
	}
	if known.Head().Term() > head.Term() {
		return f.restoreRef(ctx, chain.HeadKey, known.Head(), head)
	}
	return nil
}

// restoreRef writes a ref in place of the one that the store shows. After a conflict the watch
// shows what another entry has written.
func (f *follower) restoreRef(ctx context.Context, key string, ref, shown chain.Ref) error {
	_, err := f.kv.Put(ctx, key, ref.Encode(), shown.Revision(), 0)
	if eris.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
