package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleRequests = `12.0 n1 {"time":"2026-01-01T00:00:01Z","msg":"request","route":"r","service":"s","key":"1","status":200,"reason":"answered","took_ms":300,"objective_ms":250,"attempts":[{"target":"t1","region":"a","reason":"first-choice","load":0.5,"outcome":"ran","took_ms":300}]}
{"time":"2026-01-01T00:00:01.5Z","msg":"request","route":"r","service":"s","key":"1","status":200,"reason":"answered","took_ms":100,"objective_ms":250,"attempts":[{"target":"t1","region":"a","reason":"by-load","load":1.5,"outcome":"ran","took_ms":100,"reused":true}]}
{"time":"2026-01-01T00:00:01.6Z","msg":"request","route":"r","service":"s","key":"2","status":503,"reason":"targets-full","took_ms":60,"objective_ms":250,"attempts":null}
{"time":"2026-01-01T00:00:01.7Z","msg":"request","route":"","service":"","status":404,"reason":"no-route","took_ms":0,"attempts":null}
{"time":"2026-01-01T00:00:02.5Z","msg":"target belief","target":"t1"}
{"time":"2026-01-01T00:00:02.5Z","msg":"request",
`

// TestSummary checks the rows of a summary, the classes of reuse distance, and the numbers of
// lines that were left out.
func TestSummary(t *testing.T) {
	text, code := explain(t, sampleRequests, "-summary", "-")
	require.Zero(t, code, text)
	require.Contains(t, text, "s 00:00:00 a 2 1 0 - 300 1.00 1.0 1.0 0.50 0.50\n")
	require.Contains(t, text, "s 00:00:00 - 1 0 0 targets-full=1 60 - - - - -\n")
	require.Contains(t, text, "s never-seen 1 300\n")
	require.Contains(t, text, "s under-008 1 100\n")
	require.Contains(t, text, "1 lines could not be read")
	require.Contains(t, text, "1 requests without a route left out")
	require.NotContains(t, text, "- 00:00:00")
	_, code = explain(t, "", "-summary")
	require.Equal(t, exitUsage, code)
}

// TestMoveToEnd checks the order of the objects and the reuse distance.
func TestMoveToEnd(t *testing.T) {
	recent, since := moveToEnd(nil, "a")
	require.Equal(t, -1, since)
	recent, _ = moveToEnd(recent, "b")
	recent, since = moveToEnd(recent, "a")
	require.Equal(t, 1, since)
	require.Equal(t, []string{"b", "a"}, recent)
}

// TestSummaryCountsHandoversOnce checks that a request that was handed over counts as one request with
// one attempt.
func TestSummaryCountsHandoversOnce(t *testing.T) {
	s := summary{interval: time.Second}
	require.NoError(t, s.read(strings.NewReader(handoverLog)))
	requests, attempts := 0, 0
	for _, row := range s.rows() {
		requests += row.requests
		attempts += row.attempts
	}
	require.Equal(t, 1, requests)
	require.Equal(t, 1, attempts)
}
