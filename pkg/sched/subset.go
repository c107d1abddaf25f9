package sched

import (
	"net/netip"
	"time"

	"github.com/lentilstand/lentilstand/pkg/subset"
)

// growSubsetAfter is how long the entry must need a larger subset before it gets one.
// While a fleet starts, its entries see only a part of the members, and would use all
// endpoints for a moment.
const growSubsetAfter = 2 * time.Second

// subsetState is the size of the entry's subset of the endpoints.
type subsetState struct {
	// size is the current size, and usable the number of endpoints that it is taken from.
	size, usable int
	// tooSmallSince is when a larger size was first needed, zero if none is.
	tooSmallSince time.Time
}

// updateSubset selects the endpoints that the entry uses. Endpoints that leave or are
// evacuated are unused, and others take their places; but they remain observed, as their
// agents still take part in their groups. The caller must hold s.mu.
func (s *Service) updateSubset(now time.Time) {
	if s.entry == "" {
		return
	}
	var usable []*endpoint
	for _, e := range s.endpoints {
		if e.unused = e.draining || s.evacuated[e.spec.DataCentre()]; !e.unused {
			usable = append(usable, e)
		}
	}
	s.subset.usable = len(usable)
	s.subset.resize(subset.Size(1+s.otherEntries(), len(usable)), min(len(usable), subset.MinEndpoints), now)
	for i, selected := range subset.Select(s.entry, endpointIDs(usable), s.subset.size) {
		usable[i].unused = !selected
	}
	for i, selected := range subset.Select(s.entry, endpointIDs(s.endpoints), s.subset.size) {
		s.endpoints[i].observed = selected
	}
}

func endpointIDs(endpoints []*endpoint) []string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.spec.ID())
	}
	return ids
}

// resize sets the size to the one wanted, or at first to a minimum. It grows only after
// growSubsetAfter.
func (s *subsetState) resize(wanted, minimum int, now time.Time) {
	s.size = max(min(s.size, wanted), min(minimum, wanted))
	switch {
	case wanted <= s.size:
		s.tooSmallSince = time.Time{}
	case s.tooSmallSince.IsZero():
		s.tooSmallSince = now
	case now.Sub(s.tooSmallSince) >= growSubsetAfter:
		s.size, s.tooSmallSince = wanted, time.Time{}
	}
}

// EntriesPerEndpoint returns how many entries are expected to use an endpoint.
func (s *Service) EntriesPerEndpoint() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entriesPerEndpoint()
}

// entriesPerEndpoint is EntriesPerEndpoint for a caller that holds s.mu.
func (s *Service) entriesPerEndpoint() float64 {
	entries := 1 + s.otherEntries()
	if s.entry == "" {
		return float64(entries)
	}
	return max(1, subset.EntriesPerEndpoint(entries, s.subset.usable, s.subset.size))
}

// maxEntriesPerEndpoint returns the largest number of entries, of a fleet of a size, that
// are expected to use an endpoint. The caller must hold s.mu.
func (s *Service) maxEntriesPerEndpoint(entries int) int {
	if s.entry == "" {
		return entries
	}
	return max(1, subset.MaxEntries(entries, s.subset.usable, s.subset.size))
}

// othersAt returns the number of other entries that use an endpoint: those that its
// agent reports to, or the expected number of entries less one. The caller must hold s.mu.
func (s *Service) othersAt(e *endpoint, expected float64, now time.Time) float64 {
	if s.entry != "" && e.hasFreshReport(now) && e.entries > 0 {
		return float64(e.entries - 1)
	}
	return expected - 1
}

// ReportSources returns the addresses of the endpoints whose agents this entry
// subscribes to: those that it uses or observes, and those that still run requests of it.
func (s *Service) ReportSources() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []netip.AddrPort
	for _, e := range s.endpoints {
		if s.entry == "" || !e.unused || e.observed || e.own > 0 {
			addresses = append(addresses, e.spec.Address())
		}
	}
	return addresses
}
