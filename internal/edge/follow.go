package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// Timing of watches and of the registration. Store calls are priced, so a watch waits
// as long as the limit on the age of the view permits. A peer with a newer revision
// ends it early.
const (
	// minWatchTimeout and maxWatchTimeout limit how long a watch waits for changes.
	// All watches can miss changes at the same time, for example while the store drops
	// its history, and a watch detects that only when it ends. Entries use different
	// timeouts, because a change wakes all watches together: the first watch to end
	// then soon informs the others.
	minWatchTimeout = 800 * time.Millisecond
	maxWatchTimeout = 4 * time.Second
	// coalesceDelay is the delay after a watch that returned changes, so that the next
	// call returns changes in quick succession together.
	coalesceDelay = 250 * time.Millisecond
	// maxAllWatching is the largest fleet in which every entry watches the store. In a
	// larger one, relayWatchers entries watch it and relay changes to the others.
	maxAllWatching = 8
	relayWatchers  = 6
	// relayTimeout is how long an entry that does not watch the store may go without
	// contact to one that does before it starts to watch.
	relayTimeout = time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 300 * time.Millisecond
	// gapThreshold is the time without a successful call after which leases may have
	// expired unnoticed. It is the shortest lease in use.
	gapThreshold = time.Second
	// memberTTL is the lease of an entry's registration, renewed every memberRenewal.
	memberTTL     = 3 * time.Second
	memberRenewal = time.Second
)

// allKeys is the prefix of every key.
const allKeys = ""

// follower keeps the entry's view of the system up to date with the store.
type follower struct {
	entry *Entry

	mu        sync.Mutex
	state     *mirror.State
	reachable bool
	// lastContact is when the store last responded, here or to an entry that relays it.
	lastContact time.Time
	// gapUntil is when the grace period of registrations that expired in a gap ends.
	gapUntil time.Time
	// cancelWatch cancels the running watch; it is nil while none is running.
	cancelWatch context.CancelFunc
	version     uint64
	evacuated   map[string]bool

	leaseMu      sync.Mutex
	lease        uint64
	deregistered bool
}

func newFollower(e *Entry) *follower {
	return &follower{entry: e, state: mirror.New(platform.Decode)}
}

// run watches the store until ctx ends.
func (f *follower) run(ctx context.Context) {
	synced := false
	for ctx.Err() == nil {
		var err error
		switch {
		case !synced:
			err = f.readAll(ctx)
			synced = err == nil
		case !f.shouldWatch():
			sleep(ctx, helloPeriod)
			continue
		default:
			err = f.watch(ctx)
			if eris.Is(err, platform.ErrHistoryCompacted) {
				synced = false
				continue
			}
		}
		f.setReachable(ctx, err)
		if err != nil {
			synced = false
			sleep(ctx, retryDelay)
		}
	}
}

// hashOrder returns this entry's position among the members, ordered by the hash of
// their names, and the number of members.
func (f *follower) hashOrder() (position, members int) {
	list := f.entry.view.Load().Members()
	own := xxhash.Sum64String(f.entry.settings.Load().Name())
	for _, member := range list {
		if xxhash.Sum64String(member.Name()) < own {
			position++
		}
	}
	return position, len(list)
}

// shouldWatch reports whether this entry watches the store itself. In a small fleet all
// entries do; in a large one those whose names have the lowest hashes do, and any entry
// that has lost contact to those.
func (f *follower) shouldWatch() bool {
	position, members := f.hashOrder()
	return members <= maxAllWatching || position < relayWatchers || f.entry.peers.sinceRelay() > relayTimeout
}

// watchTimeout returns how long this entry's watch waits for changes.
func (f *follower) watchTimeout() time.Duration {
	position, members := f.hashOrder()
	if members > maxAllWatching {
		members = relayWatchers
	}
	if members <= 1 {
		return minWatchTimeout
	}
	fraction := min(1, float64(position)/float64(members-1))
	return minWatchTimeout + time.Duration(fraction*float64(maxWatchTimeout-minWatchTimeout))
}

