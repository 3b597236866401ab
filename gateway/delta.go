package gateway

import (
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/peer"
)

// isUrgent tells whether the changes of a kind are few and have to be in force
// everywhere soon. They are pushed on every way. Those of other kinds are pushed by
// one watcher to its own region, however it came to know them, since other regions have
// watchers of their own; what is lost on the way is made up by gossip.
func isUrgent(kind feed.Kind) bool {
	return kind == KindConfig || kind == KindEvacuations || kind == KindTable || kind == KindRollouts
}

// pushDelta sends a delta to the instances that this one is the source of: those of its
// region, by way of a few of them, and for urgent kinds the watchers of others. The caller
// holds mu.
func (g *Gateway) pushDelta(d feed.Delta, source string) {
	now := g.clock.Now()
	fromStore := source == sourceStore
	if !isUrgent(d.Kind) && !g.view.IsFirstWatcher(now) {
		return
	}
	if !fromStore && !g.watch.isWatching() {
		return
	}
	message, err := peer.NewDelta(d)
	if err != nil {
		g.log.Error(logDeltaRefused, "kind", d.Kind, "error", err.Error())
		return
	}
	message.RemovalHold = g.heldChanges[KindTargets].removals.Remaining(now)
	for _, branch := range g.view.Branches(now) {
		g.mesh.Send(branch.PeerAddr, message.RelayTo(branch))
	}
	if !fromStore || !isUrgent(d.Kind) {
		return
	}
	for _, m := range g.view.RemoteWatchers(now) {
		g.mesh.Send(m.PeerAddr, message)
	}
}

// receiveDelta passes a delta on to those that the sender has left to this instance, and
// takes it in.
func (g *Gateway) receiveDelta(from string, m *peer.Delta) {
	g.relayDelta(m)
	delta, err := m.Unpack()
	if err != nil {
		g.log.Error(logDeltaRefused, "kind", m.Kind, "source", from, "error", err.Error())
		return
	}
	g.inheritRemovalHold(m)
	if !g.applyDelta(delta, from) {
		g.requestAfterGap(from, delta)
	}
}

// relayDelta passes a delta on if its sender asks for it.
func (g *Gateway) relayDelta(m *peer.Delta) {
	if !m.Relay {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, branch := range g.view.BranchesUntil(g.clock.Now(), m.RelayUntil) {
		g.mesh.Send(branch.PeerAddr, m.RelayTo(branch))
	}
}

// requestAfterGap asks for what is missing before a delta that left a gap, the instance that sent it
// first.
func (g *Gateway) requestAfterGap(from string, d feed.Delta) {
	g.mu.Lock()
	defer g.mu.Unlock()
	replica := g.replicas[d.Kind]
	if replica == nil {
		return
	}
	now := g.clock.Now()
	g.log.Info(logDeltaGap, "kind", d.Kind, "source", from, "begins", d.From.Revision, "revision", replica.Position().Revision)
	g.catchUp[d.Kind].AddSourceAfterGap(now, replica.Position(), feed.Source{Addr: from, Position: d.To})
	g.sendDeltaRequest(now, d.Kind)
}

// inheritRemovalHold has removals held back as long as the sender of the delta does.
func (g *Gateway) inheritRemovalHold(m *peer.Delta) {
	if m.Kind != KindTargets || m.RemovalHold <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heldChanges[KindTargets].removals.Inherit(g.clock.Now(), m.RemovalHold)
}

// handleDeltaRequest sends the changes that another instance asks for, at once or when this instance
// has them itself.
func (g *Gateway) handleDeltaRequest(m *peer.DeltaRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	replica := g.replicas[m.Kind]
	switch {
	case replica == nil:
	case replica.Position().IsZero() && len(g.pendingDeltaRequests[m.Kind]) < maxPendingDeltaRequests:
		g.pendingDeltaRequests[m.Kind] = append(g.pendingDeltaRequests[m.Kind], m)
	case replica.Position().After(m.Position):
		g.sendDelta(replica, m)
	}
}

// answerPendingDeltaRequests answers those that have asked for a kind before this instance had it. The
// caller holds mu.
func (g *Gateway) answerPendingDeltaRequests(kind feed.Kind) {
	for _, m := range g.pendingDeltaRequests[kind] {
		g.sendDelta(g.replicas[kind], m)
	}
	delete(g.pendingDeltaRequests, kind)
}

// sendDelta sends the changes that another instance asks for. The caller holds mu.
func (g *Gateway) sendDelta(replica *feed.Replica, m *peer.DeltaRequest) {
	answer, err := g.deltaCache.message(replica, m)
	if err != nil {
		g.log.Error(logDeltaRefused, "kind", m.Kind, "error", err.Error())
		return
	}
	answer.RemovalHold = g.heldChanges[KindTargets].removals.Remaining(g.clock.Now())
	g.mesh.Send(m.ReplyTo, &answer)
}

// deltaCache keep the last delta that was packed of each kind: many instances that start
// together ask for the same one.
type deltaCache map[feed.Kind]cachedDelta

// cachedDelta is a delta from one state to another.
type cachedDelta struct {
	from    feed.Position
	digest  uint64
	to      feed.Position
	message *peer.Delta
}

// message returns the message that leads from what an asker holds to what the replica does.
func (a deltaCache) message(replica *feed.Replica, m *peer.DeltaRequest) (peer.Delta, error) {
	held, ok := a[m.Kind]
	if !ok || held.from != m.Position || held.digest != m.Digest || held.to != replica.Position() {
		message, err := peer.NewDelta(replica.DeltaSince(m.Position, m.Digest))
		if err != nil {
			return peer.Delta{}, err
		}
		held = cachedDelta{from: m.Position, digest: m.Digest, to: replica.Position(), message: message}
		a[m.Kind] = held
	}
	return *held.message, nil
}
