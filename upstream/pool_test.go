package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

var regionOfHall = map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}

func newPool() *upstream.Pool {
	p := upstream.NewPool(upstream.Config{
		Service: "s", Self: "i1", Hall: "a1", Region: "a", RegionOf: regionOfHall,
		ShiftStep: 0.09, ShiftWindow: 2 * time.Second,
	})
	p.SetService(catalog.Service{Warmup: 3 * time.Second, WarmupRate: 11})
	p.SetMembers(map[string][]string{"a1": {"i1", "i2"}, "a2": {"i3"}})
	return p
}

// changedSpec returns a changed copy of a target's spec.
func changedSpec(spec *catalog.Target, change func(*catalog.Target)) *catalog.Target {
	other := *spec
	change(&other)
	return &other
}

// specsInEachHall returns n targets in each hall.
func specsInEachHall(n int) []*catalog.Target {
	var out []*catalog.Target
	for _, hall := range []string{"a1", "a2", "b1", "c1"} {
		for i := range n {
			out = append(out, &catalog.Target{ID: fmt.Sprint(hall, "-", i), Service: "s", Addr: "x", Hall: hall, Slots: 3})
		}
	}
	return out
}

var start = time.Unix(1000, 0)

func request(key string) upstream.Request {
	return upstream.Request{Key: key, Sticky: true, Deadline: start.Add(time.Hour), QueueTimeout: 100 * time.Millisecond}
}

func TestKeyKeepsItsTarget(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(3), nil)
	first := map[string]string{}
	for round := range 5 {
		for i := range 30 {
			key := fmt.Sprint("k", i)
			d := p.Acquire(start, request(key))
			require.Equal(t, upstream.Send, d.Action)
			if round == 0 {
				first[key] = d.Target.ID
			}
			require.Equal(t, first[key], d.Target.ID)
			p.Release(start, d.Target.ID, upstream.Result{Latency: time.Millisecond})
		}
	}
}

// TestKeyStaysWithinTwoTargets checks that overload does not spread a key over all targets. Each
// target would then need more objects than it can cache.
func TestKeyStaysWithinTwoTargets(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(6), nil)
	used := map[string]bool{}
	for range 100 {
		d := p.Acquire(start, request("k"))
		if d.Action == upstream.Send {
			used[d.Target.ID] = true
		}
	}
	require.Len(t, used, 2)
}

// newPoolIn returns the pool of an instance in a hall.
func newPoolIn(hall string) *upstream.Pool {
	p := upstream.NewPool(upstream.Config{
		Service: "s", Self: "i-" + hall, Hall: hall, Region: regionOfHall[hall], RegionOf: regionOfHall,
		ShiftStep: 0.09, ShiftWindow: 2 * time.Second,
	})
	p.SetTargets(start, specsInEachHall(4), nil)
	return p
}

// TestOneTargetForLightKeys checks that instances in both halls of a region send a key to the same
// target, so that only one target loads the object. Requests that move many bytes are the exception
// and stay in their hall.
func TestOneTargetForLightKeys(t *testing.T) {
	one, other := newPoolIn("a1"), newPoolIn("a2")
	run := func(p *upstream.Pool, r upstream.Request) upstream.Choice {
		d := p.Acquire(start, r)
		p.Release(start, d.Target.ID, upstream.Result{Latency: time.Millisecond})
		return d.Target
	}
	for i := range 50 {
		light, heavy := request(fmt.Sprint("k", i)), heavyRequest(fmt.Sprint("h", i))
		require.Equal(t, run(one, light).ID, run(other, light).ID)
		if target := run(one, heavy); target.Region == "a" {
			require.Equal(t, "a1", target.Hall)
			require.Equal(t, "a2", run(other, heavy).Hall)
		}
	}
}

// heavyRequest returns a request that moves many bytes.
func heavyRequest(key string) upstream.Request {
	r := request(key)
	r.Heavy = true
	return r
}

