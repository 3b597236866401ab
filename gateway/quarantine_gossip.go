package gateway

import (
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// maxDirectRecipients is the size of the fleet up to which a broadcast is sent to each
	// instance directly. In a larger fleet it is relayed along the broadcast trees.
	maxDirectRecipients = 32
	// maxGossipedSuspects bounds the suspect digests in a message to an instance that has
	// missed updates, to less than 1.5 kB.
	maxGossipedSuspects = 16
)

// broadcastQuarantine sends the quarantine's state of some digests to all instances at once,
// because a client may repeat a request within milliseconds at any of them.
func (g *Gateway) broadcastQuarantine(now time.Time, digests ...quarantine.Digest) {
	g.quarantine.mu.Lock()
	updates := g.quarantine.table.Updates(now, digests...)
	g.quarantine.mu.Unlock()
	if len(updates) == 0 {
		return
	}
	g.broadcast(now, peer.Gossip{Quarantine: updates})
}

// broadcast sends a message to all instances: directly in a small fleet, otherwise along the
// broadcast tree of this region and through the watchers of the other regions.
func (g *Gateway) broadcast(now time.Time, message peer.Gossip) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := fleet.Heartbeats{g.view.OwnHeartbeat()}
	message.Heartbeats, message.Reply = own, true
	message.TargetsLost, message.HallsLost = own.With(fleet.TargetsLost), flagged(own, fleet.HallsLost)
	message.OverloadedInstances = flagged(own, fleet.Overloaded)
	if g.view.Len() <= maxDirectRecipients {
		for _, m := range g.partners(now, true) {
			g.mesh.Send(m.PeerAddr, &message)
		}
		return
	}
	g.broadcastToRegion(now, message)
	message.RelayToRegion = true
	for _, m := range g.view.RemoteWatchers(now) {
		g.mesh.Send(m.PeerAddr, &message)
	}
}

// broadcastToRegion sends a message to the first instances of the region's broadcast tree, which
// relay it. The caller holds mu.
func (g *Gateway) broadcastToRegion(now time.Time, message peer.Gossip) {
	for _, branch := range g.view.Branches(now) {
		message.RelayUntil = branch.Until
		g.mesh.Send(branch.PeerAddr, &message)
	}
}

// relayBroadcast relays the updates of a message to the instances of the broadcast tree for which
// the sender has made this instance responsible. The caller holds mu.
func (g *Gateway) relayBroadcast(now time.Time, m *peer.Gossip) {
	message := peer.Gossip{Heartbeats: m.Heartbeats, TargetsLost: m.TargetsLost, HallsLost: m.HallsLost, Quarantine: m.Quarantine, Departures: m.Departures, Limits: m.Limits, Stages: m.Stages, Reply: true}
	message.OverloadedInstances = m.OverloadedInstances
	switch {
	case m.RelayToRegion:
		g.broadcastToRegion(now, message)
	case m.RelayUntil != 0:
		for _, branch := range g.view.BranchesUntil(now, m.RelayUntil) {
			message.RelayUntil = branch.Until
			g.mesh.Send(branch.PeerAddr, &message)
		}
	}
}

// receiveQuarantine merges another instance's quarantine updates into the table.
func (g *Gateway) receiveQuarantine(now time.Time, updates quarantine.Updates) {
	if len(updates) == 0 {
		return
	}
	g.quarantine.mu.Lock()
	changed := g.quarantine.table.Merge(now, updates)
	g.quarantine.updateNonEmpty()
	g.quarantine.mu.Unlock()
	g.logSuspects(now, changed, "peer")
}

// quarantineChecksum returns a checksum of the quarantine's table, by which instances detect that
// their tables differ. It is 0 for an empty table.
func (g *Gateway) quarantineChecksum() uint32 {
	if !g.quarantine.nonEmpty.Load() {
		return 0
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.table.Checksum()
}

// missingQuarantine returns the latest suspects for an instance whose checksum is sum, or nil if its
// table is the same or the quarantine of this instance holds no state.
func (g *Gateway) missingQuarantine(now time.Time, sum uint32) quarantine.Updates {
	if !g.quarantine.nonEmpty.Load() {
		return nil
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	if g.quarantine.table.Checksum() == sum {
		return nil
	}
	return g.quarantine.table.LatestSuspects(now, maxGossipedSuspects)
}
