// Package bench runs stand-ins, agents and entries in one process over loopback
// with real sockets, for the demonstration, the measures and tests. It has no
// code of its own for what it runs: each part is the one that the separate
// processes run.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/agent"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/admit"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// Replica is one endpoint to run.
type Replica struct {
	Name       string
	DataCentre string
	Engine     stand.EngineSpec
	Plain      stand.PlainSpec
	// Warm makes the agent take its endpoint for warm from the start.
	Warm bool
}

// Service is one service to run.
type Service struct {
	Name       string
	Kind       config.Kind
	PathPrefix string
	Repeatable bool
	Replicas   []Replica
	// ExtraFields is more JSON fields of the service's configuration, such as
	// `"queue": {"max_wait_ms": 500}`.
	ExtraFields string
}

// EntrySpec is one entry to run.
type EntrySpec struct {
	Name       string
	DataCentre string
}

// Spec tells what a Bench runs.
type Spec struct {
	Region      string
	DataCentres []string
	Services    []Service
	Entries     []EntrySpec
	Teams       []string
	Logger      *zap.Logger
	// Proxied puts a Proxy before each agent.
	Proxied    bool
	AddressTTL time.Duration
	// StreamBudget is what stalled streams may hold at an entry, in bytes; zero
	// means the default.
	StreamBudget int64
	HostLag      time.Duration
}

// APIKey returns the API key that a bench gives to a team.
func APIKey(team string) string { return "key-of-" + team }

// Bench is a running set of parts. Use Start.
type Bench struct {
	spec    Spec
	servers []*http.Server
	kv      *fakes.Store
	kvCore  *stand.KV
	kvAddr  string
	hosts   *stand.HostList
	engines map[string]*stand.Engine
	plains  map[string]*stand.Plain
	client  *http.Client
	objects []json.RawMessage
	backs   map[string]string
	proxies map[string]*Proxy
	texts   map[string]string

	mu      sync.Mutex
	agents  map[string]*agent.Agent
	entries map[string]*entry.Entry
}

