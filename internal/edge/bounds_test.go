package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/blame"
	"github.com/lentilstand/lentilstand/pkg/table"
)

// fleetSizes are the numbers of entries in the sites, in grown sites and at the design
// size.
var fleetSizes = []int{1, 6, 7, 31, 34, 105, 340}

// TestAllEntriesTogetherKeepTheRetryBudget checks that the sum of all entries' retries
// stays within the budget, a fifth of the requests and 88 more in any window of 10 s.
// Requests are distributed unevenly and each entry retries whenever its own budget
// allows it.
func TestAllEntriesTogetherKeepTheRetryBudget(t *testing.T) {
	const ratio, extra, perSecond, window = 0.2, 88, 60, 10 * time.Second
	for _, members := range fleetSizes {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(members), 1))
			budgets := make([]budget, members)
			limits := retryLimits{ratio: ratio, extra: extra, window: window, members: members}
			var requests, retries []time.Time
			start := time.Unix(1000, 0)
			for i := range 40 * perSecond {
				now := start.Add(time.Duration(i) * time.Second / perSecond)
				// The product makes some entries far busier than others.
				index := int(random.Float64() * random.Float64() * float64(members))
				budgets[index].addRequest("s", now, limits)
				requests = append(requests, now)
				for entry := range budgets {
					if budgets[entry].takeRetry("s", now, limits) {
						retries = append(retries, now)
					}
				}
			}
			for _, end := range requests {
				countInWindow := func(times []time.Time) (count float64) {
					for _, at := range times {
						if !at.After(end) && end.Sub(at) < window {
							count++
						}
					}
					return count
				}
				require.LessOrEqual(t, countInWindow(retries), ratio*countInWindow(requests)+extra, "window ending at %v", end.Sub(start))
			}
		})
	}
}

// TestAllEntriesKnowWhatCrashesEndpoints checks that a crashing request is blocked by
// all entries within a second of the third crash, and that at most three more endpoints
// die until then. Callers retry the request at random entries, and a fifth of the hello
// datagrams are lost.
func TestAllEntriesKnowWhatCrashesEndpoints(t *testing.T) {
	const loss, seeds, roundsPerSecond = 0.2, 20, int(time.Second / helloPeriod)
	for _, count := range fleetSizes {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			members := make([]table.Member, count)
			index := make(map[string]int)
			for i := range members {
				members[i] = table.NewMember(fmt.Sprintf("entry-%03d", i), "a", "10.0.0.1:1", "10.0.0.1:2")
				index[members[i].Name()] = i
			}
			fp := requestFingerprint("POST", "/x", "rowers", []byte("poison"))
			for seed := range seeds {
				random := rand.New(rand.NewPCG(uint64(seed), uint64(count)))
				entries := make([]*crashTracker, count)
				targets := make([]roundRobin, count)
				for i := range entries {
					entries[i], targets[i] = newCrashTracker(zap.NewNop()), roundRobin{position: random.IntN(1 << 20)}
				}
				died, notBlocking := 0, 0
				send := func() {
					if entry := entries[random.IntN(count)]; !entry.isBlocked(fp) {
						died++
						entry.recordCrash(fp, fmt.Sprintf("i-%d@1", died), true)
					}
				}
				for died < blockThreshold {
					send()
				}
				for range roundsPerSecond {
					for i, entry := range entries {
						exported := entry.export(false)
						for _, member := range targets[i].next(members) {
							if random.Float64() >= loss {
								entries[index[member.Name()]].merge(exported)
							}
						}
					}
					send()
				}
				for _, entry := range entries {
					if !entry.isBlocked(fp) {
						notBlocking++
					}
				}
				require.Zero(t, notBlocking, "seed %d: entries that do not block the request after a second", seed)
				require.LessOrEqual(t, died, blockThreshold+3, "seed %d", seed)
			}
		})
	}
}

