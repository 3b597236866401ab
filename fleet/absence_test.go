package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// TestAbsenceTracker checks that members of the region count as absent after an uninterrupted
// absence of the given duration, and that none do while fewer than half of the region's members are
// alive.
func TestAbsenceTracker(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	member := func(name, region string, state fleet.State) fleet.Status {
		return fleet.Status{Member: fleet.Member{Name: name, Region: region}, State: state}
	}
	look := func(b, c fleet.State) []fleet.Status {
		return []fleet.Status{member("a", "r", fleet.Alive), member("b", "r", b), member("c", "r", c), member("d", "far", fleet.Unknown)}
	}
	var a fleet.AbsenceTracker
	a.Update(start, "r", look(fleet.Suspect, fleet.Alive))
	require.Empty(t, a.AbsentFor(start.Add(time.Minute-1), time.Minute))
	require.Equal(t, []string{"b"}, a.AbsentFor(start.Add(time.Minute), time.Minute))
	a.Update(start.Add(30*time.Second), "r", look(fleet.Alive, fleet.Alive))
	a.Update(start.Add(31*time.Second), "r", look(fleet.Unknown, fleet.Alive))
	require.Empty(t, a.AbsentFor(start.Add(time.Minute), time.Minute), "it was alive in between")
	require.Equal(t, []string{"b"}, a.AbsentFor(start.Add(91*time.Second), time.Minute))
	a.Update(start.Add(32*time.Second), "r", look(fleet.Suspect, fleet.Suspect))
	require.Empty(t, a.AbsentFor(start.Add(time.Hour), time.Minute), "most members are not alive")
	a.Update(start.Add(33*time.Second), "r", []fleet.Status{member("a", "r", fleet.Alive)})
	require.Empty(t, a.AbsentFor(start.Add(time.Hour), time.Minute), "the absent members are no longer in the view")
}
