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

// How the store is followed. Each call is priced, so a watch waits as long as the
// bound on news allows; peers that have read more end it early.
const (
	// shortestWait and longestWait are how long a watch waits. All watches can hear
	// nothing at once, for example while the store drops its history, and a call shows
	// that only at its end. Changes wake all watches together, so the entries' waits
	// differ: the first one's end soon tells the others.
	shortestWait = 800 * time.Millisecond
	longestWait  = 4 * time.Second
	// coalesce is the pause after a watch that showed changes: others that follow
	// closely come with the next call.
	coalesce = 250 * time.Millisecond
	// maxWatchers is up to how many members all watch the store. In a larger fleet
	// relayWatchers of them do, and tell the others.
	maxWatchers   = 8
	relayWatchers = 6
	// relaySilence is how long an entry that doesn't watch may hear of none that does
	// before it watches for itself.
	relaySilence = time.Second
	// storePause is the pause after a call that failed.
	storePause = 300 * time.Millisecond
	// gapAfter is the time without a successful call after which entries may have
	// lapsed unseen: the shortest lease there is.
	gapAfter = time.Second
	// memberTTL is the lease of an entry's registration, renewed each memberRenewal.
	memberTTL     = 3 * time.Second
	memberRenewal = time.Second
)

// everything is the prefix of all keys.
const everything = ""

// follower keeps the entry's picture of the system.
type follower struct {
	entry *Entry

	mu        sync.Mutex
	state     *mirror.State
	reachable bool
	lastHeard time.Time
	gapUntil  time.Time
	cutWatch  context.CancelFunc
	version   uint64
	evacuated map[string]bool

	leaseMu sync.Mutex
	lease   uint64
	gone    bool
}

func newFollower(e *Entry) *follower {
	return &follower{entry: e, state: mirror.New(platform.Decode)}
}

// run follows the store until ctx ends.
func (f *follower) run(ctx context.Context) {
	fresh := false
	for ctx.Err() == nil {
		var err error
		switch {
		case !fresh:
			err = f.readAll(ctx)
			fresh = err == nil
		case !f.watches():
			pause(ctx, helloPeriod)
			continue
		default:
			err = f.watch(ctx)
			if eris.Is(err, platform.ErrHistoryGone) {
				fresh = false
				continue
			}
		}
		f.setReachable(ctx, err)
		if err != nil {
			fresh = false
			pause(ctx, storePause)
		}
	}
}

// place returns this entry's place among the members, in the order of their
// names' hashes, and how many they are.
func (f *follower) place() (place, members int) {
	list := f.entry.picture.Load().Members()
	own := xxhash.Sum64String(f.entry.settings.Load().Name())
	for _, member := range list {
		if xxhash.Sum64String(member.Name()) < own {
			place++
		}
	}
	return place, len(list)
}

// watches reports whether this entry watches the store itself: in a small fleet
// all do, in a large one those whose names hash lowest, and whoever hears of none
// that does.
func (f *follower) watches() bool {
	place, members := f.place()
	return members <= maxWatchers || place < relayWatchers || f.entry.peers.sinceRelay() > relaySilence
}

// wait returns how long this entry's watch waits.
func (f *follower) wait() time.Duration {
	place, members := f.place()
	if members > maxWatchers {
		members = relayWatchers
	}
	if members <= 1 {
		return shortestWait
	}
	share := min(1, float64(place)/float64(members-1))
	return shortestWait + time.Duration(share*float64(longestWait-shortestWait))
}

// readAll reads everything and replaces the picture.
func (f *follower) readAll(ctx context.Context) error {
	snapshot, err := f.entry.store.Read(ctx, everything)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	gap := f.inGap(now)
	if !f.state.Replace(snapshot, now, gap) {
		event.VersionWentBack.Log(f.entry.logger, zap.Uint64("known_term", f.state.Revision()), zap.Uint64("shown_term", snapshot.Revision()))
		return eris.New("the store showed an older state")
	}
	event.PictureTaken.Log(f.entry.logger, zap.String("source", "store"), zap.Uint64("revision", snapshot.Revision()), zap.Bool("after_gap", gap))
	f.lastHeard = now
	f.publish("store")
	return nil
}

// inGap reports whether entries may have lapsed unseen, now and for a while after
// the store is back. The caller holds the lock.
func (f *follower) inGap(now time.Time) bool {
	if !f.lastHeard.IsZero() && now.Sub(f.lastHeard) > longestWait+gapAfter || !f.reachable && !f.lastHeard.IsZero() {
		f.gapUntil = now.Add(mirror.ExpiryGrace)
	}
	return now.Before(f.gapUntil)
}

