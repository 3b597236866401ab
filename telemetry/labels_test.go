package telemetry_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/telemetry"
)

func scrape(t *testing.T, m *telemetry.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(w.Result().Body)
	require.NoError(t, err)
	return string(body)
}

func TestSeries(t *testing.T) {
	m, err := telemetry.New()
	require.NoError(t, err)
	c, err := m.Counter("events", "Events.", "kind", "result")
	require.NoError(t, err)
	h, err := m.Histogram("work", "Work.", "kind")
	require.NoError(t, err)
	require.NoError(t, m.Gauges("held", "Held.", []string{"hall"}, func(observe func(float64, ...string)) {
		observe(2.5, "a1")
		observe(1, "b1")
	}))
	c.Add(2, "x", "ok")
	c.Add(1, "x", "ok")
	h.Record(0.03, "x")
	text := scrape(t, m)
	for _, want := range []string{
		`events_total{kind="x",otel_scope_name="rainford",otel_scope_schema_url="",otel_scope_version="",result="ok"} 3`,
		`work_seconds_bucket{kind="x",otel_scope_name="rainford",otel_scope_schema_url="",otel_scope_version="",le="0.05"} 1`,
		`held{hall="a1",otel_scope_name="rainford",otel_scope_schema_url="",otel_scope_version=""} 2.5`,
		`held{hall="b1",`,
	} {
		require.Contains(t, text, want)
	}
}

// TestSeriesAreBounded checks that the number of series stays bounded if the values of a label
// come from outside, so that they use up neither the memory nor the size of a scrape.
func TestSeriesAreBounded(t *testing.T) {
	m, err := telemetry.New()
	require.NoError(t, err)
	c, err := m.Counter("events", "Events.", "name")
	require.NoError(t, err)
	for i := range 3000 {
		c.Add(1, fmt.Sprint("n", i))
	}
	text := scrape(t, m)
	require.Less(t, strings.Count(text, "\nevents_total{"), 600)
	require.Contains(t, text, `name="other"`)
}
