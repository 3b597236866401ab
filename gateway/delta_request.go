package gateway

import (
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/peer"
)

// localPushTime and remotePushTime are the times within which a watcher's push of a change normally arrives after
// another instance of the same region, or of another one, has the change.
const (
	localPushTime  = 400 * time.Millisecond
	remotePushTime = 800 * time.Millisecond
)

// pushTime returns localPushTime or remotePushTime.
func pushTime(local bool) time.Duration {
	if local {
		return localPushTime
	}
	return remotePushTime
}

// freshKinds returns the kinds, as bits, whose last changes this instance has read or received as a push so
// recently that a push may still reach the receivers of its gossip, which are of the own region or of
// another one. Changes that this instance had to request are not among them: the push has failed, and to wait
// for it again at each step from instance to instance would delay them by seconds. The caller holds mu.
func (g *Gateway) freshKinds(now time.Time, local bool) uint8 {
	var fresh uint8
	for i, kind := range g.kinds {
		if now.Sub(g.replication[kind].pushedAt) < pushTime(local) {
			fresh |= 1 << i
		}
	}
	return fresh
}

// requestDelay returns how long a replica may be behind before a delta request is sent to an
// instance that is ahead. Held states whether the replica has any objects, local whether that
// instance belongs to the region of this one, and fresh whether its change is so recent that the push of it
// may still arrive.
//
// There is no delay for urgent kinds. A replica without objects waits for the first read of this
// instance, if the other instance is local, but not at the first start of the system. Otherwise the
// delay is the time that a push may take. This time is longer for an instance of another region,
// because a local watcher may be about to push the changes. An instance that watches itself does
// not wait that long, since its own watch would have returned the changes.
func (g *Gateway) requestDelay(now time.Time, kind feed.Kind, held, local, fresh bool) time.Duration {
	switch {
	case isUrgent(kind):
		return 0
	case local && !held && g.config.FirstStart:
		return 0
	case local && !held:
		return max(0, firstReadTime-now.Sub(g.startedAt))
	case held && !fresh:
		return 0
	default:
		return pushTime(local || g.watch.isWatching())
	}
}

// sendDeltaRequest sends a delta request for a kind to an instance that is ahead, if one is due, and looks
// again when the next one is. If the previous request has had no reply, this is logged and counted. The caller
// holds mu.
func (g *Gateway) sendDeltaRequest(now time.Time, kind feed.Kind) {
	defer g.scheduleDeltaRequest(now, kind)
	at := g.replicas[kind].Position()
	last, open := g.catchUp[kind].Pending()
	addr, ok := g.catchUp[kind].NextRequest(now, at)
	if !ok {
		return
	}
	if open {
		g.metrics.deltaRequest(kind, deltaRequestUnanswered)
		g.log.Warn(logDeltaRequestUnanswered, "kind", kind, "asked", last.To, "for_ms", now.Sub(last.SentAt).Milliseconds(), "revision", at.Revision)
	}
	g.requestDelta(addr, kind)
}

// requestDelta requests what the replica of a kind lacks from the instance with a peer address. The caller
// holds mu.
func (g *Gateway) requestDelta(addr string, kind feed.Kind) {
	missing := g.replication[kind].assembly.Query(g.replicas[kind])
	g.mesh.Send(addr, peer.NewDeltaRequest(kind, missing, g.view.Self().PeerAddr))
}

// scheduleDeltaRequest calls sendDeltaRequest when the next request for a kind is due. The caller holds mu.
func (g *Gateway) scheduleDeltaRequest(now time.Time, kind feed.Kind) {
	wait, behind := g.catchUp[kind].NextDue(now, g.replicas[kind].Position())
	state := g.replication[kind]
	if !behind || state.requestScheduled {
		return
	}
	state.requestScheduled = true
	time.AfterFunc(wait+time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		state.requestScheduled = false
		g.sendDeltaRequest(g.clock.Now(), kind)
	})
}
