package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// place returns the target that each of n keys goes to. It sends one request of each.
func place(t require.TestingT, p *upstream.Pool, now time.Time, n int) map[string]upstream.Choice {
	out := make(map[string]upstream.Choice)
	for i := range n {
		r := request(fmt.Sprint("k", i))
		d := p.Acquire(now, r)
		require.Equal(t, upstream.Send, d.Action)
		out[r.Key] = d.Target
		p.Release(now, d.Target.ID, upstream.Result{Latency: time.Millisecond})
	}
	return out
}

// TestUnreachableHalls checks over random fleets that targets in unreachable halls get no requests, that no
// request is refused while another of its targets is reachable, that requests do not leave a region with
// reachable targets, and that all return to their targets afterwards.
func TestUnreachableHalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		p.SetTargets(start, specsInEachHall(rapid.IntRange(1, 4).Draw(t, "targets")), nil)
		before := place(t, p, start, 60)
		lost := make(map[string]bool)
		for _, hall := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a1", "a2", "b1", "c1"}), 1, 3, rapid.ID[string]).Draw(t, "lost") {
			lost[hall] = true
		}
		p.SetUnreachableHalls(start, lost)
		// What was seen of a hall says nothing of a target that has started since.
		p.ChangeTargets(start, []*catalog.Target{{ID: "b1-new", Service: "s", Addr: "x", Hall: "b1", Slots: 3}}, nil, nil)
		reachable := map[string]bool{"a": !lost["a1"] || !lost["a2"], "b": true, "c": !lost["c1"]}
		for key, choice := range place(t, p, start, 60) {
			require.False(t, lost[choice.Hall] && choice.ID != "b1-new")
			if reachable[before[key].Region] {
				require.Equal(t, before[key].Region, choice.Region)
			}
		}
		for _, u := range p.UnavailableTargets(start) {
			require.Equal(t, availability.CauseUnreachable, u.Cause)
			require.True(t, lost[u.Hall])
		}
		require.Empty(t, p.TargetReports(start, provenAt(start.Add(time.Second))))
		p.SetUnreachableHalls(start, nil)
		p.ChangeTargets(start, nil, []string{"b1-new"}, nil)
		require.Equal(t, before, place(t, p, start, 60))
	})
}

// TestUnreachableRegionIsDivided checks that the keys of a region without reachable targets are divided in
// proportion to the slots of the others, alike on all instances. All of them went to one region before.
func TestUnreachableRegionIsDivided(t *testing.T) {
	const keys = 3000
	regions := map[string]string{"a1": "a", "b1": "b", "c1": "c", "d1": "d"}
	slots := map[string]int{"a1": 100, "b1": 100, "c1": 100, "d1": 300}
	placements := make(map[string]map[string]upstream.Choice)
	for _, self := range []string{"i1", "i2"} {
		p := upstream.NewPool(upstream.Config{Service: "s", Self: self, Hall: "b1", Region: "b", RegionOf: regions, ShiftStep: 1, ShiftWindow: time.Second})
		var specs []*catalog.Target
		for hall, n := range slots {
			specs = append(specs, &catalog.Target{ID: hall, Service: "s", Addr: "x", Hall: hall, Slots: n})
		}
		p.SetTargets(start, specs, nil)
		before := place(t, p, start, keys)
		p.SetUnreachableHalls(start, map[string]bool{"a1": true, "b1": true})
		placements[self] = place(t, p, start, keys)
		moved := make(map[string]int)
		for key, choice := range placements[self] {
			if regionLost := before[key].Region == "a" || before[key].Region == "b"; regionLost {
				moved[choice.Region]++
			} else {
				require.Equal(t, before[key], choice)
			}
		}
		require.InEpsilon(t, 3, float64(moved["d"])/float64(moved["c"]), 0.25, "%v", moved)
	}
	require.Equal(t, placements["i1"], placements["i2"])
}

