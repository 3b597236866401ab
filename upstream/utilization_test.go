package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// TestUnreportedTargetsUseRegionUtilization checks that an instance of a large fleet, which
// hears of each target seldom, does not take those that it has not heard of for idle
// while all that it hears of in their region are overloaded, and that it does again once
// nothing was heard for a while.
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
	require.Zero(t, sent, "all are taken to be as full as those heard of")
	later := now.Add(4 * time.Second)
	require.Equal(t, upstream.Send, p.Acquire(later, request("x")).Action, "old reports count for nothing")
}
