// Package bench runs a test bench: stand-ins, agents and entries in one process
// that talk over loopback sockets. It is used by the demonstration, the measures
// and tests. Each component runs the same code as in a process of its own.
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

// Replica configures an endpoint and its agent.
type Replica struct {
	Name       string
	DataCentre string
	Engine     stand.EngineSpec
	Plain      stand.PlainSpec
	// Wrap, unless it is nil, returns the handler that takes the place of the stand-in.
	Wrap func(standIn http.Handler) http.Handler
	// Warm makes the agent treat its endpoint as warm from the start.
	Warm bool
}

// Service configures a service and its replicas.
type Service struct {
	Name       string
	Kind       config.Kind
	PathPrefix string
	Repeatable bool
	Replicas   []Replica
	// ExtraFields holds further JSON fields of the service's configuration, such as
	// `"queue": {"max_wait_ms": 500}`.
	ExtraFields string
}

// EntrySpec configures an entry.
type EntrySpec struct {
	Name       string
	DataCentre string
}

// Spec configures a Bench.
type Spec struct {
	Region      string
	DataCentres []string
	Services    []Service
	Entries     []EntrySpec
	Teams       []string
	Logger      *zap.Logger
	// Proxied makes entries connect to each agent through a Proxy.
	Proxied    bool
	AddressTTL time.Duration
	// StreamBudget is the maximum memory in bytes that stalled streams may use at an
	// entry. Zero means the default.
	StreamBudget int64
	// HostLag is how late the host list shows changes.
	HostLag time.Duration
}

// APIKey returns the API key of a team.
func APIKey(team string) string { return "key-of-" + team }

// Bench is a running set of stand-ins, agents and entries. Use Start.
type Bench struct {
	spec              Spec
	servers           []*http.Server
	kvServer          *fakes.Store
	kvStore           *stand.KV
	kvAddr            string
	hostAddr          string
	hosts             *stand.HostList
	engines           map[string]*stand.Engine
	plains            map[string]*stand.Plain
	client            *http.Client
	endpoints         []json.RawMessage
	endpointAddresses map[string]string
	endpointServers   map[string]*http.Server
	proxies           map[string]*Proxy
	agentSettings     map[string]string

	mu      sync.Mutex
	agents  map[string]*agent.Agent
	entries map[string]*entry.Entry
}

// Start runs all components in spec and waits until the entries accept requests.
// The caller must Close the bench.
func Start(ctx context.Context, spec Spec) (*Bench, error) {
	if spec.Logger == nil {
		spec.Logger = zap.NewNop()
	}
	b := &Bench{
		spec:              spec,
		kvStore:           stand.NewKV(),
		engines:           make(map[string]*stand.Engine),
		plains:            make(map[string]*stand.Plain),
		agents:            make(map[string]*agent.Agent),
		entries:           make(map[string]*entry.Entry),
		client:            &http.Client{},
		endpointAddresses: make(map[string]string),
		endpointServers:   make(map[string]*http.Server),
		proxies:           make(map[string]*Proxy),
		agentSettings:     make(map[string]string),
	}
	if err := b.start(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bench) start(ctx context.Context) error {
	b.kvServer = fakes.NewStore(b.kvStore)
	b.hosts = stand.NewHostList(b.spec.HostLag)
	var err error
	if b.kvAddr, err = b.listen(b.kvServer); err != nil {
		return err
	}
	if b.hostAddr, err = b.listen(b.hosts); err != nil {
		return err
	}
	for _, service := range b.spec.Services {
		if err := b.startService(service); err != nil {
			return err
		}
	}
	if err := b.initConfig(ctx); err != nil {
		return err
	}
	for _, spec := range b.spec.Entries {
		if err := b.StartEntry(spec); err != nil {
			return err
		}
	}
	return b.WaitReady(ctx)
}

// listen serves handler on a free port and returns its address.
func (b *Bench) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "can't listen on a free port")
	}
	server := &http.Server{Handler: handler, ErrorLog: discardLogger()}
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
		if replica.Wrap != nil {
			handler = replica.Wrap(handler)
		}
		address, err := b.listen(handler)
		if err != nil {
			return err
		}
		b.endpointAddresses[replica.Name] = address
		b.endpointServers[replica.Name] = b.servers[len(b.servers)-1]
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
	b.agentSettings[replica.Name] = strings.Replace(text, `"listen": "127.0.0.1:0"`, fmt.Sprintf(`"listen": %q`, address), 1)
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
	b.endpoints = append(b.endpoints, json.RawMessage(object))
	return nil
}

