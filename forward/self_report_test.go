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

// TestSelfReportInResponse checks which answers count for what a target says of itself: whole heads of
// answers to the request, and none of another request, another incarnation, or nobody known.
func TestSelfReportInResponse(t *testing.T) {
	leaves := availability.SelfReport{Leaving: true}
	rests := availability.SelfReport{Leaving: true, Backoff: 3 * time.Second}
	for _, c := range []struct {
		name  string
		fault origin.Fault
		want  availability.SelfReport
	}{
		{"success", origin.None, leaves},
		{"failure", origin.Failed, leaves},
		{"rejection", origin.Shed, rests},
		{"with a surplus answer", origin.Surplus, leaves},
		{"answer before the body is in", origin.Early, leaves},
		{"without a length", origin.Unframed, leaves},
		{"reset within the body", origin.UnframedReset, leaves},
		{"cut within the body", origin.Cut, leaves},
		{"silent within the body", origin.Stalled, leaves},
		{"in the answer to another request", origin.Foreign, availability.SelfReport{}},
		{"success without a signature", origin.Unsigned, availability.SelfReport{}},
		{"garbage", origin.Garbage, availability.SelfReport{}},
		{"no answer", origin.Lost, availability.SelfReport{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := startTarget(t, c.fault)
			s.SetSays(func(*http.Request) string { return "Server-Leaving: 1\r\nRetry-After: 3\r\n" })
			a := client.Do(context.Background(), newRequest(s))
			require.Equal(t, c.want, a.TargetResult.SelfReport)
		})
	}
}

// TestSelfReportOfReplacedTarget checks that what the server says that has a target's address
// now is not taken for the target's word.
func TestSelfReportOfReplacedTarget(t *testing.T) {
	s, client := startTarget(t, origin.None)
	s.SetSays(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
	r := newRequest(s)
	r.Target, r.TargetName = "i-0", "i-0"
	a := client.Do(context.Background(), r)
	require.Equal(t, upstream.Replaced, a.TargetResult.Outcome)
	require.Zero(t, a.TargetResult.SelfReport)
}

// TestSelfReportAfterClientDisconnect checks that the head of an answer counts although its client leaves
// before the rest has come. A client that leaves before the head has arrived is tried again
// with more time.
func TestSelfReportAfterClientDisconnect(t *testing.T) {
	s, client := startTarget(t, origin.Stalled)
	s.SetSays(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
	for stay := 20 * time.Millisecond; stay < 10*time.Second; stay *= 2 {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(stay, leave)
		r := newRequest(s)
		r.Deadline = time.Now().Add(time.Minute)
		a := client.Do(ctx, r)
		require.Equal(t, upstream.Abandoned, a.TargetResult.Outcome)
		if a.TargetResult.SelfReport.Leaving {
			return
		}
	}
	t.Fatal("no head of an answer counted")
}

// TestWithheldRequest checks that a request that may no longer be sent when its connection stands
// is not, and that the connection is used by the next one.
func TestWithheldRequest(t *testing.T) {
	s, client := startTarget(t, origin.None)
	r := newRequest(s)
	accepted := 0
	r.MaySend = func() bool {
		accepted++
		return false
	}
	a := client.Do(context.Background(), r)
	require.ErrorIs(t, a.Err, forward.ErrWithheld)
	require.Equal(t, retry.NotRun, a.Outcome)
	require.False(t, a.Sent)
	require.Equal(t, 1, accepted)
	require.Empty(t, s.Runs())
	next := client.Do(context.Background(), newRequest(s))
	require.Equal(t, retry.Ran, next.Outcome)
	require.True(t, next.Reused)
	require.Equal(t, 1, s.Accepted())
}
