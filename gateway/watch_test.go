package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
)

// TestPeerWait checks that a restarted instance does not wait for seeds before it reads from the store, since
// the seeds may have been killed at the same time.
func TestPeerWait(t *testing.T) {
	cases := []struct {
		name  string
		seeds int
		first bool
		want  time.Duration
	}{
		{"few seeds", 2, true, 0},
		{"first start", 3, true, firstStartPeerWait},
		{"restart", 3, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{config: Config{FirstStart: c.first, Seeds: make([]string, c.seeds)}}
			require.Equal(t, c.want, g.peerWait())
		})
	}
}

// TestShouldWatchAtStart checks that an instance that has just started, and is the first of its region in its
// own view since it has no heartbeats of others, does not watch until it has had the time to receive
// heartbeats. This holds however long it takes to learn which instances are registered.
func TestShouldWatchAtStart(t *testing.T) {
	start := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	const never = -1
	cases := []struct {
		name  string
		seeds int
		// instances is the time from the start until the list of instances is known.
		instances, at time.Duration
		want          bool
	}{
		{"a seed", minSeeds - 1, never, 0, true},
		{"no seed", minSeeds, never, 0, false},
		{"no seed, list of instances late", minSeeds, never, settleTime, false},
		{"no seed, before the settle time", minSeeds, settleTime, 2*settleTime - 1, false},
		{"no seed, no heartbeats until the settle time", minSeeds, settleTime, 2 * settleTime, true},
		{"no seed, store unreachable", minSeeds, never, maxSettleTime, true},
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

// TestNoRegistrationIfRegistered checks that an instance that an earlier process has registered does not write
// its entry. There is no store here, so any call would panic.
func TestNoRegistrationIfRegistered(t *testing.T) {
	g := &Gateway{config: Config{Name: "n0"}, replicas: map[feed.Kind]*feed.Replica{KindInstances: feed.NewReplica(KindInstances)}}
	require.False(t, g.isRegistered())
	g.replicas[KindInstances].Apply(feed.Delta{Kind: KindInstances, To: feed.At(0, 1), Full: true, Changes: []feed.Change{{Object: feed.Object{Name: "n0"}}}})
	require.True(t, g.isRegistered())
	g.register(t.Context())
}
