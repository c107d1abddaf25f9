package probe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/plots"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// The load of data_centre_cycle.
const (
	cycleTokens   = 20
	cycleStep     = 10 * time.Millisecond
	cyclePrefill  = 30 * time.Millisecond
	cycleCapacity = 8
	cycleEngines  = 6
	cycleOutAt    = 4 * time.Second
	cycleBackAt   = 10 * time.Second
	cycleLength   = 18 * time.Second
	noNewWork     = 3 * time.Second
	cycleSample   = 500 * time.Millisecond
)

// cyclePlan is one run of a data centre that leaves and returns.
type cyclePlan struct {
	share  float64
	outAt  time.Duration
	backAt time.Duration
	length time.Duration
}

// rate returns the requests a second that are the plan's share of what all
// engines can bear.
func (p cyclePlan) rate() float64 {
	one := cyclePrefill + cycleTokens*cycleStep
	return p.share * cycleEngines * cycleCapacity / one.Seconds()
}

// cycleCounts is how the requests of a cycle ended.
type cycleCounts struct {
	latencies *latencies
	refused   atomic.Int64
	failed    atomic.Int64
	late      int
	falls     int
	series    plotter.XYs
}

// dataCentreCycle takes a data centre out and brings it back, cold, under
// steady load.
func (r *Run) dataCentreCycle(ctx context.Context) error {
	plans := []cyclePlan{
		{0.60, cycleOutAt, cycleBackAt, cycleLength},
		{0.85, cycleOutAt, cycleBackAt, cycleLength},
	}
	if r.brief {
		plans = []cyclePlan{{0.3, time.Second, 2 * time.Second, 3 * time.Second}}
	}
	for _, plan := range plans {
		ours, err := r.cycle(ctx, plan, true)
		if err != nil {
			return err
		}
		baseline, err := r.cycle(ctx, plan, false)
		if err != nil {
			return err
		}
		at := fmt.Sprintf("_at_%.0f", plan.share*100)
		r.compare("served"+at, "request", float64(ours.latencies.served), float64(baseline.latencies.served), "")
		r.compare("refused"+at, "request", float64(ours.refused.Load()), float64(baseline.refused.Load()), "")
		r.compare("failed"+at, "request", float64(ours.failed.Load()), float64(baseline.failed.Load()), "0")
		r.compare("first_token_p95"+at, "ms", millis(ours.latencies.first, 95), millis(baseline.latencies.first, 95), "630")
		r.compare("new_work_after_3s"+at, "request", float64(ours.late), float64(baseline.late), "0")
		r.compare("falls"+at, "engine", float64(ours.falls), float64(baseline.falls), "0")
		r.plotLines("data_centre_cycle: served"+at+" %", "s", "requests served a second",
			plots.NewLine("round robin without ramp", baseline.series), plots.NewLine("lentilstand", ours.series))
	}
	return nil
}

func cycleSpec() bench.Spec {
	engine := stand.DefaultEngineSpec()
	engine.Capacity, engine.Step, engine.Prefill = cycleCapacity, cycleStep, cyclePrefill
	spec := bench.Spec{
		Region:      "r",
		DataCentres: []string{"dc-0", "dc-1", "dc-2"},
		Teams:       []string{"a"},
		AddressTTL:  time.Second,
	}
	service := bench.Service{Name: "model", Kind: config.KindModel, Repeatable: true}
	for i := range cycleEngines {
		service.Replicas = append(service.Replicas, bench.Replica{
			Name:       fmt.Sprintf("model-%d", i),
			DataCentre: spec.DataCentres[i%3],
			Engine:     engine,
		})
	}
	spec.Services = []bench.Service{service}
	for i := range spec.DataCentres {
		spec.Entries = append(spec.Entries, bench.EntrySpec{Name: fmt.Sprintf("entry-%d", i), DataCentre: spec.DataCentres[i]})
	}
	return spec
}

// inDataCentre0 are the engines of the data centre that leaves.
var inDataCentre0 = []string{"model-0", "model-3"}

// cycle runs one plan, through the entries or round robin to the engines.
func (r *Run) cycle(ctx context.Context, plan cyclePlan, ours bool) (*cycleCounts, error) {
	b, err := bench.Start(ctx, cycleSpec())
	if err != nil {
		return nil, err
	}
	defer b.Close()
	c := &cycleCounts{latencies: newLatencies()}
	var target targets = &roundRobin{bench: b}
	if ours {
		target = &told{bench: b}
	}
	if err := warmUp(ctx, b); err != nil {
		return nil, err
	}
	var wait sync.WaitGroup
	done := make(chan error, 1)
	go func() { done <- c.operate(ctx, b, plan, target) }()
	stopSampling := c.sample()
	c.load(ctx, plan, target, rand.New(rand.NewPCG(r.seed, 1)), &wait)
	wait.Wait()
	stopSampling()
	if err := <-done; err != nil {
		return nil, err
	}
	for i := range cycleEngines {
		c.falls += b.Engine(fmt.Sprintf("model-%d", i)).Counts().Crashes
	}
	return c, nil
}

// warmUp warms all engines by requests one after the other.
func warmUp(ctx context.Context, b *bench.Bench) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	var failure atomic.Value
	for i := range cycleEngines {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range 2 * cycleCapacity {
				address := b.EndpointAddress(fmt.Sprintf("model-%d", i))
				if _, _, err := stream(ctx, client, address, "", fmt.Sprint(n), 1); err != nil {
					failure.Store(err)
				}
			}
		}()
	}
	wait.Wait()
	if err, ok := failure.Load().(error); ok {
		return err
	}
	return warmAgents(ctx, b)
}

