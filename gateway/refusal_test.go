package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// TestRejectedRequestIsRetriedAtSameTarget checks that a request that a target with free slots has
// rejected is retried at the same target, which has its object cached.
func TestRejectedRequestIsRetriedAtSameTarget(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	first, second := s.server("i-1", "s", "a1"), s.server("i-2", "s", "a2")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	for range 10 {
		// Requests earn the budget for retries.
		in.send("GET", "/x/", "")
	}
	var arrivals [2]atomic.Int64
	var rejected atomic.Bool
	rejectOne := func(i int) func(*http.Request) origin.Fault {
		return func(*http.Request) origin.Fault {
			arrivals[i].Add(1)
			if rejected.CompareAndSwap(false, true) {
				return origin.Shed
			}
			return origin.None
		}
	}
	first.SetScript(rejectOne(0))
	second.SetScript(rejectOne(1))
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	require.ElementsMatch(t, []int64{2, 0}, []int64{arrivals[0].Load(), arrivals[1].Load()})
}

// TestLateRejectionDoesNotCountForRetry guards against a client that is told that its request has
// not run although it runs: a late copy of the rejection of the first attempt must not count for the
// second attempt at the same target.
func TestLateRejectionDoesNotCountForRetry(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"} {
		t.Run(status, func(t *testing.T) {
			s := newSite(t)
			s.configure(1, route{prefix: "/x/", service: "s", kind: "non_idempotent"})
			server := s.server("i-1", "s", "a1")
			in := s.instance("n1", "a1")
			in.awaitStatus("/x/", 200)
			for range 10 {
				// Requests earn the budget for retries.
				in.send("POST", "/x/", "")
			}
			server.SetServiceTime(100 * time.Millisecond)
			server.SetShedStatus(status)
			var arrivals atomic.Int64
			server.SetScript(func(*http.Request) origin.Fault {
				if arrivals.Add(1) == 1 {
					return origin.ShedTwice
				}
				return origin.None
			})
			got := in.send("POST", "/x/", "body")
			require.Equal(t, 200, got.status)
			require.Equal(t, "answer of i-1 to "+got.id, got.body)
			require.EqualValues(t, 2, arrivals.Load())
		})
	}
}

// TestRejectedRequestGetsShortRetryAfter checks that a request that targets with free slots keep
// rejecting is refused at once as not run, with a Retry-After that is short enough for another try
// in time.
func TestRejectedRequestGetsShortRetryAfter(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.SetScript(func(*http.Request) origin.Fault { return origin.Shed })
	got := in.send("GET", "/x/", "")
	require.Equal(t, 503, got.status)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.05)
}

// TestUnmarkedRefusalMayHaveRun checks the handling of a target's 503 that does not state that the
// request has not run. It is passed on for idempotent requests. For other requests the client
// receives 502, since it would take a 503 as a promise that the request has not run.
func TestUnmarkedRefusalMayHaveRun(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute, route{prefix: "/once/", service: "s", kind: "non_idempotent"})
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.SetScript(func(*http.Request) origin.Fault { return origin.Unmarked503 })
	runs := len(server.Runs())
	require.Equal(t, 503, in.send("GET", "/x/", "").status)
	require.Equal(t, 502, in.send("POST", "/once/", "pay").status)
	require.Len(t, server.Runs(), runs+2)
}

// TestLateRefusalAfterLostResponse guards against a 503, which states that a request has not run, if the
// last attempt was rejected after the deadline but an earlier one may have run.
func TestLateRefusalAfterLostResponse(t *testing.T) {
	s := newSite(t)
	const timeout = 500 * time.Millisecond
	s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: timeout.String()})
	first, second := s.server("i-1", "s", "a1"), s.server("i-2", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	for range 10 {
		// Requests earn the budget for retries.
		in.send("GET", "/x/", "")
	}
	var arrivals atomic.Int64
	began := time.Now()
	script := func(*http.Request) origin.Fault {
		if arrivals.Add(1) == 1 {
			return origin.LostResponse
		}
		time.Sleep(time.Until(began.Add(timeout + 20*time.Millisecond)))
		return origin.Shed
	}
	first.SetScript(script)
	second.SetScript(script)
	require.Equal(t, http.StatusGatewayTimeout, in.send("GET", "/x/", "").status)
	require.EqualValues(t, 2, arrivals.Load())
}

// TestRefusalBeforeBodyReachesClient guards against a refusal that is lost because the connection is reset:
// a client that sends its body without waiting for the status 100 has to get the refusal.
func TestRefusalBeforeBodyReachesClient(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		t.Run(expect, func(t *testing.T) {
			conn, err := net.Dial("tcp", in.config.Listen)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			// The body is longer than the configuration allows.
			_, err = fmt.Fprintf(conn, "POST /x/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n", s.newID(), 4<<20, expect)
			require.NoError(t, err)
			part := strings.Repeat("x", 128<<10)
			for range 2 {
				_, err = io.WriteString(conn, part)
				require.NoError(t, err)
				time.Sleep(200 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		})
	}
}
