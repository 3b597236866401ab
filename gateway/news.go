package gateway

import (
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// directMembers is the number of instances up to which each is told itself of a
	// target's end. In a larger fleet the news spread like changes of the store.
	directMembers = 32
	// maxNews bounds the requests that gossip tells of, for those that missed the news:
	// less than 1.5 kB.
	maxNews = 16
)

// tell passes on what is known of some requests to all instances at once: a caller may
// repeat a request within milliseconds, at any of them.
func (g *Gateway) tell(now time.Time, digests ...quarantine.Digest) {
	g.quarantine.mu.Lock()
	news := g.quarantine.table.Updates(now, digests...)
	g.quarantine.mu.Unlock()
	if len(news) == 0 {
		return
	}
	g.broadcast(now, peer.Gossip{Quarantine: news})
}

// broadcast sends news to all instances.
func (g *Gateway) broadcast(now time.Time, message peer.Gossip) {
	g.mu.Lock()
	defer g.mu.Unlock()
	message.Heartbeats, message.Reply = fleet.Heartbeats{g.view.OwnHeartbeat()}, true
	if g.view.Len() <= directMembers {
		for _, m := range g.partners(now, true) {
			g.mesh.Send(m.PeerAddr, &message)
		}
		return
	}
	g.spreadNews(now, message)
	message.RelayToRegion = true
	for _, m := range g.view.RemoteWatchers(now) {
		g.mesh.Send(m.PeerAddr, &message)
	}
}

// spreadNews sends news to the own region by way of a few instances. The caller holds mu.
func (g *Gateway) spreadNews(now time.Time, message peer.Gossip) {
	for _, branch := range g.view.Branches(now) {
		message.RelayUntil = branch.Until
		g.mesh.Send(branch.PeerAddr, &message)
	}
}

// relayNews passes news on to those that the sender has left to this instance. The caller
// holds mu.
func (g *Gateway) relayNews(now time.Time, m *peer.Gossip) {
	message := peer.Gossip{Heartbeats: m.Heartbeats, Quarantine: m.Quarantine, Departures: m.Departures, Limits: m.Limits, Stages: m.Stages, Reply: true}
	switch {
	case m.RelayToRegion:
		g.spreadNews(now, message)
	case m.RelayUntil != 0:
		for _, branch := range g.view.BranchesUntil(now, m.RelayUntil) {
			message.RelayUntil = branch.Until
			g.mesh.Send(branch.PeerAddr, &message)
		}
	}
}

// hearNews takes in what another instance knows of requests under which targets have ended.
func (g *Gateway) hearNews(now time.Time, news quarantine.Updates) {
	if len(news) == 0 {
		return
	}
	g.quarantine.mu.Lock()
	learned := g.quarantine.table.Merge(now, news)
	g.quarantine.updateNonEmpty()
	g.quarantine.mu.Unlock()
	g.logSuspects(now, learned, "peer")
}

// newsSum returns a number by which instances see that they do not know the same.
func (g *Gateway) newsSum() uint32 {
	if !g.quarantine.nonEmpty.Load() {
		return 0
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.table.Checksum()
}

// newsFor returns what to tell an instance that does not know the same.
func (g *Gateway) newsFor(now time.Time, sum uint32) quarantine.Updates {
	if !g.quarantine.nonEmpty.Load() {
		return nil
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	if g.quarantine.table.Checksum() == sum {
		return nil
	}
	return g.quarantine.table.LatestSuspects(now, maxNews)
}
