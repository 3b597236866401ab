package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// TestRejectedRequest checks that a request counts as not run, whatever the status, if the
// target says so. The requested back-off must count only with the statuses for which
// Retry-After is defined.
func TestRejectedRequest(t *testing.T) {
	for status, rests := range map[string]bool{
		"503 Service Unavailable": true, "429 Too Many Requests": true, "400 Bad Request": false, "408 Request Timeout": false,
	} {
		t.Run(status, func(t *testing.T) {
			s, c := startTarget(t, origin.Shed)
			s.SetShedStatus(status)
			s.SetExtraHeaders(func(*http.Request) string { return "Retry-After: 3\r\n" })
			a := c.Do(context.Background(), newRequest(s))
			require.Equal(t, retry.NotRun, a.Outcome)
			require.Equal(t, upstream.Rejected, a.TargetResult.Outcome)
			require.Equal(t, rests, a.TargetResult.SelfReport.Backoff == 3*time.Second)
			require.Empty(t, s.Runs())
		})
	}
}

// TestKeepAliveHeaders checks that a connection is not used again after a response that
// closes it, nor after the keep-alive timeout that the target announces. If neither header
// is present or valid, the connection must be used again.
func TestKeepAliveHeaders(t *testing.T) {
	for _, c := range []struct {
		name, line string
		reused     bool
	}{
		{"no header", "", true},
		{"close", "Connection: close\r\n", false},
		{"long timeout", "Keep-Alive: timeout=60\r\n", true},
		{"timeout of a second, not above the margin", "Keep-Alive: max=5, timeout=1\r\n", false},
		{"timeout not a number", "Keep-Alive: timeout=soon\r\n", true},
		{"negative timeout", "Keep-Alive: timeout=-4\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := startTarget(t, origin.None)
			s.SetExtraHeaders(func(*http.Request) string { return c.line })
			require.Equal(t, retry.Ran, client.Do(context.Background(), newRequest(s)).Outcome)
			require.Equal(t, c.reused, client.Do(context.Background(), newRequest(s)).Reused)
		})
	}
}
