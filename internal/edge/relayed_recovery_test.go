package edge_test

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/edge"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/platform"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

const (
	// fleetSize is a fleet in which not all entries watch the store, and fleetWatchers how many
	// of them do.
	fleetSize     = 12
	fleetWatchers = 6
)

// requireAvoided checks that entries send no request to an endpoint.
func (s *site) requireAvoided(key, id string, entries ...int) {
	s.t.Helper()
	for _, index := range entries {
		counts := s.servedWith(key, index, 6)
		require.Zero(s.t, counts[id], "entry %d", index)
		require.NotEmpty(s.t, counts, "entry %d", index)
	}
}

// requireNewsObeyed writes a version, a leaving and an evacuation, and checks that entries obey each
// in time. The version may take as long as limit.
func (s *site) requireNewsObeyed(limit time.Duration, entries ...int) {
	s.t.Helper()
	s.configure([]string{"key-3"}, defaultRoutes...)
	acknowledged := time.Now()
	for _, index := range entries {
		require.Eventually(s.t, func() bool { return s.obeys(index, "key-3", "key-1") }, time.Until(acknowledged.Add(limit)), 10*time.Millisecond, "entry %d", index)
	}
	s.registerForm("i-1", "draining", 1)
	time.Sleep(drainLimit)
	s.requireAvoided("key-3", "i-1", entries...)
	s.write("op/evacuate/gmunden", "{}")
	time.Sleep(drainLimit)
	s.requireAvoided("key-3", "i-2", entries...)
}

// answerAtEnd lets the store answer all entries once the test has ended, so that they stop soon.
func (s *site) answerAtEnd() { s.t.Cleanup(func() { s.store.SetFaults(fakes.StoreFaults{}) }) }

// TestFleetObeysAfterStoreRecovery guards against entries of a fleet too large for all to watch the
// store, and entries that the store doesn't answer, that miss what was written after a recovery.
func TestFleetObeysAfterStoreRecovery(t *testing.T) {
	testCases := []struct {
		name string
		// cut returns the entries that the store doesn't answer from the first recovery on.
		cut        func(watchers, others []int) []int
		recoveries int
		leases     stand.RecoveredLeases
		limit      time.Duration
	}{
		{name: "all answered", recoveries: 1, leases: stand.DropLeases, limit: configApply},
		{
			name: "no watcher answered", recoveries: 1, leases: stand.KeepLeases, limit: configApplyLimit,
			cut: func(watchers, _ []int) []int { return watchers },
		},
		{
			name: "two answered", recoveries: 1, leases: stand.DropLeasesAndKeys, limit: configApplyLimit,
			cut: func(watchers, others []int) []int { return append(watchers[1:], others[1:]...) },
		},
		{
			name: "some cut off during two recoveries", recoveries: 2, leases: stand.DropLeases, limit: configApply,
			cut: func(watchers, others []int) []int { return []int{watchers[0], others[0]} },
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, watchers, others := startFleet(t, fleetSize, fleetWatchers)
			s.startReplica("i-2", "gmunden")
			s.startReplica("i-3", "ebensee")
			backup := s.kv.Backup()
			s.advance()
			after := fakes.StoreFaults{}
			if tc.cut != nil {
				after = fakes.StoreFaults{Unresponsive: true, HangWatches: true, Only: s.names(tc.cut(watchers, others))}
			}
			for range tc.recoveries {
				s.store.SetFaults(fakes.StoreFaults{Down: true})
				time.Sleep(time.Second)
				s.kv.Recover(backup, tc.leases)
				s.store.SetFaults(after)
				time.Sleep(contactSpan)
			}
			var all []int
			for index := range s.entries {
				all = append(all, index)
			}
			s.answerAtEnd()
			s.requireNewsObeyed(tc.limit, all...)
		})
	}
}

// restartEntry stops an entry and starts it again at its addresses, while the store doesn't answer it.
func (s *site) restartEntry(index int) {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Millisecond)
	defer cancel()
	s.entries[index].Stop(ctx)
	e, err := edge.New(s.settings[index], zap.NewNop())
	require.NoError(s.t, err)
	require.NoError(s.t, e.Start())
	s.entries[index] = e
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		e.Stop(ctx)
	})
}

