// Package mirror keeps a process's local copy of the routing state in the store: the
// routing table, the endpoints, the evacuations, the members and the demands for experts. It is a state machine
// without I/O of its own.
//
// Its input comes from full reads of the store, from a watch on the store, and from
// peers. All input carries positions of the store, and a key never goes back to an
// older revision of the same era, whichever source it comes from. After each input, State
// publishes a new immutable View, by which requests are routed.
//
// A store that recovers from a copy begins a new era. What the copy shows may be older than
// what the state knows, so the state holds on to the later form of a key until that is written
// again, or for a while; see hold.go.
package mirror

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lentilstand/lentilstand/pkg/demand"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// ExpiryGrace is how long after the store has returned an endpoint or member stays in the
// View though its key has expired. Running ones register again within about two seconds
// of the store's return.
const ExpiryGrace = 2200 * time.Millisecond

// maxStartLead is how far ahead of the clock the start of an endpoint may seem to be. Clocks
// of hosts differ by seconds.
const maxStartLead = time.Hour

// tombstoneRetention is how long the removal of a key is remembered, so that a peer with
// an older state can't add the key again.
const tombstoneRetention = 60 * time.Second

// Decoder decodes a pair into a *table.Table, a *table.Endpoint, a table.Evacuation, a
// table.Member or a demand.Stored.
type Decoder func(pair store.Pair) (any, error)

// View is an immutable snapshot of the routing state.
type View struct {
	table     *table.Table
	endpoints map[string][]*table.Endpoint
	evacuated map[string]bool
	members   []table.Member
	demands   map[string]*demand.Demand
	ignored   map[string]string
	position  store.Position
	confirmed time.Time
}

// Table returns the routing table, nil before the first one is known.
func (v *View) Table() *table.Table { return v.table }

// Endpoints returns the endpoints of a service, sorted by key. The caller must not
// modify the slice.
func (v *View) Endpoints(service string) []*table.Endpoint { return v.endpoints[service] }

// EachEndpoint calls f for every endpoint.
func (v *View) EachEndpoint(f func(*table.Endpoint)) {
	for _, endpoints := range v.endpoints {
		for _, endpoint := range endpoints {
			f(endpoint)
		}
	}
}

// Evacuated reports whether no more requests may be sent to a data centre.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }

// Members returns the members, sorted by key. The caller must not modify the slice.
func (v *View) Members() []table.Member { return v.members }

// Demand returns the stored demand for the experts of a service, nil if there is none.
func (v *View) Demand(service string) *demand.Demand { return v.demands[service] }

// Ignored returns why endpoints in the store aren't used, by ID. The caller must not modify
// the map.
func (v *View) Ignored() map[string]string { return v.ignored }

// Revision returns the revision of the store that the view reflects.
func (v *View) Revision() uint64 { return v.position.Revision() }

// Position returns the position of the store that the view reflects.
func (v *View) Position() store.Position { return v.position }

// ConfirmedAt returns when a source last confirmed that the view was current.
func (v *View) ConfirmedAt() time.Time { return v.confirmed }

// record is a pair with its decoded value, which is nil if the pair can't be decoded.
type record struct {
	pair store.Pair
	// era is that of the pair's revision.
	era   uint64
	value any
	// expires is the end of the grace period of a removed key, zero for other keys.
	expires time.Time
	// held is set if the pair is of an earlier era than the state and not written again yet.
	held *hold
}

// position returns the position at which the pair was written.
func (r record) position() store.Position { return store.At(r.era, r.pair.Revision()) }

// lastState returns the record as the last known state of its key.
func (r record) lastState() lastState { return lastState{value: r.value, position: r.position()} }

// tombstone records the removal of a key.
type tombstone struct {
	position store.Position
	at       time.Time
	// last is the record that was removed, if it was known.
	last record
	// held is set if the removal is of an earlier era than the state and the store shows the
	// key.
	held *hold
}

// lastState returns the removal as the last known state of its key.
func (t tombstone) lastState() lastState {
	return lastState{value: t.last.value, removed: true, position: t.position}
}

// Finding is a pair that can't be decoded.
type Finding struct {
	key string
	err error
}

// Key returns the pair's key.
func (f Finding) Key() string { return f.key }

// Err returns the error of the Decoder.
func (f Finding) Err() error { return f.err }