// warmAgents sends requests through the entries until every agent has opened
// its gate.
func warmAgents(ctx context.Context, b *bench.Bench) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for !allOpen(b) {
		var wait sync.WaitGroup
		for i := range cycleEngines {
			wait.Add(1)
			go func() {
				defer wait.Done()
				address := b.Entry(fmt.Sprintf("entry-%d", i%3)).Address()
				_, _, _ = stream(ctx, client, address, bench.APIKey("a"), fmt.Sprint(rand.Int()), 1)
			}()
		}
		wait.Wait()
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "the agents didn't open in time")
		}
	}
	return nil
}

func allOpen(b *bench.Bench) bool {
	for _, e := range b.Entry("entry-0").Status().(entry.Status).Endpoints {
		if e.Capacity < cycleCapacity {
			return false
		}
	}
	return true
}

// operate takes the data centre out and brings it back, cold.
func (c *cycleCounts) operate(ctx context.Context, b *bench.Bench, plan cyclePlan, target targets) error {
	time.Sleep(plan.outAt)
	if err := target.setOut(ctx, true); err != nil {
		return err
	}
	time.Sleep(min(noNewWork, (plan.backAt-plan.outAt)/2))
	before := admitted(b)
	time.Sleep(plan.backAt - plan.outAt - min(noNewWork, (plan.backAt-plan.outAt)/2))
	c.late = admitted(b) - before
	for _, name := range inDataCentre0 {
		b.Engine(name).SetFaults(stand.EngineFaults{Restart: true})
	}
	return target.setOut(ctx, false)
}

func admitted(b *bench.Bench) int {
	sum := 0
	for _, name := range inDataCentre0 {
		sum += b.Engine(name).Counts().Admitted
	}
	return sum
}

// sample notes twice a second how many requests have been served.
func (c *cycleCounts) sample() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		last, began := 0, time.Now()
		ticker := time.NewTicker(cycleSample)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.latencies.mu.Lock()
				served := c.latencies.served
				c.latencies.mu.Unlock()
				c.series = append(c.series, plotter.XY{
					X: time.Since(began).Seconds(),
					Y: float64(served-last) / cycleSample.Seconds(),
				})
				last = served
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// load sends requests at random times at the plan's rate.
func (c *cycleCounts) load(ctx context.Context, plan cyclePlan, target targets, random *rand.Rand, wait *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	end := time.Now().Add(plan.length)
	next := time.Now()
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / plan.rate() * float64(time.Second)))
		time.Sleep(time.Until(next))
		wait.Add(1)
		go func() {
			defer wait.Done()
			address, key := target.next(ctx)
			first, gaps, err := stream(ctx, client, address, key, fmt.Sprintf("request %d", n), cycleTokens)
			c.count(first, gaps, err)
		}()
	}
}

func (c *cycleCounts) count(first time.Duration, gaps []time.Duration, err error) {
	var refused *refusedError
	switch {
	case err == nil:
		c.latencies.add(first, gaps)
	case errors.As(err, &refused) && refused.outcome == "not_run":
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// targets tells where requests are sent.
type targets interface {
	next(ctx context.Context) (address, key string)
	setOut(ctx context.Context, out bool) error
}

// told sends requests to the entries that callers are told of, and asks again
// when the addresses' time to live has passed.
type told struct {
	bench   *bench.Bench
	version uint64

	mu        sync.Mutex
	addresses []string
	until     time.Time
	turn      int
}

func (t *told) next(ctx context.Context) (string, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().After(t.until) {
		t.ask(ctx)
	}
	t.turn++
	return t.addresses[t.turn%len(t.addresses)], bench.APIKey("a")
}

func (t *told) ask(ctx context.Context) {
	answer, err := t.bench.Call(ctx, t.bench.Entry("entry-1").Address(), "", http.MethodGet, "/v1/entries", "", nil)
	if err != nil {
		return
	}
	var list struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		TTL int `json:"ttl_s"`
	}
	if json.Unmarshal(answer.Body, &list) != nil || len(list.Entries) == 0 {
		return
	}
	t.addresses = nil
	for _, e := range list.Entries {
		t.addresses = append(t.addresses, e.Address)
	}
	t.until = time.Now().Add(time.Duration(list.TTL) * time.Second)
}

func (t *told) setOut(ctx context.Context, out bool) error {
	t.version++
	submission, err := t.bench.SubmitPatch(ctx, "entry-1", t.version, bench.DataCentreOutPatch("r", "dc-0", out))
	if err != nil {
		return err
	}
	if submission.Result != entry.ResultAccepted {
		return eris.Errorf("the patch was %s: %v", submission.Result, submission.Findings)
	}
	return nil
}

// roundRobin sends requests to the engines of the data centres in service, one
// after the other, whatever they bear.
type roundRobin struct {
	bench *bench.Bench
	turn  atomic.Uint64
	out   atomic.Bool
}

func (r *roundRobin) next(context.Context) (string, string) {
	for {
		n := r.turn.Add(1) % cycleEngines
		if r.out.Load() && n%3 == 0 {
			continue
		}
		return r.bench.EndpointAddress(fmt.Sprintf("model-%d", n)), ""
	}
}

func (r *roundRobin) setOut(_ context.Context, out bool) error {
	r.out.Store(out)
	return nil
}
