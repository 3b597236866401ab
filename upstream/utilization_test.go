package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// TestUnreportedTargetsUseRegionUtilization checks how an instance of a large fleet, which has no
// report of most targets, estimates their load. While all reports in their region show overload,
// targets without a report must not count as idle. Once all reports are old, they count as idle
// again.
func TestUnreportedTargetsUseRegionUtilization(t *testing.T) {
	p := newPool()
	var specs []*catalog.Target
	for i := range 100 {
		specs = append(specs, &catalog.Target{ID: fmt.Sprint("a1-", i), Service: "s", Addr: "x", Hall: "a1", Slots: 4})
	}
	p.SetTargets(start, specs, nil)
	overloaded := upstream.LoadReport{Running: 4, Waiting: 8, Slots: 4}
	now := start
	for i := range 40 {
		d := p.Acquire(now, request(fmt.Sprint("k", i)))
		if d.Action == upstream.Send {
			p.Release(now, d.Target.ID, upstream.Result{LoadReport: &overloaded, Latency: time.Second})
		}
		now = now.Add(10 * time.Millisecond)
	}
	sent := 0
	for i := range 100 {
		if p.Acquire(now, request(fmt.Sprint("n", i))).Action == upstream.Send {
			sent++
		}
	}
	require.Zero(t, sent, "targets without a report count as full as the others")
	later := now.Add(4 * time.Second)
	require.Equal(t, upstream.Send, p.Acquire(later, request("x")).Action, "old reports are ignored")
}