// State merges the input of all sources and publishes Views. Use New to create one. It
// is not safe for concurrent use.
type State struct {
	decode     Decoder
	records    map[string]record
	tombstones map[string]tombstone
	table      *table.Table
	position   store.Position
	// compacted is the newest revision of the era up to which some removals may be missing
	// from tombstones.
	compacted uint64
	// eraKnownSince is the earliest moment at which this process or a peer knew the latest era.
	eraKnownSince time.Time
	// released holds what the state has let go of in the latest era, by key, so that a peer can't make
	// it hold on to that again.
	released map[string]lastState
	// heldOnce has the positions of all that the state has held in the latest era, by key, and
	// fingerprint identifies them.
	heldOnce    map[string]store.Position
	fingerprint uint64
	// isHolding is set if the state holds anything.
	isHolding bool
	current   *View
	findings  []Finding
	// reserved holds addresses that no endpoint has, and dataCentres the names of the data
	// centres, empty if they aren't known.
	reserved    map[netip.AddrPort]bool
	dataCentres map[string]bool
	// now is the time of the last input.
	now time.Time
}

// New returns an empty state.
func New(decode Decoder) *State {
	s := &State{
		decode: decode, records: make(map[string]record), tombstones: make(map[string]tombstone),
		released: make(map[string]lastState), heldOnce: make(map[string]store.Position),
	}
	s.publish(time.Time{})
	return s
}

// SetSite sets the addresses of this process, which no endpoint has, and the names of the
// data centres, none if they aren't known. They apply from the next input on.
func (s *State) SetSite(own []netip.AddrPort, dataCentres []string) {
	s.reserved, s.dataCentres = make(map[netip.AddrPort]bool), make(map[string]bool)
	for _, address := range own {
		s.reserved[address] = true
	}
	for _, name := range dataCentres {
		s.dataCentres[name] = true
	}
}

// View returns the current view.
func (s *State) View() *View { return s.current }

// Position returns the latest position of the store that the state has received.
func (s *State) Position() store.Position { return s.position }

// Revision returns the newest revision of the store that the state has received in the latest era.
func (s *State) Revision() uint64 { return s.position.Revision() }

// DrainFindings returns the findings since its last call.
func (s *State) DrainFindings() []Finding {
	findings := s.findings
	s.findings = nil
	return findings
}

// Pairs returns the pairs that the store has, sorted by key, as input for a peer. It leaves
// out keys that are in their grace period.
func (s *State) Pairs() []store.Pair {
	pairs := make([]store.Pair, 0, len(s.records))
	for key := range s.records {
		if pair, ok := s.Lookup(key); ok && s.tombstones[key].held == nil {
			pairs = append(pairs, pair)
		}
	}
	for _, removed := range s.tombstones {
		if removed.held != nil {
			pairs = append(pairs, removed.held.shown)
		}
	}
	slices.SortFunc(pairs, func(a, b store.Pair) int { return strings.Compare(a.Key(), b.Key()) })
	return pairs
}

// Lookup returns the pair that the store has for a key, unless the key is unknown or in its
// grace period.
func (s *State) Lookup(key string) (store.Pair, bool) {
	if removed := s.tombstones[key]; removed.held != nil {
		return removed.held.shown, true
	}
	rec, ok := s.records[key]
	if rec.held != nil {
		return rec.held.shown, rec.held.isShown()
	}
	return rec.pair, ok && rec.expires.IsZero()
}

// ChangesSince returns the changes after a revision of the latest era, as input for a peer. It
// returns false if the state may no longer know all of them.
func (s *State) ChangesSince(revision uint64) ([]store.Change, bool) {
	if revision < s.compacted || revision == 0 {
		return nil, false
	}
	var changes []store.Change
	for _, pair := range s.Pairs() {
		if pair.Revision() > revision {
			changes = append(changes, store.Written(pair))
		}
	}
	for key, removed := range s.tombstones {
		if removed.held == nil && removed.position.After(store.At(s.position.Era(), revision)) {
			changes = append(changes, store.Removed(key, removed.position.Revision()))
		}
	}
	return changes, true
}

