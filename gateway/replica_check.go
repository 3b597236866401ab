package gateway

import (
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
)

// lateDelta is the time behind others from which on the arrival of the missing changes is logged.
// Targets may be used for a few seconds after they have stated that they leave.
const lateDelta = time.Second

// checksumOf returns the checksum of a replica's objects for gossip, which is shorter than the
// digest.
func checksumOf(replica *feed.Replica) uint32 {
	digest := replica.Digest()
	return uint32(digest>>32) ^ uint32(digest)
}

// compareDigests counts the replicas of the sender that are at the position of the one here and hold
// other objects. The first one at a position is logged. The caller holds mu.
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
