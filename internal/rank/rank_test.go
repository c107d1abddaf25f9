package rank_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
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
	places  = 6
)

// hosts returns addresses on as many hosts, with one port that is free on all.
func hosts(t *testing.T) (ips []string, port int) {
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

// fleet is a group of ranks with an agent beside each, and an entry that asks for
// reports.
type fleet struct {
	t      *testing.T
	group  *fakes.Group
	agents []*rank.Agent
	peers  []string
	entry  *dgram.Socket

	mu    sync.Mutex
	loads map[netip.Addr]int
	// known holds the fingerprints of the agents that the agents know.
	known map[netip.Addr]uint32
}

func newFleet(t *testing.T) *fleet {
	ips, port := hosts(t)
	f := &fleet{t: t, loads: make(map[netip.Addr]int), known: make(map[netip.Addr]uint32)}
	var replicas []string
	for _, ip := range ips[:ranks] {
		replicas = append(replicas, net.JoinHostPort(ip, fmt.Sprint(port)))
		f.peers = append(f.peers, net.JoinHostPort(ip, fmt.Sprint(port+1)))
	}
	// Expert 0 takes as much as all others together.
	popularity := func(_, expert int) uint64 {
		if expert == 0 {
			return 1500
		}
		return 100
	}
	group, err := fakes.NewGroup(replicas, sets, experts, 40*time.Millisecond, popularity)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	f.group = group
	for i, ip := range ips[:ranks] {
		text := fmt.Sprintf(`{"name": "agent-%d", "data_centre": "a", "ip": %q, "peer_port": %d, "admin_listen": "%s:%d", "endpoint": %q}`,
			i, ip, port+1, ip, port+2, replicas[i])
		settings, err := prefs.ParseRank("agent.jsonc", []byte(text))
		require.NoError(t, err)
		agent, err := rank.New(settings, zap.NewNop())
		require.NoError(t, err)
		require.NoError(t, agent.Start())
		f.agents = append(f.agents, agent)
	}
	f.entry, err = dgram.Listen(net.JoinHostPort(ips[ranks], fmt.Sprint(port+1)), f.heard, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(f.entry.Close)
	f.subscribe()
	return f
}

func (f *fleet) heard(from netip.AddrPort, message *wirepb.Datagram) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if load := message.GetLoad(); load != nil && load.GetOpen() && load.GetReachable() {
		f.loads[from.Addr()]++
		f.known[from.Addr()] = load.GetAgentsKnown()
	}
}

// subscribe asks all agents for reports, again and again. Like an entry it names all
// agents only to those that don't know them.
func (f *fleet) subscribe() {
	short := &wirepb.Subscribe{Sets: sets, Experts: experts, Places: places, Spare: 3, PauseMs: 120}
	full := proto.CloneOf(short)
	full.Agents = f.peers
	var addresses []netip.AddrPort
	for _, peer := range f.peers {
		addresses = append(addresses, netip.MustParseAddrPort(peer))
	}
	current := dgram.Fingerprint(addresses)
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		for {
			for _, address := range addresses {
				asked := full
				f.mu.Lock()
				if f.known[address.Addr()] == current {
					asked = short
				}
				f.mu.Unlock()
				f.entry.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Subscribe{Subscribe: asked}}, address)
			}
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

func (f *fleet) stop(at int) {
	f.agents[at].Stop(context.Background())
	f.agents[at] = nil
}

func (f *fleet) stopAll() {
	for at, agent := range f.agents {
		if agent != nil {
			f.stop(at)
		}
	}
}

// balanced waits until the group uses a map after the given one that is nearly
// even, and returns its version.
func (f *fleet) balanced(after uint64) uint64 {
	var version uint64
	require.Eventually(f.t, func() bool {
		var skew float64
		version, skew = f.group.Map()
		return version > after && skew < 1.3
	}, 15*time.Second, 20*time.Millisecond)
	return version
}

func TestAgentsEvenOutAGroup(t *testing.T) {
	f := newFleet(t)
	defer f.stopAll()
	_, before := f.group.Map()
	require.Greater(t, before, 1.9, "experts in turn")
	f.balanced(0)
	require.Empty(t, f.group.Violations())
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Len(t, f.loads, ranks, "entries hear of each endpoint")
	for host, known := range f.known {
		require.NotZero(t, known, "%v knows the agents", host)
	}
}

func TestLostAnswersToOrdersLeaveOneMap(t *testing.T) {
	f := newFleet(t)
	defer f.stopAll()
	random := rand.New(rand.NewPCG(3, 4))
	f.group.DropResponses(func(string) bool { return random.IntN(3) == 0 })
	f.balanced(0)
	require.Empty(t, f.group.Violations())
}

func TestAnotherAgentLeadsWhenTheLeaderIsGone(t *testing.T) {
	f := newFleet(t)
	defer f.stopAll()
	f.balanced(0)
	f.stop(0)
	time.Sleep(2 * time.Second)
	require.Empty(t, f.group.Violations())
	before, _ := f.group.Map()
	time.Sleep(500 * time.Millisecond)
	after, _ := f.group.Map()
	require.GreaterOrEqual(t, after, before)
}
