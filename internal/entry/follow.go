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
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/crash"
	"github.com/lentilstand/lentilstand/pkg/member"
	"github.com/lentilstand/lentilstand/pkg/quorum"
	"github.com/lentilstand/lentilstand/pkg/route"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// How the key-value service is followed.
const (
	// watchWait is how long one watch of the service waits.
	watchWait = 500 * time.Millisecond
	// watchPause is the pause after a watch that failed.
	watchPause = 200 * time.Millisecond
)

// configStore is what following the configuration needs of the key-value
// service.
type configStore interface {
	chain.Reader
	Watch(ctx context.Context, since uint64, wait time.Duration, prefixes ...string) (store.Snapshot, error)
}

// follower keeps the entry's view of the configuration: from the key-value
// service, and from peers.
type follower struct {
	crashes *crashes
	dialer  *link.Dialer
	voter   string
	kv      configStore
	logger  *zap.Logger
	rules   atomic.Pointer[route.Rules]
	askNow  chan struct{}

	mu        sync.Mutex
	node      *quorum.Node
	head      *config.Version
	pending   *config.Version
	members   []member.Member
	kvView    quorum.View
	older     quorum.Terms
	revision  uint64
	reachable bool
	serving   bool
	changed   chan struct{}
}

func newFollower(voter string, kv configStore, found *crashes, dialer *link.Dialer, logger *zap.Logger) *follower {
	return &follower{
		dialer:  dialer,
		crashes: found,
		voter:   voter,
		kv:      kv,
		logger:  logger,
		node:    quorum.NewNode(voter, quorum.DefaultTiming()),
		askNow:  make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// run follows the key-value service until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		snapshot, err := f.kv.Watch(ctx, f.lastRevision(), watchWait, chain.HeadKey, chain.PendingKey, member.Prefix, crash.Prefix)
		if err == nil {
			err = f.observe(ctx, snapshot, sent)
		}
		f.setReachable(err == nil, err)
		f.logStanding()
		if err != nil {
			pauseUnless(ctx, watchPause)
		}
	}
}

// pauseUnless waits unless ctx ends before.
func pauseUnless(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *follower) lastRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// observe takes in what the service showed in answer to a call sent at sent.
func (f *follower) observe(ctx context.Context, snapshot store.Snapshot, sent time.Time) error {
	if snapshot.IsUnchanged() {
		f.mu.Lock()
		view := f.kvView
		f.mu.Unlock()
		return f.adopt(ctx, view, sent)
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
	view := quorum.NewView(head, pending)
	if err := f.adopt(ctx, view, sent); err != nil {
		return err
	}
	f.crashes.update(snapshot)
	members, unreadable := member.List(snapshot)
	for _, key := range unreadable {
		event.PeerUnreadable.Log(f.logger, zap.String("key", key))
	}
	f.mu.Lock()
	f.kvView = view
	f.revision = snapshot.Revision()
	f.members = members
	f.notify()
	f.mu.Unlock()
	return nil
}

// adopt loads the versions of a view that is newer than the known one, and then
// obeys it.
func (f *follower) adopt(ctx context.Context, view quorum.View, at time.Time) error {
	if view.Head().Number() == 0 {
		return chain.ErrNoVersion
	}
	f.mu.Lock()
	newer := view.Terms().NewerThan(f.node.View().Terms())
	known := f.head
	staged := f.pending
	f.mu.Unlock()
	if !newer {
		f.learn(view, nil, nil, at)
		return nil
	}
	head, err := f.load(ctx, view.Head(), known, staged)
	if err != nil {
		return err
	}
	var pending *config.Version
	if view.HasPending() {
		if pending, err = f.load(ctx, view.Pending(), head, head); err != nil {
			return err
		}
	}
	f.learn(view, head, pending, at)
	return nil
}

// load returns the version that a mark names: one of those at hand, or else
// from the service.
func (f *follower) load(ctx context.Context, mark chain.Ref, known ...*config.Version) (*config.Version, error) {
	for _, version := range known {
		if version != nil && version.Number() == mark.Number() && version.Hash() == mark.Hash() {
			return version, nil
		}
	}
	version, err := chain.Load(ctx, f.kv, mark, known[0])
	if err != nil && (eris.Is(err, config.ErrChainBroken) || eris.Is(err, store.ErrNotFound)) {
		event.VersionUnusable.Log(f.logger, zap.Uint64("version", mark.Number()), event.Error(err))
	}
	return version, err
}

// learn gives a view to the node and publishes the rules that follow.
func (f *follower) learn(view quorum.View, head, pending *config.Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, older := f.node.Learn(view, at)
	if older {
		f.logOlder(view)
		return
	}
	if !changed || head == nil {
		return
	}
	f.publish(head, pending)
}

// logOlder logs an older state of the service, once for each that it shows.
// The caller holds the lock.
func (f *follower) logOlder(view quorum.View) {
	if view.Terms() == f.older {
		return
	}
	f.older = view.Terms()
	event.VersionWentBack.Log(f.logger,
		zap.Uint64("known_term", f.node.View().Terms().Newest()),
		zap.Uint64("shown_term", view.Terms().Newest()))
}

// publish makes the versions of a new view the rules. The caller holds the
// lock.
func (f *follower) publish(head, pending *config.Version) {
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
		// Only the voters change, which routing doesn't depend on.
		staged = nil
	}
	rules := route.NewRules(head, staged)
	f.rules.Store(&rules)
	f.node.PruneAcks()
	f.notify()
}

// notify wakes those who wait for a change. The caller holds the lock.
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

// logStanding logs when the entry begins or ends to take new work.
func (f *follower) logStanding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	standing := f.node.ServeState(time.Now())
	if standing.MayServe() == f.serving {
		return
	}
	f.serving = standing.MayServe()
	if f.serving {
		event.VersionFresh.Log(f.logger, zap.String("standing", standing.String()))
	} else {
		event.VersionStale.Log(f.logger, zap.String("standing", standing.String()))
	}
}

// standing returns whether the entry may take new work now.
func (f *follower) standing() quorum.ServeState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.ServeState(time.Now())
}

// currentRules returns the rules to route by, nil if there are none yet.
func (f *follower) currentRules() *route.Rules { return f.rules.Load() }

// refuted takes note that an agent has seen a newer version than the entry
// routes by, which only an accepted version can be.
func (f *follower) refuted() {
	kick(f.askNow)
}

// kick makes a loop that waits on the channel go on at once.
func kick(signal chan struct{}) {
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
