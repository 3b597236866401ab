package gateway

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
)

func TestDifferentReplicasAreReported(t *testing.T) {
	g := newTestGateway(t)
	at := feed.At(1, 10)
	g.codec = sequencedCodec{}
	g.applyDelta(listDelta(at, entryChange("i", sequencedEntry{Sequence: 1})), sourceStore)
	other := feed.NewReplica(KindTargets)
	other.Apply(listDelta(at, entryChange("i", sequencedEntry{Sequence: 1})))
	gossip := func() *peer.Gossip {
		return checksumGossip(g, other)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sender := fleet.Member{Name: "n2"}
	g.compareChecksum(sender, gossip())
	require.Zero(t, g.replication[KindTargets].reportedAt)
	other.Apply(watchDelta(at, entryChange("i", sequencedEntry{Sequence: 2, Leaves: true})))
	g.compareChecksum(sender, gossip())
	require.Zero(t, g.replication[KindTargets].reportedAt, "the positions differ")
	_, ok := g.replicas[KindTargets].Apply(watchDelta(at))
	require.True(t, ok)
	g.compareChecksum(sender, gossip())
	require.Equal(t, other.Position(), g.replication[KindTargets].reportedAt)
}

// listingStore is a store that answers lists of targets only.
type listingStore struct {
	noStore
	list feed.Delta
}

func (s listingStore) List(context.Context, feed.Kind) (feed.Delta, error) { return s.list, nil }
func (s listingStore) Era() int64                                          { return s.list.To.Era }

// TestWrongReplicaIsListedAgain guards against an instance that keeps a wrong list although its neighbours
// hold the right one, at the position at which they differ.
func TestWrongReplicaIsListedAgain(t *testing.T) {
	g := newTestGateway(t)
	g.codec = sequencedCodec{}
	at := feed.At(1, 10)
	g.applyDelta(listDelta(at, entryChange("i", sequencedEntry{Sequence: 1})), sourceStore)
	right := listDelta(at, entryChange("i", sequencedEntry{Sequence: 2, Leaves: true}))
	other := feed.NewReplica(KindTargets)
	other.Apply(right)
	require.False(t, g.needsVerification(KindTargets))
	g.mu.Lock()
	g.compareChecksum(fleet.Member{Name: "n2"}, checksumGossip(g, other))
	g.mu.Unlock()
	require.True(t, g.needsVerification(KindTargets))
	g.store = listingStore{list: right}
	g.verify(t.Context(), KindTargets)
	require.False(t, g.usesTarget("i"))
	require.False(t, g.replicas[KindTargets].InDoubt())
	require.False(t, g.needsVerification(KindTargets))
}

// checksumGossip returns gossip with the position and the checksum of a replica of the targets.
func checksumGossip(g *Gateway, targets *feed.Replica) *peer.Gossip {
	m := &peer.Gossip{Positions: make([]feed.Position, len(g.kinds))}
	index := slices.Index(g.kinds, KindTargets)
	m.Positions[index] = targets.Position()
	m.Checksum = &peer.ReplicaChecksum{Kind: uint8(index), Sum: checksumOf(targets)}
	return m
}
