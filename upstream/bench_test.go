package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// BenchmarkDecision measures the selection of a target and the release of the request with 100 keys
// and no back-off, at the numbers of targets of a small, a large and a very large service.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 300, 2000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p := newPool()
			var specs []*catalog.Target
			names := []string{"a1", "a2", "b1", "c1"}
			for i := range n {
				specs = append(specs, &catalog.Target{ID: fmt.Sprint("t-", i), Service: "s", Addr: "x", Hall: names[i%len(names)], Slots: 5})
			}
			p.SetTargets(start, specs, nil)
			requests := make([]upstream.Request, 100)
			for i := range requests {
				requests[i] = request(fmt.Sprint("r-abc/", i))
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				d := p.Acquire(now, requests[i%len(requests)])
				p.Release(now, d.Target.ID, upstream.Result{Latency: 100 * time.Millisecond})
			}
		})
	}
}

// BenchmarkMembers measures a change of the known instances, which is frequent while a fleet
// starts, for a small, a medium and a large site.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []struct{ targets, instances int }{{24, 2}, {212, 12}, {1047, 33}} {
		b.Run(fmt.Sprintf("targets=%d/instances=%d", size.targets, size.instances), func(b *testing.B) {
			p := newPool()
			var specs []*catalog.Target
			names := []string{"a1", "a2", "b1", "c1"}
			for i := range size.targets {
				specs = append(specs, &catalog.Target{ID: fmt.Sprint("t-", i), Service: "s", Addr: "x", Hall: names[i%len(names)], Slots: 5})
			}
			p.SetTargets(start, specs, nil)
			members := make(map[string][]string)
			for _, hall := range names {
				for i := range size.instances {
					members[hall] = append(members[hall], fmt.Sprintf("edge-%s-%d", hall, i))
				}
			}
			for b.Loop() {
				p.SetMembers(members)
			}
		})
	}
}

// BenchmarkChange measures adding a target, marking it as leaving and removing it, among other
// targets.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, 6474, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p := newPool()
			p.SetTargets(start, specsInEachHall(n/4), nil)
			spec := &catalog.Target{ID: "t", Service: "s", Addr: "x", Hall: "a1", Slots: 5}
			leaving := changedSpec(spec, func(s *catalog.Target) { s.Leaving = true })
			b.ReportAllocs()
			for b.Loop() {
				p.ChangeTargets(start, []*catalog.Target{spec}, nil, nil)
				p.ChangeTargets(start, []*catalog.Target{leaving}, nil, nil)
				p.ChangeTargets(start, nil, []string{spec.ID}, nil)
			}
		})
	}
}
