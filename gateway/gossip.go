package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// introduceFor is the time from its start on for which an instance introduces
	// itself in all its messages, and introduceEvery the number of rounds between
	// two introductions later: most others know it from the store or from the first
	// time, and those of a hall that was cut off until then learn of it late.
	introduceFor   = 10 * time.Second
	introduceEvery = 8
	// maxTargetReports bounds the loads of busy targets in a message: 150 bytes, less than
	// a fifth of the message.
	maxTargetReports = 24
	// heartbeatsExpectedAfter is how long after its start an instance takes it that it should hear the
	// others: by then each has sent it several messages.
	heartbeatsExpectedAfter = 4 * fleet.RoundTime
	// pauseThreshold is how long an instance may stand still, frozen or suspended, before it asks
	// all others at once for what it missed: they take it for gone by then.
	pauseThreshold = 4 * fleet.RoundTime
	// reconnectInterval is the least time between two connections to an instance that does not
	// hear this one, for what is on the way to it over the first.
	reconnectInterval = time.Second
	// localRequestDelay and askFarAfter are how long a watcher's push may take before an
	// instance asks one of its own or of another region.
	localRequestDelay  = 700 * time.Millisecond
	remoteRequestDelay = 1400 * time.Millisecond
)

// gossipLoop tells others what this instance knows of the fleet and how far its
// replicas are.
func (g *Gateway) gossipLoop(ctx context.Context) {
	ticker := time.NewTicker(fleet.RoundTime)
	defer ticker.Stop()
	last, suspended := g.clock.Now(), g.clock.Suspended()
	for {
		now := g.clock.Now()
		away := now.Sub(last) >= pauseThreshold
		if away {
			g.log.Warn(logProcessPaused, "for_ms", now.Sub(last).Milliseconds(), "suspended_ms", (g.clock.Suspended() - suspended).Milliseconds())
		}
		g.gossip(now, away)
		last, suspended = now, g.clock.Suspended()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// gossip sends one round, to all that are alive if wide is set.
func (g *Gateway) gossip(now time.Time, wide bool) {
	g.updateEra()
	g.mu.Lock()
	defer g.mu.Unlock()
	watches := g.shouldWatch(now)
	g.watch.setWatching(watches)
	g.logMemberChanges(now, watches)
	if g.watch.cancelOutdated(now, watches) && g.watch.setStoreUnreachable(true) {
		g.log.Warn(logStoreLost, "error", "others hear changes that the own watch does not bring")
	}
	g.view.SetFlags(g.flags())
	g.view.AdvanceHeartbeat(now)
	g.gossipRounds++
	partners := g.partners(now, wide)
	settled := now.Sub(g.startedAt) >= heartbeatsExpectedAfter
	busy := g.pools.targetReports(now).Sample(maxTargetReports, g.rand)
	for _, m := range partners {
		message := g.gossipMessage(now, m.Region)
		if m.Region == g.config.Region {
			message.Overloaded = busy
		}
		message.NotReceiving = settled && g.view.IsMissing(now, m.Name)
		g.mesh.Send(m.PeerAddr, message)
	}
	g.probeMembers(g.view.Probes(now))
	if len(partners) > 0 {
		return
	}
	for _, addr := range g.config.Seeds {
		g.mesh.Send(addr, g.gossipMessage(now, g.config.Region))
	}
}

// probeMembers asks members of which nothing was heard for a while whether they are alive. One
// that did not answer the last time is asked over a new connection: the open one may be
// silent for good while the member is well. The caller holds mu.
func (g *Gateway) probeMembers(unresponsive []fleet.Member) {
	probed := make(map[string]bool, len(unresponsive))
	for _, m := range unresponsive {
		probed[m.Name] = true
		if g.probed[m.Name] {
			g.mesh.ReconnectBoth(m.PeerAddr)
			continue
		}
		g.mesh.Send(m.PeerAddr, &peer.Probe{ReplyTo: g.view.Self().PeerAddr})
	}
	g.probed = probed
}

// gossipMessage returns what this instance tells one of a region. The caller holds mu.
func (g *Gateway) gossipMessage(now time.Time, region string) *peer.Gossip {
	m := &peer.Gossip{Heartbeats: g.view.HeartbeatsFor(now, region), Positions: make([]feed.Position, 0, len(g.kinds)), QuarantineChecksum: g.quarantineChecksum(), DeparturesChecksum: g.departures.checksum(now), LimitsChecksum: g.targetLimits.checksum(now)}
	for _, kind := range g.kinds {
		m.Positions = append(m.Positions, g.replicas[kind].Position())
	}
	if now.Sub(g.startedAt) < introduceFor || g.gossipRounds%introduceEvery == 0 {
		self := g.view.Self()
		m.Member = &self
	}
	return m
}

func (g *Gateway) flags() fleet.Flags {
	var flags fleet.Flags
	if g.isReady() {
		flags |= fleet.Ready
	}
	if g.leaving.Load() {
		flags |= fleet.Leaving
	}
	if g.watch.isStoreUnreachable() {
		flags |= fleet.StoreUnreachable
	}
	if g.watch.isWatching() {
		flags |= fleet.Watching
	}
	return flags
}

// partners returns the members that a round goes to. The caller holds mu.
func (g *Gateway) partners(now time.Time, wide bool) []fleet.Member {
	if !wide {
		return g.view.Partners(now, g.rand)
	}
	var out []fleet.Member
	for _, s := range g.view.All(now) {
		if (s.State == fleet.Alive || s.State == fleet.Stopping) && s.Name != g.config.Name {
			out = append(out, s.Member)
		}
	}
	return out
}

// Receive implements peer.Receiver. From is the sender's peer address.
func (g *Gateway) Receive(from string, m peer.Message) {
	switch m := m.(type) {
	case *peer.Gossip:
		g.receiveGossip(m)
	case *peer.Delta:
		g.receiveDelta(from, m)
	case *peer.DeltaRequest:
		g.handleDeltaRequest(m)
	case *peer.Probe:
		g.answerProbe(m)
	case *peer.PermitRequest:
		g.receivePermitRequest(m)
	case *peer.PermitGrant:
		g.receivePermitGrant(m)
	case *peer.TrialRequest:
		g.receiveTrialRequest(m)
	case *peer.TrialReply:
		g.receiveTrialReply(m)
	case *peer.AnsweredRequests:
		g.receiveAnsweredRequests(m)
	case *peer.RolloutReport:
		g.receiveRolloutReport(m)
	}
}

// answerProbe tells an instance that doubts it that this one is alive.
func (g *Gateway) answerProbe(m *peer.Probe) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetFlags(g.flags())
	g.view.AdvanceHeartbeat(g.clock.Now())
	if m.Reconnect {
		g.reconnectTo(g.clock.Now(), m.ReplyTo)
	}
	g.mesh.Send(m.ReplyTo, &peer.Gossip{Heartbeats: fleet.Heartbeats{g.view.OwnHeartbeat()}, Reply: true})
}

// reconnectTo opens another connection to an instance that says that it does not hear this one.
// The open one may be silent for good without a sign of it on this side: something on the way
// still acknowledges what is sent. Only the instance that does not hear can tell; where it
// does not, one whose connections from others fall silent hears nobody for as long as it runs
// (TestHeardAgain). The caller holds mu.
func (g *Gateway) reconnectTo(now time.Time, addr string) {
	if now.Sub(g.reconnectedAt[addr]) < reconnectInterval {
		return
	}
	g.reconnectedAt[addr] = now
	g.mesh.Reconnect(addr)
	g.log.Info(logNotReceivedByPeer, "addr", addr)
}

// Unreachable implements peer.Receiver.
func (g *Gateway) Unreachable(addr string) {
	g.markRefused(addr)
	g.accountPermits.ownerUnreachable(addr)
	g.pools.ownerUnreachable(g.clock.Now(), g.targetLimitOwner.instanceAt(addr))
}

// receivePermitRequest answers a question for permits of an account's or a target's limit.
func (g *Gateway) receivePermitRequest(m *peer.PermitRequest) {
	if m.ForTarget {
		g.receiveTargetPermitRequest(m)
		return
	}
	g.accountPermits.receiveRequest(m)
}

// receivePermitGrant takes in the answer to such a question.
func (g *Gateway) receivePermitGrant(m *peer.PermitGrant) {
	if m.ForTarget {
		g.receiveTargetPermitGrant(m)
		return
	}
	g.accountPermits.receiveGrant(m)
}

func (g *Gateway) markRefused(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.MarkRefused(g.clock.Now(), addr)
}

// receiveGossip takes in gossip and asks for what the sender is ahead with. A sender that is
// behind is told so, and will ask.
func (g *Gateway) receiveGossip(m *peer.Gossip) {
	if len(m.Heartbeats) == 0 {
		return
	}
	now := g.clock.Now()
	g.recordContact(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.view.Len()
	if m.Member != nil {
		g.view.Add(*m.Member)
	}
	g.view.MergeHeartbeats(now, m.Heartbeats)
	g.pools.applyTargetReports(now, m.Overloaded)
	g.relayBroadcast(now, m)
	g.receiveQuarantine(now, m.Quarantine)
	g.receiveDepartures(now, m.Departures)
	g.receiveLimits(now, m.Limits)
	g.receiveStages(now, m.Stages)
	if g.view.Len() != known {
		g.updateInstanceShares(now)
	}
	sender, ok := g.view.Member(m.Heartbeats[0].Member)
	if !ok {
		// It introduces itself before long.
		return
	}
	if m.NotReceiving {
		g.reconnectTo(now, sender.PeerAddr)
	}
	ahead := g.comparePositions(now, sender, m.Positions)
	newer, newerKnown := g.view.NewerHeartbeat(m.Heartbeats)
	var missed quarantine.Updates
	var left availability.DepartureList
	var limits availability.RateLimitList
	if !m.Reply {
		missed = g.missingQuarantine(now, m.QuarantineChecksum)
		left = g.departures.missing(now, m.DeparturesChecksum, g.rand.Uint64())
		limits = g.targetLimits.missing(now, m.LimitsChecksum, g.rand.Uint64())
	}
	if (ahead || newerKnown || m.NotReceiving || len(missed)+len(left)+len(limits) > 0) && !m.Reply {
		reply := g.gossipMessage(now, sender.Region)
		reply.Reply = true
		reply.Quarantine, reply.Departures, reply.Limits = missed, left, limits
		if newerKnown {
			reply.Heartbeats = append(reply.Heartbeats, newer)
		}
		g.mesh.Send(sender.PeerAddr, reply)
	}
	for _, kind := range g.kinds {
		g.sendDeltaRequest(now, kind)
	}
}

// comparePositions holds the positions of another instance against the own ones. It notes the kinds
// with which the other is ahead, and tells whether it has to be told that it is behind. The
// caller holds mu.
func (g *Gateway) comparePositions(now time.Time, sender fleet.Member, positions []feed.Position) (ahead bool) {
	for i, kind := range g.kinds {
		if i >= len(positions) {
			break
		}
		at := g.replicas[kind].Position()
		if kind == KindRollouts && positions[i] == at && sender.Region == g.config.Region {
			g.setRolloutsLoaded()
		}
		switch position := positions[i]; {
		case position.After(at):
			after := g.requestDelay(now, kind, !at.IsZero(), sender.Region == g.config.Region)
			g.catchUp[kind].AddSource(now, at, feed.Source{Addr: sender.PeerAddr, Position: position, Delay: after})
		case at.After(position) && (position.IsZero() || isUrgent(kind)):
			ahead = true
		}
	}
	return ahead
}

// requestDelay is how long a replica, which holds something or not, may be behind before an instance, which is
// near or not, is asked for what is missing: not at all if the kind is urgent, until the own
// first read had its time if the replica holds nothing and the instance is near, and else as
// long as a push may take. That is longer while a watcher of the own region may be about to
// push, for which a watcher does not wait: its own watch would have told it.
func (g *Gateway) requestDelay(now time.Time, kind feed.Kind, held, near bool) time.Duration {
	switch {
	case isUrgent(kind):
		return 0
	case near && !held && g.config.FirstStart:
		return 0
	case near && !held:
		return max(0, firstReadTime-now.Sub(g.startedAt))
	case near || g.watch.isWatching():
		return localRequestDelay
	default:
		return remoteRequestDelay
	}
}

// sendDeltaRequest asks an instance that is ahead with a kind for the changes since the own revision, if
// it is time. The caller holds mu.
func (g *Gateway) sendDeltaRequest(now time.Time, kind feed.Kind) {
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
	g.mesh.Send(addr, &peer.DeltaRequest{Kind: kind, Position: at, Digest: g.replicas[kind].Digest(), ReplyTo: g.view.Self().PeerAddr})
}