// readAll reads all keys and replaces the view.
func (f *follower) readAll(ctx context.Context) error {
	snapshot, err := f.entry.store.Read(ctx, allKeys)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	gap := f.inGap(now)
	if !f.state.Replace(snapshot, now, gap) {
		event.VersionWentBack.Log(f.entry.logger, zap.Uint64("known_term", f.state.Revision()), zap.Uint64("shown_term", snapshot.Revision()))
		return eris.New("the store returned an older revision")
	}
	event.PictureTaken.Log(f.entry.logger, zap.String("source", "store"), zap.Uint64("revision", snapshot.Revision()), zap.Bool("after_gap", gap))
	f.lastContact = now
	f.publish("store")
	return nil
}

// inGap reports whether leases may have expired only because the store was unreachable
// or not watched. That holds during such a gap and for mirror.ExpiryGrace after it. The
// caller holds f.mu.
func (f *follower) inGap(now time.Time) bool {
	if !f.lastContact.IsZero() && now.Sub(f.lastContact) > maxWatchTimeout+gapThreshold || !f.reachable && !f.lastContact.IsZero() {
		f.gapUntil = now.Add(mirror.ExpiryGrace)
	}
	return now.Before(f.gapUntil)
}

// watch waits for changes and applies them.
func (f *follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	after := f.state.Revision()
	f.cancelWatch = cancel
	f.mu.Unlock()
	changes, revision, err := f.entry.store.Changes(ctx, allKeys, after, f.watchTimeout())
	if len(changes) > 0 {
		defer sleep(ctx, coalesceDelay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wasCancelled := f.cancelWatch == nil
	f.cancelWatch = nil
	if err != nil {
		if wasCancelled {
			return nil
		}
		return err
	}
	now := time.Now()
	if len(changes) == 0 {
		f.lastContact = now
		f.state.Confirm(now)
		f.entry.view.Store(f.state.View())
		return nil
	}
	f.state.Apply(changes, revision, now, f.inGap(now))
	f.lastContact = now
	f.publish("watch")
	f.entry.peers.broadcast(f.state.Revision())
	return nil
}

// applyUpdate applies what a peer has read from the store.
func (f *follower) applyUpdate(update stateUpdate, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.revision <= f.state.Revision() {
		return
	}
	now := time.Now()
	if update.partial {
		f.state.Apply(update.changes, update.revision, now, f.inGap(now))
	} else {
		f.state.Replace(store.NewSnapshot(update.pairs, update.revision), now, f.inGap(now))
		event.PictureTaken.Log(f.entry.logger, zap.String("source", peer), zap.Uint64("revision", update.revision))
	}
	f.publish(peer)
	if f.cancelWatch != nil {
		// The running watch has missed the peer's changes.
		event.WatchBehind.Log(f.entry.logger, zap.String("peer", peer), zap.Uint64("revision", update.revision))
		f.cancelWatch()
		f.cancelWatch = nil
	}
}

// confirm records that an entry that watches the store has the same revision, so that
// the view is current.
func (f *follower) confirm(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.state.Revision() && f.cancelWatch == nil {
		now := time.Now()
		f.lastContact = now
		f.state.Confirm(now)
		f.entry.view.Store(f.state.View())
	}
}

// isWatching reports whether this entry watches the store and received a response
// recently.
func (f *follower) isWatching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable && f.cancelWatch != nil && time.Since(f.lastContact) < maxWatchTimeout+gapThreshold
}

// publish makes the latest view the entry's. The caller holds f.mu.
func (f *follower) publish(source string) {
	logger := f.entry.logger
	for _, finding := range f.state.DrainFindings() {
		if !eris.Is(finding.Err(), platform.ErrUnknownKey) {
			event.ItemUnreadable.Log(logger, zap.String("key", finding.Key()), event.Error(finding.Err()))
		}
	}
	view := f.state.View()
	if t := view.Table(); t != nil && t.Version() != f.version {
		f.version = t.Version()
		event.TableAdopted.Log(logger, zap.Uint64("version", t.Version()), zap.Uint64("revision", view.Revision()), zap.String("source", source))
	}
	f.logEvacuations(view)
	f.entry.publish(view)
}

// logEvacuations logs the evacuations that began or ended. The caller holds f.mu.
func (f *follower) logEvacuations(view *mirror.View) {
	evacuated := make(map[string]bool)
	view.EachEndpoint(func(endpoint *table.Endpoint) {
		if dataCentre := endpoint.DataCentre(); view.Evacuated(dataCentre) {
			evacuated[dataCentre] = true
		}
	})
	for dataCentre := range evacuated {
		if !f.evacuated[dataCentre] {
			event.EvacuationBegun.Log(f.entry.logger, zap.String("data_centre", dataCentre), zap.Uint64("revision", view.Revision()))
		}
	}
	for dataCentre := range f.evacuated {
		if !evacuated[dataCentre] {
			event.EvacuationEnded.Log(f.entry.logger, zap.String("data_centre", dataCentre), zap.Uint64("revision", view.Revision()))
		}
	}
	f.evacuated = evacuated
}

// expire removes registrations whose grace period has ended.
func (f *follower) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Expire(now) {
		f.publish("grace")
	}
}

