package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics are the instruments of one instance.
type Metrics struct {
	provider *sdk.MeterProvider
	handler  http.Handler
	meter    metric.Meter

	requests  metric.Int64Counter
	latency   metric.Float64Histogram
	lookups   metric.Int64Counter
	violation metric.Int64Counter
}

// latencyBounds are the bounds of the latency histogram in seconds.
var latencyBounds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// New returns the instruments of an instance, in a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:    provider.Meter("rainford"),
	}
	err = m.create()
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	return m, nil
}

func (m *Metrics) create() error {
	var err error
	m.requests, err = m.meter.Int64Counter("rainford.requests", metric.WithDescription("Requests of callers, by service, outcome and reason."))
	if err != nil {
		return err
	}
	m.latency, err = m.meter.Float64Histogram("rainford.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return err
	}
	m.lookups, err = m.meter.Int64Counter("rainford.lookups", metric.WithDescription("Look-ups answered."))
	if err != nil {
		return err
	}
	m.violation, err = m.meter.Int64Counter("rainford.invariant.violations", metric.WithDescription("Invariants found broken inside the instance. Always 0."))
	return err
}

// Gauge registers a value that is read when the metrics are.
func (m *Metrics) Gauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("telemetry: %s: %w", name, err)
	}
	return nil
}

// Request counts one request of a caller.
func (m *Metrics) Request(service, outcome, reason string, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", service),
		attribute.String("outcome", outcome),
		attribute.String("reason", reason)))
	m.latency.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}

// Lookup counts one look-up.
func (m *Metrics) Lookup() { m.lookups.Add(context.Background(), 1) }

// Violation counts a broken invariant.
func (m *Metrics) Violation(name string) {
	m.violation.Add(context.Background(), 1, metric.WithAttributes(attribute.String("invariant", name)))
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close ends the recording.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }
