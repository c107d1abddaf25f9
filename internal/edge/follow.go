package edge

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/fresh"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// Timing of watches. Every call to the store is charged, so a
// watch waits as long as the limit on the age of the view permits. A peer with a newer
// revision ends it early.
const (
	// minWatchTimeout and maxWatchTimeout limit how long a watch waits for changes.
	// All watches can miss changes at the same time, for example while the store drops
	// its history, and a watch detects that only when it ends. A change ends all
	// watches at once, so that with equal timeouts the next ones would also end at
	// once. Entries therefore use different timeouts: the first watch that ends detects
	// the missed change, and its entry informs the others.
	minWatchTimeout = 800 * time.Millisecond
	maxWatchTimeout = 4 * time.Second
	// coalesceDelay is the delay after a watch that returned changes, so that the next
	// call returns changes in quick succession together.
	coalesceDelay = 250 * time.Millisecond
	// maxAllWatching is the largest fleet in which every entry watches the store. In a
	// larger one, relayWatchers entries watch it and relay changes to the others.
	maxAllWatching = 8
	relayWatchers  = 6
	// retryDelay is the delay after a failed call.
	retryDelay = 300 * time.Millisecond
	// gapThreshold is the time without a successful call after which leases may have
	// expired unnoticed, in addition to the longest watch. It is the shortest lease in
	// use.
	gapThreshold = time.Second
)

// maxLoggedKeys limits the keys in a log entry.
const maxLoggedKeys = 8

// allKeys is the prefix of every key.
const allKeys = ""

// storeSyncer keeps the entry's view of the system up to date with the store.
type storeSyncer struct {
	entry *Entry

	// evidence tells how recently the view was current, whoever asked the store.
	evidence *fresh.Tracker

	mu    sync.Mutex
	state *mirror.State
	// reachable is set if the store answered this entry's last call.
	reachable bool
	// disconnected is set while there is no evidence since a call of this entry has failed.
	disconnected bool
	// lastContact is when the store last answered this entry, or the moment of the evidence
	// that another entry has passed on.
	lastContact time.Time
	// expiryGraceUntil is the end of the grace period after the last gap; see graceUntil.
	expiryGraceUntil time.Time
	// cancelWatch cancels the running watch. It is nil while none is running and after
	// the running one was cancelled.
	cancelWatch context.CancelFunc
	// loggedVersion and loggedEvacuations are the table version and the evacuated data
	// centres that were last logged.
	loggedVersion     uint64
	loggedEvacuations map[string]bool
	// loggedIgnored are the endpoints that were last logged as ignored, with the reason.
	loggedIgnored map[string]string
	// loggedHeld are the keys that were last logged as held.
	loggedHeld []string

	asks meter.Counter
	// older counts the answers of the store that were older than the view, by call.
	older meter.Counter
}

func newStoreSyncer(e *Entry) *storeSyncer {
	s := &storeSyncer{entry: e, state: mirror.New(platform.Decode), evidence: fresh.New(askSpread)}
	s.applySettings(e.settings.Load())
	return s
}

