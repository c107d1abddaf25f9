package webio

import "sync/atomic"

// ByteBudget limits bytes of memory that are in use at the same time. The zero value has
// none in use.
type ByteBudget struct {
	used atomic.Int64
	// ceiling bounds the limit of each call, unless it is zero.
	ceiling int64
}

// SetCeiling bounds the limits of all calls of Take. It must be called before the first one.
func (b *ByteBudget) SetCeiling(bytes int64) { b.ceiling = bytes }

// Take takes bytes unless more than limit would be in use, and reports whether it did.
func (b *ByteBudget) Take(bytes, limit int64) bool {
	if b.ceiling > 0 {
		limit = min(limit, b.ceiling)
	}
	if b.used.Add(bytes) > limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Release returns bytes that were taken.
func (b *ByteBudget) Release(bytes int64) { b.used.Add(-bytes) }
