package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/peer"
)

// replicationState is what an instance knows of the replication of one kind, beside its replica and the
// choice of sources for missing changes.
type replicationState struct {
	// verification decides when a replica that is in doubt, or that gets no changes from others, is listed.
	// reportedAt is the position at which a difference to another replica was logged last.
	verification feed.Verification
	reportedAt   feed.Position
	// pushedAt is when the replica last advanced by a read of the store or by a push.
	pushedAt time.Time
	// assembly holds the parts of a delta that comes in parts.
	assembly feed.Assembly
	// requestScheduled is set while a timer runs for the next delta request.
	requestScheduled bool
}

// newReplication returns the states of kinds.
func newReplication(kinds []feed.Kind) map[feed.Kind]*replicationState {
	states := make(map[feed.Kind]*replicationState, len(kinds))
	for _, kind := range kinds {
		states[kind] = &replicationState{}
	}
	return states
}

// lateDelta is the time behind others from which on the arrival of the missing changes is logged.
// Targets may be used for a few seconds after they have stated that they leave.
const lateDelta = time.Second

// verificationSpread is the time over which the lists of instances are spread that find at the same time
// that their replicas differ.
const verificationSpread = time.Second

// checksumEvery is the number of rounds of gossip of which one carries the checksum of a replica. With it
// an instance learns within some seconds that its targets differ from those of others, for 8 bytes a second.
const checksumEvery = 8

// checksumOf returns the checksum of a replica's objects for gossip, which is shorter than the
// digest.
func checksumOf(replica *feed.Replica) uint32 {
	digest := replica.Digest()
	return uint32(digest>>32) ^ uint32(digest)
}

// checksum returns the nth checksum to gossip. Every other one is that of the targets. The other kinds take
// turns. The caller holds mu.
func (g *Gateway) checksum(nth int) *peer.ReplicaChecksum {
	kind := slices.Index(g.kinds, KindTargets)
	if nth%2 == 1 {
		kind = nth / 2 % len(g.kinds)
	}
	return &peer.ReplicaChecksum{Kind: uint8(kind), Sum: checksumOf(g.replicas[g.kinds[kind]])}
}

// compareChecksum compares a replica of the sender with the one here, if both are at the same position. If
// they hold other objects, either may be wrong, so that the own one is verified. The first difference at a
// position is logged. The caller holds mu.
func (g *Gateway) compareChecksum(sender fleet.Member, m *peer.Gossip) {
	if m.Checksum == nil || int(m.Checksum.Kind) >= min(len(g.kinds), len(m.Positions)) {
		return
	}
	kind := g.kinds[m.Checksum.Kind]
	replica := g.replicas[kind]
	at := replica.Position()
	if at.IsZero() || m.Positions[m.Checksum.Kind] != at || m.Checksum.Sum == checksumOf(replica) {
		return
	}
	g.metrics.replicasDiffer.Add(1, string(kind))
	state := g.replication[kind]
	if state.verification.Due(g.clock.Now()) {
		replica.MarkInDoubt()
		g.watch.cancelKind(kind)
	}
	if state.reportedAt == at {
		return
	}
	state.reportedAt = at
	g.log.Error(logReplicaDiffers, "kind", kind, "other", sender.Name, "revision", at.Revision, "era", at.Era,
		"held", replica.Len(), "checksum", checksumOf(replica), "other_checksum", m.Checksum.Sum)
}

// reportRequested counts a delta that this instance has requested, and logs it if the instance was known to be
// behind for long.
func (g *Gateway) reportRequested(d feed.Delta, source string, behind time.Duration) {
	g.metrics.deltaRequest(d.Kind, deltaRequestAnswered)
	if behind < lateDelta {
		return
	}
	g.log.Warn(logDeltaLate, "kind", d.Kind, "source", source, "behind_ms", behind.Milliseconds(), "changes", len(d.Changes), "revision", d.To.Revision)
}

// needsVerification reports whether the replica of a kind is in doubt, or is behind while others don't send
// the changes, and may be listed now.
func (g *Gateway) needsVerification(kind feed.Kind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspect := g.replicas[kind].InDoubt() || g.catchUp[kind].IsStuck()
	return suspect && g.replication[kind].verification.Due(g.clock.Now())
}

// verify lists a kind that needs it, unless the reason has ended meanwhile.
func (g *Gateway) verify(ctx context.Context, kind feed.Kind) {
	pause.For(ctx, rand.N(verificationSpread))
	if ctx.Err() != nil || !g.needsVerification(kind) {
		return
	}
	err := g.listKind(ctx, kind)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replication[kind].verification.Done(g.clock.Now())
	replica := g.replicas[kind]
	attrs := []any{"kind", kind, "in_doubt", replica.InDoubt(), "held", replica.Len(), "revision", replica.Position().Revision}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	g.log.Warn(logReplicaVerified, attrs...)
}
