package webio

import "sync/atomic"

// ByteBudget limits bytes of memory that are in use at the same time. The zero value has
// none in use.
type ByteBudget struct {
	used atomic.Int64
}

// Take takes bytes unless more than limit would be in use, and reports whether it did.
func (b *ByteBudget) Take(bytes, limit int64) bool {
	if b.used.Add(bytes) > limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Release returns bytes that were taken.
func (b *ByteBudget) Release(bytes int64) { b.used.Add(-bytes) }
