// Package store holds the values and errors that everything which uses the
// platform's key-value service has in common. The operations themselves are
// small interfaces, declared by the packages that use them.
package store

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of the key-value service. They tell a caller what it may conclude
// about a write.
var (
	// ErrNotFound says that there is no such key.
	ErrNotFound = eris.New("no such key")
	// ErrConflict says that the key wasn't at the expected revision; the write
	// did not take effect.
	ErrConflict = eris.New("the key is at another revision")
	// ErrUnavailable says that the service could not be asked; a write did not
	// take effect.
	ErrUnavailable = eris.New("the key-value service is unavailable")
	// ErrUncertain says that no answer came; a write may or may not have taken
	// effect.
	ErrUncertain = eris.New("the key-value service gave no answer")
	// ErrLeaseExpired says that the lease has lapsed.
	ErrLeaseExpired = eris.New("the lease has lapsed")
)

// Pair is a key with its value at a revision.
type Pair struct {
	key      string
	value    []byte
	revision uint64
}

// NewPair returns a pair. It takes over value.
func NewPair(key string, value []byte, revision uint64) Pair {
	return Pair{key: key, value: value, revision: revision}
}

// Key returns the key.
func (p Pair) Key() string { return p.key }

// Value returns the value. The caller must not change it.
func (p Pair) Value() []byte { return p.value }

// Revision returns the revision of the service at which the value was written.
// Revisions grow by one with each write to any key.
func (p Pair) Revision() uint64 { return p.revision }

// Clone returns a pair with a copy of the value.
func (p Pair) Clone() Pair {
	p.value = slices.Clone(p.value)
	return p
}

// Snapshot is what a set of prefixes held at one revision.
type Snapshot struct {
	pairs     []Pair
	revision  uint64
	unchanged bool
}

// NewSnapshot returns a snapshot of pairs, sorted by key, at revision.
func NewSnapshot(pairs []Pair, revision uint64) Snapshot {
	return Snapshot{pairs: pairs, revision: revision}
}

// Unchanged returns the answer to a watch under whose prefixes nothing has
// changed up to revision. It holds no pairs.
func Unchanged(revision uint64) Snapshot {
	return Snapshot{revision: revision, unchanged: true}
}

// IsUnchanged reports whether the snapshot stands for what was read before.
func (s Snapshot) IsUnchanged() bool { return s.unchanged }

// Pairs returns the pairs sorted by key.
func (s Snapshot) Pairs() []Pair { return s.pairs }

// Revision returns the revision of the service at which the snapshot was taken.
func (s Snapshot) Revision() uint64 { return s.revision }

// Get returns the pair of the given key.
func (s Snapshot) Get(key string) (Pair, bool) {
	for _, pair := range s.pairs {
		if pair.key == key {
			return pair, true
		}
	}
	return Pair{}, false
}