// applySettings tells the view which addresses are this entry's, and the data centres.
func (s *storeSyncer) applySettings(settings *prefs.Edge) {
	var own []netip.AddrPort
	for _, text := range []string{
		settings.ListenAddress(), settings.ReadyAddress(), settings.DirectoryAddress(), settings.AdminAddress(), settings.PeerAddress(),
	} {
		if address, err := netip.ParseAddrPort(text); err == nil {
			own = append(own, address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetSite(own, settings.DataCentres())
}

// run watches the store until ctx ends.
func (s *storeSyncer) run(ctx context.Context) {
	synced := false
	for ctx.Err() == nil {
		var err error
		switch {
		case !synced || s.shouldWatch() && s.isEraNew():
			err = s.readAll(ctx)
			synced = err == nil
		case !s.shouldWatch():
			sleep(ctx, helloPeriod)
			continue
		default:
			err = s.watch(ctx)
			if eris.Is(err, platform.ErrHistoryCompacted) {
				event.HistoryMissing.Log(s.entry.logger, zap.Uint64("revision", s.position().Revision()), zap.Uint64("era", s.entry.store.Era()))
				synced = false
				continue
			}
		}
		s.setReachable(ctx, err)
		if err != nil {
			synced = false
			sleep(ctx, retryDelay)
		}
	}
}

// hashOrder returns this entry's position among the members that are alive, ordered by the hash
// of their names, and the number of these members. A store that has lost leases in a recovery may
// list members that have gone for good.
func (s *storeSyncer) hashOrder() (position, members int) {
	list := s.entry.peers.alive(s.entry.view.Load().Members())
	own := xxhash.Sum64String(s.entry.settings.Load().Name())
	for _, member := range list {
		if xxhash.Sum64String(member.Name()) < own {
			position++
		}
	}
	return position, len(list)
}

// shouldWatch reports whether this entry watches the store itself. In a small fleet all
// entries do; in a large one those whose names have the lowest hashes do.
func (s *storeSyncer) shouldWatch() bool {
	position, members := s.hashOrder()
	return members <= maxAllWatching || position < relayWatchers
}

// watchTimeout returns how long this entry's watch waits for changes.
func (s *storeSyncer) watchTimeout() time.Duration {
	position, members := s.hashOrder()
	if members > maxAllWatching {
		members = relayWatchers
	}
	if members <= 1 {
		return minWatchTimeout
	}
	fraction := min(1, float64(position)/float64(members-1))
	return minWatchTimeout + time.Duration(fraction*float64(maxWatchTimeout-minWatchTimeout))
}

// isEraNew reports whether the store has begun an era of which the view has nothing yet.
func (s *storeSyncer) isEraNew() bool { return s.entry.store.Era() > s.position().Era() }

// readAll reads all keys and replaces the view.
func (s *storeSyncer) readAll(ctx context.Context) error {
	sentAt := time.Now()
	snapshot, err := s.entry.store.Read(ctx, allKeys)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.replace(snapshot, "store", now) {
		s.reportOlder("read", s.state.Position(), snapshot.Position())
		return eris.New("the store returned an older revision")
	}
	s.lastContact, s.disconnected = now, false
	s.confirm(snapshot.Position(), fresh.Seen(sentAt))
	return nil
}

// reportOlder logs and counts an answer of the store that is older than the view.
func (s *storeSyncer) reportOlder(call string, known, shown store.Position) {
	s.older.Add(1, call)
	event.VersionWentBack.Log(s.entry.logger, zap.Uint64("known_term", known.Revision()), zap.Uint64("shown_term", shown.Revision()),
		zap.String("call", call), zap.Uint64("era", s.entry.store.Era()))
}

// observeEra logs a change of the era that the store names, and ends the watch if the era is new:
// it waits for changes after a revision that the store may give out again.
func (s *storeSyncer) observeEra(known uint64, shown, call string) {
	isNew := s.entry.store.Era() > known
	if known > 0 || !isNew {
		event.StoreEraChanged.Log(s.entry.logger, zap.Uint64("known", known), zap.String("shown", shown), zap.String("call", call))
	}
	if !isNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptWatch()
}

// interruptWatch cancels the running watch, if there is one. The caller holds s.mu.
func (s *storeSyncer) interruptWatch() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

// isRecovery reports whether a snapshot of an era is the first one after the store has recovered
// from a copy. The caller holds s.mu.
func (s *storeSyncer) isRecovery(era uint64) bool {
	known := s.state.Position()
	return era > known.Era() && known != (store.Position{})
}

// replace replaces the view by a snapshot, from a source, and reports whether that isn't older. If
// the store has recovered from a copy, it begins a grace period, since leases may have been lost. The
// caller holds s.mu.
func (s *storeSyncer) replace(snapshot store.Snapshot, source string, now time.Time) bool {
	previous, isRecovery := s.state.View(), s.isRecovery(snapshot.Position().Era())
	if isRecovery {
		s.expiryGraceUntil = now.Add(mirror.ExpiryGrace)
	}
	graceUntil := s.graceUntil(now)
	if !s.state.Replace(snapshot, now, graceUntil) {
		return false
	}
	event.PictureTaken.Log(s.entry.logger, zap.String("source", source), zap.Uint64("revision", snapshot.Revision()),
		zap.Uint64("era", snapshot.Position().Era()), zap.Bool("after_gap", now.Before(graceUntil)))
	s.publish(source)
	if isRecovery {
		s.entry.demands.reoffer(previous)
		// Most entries of a large fleet take the new era from a peer.
		s.entry.background.Go(s.entry.peers.broadcast)
	}
	return true
}

// graceUntil returns until when registrations whose keys were removed stay in the view.
// Leases may have expired only because the store was unreachable or not watched; that
// ends mirror.ExpiryGrace after the first call that succeeds again. The period doesn't
// start anew with a later removal: the store has accepted that one while it was
// reachable, and an endpoint that it removes then is leaving. The caller holds s.mu.
func (s *storeSyncer) graceUntil(now time.Time) time.Time {
	if !s.lastContact.IsZero() && now.Sub(s.lastContact) > maxWatchTimeout+gapThreshold || s.disconnected && !s.lastContact.IsZero() {
		s.expiryGraceUntil = now.Add(mirror.ExpiryGrace)
	}
	return s.expiryGraceUntil
}

// watch waits for changes and applies them.
func (s *storeSyncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	after := s.state.Position()
	s.cancelWatch = cancel
	s.mu.Unlock()
	wait, sentAt := s.watchTimeout(), time.Now()
	changes, position, err := s.entry.store.Changes(ctx, allKeys, after, wait)
	if len(changes) > 0 {
		defer sleep(ctx, coalesceDelay)
	}
	answer := storeAnswer{source: "watch", after: after, changes: changes, position: position, at: sentAt}
	if len(changes) == 0 && time.Since(sentAt) >= wait {
		// The store has waited for so long before it answered.
		answer.at = sentAt.Add(wait)
	}
	if err := s.endWatch(answer, err); err != nil {
		return err
	}
	if err == nil && len(changes) > 0 {
		s.entry.peers.broadcast()
	}
	return nil
}

// endWatch applies the answer to a watch, or returns the watch's error unless it was cancelled.
func (s *storeSyncer) endWatch(answer storeAnswer, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasCancelled := s.cancelWatch == nil
	s.cancelWatch = nil
	switch {
	case err != nil && wasCancelled:
		return nil
	case err != nil:
		return err
	case answer.isOlder():
		s.reportOlder(answer.source, answer.after, answer.position)
		return eris.New("the store answered a watch with an older revision")
	default:
		s.applyAnswer(answer)
		return nil
	}
}

// applyUpdate applies what a peer has read from the store, if it is newer than the view, and what it
// holds from earlier eras.
func (s *storeSyncer) applyUpdate(update stateUpdate, peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	isNewer := update.position.After(s.state.Position())
	switch {
	case isNewer && update.partial && update.position.Era() == s.state.Position().Era():
		s.state.Apply(update.changes, update.position.Revision(), now, s.graceUntil(now))
	case isNewer && !update.partial:
		s.replace(store.SnapshotAt(update.pairs, update.position), peer, now)
	case isNewer:
		return
	}
	isSameEra := update.position.Era() == s.state.Position().Era()
	dropped := isSameEra && s.state.DropHeld(update.changes, now, s.expiryGraceUntil)
	gained := isSameEra && s.state.MergeHeld(update.held, now)
	if gained {
		event.LostStateLearned.Log(s.entry.logger, zap.String("peer", peer), zap.Uint64("era", update.position.Era()), zap.Int("keys", len(update.held)))
	}
	if !isNewer && !gained && !dropped {
		return
	}
	s.publish(peer)
	if !isNewer {
		return
	}
	s.noteEvidence()
	if s.cancelWatch != nil {
		// The running watch has missed the peer's changes.
		event.WatchBehind.Log(s.entry.logger, zap.String("peer", peer), zap.Uint64("revision", update.position.Revision()))
		s.interruptWatch()
	}
}

// publish makes the latest view the entry's. Source is the logged origin of the change: a
// peer's name, "store", "watch" or "grace". The caller holds s.mu.
func (s *storeSyncer) publish(source string) {
	logger := s.entry.logger
	for _, finding := range s.state.DrainFindings() {
		if !eris.Is(finding.Err(), platform.ErrUnknownKey) {
			event.ItemUnreadable.Log(logger, zap.String("key", finding.Key()), event.Error(finding.Err()))
		}
	}
	s.evidence.Advance(s.state.Position())
	view := s.state.View()
	if t := view.Table(); t != nil && t.Version() != s.loggedVersion {
		s.loggedVersion = t.Version()
		event.TableAdopted.Log(logger, zap.Uint64("version", t.Version()), zap.Uint64("revision", view.Revision()), zap.String("source", source))
	}
	s.logEvacuations(view)
	s.logIgnored(view)
	s.logHeld()
	s.entry.publish(view)
}

// logEvacuations logs the data centres whose evacuation began or ended, as far as they
// have endpoints. The caller holds s.mu.
func (s *storeSyncer) logEvacuations(view *mirror.View) {
	evacuated := make(map[string]bool)
	view.EachEndpoint(func(endpoint *table.Endpoint) {
		if dataCentre := endpoint.DataCentre(); view.Evacuated(dataCentre) {
			evacuated[dataCentre] = true
		}
	})
	for dataCentre := range evacuated {
		if !s.loggedEvacuations[dataCentre] {
			event.EvacuationBegun.Log(s.entry.logger, zap.String("data_centre", dataCentre), zap.Uint64("revision", view.Revision()))
		}
	}
	for dataCentre := range s.loggedEvacuations {
		if !evacuated[dataCentre] {
			event.EvacuationEnded.Log(s.entry.logger, zap.String("data_centre", dataCentre), zap.Uint64("revision", view.Revision()))
		}
	}
	s.loggedEvacuations = evacuated
}

// logHeld logs what the view keeps in use though the store has lost it. The caller holds s.mu.
func (s *storeSyncer) logHeld() {
	var keys []string
	for _, item := range s.state.Held() {
		// Peers are told of removals that the copy has, too.
		if !item.IsRemoved() || item.Shown() > 0 {
			keys = append(keys, item.Pair().Key())
		}
	}
	if slices.Equal(keys, s.loggedHeld) {
		return
	}
	s.loggedHeld = keys
	event.LostStateHeld.Log(s.entry.logger, zap.Int("count", len(keys)), zap.Strings("keys", keys[:min(len(keys), maxLoggedKeys)]), zap.Uint64("era", s.state.Position().Era()))
}

// logIgnored logs the endpoints that are no longer used, or for another reason, though the store
// has them. The caller holds s.mu.
func (s *storeSyncer) logIgnored(view *mirror.View) {
	for key, reason := range view.Ignored() {
		if s.loggedIgnored[key] != reason {
			event.EndpointIgnored.Log(s.entry.logger, zap.String("key", key), zap.String("reason", reason), zap.Uint64("revision", view.Revision()))
		}
	}
	s.loggedIgnored = view.Ignored()
}

// expire removes registrations whose grace period has ended.
func (s *storeSyncer) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Expire(now) {
		s.publish("grace")
	}
}

// updateSince returns what a peer at a position is missing, which has a fingerprint of what it holds.
// What the entry itself holds may be a large configuration, so it goes to peers only that may lack it.
func (s *storeSyncer) updateSince(position store.Position, held uint64) stateUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := stateUpdate{position: s.state.Position()}
	isSameEra := position.Era() == update.position.Era()
	if isSameEra {
		update.changes, update.partial = s.state.ChangesSince(position.Revision())
	}
	if !update.partial {
		update.pairs = s.state.Pairs()
	}
	if held != 0 || !isSameEra {
		update.changes = append(update.changes, s.state.Removals()...)
	}
	if !isSameEra || held != s.state.HeldFingerprint() {
		update.held = s.state.Held()
	}
	return update
}

// lookup returns the pair that the store has for a key, as of the view's position.
func (s *storeSyncer) lookup(key string) (pair store.Pair, found bool, position store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, found = s.state.Lookup(key)
	return pair, found, s.state.Position()
}

// position returns the position of the store that the view reflects.
func (s *storeSyncer) position() store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Position()
}

// eraAge returns how long ago the entry learned of the era of its view, and whether the store has
// eras.
func (s *storeSyncer) eraAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, now.Sub(s.state.EraKnownSince())), s.state.Position().Era() > 0
}

// noteEraAge records for how long a peer has known an era.
func (s *storeSyncer) noteEraAge(era uint64, age time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era == s.state.Position().Era() {
		s.state.NoteEraAge(age, now)
	}
}

// heldFingerprint identifies what the view keeps in use though the store has lost it.
func (s *storeSyncer) heldFingerprint() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.HeldFingerprint()
}

// setReachable records whether the last call to the store succeeded, and logs a change.
func (s *storeSyncer) setReachable(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	if cause != nil {
		s.entry.demands.storeFailed(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = s.disconnected || cause != nil
	if reachable := cause == nil; reachable != s.reachable {
		s.reachable = reachable
		if reachable {
			event.StoreReachable.Log(s.entry.logger, zap.Uint64("revision", s.state.Revision()))
		} else {
			event.StoreUnreachable.Log(s.entry.logger, zap.Uint64("revision", s.state.Revision()), event.Error(cause))
		}
	}
}
