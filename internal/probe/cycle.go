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

// Parameters of the measure data_centre_cycle.
const (
	cycleTokens   = 20
	cycleStep     = 10 * time.Millisecond
	cyclePrefill  = 30 * time.Millisecond
	cycleCapacity = 8
	cycleEngines  = 6
	cycleOutAt    = 4 * time.Second
	cycleBackAt   = 10 * time.Second
	cycleLength   = 18 * time.Second
	// drainTime is the time by which no more new work may reach a data centre that was
	// taken out of service.
	drainTime      = 3 * time.Second
	sampleInterval = 500 * time.Millisecond
)

// cyclePlan is the schedule of one run in which a data centre is taken out of
// service and put back.
type cyclePlan struct {
	// share is the request rate as a share of the engines' total capacity.
	share  float64
	outAt  time.Duration
	backAt time.Duration
	length time.Duration
}

// rate returns the request rate per second: the plan's share of the total capacity
// of all engines.
func (p cyclePlan) rate() float64 {
	one := cyclePrefill + cycleTokens*cycleStep
	return p.share * cycleEngines * cycleCapacity / one.Seconds()
}

// cycleResult holds the outcomes of the requests of a run.
type cycleResult struct {
	latencies *latencies
	refused   atomic.Int64
	failed    atomic.Int64
	// newWork counts requests that engines of the data centre admitted later than
	// drainTime after it was taken out of service.
	newWork int
	crashes int
	// series is the rate of served requests over time.
	series plotter.XYs
}

