// Package rank is an agent on the platform: it stands beside one rank of a model
// group, tells entries the rank's load, and takes part in keeping the group's
// expert map balanced.
//
// Agents don't call the platform's store. Entries ask them for reports and tell
// them of the other agents; among the agents of a group the one of the lowest
// rank that is heard leads. Leadership is only a convenience: two leaders at once
// cost a switch, and never a wrong map (pkg/group).
package rank

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/meter"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/platform"
)

// How an agent reports.
const (
	// reportPeriod is how often the rank's state is read and told. Reading it is free
	// on its own host.
	reportPeriod = 100 * time.Millisecond
	// subscriberKept is how long an entry is told after it last asked.
	subscriberKept = 3500 * time.Millisecond
	// unreachableAfter is how long the rank may fail to answer before entries are
	// told so.
	unreachableAfter = 300 * time.Millisecond
)

// Agent stands beside one rank. Use New.
type Agent struct {
	settings prefs.Rank
	logger   *zap.Logger
	meter    *meter.Meter
	rank     *platform.Rank
	socket   *dgram.Socket
	admin    *webio.Server
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time
	state       platform.RankState
	answered    time.Time
	unreachable bool
}

// New returns an agent that isn't running yet.
func New(settings prefs.Rank, logger *zap.Logger) (*Agent, error) {
	metrics, err := meter.New()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    settings,
		logger:      logger,
		meter:       metrics,
		rank:        platform.NewRank(settings.Endpoint()),
		subscribers: make(map[netip.AddrPort]time.Time),
	}
	return a, nil
}

// Start begins to listen and to report.
func (a *Agent) Start() error {
	socket, err := dgram.Listen(a.settings.Peer(), a.receive, a.logger)
	if err != nil {
		return err
	}
	a.socket = socket
	a.admin = webio.NewServer(admin.New(a, a.meter), a.logger)
	if err := a.admin.Listen(a.settings.Admin()); err != nil {
		event.ListenFailed.Log(a.logger, event.Error(err))
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	event.ProcessStarted.Log(a.logger, zap.String("listen", a.settings.Peer()), zap.String("endpoint", a.settings.Endpoint()))
	a.wait.Go(func() { a.run(ctx) })
	return nil
}

// Stop ends the agent. Nothing of a request runs in it.
func (a *Agent) Stop(context.Context) int {
	event.ProcessLeaving.Log(a.logger)
	a.cancel()
	a.socket.Close()
	done, ended := context.WithCancel(context.Background())
	ended()
	a.admin.Shutdown(done)
	a.wait.Wait()
	a.meter.Close()
	event.ProcessStopped.Log(a.logger)
	return 0
}

// Ready returns why the agent can't report, empty if it can.
func (a *Agent) Ready() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable || a.answered.IsZero() {
		return "the replica on this host doesn't answer"
	}
	return ""
}

func (a *Agent) run(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.look(ctx)
		a.tellEntries()
	}
}

// look reads the rank's state.
func (a *Agent) look(ctx context.Context) {
	state, err := a.rank.State(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err == nil {
		a.state, a.answered = state, now
	}
	unreachable := now.Sub(a.answered) > unreachableAfter
	if unreachable == a.unreachable || ctx.Err() != nil {
		return
	}
	a.unreachable = unreachable
	if unreachable {
		event.RankUnreachable.Log(a.logger, event.Error(err))
	} else {
		event.RankReachable.Log(a.logger, zap.String("group", state.Group), zap.Int("rank", state.Rank), zap.Uint64("epoch", state.Epoch))
	}
}

// tellEntries sends the rank's load to the entries that asked.
func (a *Agent) tellEntries() {
	a.mu.Lock()
	now := time.Now()
	var entries []netip.AddrPort
	for entry, asked := range a.subscribers {
		if now.Sub(asked) > subscriberKept {
			delete(a.subscribers, entry)
			continue
		}
		entries = append(entries, entry)
	}
	state := a.state
	load := &wirepb.Load{
		Running:   uint32(state.Running),
		Waiting:   uint32(state.Waiting),
		KvUsed:    uint64(state.KVUsed),
		KvTotal:   uint64(state.KVTotal),
		Pace:      state.Pace,
		Open:      state.Open || state.Size == 0,
		Reachable: !a.unreachable,
		Epoch:     state.Epoch,
		ExpertMap: state.Map,
	}
	a.mu.Unlock()
	a.socket.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Load{Load: load}}, entries...)
}

// receive takes a datagram.
func (a *Agent) receive(from netip.AddrPort, message *wirepb.Datagram) {
	switch body := message.GetBody().(type) {
	case *wirepb.Datagram_Subscribe:
		a.subscribe(from, body.Subscribe)
	}
}

func (a *Agent) subscribe(from netip.AddrPort, _ *wirepb.Subscribe) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers[from] = time.Now()
}

// Status returns the agent's state.
func (a *Agent) Status() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return struct {
		Group string `json:"group"`
		Epoch uint64 `json:"epoch"`
		Rank  int    `json:"rank"`
		Open  bool   `json:"open"`
		Map   uint64 `json:"expert_map"`
		Pass  uint64 `json:"pass"`
	}{a.state.Group, a.state.Epoch, a.state.Rank, a.state.Open, a.state.Map, a.state.Pass}
}
