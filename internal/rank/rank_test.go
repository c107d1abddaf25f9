package rank_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/rank"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

const (
	ranks   = 4
	sets    = 2
	experts = 16
	slots   = 6
)

// freeAddresses returns the IP addresses of one host for each rank and one for the
// entry, and a port that is free on all of them along with the next two.
func freeAddresses(t *testing.T) (ips []string, port int) {
	base := rand.IntN(200) + 20
	for range 50 {
		ips = nil
		port = 20000 + rand.IntN(20000)
		free := true
		for i := range ranks + 1 {
			ip := fmt.Sprintf("127.88.%d.%d", base, i+1)
			ips = append(ips, ip)
			for p := range 3 {
				listener, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port+p)))
				if err != nil {
					free = false
					continue
				}
				require.NoError(t, listener.Close())
			}
		}
		if free {
			return ips, port
		}
	}
	t.Fatal("no port is free on all hosts")
	return nil, 0
}

// testGroup is a group of ranks with an agent for each, and an entry that subscribes
// to reports.
type testGroup struct {
	t      *testing.T
	group  *fakes.Group
	agents []*rank.Agent
	// settings has the agents' settings.
	settings []prefs.Rank
	peers    []string
	entry    *dgram.Socket
	// popular is the expert that has as much load as all others together.
	popular atomic.Int64
	// choices is how often a pass chooses each other expert.
	choices atomic.Int64

	mu sync.Mutex
	// demand is what the entry sends to agents that lack it, nil for none. The first lost
	// ones are lost.
	demand *wirepb.Demand
	lost   int
	// demandKnown has the agents' hosts that reported to know the demand.
	demandKnown map[netip.Addr]bool
	// loadReports counts the load reports from each agent's host.
	loadReports map[netip.Addr]int
	// known has for each agent the fingerprint of the agents that it knows.
	known map[netip.Addr]uint32
}

func newTestGroup(t *testing.T) *testGroup {
	ips, port := freeAddresses(t)
	g := &testGroup{t: t, loadReports: make(map[netip.Addr]int), known: make(map[netip.Addr]uint32), demandKnown: make(map[netip.Addr]bool)}
	g.choices.Store(100)
	var replicas []string
	for _, ip := range ips[:ranks] {
		replicas = append(replicas, net.JoinHostPort(ip, fmt.Sprint(port)))
		g.peers = append(g.peers, net.JoinHostPort(ip, fmt.Sprint(port+1)))
	}
	popularity := func(_, expert int) uint64 {
		if expert == int(g.popular.Load()) {
			return 15 * uint64(g.choices.Load())
		}
		return uint64(g.choices.Load())
	}
	group, err := fakes.NewGroup(replicas, sets, experts, 40*time.Millisecond, popularity)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	g.group = group
	for i, ip := range ips[:ranks] {
		settingsText := fmt.Sprintf(`{"name": "agent-%d", "data_centre": "a", "ip": %q, "peer_port": %d, "admin_listen": "%s:%d", "endpoint": %q}`,
			i, ip, port+1, ip, port+2, replicas[i])
		settings, err := prefs.ParseRank("agent.jsonc", []byte(settingsText))
		require.NoError(t, err)
		g.settings, g.agents = append(g.settings, settings), append(g.agents, nil)
		g.start(i)
	}
	g.entry, err = dgram.Listen(net.JoinHostPort(ips[ranks], fmt.Sprint(port+1)), g.handleDatagram, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(g.entry.Close)
	g.subscribe()
	return g
}

func (g *testGroup) handleDatagram(from netip.AddrPort, message *wirepb.Datagram) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if load := message.GetLoad(); load != nil {
		g.demandKnown[from.Addr()] = load.GetDemandKnown()
		if g.demand != nil && !load.GetDemandKnown() {
			if g.lost--; g.lost < 0 {
				g.entry.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: g.demand}}, from)
			}
		}
	}
	if load := message.GetLoad(); load != nil && load.GetOpen() && load.GetReachable() {
		g.loadReports[from.Addr()]++
		g.known[from.Addr()] = load.GetAgentsKnown()
	}
}

// subscribe subscribes to the reports of all agents, repeatedly. Like an entry, it
// sends the addresses of all agents only to agents that don't know them.
func (g *testGroup) subscribe() {
	brief := &wirepb.Subscribe{Sets: sets, Experts: experts, Places: slots, Spare: 3, PauseMs: 120}
	full := proto.CloneOf(brief)
	full.Agents = g.peers
	var addresses []netip.AddrPort
	for _, peer := range g.peers {
		addresses = append(addresses, netip.MustParseAddrPort(peer))
	}
	current := dgram.Fingerprint(addresses)
	done := make(chan struct{})
	g.t.Cleanup(func() { close(done) })
	go func() {
		for {
			for _, address := range addresses {
				request := full
				g.mu.Lock()
				if g.known[address.Addr()] == current {
					request = brief
				}
				g.mu.Unlock()
				g.entry.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: request}}, address)
			}
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

