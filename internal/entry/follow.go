package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/member"
	"github.com/lentilstand/lentilstand/pkg/quorum"
	"github.com/lentilstand/lentilstand/pkg/route"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// Timing of watches on the key-value store.
const (
	// watchWait is how long a single watch call blocks for a change.
	watchWait = 500 * time.Millisecond
	// watchRetryDelay is the pause after a failed watch.
	watchRetryDelay = 200 * time.Millisecond
)

// configStore is the part of the key-value store that the follower uses.
type configStore interface {
	chain.Writer
	Watch(ctx context.Context, since store.Position, wait time.Duration, prefixes ...string) (store.Snapshot, error)
}

// follower maintains the entry's view of the configuration. It learns new versions
// from the key-value store and from peers.
type follower struct {
	crashes *crashTracker
	dialer  *link.Dialer
	voter   string
	kv      configStore
	logger  *zap.Logger
	rules   atomic.Pointer[route.Rules]
	pollNow chan struct{}

	mu      sync.Mutex
	node    *quorum.Node
	head    *config.Version
	pending *config.Version
	members []member.Member
	parts   blame.Tracker
	// shownHead and shownPending are the refs that the store showed last.
	shownHead    chain.Ref
	shownPending chain.Ref
	lastOlder    quorum.Terms
	position     store.Position
	// era is the latest era in which the store had all that the entry knew.
	era       uint64
	reachable bool
	serving   bool
	changed   chan struct{}
}

