package soak_test

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// seenBound is the time after which an entry in touch has seen a write.
const seenBound = configApplyBound

// write is a write of a key by its owner, or a removal if value is nil.
type write struct {
	key   string
	value []byte
	// version is the version of a configuration, zero for other keys.
	version int
}

// ack is the last acknowledged write of a key.
type ack struct {
	// at is when the write began to bind entries in touch, zero while it doesn't: a write that the
	// store lost before an entry had to see it binds once it is written again.
	at time.Time
	// seen is set if an entry that has run on since had to see the write before the store lost it.
	seen bool
}

// writes makes the writes of the operator and the replicas, and writes again what a recovery of the
// store has lost.
type writes struct {
	kv *stand.KV
	// isStable reports whether the store has been undisturbed for disturbanceWindow.
	isStable func() bool
	// gate is locked while the store is away.
	gate sync.RWMutex

	mu      sync.Mutex
	version int
	acked   map[string]ack
	// log has the writes that the store has, and lost those of each key that it has lost.
	log  []write
	lost map[string][]write
}

// copyOfStore is a backup of the store and the number of writes in it.
type copyOfStore struct {
	backup stand.Backup
	count  int
}

func newWrites(kv *stand.KV) *writes {
	return &writes{kv: kv, isStable: func() bool { return true }, acked: make(map[string]ack), lost: make(map[string][]write)}
}

// commit makes a write, which replaces lost ones of its key. The removal of a replica that drains
// binds since that.
func (w *writes) commit(next write) error {
	w.gate.RLock()
	defer w.gate.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lost, next.key)
	if next.value != nil {
		w.acked[next.key] = ack{}
	}
	return w.apply(next)
}

// apply makes a write. The caller holds both locks.
func (w *writes) apply(next write) error {
	var txn stand.Txn
	isShown := true
	if next.value == nil {
		_, isPresent := w.kv.Read([]string{next.key}).Get(next.key)
		isShown = isPresent && w.isStable()
		txn.Remove(next.key)
	} else {
		txn.Put(next.key, next.value, 0)
	}
	if _, err := w.kv.Commit(txn); err != nil {
		return err
	}
	w.log = append(w.log, next)
	w.version = max(w.version, next.version)
	last := w.acked[next.key]
	switch {
	case !isShown && !last.seen:
		// Entries that read the store later can't tell the removal from a lost registration.
		w.acked[next.key] = ack{}
	case last.at.IsZero() && len(w.lost[next.key]) == 0:
		w.acked[next.key] = ack{at: time.Now()}
	}
	return nil
}

// boundSince returns since when the last write of a key binds entries in touch, and false if it
// doesn't.
func (w *writes) boundSince(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.acked[key].at
	return at, !at.IsZero()
}

// latestVersion returns the newest configuration version and since when it binds.
func (w *writes) latestVersion() (version int, since time.Time, isBound bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.acked["op/config"].at
	return w.version, at, !at.IsZero()
}

// backup returns a copy of the store.
func (w *writes) backup() copyOfStore {
	w.mu.Lock()
	defer w.mu.Unlock()
	return copyOfStore{backup: w.kv.Backup(), count: len(w.log)}
}

// recover lets the store recover from a copy and returns the keys of which writes are lost. The
// store has been away since a time, and an entry that runs on has been in touch since another. The
// caller holds the gate.
func (w *writes) recover(from copyOfStore, leases stand.RecoveredLeases, away, inTouch time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kv.Recover(from.backup, leases)
	forms := make(map[string][]write)
	var keys []string
	for _, lost := range w.log[from.count:] {
		if forms[lost.key] == nil {
			keys = append(keys, lost.key)
		}
		forms[lost.key] = append(forms[lost.key], lost)
	}
	w.log = w.log[:from.count:from.count]
	for key, last := range w.acked {
		if last.at.IsZero() {
			continue
		}
		last.seen = last.seen || away.Sub(last.at) > seenBound && away.Sub(inTouch) > seenBound
		if !last.seen && forms[key] != nil {
			last.at = time.Time{}
		}
		w.acked[key] = last
	}
	for _, key := range keys {
		w.lost[key] = append(forms[key], w.lost[key]...)
	}
	return keys
}

