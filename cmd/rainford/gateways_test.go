package main

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runCommand runs the command. It returns what the command prints and its exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(t.Context(), args, strings.NewReader(""), &out, &errs)
	return out.String() + errs.String(), code
}

// TestGatewayStatus checks that status lists the targets that get no or limited traffic, each
// with its cause and source, and that it lists a gateway that does not respond beside those
// that do.
func TestGatewayStatus(t *testing.T) {
	w := newGatewayFixture(t)
	require.Eventually(t, func() bool { return w.send("warm") == 200 }, 10*time.Second, 5*time.Millisecond)
	status := func() string {
		text, code := runCommand(t, "status", "-gateways", w.admin+",127.0.0.1:1")
		require.Zero(t, code)
		return text
	}
	require.Contains(t, status(), "1 targets, 0 of them get nothing")
	require.Regexp(t, `s +shares of any region +a 1\.000 +settled`, status())
	w.server.SetRetryAfter(time.Now().Add(time.Minute), 30*time.Second)
	w.send("asks")
	text := status()
	require.Regexp(t, `i-1 +a1 +s +resting by word`, text)
	require.Regexp(t, `until in 29\.\d+s`, text)
	require.Contains(t, text, "127.0.0.1:1  no answer")
	require.Regexp(t, `look-ups +own-hall|look-ups +complemented`, text)
	require.Regexp(t, `look-ups +\S+ +n1 \(a1\) 1`, text)
	w.server.SetRetryAfter(time.Now(), 0)

	limited := newGatewayFixture(t)
	limited.server.SetExtraHeaders(func(*http.Request) string { return "Server-Limit: 2.5\r\n" })
	require.Eventually(t, func() bool { return limited.send("warm") == 200 }, 10*time.Second, 5*time.Millisecond)
	text, code := runCommand(t, "status", "-gateways", limited.admin)
	require.Zero(t, code)
	require.Regexp(t, `i-1 +a1 +s +takes 2\.5/s by word`, text)

	left := newGatewayFixture(t)
	require.Eventually(t, func() bool { return left.send("warm") == 200 }, 10*time.Second, 5*time.Millisecond)
	left.server.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
	left.send("told")
	text, code = runCommand(t, "status", "-gateways", left.admin, "-json")
	require.Zero(t, code)
	require.Contains(t, text, `"cause": "leaving"`)
	require.Contains(t, text, `"source": "word"`)
	_, code = runCommand(t, "status", "-gateways", "127.0.0.1:1")
	require.Equal(t, 1, code)
}
