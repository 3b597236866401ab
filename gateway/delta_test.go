package gateway

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
)

// inbox is another instance that records the messages that it receives.
type inbox struct {
	addr     string
	messages chan peer.Message
}

// Receive implements peer.Receiver.
func (i *inbox) Receive(_ string, m peer.Message) { i.messages <- m }

// Unreachable implements peer.Receiver.
func (i *inbox) Unreachable(string) {}

// next returns the next message, and fails the test if there is none within 10 s.
func (i *inbox) next(t *testing.T) peer.Message {
	select {
	case m := <-i.messages:
		return m
	case <-time.After(10 * time.Second):
		t.Fatal("no message")
		return nil
	}
}

func newInbox(t *testing.T) *inbox {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	in := &inbox{addr: ln.Addr().String(), messages: make(chan peer.Message, 16)}
	mesh := peer.NewMesh(in.addr, "", in, slog.New(slog.DiscardHandler))
	go func() { _ = mesh.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		mesh.Close()
	})
	return in
}

// newSender returns an instance without a store and listeners, which can send messages.
func newSender(t *testing.T) *Gateway {
	log := slog.New(slog.DiscardHandler)
	g := &Gateway{
		config:               Config{Name: "n0", Hall: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, Log: log},
		log:                  log,
		reach:                &reachability{halls: &hallLinks{}},
		replicas:             make(map[feed.Kind]*feed.Replica),
		pendingDeltaRequests: make(map[feed.Kind][]*peer.DeltaRequest),
		deltaCache:           make(deltaCache),
		replication:          newReplication(kinds),
		catchUp:              make(map[feed.Kind]*feed.CatchUp),
		view:                 viewOf(time.Now(), 0, 0),

		registered:  make(map[string]fleet.Member),
		heldChanges: newHeldChanges(),
	}
	g.targetLimitOwner = newTargetLimitOwner(g.config, g.mesh, g.startedAt, &g.targetLimits)
	g.pools = newPools(g.config, g.departures.all, g.targetLimits.all, g.requestPermits)
	for _, kind := range kinds {
		g.replicas[kind], g.catchUp[kind] = feed.NewReplica(kind), &feed.CatchUp{}
	}
	g.mesh = peer.NewMesh("n0", "", g, log)
	g.accountPermits = newPermits(g.config, g.mesh, time.Now(), g.limitOf)
	t.Cleanup(g.mesh.Close)
	return g
}

// TestPendingDeltaRequestsAreAnswered checks that a delta request for a kind of which an instance has
// no objects yet is answered once it has some, and that a later request is answered at once.
func TestPendingDeltaRequestsAreAnswered(t *testing.T) {
	g, in := newSender(t), newInbox(t)
	g.Receive("", &peer.DeltaRequest{Kind: KindInstances, ReplyTo: in.addr})
	whole := feed.Delta{Kind: KindInstances, To: feed.At(0, 7), Full: true, Changes: []feed.Change{{Object: feed.Object{Name: "n1", Value: []byte(`{"name":"n1","hall":"a1","region":"a","front_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2"}`)}}}}
	require.True(t, g.applyDelta(whole, sourceStore))
	g.Receive("", &peer.DeltaRequest{Kind: KindInstances, ReplyTo: in.addr})
	for range 2 {
		answer, ok := in.next(t).(*peer.Delta)
		require.True(t, ok)
		got, err := answer.Unpack()
		require.NoError(t, err)
		require.Equal(t, whole, got)
		require.False(t, answer.Relay)
	}
	require.Empty(t, g.pendingDeltaRequests)
}

// TestProbeIsAnswered checks that an instance replies to a probe with a heartbeat of its own that is
// newer than the previous one.
func TestProbeIsAnswered(t *testing.T) {
	g, in := newSender(t), newInbox(t)
	before := g.view.OwnHeartbeat()
	g.Receive("", &peer.Probe{ReplyTo: in.addr})
	answer, ok := in.next(t).(*peer.Gossip)
	require.True(t, ok)
	require.True(t, answer.Reply)
	require.Len(t, answer.Heartbeats, 1)
	require.Equal(t, fleet.IDOf("n0"), answer.Heartbeats[0].Member)
	require.Greater(t, answer.Heartbeats[0].Sequence, before.Sequence)
}

// TestDeltaIsRelayed checks that a delta is relayed unchanged along the broadcast tree, also if it
// changes nothing at the relaying instance.
func TestDeltaIsRelayed(t *testing.T) {
	g, in := newSender(t), newInbox(t)
	now := time.Now()
	for _, m := range []fleet.Member{
		{Name: "n1", Hall: "a1", Region: "a", PeerAddr: in.addr},
		{Name: "n2", Hall: "a1", Region: "a", PeerAddr: "127.0.0.1:1"},
	} {
		g.view.Add(m)
		g.view.MergeHeartbeats(now, fleet.Heartbeats{{Member: fleet.IDOf(m.Name), Sequence: fleet.SequenceAt(now)}})
	}
	message, err := peer.NewDelta(feed.Delta{Kind: KindTargets, From: feed.At(0, 1), To: feed.At(0, 2)})
	require.NoError(t, err)
	g.relayDelta(message)
	g.relayDelta(message.RelayTo(fleet.Branch{Until: fleet.IDOf("n1")}))
	relayed, ok := in.next(t).(*peer.Delta)
	require.True(t, ok)
	require.Equal(t, message.Packed, relayed.Packed)
	require.Equal(t, fleet.IDOf("n1"), relayed.RelayUntil)
	require.Empty(t, in.messages, "only the delta of the broadcast is relayed")
}
