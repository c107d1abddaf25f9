// Package probe benchmarks the system: real entries and agents with stand-ins over
// loopback, with limited time and load, each compared with a baseline in the same
// run. The measures report figures and have no pass or fail.
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/plots"
)

// Result is one measured figure.
type Result struct {
	measure  string
	unit     string
	value    float64
	baseline *float64
	target   string
	seed     uint64
	seconds  float64
	command  string
}

// resultJSON is the JSON encoding of a Result.
type resultJSON struct {
	Measure  string   `json:"measure"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"`
	Value    float64  `json:"value"`
	Target   string   `json:"target"`
	Seed     uint64   `json:"seed"`
	Seconds  float64  `json:"seconds"`
	Command  string   `json:"command"`
}

// Measure returns the name of the figure.
func (r Result) Measure() string { return r.measure }

// Value returns the value of the figure.
func (r Result) Value() float64 { return r.value }

// Encode returns the result as one line of JSON.
func (r Result) Encode() []byte {
	encoded, err := json.Marshal(resultJSON{
		Measure:  r.measure,
		Unit:     r.unit,
		Baseline: r.baseline,
		Value:    r.value,
		Target:   r.target,
		Seed:     r.seed,
		Seconds:  r.seconds,
		Command:  r.command,
	})
	if err != nil {
		panic("probe: can't encode a result: " + err.Error())
	}
	return encoded
}

// Run is one run of measures. Use NewRun.
type Run struct {
	out            io.Writer
	seed           uint64
	brief          bool
	command        string
	currentMeasure string
	began          time.Time
	results        []Result
	plots          []plots.Plot
}

// NewRun returns a run that writes its results to out. A brief run is too small for
// meaningful figures and shows only the format of the results.
func NewRun(out io.Writer, seed uint64, brief bool) *Run {
	return &Run{out: out, seed: seed, brief: brief}
}

// measures maps names to measures.
var measures = map[string]func(*Run, context.Context) error{
	"control_cost":       (*Run).controlCost,
	"path_overhead":      (*Run).pathOverhead,
	"slow_reader_memory": (*Run).slowReaderMemory,
	"data_centre_cycle":  (*Run).dataCentreCycle,
	"step_time_skew":     (*Run).stepTimeSkew,
}

// Names returns the names of all measures in order.
func Names() []string {
	names := make([]string, 0, len(measures))
	for name := range measures {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Measure runs the named measure.
func (r *Run) Measure(ctx context.Context, name string) error {
	measure, ok := measures[name]
	if !ok {
		return eris.Errorf("there is no measure %q; there are %v", name, Names())
	}
	r.currentMeasure = name
	r.command = fmt.Sprintf("lentilstand measure --seed %d %s", r.seed, name)
	r.began = time.Now()
	return measure(r, ctx)
}

// report adds a figure without a baseline.
func (r *Run) report(measure, unit string, value float64, target string) {
	r.add(Result{measure: measure, unit: unit, value: value, target: target})
}

// compare adds a figure with its baseline.
func (r *Run) compare(measure, unit string, value, baseline float64, target string) {
	r.add(Result{measure: measure, unit: unit, value: value, baseline: &baseline, target: target})
}

func (r *Run) add(result Result) {
	result.measure = r.currentMeasure + "." + result.measure
	result.seed = r.seed
	result.seconds = time.Since(r.began).Seconds()
	result.command = r.command
	r.results = append(r.results, result)
	fmt.Fprintf(r.out, "%s\n", result.Encode())
}

// cpuSeconds returns the user and system CPU time of the process, zero if it can't be
// read.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return seconds(usage.Utime) + seconds(usage.Stime)
}

func seconds(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }

// liveBytes collects garbage and returns the bytes of live heap and stacks.
func liveBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