// updateSince returns what a peer with a revision is missing.
func (f *follower) updateSince(revision uint64) stateUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes, ok := f.state.ChangesSince(revision); ok {
		return stateUpdate{revision: f.state.Revision(), partial: true, changes: changes}
	}
	return stateUpdate{revision: f.state.Revision(), pairs: f.state.Pairs()}
}

func (f *follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision()
}

func (f *follower) setReachable(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reachable := cause == nil; reachable != f.reachable {
		f.reachable = reachable
		if reachable {
			event.StoreReachable.Log(f.entry.logger, zap.Uint64("revision", f.state.Revision()))
		} else {
			event.StoreUnreachable.Log(f.entry.logger, zap.Uint64("revision", f.state.Revision()), event.Error(cause))
		}
	}
}

// register keeps the entry registered as a member while it is ready.
func (f *follower) register(ctx context.Context) {
	for ctx.Err() == nil {
		f.leaseMu.Lock()
		err := f.renew(ctx)
		f.leaseMu.Unlock()
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		sleep(ctx, memberRenewal)
	}
}

// renew renews the registration's lease, or registers the entry if it has none. The
// caller holds f.leaseMu.
func (f *follower) renew(ctx context.Context) error {
	if f.deregistered || f.entry.NotReadyReason() != "" {
		return nil
	}
	e := f.entry
	if f.lease != 0 {
		err := e.store.KeepAlive(ctx, f.lease)
		if !eris.Is(err, store.ErrLeaseExpired) {
			return err
		}
		event.MemberLost.Log(e.logger, zap.Uint64("lease", f.lease))
		f.lease = 0
	}
	lease, err := e.store.Grant(ctx, memberTTL)
	if err != nil {
		return err
	}
	settings := e.settings.Load()
	key, value := platform.MemberPair(table.NewMember(settings.Name(), settings.DataCentre(), settings.ListenAddress(), settings.PeerAddress()))
	if err := e.store.Write(ctx, key, value, lease); err != nil {
		return err
	}
	f.lease = lease
	event.MemberJoined.Log(e.logger, zap.Uint64("lease", lease))
	return nil
}

// deregisterTimeout limits the call that deregisters an entry.
const deregisterTimeout = time.Second

// deregister revokes the registration's lease, so that directories stop listing the
// entry.
func (f *follower) deregister() {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	f.deregistered = true
	if f.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := f.entry.store.Revoke(ctx, f.lease); err != nil {
		event.StoreUnreachable.Log(f.entry.logger, zap.String("reason", "the registration's lease could not be revoked; it will expire"), event.Error(err))
	}
}
