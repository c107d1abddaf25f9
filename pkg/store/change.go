package store

// Change is a pair that was written, or a key that was removed.
type Change struct {
	pair    Pair
	removed bool
}

// Written returns the change that wrote pair.
func Written(pair Pair) Change { return Change{pair: pair} }

// Removed returns the change that removed key at revision.
func Removed(key string, revision uint64) Change {
	return Change{pair: NewPair(key, nil, revision), removed: true}
}

// Pair returns what was written; of a removed key it has no value.
func (c Change) Pair() Pair { return c.pair }

// IsRemoved reports whether the key was removed.
func (c Change) IsRemoved() bool { return c.removed }
