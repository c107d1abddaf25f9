package probe

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/plots"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/internal/strict"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// Parameters of the measure path_overhead.
const (
	pathWorkers      = 8
	pathRequests     = 60
	pathTokens       = 40
	pathStep         = 5 * time.Millisecond
	maxLatencyMicros = 60_000_000
)

// latencies records the latencies of streamed responses in microseconds: the time
// to the first token and the gaps between tokens.
type latencies struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	served int
	failed int
}

func newLatencies() *latencies {
	return &latencies{first: hdrhistogram.New(1, maxLatencyMicros, 3), gap: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (l *latencies) add(first time.Duration, gaps []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	_ = l.first.RecordValue(first.Microseconds())
	for _, gap := range gaps {
		_ = l.gap.RecordValue(gap.Microseconds())
	}
}

func (l *latencies) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

// newClient returns an HTTP client that keeps up to a number of idle connections to each
// address.
func newClient(idleConns int) *http.Client {
	return &http.Client{Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: idleConns})}
}

// streamChat sends a streaming chat request and returns the time to the first token
// and the gaps between tokens.
func streamChat(ctx context.Context, client *http.Client, address, key, content string, tokens int) (time.Duration, []time.Duration, error) {
	body := fmt.Sprintf(`{"model": "model", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, tokens, content)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, nil, &refusedError{status: response.StatusCode, outcome: response.Header.Get("Lentilstand-Outcome")}
	}
	var first time.Duration
	var gaps []time.Duration
	last := sent
	complete := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(sent)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	if !complete {
		return 0, nil, eris.New("the stream ended without [DONE]")
	}
	return first, gaps, nil
}

// refusedError is a response other than 200 to a chat request.
type refusedError struct {
	status  int
	outcome string
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("status %d, outcome %s", e.status, e.outcome)
}

// closedLoop sends requests from several concurrent workers, each of which waits for
// a response before its next request. It returns the latencies, the CPU seconds used
// and the duration.
func closedLoop(ctx context.Context, address, key, label string, workers, requests int) (*latencies, float64, time.Duration) {
	l := newLatencies()
	client := newClient(workers)
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	began, cpu := time.Now(), cpuSeconds()
	for w := range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range requests {
				first, gaps, err := streamChat(ctx, client, address, key, fmt.Sprintf("%s question %d of %d", label, n, w), pathTokens)
				if err != nil {
					l.fail()
					continue
				}
				l.add(first, gaps)
			}
		}()
	}
	wait.Wait()
	return l, cpuSeconds() - cpu, time.Since(began)
}

// pathOverhead compares requests through an entry and an agent with requests sent
// directly to the engine.
func (r *Run) pathOverhead(ctx context.Context) error {
	requests := pathRequests
	if r.brief {
		requests = 3
	}
	engine := stand.DefaultEngineSpec()
	engine.Capacity, engine.ColdCapacity, engine.Step = 64, 64, pathStep
	b, err := bench.Start(ctx, bench.Spec{
		Region:      "r",
		DataCentres: []string{"dc-0"},
		Teams:       []string{"a"},
		Entries:     []bench.EntrySpec{{Name: "entry-0", DataCentre: "dc-0"}},
		Services: []bench.Service{{Name: "model", Kind: config.KindModel, Repeatable: true, Replicas: []bench.Replica{
			{Name: "model-0", DataCentre: "dc-0", Engine: engine, Warm: true},
		}}},
	})
	if err != nil {
		return err
	}
	defer b.Close()
	direct, directCPU, _ := closedLoop(ctx, b.EndpointAddress("model-0"), "", "direct", pathWorkers, requests)
	through, throughCPU, took := closedLoop(ctx, b.Entry("entry-0").Address(), bench.APIKey("a"), "through", pathWorkers, requests)
	if direct.failed+through.failed > 0 {
		return eris.Errorf("%d direct requests and %d requests through the entry failed", direct.failed, through.failed)
	}
	for _, quantile := range []float64{50, 95, 99} {
		r.compare(fmt.Sprintf("first_token_p%.0f", quantile), "ms", quantileMillis(through.first, quantile), quantileMillis(direct.first, quantile), "p95 630")
		r.compare(fmt.Sprintf("token_gap_p%.0f", quantile), "ms", quantileMillis(through.gap, quantile), quantileMillis(direct.gap, quantile), "p95 70")
	}
	count := float64(through.served)
	added := (throughCPU - directCPU) / count
	r.compare("cpu_per_request", "ms", throughCPU/count*1000, directCPU/count*1000, "")
	r.report("added_cpu_per_token", "us", added/pathTokens*1e6, "")
	r.report("requests_per_added_core", "1/s", 1/added, "")
	r.report("requests_per_second", "1/s", count/took.Seconds(), "")
	r.plotLines("path_overhead: first token", "quantile", "ms",
		plots.NewLine("direct", quantiles(direct.first)), plots.NewLine("through entry and agent", quantiles(through.first)))
	return nil
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func quantiles(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for quantile := 5.0; quantile < 100; quantile += 5 {
		points = append(points, plotter.XY{X: quantile, Y: quantileMillis(h, quantile)})
	}
	return points
}
