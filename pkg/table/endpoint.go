package table

import (
	"net/netip"
	"time"
)

// EndpointSpec holds the fields of an Endpoint.
type EndpointSpec struct {
	// ID identifies the endpoint. Incarnations with the same ID differ in Start.
	ID string
	// Service is the name of the service that the endpoint belongs to.
	Service string
	// Address is the address that it accepts requests at.
	Address netip.AddrPort
	// DataCentre is the data centre that it runs in.
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining endpoints accept no new requests.
	Draining bool
	// ColdFor is how long it stays cold after it was written to the store.
	ColdFor time.Duration
	// Start is the time at which it started, zero if unknown.
	Start time.Time
	// Sequence rises with each record that the endpoint writes after its start.
	Sequence uint64
}

// Endpoint is a back end of a service.
type Endpoint struct{ spec EndpointSpec }

// NewEndpoint returns an endpoint with the given fields.
func NewEndpoint(spec EndpointSpec) *Endpoint { return &Endpoint{spec: spec} }

// ID returns the endpoint's identifier.
func (e *Endpoint) ID() string { return e.spec.ID }

// Service returns the name of the endpoint's service.
func (e *Endpoint) Service() string { return e.spec.Service }

// Address returns the address that the endpoint accepts requests at.
func (e *Endpoint) Address() netip.AddrPort { return e.spec.Address }

// DataCentre returns the data centre that the endpoint runs in.
func (e *Endpoint) DataCentre() string { return e.spec.DataCentre }

// Slots returns the number of requests that the endpoint runs concurrently.
func (e *Endpoint) Slots() int { return e.spec.Slots }

// Draining reports whether the endpoint accepts no new requests.
func (e *Endpoint) Draining() bool { return e.spec.Draining }

// ColdFor returns how long the endpoint stays cold after it was written to the store.
func (e *Endpoint) ColdFor() time.Duration { return e.spec.ColdFor }

// Start returns the time at which the endpoint started, zero if unknown.
func (e *Endpoint) Start() time.Time { return e.spec.Start }

// Sequence returns the number of the endpoint's record, which rises with each record that it writes
// after its start.
func (e *Endpoint) Sequence() uint64 { return e.spec.Sequence }

// Incarnation returns an identifier of the endpoint that differs after each restart.
func (e *Endpoint) Incarnation() string {
	return e.spec.ID + "@" + e.spec.Start.UTC().Format(time.RFC3339Nano)
}

// Evacuation means that no more requests may be sent to a data centre.
type Evacuation struct{ dataCentre string }

// NewEvacuation returns the evacuation of a data centre.
func NewEvacuation(dataCentre string) Evacuation { return Evacuation{dataCentre: dataCentre} }

// DataCentre returns the data centre that is evacuated.
func (e Evacuation) DataCentre() string { return e.dataCentre }

// Member is an entry that clients may connect to.
type Member struct {
	name          string
	dataCentre    string
	clientAddress string
	peerAddress   string
}

// NewMember returns a member with its addresses for clients and for other processes of
// the system.
func NewMember(name, dataCentre, clientAddress, peerAddress string) Member {
	return Member{name: name, dataCentre: dataCentre, clientAddress: clientAddress, peerAddress: peerAddress}
}

// Name returns the member's name.
func (m Member) Name() string { return m.name }

// DataCentre returns the data centre that the member runs in.
func (m Member) DataCentre() string { return m.dataCentre }

// ClientAddress returns the address for clients.
func (m Member) ClientAddress() string { return m.clientAddress }

// PeerAddress returns the address for other processes of the system.
func (m Member) PeerAddress() string { return m.peerAddress }
