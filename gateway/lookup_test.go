package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// members returns n members of a hall in the given state.
func members(hall string, n int, state fleet.State, flags fleet.Flags) []fleet.Status {
	var out []fleet.Status
	for i := range n {
		addr := fmt.Sprint(hall, "-", state, "-", i)
		out = append(out, fleet.Status{Member: fleet.Member{Name: addr, Hall: hall, Region: hall[:1], FrontAddr: addr}, State: state, Flags: flags})
	}
	return out
}

// TestAddresses checks to which instances clients of hall a1 are directed: those of the hall, also
// those of the region if few of the hall serve, and those of other regions if the region has none.
// An instance that has just started includes members from which it has received nothing yet.
func TestAddresses(t *testing.T) {
	join := func(lists ...[]fleet.Status) []fleet.Status {
		var out []fleet.Status
		for _, list := range lists {
			out = append(out, list...)
		}
		return out
	}
	sameRegion := members("a2", 10, fleet.Alive, fleet.Ready)
	otherRegion := members("b1", 10, fleet.Alive, fleet.Ready)
	cases := []struct {
		name     string
		members  []fleet.Status
		learning bool
		want     map[string]int
	}{
		{"the hall", join(members("a1", 10, fleet.Alive, fleet.Ready), sameRegion, otherRegion), false, map[string]int{"a1": 10}},
		{"one of the hall", join(members("a1", 1, fleet.Alive, fleet.Ready), sameRegion, otherRegion), false, map[string]int{"a1": 1, "a2": 10}},
		{"all of a small hall", join(members("a1", 2, fleet.Alive, fleet.Ready), sameRegion, otherRegion), false, map[string]int{"a1": 2}},
		{"few of the hall are left", join(members("a1", 4, fleet.Alive, fleet.Ready), members("a1", 6, fleet.Suspect, fleet.Ready), sameRegion, otherRegion), false,
			map[string]int{"a1": 4, "a2": 10}},
		{"others not ready or leaving", join(members("a1", 3, fleet.Alive, fleet.Ready), members("a1", 1, fleet.Alive, 0), members("a1", 1, fleet.Stopping, fleet.Ready), sameRegion), false,
			map[string]int{"a1": 3}},
		{"no region", otherRegion, false, map[string]int{"b1": 10}},
		{"just started", join(members("a1", 1, fleet.Alive, fleet.Ready), members("a1", 8, fleet.Unknown, 0), members("a1", 2, fleet.Alive, 0), members("a1", 1, fleet.Suspect, 0), sameRegion), true,
			map[string]int{"a1": 11}},
		{"unknown after discovery", join(members("a1", 2, fleet.Alive, fleet.Ready), members("a1", 8, fleet.Unknown, 0), sameRegion), false, map[string]int{"a1": 2, "a2": 10}},
		{"many", members("a1", 200, fleet.Alive, fleet.Ready), false, map[string]int{"a1": maxAddresses}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := map[string]int{}
			for _, addr := range addressesFor(c.members, "a", "a1", c.learning) {
				got[addr[:2]]++
			}
			require.Equal(t, c.want, got)
		})
	}
}
