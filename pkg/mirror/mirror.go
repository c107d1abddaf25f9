// Package mirror holds what a process believes of the system: the routing table,
// the endpoints, evacuations and members, as one plain state machine apart from
// its sources.
//
// Sources are full reads of the store, changes that a watch shows, and pictures
// of peers. Each is numbered by the store's revision, and a key never goes back
// to an older revision, whichever source speaks. State makes a new immutable
// View of each step, which requests are decided by.
package mirror

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// ExpiryGrace is how long an endpoint whose entry lapsed while the store couldn't
// be watched still counts: live ones register again within about two seconds.
const ExpiryGrace = 2200 * time.Millisecond

// removalsKept is how long the removal of a key is remembered, against older
// news of it from peers.
const removalsKept = 60 * time.Second

// Decoder tells what a pair says: a *table.Table, a *table.Endpoint, a
// table.Evacuation or a table.Member, or an error.
type Decoder func(pair store.Pair) (any, error)

// View is what is believed at one moment. It is immutable.
type View struct {
	table     *table.Table
	endpoints map[string][]*table.Endpoint
	evacuated map[string]bool
	members   []table.Member
	revision  uint64
	confirmed time.Time
}

// Table returns the routing table, nil before the first one is known.
func (p *View) Table() *table.Table { return p.table }

// Endpoints returns the endpoints of a service in the order of their names. The
// caller must not change the slice.
func (p *View) Endpoints(service string) []*table.Endpoint { return p.endpoints[service] }

// EachEndpoint calls f for every endpoint.
func (p *View) EachEndpoint(f func(*table.Endpoint)) {
	for _, endpoints := range p.endpoints {
		for _, endpoint := range endpoints {
			f(endpoint)
		}
	}
}

// Evacuated reports whether nothing more may be sent to a data centre.
func (p *View) Evacuated(dataCentre string) bool { return p.evacuated[dataCentre] }

// Members returns the members in the order of their names. The caller must not
// change the slice.
func (p *View) Members() []table.Member { return p.members }

// Revision returns the store's revision that the picture is of.
func (p *View) Revision() uint64 { return p.revision }

// ConfirmedAt returns when a source last showed that the picture was current.
func (p *View) ConfirmedAt() time.Time { return p.confirmed }

// item is a pair with what it says.
type item struct {
	pair  store.Pair
	says  any
	lapse time.Time
}

// removal remembers that a key is gone.
type removal struct {
	revision uint64
	at       time.Time
}

// Finding is an item that can't be read, or news that would go back.
type Finding struct {
	key string
	err error
}

// Key returns the item's key.
func (f Finding) Key() string { return f.key }

// Err returns what is wrong with it.
func (f Finding) Err() error { return f.err }

// State turns what sources say into pictures. Use New. It is not safe for
// concurrent use.
type State struct {
	decode   Decoder
	items    map[string]item
	removed  map[string]removal
	table    *table.Table
	revision uint64
	// forgotten is the newest revision up to which removals may be unknown.
	forgotten uint64
	current   *View
	findings  []Finding
}

// New returns a state that believes nothing yet.
func New(decode Decoder) *State {
	s := &State{decode: decode, items: make(map[string]item), removed: make(map[string]removal)}
	s.publish(time.Time{})
	return s
}

// View returns what is believed now.
func (s *State) View() *View { return s.current }

// Revision returns the newest revision of the store that was heard of.
func (s *State) Revision() uint64 { return s.revision }

// DrainFindings returns the findings since it was last called.
func (s *State) DrainFindings() []Finding {
	findings := s.findings
	s.findings = nil
	return findings
}

// Pairs returns all pairs that are believed, sorted by key, for a peer.
func (s *State) Pairs() []store.Pair {
	pairs := make([]store.Pair, 0, len(s.items))
	for _, it := range s.items {
		if it.lapse.IsZero() {
			pairs = append(pairs, it.pair)
		}
	}
	slices.SortFunc(pairs, func(a, b store.Pair) int { return strings.Compare(a.Key(), b.Key()) })
	return pairs
}

// ChangesSince returns what has changed after a revision, for a peer. It reports false
// if that isn't known any more.
func (s *State) ChangesSince(revision uint64) ([]store.Change, bool) {
	if revision < s.forgotten || revision == 0 {
		return nil, false
	}
	var changes []store.Change
	for _, it := range s.items {
		if it.pair.Revision() > revision && it.lapse.IsZero() {
			changes = append(changes, store.Written(it.pair))
		}
	}
	for key, gone := range s.removed {
		if gone.revision > revision {
			changes = append(changes, store.Removed(key, gone.revision))
		}
	}
	return changes, true
}

