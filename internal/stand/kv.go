package stand

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// MaxValueBytes bounds a value of the key-value service.
const MaxValueBytes = 1 << 20

// kvLease is a lease and the keys that go with it.
type kvLease struct {
	ttl    time.Duration
	lapses time.Time
	keys   map[string]bool
}

// kvPair is a stored value and the lease that it hangs on, if any.
type kvPair struct {
	pair  store.Pair
	lease uint64
}

// KVCounts are the calls that a KV has counted.
type KVCounts struct {
	reads   uint64
	writes  uint64
	waiting int
}

// Reads returns how many reads were made; each watch call counts as one.
func (c KVCounts) Reads() uint64 { return c.reads }

// Writes returns how many writes and lease calls were made.
func (c KVCounts) Writes() uint64 { return c.writes }

// Waiting returns how many watch calls wait now.
func (c KVCounts) Waiting() int { return c.waiting }

// KV is an in-memory key-value service with compare-and-swap, leases and
// watches. Use NewKV.
type KV struct {
	mu       sync.Mutex
	pairs    map[string]kvPair
	deleted  map[string]uint64
	leases   map[uint64]*kvLease
	revision uint64
	changed  chan struct{}
	counts   KVCounts
	frozen   *store.Snapshot
	broken   bool
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{
		pairs:   make(map[string]kvPair),
		deleted: make(map[string]uint64),
		leases:  make(map[uint64]*kvLease),
		changed: make(chan struct{}),
	}
}

// Counts returns the calls so far.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Txn is a set of writes that take effect together, if the keys that it expects
// are at their revisions. The zero Txn is empty.
type Txn struct {
	expected map[string]uint64
	puts     []kvPut
	removed  []string
}

type kvPut struct {
	key   string
	value []byte
	lease uint64
}

// Expect makes the writes depend on key being at revision, where zero means that
// it doesn't exist.
func (t *Txn) Expect(key string, revision uint64) {
	if t.expected == nil {
		t.expected = make(map[string]uint64)
	}
	t.expected[key] = revision
}

// Put adds a write of key, on a lease other than zero.
func (t *Txn) Put(key string, value []byte, lease uint64) {
	t.puts = append(t.puts, kvPut{key: key, value: value, lease: lease})
}

// Remove adds the removal of key.
func (t *Txn) Remove(key string) { t.removed = append(t.removed, key) }

// Commit makes the writes of a Txn and returns the revision after them.
func (k *KV) Commit(t Txn) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.expire()
	for key, expect := range t.expected {
		if k.pairs[key].pair.Revision() != expect && !k.broken {
			return 0, store.ErrConflict
		}
	}
	for _, put := range t.puts {
		if _, ok := k.leases[put.lease]; !ok && put.lease != 0 {
			return 0, store.ErrLeaseExpired
		}
	}
	for _, put := range t.puts {
		k.put(put)
	}
	for _, key := range t.removed {
		if _, ok := k.pairs[key]; ok {
			k.remove(key)
		}
	}
	return k.revision, nil
}

// put writes a pair. The caller holds the lock and knows that the lease is there.
func (k *KV) put(put kvPut) {
	if put.lease != 0 {
		k.leases[put.lease].keys[put.key] = true
	}
	k.revision++
	k.pairs[put.key] = kvPair{pair: store.NewPair(put.key, slices.Clone(put.value), k.revision), lease: put.lease}
	delete(k.deleted, put.key)
	k.notify()
}

// Changes waits until something under prefix changes after a revision and returns
// what has changed and the revision then, or nothing when ctx ends. It reports
// false if the revision is one that the service hasn't reached.
func (k *KV) Changes(ctx context.Context, prefix string, after uint64) ([]store.Change, uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.reads++
	if !k.await(ctx, []string{prefix}, after) {
		return nil, max(after, k.revision), true
	}
	if k.revision < after || k.frozen != nil {
		return nil, 0, false
	}
	var changes []store.Change
	for key, held := range k.pairs {
		if held.pair.Revision() > after && strings.HasPrefix(key, prefix) {
			changes = append(changes, store.Written(held.pair))
		}
	}
	for key, revision := range k.deleted {
		if revision > after && strings.HasPrefix(key, prefix) {
			changes = append(changes, store.Removed(key, revision))
		}
	}
	slices.SortFunc(changes, func(a, b store.Change) int { return cmp.Compare(a.Pair().Revision(), b.Pair().Revision()) })
	return changes, k.revision, true
}

// Put sets key if it is at the revision expect, where zero means that it must
// not exist. A lease other than zero deletes the key when it lapses.
func (k *KV) Put(key string, value []byte, expect, lease uint64) (uint64, error) {
	var t Txn
	t.Expect(key, expect)
	t.Put(key, value, lease)
	return k.Commit(t)
}

// Delete removes key if it is at the revision expect.
func (k *KV) Delete(key string, expect uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.expire()
	if k.pairs[key].pair.Revision() != expect || expect == 0 {
		return store.ErrConflict
	}
	k.remove(key)
	return nil
}

