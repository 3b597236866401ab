package telemetry

import (
	"errors"
	"time"
)

// EntryMetrics are the instruments of an entry instance, which is an instance that accepts
// requests of callers and uses rainford's own object service (package objectstore).
type EntryMetrics struct {
	*Metrics

	requests   *Counter
	latency    *Histogram
	lookups    *Counter
	violations *Counter
}

// NewEntryMetrics returns the instruments of an entry instance, in a new registry.
func NewEntryMetrics() (*EntryMetrics, error) {
	m, err := New()
	if err != nil {
		return nil, err
	}
	e := &EntryMetrics{Metrics: m}
	var errs [4]error
	e.requests, errs[0] = m.Counter("rainford.requests", "Requests of callers, by service, outcome and reason.", "service", "outcome", "reason")
	e.latency, errs[1] = m.Histogram("rainford.request.duration", "Time from the arrival of a request to the end of its answer.", "service")
	e.lookups, errs[2] = m.Counter("rainford.lookups", "Look-ups answered.")
	e.violations, errs[3] = m.Counter("rainford.invariant.violations", "Invariants found broken inside the instance. Always 0.", "invariant")
	return e, errors.Join(errs[:]...)
}

// Request counts one request of a caller, with its outcome and the reason of a refusal, and
// records how long it took.
func (e *EntryMetrics) Request(service, outcome, reason string, took time.Duration) {
	e.requests.Add(1, service, outcome, reason)
	e.latency.Record(took.Seconds(), service)
}

// Lookup counts one answered look-up.
func (e *EntryMetrics) Lookup() { e.lookups.Add(1) }

// Violation counts a violation of the named invariant.
func (e *EntryMetrics) Violation(name string) { e.violations.Add(1, name) }