// TestEntryStartedUnansweredLearnsLostState guards against an entry that knows only what the store
// has, since it learns it from peers, and not what they hold.
func TestEntryStartedUnansweredLearnsLostState(t *testing.T) {
	t.Parallel()
	s, _, others := startFleet(t, fleetSize, fleetWatchers)
	s.startReplica("i-2", "ebensee")
	s.startReplica("i-3", "ebensee")
	backup := s.kv.Backup()
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.register("i-2", "ebensee", "draining")
	s.write("op/evacuate/gmunden", "{}")
	s.advance()
	started := others[0]
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	s.kv.Recover(backup, stand.DropLeases)
	s.store.SetFaults(fakes.StoreFaults{Down: true, Only: s.names([]int{started})})
	s.restartEntry(started)
	s.answerAtEnd()
	s.waitReady(started)
	require.Eventually(t, func() bool { return s.obeys(started, "key-2", "key-1") }, contactSpan, 10*time.Millisecond)
	s.requireAvoided("key-2", "i-1", started)
	s.requireAvoided("key-2", "i-2", started)
	time.Sleep(contactSpan)
	s.configure([]string{"key-3"}, defaultRoutes...)
	s.requireObeyed("key-3", "key-2", started)
}

// recoveryCalls is how many calls an entry makes to the store for a recovery beside its usual ones: it
// reads all, gets a lease and registers, and retries some of it.
const recoveryCalls = 8

// TestStoreRecoveryCostsFewCalls guards against a flood of calls to a store that has just come back.
func TestStoreRecoveryCostsFewCalls(t *testing.T) {
	t.Parallel()
	s, _, _ := startFleet(t, fleetSize, fleetWatchers)
	calls := func() uint64 { return s.kv.Counts().Reads() + s.kv.Counts().Writes() }
	const span = 5 * time.Second
	backup := s.kv.Backup()
	began := calls()
	time.Sleep(span)
	calm := calls() - began
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	began = calls()
	s.kv.Recover(backup, stand.DropLeases)
	s.store.SetFaults(fakes.StoreFaults{})
	time.Sleep(span)
	recovered := calls() - began
	t.Logf("%d calls in calm, %d after a recovery, in %v", calm, recovered, span)
	require.LessOrEqual(t, recovered, calm+fleetSize*recoveryCalls)
}

// wirePeer is a peer of the entries that says what a test wants.
type wirePeer struct {
	socket *dgram.Socket
	// asks counts the pictures that entries have asked for, and heard is the last hello of one.
	asks  atomic.Int64
	heard atomic.Pointer[wirepb.Hello]
}

// startWirePeer starts a peer that sends hellos to an entry and answers with a picture.
func (s *site) startWirePeer(index int, hello *wirepb.Hello, picture *wirepb.Picture) *wirePeer {
	p := &wirePeer{}
	address := procs.FreeAddress(s.t)
	var err error
	p.socket, err = dgram.Listen(address, func(_ netip.AddrPort, message *wirepb.Datagram) {
		if message.GetHello() != nil {
			p.heard.Store(message.GetHello())
		}
	}, zap.NewNop())
	require.NoError(s.t, err)
	server, err := link.Listen(address, func(_ *link.Session, stream *link.Stream, _ *wirepb.Frame) {
		p.asks.Add(1)
		_ = stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Picture{Picture: picture}})
		_, _ = stream.ReadWithin(time.Second)
	}, zap.NewNop())
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			p.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Hello{Hello: hello}}, netip.MustParseAddrPort(s.settings[index].PeerAddress()))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
		p.socket.Close()
		server.Close()
	})
	return p
}

// wirePairs encodes pairs as those of a picture.
func wirePairs(pairs []store.Pair) []*wirepb.StoredPair {
	var encoded []*wirepb.StoredPair
	for _, pair := range pairs {
		encoded = append(encoded, &wirepb.StoredPair{Key: pair.Key(), Value: pair.Value(), Revision: pair.Revision()})
	}
	return encoded
}

