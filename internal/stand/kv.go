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

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// kvLease is a lease and the keys attached to it.
type kvLease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// kvPair is a stored pair and the lease that it is attached to, zero if none.
type kvPair struct {
	pair  store.Pair
	lease uint64
}

// KVCounts are the call counters of a KV.
type KVCounts struct {
	reads   uint64
	writes  uint64
	waiting int
}

// Reads returns the number of reads; each watch call counts as one.
func (c KVCounts) Reads() uint64 { return c.reads }

// Writes returns the number of writes and lease calls.
func (c KVCounts) Writes() uint64 { return c.writes }

// Waiting returns the number of watch calls that are waiting for a change.
func (c KVCounts) Waiting() int { return c.waiting }

// KV is an in-memory key-value service with compare-and-swap, leases and
// watches. Use NewKV.
type KV struct {
	mu    sync.Mutex
	pairs map[string]kvPair
	// deleted maps each deleted key to the revision of its deletion.
	deleted  map[string]uint64
	leases   map[uint64]*kvLease
	revision uint64
	// era is one more than the number of recoveries from a backup.
	era uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	counts  KVCounts
	// frozenReads is what reads return while they are frozen, nil otherwise.
	frozenReads     *store.Snapshot
	ignoreRevisions bool
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{
		pairs:   make(map[string]kvPair),
		deleted: make(map[string]uint64),
		leases:  make(map[uint64]*kvLease),
		era:     1,
		changed: make(chan struct{}),
	}
}

// Era returns the service's era. It rises by one with each recovery from a backup.
func (k *KV) Era() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

// Counts returns the call counters.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Txn is a set of writes that are applied atomically if all expected keys are at
// their expected revisions. The zero Txn is empty.
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

// Expect makes the writes conditional on key being at revision. Revision zero
// means that key doesn't exist.
func (t *Txn) Expect(key string, revision uint64) {
	if t.expected == nil {
		t.expected = make(map[string]uint64)
	}
	t.expected[key] = revision
}

// Put adds a write of key, attached to lease unless that is zero.
func (t *Txn) Put(key string, value []byte, lease uint64) {
	t.puts = append(t.puts, kvPut{key: key, value: value, lease: lease})
}

// Remove adds a deletion of key.
func (t *Txn) Remove(key string) { t.removed = append(t.removed, key) }

