package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
)

// TestPeersTime checks that an instance that starts again does not wait for seeds before it
// reads anything: they may all have been killed with it.
func TestPeersTime(t *testing.T) {
	cases := []struct {
		name  string
		seeds int
		first bool
		want  time.Duration
	}{
		{"few seeds", 2, true, 0},
		{"first start", 3, true, firstPeersTime},
		{"again", 3, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{config: Config{FirstStart: c.first, Seeds: make([]string, c.seeds)}}
			require.Equal(t, c.want, g.peersTime())
		})
	}
}

// TestWatchesAtStart checks that an instance that has just started, and takes itself for
// the first of its region since it knows nobody, leaves watching to the seeds for a while.
func TestWatchesAtStart(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name  string
		seeds int
		since time.Duration
		want  bool
	}{
		{"a seed", minSeeds - 1, 0, true},
		{"another", minSeeds, 0, false},
		{"another, soon", minSeeds, settleTime - 1, false},
		{"another that still knows nobody", minSeeds, settleTime, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{config: Config{Seeds: make([]string, c.seeds)}, startedAt: now, view: viewOf(now, 0, 0)}
			require.Equal(t, c.want, g.watches(now.Add(c.since)))
		})
	}
}

// TestRegisteredOnce checks that an instance that an earlier process has registered makes
// no call for it: there is no store here.
func TestRegisteredOnce(t *testing.T) {
	g := &Gateway{config: Config{Name: "n0"}, replicas: map[feed.Kind]*feed.Replica{KindInstances: feed.NewReplica(KindInstances)}}
	require.False(t, g.isRegistered())
	g.replicas[KindInstances].Apply(feed.Delta{Kind: KindInstances, To: 1, Full: true, Changes: []feed.Change{{Object: feed.Object{Name: "n0"}}}})
	require.True(t, g.isRegistered())
	g.register(t.Context())
}
