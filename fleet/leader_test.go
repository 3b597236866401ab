package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// TestIsLeader checks that the first watcher by name is the leader, and that a former leader
// remains it while there is no watcher.
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
	require.False(t, view.IsLeader(now, false), "the own process does not watch")
	view.SetFlags(fleet.Watching)
	require.True(t, view.IsLeader(now, false))
	hear("z", fleet.Watching)
	require.True(t, view.IsLeader(now, false))
	hear("a", fleet.Watching)
	require.False(t, view.IsLeader(now, true))
	hear("a", 0)
	require.True(t, view.IsLeader(now, false))
	view.SetFlags(fleet.StoreUnreachable)
	require.False(t, view.IsLeader(now, true), "another instance watches")
	hear("z", fleet.StoreUnreachable)
	require.True(t, view.IsLeader(now, true), "no instance watches")
	require.False(t, view.IsLeader(now, false))
}