// Commit applies the writes of t and returns the revision after them. It returns
// store.ErrConflict if an expectation doesn't hold, and store.ErrLeaseExpired if a
// lease doesn't exist.
func (k *KV) Commit(t Txn) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.expireLeases()
	for key, expect := range t.expected {
		if k.pairs[key].pair.Revision() != expect && !k.ignoreRevisions {
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

// put writes a pair. The caller holds the lock and has checked that the lease
// exists.
func (k *KV) put(put kvPut) {
	if put.lease != 0 {
		k.leases[put.lease].keys[put.key] = true
	}
	k.revision++
	k.pairs[put.key] = kvPair{pair: store.NewPair(put.key, slices.Clone(put.value), k.revision), lease: put.lease}
	delete(k.deleted, put.key)
	k.notify()
}

// Changes waits for a change under prefix after a revision and returns all such
// changes with the current revision, or no changes if ctx ends first. It reports
// false if the service hasn't reached the revision or its reads are frozen.
func (k *KV) Changes(ctx context.Context, prefix string, after uint64) ([]store.Change, uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.reads++
	if !k.waitForChange(ctx, []string{prefix}, after) {
		return nil, max(after, k.revision), true
	}
	if k.revision < after || k.frozenReads != nil {
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

// Put sets key if it is at the revision expect, where zero means that it must not
// exist. A lease other than zero deletes the key when the lease expires.
func (k *KV) Put(key string, value []byte, expect, lease uint64) (uint64, error) {
	var t Txn
	t.Expect(key, expect)
	t.Put(key, value, lease)
	return k.Commit(t)
}

// Delete deletes key if it is at the revision expect.
func (k *KV) Delete(key string, expect uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.expireLeases()
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

// notify wakes all watchers. The caller holds the lock.
func (k *KV) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Read returns all pairs under the prefixes.
func (k *KV) Read(prefixes []string) store.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.reads++
	k.expireLeases()
	return k.read(prefixes)
}

func (k *KV) read(prefixes []string) store.Snapshot {
	if k.frozenReads != nil {
		return filter(*k.frozenReads, prefixes)
	}
	var pairs []store.Pair
	for key, held := range k.pairs {
		if hasAnyPrefix(key, prefixes) {
			pairs = append(pairs, held.pair)
		}
	}
	slices.SortFunc(pairs, func(a, b store.Pair) int { return cmp.Compare(a.Key(), b.Key()) })
	return store.SnapshotAt(pairs, store.At(k.era, k.revision))
}

func filter(snapshot store.Snapshot, prefixes []string) store.Snapshot {
	var pairs []store.Pair
	for _, pair := range snapshot.Pairs() {
		if hasAnyPrefix(pair.Key(), prefixes) {
			pairs = append(pairs, pair)
		}
	}
	return store.SnapshotAt(pairs, snapshot.Position())
}

func hasAnyPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// Watch waits for a change under the prefixes after the revision since and returns
// all their pairs, or store.Unchanged if ctx ends first.
func (k *KV) Watch(ctx context.Context, prefixes []string, since uint64) store.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.reads++
	if k.waitForChange(ctx, prefixes, since) {
		return k.read(prefixes)
	}
	return store.Unchanged(store.At(k.era, max(since, k.revision)))
}

// waitForChange waits for a change under the prefixes after the revision since, and
// returns false if ctx ends first. The caller holds the lock, which is released
// while waiting.
func (k *KV) waitForChange(ctx context.Context, prefixes []string, since uint64) bool {
	k.counts.waiting++
	defer func() { k.counts.waiting-- }()
	for {
		k.expireLeases()
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
		case <-time.After(leaseCheckInterval):
		}
		k.mu.Lock()
	}
}

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

// changedSince reports whether a pair under the prefixes was written or deleted
// after the revision since. It also returns true if since is in the future, so
// that a watcher notices that the service went back to an older state.
func (k *KV) changedSince(prefixes []string, since uint64) bool {
	if k.revision < since || (k.frozenReads != nil && k.frozenReads.Revision() < since) {
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

// Grant creates a lease that expires after ttl unless it is renewed, and returns
// its ID.
func (k *KV) Grant(ttl time.Duration) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.revision++
	id := k.revision
	k.leases[id] = &kvLease{ttl: ttl, expiresAt: time.Now().Add(ttl), keys: make(map[string]bool)}
	return id
}

// KeepAlive renews a lease.
func (k *KV) KeepAlive(lease uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	k.expireLeases()
	held, ok := k.leases[lease]
	if !ok {
		return store.ErrLeaseExpired
	}
	held.expiresAt = time.Now().Add(held.ttl)
	return nil
}

// Revoke deletes a lease and its keys.
func (k *KV) Revoke(lease uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.writes++
	if held, ok := k.leases[lease]; ok {
		k.deleteLease(lease, held)
	}
}

func (k *KV) deleteLease(id uint64, held *kvLease) {
	delete(k.leases, id)
	for key := range held.keys {
		if k.pairs[key].lease == id {
			k.remove(key)
		}
	}
}

// expireLeases deletes the expired leases and their keys. The caller holds the
// lock.
func (k *KV) expireLeases() {
	now := time.Now()
	for id, held := range k.leases {
		if now.After(held.expiresAt) {
			k.deleteLease(id, held)
		}
	}
}

// FreezeReads makes reads return the current state, while writes continue, until
// UnfreezeReads is called. It simulates a service that returns with an older state.
func (k *KV) FreezeReads() {
	k.mu.Lock()
	defer k.mu.Unlock()
	snapshot := k.read([]string{""})
	k.frozenReads = &snapshot
}

// Backup is a copy of the service's pairs and leases at one revision.
type Backup struct {
	pairs    map[string]kvPair
	leases   map[uint64]time.Duration
	revision uint64
}

// Backup returns a copy of the current state, for Restore and Recover.
func (k *KV) Backup() Backup {
	k.mu.Lock()
	defer k.mu.Unlock()
	leases := make(map[uint64]time.Duration)
	for id, held := range k.leases {
		leases[id] = held.ttl
	}
	return Backup{pairs: maps.Clone(k.pairs), leases: leases, revision: k.revision}
}

// RecoveredLeases selects what becomes of the leases of a backup.
type RecoveredLeases int

// What becomes of the leases of a backup, which run anew from the recovery if they are kept.
const (
	// KeepLeases keeps the leases.
	KeepLeases RecoveredLeases = iota
	// DropLeases drops the leases and keeps their keys, which then never expire.
	DropLeases
	// DropLeasesAndKeys drops the leases and their keys.
	DropLeasesAndKeys
)

// Recover replaces the state with a backup and begins a new era, in which the revisions and
// leases after the backup are given out again.
func (k *KV) Recover(backup Backup, leases RecoveredLeases) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era++
	k.pairs, k.deleted, k.leases = make(map[string]kvPair), make(map[string]uint64), make(map[uint64]*kvLease)
	k.revision = backup.revision
	if leases == KeepLeases {
		for id, ttl := range backup.leases {
			k.leases[id] = &kvLease{ttl: ttl, expiresAt: time.Now().Add(ttl), keys: make(map[string]bool)}
		}
	}
	for key, held := range backup.pairs {
		if held.lease != 0 && leases == DropLeasesAndKeys {
			continue
		}
		if lease, ok := k.leases[held.lease]; ok {
			lease.keys[key] = true
		}
		k.pairs[key] = held
	}
	k.notify()
}

// Restore replaces the pairs with those of a backup within the same era. It simulates a service
// that lost its latest writes and doesn't say so.
func (k *KV) Restore(backup Backup) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pairs = maps.Clone(backup.pairs)
	k.revision = backup.revision
	k.deleted = make(map[string]uint64)
	k.notify()
}

// IgnoreRevisions makes transactions succeed at any revision, which violates
// compare-and-swap. Tests use it to show that a check detects such a service.
func (k *KV) IgnoreRevisions() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ignoreRevisions = true
}

// UnfreezeReads reverts FreezeReads.
func (k *KV) UnfreezeReads() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.frozenReads = nil
	k.notify()
}