// Start runs everything in spec and waits until the entries take requests. The
// caller must Close the bench.
func Start(ctx context.Context, spec Spec) (*Bench, error) {
	if spec.Logger == nil {
		spec.Logger = zap.NewNop()
	}
	b := &Bench{
		spec:    spec,
		kvCore:  stand.NewKV(),
		engines: make(map[string]*stand.Engine),
		plains:  make(map[string]*stand.Plain),
		agents:  make(map[string]*agent.Agent),
		entries: make(map[string]*entry.Entry),
		client:  &http.Client{},
		backs:   make(map[string]string),
		proxies: make(map[string]*Proxy),
		texts:   make(map[string]string),
	}
	if err := b.start(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bench) start(ctx context.Context) error {
	b.kv = fakes.NewStore(b.kvCore)
	b.hosts = stand.NewHostList(b.spec.HostLag)
	var err error
	if b.kvAddr, err = b.listen(b.kv); err != nil {
		return err
	}
	hostAddr, err := b.listen(b.hosts)
	if err != nil {
		return err
	}
	for _, service := range b.spec.Services {
		if err := b.startService(service); err != nil {
			return err
		}
	}
	if err := b.begin(ctx); err != nil {
		return err
	}
	for _, node := range b.spec.Entries {
		if err := b.startEntry(node, hostAddr); err != nil {
			return err
		}
	}
	return b.WaitReady(ctx)
}

// listen serves a stand-in on a free port.
func (b *Bench) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "can't listen")
	}
	server := &http.Server{Handler: handler, ErrorLog: discard()}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (b *Bench) startService(service Service) error {
	for _, replica := range service.Replicas {
		var handler http.Handler
		capacity := replica.Plain.Capacity
		if service.Kind == config.KindModel {
			engine := stand.NewEngine(replica.Engine)
			b.engines[replica.Name] = engine
			handler = engine
			capacity = replica.Engine.Capacity
		} else {
			plain := stand.NewPlain(replica.Plain)
			b.plains[replica.Name] = plain
			handler = plain
		}
		address, err := b.listen(handler)
		if err != nil {
			return err
		}
		b.backs[replica.Name] = address
		if err := b.startAgent(service, replica, address, capacity); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bench) startAgent(service Service, replica Replica, endpoint string, capacity int) error {
	cold, warmAfter := admit.DefaultColdCapacity, admit.DefaultWarmAfter
	if replica.Warm {
		cold, warmAfter = capacity, 0
	}
	text := fmt.Sprintf(`{"name": %q, "service": %q, "kind": %q, "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "endpoint": %q, "capacity": %d, "cold_capacity": %d, "warm_after": %d}`,
		replica.Name, service.Name, service.Kind, endpoint, capacity, cold, warmAfter)
	if err := b.runAgent(replica.Name, text); err != nil {
		return err
	}
	address := b.Agent(replica.Name).Address()
	b.texts[replica.Name] = strings.Replace(text, `"listen": "127.0.0.1:0"`, fmt.Sprintf(`"listen": %q`, address), 1)
	if b.spec.Proxied {
		proxy, err := NewProxy(address)
		if err != nil {
			return err
		}
		b.proxies[replica.Name] = proxy
		address = proxy.Address()
	}
	object := fmt.Sprintf(`{"name": %q, "service": %q, "data_centre": %q, "address": %q, "host": %q}`,
		replica.Name, service.Name, replica.DataCentre, address, "host-"+replica.Name)
	b.objects = append(b.objects, json.RawMessage(object))
	return nil
}

// runAgent runs an agent with settings.
func (b *Bench) runAgent(name, text string) error {
	settings, err := prefs.ParseAgent(name, []byte(text))
	if err != nil {
		return err
	}
	a, err := agent.New(settings, b.spec.Logger.With(zap.String("role", "agent"), zap.String("name", name)))
	if err != nil {
		return err
	}
	if err := a.Start(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.agents[name] = a
	return nil
}

// RestartAgent ends an agent as if it had died and starts it again at its
// address.
func (b *Bench) RestartAgent(name string) error {
	b.Agent(name).Close()
	return b.runAgent(name, b.texts[name])
}

// begin writes the first version of the configuration.
func (b *Bench) begin(ctx context.Context) error {
	cfg, err := config.Parse("bench", b.firstConfig())
	if err != nil {
		return err
	}
	client := platform.NewStore(b.kvAddr, "bench")
	defer client.Close()
	return chain.Init(ctx, client, config.NewFirstVersion(cfg, time.Now()), "bench")
}

func (b *Bench) startEntry(node EntrySpec, hostAddr string) error {
	ttl := int(b.spec.AddressTTL.Seconds())
	text := fmt.Sprintf(`{"name": %q, "data_centre": %q, "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "key_value": %q, "host_list": %q, "address_ttl_s": %d}`,
		node.Name, node.DataCentre, b.kvAddr, hostAddr, ttl)
	if b.spec.StreamBudget > 0 {
		text = strings.Replace(text, "{", fmt.Sprintf(`{"stream_budget_bytes": %d, `, b.spec.StreamBudget), 1)
	}
	settings, err := prefs.ParseEntry(node.Name, []byte(text))
	if err != nil {
		return err
	}
	e, err := entry.New(settings, b.spec.Logger.With(zap.String("role", "entry"), zap.String("name", node.Name)))
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[node.Name] = e
	return nil
}

// readyPoll is how often WaitReady looks.
const readyPoll = 20 * time.Millisecond

// WaitReady waits until every entry takes requests and has a session to every
// endpoint.
func (b *Bench) WaitReady(ctx context.Context) error {
	for {
		if b.allReady() {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the bench isn't ready in time")
		}
	}
}

func (b *Bench) allReady() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		status := e.Status().(entry.Status)
		if e.NotReadyReason() != "" || len(status.Endpoints) < len(b.agents) {
			return false
		}
		for _, endpoint := range status.Endpoints {
			if !endpoint.Usable {
				return false
			}
		}
	}
	return true
}

// Entry returns the entry of the given name.
func (b *Bench) Entry(name string) *entry.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[name]
}

// Agent returns the agent of the given endpoint.
func (b *Bench) Agent(name string) *agent.Agent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.agents[name]
}

// Engine returns the engine of the given endpoint.
func (b *Bench) Engine(name string) *stand.Engine { return b.engines[name] }

// Plain returns the plain service of the given endpoint.
func (b *Bench) Plain(name string) *stand.Plain { return b.plains[name] }

// KVServer returns the server of the key-value service, to make it misbehave.
func (b *Bench) KVServer() *fakes.Store { return b.kv }

// KVCounts returns the calls that the key-value service has counted.
func (b *Bench) KVCounts() stand.KVCounts { return b.kvCore.Counts() }

// KVStore returns the key-value service itself.
func (b *Bench) KVStore() *stand.KV { return b.kvCore }

// Hosts returns the host list.
func (b *Bench) Hosts() *stand.HostList { return b.hosts }

// Proxy returns the proxy before an agent, nil if there is none.
func (b *Bench) Proxy(name string) *Proxy { return b.proxies[name] }

// EndpointAddress returns the address of an endpoint itself, past its agent.
func (b *Bench) EndpointAddress(name string) string { return b.backs[name] }

// KVAddress returns the address of the key-value service.
func (b *Bench) KVAddress() string { return b.kvAddr }

// RemoveEntry takes an entry that was closed by itself off the bench.
func (b *Bench) RemoveEntry(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, name)
}

// Close ends everything.
func (b *Bench) Close() {
	b.client.CloseIdleConnections()
	for _, e := range b.entries {
		e.Close()
	}
	for _, proxy := range b.proxies {
		proxy.Close()
	}
	for _, a := range b.agents {
		a.Close()
	}
	for _, engine := range b.engines {
		engine.Close()
	}
	for _, server := range b.servers {
		_ = server.Close()
	}
}
