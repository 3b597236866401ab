package telemetry

import (
	"context"
	"fmt"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// maxLabels is the largest number of labels of an instrument.
	maxLabels = 4
	// maxSeries is the largest number of series of a counter or histogram. Events
	// of further series are counted in one series whose labels have the value
	// overflowValue. Label values that come from requests could otherwise use up
	// the memory.
	maxSeries     = 512
	overflowValue = "other"
)

// labelValues are the values of an instrument's labels, in the order of the labels. Elements
// beyond the number of labels are empty.
type labelValues [maxLabels]string

// seriesCache caches the attribute sets of an instrument's series, because building a set for
// each event would cost more than counting the event. It is safe for concurrent use.
type seriesCache struct {
	labels []string

	mu      sync.RWMutex
	options map[labelValues]metric.MeasurementOption
}

func newSeriesCache(labels []string) *seriesCache {
	return &seriesCache{labels: labels, options: make(map[labelValues]metric.MeasurementOption)}
}

// option returns the attributes of the series with the given label values, or those of the
// overflow series if the instrument has too many series.
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

// attributeSet returns the attributes for the values of the labels.
func (s *seriesCache) attributeSet(key labelValues) attribute.Set {
	attributes := make([]attribute.KeyValue, len(s.labels))
	for i, label := range s.labels {
		attributes[i] = attribute.String(label, key[i])
	}
	return attribute.NewSet(attributes...)
}

// Counter is a counter of events with labels.
type Counter struct {
	series  *seriesCache
	counter metric.Int64Counter
}

// Counter registers a counter with at most four labels.
func (m *Metrics) Counter(name, description string, labels ...string) (*Counter, error) {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %s: %w", name, err)
	}
	return &Counter{series: newSeriesCache(labels), counter: counter}, nil
}

// Add counts n events. values are the values of the labels, in the order of the labels.
func (c *Counter) Add(n int64, values ...string) {
	c.counter.Add(context.Background(), n, c.series.option(values...))
}

// Histogram is a histogram of durations with labels.
type Histogram struct {
	series    *seriesCache
	histogram metric.Float64Histogram
}

// Histogram registers a histogram of durations in seconds with at most four labels.
func (m *Metrics) Histogram(name, description string, labels ...string) (*Histogram, error) {
	histogram, err := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %s: %w", name, err)
	}
	return &Histogram{series: newSeriesCache(labels), histogram: histogram}, nil
}

// Record records a duration in seconds. values are the values of the labels, in the order of
// the labels.
func (h *Histogram) Record(seconds float64, values ...string) {
	h.histogram.Record(context.Background(), seconds, h.series.option(values...))
}

// Gauges registers a gauge with at most four labels. read is called when the metrics are
// scraped. It calls observe once for each series, with the value of the gauge and the values
// of the labels in the order of the labels.
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
