// Package hints tells entries in few bytes which prompts an engine's cache may
// hold.
//
// A Filter is a Bloom filter of 64 bytes. It may say that it holds what it doesn't,
// which costs a request a detour to an engine without its cache, and nothing
// else.
package hints

import "github.com/cespare/xxhash/v2"

// Sizes of a Filter.
const (
	setBytes = 64
	setBits  = 8 * setBytes
	probes   = 2
	halfWord = 32
)

// PrefixBytes is how much of a prompt makes one entry of an engine's cache.
const PrefixBytes = 64

// HashPrefix returns the number by which engines name the beginning of a prompt, in
// which each message is its role, a colon, a blank, its content and a line feed.
func HashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Filter is a set of prefixes. The empty Filter holds nothing.
type Filter []byte

// New returns the set of prefixes.
func New(prefixes []uint64) Filter {
	if len(prefixes) == 0 {
		return nil
	}
	set := make(Filter, setBytes)
	for _, prefix := range prefixes {
		for i := range probes {
			bit := position(prefix, i)
			set[bit/8] |= 1 << (bit % 8)
		}
	}
	return set
}

// position returns the ith bit of a prefix.
func position(prefix uint64, i int) uint64 { return prefix >> (i * halfWord) % setBits }

// MayContain reports whether the set may hold a prefix.
func (s Filter) MayContain(prefix uint64) bool {
	if len(s) != setBytes {
		return false
	}
	for i := range probes {
		bit := position(prefix, i)
		if s[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}
