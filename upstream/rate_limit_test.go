package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/upstream"
)

// newLimitedPool returns a pool with n targets in each of two regions. The targets in region a have
// a rate limit, and the instance itself is the owner of all permits.
func newLimitedPool(n int) *upstream.Pool {
	p := newPool()
	var specs []*catalog.Target
	var limits availability.RateLimitList
	for _, hall := range []string{"a1", "b1"} {
		for i := range n {
			id := fmt.Sprint("t-", hall, i)
			specs = append(specs, &catalog.Target{ID: id, Service: "s", Addr: "x", Hall: hall, Slots: 5})
			if hall == "a1" {
				limits = append(limits, availability.RateLimit{ID: availability.IDOf(id), Version: 1, PerSecond: 100})
			}
		}
	}
	p.SetTargets(start, specs, nil)
	p.ApplyRateLimits(start, limits, availability.SourcePeer)
	self := ratelimit.Instance{Name: "i1", Hall: "a1", Region: "a"}
	p.SetLimitOwners(ratelimit.NewHallOwners(self, regionOfHall, []ratelimit.Instance{self}))
	return p
}

// TestIsolatedRequestLeavesLimitedRegion checks that a request that may crash its target goes to
// the least loaded target of another region if the targets of its own region are rate limited.
func TestIsolatedRequestLeavesLimitedRegion(t *testing.T) {
	free := newPool()
	var specs []*catalog.Target
	for _, hall := range []string{"a1", "b1"} {
		specs = append(specs, &catalog.Target{ID: hall, Service: "s", Addr: "x", Hall: hall, Slots: 15})
	}
	free.SetTargets(start, specs, nil)
	key := ""
	for i := 0; key == ""; i++ {
		if free.Acquire(start, request(fmt.Sprint("k", i))).Target.Region == "a" {
			key = fmt.Sprint("k", i)
		}
	}
	p := newLimitedPool(3)
	busy := map[string]int{"t-b10": 0, "t-b11": 0, "t-b12": 0}
	for range 40 {
		r := request(key)
		r.Isolated = true
		d := p.Acquire(start, r)
		if d.Action != upstream.Send {
			break
		}
		require.Equal(t, "b", d.Target.Region, "no permit was received")
		for other, n := range busy {
			require.LessOrEqual(t, busy[d.Target.ID], n, "%s has fewer requests", other)
		}
		busy[d.Target.ID]++
	}
	require.Positive(t, min(busy["t-b10"], busy["t-b11"], busy["t-b12"]))
}

// TestPermitIsSpentOnce checks that a permit is valid for one request and is returned if that
// request is not sent. It also checks that a request is withheld if its target announced a rate
// limit after the grant.
func TestPermitIsSpentOnce(t *testing.T) {
	p := newPool()
	spec := &catalog.Target{ID: "t", Service: "s", Addr: "x", Hall: "a1", Slots: 5}
	p.SetTargets(start, []*catalog.Target{spec}, nil)
	before := p.Acquire(start, request("k"))
	require.Equal(t, upstream.Send, before.Action)
	require.True(t, p.MaySend(start, "t", before.SendState))
	p.ApplyRateLimits(start, availability.RateLimitList{{ID: availability.IDOf("t"), Version: 1, PerSecond: 1}}, availability.SourceTarget)
	require.False(t, p.MaySend(start, "t", before.SendState), "granted before the rate limit was known")
	p.Release(start, "t", upstream.Result{Outcome: upstream.Abandoned, NotSent: true, SendState: before.SendState})

	self := ratelimit.Instance{Name: "i1", Hall: "a1", Region: "a"}
	p.SetLimitOwners(ratelimit.NewHallOwners(self, regionOfHall, []ratelimit.Instance{self}))
	waiting := request("k")
	waiting.ID = 1
	require.Equal(t, upstream.Wait, p.Acquire(start, waiting).Action)
	asks := p.TakePermitRequests()
	require.Len(t, asks, 1)
	grants := p.ReceivePermits(start, asks[0].At, asks[0].Account, "i1", ratelimit.Grant{N: 1, Lifetime: time.Second})
	require.Len(t, grants, 1)
	granted := grants[0].Decision
	require.True(t, p.MaySend(start, "t", granted.SendState))
	require.False(t, p.MaySend(start.Add(time.Second), "t", granted.SendState), "its permit has expired")
	p.Release(start, "t", upstream.Result{Outcome: upstream.Abandoned, NotSent: true, SendState: granted.SendState})
	again := p.Acquire(start, request("k"))
	require.Equal(t, upstream.Send, again.Action, "the permit was returned")
	p.Release(start, "t", upstream.Result{Outcome: upstream.Answered, SendState: again.SendState})
	require.Equal(t, upstream.Wait, p.Acquire(start, request("k")).Action, "the permit is used up")
}
