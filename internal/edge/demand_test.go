package edge_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

const demandKey = "lentilstand/demand/model"

// startDemandSite starts two entries and an agent of a group of a rank with one set of three
// experts. Demands has those that the agent receives.
func startDemandSite(t *testing.T) (s *site, agent *dgram.Socket, demands chan *wirepb.Demand) {
	s = newSite(t)
	s.write("op/config", `{"version": 1, "services": [{"name": "model", "engine": {"slots": 8, "sets": 1, "experts": 3, "places": 2, "spare": 1}}],
		"routes": [{"name": "draft", "host": "club.example", "prefix": "/", "kind": "streaming", "service": "model"}]}`)
	demands = make(chan *wirepb.Demand, 100)
	agent, err := dgram.Listen("127.77.0.1:0", func(_ netip.AddrPort, message *wirepb.Datagram) {
		if received := message.GetDemand(); received != nil {
			demands <- received
		}
	}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(agent.Close)
	s.write("servers/r", `{"service":"model","address":"127.77.0.1:8080","zone":"gmunden","slots":8,"state":"ready","coldLeftMs":0,"version":"v1","sequence":0,"born":1}`)
	for i, name := range []string{"entry-0", "entry-1"} {
		s.startEntry(name)
		s.waitReady(i)
	}
	return s, agent, demands
}

// sendTo sends a datagram of the agent to an entry.
func (s *site) sendTo(index int, agent *dgram.Socket, message *wirepb.Datagram) {
	agent.Send(message, netip.MustParseAddrPort(s.settings[index].PeerAddress()))
}

func demandMessage(weights ...byte) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{Sets: 1, Experts: uint32(len(weights)), Weights: weights, Choices: 1e6}}}
}

func loadMessage(known bool) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Load{Load: &wirepb.Load{Open: true, Reachable: true, Entries: 2, DemandKnown: known}}}
}

// storedWeights returns the weights in the store, nil if there are none.
func (s *site) storedWeights() []byte {
	pairs := s.kv.Read([]string{demandKey}).Pairs()
	if len(pairs) == 0 {
		return nil
	}
	var value struct {
		Weights []byte `json:"weights"`
	}
	require.NoError(s.t, json.Unmarshal(pairs[0].Value(), &value))
	return value.Weights
}

// TestDemandReachesAgentsThroughTheStore has a leader send its demand to one entry, and an
// agent that lacks it get it from the other one. Demands of another shape are ignored. The
// demand that a leader sends last before it stops is written when it is due.
func TestDemandReachesAgentsThroughTheStore(t *testing.T) {
	s, agent, demands := startDemandSite(t)
	s.sendTo(0, agent, demandMessage(1, 2, 3, 4))
	s.sendTo(0, agent, demandMessage(0, 0, 0))
	s.sendTo(0, agent, demandMessage(255, 0, 7))
	require.Eventually(t, func() bool { return s.storedWeights() != nil }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, []byte{255, 0, 7}, s.storedWeights())
	var received *wirepb.Demand
	require.Eventually(t, func() bool {
		s.sendTo(1, agent, loadMessage(false))
		select {
		case received = <-demands:
			return true
		default:
			return false
		}
	}, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, []byte{255, 0, 7}, received.GetWeights())
	began, again := time.Now(), 0
	for time.Since(began) < 600*time.Millisecond {
		s.sendTo(1, agent, loadMessage(false))
		s.sendTo(0, agent, loadMessage(true))
		time.Sleep(20 * time.Millisecond)
	}
	for len(demands) > 0 {
		<-demands
		again++
	}
	require.Zero(t, again, "an entry sends it once per second, and not to agents that have it")
	s.sendTo(0, agent, demandMessage(0, 0, 255))
	agent.Close()
	require.Eventually(t, func() bool { return s.storedWeights()[2] == 255 }, 10*time.Second, 20*time.Millisecond)
}

// TestDemandIsWrittenAgainAfterTheStoreFailed guards against calls to a store that has failed,
// and against a demand that is never written after that.
func TestDemandIsWrittenAgainAfterTheStoreFailed(t *testing.T) {
	s, agent, _ := startDemandSite(t)
	s.store.SetFaults(fakes.StoreFaults{Down: true})
	s.sendTo(0, agent, demandMessage(255, 0, 7))
	time.Sleep(time.Second)
	s.store.SetFaults(fakes.StoreFaults{})
	require.Nil(t, s.storedWeights())
	require.Eventually(t, func() bool {
		s.sendTo(0, agent, demandMessage(0, 255, 7))
		return s.storedWeights() != nil
	}, 15*time.Second, 100*time.Millisecond)
	require.Equal(t, []byte{0, 255, 7}, s.storedWeights())
}

// TestUnreadableDemandInTheStoreHarmsNothing guards against an entry that stops to follow the
// store, or sends agents what they can't use.
func TestUnreadableDemandInTheStoreHarmsNothing(t *testing.T) {
	s, agent, demands := startDemandSite(t)
	for _, value := range []string{`{"sets": 1`, `{"sets": 1, "experts": 2, "weights": "//8="}`} {
		s.write(demandKey, value)
		time.Sleep(500 * time.Millisecond)
		s.sendTo(0, agent, loadMessage(false))
	}
	require.Empty(t, demands)
	s.write(demandKey, `{"sets": 1, "experts": 3, "weights": "//8A"}`)
	require.Eventually(t, func() bool {
		s.sendTo(0, agent, loadMessage(false))
		return len(demands) > 0
	}, 5*time.Second, 50*time.Millisecond)
	require.Equal(t, []byte{255, 255, 0}, (<-demands).GetWeights())
}

// TestLateDemandDoesNotReplaceNewerOne guards against a group that opens by an outdated demand: a
// write that gets no answer is carried out after another entry has stored a newer demand.
func TestLateDemandDoesNotReplaceNewerOne(t *testing.T) {
	const delay = 1500 * time.Millisecond
	s, agent, _ := startDemandSite(t)
	require.Eventually(t, s.lists(1, 2), registrationLimit, 10*time.Millisecond)
	late, delayed := delayFirst("entry-0", "kv-txn", delay)
	s.delayCalls(late)
	s.sendTo(0, agent, demandMessage(255, 0, 7))
	agent.Close()
	select {
	case <-delayed:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the demand isn't written")
	}
	s.write(demandKey, `{"sets": 1, "experts": 3, "weights": "//8A"}`)
	time.Sleep(delay + time.Second)
	require.Equal(t, []byte{255, 255, 0}, s.storedWeights())
}

// TestDemandLostInStoreRecoveryIsWrittenAgain guards against a demand that the store has lost and no
// leader sends again, since its group is idle.
func TestDemandLostInStoreRecoveryIsWrittenAgain(t *testing.T) {
	t.Parallel()
	s, agent, _ := startDemandSite(t)
	backup := s.kv.Backup()
	s.sendTo(0, agent, demandMessage(255, 0, 7))
	require.Eventually(t, func() bool { return s.storedWeights() != nil }, 10*time.Second, 20*time.Millisecond)
	s.advance()
	s.recoverStore(backup, stand.KeepLeases)
	require.Nil(t, s.storedWeights())
	require.Eventually(t, func() bool { return s.storedWeights() != nil }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, []byte{255, 0, 7}, s.storedWeights())
}
