package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// TestSelfReportInResponse checks from which responses the self-report of a target is taken. The
// complete head of a response to the request is sufficient. Responses to other requests and
// successes without a signature do not count. Responses of a server that replaced the target are
// the subject of TestSelfReportOfReplacedTarget.
func TestSelfReportInResponse(t *testing.T) {
	leaving := availability.SelfReport{Leaving: true}
	// All servers send Retry-After. Of these responses only the rejection makes it a back-off.
	leavingWithBackoff := availability.SelfReport{Leaving: true, Backoff: 3 * time.Second}
	for _, c := range []struct {
		name  string
		fault origin.Fault
		want  availability.SelfReport
	}{
		{"success", origin.None, leaving},
		{"server error", origin.Failed, leaving},
		{"rejection", origin.Shed, leavingWithBackoff},
		{"surplus response", origin.Surplus, leaving},
		{"response before the request body is read", origin.EarlyRefusal, leaving},
		{"no content length", origin.Unframed, leaving},
		{"reset in the body", origin.UnframedReset, leaving},
		{"truncated body", origin.Cut, leaving},
		{"body never completed", origin.Stalled, leaving},
		{"response to another request", origin.Foreign, availability.SelfReport{}},
		{"success without a signature", origin.Unsigned, availability.SelfReport{}},
		{"garbage", origin.Garbage, availability.SelfReport{}},
		{"no response", origin.LostResponse, availability.SelfReport{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := startTarget(t, c.fault)
			s.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\nRetry-After: 3\r\n" })
			a := client.Do(context.Background(), newRequest(s))
			require.Equal(t, c.want, a.TargetResult.SelfReport)
		})
	}
}

// TestSelfReportOfReplacedTarget checks that the self-report of a server that now has the
// address of a target does not count for that target.
func TestSelfReportOfReplacedTarget(t *testing.T) {
	s, client := startTarget(t, origin.None)
	s.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
	r := newRequest(s)
	// The server is i-1.
	r.Target, r.TargetName = "i-0", "i-0"
	a := client.Do(context.Background(), r)
	require.Equal(t, upstream.Replaced, a.TargetResult.Outcome)
	require.Zero(t, a.TargetResult.SelfReport)
}

// TestSelfReportAfterClientDisconnect checks that the self-report in a response head counts
// even if the client disconnects before the rest of the response arrives. The test repeats the
// request with later disconnects until the head arrives before the disconnect.
func TestSelfReportAfterClientDisconnect(t *testing.T) {
	s, client := startTarget(t, origin.Stalled)
	s.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
	for disconnectAfter := 20 * time.Millisecond; disconnectAfter < 10*time.Second; disconnectAfter *= 2 {
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(disconnectAfter, disconnect)
		r := newRequest(s)
		r.Deadline = time.Now().Add(time.Minute)
		a := client.Do(ctx, r)
		require.Equal(t, upstream.Abandoned, a.TargetResult.Outcome)
		if a.TargetResult.SelfReport.Leaving {
			return
		}
	}
	t.Fatal("no self-report counted")
}

// TestWithheldRequest checks that a request is not sent if MaySend returns false once the
// connection is established, and that the next request uses that connection.
func TestWithheldRequest(t *testing.T) {
	s, client := startTarget(t, origin.None)
	// No spare connection is opened, however long the first one took to open.
	client.SetSlowDial(time.Hour)
	r := newRequest(s)
	maySendCalls := 0
	r.MaySend = func() bool {
		maySendCalls++
		return false
	}
	a := client.Do(context.Background(), r)
	require.ErrorIs(t, a.Err, forward.ErrWithheld)
	require.Equal(t, retry.NotRun, a.Outcome)
	require.False(t, a.Sent)
	require.Equal(t, 1, maySendCalls)
	require.Empty(t, s.Runs())
	next := client.Do(context.Background(), newRequest(s))
	require.Equal(t, retry.Ran, next.Outcome)
	require.True(t, next.Reused)
	require.Equal(t, 1, s.Accepted())
}