// Replace sets the state to a full read of the store. Keys that are missing from the
// snapshot are removed, but members and endpoints that aren't draining stay until
// graceUntil, which is ExpiryGrace after the store has returned, or in the past if it was
// reachable all the time. After the first snapshot of an era the state holds on to what the
// store has lost. Replace returns false and ignores a snapshot that is older than the state.
func (s *State) Replace(snapshot store.Snapshot, now, graceUntil time.Time) bool {
	position := snapshot.Position()
	if s.position.After(position) {
		return false
	}
	s.now = now
	newEra := position.Era() > s.position.Era()
	if newEra {
		s.beginEra()
	}
	s.position = position
	present := make(map[string]bool, len(snapshot.Pairs()))
	for _, pair := range snapshot.Pairs() {
		present[pair.Key()] = true
		s.write(pair, newEra)
	}
	for key, rec := range s.records {
		if !present[key] && !rec.position().After(position) {
			s.miss(key, newEra, graceUntil)
		}
	}
	for key, removed := range s.tombstones {
		if removed.held != nil && !present[key] {
			removed.held = nil
			s.tombstones[key] = removed
		}
		if newEra && s.mayBeMissed(removed) {
			s.noteHeld(key, removed.position)
		}
	}
	// Keys that were added and removed again before the read left no tombstone.
	s.compacted = max(s.compacted, position.Revision())
	s.publish(now)
	return true
}

// Apply applies the changes up to revision, in the latest era. Removed members and endpoints
// that aren't draining stay until graceUntil, as in Replace. It ignores changes up to the state's
// revision, which a late answer may bring.
func (s *State) Apply(changes []store.Change, revision uint64, now, graceUntil time.Time) {
	s.now = now
	for _, change := range changes {
		switch pair := change.Pair(); {
		case pair.Revision() <= s.position.Revision():
		case change.IsRemoved():
			s.remove(pair.Key(), pair.Revision(), graceUntil)
		default:
			s.write(pair, false)
		}
	}
	if s.position.Revision() == 0 {
		// Removals before these changes are unknown.
		s.compacted = max(s.compacted, revision)
	}
	s.position = store.At(s.position.Era(), max(s.position.Revision(), revision))
	s.publish(now)
}

// Confirm records that the view was current at the time now.
func (s *State) Confirm(now time.Time) {
	confirmed := *s.current
	confirmed.confirmed = now
	s.current = &confirmed
}

// Expire removes the records whose grace period has ended, lets go of what was held long
// enough, and reports whether there was any of these. It also removes old tombstones.
func (s *State) Expire(now time.Time) bool {
	s.now = now
	expired, forgotten := s.release(), false
	for key, rec := range s.records {
		if !rec.expires.IsZero() && now.After(rec.expires) {
			delete(s.records, key)
			expired = true
		}
	}
	for key, removed := range s.tombstones {
		if removed.held == nil && now.Sub(removed.at) > tombstoneRetention {
			if removed.position.Era() == s.position.Era() {
				s.compacted = max(s.compacted, removed.position.Revision())
			} else {
				s.released[key] = removed.lastState()
			}
			delete(s.tombstones, key)
			forgotten = true
		}
	}
	if forgotten {
		s.updateHolding()
	}
	if expired {
		s.publish(s.current.confirmed)
	}
	return expired
}

// write sets a key to what the store shows in the latest era, unless the state has the same or a
// newer revision of it, or knows of its removal at the same or a newer revision. FirstRead is set
// for the first snapshot of an era.
func (s *State) write(pair store.Pair, firstRead bool) {
	key, position := pair.Key(), store.At(s.position.Era(), pair.Revision())
	known, ok := s.records[key]
	if ok && known.expires.IsZero() && !position.After(known.position()) {
		return
	}
	removed, wasRemoved := s.tombstones[key]
	if wasRemoved && !position.After(removed.position) {
		return
	}
	value, err := s.decode(pair)
	if err != nil {
		s.findings = append(s.findings, Finding{key: key, err: err})
		value = nil
	}
	next := record{pair: pair, era: position.Era(), value: value}
	switch {
	case ok && known.expires.IsZero() && known.era < position.Era() && !known.isReplacedBy(next, firstRead):
		s.keep(known, pair)
		return
	case wasRemoved && removed.position.Era() < position.Era() && !removed.isReplacedBy(next, firstRead):
		s.keepRemoved(key, removed, pair)
		return
	}
	// A peer that can't tell that the pair is later may hold on to what the pair replaces.
	_, isEndpoint := known.value.(*table.Endpoint)
	switch {
	case wasRemoved && removed.position.Era() < position.Era():
		s.released[key] = removed.lastState()
	case isEndpoint && known.era < position.Era() && !bytes.Equal(known.pair.Value(), pair.Value()):
		s.released[key] = known.lastState()
	}
	s.adopt(key, next)
}

// adopt makes a record the one of its key.
func (s *State) adopt(key string, next record) {
	if shown, isTable := next.value.(*table.Table); isTable && (s.table == nil || shown.Version() > s.table.Version()) {
		s.table = shown
	}
	delete(s.tombstones, key)
	s.records[key] = next
}

