package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// The size of a site. Deployments usually have a few dozen processes; these are
// the smallest numbers with more than two processes of each role.
const (
	ranks         = 4
	plainReplicas = 3
	events        = 30
	sets          = 2
	places        = 6
	experts       = 16
)

// eventPause makes a stream last 0.3 s, so that faults occur while streams are open.
const eventPause = 10 * time.Millisecond

// siteSpec is the shape of a site.
type siteSpec struct {
	entries, ranks int
	// plainZone is the zone of the plain replicas. All others are in zone a.
	plainZone string
	// slots is the number of requests that each replica runs.
	slots int
	// pause is the time between the events of a stream, and period that between passes.
	pause, period time.Duration
	// stride is the number of tokens of an event, zero if all streams have the same length.
	stride int
	// timeout is the time limit of all routes, and addressTTL how long callers may keep the
	// addresses of entries.
	timeout, addressTTL time.Duration
}

// defaultSpec returns the shape of a site in which faults come close together.
func defaultSpec() siteSpec {
	return siteSpec{
		entries: *entries, ranks: ranks, plainZone: "a", slots: 8, pause: eventPause, period: 40 * time.Millisecond, timeout: 3 * time.Second, addressTTL: time.Second,
	}
}

// daemon is an entry or an agent that runs as a process and can be restarted.
type daemon struct {
	name    string
	admin   string
	args    []string
	process *procs.Process
	// relay proxies the connections of an entry to the store.
	relay *relay
	// front and directory are the addresses of an entry's request and directory
	// listeners.
	front, directory string

	mu sync.Mutex
	// disturbed is when a fault last affected the daemon, stopped when it last
	// received SIGTERM, started when it last listened after a start.
	disturbed, stopped, started time.Time
	busy                        bool
	startCount                  int
}

// tryAcquire reserves the daemon for one fault and reports whether it was available.
func (d *daemon) tryAcquire() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy {
		return false
	}
	d.busy = true
	return true
}

func (d *daemon) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = false
}

func (d *daemon) markDisturbed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbed = time.Now()
}

func (d *daemon) lastDisturbed() (unplanned, stopped time.Time, startCount int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disturbed, d.stopped, d.startCount
}

// startTimeout is how long start waits for the daemon to listen. Until then, its
// signal handlers aren't installed.
const startTimeout = 5 * time.Second

func (d *daemon) start(t *testing.T) {
	process := procs.Start(t, d.args...)
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", d.admin); err == nil {
			_ = conn.Close()
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = process
	d.startCount++
	d.started = time.Now()
}

// inTouchSince returns since when the daemon runs without a disturbance, and false while it is
// stopping.
func (d *daemon) inTouchSince() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started.After(d.disturbed) {
		return d.started, !d.stopped.After(d.started)
	}
	return d.disturbed, !d.stopped.After(d.started)
}

func (d *daemon) current() *procs.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

func (d *daemon) signal(signal syscall.Signal) { d.current().Signal(signal) }

// plain is a replica of the plain service behind a relay.
type plain struct {
	id, zone string
	replica  *fakes.Replica
	relay    *relay
}

// site is a fake platform with the daemons that run on it.
type site struct {
	t       *testing.T
	spec    siteSpec
	kv      *stand.KV
	store   *fakes.Store
	writes  *writes
	group   *fakes.Group
	script  fakes.FaultScript
	entries []*daemon
	agents  []*daemon

	// rankAddress is the address at which rank 0 accepts orders.
	rankAddress string

	// configs serializes the operator's new versions.
	configs sync.Mutex

	mu       sync.Mutex
	plains   []*plain
	replicas []*fakes.Replica
	started  int
	// withdrawals are the replicas that may get no more requests.
	withdrawals []withdrawal
	// replicasDisturbed is when a fault last affected replicas or their links,
	// storeDisturbed the store.
	replicasDisturbed, storeDisturbed time.Time
}

