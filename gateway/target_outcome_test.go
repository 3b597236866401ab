package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// targetOutcome is one behaviour of a request's only target, with the status that the client must
// receive and the allowed numbers of runs at the target.
type targetOutcome struct {
	fault  origin.Fault
	path   string
	status int
	// reason describes the outcome in the name of the subtest.
	reason string
	runs   []int
}

// TestTargetOutcomes checks what the client receives for each behaviour of the target: a refusal
// only if the request did not run, a complete response of the target unchanged, and no second run
// of a non-idempotent request.
func TestTargetOutcomes(t *testing.T) {
	const repeat, once = "/x/", "/once/"
	one, oneOrTwo, none := []int{1}, []int{1, 2}, []int{0}
	for _, e := range []targetOutcome{
		{origin.None, repeat, 200, "answered", one},
		{origin.None, once, 200, "answered", one},
		{origin.Shed, repeat, 503, "rejected", none},
		{origin.Shed, once, 503, "rejected", none},
		{origin.Surplus, once, 200, "surplus response after the response", one},
		{origin.Foreign, once, 200, "foreign response before the response", one},
		{origin.Unframed, once, 200, "response without a length", one},
		{origin.UnframedReset, once, 502, "reset during a response without a length", one},
		{origin.Cut, once, 502, "response cut off", one},
		{origin.Cut, repeat, 502, "response cut off", oneOrTwo},
		{origin.Garbage, once, 502, "malformed response", none},
		{origin.LostResponse, once, 502, "response lost", one},
		{origin.LostResponse, repeat, 502, "response lost", oneOrTwo},
		{origin.Silent, once, 504, "timeout", one},
		{origin.Unsigned, once, 502, "success without a signature", one},
		{origin.Failed, once, 500, "failure of the target", one},
		{origin.Failed, repeat, 500, "failure of the target", one},
	} {
		t.Run(strings.ReplaceAll(e.reason+e.path, " ", "-"), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(1, idempotentRoute, route{prefix: once, service: "s", kind: "non_idempotent", timeout: "400ms"})
			server := s.server("i-1", "s", "a1")
			in := s.instance("n1", "a1")
			in.awaitStatus(e.path, 200)
			server.ResetConnections()
			server.SetScript(func(*http.Request) origin.Fault { return e.fault })
			got := in.send("POST", e.path, "body")
			require.Equal(t, e.status, got.status)
			runs := 0
			for _, run := range server.Runs() {
				if run.ID == got.id {
					runs++
				}
			}
			require.Contains(t, e.runs, runs)
			if got.status == 503 {
				require.NotEmpty(t, got.header.Get("Retry-After"), "a refusal has a Retry-After")
			}
			if got.status == 200 {
				require.Equal(t, "answer of i-1 to "+got.id, got.body)
			}
		})
	}
}

// TestTargetUnlistedWhileServing checks that a request still receives the response of a target that
// is unlisted without notice, and that new requests are refused at once.
func TestTargetUnlistedWhileServing(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.SetServiceTime(time.Second)
	answered := make(chan reply, 1)
	go func() { answered <- in.send("POST", "/x/", "slow") }()
	arrivals := len(server.Runs())
	require.Eventually(t, func() bool { return len(server.Runs()) > arrivals }, wait, poll)
	s.store.Remove("servers", server.ID)
	in.awaitStatus("/x/", 503)
	require.Equal(t, 200, (<-answered).status)
}
