package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics is a registry of instruments with an HTTP handler that serves them.
type Metrics struct {
	provider *sdk.MeterProvider
	handler  http.Handler
	meter    metric.Meter
}

// latencyBounds are the upper bounds of the buckets of all histograms, in seconds.
var latencyBounds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// New returns a registry without instruments.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Metrics{
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:    provider.Meter("rainford"),
	}, nil
}

// Gauge registers a gauge without labels. Its value is read when the metrics are scraped.
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

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close shuts the recording of metrics down.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }
