package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// TestLeads checks who leads: the first by name of those that watch the store, and one that has led until now
// while nobody does.
func TestLeads(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	view := fleet.NewView(fleet.Member{Name: "m", Hall: "a1", Region: "a"}, fleet.NumberAt(now), fleet.DefaultSettings)
	for _, name := range []string{"a", "z"} {
		view.Add(fleet.Member{Name: name, Hall: "a1", Region: "a", PeerAddr: name})
	}
	number := fleet.NumberAt(now)
	hear := func(name string, flags fleet.Flags) {
		number++
		view.Hear(now, fleet.Beats{{Member: fleet.IDOf(name), Number: number, Flags: flags}})
	}
	require.False(t, view.Leads(now, false), "does not watch")
	view.SetFlags(fleet.Watching)
	require.True(t, view.Leads(now, false))
	hear("z", fleet.Watching)
	require.True(t, view.Leads(now, false))
	hear("a", fleet.Watching)
	require.False(t, view.Leads(now, true))
	hear("a", 0)
	require.True(t, view.Leads(now, false))
	view.SetFlags(fleet.Deaf)
	require.False(t, view.Leads(now, true), "another one watches")
	hear("z", fleet.Deaf)
	require.True(t, view.Leads(now, true), "nobody watches")
	require.False(t, view.Leads(now, false))
}
