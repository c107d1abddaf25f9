package store

import (
	"maps"
	"slices"
	"strings"
)

// Change is a write of a pair or the removal of a key.
type Change struct {
	pair    Pair
	removed bool
}

// Written returns the change that writes pair.
func Written(pair Pair) Change { return Change{pair: pair} }

// Removed returns the change that removes key at revision.
func Removed(key string, revision uint64) Change {
	return Change{pair: NewPair(key, nil, revision), removed: true}
}

// Pair returns the pair that was written, or the removed key without a value.
func (c Change) Pair() Pair { return c.pair }

// IsRemoved reports whether the key was removed.
func (c Change) IsRemoved() bool { return c.removed }

// Apply returns a snapshot at revision, in the era of s, with changes applied to s. It ignores a
// change that is older than the pair of its key. It doesn't know the revisions of removed
// keys, so an older write that follows a removal is applied.
func (s Snapshot) Apply(changes []Change, revision uint64) Snapshot {
	pairs := make(map[string]Pair, len(s.pairs))
	for _, pair := range s.pairs {
		pairs[pair.key] = pair
	}
	for _, change := range changes {
		key := change.pair.key
		if pairs[key].revision > change.pair.revision {
			continue
		}
		if change.removed {
			delete(pairs, key)
		} else {
			pairs[key] = change.pair
		}
	}
	sorted := slices.SortedFunc(maps.Values(pairs), func(a, b Pair) int { return strings.Compare(a.key, b.key) })
	return SnapshotAt(sorted, At(s.position.era, revision))
}
