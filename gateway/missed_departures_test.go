package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
)

// TestDeparturesForOneThatMissedThem checks that an instance that does not know of a departure
// is told at its first word, that one that knows the same is not, and that one that knows
// more is asked for nothing but tells it with its next word.
func TestDeparturesForOneThatMissedThem(t *testing.T) {
	g := newPlain(t)
	g.departures.add(g.clock.Now(), "i-1")
	late := newNeighbour(t, "n0")
	word := func(m peer.Gossip) {
		late.beat.Number++
		m.Beats, m.Member = fleet.Beats{late.beat}, &late.member
		g.Receive(late.addr, &m)
	}
	word(peer.Gossip{})
	reply, ok := late.next(t).(*peer.Gossip)
	require.True(t, ok)
	require.True(t, reply.Reply)
	var known availability.Departures
	require.Len(t, known.Merge(g.clock.Now(), reply.Departures), 1)
	require.Equal(t, reply.DeparturesSum, known.Sum(g.clock.Now()))
	word(peer.Gossip{DeparturesSum: reply.DeparturesSum})
	select {
	case m := <-late.messages:
		require.Fail(t, "told what it knows", "%+v", m)
	case <-time.After(50 * time.Millisecond):
	}
	word(peer.Gossip{Departures: availability.DepartureList{{ID: availability.IDOf("i-2")}}, Reply: true})
	require.True(t, g.departures.has("i-2"))
}

// TestToldDepartureIsNotToldAgain checks that of several instances that hear of a departure in
// the same moment one that is told by another does not tell it too.
func TestToldDepartureIsNotToldAgain(t *testing.T) {
	var d departures
	now := time.Now()
	fresh, first := d.add(now, "i-1")
	require.True(t, fresh && first)
	fresh, first = d.add(now, "i-2")
	require.True(t, fresh && !first)
	fresh, _ = d.add(now, "i-1")
	require.False(t, fresh)
	require.Empty(t, d.merge(now, availability.DepartureList{{ID: availability.IDOf("i-1")}}))
	require.Equal(t, availability.DepartureList{{ID: availability.IDOf("i-2")}}, d.takeUntold())
	require.Empty(t, d.takeUntold())
}
