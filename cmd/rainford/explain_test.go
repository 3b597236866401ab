package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleLog = `{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"configuration in force","instance":"n1","version":3}
not a log line
{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"target belief","instance":"n1","target":"i-1","belief":"suspected","cause":"broken"}
{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"target belief","instance":"n1","target":"i-9","belief":"suspected","cause":"broken"}
{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"target belief","instance":"n2","target":"i-1","belief":"suspected","cause":"broken"}
{"time":"2026-01-01T00:00:02Z","level":"WARN","msg":"request","instance":"n1","request_id":"q1","route":"r","service":"s","config":3,"status":502,"reason":"unknown-outcome","took_ms":40,"budget_ms":2000,"attempts":[{"target":"i-1","region":"a","reason":"first-choice","load":0.5,"outcome":"unknown","error":"EOF","took_ms":39}]}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request","instance":"n1","request_id":"q2","status":200,"reason":"answered"}
`

// explain runs rainford explain with the given standard input. It returns what the command
// prints and its exit code.
func explain(t *testing.T, stdin string, args ...string) (string, int) {
	var out, errs bytes.Buffer
	code := run(context.Background(), append([]string{"explain"}, args...), strings.NewReader(stdin), &out, &errs)
	return out.String() + errs.String(), code
}

// TestExplain checks that explain shows a request with its attempts, the configuration in force
// and the state changes of its targets at its instance, and counts unreadable lines.
func TestExplain(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "n1.log")
	require.NoError(t, os.WriteFile(plain, []byte(sampleLog), 0o600))
	text, code := explain(t, "", "q1", plain)
	require.Zero(t, code, text)
	require.Contains(t, text, "request q1: 502, the connection or the answer broke")
	require.Contains(t, text, "attempt 1: target i-1 in a (first-choice, load 0.50): unknown after 39 ms EOF")
	require.Contains(t, text, "configuration in force")
	require.Equal(t, 1, strings.Count(text, "target belief"), "only the lines of the request's instance and target")
	require.Contains(t, text, "1 of 7 lines could not be read")
}

// TestExplainReadsGzipAndStandardInput checks that a gzip log on standard input is read.
func TestExplainReadsGzipAndStandardInput(t *testing.T) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, err := w.Write([]byte(sampleLog))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	text, code := explain(t, packed.String(), "-json", "q1", "-")
	require.Zero(t, code, text)
	var got explanation
	require.NoError(t, json.Unmarshal([]byte(text), &got))
	require.Len(t, got.Requests, 1)
	require.Len(t, got.Beliefs, 2)
	require.Equal(t, 1, got.BadLines)
}

// TestExplainUnknownRequest checks that a request without log lines is no error, and that
// missing files are.
func TestExplainUnknownRequest(t *testing.T) {
	text, code := explain(t, sampleLog, "q7", "-")
	require.Zero(t, code)
	require.Contains(t, text, "no line")
	_, code = explain(t, "", "q7")
	require.Equal(t, exitUsage, code)
}

const accountLog = `{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"configuration in force","instance":"n1","version":4}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request","instance":"n1","permit_ms":3,"limit_owner":"n7","sent_per_s":40.5,"permits_per_s":10.25,"retry_after_ms":250,"request_id":"q1","account":"ada","route":"r","config":4,"status":429,"reason":"over-limit"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request","instance":"n1","request_id":"q2","account":"","route":"r","config":4,"status":401,"reason":"unknown-key"}
`

// TestExplainAccounts checks the explanation of requests that an instance rejected because of
// the client account's rate limit or because of an unknown key.
func TestExplainAccounts(t *testing.T) {
	text, code := explain(t, accountLog, "q1", "-")
	require.Zero(t, code, text)
	require.Contains(t, text, "request q1: 429, its account was beyond its limit; it did not run")
	require.Contains(t, text, "account ada, waited 3 ms for a permit")
	require.Contains(t, text, "limit: n7 was asked last; this instance got 10.2 permits a second for 40.5 requests a second; told to come back after 250 ms")
	text, code = explain(t, accountLog, "q2", "-")
	require.Zero(t, code, text)
	require.Contains(t, text, "request q2: 401, no account of the configuration has its key")
	require.Contains(t, text, "configuration in force", "the configuration that rejected the key must be shown")
}

const hedgeLog = `{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"target belief","instance":"n1","target":"i-1","belief":"suspected","cause":"silent"}
{"time":"2026-01-01T00:00:02Z","level":"WARN","msg":"request","instance":"n1","request_id":"q1","route":"r","service":"s","config":4,"status":200,"reason":"answered","took_ms":191,"attempts":[{"target":"i-1","region":"a","reason":"first-choice","load":0.5,"outcome":"unknown","error":"forward: attempt was aborted","took_ms":190,"outpaced":true},{"target":"i-2","region":"a","reason":"first-choice","load":0.2,"outcome":"ran","took_ms":40,"hedge":true,"hedge_after_ms":150}]}
`

