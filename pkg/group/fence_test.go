package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/group"
)

// TestAFenceThatIsRefusedIsRenewed has ranks that refuse the first fence for good,
// while a hold that nobody accounts for keeps the group standing. Newer versions
// must be tried until one is accepted.
func TestAFenceThatIsRefusedIsRenewed(t *testing.T) {
	version := uint64(10)
	leader := group.NewLeader(3, 0, func(above uint64) uint64 {
		version = max(version, above) + 1
		return version
	})
	views := make([]group.View, 3)
	ranks := make([]rank, 3)
	ranks[1].held, ranks[1].heldPass = true, 8
	refused := uint64(0)
	now := time.Unix(1000, 0)
	// The bound is that on a group that stands still: 0.4 s to listen, the fence, and
	// as long again after a second.
	const bound = 3 * time.Second
	for began := now; now.Sub(began) < bound; now = now.Add(tick) {
		for i := range views {
			views[i] = group.View{
				Known: true, At: now, Epoch: 1, Open: true, Pass: 7, Prepared: ranks[i].prepared,
				Held: ranks[i].held, HeldPass: ranks[i].heldPass,
			}
		}
		orders, _ := leader.Step(views, now)
		for _, order := range orders {
			if order.Kind == group.Prepare && refused == 0 {
				refused = order.Version
			}
			if order.Kind != group.Prepare || order.Version != refused {
				ranks[order.Rank].take(order, 7)
			}
		}
		if !ranks[1].held {
			return
		}
	}
	require.Fail(t, "the group still stands")
}
