package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
)

// TestOverloadReachesOthers guards against an overload that only the instance itself knows of: the flag
// of its heartbeat reaches an instance through a third one, and reduces its weight there. A message
// lists a bounded number of instances.
func TestOverloadReachesOthers(t *testing.T) {
	g, relay := newTestGateway(t), newTestGateway(t)
	busy := fleet.Member{Name: "n2", Hall: "a1", Region: "a", FrontAddr: "10.0.0.2:1", PeerAddr: "10.0.0.2:2"}
	for _, in := range []*Gateway{g, relay} {
		in.view.Add(busy)
		in.view.SetFlags(fleet.Ready)
	}
	sender := newTestGateway(t)
	sender.overloaded.Store(true)
	require.NotZero(t, sender.flags()&fleet.Overloaded)
	heartbeats := fleet.Heartbeats{{Member: fleet.IDOf("n2"), Sequence: 9, Flags: fleet.Ready | fleet.Overloaded}}
	deliver(t, relay, newGossip(heartbeats))
	relay.mu.Lock()
	passedOn := relay.gossipMessage(relay.clock.Now(), "a")
	relay.mu.Unlock()
	deliver(t, g, passedOn)
	response := g.chooseEndpoints(g.clock.Now(), endpoints.Query{Region: "a", Hall: "a1"})
	entries := 0
	for _, addr := range response.Addresses {
		if addr == busy.FrontAddr {
			entries++
		}
	}
	require.Equal(t, []int{1, 4}, []int{entries, response.SameHall - entries})

	// Where a part of them was listed, the flag of the others changed with each message.
	many := make(fleet.Heartbeats, maxFlagged+1)
	for i := range many {
		many[i].Flags = fleet.Overloaded | fleet.HallsLost
	}
	require.Empty(t, newGossip(many).OverloadedInstances)
	require.Empty(t, newGossip(many).HallsLost)
	require.Len(t, newGossip(many[1:]).OverloadedInstances, maxFlagged)
	require.Len(t, newGossip(many[1:]).HallsLost, maxFlagged)
}

// deliver passes a message to an instance as it is encoded.
func deliver(t *testing.T, g *Gateway, m *peer.Gossip) {
	raw, err := msgpack.Marshal(m)
	require.NoError(t, err)
	decoded := &peer.Gossip{}
	require.NoError(t, msgpack.Unmarshal(raw, decoded))
	g.Receive("10.0.0.9:2", decoded)
}
