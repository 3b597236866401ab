package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// hedgeOf returns the decision on a hedge of a request whose first attempt is at a target.
func hedgeOf(p *upstream.Pool, now time.Time, r upstream.Request, first string) upstream.Decision {
	r.Tried = []string{first}
	return p.AcquireHedge(now, r)
}

// TestHedgeGoesToSecondTarget checks that a hedge goes to the target that has the object of its key, which
// is in another hall than the first one, and to a further one only if the second is not in service.
func TestHedgeGoesToSecondTarget(t *testing.T) {
	for i := range 30 {
		p := newPool()
		p.SetTargets(start, specsInEachHall(6), nil)
		r := request(fmt.Sprint("k", i))
		first := p.Acquire(start, r)
		hedge := hedgeOf(p, start, r, first.Target.ID)
		require.Equal(t, upstream.Send, hedge.Action)
		require.Equal(t, first.Target.Region, hedge.Target.Region)
		if first.Target.Region == "a" {
			require.NotEqual(t, first.Target.Hall, hedge.Target.Hall)
		}
		p.Release(start, hedge.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
		p.ApplyDepartures(start, availability.DepartureList{{ID: availability.IDOf(hedge.Target.ID)}}, availability.SourcePeer)
		other := hedgeOf(p, start, r, first.Target.ID)
		require.Equal(t, upstream.Send, other.Action)
		require.NotContains(t, []string{first.Target.ID, hedge.Target.ID}, other.Target.ID)
	}
}

// TestHedgeNeedsFreeSlot guards against hedges that have to wait at their target, or here for one.
func TestHedgeNeedsFreeSlot(t *testing.T) {
	p := newPool()
	specs := []*catalog.Target{{ID: "i-1", Service: "s", Hall: "a1", Slots: 3}, {ID: "i-2", Service: "s", Hall: "a2", Slots: 3}}
	p.SetTargets(start, specs, nil)
	r := request("k")
	first := p.Acquire(start, r).Target.ID
	for range 3 {
		require.Equal(t, upstream.Send, hedgeOf(p, start, r, first).Action)
	}
	hedge := hedgeOf(p, start, r, first)
	require.Equal(t, upstream.Refuse, hedge.Action)
	require.Equal(t, upstream.ReasonFull, hedge.Reason)
	require.Zero(t, p.Waiting())
}

// TestHedgeIsWithheld checks the other conditions under which a target that is next gets no hedge.
func TestHedgeIsWithheld(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *upstream.Pool, specs []*catalog.Target)
		reason upstream.Reason
	}{
		{"no other target", func(p *upstream.Pool, specs []*catalog.Target) { p.SetTargets(start, specs[:1], nil) }, upstream.ReasonNoTarget},
		{"evacuated", func(p *upstream.Pool, specs []*catalog.Target) {
			p.SetTargets(start, specs, map[string]bool{"a1": true})
		}, upstream.ReasonNoTarget},
		{"back-off", func(p *upstream.Pool, _ []*catalog.Target) {
			p.Release(start, "i-2", withSelfReport(upstream.Rejected, backoffReport))
		}, upstream.ReasonNoTarget},
		{"suspected", func(p *upstream.Pool, _ []*catalog.Target) {
			p.Release(start, "i-2", upstream.Result{Outcome: upstream.Unreachable})
		}, upstream.ReasonNoTarget},
		{"cold", func(p *upstream.Pool, specs []*catalog.Target) {
			p.SetTargets(start, []*catalog.Target{
				changedSpec(specs[0], func(s *catalog.Target) { s.RemainingWarmup = 3 * time.Second }),
				changedSpec(specs[1], func(s *catalog.Target) { s.RemainingWarmup = 3 * time.Second }),
			}, nil)
		}, upstream.ReasonCold},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool()
			specs := []*catalog.Target{{ID: "i-1", Service: "s", Hall: "a2", Slots: 3}, {ID: "i-2", Service: "s", Hall: "a1", Slots: 3}}
			p.SetTargets(start, specs, nil)
			r := request("k")
			require.Equal(t, upstream.Send, hedgeOf(p, start, r, "i-1").Action)
			p.Release(start, "i-2", upstream.Result{Outcome: upstream.Answered})
			hedgeOf(p, start, r, "i-1")
			c.change(p, specs)
			hedge := hedgeOf(p, start.Add(10*time.Millisecond), r, "i-1")
			require.Equal(t, upstream.Refuse, hedge.Action)
			require.Equal(t, c.reason, hedge.Reason)
		})
	}
}

