package main

import (
	"errors"

	"github.com/rainford/rainford/telemetry"
)

// lookupMetrics holds the metrics of a process that answers look-ups. A nil *lookupMetrics records
// nothing.
type lookupMetrics struct {
	telemetry *telemetry.Metrics
	lookups   *telemetry.Counter
	fetches   *telemetry.Counter
}

// newLookupMetrics registers the metrics of a server.
func newLookupMetrics(s *lookupServer) (*lookupMetrics, error) {
	t, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	m := &lookupMetrics{telemetry: t}
	var lookupsErr, fetchesErr error
	m.lookups, lookupsErr = t.Counter("rainford.lookups", "Look-ups of clients, by what became of them.", "result")
	m.fetches, fetchesErr = t.Counter("rainford.lookup.fetches", "Fetches of a new response, by the instance that responded.", "source")
	queriesErr := t.Gauge("rainford.lookup.queries", "Queries whose last responses are kept.", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(s.cache.Len())
	})
	return m, errors.Join(lookupsErr, fetchesErr, queriesErr)
}

func (m *lookupMetrics) countLookup(result string) {
	if m != nil {
		m.lookups.Add(1, result)
	}
}

func (m *lookupMetrics) countFetch(source fetchSource) {
	if m != nil {
		m.fetches.Add(1, string(source))
	}
}
