package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// TestIsLeader checks who leads: the first by name of those that watch the store, and one that has led until now
// while nobody does.
func TestIsLeader(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	view := fleet.NewView(fleet.Member{Name: "m", Hall: "a1", Region: "a"}, fleet.SequenceAt(now), fleet.DefaultSettings)
	for _, name := range []string{"a", "z"} {
		view.Add(fleet.Member{Name: name, Hall: "a1", Region: "a", PeerAddr: name})
	}
	number := fleet.SequenceAt(now)
	hear := func(name string, flags fleet.Flags) {
		number++
		view.MergeHeartbeats(now, fleet.Heartbeats{{Member: fleet.IDOf(name), Sequence: number, Flags: flags}})
	}
	require.False(t, view.IsLeader(now, false), "does not watch")
	view.SetFlags(fleet.Watching)
	require.True(t, view.IsLeader(now, false))
	hear("z", fleet.Watching)
	require.True(t, view.IsLeader(now, false))
	hear("a", fleet.Watching)
	require.False(t, view.IsLeader(now, true))
	hear("a", 0)
	require.True(t, view.IsLeader(now, false))
	view.SetFlags(fleet.StoreUnreachable)
	require.False(t, view.IsLeader(now, true), "another one watches")
	hear("z", fleet.StoreUnreachable)
	require.True(t, view.IsLeader(now, true), "nobody watches")
	require.False(t, view.IsLeader(now, false))
}
