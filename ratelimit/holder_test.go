package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/ratelimit"
)

// twoHalls are the owners as an instance of the first hall sees them.
func twoHalls() *ratelimit.Owners {
	self := ratelimit.Place{Name: "n0", Hall: "a", Region: "r"}
	places := []ratelimit.Place{{Name: "n1", Hall: "a", Region: "r"}, {Name: "n2", Hall: "b", Region: "r"}}
	return ratelimit.NewOwners(ratelimit.ByHall, self, map[string]string{"a": "r", "b": "r"}, places)
}

// TestFailoverToNextOwner checks what is asked when an owner refuses connections, says that
// the part is not its own, or says nothing.
func TestFailoverToNextOwner(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, fail := range map[string]func(*ratelimit.Holder) ([]ratelimit.Answer, []ratelimit.Ask){
		"unreachable": func(h *ratelimit.Holder) ([]ratelimit.Answer, []ratelimit.Ask) {
			return h.Unreachable(start.Add(time.Millisecond), "n1")
		},
		"foreign": func(h *ratelimit.Holder) ([]ratelimit.Answer, []ratelimit.Ask) {
			return h.Hear(start.Add(time.Millisecond), start, "ada", "n1", ratelimit.Issue{Foreign: true})
		},
		"silent": func(h *ratelimit.Holder) ([]ratelimit.Answer, []ratelimit.Ask) {
			answers, asks, silent := h.Tick(start.Add(time.Second))
			require.Empty(t, silent, "it may only be late")
			return answers, asks
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := ratelimit.NewHolder("n0")
			h.SetOwners(twoHalls())
			answer, asks := h.Take(start, 1, "ada")
			require.Equal(t, ratelimit.Wait, answer.Verdict)
			require.Equal(t, "n1", asks[0].To.Name)
			answers, asks := fail(h)
			require.Empty(t, answers)
			require.Equal(t, "n2", asks[0].To.Name)
			next := start.Add(2 * time.Millisecond)
			if name == "silent" {
				next = next.Add(time.Second)
			}
			answers, asks = h.Unreachable(next, "n2")
			require.Empty(t, asks)
			require.Equal(t, ratelimit.Unknown, answers[0].Verdict)
			require.Equal(t, name == "silent", h.Due())
		})
	}
}

// TestPermitsExpire checks that permits are used within their life only, and that one that is
// given back can be used again.
func TestPermitsExpire(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := ratelimit.NewHolder("n0")
	h.SetOwners(twoHalls())
	_, asks := h.Take(start, 1, "ada")
	answers, _ := h.Hear(start.Add(time.Millisecond), start, "ada", asks[0].To.Name, ratelimit.Issue{N: 2, Life: time.Second})
	require.Equal(t, ratelimit.Admit, answers[0].Verdict)
	until := answers[0].Until
	require.Equal(t, start.Add(time.Second), until, "from when it was asked for")
	answer, _ := h.Take(until.Add(-time.Nanosecond), 2, "ada")
	require.Equal(t, ratelimit.Admit, answer.Verdict)
	h.Return(until.Add(-time.Nanosecond), "ada", until)
	answer, _ = h.Take(until, 3, "ada")
	require.Equal(t, ratelimit.Wait, answer.Verdict, "it has ended")
}

// TestUnlistedInstanceOwnsNothing checks that an instance that the store does not list issues
// nothing, and one that has just come to own a part waits.
func TestUnlistedInstanceOwnsNothing(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := ratelimit.Limit{Rate: 100, Burst: 100}
	claim := ratelimit.Claim{From: "n0", N: 1}
	i := ratelimit.NewIssuer(ratelimit.DefaultBound, start, false)
	reply, _ := i.Issue(start, "ada", limit, claim)
	require.True(t, reply.Issue.Foreign, "before the instances are known")
	i.SetOwners(start, twoHalls())
	reply, _ = i.Issue(start, "ada", limit, claim)
	require.True(t, reply.Issue.Foreign, "n1 owns the hall's parts")
	self := ratelimit.Place{Name: "n0", Hall: "a", Region: "r"}
	alone := ratelimit.NewOwners(ratelimit.ByHall, self, map[string]string{"a": "r", "b": "r"}, []ratelimit.Place{self})
	i.SetOwners(start, alone)
	require.True(t, i.Lend(start.Add(time.Second), "ada", limit, 1).Foreign, "the owner before may not have heard")
	lent := i.Lend(start.Add(6*time.Second), "ada", limit, 1000)
	require.False(t, lent.Foreign)
	require.LessOrEqual(t, lent.N, int((limit.Burst+20)/2), "a part of the burst at most")
}
