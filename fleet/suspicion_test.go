package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// roundsPerMinute are the rounds of gossip in a minute.
const roundsPerMinute = 120

// TestNoFalseSuspicions checks that in a minute without faults no instance holds one that is
// alive and reachable to be suspect, at the sizes of today's sites and of the one to
// come, in its own region and in others. One message in fifty is lost.
func TestNoFalseSuspicions(t *testing.T) {
	for _, size := range []struct{ members, regions int }{{12, 3}, {74, 3}, {295, 3}, {730, 7}} {
		if size.members > 300 && !*large {
			continue
		}
		t.Run(fmt.Sprint(size.members), func(t *testing.T) {
			m := newModel(size.members, size.regions, 1)
			for range 16 {
				m.round()
			}
			wrong := 0
			for range roundsPerMinute {
				m.round()
				wrong += m.falseSuspicions()
			}
			t.Logf("%d instances: %d views of a living instance that suspect it in a minute", size.members, wrong)
			require.Zero(t, wrong)
		})
	}
}

// falseSuspicions counts the views that suspect a living instance, in all regions.
func (m *model) falseSuspicions() int {
	wrong := 0
	for _, name := range m.names() {
		for _, s := range m.views[name].All(m.now) {
			if s.State == fleet.Suspect && !m.dead[s.Name] {
				wrong++
			}
		}
	}
	return wrong
}

// settleRounds are the rounds after which a cut is known everywhere: the last heartbeats
// from the other side are passed on for a while before they grow old.
const settleRounds = 10

// TestHallPartition cuts a hall off from all others. On both sides those that can be reached
// stay alive and the others are suspected, and all are alive again soon after the cut.
func TestHallPartition(t *testing.T) {
	m := newModel(74, 3, 1)
	for range 16 {
		m.round()
	}
	hall := m.members["edge-000"].Hall
	inside := func(name string) bool { return m.members[name].Hall == hall }
	m.partitioned = func(a, b string) bool { return inside(a) != inside(b) }
	for range settleRounds {
		m.round()
	}
	for _, name := range m.names() {
		for _, s := range m.views[name].All(m.now) {
			if s.Region != m.members[name].Region {
				continue
			}
			want := fleet.Alive
			if inside(s.Name) != inside(name) {
				want = fleet.Suspect
			}
			require.Equal(t, want, s.State, "%s of %s", name, s.Name)
		}
	}
	m.partitioned = nil
	for range settleRounds {
		m.round()
	}
	require.Zero(t, m.falseSuspicions())
}
