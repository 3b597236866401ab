package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/fleet"
)

// TestBroadcast draws fleets and checks that a change reaches each living member of a region
// exactly once and in few steps, that no instance sends it more than a few times, and that it
// crosses between halls only a few times.
func TestBroadcast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 130).Draw(t, "members")
		halls := rapid.IntRange(1, 4).Draw(t, "halls")
		now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		members := make(map[string]fleet.Member)
		alive := map[string]bool{}
		var names []string
		for i := range n {
			name := fmt.Sprintf("edge-%03d", i)
			members[name] = fleet.Member{Name: name, Hall: fmt.Sprint("h", i%halls), Region: "r"}
			names = append(names, name)
			alive[name] = i == 0 || rapid.IntRange(0, 9).Draw(t, "alive") > 0
		}
		views := make(map[string]*fleet.View)
		for _, name := range names {
			v := fleet.NewView(members[name], 1, fleet.DefaultSettings)
			v.Add(slices.Collect(maps.Values(members))...)
			var beats fleet.Heartbeats
			for _, other := range names {
				if alive[other] && other != name {
					beats = append(beats, fleet.Heartbeat{Member: fleet.IDOf(other), Sequence: 2, Flags: fleet.Ready})
				}
			}
			v.MergeHeartbeats(now, beats)
			views[name] = v
		}
		type step struct {
			name  string
			until fleet.ID
			depth int
		}
		reached := map[string]int{}
		between := 0
		queue := []step{{name: names[0]}}
		for len(queue) > 0 {
			at := queue[0]
			queue = queue[1:]
			require.LessOrEqual(t, at.depth, 4)
			branches := views[at.name].BranchesUntil(now, at.until)
			if at.depth == 0 {
				branches = views[at.name].Branches(now)
			}
			require.LessOrEqual(t, len(branches), 4)
			for _, b := range branches {
				reached[b.Name]++
				if b.Hall != members[at.name].Hall {
					between++
				}
				queue = append(queue, step{b.Name, b.Until, at.depth + 1})
			}
		}
		for _, name := range names[1:] {
			want := 0
			if alive[name] {
				want = 1
			}
			require.Equal(t, want, reached[name], name)
		}
		require.Zero(t, reached[names[0]])
		require.LessOrEqual(t, between, 8*halls)
	})
}

// TestBranchesUntilUnknownMember checks that a broadcast is not passed on towards an unknown
// member, which the sender may just have learned of. Gossip delivers the change instead.
func TestBranchesUntilUnknownMember(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	v := fleet.NewView(fleet.Member{Name: "a", Region: "r"}, 1, fleet.DefaultSettings)
	v.Add(fleet.Member{Name: "b", Region: "r"})
	v.MergeHeartbeats(now, fleet.Heartbeats{{Member: fleet.IDOf("b"), Sequence: 1}})
	require.Len(t, v.Branches(now), 1)
	require.Len(t, v.BranchesUntil(now, fleet.IDOf("b")), 1)
	require.Empty(t, v.BranchesUntil(now, fleet.IDOf("a")))
	require.Empty(t, v.BranchesUntil(now, fleet.IDOf("stranger")))
}
