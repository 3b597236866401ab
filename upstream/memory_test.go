package upstream

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heapInUse returns the bytes in use after garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestMemoryPerTarget guards against allocating stats for targets that the instance knows nothing
// about. Of 10,000 targets an instance sends requests to a few hundred, but with stats for all of
// them it used 1,200 bytes per target, 10.6 of 16.4 MB in a fleet of 9,996 targets. The bound
// leaves 6 MB of an instance's 32 MB to the pools of 14,280 targets.
func TestMemoryPerTarget(t *testing.T) {
	const (
		targets = 10_000
		bound   = 6 << 20 / 14_280
	)
	now := time.Unix(1_000_000, 0)
	_, specs := newPlacedPool(now, targets)
	before := heapInUse()
	p := NewPool(Config{Service: "s", Self: "n1", Hall: "a1", Region: "a", RegionOf: map[string]string{"a1": "a", "a2": "a", "b1": "b"}})
	p.SetTargets(now, specs, nil)
	used := heapInUse() - before
	t.Logf("%d bytes per target", used/targets)
	require.Less(t, used/targets, int64(bound))
	runtime.KeepAlive(specs)
	runtime.KeepAlive(p)
}

// TestIdleTargetStatsExpire checks that the stats of idle targets without faults are dropped, so
// that memory does not grow with every target that requests were ever sent to.
func TestIdleTargetStatsExpire(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := newPlacedPool(now, 100)
	sent := sendMany(t, now, p, 200)
	require.NotEmpty(t, sent)
	require.Len(t, p.activeTargets, len(sent))
	held := p.Acquire(now, Request{ID: 1, Key: "held", Sticky: true, Deadline: now.Add(time.Minute)})
	broken := p.Acquire(now, Request{ID: 2, Key: "broken", Sticky: true, Deadline: now.Add(time.Minute), Tried: []string{held.Target.ID}})
	p.Release(now, broken.Target.ID, Result{Outcome: Broken, SendState: broken.SendState})
	now = now.Add(keyTTL)
	p.Expire(now)
	require.Len(t, p.activeTargets, 2)
	require.Equal(t, 1, p.byID[held.Target.ID].inFlight)
	require.Equal(t, 1, p.byID[broken.Target.ID].stats.failures)
	require.Zero(t, p.emptyStats)
}