// TestPeerWithoutErasIsNotBelieved guards against an entry that adopts the picture of a peer of an
// earlier version, or takes its evidence, since its revision is the higher one.
func TestPeerWithoutErasIsNotBelieved(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1")
	backup := s.kv.Backup()
	s.advance()
	old := s.kv.Read([]string{""})
	s.recoverStore(backup, stand.KeepLeases)
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.requireObeyed("key-2", "key-1", 0)
	age := uint32(0)
	hello := &wirepb.Hello{Name: "entry-9", Revision: old.Revision(), StoreAgeMs: &age, RelayAgeMs: &age, Watching: true}
	p := s.startWirePeer(0, hello, &wirepb.Picture{Revision: old.Revision(), Pairs: wirePairs(old.Pairs())})
	require.Eventually(t, func() bool { return p.heard.Load() != nil }, contactSpan, 10*time.Millisecond)
	require.Never(t, func() bool { return !s.obeys(0, "key-2", "key-1") }, time.Second, 50*time.Millisecond)
	require.Zero(t, p.asks.Load(), "pictures that the entry has asked for")

	// Watches alone get no answers, and the peer says that all is current.
	s.store.SetFaults(fakes.StoreFaults{HangWatches: true})
	s.configure([]string{"key-3"}, defaultRoutes...)
	require.Eventually(t, func() bool { return s.obeys(0, "key-3", "key-2") }, configApplyLimit, 10*time.Millisecond)
}

// askPicture asks an entry for its picture.
func (s *site) askPicture(index int, ask *wirepb.PictureAsk) *wirepb.Picture {
	var dialer link.Dialer
	session, err := dialer.Dial(s.t.Context(), s.settings[index].PeerAddress())
	require.NoError(s.t, err)
	defer session.Close()
	stream, err := session.Open()
	require.NoError(s.t, err)
	require.NoError(s.t, stream.Write(&wirepb.Frame{Body: &wirepb.Frame_PictureAsk{PictureAsk: ask}}))
	frame, err := stream.ReadWithin(time.Second)
	require.NoError(s.t, err)
	return frame.GetPicture()
}

// TestPeerWithoutErasGetsWholePicture guards against an entry that sends an entry of an earlier
// version the changes since a revision of another era.
func TestPeerWithoutErasGetsWholePicture(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1")
	require.Eventually(t, s.registered("entry-1"), registrationLimit, 10*time.Millisecond)
	backup := s.kv.Backup()
	s.advance()
	s.recoverStore(backup, stand.KeepLeases)
	require.Eventually(t, s.registered("entry-1"), registrationLimit, 10*time.Millisecond)
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.requireObeyed("key-2", "key-1", 0)
	for _, revision := range []uint64{0, 1, s.kv.Read([]string{""}).Revision(), 1000} {
		picture := s.askPicture(0, &wirepb.PictureAsk{Revision: revision})
		require.False(t, picture.GetPartial())
		var keys []string
		for _, pair := range picture.GetPairs() {
			keys = append(keys, pair.GetKey())
		}
		for _, want := range []string{"op/config", "servers/i-1", "lentilstand/members/entry-1"} {
			require.Contains(t, keys, want)
		}
	}
}

