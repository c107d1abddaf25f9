package probe

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/mat"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform"
)

// fleetSize is the size of a fleet whose control cost is measured.
type fleetSize struct {
	entries int
	agents  int
}

var controlSizes = []fleetSize{
	{2, 4}, {2, 24}, {2, 72}, {6, 4}, {6, 24}, {6, 72}, {12, 4}, {12, 24}, {20, 4}, {20, 24},
}

var briefControlSizes = []fleetSize{{1, 2}, {1, 6}, {3, 2}, {3, 6}, {5, 2}, {5, 6}}

// Durations of the measurement at one fleet size.
const (
	controlSettle   = 2 * time.Second
	controlDuration = 5 * time.Second
	briefDuration   = 500 * time.Millisecond
)

// controlPoint holds the costs measured at one fleet size, without requests. Rates
// are per second.
type controlPoint struct {
	size         fleetSize
	cpu          float64
	heap         float64
	sessionBytes float64
	storeBytes   float64
	storeCalls   float64
	patch        patchCost
}

// patchCost is the cost of one patch in the whole fleet, above the idle cost.
type patchCost struct {
	cpu    float64
	bytes  float64
	calls  float64
	millis float64
}

// controlCost measures the cost of the control plane without requests at several
// fleet sizes, and fits the cost added by each entry, agent and pair.
func (r *Run) controlCost(ctx context.Context) error {
	sizes, settle, duration := controlSizes, controlSettle, controlDuration
	if r.brief {
		sizes, settle, duration = briefControlSizes, briefDuration, briefDuration
	}
	var points []controlPoint
	for _, size := range sizes {
		point, err := measureControl(ctx, size, settle, duration)
		if err != nil {
			return err
		}
		points = append(points, point)
		r.report(fmt.Sprintf("cpu_e%d_a%d", size.entries, size.agents), "core", point.cpu, "")
	}
	fits := []struct {
		name   string
		unit   string
		target string
		value  func(controlPoint) float64
	}{
		{"cpu", "core", "0.018 a node", func(p controlPoint) float64 { return p.cpu }},
		{"memory", "byte", "32 MB a node", func(p controlPoint) float64 { return p.heap }},
		{"session_bytes", "byte/s", "2000 a node with kv_bytes", func(p controlPoint) float64 { return p.sessionBytes }},
		{"kv_bytes", "byte/s", "2000 a node with session_bytes", func(p controlPoint) float64 { return p.storeBytes }},
		{"kv_calls", "call/s", "2000 reads in all", func(p controlPoint) float64 { return p.storeCalls }},
		{"patch_cpu", "core second", "", func(p controlPoint) float64 { return p.patch.cpu }},
		{"patch_bytes", "byte", "", func(p controlPoint) float64 { return p.patch.bytes }},
		{"patch_kv_calls", "call", "", func(p controlPoint) float64 { return p.patch.calls }},
		{"patch_time", "ms", "5000", func(p controlPoint) float64 { return p.patch.millis }},
	}
	for _, fit := range fits {
		if err := r.reportFit(fit.name, fit.unit, fit.target, points, fit.value); err != nil {
			return err
		}
	}
	return nil
}

// measureControl measures the costs at one fleet size.
func measureControl(ctx context.Context, size fleetSize, settle, duration time.Duration) (controlPoint, error) {
	before := liveBytes()
	b, err := bench.Start(ctx, controlSpec(size))
	if err != nil {
		return controlPoint{}, eris.Wrapf(err, "%d entries and %d agents", size.entries, size.agents)
	}
	defer b.Close()
	time.Sleep(settle)
	point := controlPoint{size: size}
	idle := startCostMeter(b)
	time.Sleep(duration)
	idle.stop()
	point.cpu, point.sessionBytes, point.storeBytes, point.storeCalls = idle.cpu/idle.seconds, idle.links/idle.seconds, idle.kv/idle.seconds, idle.calls/idle.seconds
	point.heap = liveBytes() - before
	point.patch, err = measurePatch(ctx, b, idle)
	return point, err
}

