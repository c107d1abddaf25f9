package table

import (
	"net/netip"
	"time"
)

// EndpointSpec is what an Endpoint is made of.
type EndpointSpec struct {
	// ID names one incarnation of the endpoint, or several with different Start.
	ID string
	// Service is the service that the endpoint belongs to.
	Service string
	// Address is where it takes requests.
	Address netip.AddrPort
	// DataCentre is where it stands.
	DataCentre string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining endpoints take no new requests.
	Draining bool
	// ColdFor is how long it stays cold, as of when it was written.
	ColdFor time.Duration
	// Start is when it started, zero if unknown.
	Start time.Time
}

// Endpoint is a back end of a service.
type Endpoint struct{ spec EndpointSpec }

// NewEndpoint returns an endpoint.
func NewEndpoint(spec EndpointSpec) *Endpoint { return &Endpoint{spec: spec} }

// ID returns the endpoint's name.
func (e *Endpoint) ID() string { return e.spec.ID }

// Service returns the name of its service.
func (e *Endpoint) Service() string { return e.spec.Service }

// Address returns where it takes requests.
func (e *Endpoint) Address() netip.AddrPort { return e.spec.Address }

// DataCentre returns where it stands.
func (e *Endpoint) DataCentre() string { return e.spec.DataCentre }

// Slots returns how many requests it runs at once.
func (e *Endpoint) Slots() int { return e.spec.Slots }

// Draining reports whether it takes no new requests.
func (e *Endpoint) Draining() bool { return e.spec.Draining }

// ColdFor returns how long it stays cold, as of when that was written.
func (e *Endpoint) ColdFor() time.Duration { return e.spec.ColdFor }

// Start returns when it started, zero if unknown.
func (e *Endpoint) Start() time.Time { return e.spec.Start }

// Incarnation tells starts of an endpoint apart.
func (e *Endpoint) Incarnation() string {
	return e.spec.ID + "@" + e.spec.Start.UTC().Format(time.RFC3339Nano)
}

// Evacuation asks that nothing more is sent to a data centre.
type Evacuation struct{ dataCentre string }

// NewEvacuation returns the evacuation of a data centre.
func NewEvacuation(dataCentre string) Evacuation { return Evacuation{dataCentre: dataCentre} }

// DataCentre returns what is evacuated.
func (e Evacuation) DataCentre() string { return e.dataCentre }

// Member is an entry that callers may use.
type Member struct {
	name       string
	dataCentre string
	callers    string
	peers      string
}

// NewMember returns a member with its addresses for callers and for peers.
func NewMember(name, dataCentre, callers, peers string) Member {
	return Member{name: name, dataCentre: dataCentre, callers: callers, peers: peers}
}

// Name returns the member's name.
func (m Member) Name() string { return m.name }

// DataCentre returns where the member stands.
func (m Member) DataCentre() string { return m.dataCentre }

// ClientAddress returns the address for callers.
func (m Member) ClientAddress() string { return m.callers }

// PeerAddress returns the address for other processes of the system.
func (m Member) PeerAddress() string { return m.peers }
