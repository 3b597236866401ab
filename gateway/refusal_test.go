package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// TestRejectedRequestIsRetriedAtSameTarget checks that a request that a target with free slots has
// rejected goes to the same target again, which knows its object, and not to another.
func TestRejectedRequestIsRetriedAtSameTarget(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	first, second := s.server("i-1", "s", "a1"), s.server("i-2", "s", "a2")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	for range 10 {
		// Requests earn the budget of repeats.
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

// TestRejectedRequestGetsShortRetryAfter checks that a request that targets with free slots
// went on rejecting is refused at once, as not run, and told to come back while an
// answer would still be in time.
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

// TestUnmarkedRefusalMayHaveRun checks that a target's 503 without its word that the request did not
// run is passed on for requests that may run again, and that a client whose operation may run
// once is not told by it that it did not.
func TestUnmarkedRefusalMayHaveRun(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute, route{prefix: "/once/", service: "s", kind: "non_idempotent"})
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.SetScript(func(*http.Request) origin.Fault { return origin.Excused })
	runs := len(server.Runs())
	require.Equal(t, 503, in.send("GET", "/x/", "").status)
	require.Equal(t, 502, in.send("POST", "/once/", "pay").status)
	require.Len(t, server.Runs(), runs+2)
}