func newFollower(voter string, kv configStore, tracker *crashTracker, dialer *link.Dialer, logger *zap.Logger) *follower {
	return &follower{
		dialer:  dialer,
		crashes: tracker,
		voter:   voter,
		kv:      kv,
		logger:  logger,
		node:    quorum.NewNode(voter, quorum.DefaultTiming()),
		pollNow: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// run watches the key-value store until ctx is done.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		snapshot, err := f.kv.Watch(ctx, f.lastPosition(), watchWait, chain.HeadKey, chain.PendingKey, member.Prefix, crash.Prefix)
		if err == nil {
			err = f.handleSnapshot(ctx, snapshot, sentAt)
		}
		f.setReachable(err == nil, err)
		f.logServeState()
		if err != nil {
			sleep(ctx, watchRetryDelay)
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// knowsNewer reports whether the entry knows newer refs than those of a view.
func (f *follower) knowsNewer(view quorum.View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.IsNewerThan(view)
}

func (f *follower) lastPosition() store.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// handleSnapshot processes the result of a watch that was sent at sentAt.
func (f *follower) handleSnapshot(ctx context.Context, snapshot store.Snapshot, sentAt time.Time) error {
	defer f.crashes.retryWrites()
	if snapshot.IsUnchanged() {
		f.mu.Lock()
		head, pending := f.shownHead, f.shownPending
		f.mu.Unlock()
		if err := f.restore(ctx, snapshot.Position().Era(), head, pending); err != nil {
			return err
		}
		return f.adoptView(ctx, quorum.NewView(head, pending), sentAt)
	}
	head, err := chain.RefIn(snapshot, chain.HeadKey)
	if err != nil {
		event.VersionUnusable.Log(f.logger, event.Error(err))
		return err
	}
	pending, err := chain.RefIn(snapshot, chain.PendingKey)
	if err != nil {
		event.VersionUnusable.Log(f.logger, event.Error(err))
		return err
	}
	if err := f.restore(ctx, snapshot.Position().Era(), head, pending); err != nil {
		return err
	}
	if err := f.adoptView(ctx, quorum.NewView(head, pending), sentAt); err != nil {
		return err
	}
	f.crashes.update(snapshot)
	members, unreadable := member.List(snapshot)
	for _, key := range unreadable {
		event.PeerUnreadable.Log(f.logger, zap.String("key", key))
	}
	f.mu.Lock()
	f.shownHead, f.shownPending = head, pending
	f.position = snapshot.Position()
	f.members = members
	f.notify()
	f.mu.Unlock()
	return nil
}

// adoptView loads the versions of the view if it is newer than the current one,
// and applies it. At is the time at which the view is known to have been current.
func (f *follower) adoptView(ctx context.Context, view quorum.View, at time.Time) error {
	if view.Head().Number() == 0 {
		return chain.ErrNoVersion
	}
	f.mu.Lock()
	newer := view.Terms().NewerThan(f.node.View().Terms())
	known := f.head
	staged := f.pending
	f.mu.Unlock()
	if !newer {
		f.learnView(view, nil, nil, at)
		return nil
	}
	head, err := f.loadVersion(ctx, view.Head(), known, staged)
	if err != nil {
		return err
	}
	var pending *config.Version
	if view.HasPending() {
		if pending, err = f.loadVersion(ctx, view.Pending(), head, head); err != nil {
			return err
		}
	}
	f.learnView(view, head, pending, at)
	return nil
}

// loadVersion returns the version that a ref points to, from the known versions
// or the key-value store.
func (f *follower) loadVersion(ctx context.Context, ref chain.Ref, known ...*config.Version) (*config.Version, error) {
	for _, version := range known {
		if version != nil && version.Number() == ref.Number() && version.Hash() == ref.Hash() {
			return version, nil
		}
	}
	version, err := chain.Load(ctx, f.kv, ref, known[0])
	if err != nil && (eris.Is(err, config.ErrChainBroken) || eris.Is(err, store.ErrNotFound)) {
		event.VersionUnusable.Log(f.logger, zap.Uint64("version", ref.Number()), event.Error(err))
	}
	return version, err
}

// learnView passes the view to the quorum node and publishes new routing rules if
// the view has changed.
func (f *follower) learnView(view quorum.View, head, pending *config.Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(view, head, pending, at)
}

// learn is learnView for a caller that holds f.mu. It reports whether the view has changed.
func (f *follower) learn(view quorum.View, head, pending *config.Version, at time.Time) bool {
	changed, older := f.node.Learn(view, at)
	if older {
		f.logRollback(view)
		return false
	}
	if !changed || head == nil {
		return false
	}
	f.publishRules(head, pending)
	return true
}

// logRollback logs that the key-value store returned an older state than the
// entry has seen, once for each such state. The caller must hold f.mu.
func (f *follower) logRollback(view quorum.View) {
	if view.Terms() == f.lastOlder {
		return
	}
	f.lastOlder = view.Terms()
	event.VersionWentBack.Log(f.logger,
		zap.Uint64("known_term", f.node.View().Terms().Newest()),
		zap.Uint64("shown_term", view.Terms().Newest()))
}

// publishRules updates the routing rules to the versions of a new view. The caller
// must hold f.mu.
func (f *follower) publishRules(head, pending *config.Version) {
	if f.head == nil || f.head.Hash() != head.Hash() {
		event.VersionAdopted.Log(f.logger, zap.Uint64("version", head.Number()), zap.String("hash", head.Hash()))
	}
	if pending != nil && pending.Hash() != head.Hash() {
		event.VersionPending.Log(f.logger, zap.Uint64("version", pending.Number()), zap.String("hash", pending.Hash()))
	}
	if f.pending != nil && pending == nil && f.pending.Hash() != head.Hash() {
		event.VersionDropped.Log(f.logger, zap.Uint64("version", f.pending.Number()))
	}
	f.head, f.pending = head, pending
	staged := pending
	if staged != nil && staged.Hash() == head.Hash() {
		// Only the voters differ, and routing doesn't depend on them.
		staged = nil
	}
	rules := route.NewRules(head, staged)
	f.rules.Store(&rules)
	f.node.PruneAcks()
	f.notify()
}

// notify closes the channel returned by changes. The caller must hold f.mu.
func (f *follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *follower) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *follower) setReachable(reachable bool, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reachable == f.reachable {
		return
	}
	f.reachable = reachable
	if reachable {
		event.StoreReachable.Log(f.logger)
		f.notify()
		return
	}
	event.StoreUnreachable.Log(f.logger, event.Error(cause))
}

// logServeState logs when the entry starts or stops accepting new requests.
func (f *follower) logServeState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.node.ServeState(time.Now())
	if state.MayServe() == f.serving {
		return
	}
	f.serving = state.MayServe()
	if f.serving {
		event.VersionFresh.Log(f.logger, zap.String("standing", state.String()))
	} else {
		event.VersionStale.Log(f.logger, zap.String("standing", state.String()))
	}
}

// serveState returns whether the entry may accept new requests now.
func (f *follower) serveState() quorum.ServeState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.ServeState(time.Now())
}

// currentRules returns the routing rules, or nil before the first configuration
// is known.
func (f *follower) currentRules() *route.Rules { return f.rules.Load() }

// pollPeersNow polls the peers immediately. It is called when an agent has seen a
// newer version than this entry routes by, which must be an accepted one.
func (f *follower) pollPeersNow() {
	wake(f.pollNow)
}

// wake signals the loop that waits on the channel, without blocking.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (f *follower) memberList() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

func (f *follower) reportVersion(report func(n int64, value string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report(int64(f.node.View().Head().Number()), "head")
	report(int64(f.node.View().Pending().Number()), "pending")
}

func (f *follower) fillStatus(status *Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	view := f.node.View()
	status.ServeState = f.node.ServeState(now).String()
	status.Version = view.Head().Number()
	status.Hash = view.Head().Hash()
	status.Pending = view.Pending().Number()
	status.AgeMS = min(f.node.ViewAge(now), 24*time.Hour).Milliseconds()
	status.Voters = view.Head().Voters()
	for _, m := range f.members {
		status.Members = append(status.Members, StatusMember{
			Name:       m.Name(),
			DataCentre: m.DataCentre(),
			Address:    m.ClientAddress(),
			Version:    m.Version(),
			Behind:     m.Version() < view.Head().Number(),
			Leaving:    m.Leaving(),
			Voter:      slices.Contains(view.Head().Voters(), m.Voter()),
		})
	}
}
