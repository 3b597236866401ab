package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/warmup"
)

// TestStartingInstanceHasNoWarmupQuota is the story of instances that have just started and know
// themselves alone.
//
// What targets see: in one second a cold target gets its parts from the instances of its hall that
// go on running, and all that it bears from each one that has started: with two of four 26
// requests where 11 a second are borne, and 21.5 are the most that may come (one and a half times
// that and 5 more).
//
// Order of events: an instance starts and learns of targets and the configuration from a
// neighbour's message before it learns which instances there are. It divides what the cold
// target bears among those that it knows: itself.
//
// Cause: a sum over all instances was divided by those that one of them happens to know. The
// parts of two instances add up only if both divide by the same list. Nobody has reported it; it
// was found by looking for the cause of targets' limits that were not kept elsewhere.
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
	require.LessOrEqual(t, float64(sum), rate, "before it knows the others")
	list := feed.Delta{Kind: KindInstances, To: feed.At(0, 7), Full: true}
	require.True(t, g.applyDelta(list, sourceStore))
	require.Equal(t, []string{"n0"}, g.pools.instancesByHall["a1"], "a list without others is one")
	g.view.Add(fleet.Member{Name: "n1", Hall: "a1", Region: "a"})
	g.updateInstanceShares(time.Now())
	require.Equal(t, []string{"n0", "n1"}, g.pools.instancesByHall["a1"])
}
