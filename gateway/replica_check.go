package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/peer"
)

// lateDelta is the time behind others from which on the arrival of the missing changes is logged.
// Targets may be used for a few seconds after they have stated that they leave.
const lateDelta = time.Second

// verificationSpread is the time over which the lists of instances are spread that find at the same time
// that their replicas differ.
const verificationSpread = time.Second

// checksumOf returns the checksum of a replica's objects for gossip, which is shorter than the
// digest.
func checksumOf(replica *feed.Replica) uint32 {
	digest := replica.Digest()
	return uint32(digest>>32) ^ uint32(digest)
}

// compareDigests counts the replicas of the sender that are at the position of the one here and hold
// other objects. The first one at a position is logged. Either may be wrong, so that the own one is
// verified. The caller holds mu.
func (g *Gateway) compareDigests(sender fleet.Member, m *peer.Gossip) {
	for i, kind := range g.kinds {
		if i >= len(m.Positions) || i >= len(m.Digests) {
			return
		}
		replica := g.replicas[kind]
		at := replica.Position()
		if at.IsZero() || m.Positions[i] != at || m.Digests[i] == checksumOf(replica) {
			continue
		}
		g.metrics.replicasDiffer.Add(1, string(kind))
		if g.verifications[kind].Due(g.clock.Now()) {
			replica.MarkInDoubt()
			g.watch.cancelKind(kind)
		}
		if g.reportedDiffer[kind] == at {
			continue
		}
		g.reportedDiffer[kind] = at
		g.log.Error(logReplicaDiffers, "kind", kind, "other", sender.Name, "revision", at.Revision, "era", at.Era,
			"held", replica.Len(), "digest", checksumOf(replica), "other_digest", m.Digests[i])
	}
}

// reportLateDelta logs changes that this instance has requested and was behind others for long. The
// caller holds mu.
func (g *Gateway) reportLateDelta(d feed.Delta, source string) {
	behind := g.catchUp[d.Kind].BehindFor(g.clock.Now())
	if behind < lateDelta {
		return
	}
	g.log.Warn(logDeltaLate, "kind", d.Kind, "source", source, "behind_ms", behind.Milliseconds(), "changes", len(d.Changes), "revision", d.To.Revision)
}

// needsVerification reports whether the replica of a kind is in doubt and may be listed now.
func (g *Gateway) needsVerification(kind feed.Kind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[kind].InDoubt() && g.verifications[kind].Due(g.clock.Now())
}

// verify lists a kind whose replica is in doubt, unless the doubt has ended meanwhile.
func (g *Gateway) verify(ctx context.Context, kind feed.Kind) {
	pause.For(ctx, rand.N(verificationSpread))
	if ctx.Err() != nil || !g.needsVerification(kind) {
		return
	}
	err := g.listKind(ctx, kind)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.verifications[kind].Done(g.clock.Now())
	replica := g.replicas[kind]
	attrs := []any{"kind", kind, "in_doubt", replica.InDoubt(), "held", replica.Len(), "revision", replica.Position().Revision}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	g.log.Warn(logReplicaVerified, attrs...)
}