// TestOwnHallFirst checks that the key of heavy requests leaves the target in the instance's hall
// only when the wait there is about as long as a request, since traffic between halls is expensive.
func TestOwnHallFirst(t *testing.T) {
	p := newPool()
	specs := specsInEachHall(1)
	p.SetTargets(start, specs, nil)
	slots := specs[0].Slots
	for range 2*slots - 1 {
		d := p.Acquire(start, heavyRequest("k"))
		require.Equal(t, "a1", d.Target.Hall)
	}
	for range slots {
		p.Acquire(start, heavyRequest("k"))
	}
	require.Equal(t, "a2", p.Acquire(start, heavyRequest("k")).Target.Hall)
}

// TestSecondTargetTakesOver checks that the requests of a key go to its second target, which has
// the object, while the first one is unusable for a moment. Only if the second one is unusable too
// do they go to a target without the object.
func TestSecondTargetTakesOver(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(3), nil)
	first := p.Acquire(start, heavyRequest("k")).Target
	require.Equal(t, "a1", first.Hall)
	for range 8 {
		p.Acquire(start, heavyRequest("k"))
	}
	second := p.Acquire(start, heavyRequest("k")).Target
	require.Equal(t, "a2", second.Hall)
	p.Release(start, first.ID, upstream.Result{Outcome: upstream.Unreachable})
	now := start.Add(10 * time.Millisecond)
	require.Equal(t, second.ID, p.Acquire(now, heavyRequest("k")).Target.ID)
	p.Release(now, second.ID, upstream.Result{Outcome: upstream.Unreachable})
	third := p.Acquire(now, heavyRequest("k")).Target
	require.NotContains(t, []string{"", first.ID, second.ID}, third.ID)
}

// TestUnusableTargetsGetNothing draws targets that are leaving, evacuated or replaced and checks
// that none of them is granted.
func TestUnusableTargetsGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		specs := specsInEachHall(2)
		evacuated := map[string]bool{}
		for hall := range regionOfHall {
			evacuated[hall] = rapid.IntRange(0, 3).Draw(t, hall) == 0
		}
		for i := range specs {
			specs[i].Leaving = rapid.IntRange(0, 3).Draw(t, "leaves") == 0
		}
		p.SetTargets(start, specsInEachHall(2), nil)
		p.SetTargets(start, specs, evacuated)
		replaced := map[string]bool{}
		byID := map[string]*catalog.Target{}
		for _, s := range specs {
			byID[s.ID] = s
		}
		for i := range 60 {
			d := p.Acquire(start, request(fmt.Sprint("k", i)))
			if d.Action != upstream.Send {
				continue
			}
			spec := byID[d.Target.ID]
			require.False(t, spec.Leaving)
			require.False(t, evacuated[spec.Hall])
			require.False(t, replaced[spec.ID])
			outcome := upstream.Answered
			if rapid.IntRange(0, 9).Draw(t, "outcome") == 0 {
				outcome, replaced[spec.ID] = upstream.Replaced, true
			}
			p.Release(start, spec.ID, upstream.Result{Outcome: outcome})
		}
	})
}

// TestIncrementalChangesMatchFullList applies random changes step by step, some of them to a target
// that is removed in the same step. It checks that the pool makes the same decisions as a pool that
// gets the resulting list at once.
func TestIncrementalChangesMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stepwise := newPool()
		listed := map[string]*catalog.Target{}
		all := specsInEachHall(3)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var changed []*catalog.Target
			var removed []string
			for range rapid.IntRange(1, 6).Draw(t, "changes") {
				spec := changedSpec(all[rapid.IntRange(0, len(all)-1).Draw(t, "target")], func(s *catalog.Target) {
					s.Leaving = rapid.IntRange(0, 4).Draw(t, "leaves") == 0
				})
				changed = append(changed, spec)
				listed[spec.ID] = spec
			}
			for range rapid.IntRange(0, 3).Draw(t, "removals") {
				id := all[rapid.IntRange(0, len(all)-1).Draw(t, "gone")].ID
				removed = append(removed, id)
				delete(listed, id)
			}
			stepwise.ChangeTargets(start, changed, removed, nil)
		}
		whole := newPool()
		var specs []*catalog.Target
		for _, spec := range listed {
			specs = append(specs, spec)
		}
		whole.SetTargets(start, specs, nil)
		for i := range 20 {
			r := request(fmt.Sprint("k", i))
			a, b := stepwise.Acquire(start, r), whole.Acquire(start, r)
			require.Equal(t, b.Action, a.Action)
			require.Equal(t, b.Target, a.Target)
		}
	})
}