// TestHeldStateIsFetchedOnce guards against entries that fetch one another's pictures for as long as
// they hold different things.
func TestHeldStateIsFetchedOnce(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1")
	s.startReplica("i-2", "ebensee")
	require.Eventually(t, s.registered("entry-1"), registrationLimit, 10*time.Millisecond)
	s.waitCurrent()
	backup := s.kv.Backup()
	s.advance()
	s.recoverStore(backup, stand.KeepLeases)
	time.Sleep(contactSpan)
	require.True(t, s.registered("entry-1")())
	current := s.kv.Read([]string{""})
	era := s.kv.Era()
	held := &wirepb.HeldPair{
		Pair: &wirepb.StoredPair{Key: "op/evacuate/ebensee", Value: []byte("{}"), Revision: 1000},
		Era:  era - 1, Revision: 1000, LeftMs: 20_000,
	}
	// The peer has the same view, and knows an evacuation of the previous era.
	state := mirror.New(platform.Decode)
	now := time.Now()
	state.Replace(store.SnapshotAt(current.Pairs(), store.At(era, current.Revision())), now, now)
	evacuation := store.NewPair(held.GetPair().GetKey(), held.GetPair().GetValue(), held.GetRevision())
	require.True(t, state.MergeHeld([]mirror.Held{mirror.NewHeld(evacuation, false, store.At(era-1, held.GetRevision()), 0, 20*time.Second)}, now))
	hello := &wirepb.Hello{Name: "entry-9", Revision: current.Revision(), Era: era, Held: state.HeldFingerprint()}
	picture := &wirepb.Picture{Revision: current.Revision(), Era: era, Partial: true, Held: []*wirepb.HeldPair{held}}
	p := s.startWirePeer(0, hello, picture)
	require.Eventually(t, func() bool { return s.servedBy(0, 10)["i-2"] == 0 }, drainLimit, 10*time.Millisecond)
	require.Eventually(t, func() bool { return p.heard.Load().GetHeld() == state.HeldFingerprint() }, contactSpan, 10*time.Millisecond)

	// A second peer holds what the entry has no use for.
	useless := &wirepb.HeldPair{Pair: held.GetPair(), Era: era, Revision: 1000, LeftMs: 20_000}
	other := s.startWirePeer(0, &wirepb.Hello{Name: "entry-8", Revision: current.Revision(), Era: era, Held: 1},
		&wirepb.Picture{Revision: current.Revision(), Era: era, Partial: true, Held: []*wirepb.HeldPair{useless}})
	time.Sleep(contactSpan)
	require.LessOrEqual(t, p.asks.Load(), int64(2))
	require.LessOrEqual(t, other.asks.Load(), int64(2))
	require.Positive(t, other.asks.Load())
}

// TestHeldConfigurationIsNotSentAgain guards against pictures that carry a large configuration with each
// change, since the store has lost it.
func TestHeldConfigurationIsNotSentAgain(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1")
	backup := s.kv.Backup()
	s.configure([]string{"key-2"}, defaultRoutes...)
	s.advance()
	s.requireObeyed("key-2", "key-1", 0)
	s.recoverStore(backup, stand.KeepLeases)
	var fingerprint atomic.Uint64
	listener := s.startWirePeer(0, &wirepb.Hello{Name: "entry-9"}, &wirepb.Picture{})
	require.Eventually(t, func() bool {
		fingerprint.Store(listener.heard.Load().GetHeld())
		return fingerprint.Load() != 0
	}, contactSpan, 10*time.Millisecond)
	position := s.kv.Read([]string{""}).Revision()
	holds := func(held uint64) []*wirepb.HeldPair {
		return s.askPicture(0, &wirepb.PictureAsk{Revision: position, Era: s.kv.Era(), Held: held}).GetHeld()
	}
	require.Empty(t, holds(fingerprint.Load()))
	require.NotEmpty(t, holds(0))
	require.NotEmpty(t, holds(fingerprint.Load()+1))
}

