package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/mirror"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/pkg/table"
	"github.com/lentilstand/lentilstand/platform"
)

// TestGuestsAreFewAndHeardLately guards against an entry that sends hellos to ever more senders, or
// twice to a member.
func TestGuestsAreFewAndHeardLately(t *testing.T) {
	state := mirror.New(platform.Decode)
	key, value := platform.MemberPair(table.NewMember("entry-1", "a", "10.0.0.1:1", "10.0.0.1:2"), "x")
	now := time.Unix(1000, 0)
	state.Apply([]store.Change{store.Written(store.NewPair(key, value, 1))}, 1, now, now)
	view := state.View()
	var g guests
	g.hear(view, netip.MustParseAddrPort("10.0.0.1:2"), false, now)
	require.Empty(t, g.list(view, now), "a member is no guest")
	for port := range 10 * maxGuests {
		g.hear(view, netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), uint16(port+1)), false, now)
	}
	require.Len(t, g.list(view, now), maxGuests)
	g.hear(view, netip.MustParseAddrPort("10.0.0.2:1"), true, now)
	require.Len(t, g.list(view, now), maxGuests-1, "one has left")
	now = now.Add(peerTimeout(1) + time.Millisecond)
	require.Empty(t, g.list(view, now))
}