// remove removes a key as of a revision of the latest era, unless the state has a newer revision
// of it.
func (s *State) remove(key string, revision uint64, graceUntil time.Time) {
	position := store.At(s.position.Era(), revision)
	known, ok := s.records[key]
	if ok && known.position().After(position) {
		return
	}
	if removed, wasRemoved := s.tombstones[key]; !wasRemoved || position.After(removed.position) {
		last := removed.last
		if ok {
			last = known
		}
		s.tombstones[key] = tombstone{position: position, at: s.now, last: last}
	}
	if !ok || !known.expires.IsZero() {
		return
	}
	if s.now.Before(graceUntil) && mayReregister(known.value) {
		known.expires, known.held = graceUntil, nil
		s.records[key] = known
		return
	}
	delete(s.records, key)
}

// mayReregister reports whether the key of a value may have expired only because its
// writer couldn't reach the store, so that the writer registers again.
func mayReregister(value any) bool {
	switch value := value.(type) {
	case *table.Endpoint:
		return !value.Draining()
	case table.Member:
		return true
	default:
		return false
	}
}

// Reasons why an endpoint isn't used.
const (
	unknownService = "no configuration names its service"
	entryAddress   = "its address is that of an entry"
	replaced       = "another endpoint started later at its address"
)

// selectEndpoints returns the endpoints that requests may be sent to, and why the others
// may not, by key. Whoever writes a key may name any address, so an endpoint is judged by
// itself before it competes with others for its address.
func (s *State) selectEndpoints() (selected map[string]*table.Endpoint, ignored map[string]string) {
	selected, ignored = make(map[string]*table.Endpoint), make(map[string]string)
	entries := make(map[netip.AddrPort]bool)
	for _, rec := range s.records {
		if member, ok := rec.value.(table.Member); ok {
			for _, text := range []string{member.ClientAddress(), member.PeerAddress()} {
				if address, err := netip.ParseAddrPort(text); err == nil {
					entries[address] = true
				}
			}
		}
	}
	byAddress := make(map[netip.AddrPort]string)
	for key, rec := range s.records {
		endpoint, ok := rec.value.(*table.Endpoint)
		if !ok {
			continue
		}
		address := endpoint.Address()
		switch {
		case s.table != nil && !s.table.Names(endpoint.Service()):
			ignored[key] = unknownService
			continue
		case s.reserved[address] || entries[address]:
			ignored[key] = entryAddress
			continue
		}
		loser := key
		if other, taken := byAddress[address]; !taken || s.displaces(rec, s.records[other]) {
			loser, byAddress[address] = other, key
		}
		if loser != "" {
			ignored[loser] = replaced
		}
	}
	for _, key := range byAddress {
		selected[key] = s.records[key].value.(*table.Endpoint)
	}
	return selected, ignored
}

// displaces reports whether an endpoint has taken the address of another: it started later.
// The key of a crashed endpoint remains for a while after another has started in its place.
func (s *State) displaces(rec, other record) bool {
	endpoint, rival := rec.value.(*table.Endpoint), other.value.(*table.Endpoint)
	if plausible := s.isPlausible(endpoint); plausible != s.isPlausible(rival) {
		return plausible
	}
	if !endpoint.Start().Equal(rival.Start()) {
		return endpoint.Start().After(rival.Start())
	}
	return rec.position().After(other.position())
}

// isPlausible reports whether an endpoint's start isn't in the future and its data centre is
// a known one. Other endpoints are used too, unless another one has their address.
func (s *State) isPlausible(endpoint *table.Endpoint) bool {
	known := len(s.dataCentres) == 0 || s.dataCentres[endpoint.DataCentre()]
	return known && endpoint.Start().Sub(s.now) <= maxStartLead
}

// publish creates a new View from the records.
func (s *State) publish(confirmed time.Time) {
	view := &View{
		table:     s.table,
		endpoints: make(map[string][]*table.Endpoint),
		evacuated: make(map[string]bool),
		demands:   make(map[string]*demand.Demand),
		position:  s.position,
		confirmed: confirmed,
	}
	selected, ignored := s.selectEndpoints()
	view.ignored = ignored
	s.updateHolding()
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		switch value := s.records[key].value.(type) {
		case *table.Endpoint:
			if selected[key] == nil {
				continue
			}
			view.endpoints[value.Service()] = append(view.endpoints[value.Service()], value)
		case table.Evacuation:
			view.evacuated[value.DataCentre()] = true
		case table.Member:
			view.members = append(view.members, value)
		case demand.Stored:
			view.demands[value.Service()] = value.Demand()
		}
	}
	s.current = view
}