// runAgent runs an agent with the given settings in JSON.
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

// RestartAgent closes an agent without draining it, as if it had crashed, and
// starts it again at the same address.
func (b *Bench) RestartAgent(name string) error {
	b.Agent(name).Close()
	return b.runAgent(name, b.agentSettings[name])
}

// initConfig writes the first version of the configuration.
func (b *Bench) initConfig(ctx context.Context) error {
	cfg, err := config.Parse("bench", b.initialConfig())
	if err != nil {
		return err
	}
	client := platform.NewStore(b.kvAddr, "bench")
	defer client.Close()
	return chain.Init(ctx, client, config.NewFirstVersion(cfg, time.Now()), "bench")
}

// StartEntry starts an entry without waiting until it is ready.
func (b *Bench) StartEntry(spec EntrySpec) error {
	ttl := int(b.spec.AddressTTL.Seconds())
	text := fmt.Sprintf(`{"name": %q, "data_centre": %q, "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "key_value": %q, "host_list": %q, "address_ttl_s": %d}`,
		spec.Name, spec.DataCentre, b.kvAddr, b.hostAddr, ttl)
	if b.spec.StreamBudget > 0 {
		text = strings.Replace(text, "{", fmt.Sprintf(`{"stream_budget_bytes": %d, `, b.spec.StreamBudget), 1)
	}
	settings, err := prefs.ParseEntry(spec.Name, []byte(text))
	if err != nil {
		return err
	}
	e, err := entry.New(settings, b.spec.Logger.With(zap.String("role", "entry"), zap.String("name", spec.Name)))
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[spec.Name] = e
	return nil
}

// readyPollInterval is how often WaitReady checks the entries.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every entry accepts requests and has a usable session to
// every endpoint.
func (b *Bench) WaitReady(ctx context.Context) error {
	for {
		if b.allReady() {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the bench didn't become ready in time")
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

// Entry returns the named entry.
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

// KVServer returns the server of the key-value service, for fault injection.
func (b *Bench) KVServer() *fakes.Store { return b.kvServer }

// KVCounts returns the call counters of the key-value service.
func (b *Bench) KVCounts() stand.KVCounts { return b.kvStore.Counts() }

// KVStore returns the in-memory store of the key-value service.
func (b *Bench) KVStore() *stand.KV { return b.kvStore }

// Hosts returns the host list.
func (b *Bench) Hosts() *stand.HostList { return b.hosts }

// Proxy returns the proxy in front of an agent, nil if there is none.
func (b *Bench) Proxy(name string) *Proxy { return b.proxies[name] }

// EndpointAddress returns the address of an endpoint itself, for requests that
// bypass its agent.
func (b *Bench) EndpointAddress(name string) string { return b.endpointAddresses[name] }

// StopEndpoint closes an endpoint's connections, and its host refuses new ones from then on.
func (b *Bench) StopEndpoint(name string) { _ = b.endpointServers[name].Close() }

// KVAddress returns the address of the key-value service.
func (b *Bench) KVAddress() string { return b.kvAddr }

// RemoveEntry removes an entry that the caller has closed, so that Close and
// WaitReady ignore it.
func (b *Bench) RemoveEntry(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, name)
}

// Close stops all components.
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
