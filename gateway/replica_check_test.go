package gateway

import (
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
		m := &peer.Gossip{Positions: make([]feed.Position, len(g.kinds)), Digests: make([]uint32, len(g.kinds))}
		for i, kind := range g.kinds {
			if kind == KindTargets {
				m.Positions[i], m.Digests[i] = other.Position(), checksumOf(other)
			}
		}
		return m
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sender := fleet.Member{Name: "n2"}
	g.compareDigests(sender, gossip())
	require.Empty(t, g.reportedDiffer)
	other.Apply(watchDelta(at, entryChange("i", sequencedEntry{Sequence: 2, Leaves: true})))
	g.compareDigests(sender, gossip())
	require.Empty(t, g.reportedDiffer, "the positions differ")
	_, ok := g.replicas[KindTargets].Apply(watchDelta(at))
	require.True(t, ok)
	g.compareDigests(sender, gossip())
	require.Equal(t, other.Position(), g.reportedDiffer[KindTargets])
}