func (g *testGroup) start(at int) {
	agent, err := rank.New(g.settings[at], zap.NewNop())
	require.NoError(g.t, err)
	require.NoError(g.t, agent.Start())
	g.agents[at] = agent
}

func (g *testGroup) stop(at int) {
	g.agents[at].Stop(context.Background())
	g.agents[at] = nil
}

func (g *testGroup) stopAll() {
	for at, agent := range g.agents {
		if agent != nil {
			g.stop(at)
		}
	}
}

// waitBalanced waits until the group uses a map that is newer than the given version
// and nearly balanced, and returns its version.
func (g *testGroup) waitBalanced(after uint64) uint64 {
	var version uint64
	require.Eventually(g.t, func() bool {
		var skew float64
		version, skew = g.group.Map()
		return version > after && skew < 1.3
	}, 15*time.Second, 20*time.Millisecond)
	return version
}

func TestAgentsEvenOutAGroup(t *testing.T) {
	g := newTestGroup(t)
	defer g.stopAll()
	_, before := g.group.Map()
	require.Greater(t, before, 1.9, "skew of the initial map")
	g.waitBalanced(0)
	require.Empty(t, g.group.Violations())
	g.mu.Lock()
	defer g.mu.Unlock()
	require.Len(t, g.loadReports, ranks, "entries receive the load of each endpoint")
	for host, known := range g.known {
		require.NotZero(t, known, "%v knows the agents", host)
	}
}

// TestLostAnswersToOrdersLeaveOneMap guards against ranks with different maps in one
// pass when orders are carried out but a third of the answers is lost.
func TestLostAnswersToOrdersLeaveOneMap(t *testing.T) {
	g := newTestGroup(t)
	defer g.stopAll()
	random := rand.New(rand.NewPCG(3, 4))
	g.group.DropResponses(func(string) bool { return random.IntN(3) == 0 })
	g.waitBalanced(0)
	require.Empty(t, g.group.Violations())
}

// TestLateOrdersDoNotHoldAGroup guards against a group that stands still for a large part
// of a switch when most orders aren't answered and are carried out seconds later.
func TestLateOrdersDoNotHoldAGroup(t *testing.T) {
	g := newTestGroup(t)
	defer g.stopAll()
	random := rand.New(rand.NewPCG(5, 6))
	g.group.DelayOrders(func(string) time.Duration {
		if random.IntN(10) < 7 {
			return 2*time.Second + time.Duration(random.IntN(2000))*time.Millisecond
		}
		return 0
	})
	const switches = 3
	version := uint64(0)
	for range switches {
		before := g.group.HeldTime()
		version = g.waitBalanced(version)
		require.Less(t, g.group.HeldTime()-before, 250*time.Millisecond, "time for which passes were held during a switch")
		g.popular.Add(1)
	}
	require.Empty(t, g.group.Violations())
}

// TestAnotherAgentLeadsWhenTheLeaderIsGone stops the leader's agent after the group
// is balanced. The ranks must still have one map in each pass, and the version of the
// map must not decrease.
func TestAnotherAgentLeadsWhenTheLeaderIsGone(t *testing.T) {
	g := newTestGroup(t)
	defer g.stopAll()
	g.waitBalanced(0)
	g.stop(0)
	time.Sleep(2 * time.Second)
	require.Empty(t, g.group.Violations())
	before, _ := g.group.Map()
	time.Sleep(500 * time.Millisecond)
	after, _ := g.group.Map()
	require.GreaterOrEqual(t, after, before)
}

// TestStoredDemandIsUsedWheneverTheGroupOpens opens a group that chooses too few experts to
// plan by. The leader must plan by the stored demand, though the first datagrams with it are
// lost, and so must another one after the first has stopped, its agent has started again, and the
// group has formed again.
func TestStoredDemandIsUsedWheneverTheGroupOpens(t *testing.T) {
	g := newTestGroup(t)
	defer g.stopAll()
	g.choices.Store(1)
	g.group.Reform()
	weights := make([]byte, sets*experts)
	for i := range weights {
		weights[i] = 17
		if i%experts == 0 {
			weights[i] = 255
		}
	}
	g.mu.Lock()
	g.demand, g.lost = &wirepb.Demand{Sets: sets, Experts: experts, Weights: weights}, 2*ranks
	g.mu.Unlock()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, known := range g.demandKnown {
			if !known {
				return false
			}
		}
		return len(g.demandKnown) == ranks
	}, 5*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second)
	g.group.Open()
	g.waitBalanced(0)
	g.stop(0)
	g.group.Reform()
	time.Sleep(time.Second)
	g.start(0)
	time.Sleep(time.Second)
	_, skew := g.group.Map()
	require.Greater(t, skew, 1.9, "the group has its initial map again")
	g.group.Open()
	g.waitBalanced(0)
	require.Empty(t, g.group.Violations())
}