func (k *KV) remove(key string) {
	k.revision++
	delete(k.pairs, key)
	k.deleted[key] = k.revision
	k.notify()
}

// notify wakes all watches. The caller holds the lock.
func (k *KV) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Read returns all pairs under the prefixes.
func (k *KV) Read(prefixes []string) store.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.reads++
	k.expire()
	return k.read(prefixes)
}

func (k *KV) read(prefixes []string) store.Snapshot {
	if k.frozen != nil {
		return filter(*k.frozen, prefixes)
	}
	var pairs []store.Pair
	for key, held := range k.pairs {
		if hasAnyPrefix(key, prefixes) {
			pairs = append(pairs, held.pair)
		}
	}
	slices.SortFunc(pairs, func(a, b store.Pair) int { return cmp.Compare(a.Key(), b.Key()) })
	return store.NewSnapshot(pairs, k.revision)
}

func filter(snapshot store.Snapshot, prefixes []string) store.Snapshot {
	var pairs []store.Pair
	for _, pair := range snapshot.Pairs() {
		if hasAnyPrefix(pair.Key(), prefixes) {
			pairs = append(pairs, pair)
		}
	}
	return store.NewSnapshot(pairs, snapshot.Revision())
}

func hasAnyPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// Watch waits until something under the prefixes changes after the revision
// since and returns what they hold, or an unchanged snapshot when ctx ends.
func (k *KV) Watch(ctx context.Context, prefixes []string, since uint64) store.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.reads++
	if k.await(ctx, prefixes, since) {
		return k.read(prefixes)
	}
	return store.Unchanged(max(since, k.revision))
}

// await waits until something under the prefixes changes after a revision, and
// reports false if ctx ends first. The caller holds the lock.
func (k *KV) await(ctx context.Context, prefixes []string, since uint64) bool {
	k.counts.waiting++
	defer func() { k.counts.waiting-- }()
	for {
		k.expire()
		if k.changedSince(prefixes, since) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(leaseScan):
		}
		k.mu.Lock()
	}
}

// leaseScan is how often a waiting watch looks for lapsed leases.
const leaseScan = 100 * time.Millisecond

func (k *KV) changedSince(prefixes []string, since uint64) bool {
	if k.revision < since || (k.frozen != nil && k.frozen.Revision() < since) {
		return true
	}
	for key, held := range k.pairs {
		if held.pair.Revision() > since && hasAnyPrefix(key, prefixes) {
			return true
		}
	}
	for key, revision := range k.deleted {
		if revision > since && hasAnyPrefix(key, prefixes) {
			return true
		}
	}
	return false
}

// Grant makes a lease.
func (k *KV) Grant(ttl time.Duration) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.revision++
	id := k.revision
	k.leases[id] = &kvLease{ttl: ttl, lapses: time.Now().Add(ttl), keys: make(map[string]bool)}
	return id
}

// KeepAlive renews a lease.
func (k *KV) KeepAlive(lease uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.expire()
	held, ok := k.leases[lease]
	if !ok {
		return store.ErrLeaseExpired
	}
	held.lapses = time.Now().Add(held.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (k *KV) Revoke(lease uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	if held, ok := k.leases[lease]; ok {
		k.end(lease, held)
	}
}

func (k *KV) end(id uint64, held *kvLease) {
	delete(k.leases, id)
	for key := range held.keys {
		if k.pairs[key].lease == id {
			k.remove(key)
		}
	}
}

// expire ends the leases that have lapsed. The caller holds the lock.
func (k *KV) expire() {
	now := time.Now()
	for id, held := range k.leases {
		if now.After(held.lapses) {
			k.end(id, held)
		}
	}
}

// FreezeReads makes reads return what is stored now, while writes go on, until Thaw
// is called. It stands for a service that comes back with an older state.
func (k *KV) FreezeReads() {
	k.mu.Lock()
	defer k.mu.Unlock()
	snapshot := k.read([]string{""})
	k.frozen = &snapshot
}

// Backup is what the service held at one moment.
type Backup struct {
	pairs    map[string]kvPair
	revision uint64
}

// Backup returns what the service holds, for GoBack.
func (k *KV) Backup() Backup {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Backup{pairs: maps.Clone(k.pairs), revision: k.revision}
}

// Restore makes the service hold what it held before, as one does that lost its
// newest state.
func (k *KV) Restore(memory Backup) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pairs = maps.Clone(memory.pairs)
	k.revision = memory.revision
	k.deleted = make(map[string]uint64)
	k.notify()
}

// IgnoreRevisions makes writes take effect at any revision, as no service may, so that a
// check which relies on compare-and-swap can be shown to fail.
func (k *KV) IgnoreRevisions() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = true
}

// UnfreezeReads undoes Freeze.
func (k *KV) UnfreezeReads() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.frozen = nil
	k.notify()
}
