// Package meter makes the metrics of a process by OpenTelemetry and serves them
// in the Prometheus format.
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

// scope is the name under which all metrics are made.
const scope = "lentilstand"

// Meter makes metrics. Use New.
type Meter struct {
	registry *client.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter
}

// New returns a meter with the metrics of the Go runtime and the process.
func New() (*Meter, error) {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry), prometheus.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "can't make the metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Meter{registry: registry, provider: provider, meter: provider.Meter(scope)}, nil
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close ends the meter.
func (m *Meter) Close() { _ = m.provider.Shutdown(context.Background()) }

// Counter is a number that only grows, with one label.
type Counter struct {
	counter metric.Int64Counter
	label   string
}

// Counter returns a counter whose values are told apart by label.
func (m *Meter) Counter(name, description, label string) Counter {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	mustMake(name, err)
	return Counter{counter: counter, label: label}
}

// Add adds n to the counter for the value of its label.
func (c Counter) Add(n int64, value string) {
	c.counter.Add(context.Background(), n, metric.WithAttributes(attribute.String(c.label, value)))
}

// Histogram is a distribution of seconds, with one label.
type Histogram struct {
	histogram metric.Float64Histogram
	label     string
}

// secondsBounds are the bounds of the buckets of histograms.
var secondsBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.07, 0.1, 0.25, 0.5, 0.63, 1, 2.5, 5, 10, 30}

// Histogram returns a distribution of seconds, told apart by label.
func (m *Meter) Histogram(name, description, label string) Histogram {
	histogram, err := m.meter.Float64Histogram(name,
		metric.WithDescription(description),
		metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBounds...))
	mustMake(name, err)
	return Histogram{histogram: histogram, label: label}
}

// Record adds one value in seconds for the value of the label.
func (h Histogram) Record(seconds float64, value string) {
	h.histogram.Record(context.Background(), seconds, metric.WithAttributes(attribute.String(h.label, value)))
}

// Gauge makes a metric that is read when it is asked for. Read reports a value
// for each value of label.
func (m *Meter) Gauge(name, description, label string, read func(report func(n int64, value string))) {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			read(func(n int64, value string) {
				observer.Observe(n, metric.WithAttributes(attribute.String(label, value)))
			})
			return nil
		}))
	mustMake(name, err)
}

// mustMake panics on a metric that can't be made, which only a wrong name in
// the code causes.
func mustMake(name string, err error) {
	if err != nil {
		panic("meter: can't make the metric " + name + ": " + err.Error())
	}
}
