package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
)

// TestPeerWait checks that an instance that starts again does not wait for seeds before it
// reads anything: they may all have been killed with it.
func TestPeerWait(t *testing.T) {
	cases := []struct {
		name  string
		seeds int
		first bool
		want  time.Duration
	}{
		{"few seeds", 2, true, 0},
		{"first start", 3, true, firstStartPeerWait},
		{"again", 3, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{config: Config{FirstStart: c.first, Seeds: make([]string, c.seeds)}}
			require.Equal(t, c.want, g.peerWait())
		})
	}
}

// TestShouldWatchAtStart checks that an instance that has just started, and takes itself for
// the first of its region since it knows nobody, leaves watching to the seeds until it has
// had the time to hear of others, however long it takes to learn which there are.
func TestShouldWatchAtStart(t *testing.T) {
	start := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	const never = -1
	cases := []struct {
		name  string
		seeds int
		// instances is when it learned of the registered instances, after its start.
		instances, at time.Duration
		want          bool
	}{
		{"a seed", minSeeds - 1, never, 0, true},
		{"another", minSeeds, never, 0, false},
		{"another, slow to learn of instances", minSeeds, never, settleTime, false},
		{"another, soon after", minSeeds, settleTime, 2*settleTime - 1, false},
		{"another that still knows nobody alive", minSeeds, settleTime, 2 * settleTime, true},
		{"another without a store", minSeeds, never, maxSettleTime, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{config: Config{Seeds: make([]string, c.seeds)}, startedAt: start, view: viewOf(start, 0, 0)}
			if c.instances != never {
				g.instancesKnownAt = start.Add(c.instances)
			}
			require.Equal(t, c.want, g.shouldWatch(start.Add(c.at)))
		})
	}
}

// TestNoRegistrationIfRegistered checks that an instance that an earlier process has registered makes
// no call for it: there is no store here.
func TestNoRegistrationIfRegistered(t *testing.T) {
	g := &Gateway{config: Config{Name: "n0"}, replicas: map[feed.Kind]*feed.Replica{KindInstances: feed.NewReplica(KindInstances)}}
	require.False(t, g.isRegistered())
	g.replicas[KindInstances].Apply(feed.Delta{Kind: KindInstances, To: feed.At(0, 1), Full: true, Changes: []feed.Change{{Object: feed.Object{Name: "n0"}}}})
	require.True(t, g.isRegistered())
	g.register(t.Context())
}