// TestLateRegistrationAfterStoreRecovery guards against an entry that isn't registered by a lease of
// its own, and against harm to others' keys, since its first registration is carried out after the
// recovery, when its lease is another's.
func TestLateRegistrationAfterStoreRecovery(t *testing.T) {
	t.Parallel()
	s := startSite(t, "i-1")
	require.Eventually(t, s.registered("entry-1"), registrationLimit, 10*time.Millisecond)
	backup := s.kv.Backup()
	var leases atomic.Uint64
	late, delayed := delayFirst("entry-2", "kv-txn", 2500*time.Millisecond)
	s.delayCalls(late)
	s.startEntry("entry-2")
	<-delayed
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	time.Sleep(time.Second)
	s.kv.Recover(backup, stand.KeepLeases)
	for range 10 {
		lease := s.kv.Grant(time.Minute)
		leases.Store(lease)
		var txn stand.Txn
		txn.Put("op/unused-"+strconv.FormatUint(lease, 10), []byte("x"), lease)
		_, err := s.kv.Commit(txn)
		require.NoError(t, err)
	}
	s.store.SetFaults(fakes.StoreFaults{})
	time.Sleep(3 * time.Second)
	require.Eventually(t, s.registered("entry-1", "entry-2"), registrationLimit, 10*time.Millisecond)
	others := 0
	for _, pair := range s.kv.Read([]string{"op/unused-"}).Pairs() {
		lease, err := strconv.ParseUint(strings.TrimPrefix(pair.Key(), "op/unused-"), 10, 64)
		require.NoError(t, err)
		s.kv.Revoke(lease)
		others++
	}
	require.Equal(t, 10, others, "keys of other clients")
	require.Never(t, func() bool { return !s.registered("entry-1", "entry-2")() }, time.Second, 10*time.Millisecond, "the registration is attached to another client's lease")
}

// TestMembersThatHaveGoneDoNotWatch guards against a fleet in which no entry watches the store, since
// members whose keys never expire are counted as those that do.
func TestMembersThatHaveGoneDoNotWatch(t *testing.T) {
	t.Parallel()
	s, watchers, others := startFleet(t, fleetSize+fleetWatchers, fleetWatchers)
	backup := s.kv.Backup()
	for _, index := range watchers {
		s.entries[index].Freeze()
	}
	s.recoverStore(backup, stand.DropLeases)
	require.Len(t, s.kv.Read([]string{"lentilstand/members/"}).Pairs(), len(s.entries))
	require.Eventually(t, func() bool { return s.kv.Counts().Waiting() >= fleetWatchers }, 8*time.Second, time.Millisecond, "watches")
	for _, index := range others {
		require.Len(t, s.addresses(index), len(others))
	}
	s.configure([]string{"key-3"}, defaultRoutes...)
	s.requireObeyed("key-3", "key-1", others...)
}

// TestEntryFrozenDuringStoreRecoveryIsCurrent guards against an entry that keeps using for long what was
// removed after a recovery that it has missed: it can't tell that from what the copy lacks.
func TestEntryFrozenDuringStoreRecoveryIsCurrent(t *testing.T) {
	faults := map[string]fakes.StoreFaults{"store answers": {}, "store doesn't answer": {Down: true, Only: []string{"entry-3"}}}
	for _, removed := range []string{"servers/i-1", "op/evacuate/gmunden"} {
		for name, fault := range faults {
			t.Run(removed+", "+name, func(t *testing.T) {
				t.Parallel()
				s := startPair(t, "i-1")
				isEndpoint := removed == "servers/i-1"
				if isEndpoint {
					s.startReplica("i-2", "gmunden")
				} else {
					s.startReplica("i-2", "ebensee")
					s.write(removed, "{}")
				}
				s.startEntry("entry-3")
				s.waitReady(2)
				s.advance()
				backup := s.kv.Backup()
				s.advance()
				s.entries[2].Freeze()
				s.recoverStore(backup, stand.KeepLeases)
				time.Sleep(contactSpan)
				s.configure([]string{"key-2"}, defaultRoutes...)
				if isEndpoint {
					s.registerForm("i-1", "draining", 1)
				}
				s.remove(removed)
				time.Sleep(drainLimit)
				s.store.SetFaults(fault)
				s.answerAtEnd()
				require.NoError(t, s.entries[2].Thaw())
				time.Sleep(contactSpan)
				require.True(t, s.obeys(2, "key-2", "key-1"))
				used := "i-2"
				if !isEndpoint {
					used = "i-1"
					s.register("i-2", "ebensee", "draining")
					time.Sleep(drainLimit)
				}
				require.Equal(t, map[string]int{used: 20}, s.servedWith("key-2", 2, 20))
				s.configure([]string{"key-3"}, defaultRoutes...)
				s.requireObeyed("key-3", "key-2", 0, 1, 2)
			})
		}
	}
}