// Replace takes in a full read as of the snapshot's revision. Keys that it
// doesn't hold are gone; an endpoint's entry lapses with ExpiryGrace if afterGap
// says that the store couldn't be watched before. It reports whether the read
// was taken: one that is older than what is known is not.
func (s *State) Replace(snapshot store.Snapshot, now time.Time, afterGap bool) bool {
	if snapshot.Revision() < s.revision {
		return false
	}
	held := make(map[string]bool, len(snapshot.Pairs()))
	for _, pair := range snapshot.Pairs() {
		held[pair.Key()] = true
		s.write(pair)
	}
	for key, it := range s.items {
		if held[key] || it.pair.Revision() > snapshot.Revision() {
			continue
		}
		s.remove(key, snapshot.Revision(), now, afterGap)
	}
	s.revision = snapshot.Revision()
	// Keys that came and went before the read were never heard of here.
	s.forgotten = max(s.forgotten, snapshot.Revision())
	s.publish(now)
	return true
}

// Apply takes in the changes up to revision.
func (s *State) Apply(changes []store.Change, revision uint64, now time.Time, afterGap bool) {
	for _, change := range changes {
		if change.IsRemoved() {
			s.remove(change.Pair().Key(), change.Pair().Revision(), now, afterGap)
		} else {
			s.write(change.Pair())
		}
	}
	if s.revision == 0 {
		s.forgotten = max(s.forgotten, revision)
	}
	s.revision = max(s.revision, revision)
	s.publish(now)
}

// Confirm takes note that the picture was current at the time now.
func (s *State) Confirm(now time.Time) {
	confirmed := *s.current
	confirmed.confirmed = now
	s.current = &confirmed
}

// Expire ends the grace of entries that lapsed and reports whether any did.
func (s *State) Expire(now time.Time) bool {
	expired := false
	for key, it := range s.items {
		if !it.lapse.IsZero() && now.After(it.lapse) {
			delete(s.items, key)
			expired = true
		}
	}
	for key, gone := range s.removed {
		if now.Sub(gone.at) > removalsKept {
			s.forgotten = max(s.forgotten, gone.revision)
			delete(s.removed, key)
		}
	}
	if expired {
		s.publish(s.current.confirmed)
	}
	return expired
}

func (s *State) write(pair store.Pair) {
	key := pair.Key()
	known, ok := s.items[key]
	if ok && known.lapse.IsZero() && known.pair.Revision() >= pair.Revision() {
		return
	}
	if s.removed[key].revision >= pair.Revision() {
		return
	}
	says, err := s.decode(pair)
	if err != nil {
		s.findings = append(s.findings, Finding{key: key, err: err})
		says = nil
	}
	if newer, isTable := says.(*table.Table); isTable && (s.table == nil || newer.Version() > s.table.Version()) {
		s.table = newer
	}
	delete(s.removed, key)
	s.items[key] = item{pair: pair, says: says}
}

func (s *State) remove(key string, revision uint64, now time.Time, afterGap bool) {
	known, ok := s.items[key]
	if ok && known.pair.Revision() > revision {
		return
	}
	s.removed[key] = removal{revision: revision, at: now}
	if !ok || !known.lapse.IsZero() {
		return
	}
	if afterGap && mayLapse(known.says) {
		known.lapse = now.Add(ExpiryGrace)
		s.items[key] = known
		return
	}
	delete(s.items, key)
}

// mayLapse reports whether an entry can be gone only because its writer couldn't
// reach the store.
func mayLapse(says any) bool {
	switch entry := says.(type) {
	case *table.Endpoint:
		return !entry.Draining()
	case table.Member:
		return true
	default:
		return false
	}
}

// latest returns the endpoint that stands at each address. The entry of one that
// crashed outlives it for a while; the one that started last has its place.
func (s *State) latest() map[netip.AddrPort]*table.Endpoint {
	latest := make(map[netip.AddrPort]*table.Endpoint)
	revisions := make(map[netip.AddrPort]uint64)
	for _, it := range s.items {
		endpoint, ok := it.says.(*table.Endpoint)
		if !ok {
			continue
		}
		address := endpoint.Address()
		other := latest[address]
		later := other == nil || endpoint.Start().After(other.Start()) ||
			(endpoint.Start().Equal(other.Start()) && it.pair.Revision() > revisions[address])
		if later {
			latest[address], revisions[address] = endpoint, it.pair.Revision()
		}
	}
	return latest
}

func (s *State) publish(confirmed time.Time) {
	p := &View{
		table:     s.table,
		endpoints: make(map[string][]*table.Endpoint),
		evacuated: make(map[string]bool),
		revision:  s.revision,
		confirmed: confirmed,
	}
	latest := s.latest()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		switch says := s.items[key].says.(type) {
		case *table.Endpoint:
			if latest[says.Address()] != says {
				continue
			}
			p.endpoints[says.Service()] = append(p.endpoints[says.Service()], says)
		case table.Evacuation:
			p.evacuated[says.DataCentre()] = true
		case table.Member:
			p.members = append(p.members, says)
		}
	}
	s.current = p
}
