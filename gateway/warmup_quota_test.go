package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/warmup"
)

// TestStartingInstanceHasNoWarmupQuota guards against instances that use a quota of a cold target's
// rate before they know the other instances of their hall.
//
// The quotas of a hall's instances add up to the target's rate only if all instances divide it by
// the same list. An instance that has just started may learn of targets and the configuration
// before it learns of the other instances, and would then take the whole rate. With two of four
// instances in that state, a cold target with an admissible rate of 11 requests per second got 26
// in one second, while at most 21.5 are allowed (one and a half times the rate plus 5).
func TestStartingInstanceHasNoWarmupQuota(t *testing.T) {
	const rate = 11.0
	all := []string{"n0", "n1", "n2", "n3"}
	sum := 0
	for _, name := range all[2:] {
		sum += warmup.Quota(name, "t", all, rate)
	}
	g := newSender(t)
	g.updateInstanceShares(time.Now())
	sum += 2 * warmup.Quota("n0", "t", g.pools.instancesByHall["a1"], rate)
	require.LessOrEqual(t, float64(sum), rate, "instances that do not know the others have no quota")
	list := feed.Delta{Kind: KindInstances, To: feed.At(0, 7), Full: true}
	require.True(t, g.applyDelta(list, sourceStore))
	require.Equal(t, []string{"n0"}, g.pools.instancesByHall["a1"], "a list with no other instance counts as known")
	g.view.Add(fleet.Member{Name: "n1", Hall: "a1", Region: "a"})
	g.updateInstanceShares(time.Now())
	require.Equal(t, []string{"n0", "n1"}, g.pools.instancesByHall["a1"])
}

// TestLostInstanceLeavesItsWarmupQuota guards against cold targets that get too little because their rate
// is divided among instances that do not reach them.
func TestLostInstanceLeavesItsWarmupQuota(t *testing.T) {
	g := newSender(t)
	now := time.Now()
	require.True(t, g.applyDelta(feed.Delta{Kind: KindInstances, To: feed.At(0, 7), Full: true}, sourceStore))
	g.view.Add(fleet.Member{Name: "n1", Hall: "a1", Region: "a"}, fleet.Member{Name: "n2", Hall: "a2", Region: "a"})
	g.updateInstanceShares(now)
	next := fleet.SequenceAt(now)
	hear := func(lost ...string) {
		next++
		for _, name := range []string{"n1", "n2"} {
			h := fleet.Heartbeats{{Member: fleet.IDOf(name), Sequence: next, Flags: fleet.Ready}}
			for _, l := range lost {
				h.SetFlag(fleet.TargetsLost, []fleet.ID{fleet.IDOf(l)})
			}
			g.view.MergeHeartbeats(now, h)
		}
		g.updateLostMembers(now)
	}
	hear()
	require.Equal(t, []string{"n0", "n1"}, g.pools.instancesByHall["a1"])
	hear("n1")
	require.Equal(t, []string{"n0"}, g.pools.instancesByHall["a1"])
	hear()
	require.Equal(t, []string{"n0", "n1"}, g.pools.instancesByHall["a1"])
	g.view.SetFlags(fleet.TargetsLost)
	hear()
	require.Equal(t, []string{"n1"}, g.pools.instancesByHall["a1"], "an instance that has lost the targets itself sends none")
	hear("n1")
	require.Equal(t, []string{"n0", "n1"}, g.pools.instancesByHall["a1"], "the rate is not divided among other halls")
}
