package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/balance"
)

// twoTargets returns a pool of two targets with four slots each, and the targets' specs.
func twoTargets(now time.Time) (*balance.Pool, []balance.Spec) {
	p := balance.NewPool(balance.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	specs := []balance.Spec{{ID: "t-1", Addr: "a", Slots: 4}, {ID: "t-2", Addr: "b", Slots: 4}}
	p.SetTargets(now, specs)
	return p, specs
}

// runOn returns the target of a request that ends immediately, "" if it was not sent.
func runOn(p *balance.Pool, now time.Time) string {
	d := p.Acquire(now, balance.Request{Deadline: now.Add(time.Minute)})
	if d.Action != balance.Run {
		return ""
	}
	p.Release(now, d.Target.ID, balance.Answered, time.Millisecond)
	return d.Target.ID
}

// TestDrainOutlivesTargetList checks that a target that reported that it is leaving gets no new
// requests, although the target list still contains it. It gets requests again once the list
// contains it with another address. After a minute one request probes it, since the list does not
// show when the target has restarted.
func TestDrainOutlivesTargetList(t *testing.T) {
	start := time.Unix(1000, 0)
	p, specs := twoTargets(start)
	p.ApplySelfReport(start, "t-1", availability.SelfReport{Leaving: true})
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(500 * time.Millisecond) {
		require.Equal(t, "t-2", runOn(p, now))
		p.SetTargets(now, specs)
		require.Equal(t, "t-2", runOn(p, now))
	}
	var probes int
	for range 4 {
		d := p.Acquire(now, balance.Request{Deadline: now.Add(time.Minute)})
		if d.Target.ID == "t-1" {
			probes++
		}
	}
	require.Equal(t, 1, probes, "requests that probe a target that reported that it is leaving")

	p, specs = twoTargets(start)
	p.ApplySelfReport(start, "t-1", availability.SelfReport{Leaving: true})
	specs[0].Addr = "c"
	p.SetTargets(start, specs[:1])
	require.Equal(t, "t-1", runOn(p, start), "listed with another address")
}

// TestRequestedBackoffIsKept checks that a target that requested a back-off gets no requests until
// it ends, and that a request is refused if all targets have requested one. The retry delay is then
// at least the time to the end of the first back-off.
func TestRequestedBackoffIsKept(t *testing.T) {
	start := time.Unix(1000, 0)
	p, specs := twoTargets(start)
	p.ApplySelfReport(start, "t-1", availability.SelfReport{Backoff: 3 * time.Second})
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
		require.Equal(t, "t-2", runOn(p, now))
		p.SetTargets(now, specs)
	}
	p.ApplySelfReport(start, "t-2", availability.SelfReport{Backoff: 5 * time.Second})
	d := p.Acquire(start, balance.Request{Deadline: start.Add(time.Minute), QueueTimeout: time.Second})
	require.Equal(t, balance.Refuse, d.Action)
	require.GreaterOrEqual(t, d.RetryAfter, 3*time.Second)
	require.Equal(t, "t-1", runOn(p, start.Add(3*time.Second)))
}
