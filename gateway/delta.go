package gateway

import (
	"errors"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/peer"
)

// isUrgent reports whether changes of a kind are rare and have to be in force at all instances
// soon. Every watcher pushes them to its region, and those that it reads from the store also to
// the watchers of other regions. Changes of other kinds are pushed by the first watcher of a
// region only, and to its own region only, since other regions have their own watchers. Gossip
// repairs the losses of messages.
func isUrgent(kind feed.Kind) bool {
	return kind == KindConfig || kind == KindEvacuations || kind == KindTable || kind == KindRollouts
}

// pushDelta pushes a delta along the broadcast tree of the region, if this instance is
// responsible for that. A delta of an urgent kind that comes from the store is also sent to the
// watchers of other regions. See isUrgent. The caller holds mu.
func (g *Gateway) pushDelta(d feed.Delta, source string) {
	now := g.clock.Now()
	fromStore := source == sourceStore
	if !isUrgent(d.Kind) && !g.view.IsFirstWatcher(now) {
		return
	}
	if !fromStore && !g.watch.isWatching() {
		return
	}
	if d.Torn {
		// Replicas that are not in doubt wait for the next list.
		return
	}
	message, err := peer.NewDelta(d.Compact())
	if errors.Is(err, peer.ErrDeltaTooLong) {
		// Its receivers find that they are behind, and request the changes in parts.
		message, err = peer.NewDelta(feed.Delta{Kind: d.Kind, From: d.To, To: d.To})
	}
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

// receiveDelta relays a delta along the broadcast tree and applies it. If the delta leaves a gap,
// the missing changes are requested.
func (g *Gateway) receiveDelta(from string, m *peer.Delta) {
	g.relayDelta(m)
	delta, err := m.Unpack()
	if err != nil {
		g.log.Error(logDeltaRefused, "kind", m.Kind, "source", from, "error", err.Error())
		return
	}
	g.inheritRemovalHold(m)
	if delta.IsPart() {
		whole, done := g.addPart(from, delta)
		if !done {
			return
		}
		delta = whole
	}
	if !g.applyDelta(delta, from) {
		g.requestAfterGap(from, delta)
	}
}

// addPart adds a part of a delta to those received so far, and requests the next part from the sender. It
// returns the whole delta once all parts have arrived.
func (g *Gateway) addPart(from string, part feed.Delta) (whole feed.Delta, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.replicas[part.Kind] == nil {
		return feed.Delta{}, false
	}
	whole, done, progress := g.replication[part.Kind].assembly.Add(part)
	if progress && !done {
		g.catchUp[part.Kind].Continue(g.clock.Now(), from)
		g.requestDelta(from, part.Kind)
	}
	return whole, done
}

// relayDelta sends a delta to the next instances of the broadcast tree, if it is part of a
// broadcast.
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

// requestAfterGap requests the changes that are missing before a delta that leaves a gap. The
// sender of the delta is the first source.
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

// inheritRemovalHold holds the removals of targets for at least as long as the sender of the
// delta does, but for the feed package's removalGrace if the sender holds them longer.
func (g *Gateway) inheritRemovalHold(m *peer.Delta) {
	if m.Kind != KindTargets || m.RemovalHold <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.heldChanges[KindTargets].removals.Inherit(now, m.RemovalHold, g.catchUp[KindTargets].BehindFor(now, g.replicas[KindTargets].Position()))
}

// handleDeltaRequest sends the changes that another instance has requested. If this instance has
// no objects of the kind yet, the request is kept until it has some, or dropped if
// maxPendingDeltaRequests are kept already. A request from a position that the replica is not past
// is not answered.
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

// answerPendingDeltaRequests replies to the delta requests that were kept until this instance had
// objects of the kind. The caller holds mu.
func (g *Gateway) answerPendingDeltaRequests(kind feed.Kind) {
	for _, m := range g.pendingDeltaRequests[kind] {
		g.sendDelta(g.replicas[kind], m)
	}
	delete(g.pendingDeltaRequests, kind)
}

// sendDelta replies to a delta request. The caller holds mu.
func (g *Gateway) sendDelta(replica *feed.Replica, m *peer.DeltaRequest) {
	answer, err := g.deltaCache.message(replica, m)
	if err != nil {
		g.log.Error(logDeltaRefused, "kind", m.Kind, "error", err.Error())
		return
	}
	answer.RemovalHold = g.heldChanges[KindTargets].removals.Remaining(g.clock.Now())
	g.mesh.Send(m.ReplyTo, &answer)
}

// deltaCache holds the last packed delta of each kind, since many instances that start at the
// same time request the same delta.
type deltaCache map[feed.Kind]cachedDelta

// cachedDelta is a packed delta with the states that it leads from and to. Got is the progress of the
// requesting instance.
type cachedDelta struct {
	from, to             feed.Position
	fromDigest, toDigest uint64
	got                  feed.Progress
	takesParts           bool
	message              *peer.Delta
}

// message returns the delta from the state of the requesting instance to that of the replica, or its next
// part.
func (a deltaCache) message(replica *feed.Replica, m *peer.DeltaRequest) (peer.Delta, error) {
	wanted := cachedDelta{from: m.Position, fromDigest: m.Digest, to: replica.Position(), toDigest: replica.Digest(), takesParts: m.Got != nil}
	if m.Got != nil {
		wanted.got = *m.Got
	}
	held := a[m.Kind]
	wanted.message = held.message
	if held.message != nil && held == wanted {
		return *held.message, nil
	}
	message, err := packPart(replica, m.Query())
	if err != nil {
		return peer.Delta{}, err
	}
	wanted.message = message
	a[m.Kind] = wanted
	return *message, nil
}

// maxPartBytes is the size of a part of a delta before compression, at most. The targets of the largest
// deployments take less than half of it.
const maxPartBytes = 2 << 20

// packPart packs the delta that a query asks for, or as much of it as fits into a message.
func packPart(replica *feed.Replica, q feed.Query) (*peer.Delta, error) {
	for limit := maxPartBytes; ; limit /= 2 {
		part := replica.Part(q, limit)
		message, err := peer.NewDelta(part)
		if !errors.Is(err, peer.ErrDeltaTooLong) || q.Got == nil || len(part.Changes) <= 1 {
			return message, err
		}
	}
}
