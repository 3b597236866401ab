package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// roundsPerMinute is the number of gossip rounds in a minute.
const roundsPerMinute = 120

// TestNoFalseSuspicions checks that in a minute without faults no instance suspects a living and
// reachable one, in its own region or in another. It covers the sizes of current fleets and,
// with the flag -large, a larger one. One message in fifty is lost.
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
			t.Logf("%d instances: %d suspicions of living instances in a minute", size.members, wrong)
			require.Zero(t, wrong)
		})
	}
}

// falseSuspicions counts the suspicions of living instances in the views of all instances.
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

// settleRounds is the number of rounds after which all instances have noticed a partition or its
// end. The last heartbeats from the other side are gossiped for a while before they are too old.
const settleRounds = 10

// TestHallPartition partitions a hall from all others. In each instance's view of its region, the
// members on its own side remain alive and those on the other side are suspected. No living
// member is suspected settleRounds after the end of the partition.
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