// TestColdTargets checks that targets that were evacuated, or that report that they are cold, get
// no more requests than the quota in any second, and none from other halls.
func TestColdTargets(t *testing.T) {
	cases := map[string]func(p *upstream.Pool, specs []*catalog.Target){
		"reported cold": func(p *upstream.Pool, specs []*catalog.Target) {
			for i := range specs {
				specs[i].RemainingWarmup = 3 * time.Second
			}
			p.SetTargets(start, specs, nil)
		},
		"reported cold again": func(p *upstream.Pool, specs []*catalog.Target) {
			p.SetTargets(start, specs, nil)
			var again []*catalog.Target
			for _, spec := range specs {
				again = append(again, changedSpec(spec, func(s *catalog.Target) { s.RemainingWarmup = 3 * time.Second }))
			}
			p.SetTargets(start, again, nil)
		},
		"evacuation ended": func(p *upstream.Pool, specs []*catalog.Target) {
			p.SetTargets(start, specs, map[string]bool{"a1": true, "a2": true, "b1": true, "c1": true})
			p.SetTargets(start, specs, nil)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			prepare(p, specsInEachHall(1))
			sent := map[string][]time.Time{}
			id := uint64(0)
			for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(7 * time.Millisecond) {
				id++
				r := request(fmt.Sprint("k", id))
				r.ID = id
				d := p.Acquire(now, r)
				p.Cancel(id)
				if d.Action == upstream.Send {
					sent[d.Target.ID] = append(sent[d.Target.ID], now)
					p.Release(now, d.Target.ID, upstream.Result{Latency: time.Millisecond})
				}
			}
			require.NotEmpty(t, sent["a1-0"])
			for target, times := range sent {
				require.Equal(t, "a1-0", target, "only the target in the instance's hall")
				for i := range times {
					if i >= 5 {
						require.GreaterOrEqual(t, times[i].Sub(times[i-5]), time.Second)
					}
				}
			}
			require.Equal(t, upstream.Send, p.Acquire(start.Add(3100*time.Millisecond), request("x")).Action)
		})
	}
}