// freePort returns a port that is free on the whole of a random loopback network,
// and the network's first three bytes.
func freePort(t *testing.T) (network string, port int) {
	for range 100 {
		network = fmt.Sprintf("127.91.%d", rand.IntN(250))
		port = 20000 + rand.IntN(10000)
		free := true
		for host := range 24 {
			for p := range 5 {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host+1, port+p))
				if err != nil {
					free = false
					break
				}
				require.NoError(t, listener.Close())
			}
		}
		if free {
			return network, port
		}
	}
	require.Fail(t, "no port is free")
	return "", 0
}

func newSite(t *testing.T, spec siteSpec) *site {
	s := &site{t: t, spec: spec, kv: stand.NewKV()}
	s.writes = newWrites(s.kv)
	s.writes.isStable = func() bool {
		_, store := s.lastDisturbed()
		return time.Since(store) > disturbanceWindow
	}
	s.store = fakes.NewStore(s.kv)
	server := httptest.NewServer(s.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	network, port := freePort(t)
	peer := port + 4
	s.startRanks(network, port, peer)
	for range plainReplicas {
		s.addPlain(spec.plainZone)
	}
	s.writeNextConfig()
	for i := range spec.entries {
		ip := fmt.Sprintf("%s.%d", network, i+1)
		e := &daemon{
			name: fmt.Sprintf("entry-%d", i+1), admin: fmt.Sprintf("%s:%d", ip, port+3), relay: newRelay(t, server.Listener.Addr().String()),
			front: fmt.Sprintf("%s:%d", ip, port), directory: fmt.Sprintf("%s:%d", ip, port+1),
		}
		e.args = []string{"entry", "--platform", "--settings", s.writeSettings(e.name, fmt.Sprintf(
			`{"name": %q, "data_centre": "a", "ip": %q, "peer_port": %d, "listen": %q, "directory_listen": %q,
			"ready_listen": "%s:%d", "admin_listen": "%s:%d", "store": %q, "address_ttl_s": %d, "stop_bound_s": 8,
			"retry_ratio": 0.2, "retry_extra": 50, "retry_window_s": 10, "cold_overage": 1.5, "cold_extra": 5, "log_level": "warn"}`,
			e.name, ip, peer, e.front, e.directory, ip, port+2, ip, port+3, e.relay.address(), int(spec.addressTTL.Seconds())))}
		s.entries = append(s.entries, e)
	}
	for _, d := range s.daemons() {
		d.start(t)
	}
	return s
}

func (s *site) daemons() []*daemon { return append(append([]*daemon(nil), s.entries...), s.agents...) }

func (s *site) writeSettings(name, text string) string {
	path := filepath.Join(s.t.TempDir(), name+".jsonc")
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// firstRankHost is the last part of the first rank's IP address. Entries have those from 1.
const firstRankHost = 200

// startRanks starts the group and one agent for each of its ranks.
func (s *site) startRanks(network string, port, peer int) {
	var addresses []string
	for i := range s.spec.ranks {
		addresses = append(addresses, fmt.Sprintf("%s.%d:%d", network, firstRankHost+i, port))
	}
	popularity := func(_, expert int) uint64 {
		if expert == 0 {
			return 1500
		}
		return 100
	}
	group, err := fakes.NewGroup(addresses, sets, experts, s.spec.period, popularity)
	require.NoError(s.t, err)
	s.t.Cleanup(group.Close)
	s.group, s.rankAddress = group, addresses[0]
	for i, address := range addresses {
		id := fmt.Sprintf("rank-%d", i)
		group.Mount(i, s.newReplica(id))
		s.register(id, "model", address)
		ip, _, err := net.SplitHostPort(address)
		require.NoError(s.t, err)
		agent := &daemon{name: "agent-" + id, admin: fmt.Sprintf("%s:%d", ip, port+3)}
		agent.args = []string{"agent", "--platform", "--settings", s.writeSettings(agent.name, fmt.Sprintf(
			`{"name": %q, "data_centre": "a", "ip": %q, "peer_port": %d, "admin_listen": "%s:%d", "endpoint": %q, "log_level": "warn"}`,
			agent.name, ip, peer, ip, port+3, address))}
		s.agents = append(s.agents, agent)
	}
}

func (s *site) newReplica(id string) *fakes.Replica {
	r := fakes.NewReplica(id, events, &s.script)
	r.SetPause(s.spec.pause)
	r.SetStride(s.spec.stride)
	s.t.Cleanup(r.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = append(s.replicas, r)
	return r
}

func (s *site) register(id, service, address string) {
	s.registerForm(id, service, address, "a", "ready", 0)
}

// registerForm writes the record of a replica with a state and a sequence.
func (s *site) registerForm(id, service, address, zone, state string, sequence int) {
	s.put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": zone, "slots": s.spec.slots, "state": state, "coldLeftMs": 0, "version": "v1", "sequence": sequence, "born": 1,
	})
}

func (s *site) put(key string, value any) {
	s.putVersion(key, value, 0)
}

// putVersion writes a key with a configuration version, zero for other keys.
func (s *site) putVersion(key string, value any, version int) {
	encoded, err := json.Marshal(value)
	require.NoError(s.t, err)
	require.NoError(s.t, s.writes.commit(write{key: key, value: encoded, version: version}))
}

func (s *site) remove(key string) { require.NoError(s.t, s.writes.commit(write{key: key})) }

// addPlain starts a plain replica in a zone behind a relay and registers it.
func (s *site) addPlain(zone string) {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("plain-%d", s.started)
	s.mu.Unlock()
	p := &plain{id: id, zone: zone, replica: s.newReplica(id)}
	p.relay = newRelay(s.t, p.replica.Address())
	s.mu.Lock()
	s.plains = append(s.plains, p)
	s.mu.Unlock()
	s.registerForm(id, "plain", p.relay.address(), zone, "ready", 0)
}

// takePlain removes a random plain replica from those that are in use, and returns nil if there
// is none.
func (s *site) takePlain(random *rand.Rand) *plain {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.plains) == 0 {
		return nil
	}
	at := random.IntN(len(s.plains))
	p := s.plains[at]
	s.plains = append(s.plains[:at:at], s.plains[at+1:]...)
	return p
}