// writeNextLost writes the next lost form of a key again, or only the newest one, and reports
// whether there was any.
func (w *writes) writeNextLost(key string, newestOnly bool) (bool, error) {
	w.gate.RLock()
	defer w.gate.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	forms := w.lost[key]
	if len(forms) == 0 {
		return false, nil
	}
	if newestOnly {
		forms = forms[len(forms)-1:]
	}
	w.lost[key] = forms[1:]
	return true, w.apply(forms[0])
}

// TestVersionsCountOnceTheyAreWritten guards against probes that expect entries to obey a version
// before it is written.
func TestVersionsCountOnceTheyAreWritten(t *testing.T) {
	s := &site{t: t, spec: defaultSpec(), kv: stand.NewKV()}
	s.writes = newWrites(s.kv)
	s.writeNextConfig()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2000 {
			s.writeNextConfig()
		}
	}()
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		default:
		}
		version, _, _ := s.writes.latestVersion()
		pair, found := s.kv.Read([]string{"op/config"}).Get("op/config")
		require.True(t, found)
		var written struct{ Version int }
		require.NoError(t, json.Unmarshal(pair.Value(), &written))
		require.LessOrEqual(t, version, written.Version)
	}
}

// TestLostWritesBindOnceSeen guards against checks that excuse a write that entries had seen before
// the store lost it, or expect one that none can know.
func TestLostWritesBindOnceSeen(t *testing.T) {
	w := newWrites(stand.NewKV())
	from := w.backup()
	require.NoError(t, w.commit(write{key: "op/config", value: []byte("1"), version: 1}))
	require.NoError(t, w.commit(write{key: "op/config", value: []byte("2"), version: 2}))
	isBound := func() bool { _, is := w.boundSince("op/config"); return is }
	long, now := time.Now().Add(-time.Minute), time.Now()
	require.Equal(t, []string{"op/config"}, w.recover(from, stand.KeepLeases, now, long))
	require.False(t, isBound())
	for _, want := range []bool{false, true} {
		more, err := w.writeNextLost("op/config", false)
		require.NoError(t, err)
		require.True(t, more)
		require.Equal(t, want, isBound())
	}
	w.recover(from, stand.KeepLeases, time.Now().Add(time.Minute), time.Now())
	require.True(t, isBound())
	w.recover(from, stand.KeepLeases, time.Now(), time.Now())
	require.True(t, isBound(), "entries have seen it before the first recovery")
	more, err := w.writeNextLost("op/config", true)
	require.NoError(t, err)
	require.True(t, more)
	pair, _ := w.kv.Read([]string{"op/config"}).Get("op/config")
	require.Equal(t, "2", string(pair.Value()))
}

// TestUnseenRemovalsBindIfTheStoreShowsThem guards against checks that expect entries to know of a
// leaving that the store lost before they saw it, and whose removal changes nothing in the store.
func TestUnseenRemovalsBindIfTheStoreShowsThem(t *testing.T) {
	const key = "servers/plain-1"
	testCases := []struct {
		name                  string
		inCopy, stable, bound bool
		seen                  time.Duration
	}{
		{"the copy lacks the registration", false, true, false, 0},
		{"the copy has the registration", true, true, true, 0},
		{"the store is unstable", true, false, false, 0},
		{"entries have seen the leaving", false, false, true, time.Minute},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWrites(stand.NewKV())
			from := w.backup()
			require.NoError(t, w.commit(write{key: key, value: []byte("ready")}))
			if tc.inCopy {
				from = w.backup()
			}
			require.NoError(t, w.commit(write{key: key, value: []byte("draining")}))
			w.recover(from, stand.KeepLeases, time.Now().Add(tc.seen), time.Now())
			w.isStable = func() bool { return tc.stable }
			require.NoError(t, w.commit(write{key: key}))
			_, isBound := w.boundSince(key)
			require.Equal(t, tc.bound, isBound)
		})
	}
}