// measurePatch submits a patch and returns its cost above the idle cost.
func measurePatch(ctx context.Context, b *bench.Bench, idle *costMeter) (patchCost, error) {
	began := time.Now()
	extra := startCostMeter(b)
	submission, err := b.SubmitPatch(ctx, "entry-0", 1, bench.DataCentreOutPatch("r", "dc-0", false))
	if err != nil {
		return patchCost{}, err
	}
	if submission.Result != entry.ResultAccepted {
		return patchCost{}, eris.Errorf("the patch was %s: %v", submission.Result, submission.Findings)
	}
	millis := float64(time.Since(began).Milliseconds())
	time.Sleep(time.Second)
	extra.stop()
	share := extra.seconds / idle.seconds
	return patchCost{
		cpu:    math.Max(0, extra.cpu-idle.cpu*share),
		bytes:  math.Max(0, extra.links+extra.kv-(idle.links+idle.kv)*share),
		calls:  math.Max(0, extra.calls-idle.calls*share),
		millis: millis,
	}, nil
}

func controlSpec(size fleetSize) bench.Spec {
	spec := bench.Spec{Region: "r", DataCentres: []string{"dc-0", "dc-1", "dc-2"}, Teams: []string{"a"}}
	service := bench.Service{Name: "plain", Kind: config.KindPlain, PathPrefix: "/plain"}
	for i := range size.agents {
		service.Replicas = append(service.Replicas, bench.Replica{
			Name:       fmt.Sprintf("plain-%d", i),
			DataCentre: spec.DataCentres[i%3],
			Plain:      stand.PlainSpec{Capacity: 8},
		})
	}
	spec.Services = []bench.Service{service}
	for i := range size.entries {
		spec.Entries = append(spec.Entries, bench.EntrySpec{Name: fmt.Sprintf("entry-%d", i), DataCentre: spec.DataCentres[i%3]})
	}
	return spec
}

// costMeter measures the costs between startCostMeter and stop.
type costMeter struct {
	bench   *bench.Bench
	began   time.Time
	seconds float64
	cpu     float64
	links   float64
	kv      float64
	calls   float64
}

// startCostMeter reads the counters at the start.
func startCostMeter(b *bench.Bench) *costMeter {
	counts := b.KVCounts()
	return &costMeter{
		bench: b,
		began: time.Now(),
		cpu:   cpuSeconds(),
		links: float64(link.SessionTraffic.Sent()),
		kv:    float64(platform.StoreTraffic.Sent() + platform.StoreTraffic.Received()),
		calls: float64(counts.Reads() + counts.Writes()),
	}
}

// stop replaces the counters read at the start by their increase since then.
func (c *costMeter) stop() {
	counts := c.bench.KVCounts()
	c.seconds = time.Since(c.began).Seconds()
	c.cpu = cpuSeconds() - c.cpu
	c.links = float64(link.SessionTraffic.Sent()) - c.links
	c.kv = float64(platform.StoreTraffic.Sent()+platform.StoreTraffic.Received()) - c.kv
	c.calls = float64(counts.Reads()+counts.Writes()) - c.calls
}

// costTerms are the terms of the cost model: a constant, the cost of each entry,
// each agent and each entry-agent pair, and that of each ordered pair of entries.
var costTerms = []struct {
	name  string
	value func(fleetSize) float64
}{
	{"base", func(fleetSize) float64 { return 1 }},
	{"per_entry", func(s fleetSize) float64 { return float64(s.entries) }},
	{"per_agent", func(s fleetSize) float64 { return float64(s.agents) }},
	{"per_entry_agent", func(s fleetSize) float64 { return float64(s.entries * s.agents) }},
	{"per_entry_entry", func(s fleetSize) float64 { return float64(s.entries * (s.entries - 1)) }},
}

// reportFit fits the coefficients of costTerms by least squares and reports them
// with the largest residual as a share of the measured value.
func (r *Run) reportFit(name, unit, target string, points []controlPoint, value func(controlPoint) float64) error {
	design := mat.NewDense(len(points), len(costTerms), nil)
	measured := mat.NewVecDense(len(points), nil)
	for i, point := range points {
		for j, term := range costTerms {
			design.Set(i, j, term.value(point.size))
		}
		measured.SetVec(i, value(point))
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(design, measured); err != nil {
		return eris.Wrapf(err, "can't fit the cost model to %s", name)
	}
	var fitted mat.VecDense
	fitted.MulVec(design, &slopes)
	worst := 0.0
	for i := range points {
		if measured.AtVec(i) != 0 {
			worst = math.Max(worst, math.Abs(fitted.AtVec(i)-measured.AtVec(i))/measured.AtVec(i))
		}
	}
	for j, term := range costTerms {
		r.report(name+"_"+term.name, unit, slopes.AtVec(j), target)
	}
	r.report(name+"_worst_residual", "share", worst, "")
	r.plotFit(name, unit, points, value, &fitted)
	return nil
}
