// Package hints encodes compactly which prompt prefixes an engine's cache may
// hold, so that entries can route requests to engines with a cached prefix.
//
// A Filter is a Bloom filter of 64 bytes. A false positive only sends a request
// to an engine that does not have its prefix in the cache.
package hints

import "github.com/cespare/xxhash/v2"

// Parameters of a Filter.
const (
	filterBytes  = 64
	filterBits   = 8 * filterBytes
	probes       = 2
	bitsPerProbe = 32
)

// PrefixBytes is the length of the prompt prefix that is the key of an engine's
// cache.
const PrefixBytes = 64

// HashPrefix returns the hash by which engines identify the prefix of a prompt.
// Each message of the prompt is its role, a colon, a space, its content and a
// line feed.
func HashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Filter is a Bloom filter of prefix hashes. The empty Filter contains nothing.
type Filter []byte

// New returns a filter that contains prefixes.
func New(prefixes []uint64) Filter {
	if len(prefixes) == 0 {
		return nil
	}
	filter := make(Filter, filterBytes)
	for _, prefix := range prefixes {
		for i := range probes {
			bit := bitIndex(prefix, i)
			filter[bit/8] |= 1 << (bit % 8)
		}
	}
	return filter
}

// bitIndex returns the ith bit of a prefix in a filter. Each probe uses another
// half of the 64-bit hash.
func bitIndex(prefix uint64, i int) uint64 { return prefix >> (i * bitsPerProbe) % filterBits }

// MayContain reports whether the filter may contain a prefix. It may return true
// for a prefix that was not added, never false for one that was.
func (f Filter) MayContain(prefix uint64) bool {
	if len(f) != filterBytes {
		return false
	}
	for i := range probes {
		bit := bitIndex(prefix, i)
		if f[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}
