package telemetry

import (
	"context"
	"fmt"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// maxLabels is the number of labels that an instrument may have.
	maxLabels = 4
	// maxSeries bounds the series of an instrument. Further ones are counted
	// together under overflowValue, so that names that come from outside cannot
	// fill the memory.
	maxSeries     = 512
	overflowValue = "other"
)

// labelValues are the labelValues of an instrument's labels.
type labelValues [maxLabels]string

// seriesCache hands out the attributes of an instrument's seriesCache. Making a set anew with
// each event would cost more than counting it.
type seriesCache struct {
	labels []string

	mu      sync.RWMutex
	options map[labelValues]metric.MeasurementOption
}

func newSeriesCache(labels []string) *seriesCache {
	return &seriesCache{labels: labels, options: make(map[labelValues]metric.MeasurementOption)}
}

// option returns the attributes of the series with the values.
func (s *seriesCache) option(of ...string) metric.MeasurementOption {
	var key labelValues
	copy(key[:], of)
	s.mu.RLock()
	option, known := s.options[key]
	s.mu.RUnlock()
	if known {
		return option
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.options) >= maxSeries {
		for i := range s.labels {
			key[i] = overflowValue
		}
	}
	option = metric.WithAttributeSet(s.attributeSet(key))
	s.options[key] = option
	return option
}

func (s *seriesCache) attributeSet(key labelValues) attribute.Set {
	attributes := make([]attribute.KeyValue, len(s.labels))
	for i, label := range s.labels {
		attributes[i] = attribute.String(label, key[i])
	}
	return attribute.NewSet(attributes...)
}

// Counter counts events by labels.
type Counter struct {
	series  *seriesCache
	counter metric.Int64Counter
}

// Counter returns a counter with at most four labels.
func (m *Metrics) Counter(name, description string, labels ...string) (*Counter, error) {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %s: %w", name, err)
	}
	return &Counter{series: newSeriesCache(labels), counter: counter}, nil
}

// Add counts n events. Values are those of the labels, in their order.
func (c *Counter) Add(n int64, values ...string) {
	c.counter.Add(context.Background(), n, c.series.option(values...))
}

// Histogram records times by labels.
type Histogram struct {
	series    *seriesCache
	histogram metric.Float64Histogram
}

// Histogram returns a histogram of times in seconds with at most four labels.
func (m *Metrics) Histogram(name, description string, labels ...string) (*Histogram, error) {
	histogram, err := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %s: %w", name, err)
	}
	return &Histogram{series: newSeriesCache(labels), histogram: histogram}, nil
}

// Record records a time in seconds. Values are those of the labels, in their order.
func (h *Histogram) Record(seconds float64, values ...string) {
	h.histogram.Record(context.Background(), seconds, h.series.option(values...))
}

// Gauges registers values that are read when the metrics are. Read calls observe
// once for each series, with the values of the labels in their order.
func (m *Metrics) Gauges(name, description string, labels []string, read func(observe func(value float64, values ...string))) error {
	s := newSeriesCache(labels)
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			read(func(value float64, of ...string) {
				var key labelValues
				copy(key[:], of)
				o.Observe(value, metric.WithAttributeSet(s.attributeSet(key)))
			})
			return nil
		}))
	if err != nil {
		return fmt.Errorf("telemetry: %s: %w", name, err)
	}
	return nil
}
