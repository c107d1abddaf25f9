package edge

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// maxGuests limits the guests of an entry. Anyone may send a hello.
const maxGuests = 64

// guests are the senders of hellos that are no members: entries that have just started, or whose
// lease has ended because the store doesn't answer them. They serve, so that they need the news
// that members get. The zero value is empty.
type guests struct {
	heardAt map[netip.AddrPort]time.Time
	// members has the addresses of the members of a view, by its position and the number of its
	// members, which a grace period that ends changes without a new revision.
	members  map[netip.AddrPort]bool
	position store.Position
	count    int
}

// isMember reports whether a view has a member with an address.
func (g *guests) isMember(view *mirror.View, address netip.AddrPort) bool {
	if g.members == nil || g.position != view.Position() || g.count != len(view.Members()) {
		g.members, g.position, g.count = make(map[netip.AddrPort]bool), view.Position(), len(view.Members())
		for _, member := range view.Members() {
			if address, err := netip.ParseAddrPort(member.PeerAddress()); err == nil {
				g.members[address] = true
			}
		}
	}
	return g.members[address]
}

// hear records a hello of a sender, which is leaving or not.
func (g *guests) hear(view *mirror.View, sender netip.AddrPort, isLeaving bool, now time.Time) {
	if isLeaving || g.isMember(view, sender) {
		delete(g.heardAt, sender)
		return
	}
	if g.heardAt == nil {
		g.heardAt = make(map[netip.AddrPort]time.Time)
	}
	if _, known := g.heardAt[sender]; known || len(g.heardAt) < maxGuests {
		g.heardAt[sender] = now
	}
}

// list returns the guests that were heard lately and aren't members, and forgets all others.
func (g *guests) list(view *mirror.View, now time.Time) []table.Member {
	timeout := peerTimeout(len(view.Members()))
	maps.DeleteFunc(g.heardAt, func(address netip.AddrPort, at time.Time) bool {
		return now.Sub(at) > timeout || g.isMember(view, address)
	})
	var list []table.Member
	for _, address := range slices.SortedFunc(maps.Keys(g.heardAt), netip.AddrPort.Compare) {
		list = append(list, table.NewMember("", "", "", address.String()))
	}
	return list
}