// TestHedgeDoesNotProbe checks that the first request after a suspicion, which finds out whether the target
// answers again, is not a hedge.
func TestHedgeDoesNotProbe(t *testing.T) {
	p := newPool()
	p.SetTargets(start, []*catalog.Target{{ID: "i-1", Service: "s", Hall: "a1", Slots: 3}, {ID: "i-2", Service: "s", Hall: "a2", Slots: 3}}, nil)
	r := request("k")
	hedgeOf(p, start, r, "i-1")
	p.Release(start, "i-2", upstream.Result{Outcome: upstream.Unreachable})
	require.Equal(t, upstream.Refuse, hedgeOf(p, start.Add(600*time.Millisecond), r, "i-1").Action)
	r.Tried = []string{"i-1"}
	require.Equal(t, upstream.Send, p.Acquire(start.Add(600*time.Millisecond), r).Action)
}

var silence = upstream.Result{Outcome: upstream.Abandoned, Silent: true}

// TestSilentTargetIsSuspected checks which attempts without a response make a target suspected.
func TestSilentTargetIsSuspected(t *testing.T) {
	full := silence
	full.SendState.Load = 1
	answered := upstream.Result{Outcome: upstream.Answered, Latency: time.Millisecond}
	for _, c := range []struct {
		name      string
		results   []upstream.Result
		suspected bool
	}{
		{"one", []upstream.Result{silence}, false},
		{"two in a row", []upstream.Result{silence, silence}, true},
		{"a response in between", []upstream.Result{silence, answered, silence}, false},
		{"a rejection in between", []upstream.Result{silence, {Outcome: upstream.Rejected}, silence}, false},
		{"a client that left in between", []upstream.Result{silence, {Outcome: upstream.Abandoned}, silence}, true},
		{"full targets let requests wait", []upstream.Result{full, full, full}, false},
		{"clients that leave", []upstream.Result{{Outcome: upstream.Abandoned}, {Outcome: upstream.Abandoned}}, false},
		{"attempts that received a part", []upstream.Result{{Outcome: upstream.Abandoned, Outpaced: true}, {Outcome: upstream.Abandoned, Outpaced: true}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool()
			p.SetTargets(start, []*catalog.Target{{ID: "i-1", Service: "s", Hall: "a1", Slots: 30}}, nil)
			for _, r := range c.results {
				p.Acquire(start, request("k"))
				p.Release(start, "i-1", r)
			}
			require.Equal(t, c.suspected, p.IsSuspected("i-1"))
			events := p.TakeEvents()
			if c.suspected {
				require.Equal(t, upstream.EventSuspected, events[len(events)-1].Kind)
				require.Equal(t, upstream.TimedOut, events[len(events)-1].Cause)
			}
			p.EndSuspicions(start)
			require.False(t, p.IsSuspected("i-1"))
		})
	}
}

// TestSilentProbe checks that a target that is still silent after a suspicion is suspected again by a single
// attempt, for longer.
func TestSilentProbe(t *testing.T) {
	p := newPool()
	p.SetTargets(start, []*catalog.Target{{ID: "i-1", Service: "s", Hall: "a1", Slots: 30}}, nil)
	for range 2 {
		p.Acquire(start, request("k"))
		p.Release(start, "i-1", silence)
	}
	now := start.Add(500 * time.Millisecond)
	require.Equal(t, upstream.Send, p.Acquire(now, request("k")).Action)
	p.Release(now, "i-1", silence)
	require.NotEqual(t, upstream.Send, p.Acquire(now.Add(900*time.Millisecond), request("k")).Action)
	require.Equal(t, upstream.Send, p.Acquire(now.Add(time.Second), request("k")).Action)
}
