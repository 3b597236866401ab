package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// targetOutcome is one way in which a request can end: what its only target does, and what the
// client must be told. Runs is how often the target may have run it.
type targetOutcome struct {
	fault  origin.Fault
	path   string
	status int
	// reason stands for what decided it, for the test's name.
	reason string
	runs   []int
}

// TestTargetOutcomes brings about each end of a request that its target decides, and checks what
// the client is told against what the target did: a refusal only if it did not run, an
// answer that the target made is passed on whole, and nothing runs twice that must not.
func TestTargetOutcomes(t *testing.T) {
	const repeat, once = "/x/", "/once/"
	one, oneOrTwo, none := []int{1}, []int{1, 2}, []int{0}
	for _, e := range []targetOutcome{
		{origin.None, repeat, 200, "answered", one},
		{origin.None, once, 200, "answered", one},
		{origin.Shed, repeat, 503, "rejected", none},
		{origin.Shed, once, 503, "rejected", none},
		{origin.Surplus, once, 200, "answered with a second answer behind", one},
		{origin.Foreign, once, 200, "another's answer before", one},
		{origin.Unframed, once, 200, "answered without a length", one},
		{origin.UnframedReset, once, 502, "reset within an answer without a length", one},
		{origin.Cut, once, 502, "cut within an answer", one},
		{origin.Cut, repeat, 502, "cut within an answer", oneOrTwo},
		{origin.Garbage, once, 502, "no answer in the protocol", none},
		{origin.Lost, once, 502, "answer lost", one},
		{origin.Lost, repeat, 502, "answer lost", oneOrTwo},
		{origin.Silent, once, 504, "time over", one},
		{origin.Unsigned, once, 502, "success without a signature", one},
		{origin.Failed, once, 500, "the target's own failure", one},
		{origin.Failed, repeat, 500, "the target's own failure", one},
	} {
		t.Run(strings.ReplaceAll(e.reason+e.path, " ", "-"), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(1, idempotentRoute, route{prefix: once, service: "s", kind: "non_idempotent", timeout: "400ms"})
			server := s.server("i-1", "s", "a1")
			in := s.instance("n1", "a1")
			in.awaitStatus(e.path, 200)
			server.Forget()
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
				require.NotEmpty(t, got.header.Get("Retry-After"), "told when to come back")
			}
			if got.status == 200 {
				require.Equal(t, "answer of i-1 to "+got.id, got.body)
			}
		})
	}
}

// TestTargetUnlistedWhileServing checks that a request at a target whose entry goes, without
// a word before, gets the target's answer, and that new requests are refused at once.
func TestTargetUnlistedWhileServing(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.SetWork(time.Second)
	answered := make(chan reply, 1)
	go func() { answered <- in.send("POST", "/x/", "slow") }()
	arrivals := len(server.Runs())
	require.Eventually(t, func() bool { return len(server.Runs()) > arrivals }, wait, poll)
	s.store.Remove("servers", server.ID)
	in.awaitStatus("/x/", 503)
	require.Equal(t, 200, (<-answered).status)
}
