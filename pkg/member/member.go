// Package member maintains the list of running entries in the platform's key-value service.
// Each entry writes one key with a lease, so that an entry that crashes is removed when
// its lease expires.
//
// A member is an incarnation of an entry, not a host. A restarted process has lost the
// promises that it made in votes, so it is a new member.
package member

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/pkg/store"
)

// Prefix is the key prefix of all members.
const Prefix = "live/member/"

// Key returns the key of the entry with the given name. All incarnations of an entry share
// it.
func Key(name string) string { return Prefix + name }

// Member describes one incarnation of an entry.
type Member struct {
	name          string
	incarnation   string
	dataCentre    string
	clientAddress string
	peerAddress   string
	// version is the number of the configuration version that the entry uses.
	version uint64
	leaving bool
}

// New returns a member that serves callers at clientAddress and other entries at
// peerAddress, each an IP address and a port.
func New(name, incarnation, dataCentre, clientAddress, peerAddress string) Member {
	return Member{
		name:          name,
		incarnation:   incarnation,
		dataCentre:    dataCentre,
		clientAddress: clientAddress,
		peerAddress:   peerAddress,
	}
}

// Name returns the entry's name.
func (m Member) Name() string { return m.name }

// Incarnation returns an identifier of this run of the entry's process.
func (m Member) Incarnation() string { return m.incarnation }

// Voter returns the name under which this run of the process votes.
func (m Member) Voter() string { return m.name + "/" + m.incarnation }

// DataCentre returns the data centre that the entry runs in.
func (m Member) DataCentre() string { return m.dataCentre }

// ClientAddress returns the address for callers.
func (m Member) ClientAddress() string { return m.clientAddress }

// PeerAddress returns the address for other entries.
func (m Member) PeerAddress() string { return m.peerAddress }

// Version returns the number of the configuration version that the entry uses.
func (m Member) Version() uint64 { return m.version }

// Leaving reports whether the entry is draining before it stops.
func (m Member) Leaving() bool { return m.leaving }

// WithVersion returns a copy of the member that uses the given configuration version.
func (m Member) WithVersion(version uint64) Member {
	m.version = version
	return m
}

// WithLeaving returns a copy of the member that is leaving.
func (m Member) WithLeaving() Member {
	m.leaving = true
	return m
}

// memberJSON is the JSON form of a Member.
type memberJSON struct {
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
	encoded, err := json.Marshal(memberJSON{
		Name:        m.name,
		Incarnation: m.incarnation,
		DataCentre:  m.dataCentre,
		Address:     m.clientAddress,
		Peer:        m.peerAddress,
		Version:     m.version,
		Leaving:     m.leaving,
	})
	if err != nil {
		panic("member: a member can't be encoded: " + err.Error())
	}
	return encoded
}

// Decode decodes a member from the JSON that Encode returns.
func Decode(value []byte) (Member, error) {
	var decoded memberJSON
	if err := json.Unmarshal(value, &decoded); err != nil {
		return Member{}, eris.Wrap(err, "can't decode member")
	}
	return Member{
		name:          decoded.Name,
		incarnation:   decoded.Incarnation,
		dataCentre:    decoded.DataCentre,
		clientAddress: decoded.Address,
		peerAddress:   decoded.Peer,
		version:       decoded.Version,
		leaving:       decoded.Leaving,
	}, nil
}

// List returns the members in a snapshot, sorted by name, and the keys of members that
// can't be decoded.
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
