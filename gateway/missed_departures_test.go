package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// TestMissedDeparturesAreSent checks that an instance that lacks a departure receives it in reply to its
// first gossip, and that one with the same departures gets no reply. Departures of an instance that knows
// more arrive with its next gossip, without a request.
func TestMissedDeparturesAreSent(t *testing.T) {
	g := newTestGateway(t)
	g.departures.add(g.clock.Now(), "i-1")
	late := newFakePeer(t, "n0")
	gossip := func(m peer.Gossip) {
		late.heartbeat.Sequence++
		m.Heartbeats, m.Member = fleet.Heartbeats{late.heartbeat}, &late.member
		g.Receive(late.addr, &m)
	}
	gossip(peer.Gossip{})
	reply, ok := late.next(t).(*peer.Gossip)
	require.True(t, ok)
	require.True(t, reply.Reply)
	var known availability.Departures
	require.Len(t, known.Merge(g.clock.Now(), reply.Departures), 1)
	require.Equal(t, reply.DeparturesChecksum, known.Checksum(g.clock.Now()))
	gossip(peer.Gossip{DeparturesChecksum: reply.DeparturesChecksum})
	select {
	case m := <-late.messages:
		require.Fail(t, "sent updates that the peer already has", "%+v", m)
	case <-time.After(50 * time.Millisecond):
	}
	gossip(peer.Gossip{Departures: availability.DepartureList{{ID: availability.IDOf("i-2")}}, Reply: true})
	require.True(t, g.departures.has("i-2"))
}

// TestReceivedDepartureIsNotSentAgain checks that if several instances learn of a departure at the same time,
// an instance that receives it from another one does not broadcast it itself.
func TestReceivedDepartureIsNotSentAgain(t *testing.T) {
	var d departures
	now := time.Now()
	fresh, first := d.add(now, "i-1")
	require.True(t, fresh && first)
	fresh, first = d.add(now, "i-2")
	require.True(t, fresh && !first)
	fresh, _ = d.add(now, "i-1")
	require.False(t, fresh)
	require.Empty(t, d.merge(now, availability.DepartureList{{ID: availability.IDOf("i-1")}}))
	require.Equal(t, availability.DepartureList{{ID: availability.IDOf("i-2")}}, d.takeUnsent())
	require.Empty(t, d.takeUnsent())
}

// TestDepartedTargetIsRemovedDuringHold checks that a target that has announced its departure is removed
// together with its entry, also while removals of other targets are held.
func TestDepartedTargetIsRemovedDuringHold(t *testing.T) {
	for _, announced := range []bool{true, false} {
		g := newTestGateway(t)
		g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore)
		if announced {
			g.recordDeparture("i-1")
		}
		g.heldChanges[KindTargets].removals.Inherit(g.clock.Now(), time.Minute, 0)
		g.applyDelta(feed.Delta{Kind: KindTargets, From: feed.At(0, 1), To: feed.At(0, 2), Changes: []feed.Change{change("i-1", true)}}, sourceStore)
		_, listed := g.targetList.specs["i-1"]
		require.Equal(t, !announced, listed)
	}
}

// TestGrantedRequestIsWithheldAfterDeparture checks that a request that was granted a target is not sent
// there if the target has announced its departure in the meantime.
func TestGrantedRequestIsWithheldAfterDeparture(t *testing.T) {
	server, err := origin.Start("i-1", "s", "a1", 3)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	g := newTestGateway(t)
	g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore)
	p := g.pools.get("s")
	ex := &exchange{r: httptest.NewRequest("GET", "/", nil), ctx: t.Context(), route: &catalog.Route{}, deadline: g.clock.Now().Add(time.Minute)}
	d := p.acquire(t.Context(), upstream.Request{Deadline: ex.deadline})
	require.Equal(t, upstream.Send, d.Action)
	d.Target.Addr = server.Addr()
	g.pools.applyDepartures(g.clock.Now(), availability.DepartureList{{ID: availability.IDOf("i-1")}}, availability.SourcePeer)
	a := g.sendAttempt(ex, http.Header{}, p, d, retry.MaxDialTime, nil)
	require.ErrorIs(t, a.Err, forward.ErrWithheld)
	require.False(t, a.Sent)
	require.Empty(t, server.Runs())
}
