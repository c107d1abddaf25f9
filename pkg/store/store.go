// Package store defines the types and errors of the platform's key-value service
// that its clients and implementations share. The operations are declared as small
// interfaces by the packages that use them.
package store

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of the key-value service. Those of a write say whether it has taken
// effect.
var (
	// ErrNotFound is returned if the key doesn't exist.
	ErrNotFound = eris.New("no such key")
	// ErrConflict is returned if the key isn't at the expected revision. The write
	// has not taken effect.
	ErrConflict = eris.New("the key is at another revision")
	// ErrUnavailable is returned if the service can't be reached or rejects requests for
	// now, for example under overload. A write has not taken effect.
	ErrUnavailable = eris.New("the key-value service is unavailable")
	// ErrUncertain is returned if the service gave no usable response. A write may or may
	// not have taken effect.
	ErrUncertain = eris.New("the key-value service gave no usable response")
	// ErrLeaseExpired is returned if the lease has expired.
	ErrLeaseExpired = eris.New("the lease has expired")
)

// Pair is a key with its value and the revision at which it was written.
type Pair struct {
	key      string
	value    []byte
	revision uint64
}

// NewPair returns a pair. The caller must not modify value afterwards.
func NewPair(key string, value []byte, revision uint64) Pair {
	return Pair{key: key, value: value, revision: revision}
}

// Key returns the key.
func (p Pair) Key() string { return p.key }

// Value returns the value. The caller must not modify it.
func (p Pair) Value() []byte { return p.value }

// Revision returns the revision of the service at which the value was written. A
// write to any key increments the revision of the service.
func (p Pair) Revision() uint64 { return p.revision }

// Clone returns a pair with a copy of the value.
func (p Pair) Clone() Pair {
	p.value = slices.Clone(p.value)
	return p
}

// Position is a state of the service: a revision in an era. The service begins a new era each
// time it recovers from a copy, and gives out the revisions after the copy again, so that
// revisions of different eras say nothing about which state is newer. A service without eras is
// always in era zero. The zero value is before every state.
type Position struct{ era, revision uint64 }

// At returns the position of a revision in an era.
func At(era, revision uint64) Position { return Position{era: era, revision: revision} }

// Era returns the era.
func (p Position) Era() uint64 { return p.era }

// Revision returns the revision.
func (p Position) Revision() uint64 { return p.revision }

// Compare returns -1, 0 or 1 as p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.revision, q.revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Snapshot is the state of all keys with certain prefixes at one position.
type Snapshot struct {
	pairs     []Pair
	position  Position
	unchanged bool
}

// NewSnapshot returns a snapshot at revision in era zero. The pairs must be sorted by key.
func NewSnapshot(pairs []Pair, revision uint64) Snapshot { return SnapshotAt(pairs, At(0, revision)) }

// SnapshotAt returns a snapshot at a position. The pairs must be sorted by key.
func SnapshotAt(pairs []Pair, position Position) Snapshot {
	return Snapshot{pairs: pairs, position: position}
}

// Unchanged returns the result of a watch under whose prefixes nothing has changed
// up to a position. It has no pairs.
func Unchanged(position Position) Snapshot {
	return Snapshot{position: position, unchanged: true}
}

// IsUnchanged reports whether the snapshot is a result of Unchanged. The pairs are then
// those of the snapshot that the caller read before.
func (s Snapshot) IsUnchanged() bool { return s.unchanged }

// Pairs returns the pairs sorted by key. The caller must not modify the slice.
func (s Snapshot) Pairs() []Pair { return s.pairs }

// Revision returns the revision of the service at which the snapshot was taken.
func (s Snapshot) Revision() uint64 { return s.position.revision }

// Position returns the position of the service at which the snapshot was taken.
func (s Snapshot) Position() Position { return s.position }

// Get returns the pair of the given key.
func (s Snapshot) Get(key string) (Pair, bool) {
	for _, pair := range s.pairs {
		if pair.key == key {
			return pair, true
		}
	}
	return Pair{}, false
}
