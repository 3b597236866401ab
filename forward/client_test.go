package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/internal/standin/relay"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

func startTarget(t *testing.T, fault origin.Fault) (*origin.Server, *forward.Client) {
	s, err := origin.Start("i-1", "s", "a1", 3)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.SetScript(func(*http.Request) origin.Fault { return fault })
	return s, forward.NewClient(platform.Headers(), platform.Codec{}, nil)
}

var lastID atomic.Int64

// newRequest returns a request with a new ID. It is safe for concurrent use.
func newRequest(s *origin.Server) *forward.Request {
	id := fmt.Sprint(lastID.Add(1))
	return &forward.Request{
		Method: "POST", URI: "/a//b/%2f?q=1", Host: "h.example", Header: http.Header{"Request-Id": {id}},
		ID: id, Target: "i-1", TargetName: "i-1", Addr: s.Addr(), Body: []byte("body"),
		Timeout: time.Second, Deadline: time.Now().Add(time.Second),
	}
}

func TestRequestIsUnaltered(t *testing.T) {
	s, c := startTarget(t, origin.None)
	r := newRequest(s)
	a := c.Do(context.Background(), r)
	require.NoError(t, a.Err)
	require.Equal(t, retry.Ran, a.Outcome)
	require.Equal(t, "answer of i-1 to "+r.ID, string(a.Response.Body))
	require.Equal(t, &upstream.LoadReport{Running: 1, Slots: 3}, a.TargetResult.LoadReport)
	require.Equal(t, []origin.Run{{ID: r.ID, Method: "POST", URI: "/a//b/%2f?q=1", Body: []byte("body")}}, s.Runs())
}

// TestOutcomes checks the attempt for each fault of a server. An attempt must count as not
// run only if the server did not run it, and must have a response only if that is complete,
// signed and matches the request.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		fault   origin.Fault
		outcome retry.Outcome
		answer  bool
		ran     bool
	}{
		{"no fault", origin.None, retry.Ran, true, true},
		{"request shed", origin.Shed, retry.NotRun, false, false},
		{"response to another request first", origin.Foreign, retry.Ran, true, true},
		{"surplus response", origin.Surplus, retry.Ran, true, true},
		{"no content length", origin.Unframed, retry.Ran, true, true},
		{"no content length, then a reset", origin.UnframedReset, retry.Unknown, false, true},
		{"truncated response", origin.Cut, retry.Unknown, false, true},
		{"no response", origin.LostResponse, retry.Unknown, false, true},
		{"garbage", origin.Garbage, retry.Unknown, false, false},
		{"unsigned", origin.Unsigned, retry.Unknown, false, true},
		{"server error", origin.Failed, retry.Ran, true, true},
		{"server never responds", origin.Silent, retry.Unknown, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, client := startTarget(t, c.fault)
			r := newRequest(s)
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			a := client.Do(context.Background(), r)
			require.Equal(t, c.outcome, a.Outcome, "%v", a.Err)
			require.Equal(t, c.answer, a.Response != nil)
			require.Equal(t, c.ran, len(s.Runs()) == 1)
			if c.answer && c.fault != origin.Failed {
				require.Equal(t, "answer of i-1 to "+r.ID, string(a.Response.Body))
			}
		})
	}
}

// TestNextRequestGetsItsOwnResponse guards against a request that gets the response to
// another one. After each fault, the next requests must get their own responses, whatever
// the fault left on the connection.
func TestNextRequestGetsItsOwnResponse(t *testing.T) {
	for fault := origin.None; fault <= origin.Failed; fault++ {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			s, c := startTarget(t, fault)
			r := newRequest(s)
			r.Body = bytes.Repeat([]byte("x"), 3<<20)
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			c.Do(context.Background(), r)
			s.SetScript(nil)
			for range 3 {
				next := newRequest(s)
				a := c.Do(context.Background(), next)
				require.Equal(t, retry.Ran, a.Outcome, "%v", a.Err)
				require.Equal(t, "answer of i-1 to "+next.ID, string(a.Response.Body))
			}
			for _, run := range s.Runs() {
				require.True(t, len(run.Body) == 4 || len(run.Body) == 3<<20)
			}
		})
	}
}