// TestExplainHedge checks that the explanation of a hedged request says why the second attempt was sent, and
// which one was given up.
func TestExplainHedge(t *testing.T) {
	text, code := explain(t, hedgeLog, "q1", "-")
	require.Zero(t, code, text)
	require.Contains(t, text, "request q1: 200, a target answered")
	require.Regexp(t, `(?s)attempt 1: target i-1 .* unknown after 190 ms.*given up, since the other attempt was answered first.*attempt 2: target i-2 .* ran after 40 ms.*a hedge: the first attempt had no complete response after 150 ms`, text)
	require.Contains(t, text, "suspected")
}

const surplusLog = `{"time":"2026-01-01T00:00:02Z","level":"WARN","msg":"request","instance":"n1","request_id":"q1","route":"r","service":"s","config":4,"status":200,"reason":"answered","took_ms":70,"attempts":[{"target":"i-1","region":"a","reason":"first-choice","load":0.5,"outcome":"ran","took_ms":70,"reused":true,"surplus":2}]}
`

// TestExplainSurplus checks that the explanation of a request names responses that were skipped.
func TestExplainSurplus(t *testing.T) {
	text, code := explain(t, surplusLog, "q1", "-")
	require.Zero(t, code, text)
	require.Regexp(t, `(?s)attempt 1: target i-1 .* ran after 70 ms.*2 responses to earlier requests were skipped`, text)
}

const handoverLog = `{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"targets lost","instance":"n1","failed":3}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request","instance":"n2","handed_over_by":"n1","request_id":"q1","route":"r","service":"s","config":4,"status":200,"reason":"answered","took_ms":19,"attempts":[{"target":"i-1","region":"a","reason":"first-choice","load":0.5,"outcome":"ran","took_ms":18}]}
{"time":"2026-01-01T00:00:02.1Z","level":"INFO","msg":"request","instance":"n1","request_id":"q1","route":"r","service":"s","config":4,"status":200,"reason":"answered","took_ms":22,"attempts":[{"target":"","region":"","reason":"handed-over","helper":"n3","helper_reason":"targets-lost","outcome":"not-run","took_ms":1},{"target":"i-1","region":"a","reason":"handed-over","helper":"n2","outcome":"ran","took_ms":20}]}
`

// TestExplainHandover checks that the explanation of a request names the instances on its way.
func TestExplainHandover(t *testing.T) {
	text, code := explain(t, handoverLog, "q1", "-")
	require.Zero(t, code, text)
	require.Contains(t, text, "request q1: 200, a target answered")
	require.Contains(t, text, "handed over by n1")
	require.Contains(t, text, `attempt 1: handed over to n3, target "": not-run after 1 ms targets-lost`)
	require.Contains(t, text, `attempt 2: handed over to n2, target "i-1": ran after 20 ms`)
	require.Contains(t, text, "targets lost")
}

const sharesLog = `{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"shares","instance":"n1","service":"s","divisions":[{"in_force":{"a":0.5,"b":0.5}}]}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"shares","instance":"n1","service":"other","divisions":[{"in_force":{"a":1}}]}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request","instance":"n1","request_id":"q1","route":"r","service":"s","config":4,"status":200,"reason":"answered"}
`

// TestExplainShares checks that the explanation of a request shows how the requests of its service
// were divided between regions, and not those of other services.
func TestExplainShares(t *testing.T) {
	text, code := explain(t, sharesLog, "q1", "-")
	require.Zero(t, code, text)
	require.Contains(t, text, `{"in_force":{"a":0.5,"b":0.5}}`)
	require.NotContains(t, text, "other")
}

const slowConnectLog = `{"time":"2026-01-01T00:00:02Z","level":"WARN","msg":"request","instance":"n1","request_id":"q1","route":"r","service":"s","config":4,"status":200,"reason":"answered","took_ms":471,"attempts":[{"target":"i-1","region":"a","reason":"first-choice","load":0.5,"outcome":"not-run","error":"dial tcp: i/o timeout","took_ms":0,"connect_ms":400},{"target":"i-2","region":"a","reason":"by-load","load":0.5,"outcome":"ran","took_ms":71,"connect_ms":40}]}
`

// TestExplainSlowConnect checks that the explanation of a request names the connections that it waited long for,
// and only these.
func TestExplainSlowConnect(t *testing.T) {
	text, code := explain(t, slowConnectLog, "q1", "-")
	require.Zero(t, code)
	require.Equal(t, 1, strings.Count(text, "for a connection to the target"))
	require.Contains(t, text, "the request waited 400 ms for a connection to the target")
}