// watch waits for changes and takes them in.
func (f *follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	after := f.state.Revision()
	f.cutWatch = cancel
	f.mu.Unlock()
	changes, revision, err := f.entry.store.Changes(ctx, everything, after, f.wait())
	if len(changes) > 0 {
		defer pause(ctx, coalesce)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wasCut := f.cutWatch == nil
	f.cutWatch = nil
	if err != nil {
		if wasCut {
			return nil
		}
		return err
	}
	now := time.Now()
	if len(changes) == 0 {
		f.lastHeard = now
		f.state.Confirm(now)
		f.entry.picture.Store(f.state.View())
		return nil
	}
	f.state.Apply(changes, revision, now, f.inGap(now))
	f.lastHeard = now
	f.publish("watch")
	f.entry.peers.tellAll(f.state.Revision())
	return nil
}

// learn takes in what a peer has read of the store: changes since the known
// revision, or everything.
func (f *follower) learn(news news, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if news.revision <= f.state.Revision() {
		return
	}
	now := time.Now()
	if news.partial {
		f.state.Apply(news.changes, news.revision, now, f.inGap(now))
	} else {
		f.state.Replace(store.NewSnapshot(news.pairs, news.revision), now, f.inGap(now))
		event.PictureTaken.Log(f.entry.logger, zap.String("source", peer), zap.Uint64("revision", news.revision))
	}
	f.publish(peer)
	if f.cutWatch != nil {
		// The watch has missed what the peer has read.
		event.WatchBehind.Log(f.entry.logger, zap.String("peer", peer), zap.Uint64("revision", news.revision))
		f.cutWatch()
		f.cutWatch = nil
	}
}

// relayed takes note that an entry which watches has read nothing newer.
func (f *follower) relayed(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.state.Revision() && f.cutWatch == nil {
		now := time.Now()
		f.lastHeard = now
		f.state.Confirm(now)
		f.entry.picture.Store(f.state.View())
	}
}

// isWatching reports whether this entry's watch was answered lately.
func (f *follower) isWatching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable && f.cutWatch != nil && time.Since(f.lastHeard) < longestWait+gapAfter
}

// publish makes the newest picture the entry's. The caller holds the lock.
func (f *follower) publish(source string) {
	logger := f.entry.logger
	for _, finding := range f.state.DrainFindings() {
		if !eris.Is(finding.Err(), platform.ErrForeign) {
			event.ItemUnreadable.Log(logger, zap.String("key", finding.Key()), event.Error(finding.Err()))
		}
	}
	picture := f.state.View()
	if t := picture.Table(); t != nil && t.Version() != f.version {
		f.version = t.Version()
		event.TableAdopted.Log(logger, zap.Uint64("version", t.Version()), zap.Uint64("revision", picture.Revision()), zap.String("source", source))
	}
	f.logEvacuations(picture)
	f.entry.publish(picture)
}

// logEvacuations logs what begins and ends. The caller holds the lock.
func (f *follower) logEvacuations(picture *mirror.View) {
	evacuated := make(map[string]bool)
	picture.EachEndpoint(func(endpoint *table.Endpoint) {
		if dataCentre := endpoint.DataCentre(); picture.Evacuated(dataCentre) {
			evacuated[dataCentre] = true
		}
	})
	for dataCentre := range evacuated {
		if !f.evacuated[dataCentre] {
			event.EvacuationBegun.Log(f.entry.logger, zap.String("data_centre", dataCentre), zap.Uint64("revision", picture.Revision()))
		}
	}
	for dataCentre := range f.evacuated {
		if !evacuated[dataCentre] {
			event.EvacuationEnded.Log(f.entry.logger, zap.String("data_centre", dataCentre), zap.Uint64("revision", picture.Revision()))
		}
	}
	f.evacuated = evacuated
}

// expire ends grace periods.
func (f *follower) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Expire(now) {
		f.publish("grace")
	}
}

// since returns what a peer lacks that knows everything up to a revision.
func (f *follower) since(revision uint64) news {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes, ok := f.state.ChangesSince(revision); ok {
		return news{revision: f.state.Revision(), partial: true, changes: changes}
	}
	return news{revision: f.state.Revision(), pairs: f.state.Pairs()}
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

// register keeps the entry registered as a member while it serves.
func (f *follower) register(ctx context.Context) {
	for ctx.Err() == nil {
		f.leaseMu.Lock()
		err := f.keep(ctx)
		f.leaseMu.Unlock()
		if err != nil {
			pause(ctx, storePause)
			continue
		}
		pause(ctx, memberRenewal)
	}
}

// keep renews the registration, or makes it. The caller holds the lease's lock.
func (f *follower) keep(ctx context.Context) error {
	if f.gone || f.entry.Ready() != "" {
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
	key, value := platform.MemberPair(table.NewMember(settings.Name(), settings.DataCentre(), settings.Listen(), settings.Peer()))
	if err := e.store.Write(ctx, key, value, lease); err != nil {
		return err
	}
	f.lease = lease
	event.MemberJoined.Log(e.logger, zap.Uint64("lease", lease))
	return nil
}

// leaveTimeout bounds the calls that deregister an entry.
const leaveTimeout = time.Second

// deregister ends the registration, so that callers are told other entries.
func (f *follower) deregister() {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	f.gone = true
	if f.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := f.entry.store.Revoke(ctx, f.lease); err != nil {
		event.StoreUnreachable.Log(f.entry.logger, zap.String("reason", "the registration couldn't be ended; it lapses"), event.Error(err))
	}
}