func TestReplacedTarget(t *testing.T) {
	s, c := startTarget(t, origin.None)
	r := newRequest(s)
	r.Target, r.TargetName = "i-0", "i-0"
	a := c.Do(context.Background(), r)
	require.Equal(t, retry.NotRun, a.Outcome)
	require.Equal(t, upstream.Replaced, a.TargetResult.Outcome)
	require.Empty(t, s.Runs())
}

func TestUnreachable(t *testing.T) {
	s, c := startTarget(t, origin.None)
	r := newRequest(s)
	s.Close()
	a := c.Do(context.Background(), r)
	require.Equal(t, retry.NotRun, a.Outcome)
	require.False(t, a.Sent)
	require.Equal(t, upstream.Unreachable, a.TargetResult.Outcome)
}

// TestClientDisconnectCancelsRequest checks that the target observes the end of a request
// whose client has disconnected.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	s, c := startTarget(t, origin.Silent)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	r := newRequest(s)
	r.Deadline = time.Now().Add(10 * time.Second)
	a := c.Do(ctx, r)
	require.Equal(t, upstream.Abandoned, a.TargetResult.Outcome)
	require.Equal(t, retry.Unknown, a.Outcome)
	require.Eventually(t, func() bool { return s.Canceled() == 1 }, 5*time.Second, time.Millisecond)
}

// TestResetConnectionIsNotReused checks that an idle connection that the target has reset
// is not used for another request.
func TestResetConnectionIsNotReused(t *testing.T) {
	s, c := startTarget(t, origin.None)
	c.Do(context.Background(), newRequest(s))
	s.ResetConnections()
	time.Sleep(20 * time.Millisecond)
	r := newRequest(s)
	r.NonIdempotent = true
	a := c.Do(context.Background(), r)
	require.Equal(t, retry.Ran, a.Outcome, "%v", a.Err)
	require.False(t, a.Reused)
	require.Equal(t, 2, s.Accepted())
}

// TestSilentConnectionClosesIdleOnes guards against a series of timeouts when all idle
// connections to a target silently drop packets for good. After the first request times
// out, the next one must use a new connection.
func TestSilentConnectionClosesIdleOnes(t *testing.T) {
	s, c := startTarget(t, origin.None)
	network, err := relay.Start(s.Addr())
	require.NoError(t, err)
	t.Cleanup(network.Close)
	send := func(length time.Duration) forward.Attempt {
		r := newRequest(s)
		r.Addr = network.Addr()
		r.Deadline = time.Now().Add(length)
		return c.Do(context.Background(), r)
	}
	// Concurrent requests open several connections, which are then idle.
	s.SetServiceTime(100 * time.Millisecond)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { send(5 * time.Second) })
	}
	wg.Wait()
	s.SetServiceTime(0)
	require.Equal(t, 4, network.Accepted())
	network.Silence()
	silent := send(200 * time.Millisecond)
	require.True(t, silent.Reused)
	require.Equal(t, upstream.TimedOut, silent.TargetResult.Outcome)
	next := send(5 * time.Second)
	require.Equal(t, retry.Ran, next.Outcome, "%v", next.Err)
	require.False(t, next.Reused)
}

func TestConnectionsAreReused(t *testing.T) {
	s, c := startTarget(t, origin.None)
	for range 20 {
		c.Do(context.Background(), newRequest(s))
	}
	require.Equal(t, 1, s.Accepted())
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{
		"Connection": {"X-Hop, Keep-Alive"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"4"}, "Affinity-Key": {"17"}, "Te": {"trailers"},
	}
	require.Equal(t, http.Header{"Affinity-Key": {"17"}}, forward.EndToEndHeaders(h))
	require.Len(t, h, 7, "the argument must not change")
	require.False(t, strings.Contains(fmt.Sprint(forward.EndToEndHeaders(h)), "chunked"))
}