// TestAllEntriesKnowWhichPartCrashesEndpoints checks that requests with a part that crashes
// endpoints reach few of them, at fleets of each size, while five such requests a second come
// at random entries and a fifth of the datagrams is lost.
func TestAllEntriesKnowWhichPartCrashesEndpoints(t *testing.T) {
	const loss, seeds, maxCrashes = 0.2, 20, 5
	tick := helloPeriod
	deadly, common := blame.PartOf("model", "dead01"), blame.PartOf("model", "a0")
	never := func(blame.Part) int { return 1000 }
	for _, count := range fleetSizes {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			members := make([]table.Member, count)
			index := make(map[string]int)
			for i := range members {
				members[i] = table.NewMember(fmt.Sprintf("entry-%03d", i), "a", "10.0.0.1:1", "10.0.0.1:2")
				index[members[i].Name()] = i
			}
			for seed := range seeds {
				random := rand.New(rand.NewPCG(uint64(seed), uint64(count)))
				now := time.Unix(1000, 0)
				entries := make([]*blame.Tracker, count)
				targets := make([]roundRobin, count)
				for i := range entries {
					entries[i], targets[i] = &blame.Tracker{}, roundRobin{position: random.IntN(1 << 20)}
					entries[i].RecordAnswer([]blame.Part{common}, now)
				}
				now = now.Add(time.Minute)
				deliver := func(to int, reports []blame.Report) {
					if random.Float64() >= loss {
						entries[to].Merge(reports, now)
					}
				}
				crashes := 0
				for range int(20 * time.Second / tick) {
					now = now.Add(tick)
					parts := []blame.Part{common, deadly}
					at := random.IntN(count)
					if refused, _ := entries[at].Check(parts, never, now); !refused {
						crashes++
						entries[at].RecordCrash(parts, fmt.Sprint("i-", crashes), now)
						reports := entries[at].Export(now)
						for to := range entries {
							deliver(to, reports)
						}
					}
					for i, entry := range entries {
						reports := entry.Export(now)
						for _, member := range targets[i].next(members) {
							deliver(index[member.Name()], reports)
						}
					}
				}
				require.LessOrEqual(t, crashes, maxCrashes, "seed %d", seed)
				for i, entry := range entries {
					refused, _ := entry.Check([]blame.Part{deadly}, never, now)
					require.True(t, refused, "seed %d: entry %d", seed, i)
					refused, _ = entry.Check([]blame.Part{common}, never, now)
					require.False(t, refused, "seed %d: entry %d", seed, i)
				}
			}
		})
	}
}

// TestMembersThatSendHellosStayListed checks that peerTimeout is longer than two
// rounds of hellos, so that the loss of a hello does not make a member count as failed.
func TestMembersThatSendHellosStayListed(t *testing.T) {
	for _, count := range fleetSizes {
		members := make([]table.Member, count)
		for i := range members {
			members[i] = table.NewMember(fmt.Sprint(i), "a", "10.0.0.1:1", "10.0.0.1:2")
		}
		targets, lastHello := newRoundRobin(), make(map[string]int)
		for tick := range 4 * count {
			for _, member := range targets.next(members) {
				if last, ok := lastHello[member.Name()]; ok {
					require.Less(t, time.Duration(2*(tick-last))*helloPeriod, peerTimeout(count), "%d members", count)
				}
				lastHello[member.Name()] = tick
			}
		}
		require.Len(t, lastHello, count)
	}
}

// TestCallersUseTheWholeFleet checks that the directory lists every entry equally often,
// over all start indexes, and returns as many addresses as it may.
func TestCallersUseTheWholeFleet(t *testing.T) {
	for _, count := range fleetSizes {
		addresses, listed := make([]string, count), make(map[string]int)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("10.0.%d.%d:80", i/256, i%256)
		}
		for start := range addresses {
			response := addressWindow(addresses, start)
			require.Len(t, response, min(count, maxAddresses))
			for _, address := range response {
				listed[address]++
			}
		}
		require.Len(t, listed, count)
		for address, times := range listed {
			require.Equal(t, min(count, maxAddresses), times, address)
		}
	}
}
