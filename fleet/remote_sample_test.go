package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// TestRemoteSample checks which heartbeats an instance of a large fleet sends to other regions: those
// of the watchers, and of eight further living members, of which each has its turn and larger ones
// have more. Members that have ended have none.
func TestRemoteSample(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	view := fleet.NewView(fleet.Member{Name: "n00", Hall: "a1", Region: "a"}, fleet.SequenceAt(now), fleet.DefaultSettings)
	var all fleet.Heartbeats
	for i := 1; i < 40; i++ {
		m := fleet.Member{Name: fmt.Sprintf("n%02d", i), Hall: "a1", Region: "a", Capacity: 192}
		h := fleet.Heartbeat{Member: fleet.IDOf(m.Name), Flags: fleet.Ready}
		switch {
		case i <= 2:
			h.Flags |= fleet.Watching
		case i <= 6:
			m.Capacity = 768
		case i <= 8:
			m.Capacity = 0
		}
		view.Add(m)
		all = append(all, h)
	}
	view.Add(fleet.Member{Name: "z", Hall: "b1", Region: "b", PeerAddr: "z:1"})
	ended, sent := fleet.IDOf("n39"), map[fleet.ID]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	const rounds = 400
	for range rounds {
		now = now.Add(round)
		for i := range all {
			all[i].Sequence = fleet.SequenceAt(now)
		}
		view.MergeHeartbeats(now, all[:len(all)-1])
		view.Partners(now, rng)
		heartbeats := view.HeartbeatsFor(now, "b")
		require.Len(t, heartbeats, 1+2+8)
		for _, h := range heartbeats {
			sent[h.Member]++
		}
		require.Len(t, view.HeartbeatsFor(now, "a"), 1+38)
	}
	require.Zero(t, sent[ended])
	large, small := 0, 0
	for i := 3; i < 39; i++ {
		n := sent[fleet.IDOf(fmt.Sprintf("n%02d", i))]
		require.Positive(t, n, i)
		if i <= 6 {
			large += n
		} else if i > 8 {
			small += n
		}
	}
	require.Greater(t, float64(large)/4, 2*float64(small)/30, "a member of four times the capacity")
}

// TestRemoteMembersAreKnown guards against clients of all halls that are directed to the same two
// instances of another region: in a large fleet each instance knows several living members of each
// other region, and takes none for alive that has ended 7 s ago.
func TestRemoteMembersAreKnown(t *testing.T) {
	m := newModel(88, 3, 1)
	for range 16 {
		m.round()
	}
	known, views := 0, 0
	for range 8 {
		m.round()
		for _, name := range m.names() {
			alive := map[string]int{}
			for _, s := range m.views[name].Others(m.now) {
				if s.Region != m.members[name].Region && s.Serves() {
					alive[s.Region]++
				}
			}
			require.Len(t, alive, 2)
			for _, n := range alive {
				known += n
				views++
			}
		}
	}
	t.Logf("%.1f living members known of each other region", float64(known)/float64(views))
	require.Greater(t, float64(known)/float64(views), 8.0)
	victim := m.names()[40]
	m.dead[victim] = true
	for elapsed := time.Duration(0); elapsed < 7*time.Second; elapsed += round {
		m.round()
	}
	for _, name := range m.names() {
		for _, s := range m.views[name].Others(m.now) {
			require.False(t, s.Name == victim && s.State == fleet.Alive, "%s takes %s for alive", name, victim)
		}
	}
}

// TestOverloadIsKnownSoon guards against weights of an overloaded instance that its region keeps: all
// members of the region know of it within 2 s. A member of another region of a large fleet, which hears
// of it only now and then, knows of it after 4 s or does not take it for alive.
func TestOverloadIsKnownSoon(t *testing.T) {
	for _, size := range []int{12, 88, 295} {
		m := newModel(size, 3, 1)
		for range 16 {
			m.round()
		}
		busy := m.names()[size/2]
		m.overloaded = map[string]bool{busy: true}
		for elapsed := round; elapsed <= 4*time.Second; elapsed += round {
			m.round()
			for _, name := range m.names() {
				if elapsed >= 4*time.Second || (elapsed >= 2*time.Second && m.members[name].Region == m.members[busy].Region) {
					requireFlag(t, m, name, busy)
				}
			}
		}
	}
}

// requireFlag checks that an instance takes a member for overloaded if it takes it for alive.
func requireFlag(t *testing.T, m *model, name, busy string) {
	for _, s := range m.views[name].Others(m.now) {
		if s.Name == busy && s.State == fleet.Alive {
			require.NotZero(t, s.Flags&fleet.Overloaded, "%s of %d does not know", name, len(m.members))
		}
	}
}
