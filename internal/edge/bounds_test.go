package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetSizes are the entries of the sites, grown sites and the size to design for.
var fleetSizes = []int{1, 6, 7, 31, 34, 105, 340}

// TestAllEntriesTogetherKeepTheRetryBudget has entries of any number, which get
// uneven parts of the requests, spend all that they may. In no window of 10 s may
// their attempts beyond the first exceed a fifth of the requests and 88 more.
func TestAllEntriesTogetherKeepTheRetryBudget(t *testing.T) {
	const ratio, extra, perSecond, span = 0.2, 88, 60, 10 * time.Second
	for _, members := range fleetSizes {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(members), 1))
			budgets := make([]budget, members)
			allowed := allowance{ratio: ratio, extra: extra, window: span, members: members}
			var requests, extras []time.Time
			start := time.Unix(1000, 0)
			for i := range 40 * perSecond {
				now := start.Add(time.Duration(i) * time.Second / perSecond)
				// The square makes some entries far busier than others.
				at := int(random.Float64() * random.Float64() * float64(members))
				budgets[at].request("s", now, allowed)
				requests = append(requests, now)
				for tried := range budgets {
					if budgets[tried].spend("s", now, allowed) {
						extras = append(extras, now)
					}
				}
			}
			for _, end := range requests {
				in := func(times []time.Time) (count float64) {
					for _, at := range times {
						if !at.After(end) && end.Sub(at) < span {
							count++
						}
					}
					return count
				}
				require.LessOrEqual(t, in(extras), ratio*in(requests)+extra, "until %v", end.Sub(start))
			}
		})
	}
}

// TestAllEntriesTogetherSpareColdEndpoints has all entries send to one cold endpoint
// as fast as they may: it bears 26 in a second, and in no second half as much more
// and five may come.
func TestAllEntriesTogetherSpareColdEndpoints(t *testing.T) {
	const bears, bound = 26.0, 26*1.5 + 5
	for _, members := range fleetSizes {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			cold := make([]endpoint, members)
			var sent []time.Time
			start := time.Unix(1000, 0)
			for now := start; now.Sub(start) < 6*time.Second; now = now.Add(5 * time.Millisecond) {
				for i := range cold {
					if !cold[i].isSpent(now, bears/float64(members)) {
						cold[i].sent = append(cold[i].sent, now)
						sent = append(sent, now)
					}
				}
			}
			require.NotEmpty(t, sent)
			for first, last := 0, 0; last < len(sent); last++ {
				for sent[last].Sub(sent[first]) >= time.Second {
					first++
				}
				require.LessOrEqual(t, float64(last-first+1), float64(bound), "at %v", sent[last].Sub(start))
			}
		})
	}
}