func TestRefusalWithUnreachableHalls(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(1), nil)
	lost := map[string]bool{"a2": true, "b1": true}
	p.SetUnreachableHalls(start, lost)
	r := request("k")
	r.Regions = []string{"b"}
	d := p.Acquire(start, r)
	require.Equal(t, upstream.Refuse, d.Action, "it does not wait")
	require.Equal(t, upstream.ReasonHallsLost, d.Reason)
	require.True(t, d.Unreachable, "another instance may reach the region")
	require.GreaterOrEqual(t, d.RetryAfter, 500*time.Millisecond)

	r.Regions = []string{"a"}
	var last upstream.Decision
	for last = p.Acquire(start, r); last.Action == upstream.Send; last = p.Acquire(start, r) {
		require.Equal(t, "a1-0", last.Target.ID)
	}
	require.Equal(t, upstream.Wait, last.Action)
	grants := p.Tick(start.Add(100 * time.Millisecond))
	require.Len(t, grants, 1)
	require.Equal(t, upstream.ReasonFull, grants[0].Decision.Reason)
	require.True(t, grants[0].Decision.Unreachable, "the reachable targets are full")

	r.Regions = []string{"c"}
	for last = p.Acquire(start, r); last.Action == upstream.Send; last = p.Acquire(start, r) {
	}
	require.False(t, p.Tick(start.Add(100 * time.Millisecond))[0].Decision.Unreachable, "no hall of the region is unreachable")
}

// TestMaySendToUnreachableHall guards against a request that is sent to a hall that was lost while a
// connection was opened.
func TestMaySendToUnreachableHall(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(1), nil)
	d := p.Acquire(start, request("k"))
	require.True(t, p.MaySend(start, d.Target.ID, d.SendState))
	p.SetUnreachableHalls(start, map[string]bool{d.Target.Hall: true})
	require.False(t, p.MaySend(start, d.Target.ID, d.SendState))
}

// TestEndSuspicionsIn checks that only the suspicions that began during a loss end with it.
func TestEndSuspicionsIn(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(2), nil)
	fail := func(now time.Time, id string) {
		for i := 0; ; i++ {
			d := p.Acquire(now, request(fmt.Sprint(id, i)))
			require.Equal(t, upstream.Send, d.Action)
			if d.Target.ID == id {
				p.Release(now, id, upstream.Result{Outcome: upstream.Unreachable})
				return
			}
			p.Release(now, d.Target.ID, upstream.Result{Latency: time.Millisecond})
		}
	}
	fail(start, "a1-0")
	lostAt := start.Add(100 * time.Millisecond)
	fail(lostAt, "a1-1")
	fail(lostAt, "a2-0")
	p.EndSuspicionsIn(lostAt, "a1", lostAt)
	var suspected []string
	for _, u := range p.UnavailableTargets(lostAt) {
		suspected = append(suspected, u.ID)
	}
	require.Equal(t, []string{"a1-0", "a2-0"}, suspected)
}

// TestSharesFollowReachableSlots guards against a region whose requests are refused by the targets that are
// left of it while other regions have free slots. The shares follow by steps of ShiftStep at most, there and
// back.
func TestSharesFollowReachableSlots(t *testing.T) {
	const keys, step = 2000, 0.1
	p := upstream.NewPool(upstream.Config{Service: "s", Self: "i1", Hall: "a1", Region: "a",
		RegionOf: map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}, ShiftStep: step, ShiftWindow: 2 * time.Second})
	var specs []*catalog.Target
	for hall, slots := range map[string]int{"a1": 100, "a2": 100, "b1": 200, "c1": 200} {
		specs = append(specs, &catalog.Target{ID: hall, Service: "s", Addr: "x", Hall: hall, Slots: slots})
	}
	now := start
	p.SetTargets(now, specs, nil)
	inRegion := func() map[string]bool {
		out := make(map[string]bool)
		for key, choice := range place(t, p, now, keys) {
			if choice.Region == "a" {
				out[key] = true
			}
		}
		return out
	}
	// advance lets 30 s pass and checks each window of 2 s.
	advance := func() map[string]bool {
		before := inRegion()
		for range 15 {
			now = now.Add(2 * time.Second)
			after := inRegion()
			moved := 0
			for key := range before {
				if !after[key] {
					moved++
				}
			}
			require.LessOrEqual(t, float64(moved)/keys, 1.2*step, "%v", now.Sub(start))
			before = after
		}
		return before
	}
	whole := len(advance())
	p.SetUnreachableHalls(now, map[string]bool{"a2": true})
	require.InDelta(t, whole, len(inRegion()), 1.2*step*keys, "no jump")
	half := len(advance())
	require.Less(t, float64(half), 0.75*float64(whole))
	require.Greater(t, float64(half), 0.35*float64(whole))
	p.SetUnreachableHalls(now, nil)
	require.InDelta(t, half, len(inRegion()), 1.2*step*keys, "no jump")
	require.InEpsilon(t, whole, len(advance()), 0.05)
	p.SetUnreachableHalls(now, map[string]bool{"a1": true, "a2": true})
	require.Empty(t, inRegion())
}