// TestInFlightIsBounded checks that no target gets more requests than its bound, and that every
// queued request ends: it is granted a target or refused when its queue timeout expires.
func TestInFlightIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		p.SetTargets(start, specsInEachHall(1), nil)
		now, id := start, uint64(0)
		inFlight := map[string]int{}
		had := map[[2]string]bool{}
		var running []string
		queued := map[uint64]bool{}
		keys := map[uint64]string{}
		count := func(id uint64, d upstream.Decision) {
			if d.Action != upstream.Send {
				return
			}
			inFlight[d.Target.ID]++
			running = append(running, d.Target.ID)
			most := 6 // 1.75 x 3 slots for an object that is not cached.
			if pair := [2]string{keys[id], d.Target.ID}; had[pair] {
				most = 8 // 2.5 x 3 slots for an object that is cached.
			} else {
				had[pair] = true
			}
			require.LessOrEqual(t, inFlight[d.Target.ID], most)
		}
		grant := func(grants []upstream.Grant) {
			for _, g := range grants {
				require.True(t, queued[g.ID])
				delete(queued, g.ID)
				count(g.ID, g.Decision)
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 || len(running) == 0 {
				id++
				r := request(fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")))
				r.ID, r.Priority = id, rapid.IntRange(0, 3).Draw(t, "priority")
				keys[id] = r.Key
				d := p.Acquire(now, r)
				count(id, d)
				queued[id] = d.Action == upstream.Wait
				if !queued[id] {
					delete(queued, id)
				}
				continue
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			target := running[i]
			running = append(running[:i], running[i+1:]...)
			inFlight[target]--
			grant(p.Release(now, target, upstream.Result{Latency: 50 * time.Millisecond}))
		}
		grant(p.Tick(now.Add(time.Second)))
		require.Empty(t, queued)
	})
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(1)[:1], nil)
	full := 0
	for d := p.Acquire(start, request("k")); d.Action == upstream.Send; d = p.Acquire(start, request("k")) {
		full++
	}
	require.Equal(t, 8, full, "2.5 x 3 slots for an object that is cached")
	for id, priority := range map[uint64]int{1: 1, 2: 0, 3: 1} {
		r := request("k")
		r.ID, r.Priority = id, priority
		p.Acquire(start, r)
	}
	grants := p.Release(start, "a1-0", upstream.Result{})
	// The last request of the loop above waits too, with ID 0 and priority 0.
	require.Len(t, grants, 1)
	require.Contains(t, []uint64{0, 2}, grants[0].ID)
}

func TestSuspicion(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(1)[:2], nil)
	d := p.Acquire(start, request("k"))
	p.Release(start, d.Target.ID, upstream.Result{Outcome: upstream.Unreachable})
	other := p.Acquire(start, request("k"))
	require.NotEqual(t, d.Target.ID, other.Target.ID)
	p.Release(start, other.Target.ID, upstream.Result{})
	later := start.Add(time.Second)
	probe := p.Acquire(later, request("k"))
	require.Equal(t, d.Target.ID, probe.Target.ID, "the target is probed after the suspicion")
	second := p.Acquire(later, request("k"))
	require.Equal(t, other.Target.ID, second.Target.ID, "only one request probes at a time")
	p.Release(later, probe.Target.ID, upstream.Result{Outcome: upstream.Answered})
	require.Equal(t, d.Target.ID, p.Acquire(later, request("k")).Target.ID)
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{3, 18, 93} {
		b.Run(fmt.Sprintf("targets=%d", 4*n), func(b *testing.B) {
			p := newPool()
			p.SetTargets(start, specsInEachHall(n), nil)
			r := request("r-abc/17")
			b.ReportAllocs()
			for b.Loop() {
				d := p.Acquire(start, r)
				p.Release(start, d.Target.ID, upstream.Result{Latency: time.Millisecond})
			}
		})
	}
}

// TestSlowTargetIsAvoided checks that the requests for an object go to its second target while the
// first one responds slowly, that the increased load is reported to other instances, and that the
// requests return afterwards.
func TestSlowTargetIsAvoided(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(6), nil)
	now := start
	ask := func(key string, took time.Duration) string {
		now = now.Add(100 * time.Millisecond)
		d := p.Acquire(now, request(key))
		now = now.Add(took)
		p.Release(now, d.Target.ID, upstream.Result{Latency: took, SendState: d.SendState, LoadReport: &upstream.LoadReport{Running: 2, Slots: 3}})
		return d.Target.ID
	}
	first := ask("k", 100*time.Millisecond)
	for range 10 {
		require.Equal(t, first, ask("k", 100*time.Millisecond))
	}
	require.Equal(t, first, ask("k", time.Second))
	require.NotEqual(t, first, ask("k", 100*time.Millisecond))
	reports := p.TargetReports(now, provenAt(now))
	require.Len(t, reports, 1)
	require.Greater(t, reports[0].PerSlot, 2.0, "requests at a slow target count several times")
	now = now.Add(5 * time.Second)
	require.Equal(t, first, ask("k", 100*time.Millisecond), "the slow response is too old to count")
}
