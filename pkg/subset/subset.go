// Package subset selects the endpoints of a service that one entry uses. If every entry
// used every endpoint, the load reports and connections between them would grow with the
// product of their numbers. With a subset, the cost of a process depends on the ratio of
// endpoints to entries only.
//
// The selection uses rendezvous hashing. It depends on nothing but the name of the entry
// and the IDs of the endpoints, so entries need not agree on anything, and an endpoint that
// joins or leaves changes the subsets of few entries. All functions are pure.
package subset

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinEndpoints is the smallest subset of a service with that many endpoints. Three
	// endpoints with room are drawn for each request, and some of a subset may be full,
	// cold or silent.
	MinEndpoints = 16
	// minEntries is the least mean number of entries that use an endpoint. The number
	// has a binomial distribution; at a mean of 12, one endpoint in 160,000 is used by
	// no entry, and half of them by 10 to 14.
	minEntries = 12
)

// Size returns the number of endpoints that each entry of a fleet uses.
func Size(entries, endpoints int) int {
	covering := (minEntries*endpoints + entries - 1) / max(1, entries)
	return min(endpoints, max(MinEndpoints, covering))
}

// EntriesPerEndpoint returns the mean number of entries that use an endpoint if each uses
// size of them.
func EntriesPerEndpoint(entries, endpoints, size int) float64 {
	return float64(entries) * float64(min(size, endpoints)) / float64(max(1, endpoints))
}

// MaxEntries returns a number of entries that an endpoint's users exceed with a
// probability below 0.2 %: three standard deviations above the mean.
func MaxEntries(entries, endpoints, size int) int {
	if size >= endpoints {
		return entries
	}
	mean := EntriesPerEndpoint(entries, endpoints, size)
	return min(entries, int(math.Ceil(mean+3*math.Sqrt(mean))))
}

// Select reports for each endpoint whether the entry uses it. Endpoints are given by
// their IDs.
func Select(entry string, ids []string, size int) []bool {
	selected := make([]bool, len(ids))
	if size >= len(ids) {
		for i := range selected {
			selected[i] = true
		}
		return selected
	}
	type ranked struct {
		weight uint64
		at     int
	}
	order := make([]ranked, len(ids))
	for i, id := range ids {
		order[i] = ranked{weight: xxhash.Sum64String(entry + "\x00" + id), at: i}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.weight != b.weight && a.weight > b.weight:
			return -1
		case a.weight != b.weight:
			return 1
		default:
			return a.at - b.at
		}
	})
	for _, r := range order[:max(0, size)] {
		selected[r.at] = true
	}
	return selected
}
