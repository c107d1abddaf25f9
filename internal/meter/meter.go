// Package meter records the metrics of a process with OpenTelemetry and serves
// them in the Prometheus format.
package meter

import (
	"context"
	"net/http"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// scope is the name of the OpenTelemetry instrumentation scope.
const scope = "lentilstand"

// Meter creates the metrics of a process. Create it with New.
type Meter struct {
	registry *client.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter
}

// New returns a meter that already exports the metrics of the Go runtime and of
// the process.
func New() (*Meter, error) {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry), prometheus.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "cannot create the metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Meter{registry: registry, provider: provider, meter: provider.Meter(scope)}, nil
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts down the metrics provider.
func (m *Meter) Close() { _ = m.provider.Shutdown(context.Background()) }

// Counter is a monotonic counter with one label. The zero value counts nothing.
type Counter struct {
	counter metric.Int64Counter
	label   string
}

// Counter creates a counter with a label.
func (m *Meter) Counter(name, description, label string) Counter {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	mustCreate(name, err)
	return Counter{counter: counter, label: label}
}

// Add adds n to the counter for a value of its label.
func (c Counter) Add(n int64, value string) {
	if c.counter == nil {
		return
	}
	c.counter.Add(context.Background(), n, metric.WithAttributes(attribute.String(c.label, value)))
}

// Histogram is a histogram of durations in seconds with one label.
type Histogram struct {
	histogram metric.Float64Histogram
	label     string
}

// durationBuckets are the upper bounds of the buckets of histograms, in seconds.
var durationBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.07, 0.1, 0.25, 0.5, 0.63, 1, 2.5, 5, 10, 30}

// Histogram creates a histogram of durations in seconds with a label.
func (m *Meter) Histogram(name, description, label string) Histogram {
	histogram, err := m.meter.Float64Histogram(name,
		metric.WithDescription(description),
		metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	mustCreate(name, err)
	return Histogram{histogram: histogram, label: label}
}

// Record adds a duration in seconds for a value of the label.
func (h Histogram) Record(seconds float64, value string) {
	h.histogram.Record(context.Background(), seconds, metric.WithAttributes(attribute.String(h.label, value)))
}

// Gauge creates a gauge with a label that is read on each scrape. The callback
// read reports the gauge's number for each value of label.
func (m *Meter) Gauge(name, description, label string, read func(report func(n int64, value string))) {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			read(func(n int64, value string) {
				observer.Observe(n, metric.WithAttributes(attribute.String(label, value)))
			})
			return nil
		}))
	mustCreate(name, err)
}

// mustCreate panics if a metric could not be created, which only an invalid
// name in the code causes.
func mustCreate(name string, err error) {
	if err != nil {
		panic("meter: cannot create metric " + name + ": " + err.Error())
	}
}
