package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/fleet"
)

// TestChangesArePushedWhileAnyInstanceWatches guards against changes that nobody pushes because the first
// instance of the region by name has restarted and does not watch yet. If all instances of a region know each
// other's states, exactly one of those that watch is the first watcher.
func TestChangesArePushedWhileAnyInstanceWatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		names := []string{"a", "b", "c", "d"}
		flags := make(map[string]fleet.Flags)
		watchers := 0
		for _, name := range names {
			flags[name] = rapid.SampledFrom([]fleet.Flags{fleet.Ready, fleet.Ready | fleet.Watching, fleet.Ready | fleet.StoreUnreachable, fleet.Ready | fleet.Watching | fleet.Leaving}).Draw(t, name)
			if flags[name] == fleet.Ready|fleet.Watching {
				watchers++
			}
		}
		first := 0
		for _, self := range names {
			view := fleet.NewView(fleet.Member{Name: self, Hall: "h1", Region: "r"}, fleet.SequenceAt(now), fleet.DefaultSettings)
			view.SetFlags(flags[self])
			for _, name := range names {
				view.Add(fleet.Member{Name: name, Hall: "h1", Region: "r", PeerAddr: fmt.Sprint(name, ":1")})
				view.MergeHeartbeats(now, fleet.Heartbeats{{Member: fleet.IDOf(name), Sequence: fleet.SequenceAt(now) + 1, Flags: flags[name]}})
			}
			if flags[self]&(fleet.Watching|fleet.Leaving) == fleet.Watching && view.IsFirstWatcher(now) {
				first++
			}
		}
		require.Equal(t, min(watchers, 1), first)
	})
}