// dataCentreCycle takes a data centre out of service and puts it back with cold
// engines, under steady load.
func (r *Run) dataCentreCycle(ctx context.Context) error {
	plans := []cyclePlan{
		{0.60, cycleOutAt, cycleBackAt, cycleLength},
		{0.85, cycleOutAt, cycleBackAt, cycleLength},
	}
	if r.brief {
		plans = []cyclePlan{{0.3, time.Second, 2 * time.Second, 3 * time.Second}}
	}
	for _, plan := range plans {
		measured, err := r.cycle(ctx, plan, true)
		if err != nil {
			return err
		}
		baseline, err := r.cycle(ctx, plan, false)
		if err != nil {
			return err
		}
		at := fmt.Sprintf("_at_%.0f", plan.share*100)
		r.compare("served"+at, "request", float64(measured.latencies.served), float64(baseline.latencies.served), "")
		r.compare("refused"+at, "request", float64(measured.refused.Load()), float64(baseline.refused.Load()), "")
		r.compare("failed"+at, "request", float64(measured.failed.Load()), float64(baseline.failed.Load()), "0")
		r.compare("first_token_p95"+at, "ms", quantileMillis(measured.latencies.first, 95), quantileMillis(baseline.latencies.first, 95), "630")
		r.compare("new_work_after_3s"+at, "request", float64(measured.newWork), float64(baseline.newWork), "0")
		r.compare("falls"+at, "engine", float64(measured.crashes), float64(baseline.crashes), "0")
		r.plotLines("data_centre_cycle: served"+at+" %", "s", "requests served a second",
			plots.NewLine("round robin without ramp", baseline.series), plots.NewLine("lentilstand", measured.series))
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

// inDataCentre0 are the engines of the data centre that is taken out of service.
var inDataCentre0 = []string{"model-0", "model-3"}

// cycle executes one plan, with requests that go through the entries, or directly to
// the engines in round-robin order.
func (r *Run) cycle(ctx context.Context, plan cyclePlan, viaEntries bool) (*cycleResult, error) {
	b, err := bench.Start(ctx, cycleSpec())
	if err != nil {
		return nil, err
	}
	defer b.Close()
	c := &cycleResult{latencies: newLatencies()}
	var target targetSelector = &engineTargets{bench: b}
	if viaEntries {
		target = &entryTargets{bench: b}
	}
	if err := warmUp(ctx, b); err != nil {
		return nil, err
	}
	var wait sync.WaitGroup
	done := make(chan error, 1)
	go func() { done <- c.runOutage(ctx, b, plan, target) }()
	stopSampling := c.sample()
	c.sendRequests(ctx, plan, target, rand.New(rand.NewPCG(r.seed, 1)), &wait)
	wait.Wait()
	stopSampling()
	if err := <-done; err != nil {
		return nil, err
	}
	for i := range cycleEngines {
		c.crashes += b.Engine(fmt.Sprintf("model-%d", i)).Counts().Crashes
	}
	return c, nil
}

// warmUp warms up each engine with sequential requests, all engines concurrently.
func warmUp(ctx context.Context, b *bench.Bench) error {
	client := newClient(http.DefaultMaxIdleConnsPerHost)
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	var failure atomic.Value
	for i := range cycleEngines {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range 2 * cycleCapacity {
				address := b.EndpointAddress(fmt.Sprintf("model-%d", i))
				if _, _, err := streamChat(ctx, client, address, "", fmt.Sprint(n), 1); err != nil {
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

// warmAgents sends requests through the entries until every agent's slow start has
// reached the full capacity.
func warmAgents(ctx context.Context, b *bench.Bench) error {
	client := newClient(http.DefaultMaxIdleConnsPerHost)
	defer client.CloseIdleConnections()
	for !allWarm(b) {
		var wait sync.WaitGroup
		for i := range cycleEngines {
			wait.Add(1)
			go func() {
				defer wait.Done()
				address := b.Entry(fmt.Sprintf("entry-%d", i%3)).Address()
				_, _, _ = streamChat(ctx, client, address, bench.APIKey("a"), fmt.Sprint(rand.Int()), 1)
			}()
		}
		wait.Wait()
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "the agents didn't reach full capacity in time")
		}
	}
	return nil
}

func allWarm(b *bench.Bench) bool {
	for _, e := range b.Entry("entry-0").Status().(entry.Status).Endpoints {
		if e.Capacity < cycleCapacity {
			return false
		}
	}
	return true
}

// runOutage takes the data centre out of service and puts it back with cold engines.
func (c *cycleResult) runOutage(ctx context.Context, b *bench.Bench, plan cyclePlan, target targetSelector) error {
	time.Sleep(plan.outAt)
	if err := target.setOut(ctx, true); err != nil {
		return err
	}
	time.Sleep(min(drainTime, (plan.backAt-plan.outAt)/2))
	before := admitted(b)
	time.Sleep(plan.backAt - plan.outAt - min(drainTime, (plan.backAt-plan.outAt)/2))
	c.newWork = admitted(b) - before
	for _, name := range inDataCentre0 {
		b.Engine(name).SetFaults(stand.EngineFaults{Restart: true})
	}
	return target.setOut(ctx, false)
}

// admitted returns how many requests the engines of data centre 0 have admitted.
func admitted(b *bench.Bench) int {
	sum := 0
	for _, name := range inDataCentre0 {
		sum += b.Engine(name).Counts().Admitted
	}
	return sum
}

// sample records the rate of served requests every sampleInterval until stop is
// called.
func (c *cycleResult) sample() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		last, began := 0, time.Now()
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.latencies.mu.Lock()
				served := c.latencies.served
				c.latencies.mu.Unlock()
				c.series = append(c.series, plotter.XY{
					X: time.Since(began).Seconds(),
					Y: float64(served-last) / sampleInterval.Seconds(),
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

// sendRequests sends requests as a Poisson process at the plan's rate.
func (c *cycleResult) sendRequests(ctx context.Context, plan cyclePlan, target targetSelector, random *rand.Rand, wait *sync.WaitGroup) {
	client := newClient(256)
	end := time.Now().Add(plan.length)
	next := time.Now()
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / plan.rate() * float64(time.Second)))
		time.Sleep(time.Until(next))
		wait.Add(1)
		go func() {
			defer wait.Done()
			address, key := target.next(ctx)
			first, gaps, err := streamChat(ctx, client, address, key, fmt.Sprintf("request %d", n), cycleTokens)
			c.count(first, gaps, err)
		}()
	}
}

func (c *cycleResult) count(first time.Duration, gaps []time.Duration, err error) {
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

// targetSelector selects where requests are sent.
type targetSelector interface {
	next(ctx context.Context) (address, key string)
	setOut(ctx context.Context, out bool) error
}

// entryTargets sends requests to the entries listed by GET /v1/entries, and reads the
// list again when its time to live has expired.
type entryTargets struct {
	bench   *bench.Bench
	version uint64

	mu        sync.Mutex
	addresses []string
	until     time.Time
	turn      int
}

func (t *entryTargets) next(ctx context.Context) (string, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().After(t.until) {
		t.refresh(ctx)
	}
	t.turn++
	return t.addresses[t.turn%len(t.addresses)], bench.APIKey("a")
}

func (t *entryTargets) refresh(ctx context.Context) {
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

func (t *entryTargets) setOut(ctx context.Context, out bool) error {
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

// engineTargets sends requests to the engines of the data centres in service in
// round-robin order, regardless of their capacity.
type engineTargets struct {
	bench *bench.Bench
	turn  atomic.Uint64
	out   atomic.Bool
}

func (r *engineTargets) next(context.Context) (string, string) {
	for {
		n := r.turn.Add(1) % cycleEngines
		if r.out.Load() && n%3 == 0 {
			continue
		}
		return r.bench.EndpointAddress(fmt.Sprintf("model-%d", n)), ""
	}
}

func (r *engineTargets) setOut(_ context.Context, out bool) error {
	r.out.Store(out)
	return nil
}
