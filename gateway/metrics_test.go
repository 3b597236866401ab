package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

func (in *instance) scrape() string {
	resp, err := in.client.Get("http://" + in.config.AdminListen + "/metrics")
	require.NoError(in.site.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(in.site.t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	require.NoError(in.site.t, err)
	return string(body)
}

// TestMetrics checks that the metrics count a request that is served, one that is retried and one that is
// refused, and that they hold the values of targets and members.
func TestMetrics(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute, route{prefix: "/gone/", service: "none", kind: "upload"})
	first, second := s.server("i-1", "s", "a1"), s.server("i-2", "s", "a2")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	require.Equal(t, 503, in.send("POST", "/gone/", "x").status)
	for range 10 {
		in.send("GET", "/x/", "")
	}
	// The target that has the object loses one response.
	var lost atomic.Bool
	loseOne := func(*http.Request) origin.Fault {
		if lost.CompareAndSwap(false, true) {
			return origin.LostResponse
		}
		return origin.None
	}
	first.SetScript(loseOne)
	second.SetScript(loseOne)
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	text := in.scrape()
	const scope = `otel_scope_name="rainford",otel_scope_schema_url="",otel_scope_version="",`
	for _, want := range []string{
		`rainford_requests_total{kind="idempotent",` + scope + `outcome="ok",region="a",service="s"} `,
		`rainford_refusals_total{` + scope + `reason="no-target",service="none"} 1`,
		`rainford_repeats_total{` + scope + `service="s"} 1`,
		`rainford_attempts_total{` + scope + `outcome="broken",region="a",service="s"} 1`,
		`rainford_store_reads_total{kind="configuration",` + scope + `result="ok"} `,
		`rainford_request_duration_seconds_bucket{`,
		`rainford_attempt_duration_seconds_bucket{`,
		`rainford_queue_duration_seconds_bucket{`,
		`rainford_repeats_left{`,
		`rainford_targets{hall="a1",`,
		`rainford_attempts_in_flight{hall="a2",`,
		`rainford_members{`,
		`rainford_news_age_seconds{`,
		`rainford_replica_revision{kind="targets",`,
		`rainford_config_version{`,
	} {
		require.True(t, strings.Contains(text, want), want)
	}
}
