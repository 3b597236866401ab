package gateway

import (
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// maxDirectRecipients is the number of instances up to which each is told itself of a
	// target's end. In a larger fleet the news spread like changes of the store.
	maxDirectRecipients = 32
	// maxGossipedSuspects bounds the requests that gossip tells of, for those that missed the news:
	// less than 1.5 kB.
	maxGossipedSuspects = 16
)

// broadcastQuarantine passes on what is known of some requests to all instances at once: a caller may
// repeat a request within milliseconds, at any of them.
func (g *Gateway) broadcastQuarantine(now time.Time, digests ...quarantine.Digest) {
	g.quarantine.mu.Lock()
	updates := g.quarantine.table.Updates(now, digests...)
	g.quarantine.mu.Unlock()
	if len(updates) == 0 {
		return
	}
	g.broadcast(now, peer.Gossip{Quarantine: updates})
}

// broadcast sends news to all instances.
func (g *Gateway) broadcast(now time.Time, message peer.Gossip) {
	g.mu.Lock()
	defer g.mu.Unlock()
	message.Heartbeats, message.Reply = fleet.Heartbeats{g.view.OwnHeartbeat()}, true
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

// broadcastToRegion sends news to the own region by way of a few instances. The caller holds mu.
func (g *Gateway) broadcastToRegion(now time.Time, message peer.Gossip) {
	for _, branch := range g.view.Branches(now) {
		message.RelayUntil = branch.Until
		g.mesh.Send(branch.PeerAddr, &message)
	}
}

// relayBroadcast passes news on to those that the sender has left to this instance. The caller
// holds mu.
func (g *Gateway) relayBroadcast(now time.Time, m *peer.Gossip) {
	message := peer.Gossip{Heartbeats: m.Heartbeats, Quarantine: m.Quarantine, Departures: m.Departures, Limits: m.Limits, Stages: m.Stages, Reply: true}
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

// receiveQuarantine takes in what another instance knows of requests under which targets have ended.
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

// quarantineChecksum returns a number by which instances see that they do not know the same.
func (g *Gateway) quarantineChecksum() uint32 {
	if !g.quarantine.nonEmpty.Load() {
		return 0
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.table.Checksum()
}

// missingQuarantine returns what to tell an instance that does not know the same.
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
