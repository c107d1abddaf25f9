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

// fleetSize is one point at which control costs are measured.
type fleetSize struct {
	entries int
	agents  int
}

var controlSizes = []fleetSize{
	{2, 4}, {2, 24}, {2, 72}, {6, 4}, {6, 24}, {6, 72}, {12, 4}, {12, 24}, {20, 4}, {20, 24},
}

var briefControlSizes = []fleetSize{{1, 2}, {1, 6}, {3, 2}, {3, 6}, {5, 2}, {5, 6}}

// How long a point is measured.
const (
	controlSettle = 2 * time.Second
	controlTime   = 5 * time.Second
	briefTime     = 500 * time.Millisecond
)

// controlPoint is what was measured at one size.
type controlPoint struct {
	size  fleetSize
	cpu   float64
	heap  float64
	links float64
	kv    float64
	calls float64
	patch patchCost
}

// patchCost is what one patch costs the whole fleet.
type patchCost struct {
	cpu    float64
	bytes  float64
	calls  float64
	millis float64
}

// controlCost measures what control costs without requests, at several sizes,
// and fits what each entry, agent and pair adds.
func (r *Run) controlCost(ctx context.Context) error {
	sizes, settle, length := controlSizes, controlSettle, controlTime
	if r.brief {
		sizes, settle, length = briefControlSizes, briefTime, briefTime
	}
	var points []controlPoint
	for _, size := range sizes {
		point, err := controlAt(ctx, size, settle, length)
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
		{"session_bytes", "byte/s", "2000 a node with kv_bytes", func(p controlPoint) float64 { return p.links }},
		{"kv_bytes", "byte/s", "2000 a node with session_bytes", func(p controlPoint) float64 { return p.kv }},
		{"kv_calls", "call/s", "2000 reads in all", func(p controlPoint) float64 { return p.calls }},
		{"patch_cpu", "core second", "", func(p controlPoint) float64 { return p.patch.cpu }},
		{"patch_bytes", "byte", "", func(p controlPoint) float64 { return p.patch.bytes }},
		{"patch_kv_calls", "call", "", func(p controlPoint) float64 { return p.patch.calls }},
		{"patch_time", "ms", "5000", func(p controlPoint) float64 { return p.patch.millis }},
	}
	for _, fit := range fits {
		if err := r.fit(fit.name, fit.unit, fit.target, points, fit.value); err != nil {
			return err
		}
	}
	return nil
}

// controlAt measures one size.
func controlAt(ctx context.Context, size fleetSize, settle, length time.Duration) (controlPoint, error) {
	before := liveBytes()
	b, err := bench.Start(ctx, controlSpec(size))
	if err != nil {
		return controlPoint{}, eris.Wrapf(err, "%d entries and %d agents", size.entries, size.agents)
	}
	defer b.Close()
	time.Sleep(settle)
	point := controlPoint{size: size}
	idle := watchCosts(b)
	time.Sleep(length)
	idle.stop()
	point.cpu, point.links, point.kv, point.calls = idle.cpu/idle.seconds, idle.links/idle.seconds, idle.kv/idle.seconds, idle.calls/idle.seconds
	point.heap = liveBytes() - before
	point.patch, err = patchAt(ctx, b, idle)
	return point, err
}

// patchAt submits a patch and returns what it costs above idling.
func patchAt(ctx context.Context, b *bench.Bench, idle *costs) (patchCost, error) {
	began := time.Now()
	extra := watchCosts(b)
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

// costs are what a part of a run has cost.
type costs struct {
	bench   *bench.Bench
	began   time.Time
	seconds float64
	cpu     float64
	links   float64
	kv      float64
	calls   float64
}

func watchCosts(b *bench.Bench) *costs {
	counts := b.KVCounts()
	return &costs{
		bench: b,
		began: time.Now(),
		cpu:   cpuSeconds(),
		links: float64(link.SessionTraffic.Sent()),
		kv:    float64(platform.StoreTraffic.Sent() + platform.StoreTraffic.Received()),
		calls: float64(counts.Reads() + counts.Writes()),
	}
}

// stop turns the readings at the beginning into differences.
func (c *costs) stop() {
	counts := c.bench.KVCounts()
	c.seconds = time.Since(c.began).Seconds()
	c.cpu = cpuSeconds() - c.cpu
	c.links = float64(link.SessionTraffic.Sent()) - c.links
	c.kv = float64(platform.StoreTraffic.Sent()+platform.StoreTraffic.Received()) - c.kv
	c.calls = float64(counts.Reads()+counts.Writes()) - c.calls
}

// terms are the parts of a cost: a constant, what each entry, each agent and
// each entry-agent pair adds, and what each ordered pair of entries adds.
var terms = []struct {
	name  string
	value func(fleetSize) float64
}{
	{"base", func(fleetSize) float64 { return 1 }},
	{"per_entry", func(s fleetSize) float64 { return float64(s.entries) }},
	{"per_agent", func(s fleetSize) float64 { return float64(s.agents) }},
	{"per_entry_agent", func(s fleetSize) float64 { return float64(s.entries * s.agents) }},
	{"per_entry_entry", func(s fleetSize) float64 { return float64(s.entries * (s.entries - 1)) }},
}

// fit finds the slopes by least squares and reports them with the largest
// residual as a share of the measured value.
func (r *Run) fit(name, unit, target string, points []controlPoint, value func(controlPoint) float64) error {
	design := mat.NewDense(len(points), len(terms), nil)
	measured := mat.NewVecDense(len(points), nil)
	for i, point := range points {
		for j, term := range terms {
			design.Set(i, j, term.value(point.size))
		}
		measured.SetVec(i, value(point))
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(design, measured); err != nil {
		return eris.Wrapf(err, "no fit for %s", name)
	}
	var fitted mat.VecDense
	fitted.MulVec(design, &slopes)
	worst := 0.0
	for i := range points {
		if measured.AtVec(i) != 0 {
			worst = math.Max(worst, math.Abs(fitted.AtVec(i)-measured.AtVec(i))/measured.AtVec(i))
		}
	}
	for j, term := range terms {
		r.report(name+"_"+term.name, unit, slopes.AtVec(j), target)
	}
	r.report(name+"_worst_residual", "share", worst, "")
	r.plotFit(name, unit, points, value, &fitted)
	return nil
}