// replacePlain closes a plain replica without draining it and starts another.
func (s *site) replacePlain(random *rand.Rand) {
	p := s.takePlain(random)
	if p == nil {
		return
	}
	p.replica.Close()
	p.relay.reset()
	s.remove("servers/" + p.id)
	s.addPlain(p.zone)
}

// writeNextConfig writes the next configuration version, with an API key that only
// this version allows.
func (s *site) writeNextConfig() {
	s.configs.Lock()
	defer s.configs.Unlock()
	latest, _, _ := s.writes.latestVersion()
	version := latest + 1
	route := func(prefix, kind, service string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": "club.example", "prefix": prefix, "kind": kind, "timeoutMs": s.spec.timeout.Milliseconds(), "targetLatencyMs": 400,
			"service": service, "maxAttempts": attempts, "streamResume": resume, "gapAimMs": 120,
		}
	}
	s.putVersion("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("/book/", "non_idempotent", "plain", 1, false), route("/check/", "idempotent", "plain", 2, false),
			route("/draft/", "streaming", "model", 2, true), route("/once/", "streaming", "model", 1, false),
		},
		"services": []any{
			map[string]any{"name": "plain", "healthPath": "/healthz", "maxConns": 50},
			map[string]any{"name": "model", "healthPath": "/healthz", "maxConns": 50, "engine": map[string]any{
				"slots": s.spec.slots, "sets": sets, "experts": experts, "places": places, "spare": 3, "stride": 5, "step_ms": 6, "expertMb": 1, "linkMbps": 1000,
			}},
		},
		"tenants": []any{map[string]any{"name": "rowers", "apiKeys": []string{"key", versionKey(version)}, "priority": 1}},
	}, version)
}

func versionKey(version int) string { return fmt.Sprintf("key-of-%d", version) }

func (s *site) markDisturbed(store bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if store {
		s.storeDisturbed = time.Now()
	} else {
		s.replicasDisturbed = time.Now()
	}
}

func (s *site) lastDisturbed() (replicas, store time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicasDisturbed, s.storeDisturbed
}

func (s *site) allReplicas() []*fakes.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*fakes.Replica(nil), s.replicas...)
}
