package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/ratelimit"
)

// twoHalls returns the owners as seen by an instance of the first of two halls.
func twoHalls() *ratelimit.Owners {
	self := ratelimit.Instance{Name: "n0", Hall: "a", Region: "r"}
	instances := []ratelimit.Instance{{Name: "n1", Hall: "a", Region: "r"}, {Name: "n2", Hall: "b", Region: "r"}}
	return ratelimit.NewOwners(ratelimit.PerHall, self, map[string]string{"a": "r", "b": "r"}, instances)
}

// TestFailoverToNextOwner checks that the permit request goes to the next owner when an owner
// refuses connections, does not own the share, or does not reply in time.
func TestFailoverToNextOwner(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, fail := range map[string]func(*ratelimit.Holder) ([]ratelimit.Result, []ratelimit.PermitRequest){
		"unreachable": func(h *ratelimit.Holder) ([]ratelimit.Result, []ratelimit.PermitRequest) {
			return h.OwnerUnreachable(start.Add(time.Millisecond), "n1")
		},
		"not owner": func(h *ratelimit.Holder) ([]ratelimit.Result, []ratelimit.PermitRequest) {
			return h.HandleReply(start.Add(time.Millisecond), start, "ada", "n1", ratelimit.Grant{NotOwner: true})
		},
		"timeout": func(h *ratelimit.Holder) ([]ratelimit.Result, []ratelimit.PermitRequest) {
			results, requests, unresponsive := h.Tick(start.Add(time.Second))
			require.Empty(t, unresponsive, "the reply may only be late")
			return results, requests
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := ratelimit.NewHolder("n0")
			h.SetOwners(twoHalls())
			result, requests := h.Acquire(start, 1, "ada")
			require.Equal(t, ratelimit.Wait, result.Decision)
			require.Equal(t, "n1", requests[0].To.Name)
			results, requests := fail(h)
			require.Empty(t, results)
			require.Equal(t, "n2", requests[0].To.Name)
			next := start.Add(2 * time.Millisecond)
			if name == "timeout" {
				next = next.Add(time.Second)
			}
			results, requests = h.OwnerUnreachable(next, "n2")
			require.Empty(t, requests)
			require.Equal(t, ratelimit.Unavailable, results[0].Decision)
			require.Equal(t, name == "timeout", h.NeedsTick())
		})
	}
}

// TestPermitsExpire checks that permits are used only within their lifetime, counted from the
// request, and that a released permit is not used after its expiry.
func TestPermitsExpire(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := ratelimit.NewHolder("n0")
	h.SetOwners(twoHalls())
	_, requests := h.Acquire(start, 1, "ada")
	results, _ := h.HandleReply(start.Add(time.Millisecond), start, "ada", requests[0].To.Name, ratelimit.Grant{N: 2, Lifetime: time.Second})
	require.Equal(t, ratelimit.Admit, results[0].Decision)
	until := results[0].ExpiresAt
	require.Equal(t, start.Add(time.Second), until, "counted from the request")
	result, _ := h.Acquire(until.Add(-time.Nanosecond), 2, "ada")
	require.Equal(t, ratelimit.Admit, result.Decision)
	h.Release(until.Add(-time.Nanosecond), "ada", until)
	result, _ = h.Acquire(until, 3, "ada")
	require.Equal(t, ratelimit.Wait, result.Decision, "the permit has expired")
}

// TestUnlistedInstanceOwnsNothing checks that an instance that is not listed in the store
// issues no permits, and that a new owner waits for the handover delay.
func TestUnlistedInstanceOwnsNothing(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := ratelimit.Limit{Rate: 100, Burst: 100}
	request := ratelimit.IssueRequest{From: "n0", N: 1}
	i := ratelimit.NewIssuer(ratelimit.DefaultBound, start, false)
	reply, _ := i.Issue(start, "ada", limit, request)
	require.True(t, reply.Grant.NotOwner, "no instances are known yet")
	i.SetOwners(start, twoHalls())
	reply, _ = i.Issue(start, "ada", limit, request)
	require.True(t, reply.Grant.NotOwner, "n1 owns the shares of the hall")
	self := ratelimit.Instance{Name: "n0", Hall: "a", Region: "r"}
	alone := ratelimit.NewOwners(ratelimit.PerHall, self, map[string]string{"a": "r", "b": "r"}, []ratelimit.Instance{self})
	i.SetOwners(start, alone)
	require.True(t, i.Lend(start.Add(time.Second), "ada", limit, 1).NotOwner, "the former owner may not know of the change yet")
	lent := i.Lend(start.Add(6*time.Second), "ada", limit, 1000)
	require.False(t, lent.NotOwner)
	require.LessOrEqual(t, lent.N, int((limit.Burst+20)/2), "at most a fraction of the burst")
}
