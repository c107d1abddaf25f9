// Package member keeps the list of the entries that are there, in the platform's
// key-value service. Each entry writes one key that hangs on a lease, so an
// entry that dies disappears when its lease lapses.
//
// A member is an incarnation, not a host: a restarted process has forgotten what
// it promised, so it is a new member.
package member

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// Prefix is the beginning of the keys of all members.
const Prefix = "live/member/"

// Key returns the key of the member with the given name.
func Key(name string) string { return Prefix + name }

// Member is one entry as the key-value service shows it.
type Member struct {
	name        string
	incarnation string
	dataCentre  string
	address     string
	peer        string
	version     uint64
	leaving     bool
}

// New returns a member that serves callers at address and other entries at
// peer, both an IP address and a port.
func New(name, incarnation, dataCentre, address, peer string) Member {
	return Member{name: name, incarnation: incarnation, dataCentre: dataCentre, address: address, peer: peer}
}

// Name returns the entry's name.
func (m Member) Name() string { return m.name }

// Incarnation returns what tells this run of the process from others.
func (m Member) Incarnation() string { return m.incarnation }

// Voter returns the name by which this run of the process has a vote.
func (m Member) Voter() string { return m.name + "/" + m.incarnation }

// DataCentre returns the data centre that the entry stands in.
func (m Member) DataCentre() string { return m.dataCentre }

// ClientAddress returns the address for callers.
func (m Member) ClientAddress() string { return m.address }

// PeerAddress returns the address for other entries.
func (m Member) PeerAddress() string { return m.peer }

// Version returns the number of the configuration version that the entry obeys.
func (m Member) Version() uint64 { return m.version }

// Leaving reports whether the entry withdraws.
func (m Member) Leaving() bool { return m.leaving }

// WithVersion returns the member with the number of the version that it obeys.
func (m Member) WithVersion(version uint64) Member {
	m.version = version
	return m
}

// WithLeaving returns the member as one that withdraws.
func (m Member) WithLeaving() Member {
	m.leaving = true
	return m
}

// wireMember is the JSON shape of a Member.
type wireMember struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Peer        string `json:"peer"`
	Version     uint64 `json:"version"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Encode returns the member as JSON.
func (m Member) Encode() []byte {
	encoded, err := json.Marshal(wireMember{
		Name:        m.name,
		Incarnation: m.incarnation,
		DataCentre:  m.dataCentre,
		Address:     m.address,
		Peer:        m.peer,
		Version:     m.version,
		Leaving:     m.leaving,
	})
	if err != nil {
		panic("member: a member can't be encoded: " + err.Error())
	}
	return encoded
}

// Decode reads a member that Encode wrote.
func Decode(value []byte) (Member, error) {
	var wire wireMember
	if err := json.Unmarshal(value, &wire); err != nil {
		return Member{}, eris.Wrap(err, "can't read a member")
	}
	return Member{
		name:        wire.Name,
		incarnation: wire.Incarnation,
		dataCentre:  wire.DataCentre,
		address:     wire.Address,
		peer:        wire.Peer,
		version:     wire.Version,
		leaving:     wire.Leaving,
	}, nil
}

// List returns the members in a snapshot by name. Keys that can't be read are
// in unreadable.
func List(snapshot store.Snapshot) (members []Member, unreadable []string) {
	for _, pair := range snapshot.Pairs() {
		if !strings.HasPrefix(pair.Key(), Prefix) {
			continue
		}
		member, err := Decode(pair.Value())
		if err != nil {
			unreadable = append(unreadable, pair.Key())
			continue
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return members, unreadable
}
