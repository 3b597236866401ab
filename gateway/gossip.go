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
	// introduceFor is the time after its start during which an instance includes its own
	// member record in all its gossip. introduceEvery is the number of rounds from one such
	// message to the next after that time. By then most instances know the member from the
	// store or from earlier messages, except for those that were partitioned.
	introduceFor   = 10 * time.Second
	introduceEvery = 8
	// maxTargetReports bounds the reports of overloaded targets in a message, to 150 bytes,
	// which is less than a fifth of the message.
	maxTargetReports = 24
	// heartbeatsExpectedAfter is the time after its start from which an instance expects
	// heartbeats of all others. By then each of them has sent it several messages.
	heartbeatsExpectedAfter = 4 * fleet.RoundTime
	// pauseThreshold is the pause of the process, frozen or suspended, after which its next
	// round of gossip goes to all instances, to learn what it has missed. The other instances
	// suspect it by then.
	pauseThreshold = 4 * fleet.RoundTime
	// reconnectInterval is the least time between two reconnections to an instance that does
	// not receive the messages of this one. Messages over the new connection need this time
	// to take effect.
	reconnectInterval = time.Second
)

// gossipLoop sends a round of gossip every fleet.RoundTime. The messages carry heartbeats of the
// fleet and the positions of this instance's replicas.
func (g *Gateway) gossipLoop(ctx context.Context) {
	ticker := time.NewTicker(fleet.RoundTime)
	defer ticker.Stop()
	last, suspended := g.clock.Now(), g.clock.Suspended()
	for {
		now := g.clock.Now()
		paused := now.Sub(last) >= pauseThreshold
		if paused {
			g.log.Warn(logProcessPaused, "for_ms", now.Sub(last).Milliseconds(), "suspended_ms", (g.clock.Suspended() - suspended).Milliseconds())
		}
		g.gossip(now, paused)
		last, suspended = now, g.clock.Suspended()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// gossip sends one round of gossip: to all members that are alive or stopping if wide is set, and
// otherwise to the partners of this round. If there are none, it goes to the seeds.
func (g *Gateway) gossip(now time.Time, wide bool) {
	g.updateEra()
	g.mu.Lock()
	defer g.mu.Unlock()
	watches := g.shouldWatch(now)
	g.watch.setWatching(watches)
	g.logMemberChanges(now, watches)
	if g.watch.cancelOutdated(now, watches) && g.watch.setStoreUnreachable(true) {
		g.log.Warn(logStoreLost, "error", "other instances receive changes that the watch of this instance does not return")
	}
	g.view.SetFlags(g.flags())
	g.view.AdvanceHeartbeat(now)
	g.updateLostMembers(now)
	g.gossipRounds++
	partners := g.partners(now, wide)
	settled := now.Sub(g.startedAt) >= heartbeatsExpectedAfter
	busy := g.pools.targetReports(now, g.reach.provenIn).Sample(maxTargetReports, g.rand)
	for _, m := range partners {
		message := g.gossipMessage(now, m.Region)
		if m.Region == g.config.Region {
			message.Overloaded = busy
			g.metrics.reports(reportSent, busy)
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

// probeMembers sends probes to members without recent heartbeats. If a member did not reply to
// the previous probe, both directions are reconnected instead, because the open connections may
// drop all packets without an error while the member is alive. The caller holds mu.
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

// gossipMessage returns the gossip for an instance of the given region. The caller holds mu.
func (g *Gateway) gossipMessage(now time.Time, region string) *peer.Gossip {
	m := newGossip(g.view.HeartbeatsFor(now, region))
	m.Positions = make([]feed.Position, 0, len(g.kinds))
	m.QuarantineChecksum, m.DeparturesChecksum, m.LimitsChecksum = g.quarantineChecksum(), g.departures.checksum(now), g.targetLimits.checksum(now)
	for _, kind := range g.kinds {
		m.Positions = append(m.Positions, g.replicas[kind].Position())
	}
	m.Fresh = g.freshKinds(now, region == g.config.Region)
	if g.gossipRounds%checksumEvery == 0 {
		m.Checksum = g.checksum(g.gossipRounds / checksumEvery)
	}
	if now.Sub(g.startedAt) < introduceFor || g.gossipRounds%introduceEvery == 0 {
		self := g.view.Self()
		m.Member = &self
	}
	return m
}

// newGossip returns a message with the given heartbeats.
func newGossip(heartbeats fleet.Heartbeats) *peer.Gossip {
	return &peer.Gossip{Heartbeats: heartbeats, TargetsLost: heartbeats.With(fleet.TargetsLost), HallsLost: flagged(heartbeats, fleet.HallsLost),
		OverloadedInstances: flagged(heartbeats, fleet.Overloaded)}
}

// flags returns the flags for the heartbeat of this instance.
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
	if g.reach.wasLostRecently(g.clock.Now()) {
		flags |= fleet.TargetsLost
	}
	if g.overloaded.Load() {
		flags |= fleet.Overloaded
	}
	if g.reach.hasLostHalls() {
		flags |= fleet.HallsLost
	}
	return flags
}

// partners returns the members that a round of gossip goes to: all others that are alive or
// stopping if wide is set, and otherwise those that the view chooses. The caller holds mu.
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

// answerProbe replies to a probe with a new heartbeat of this instance. If the sender does not
// receive the messages of this instance, it also reconnects.
func (g *Gateway) answerProbe(m *peer.Probe) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetFlags(g.flags())
	g.view.AdvanceHeartbeat(g.clock.Now())
	if m.Reconnect {
		g.reconnectTo(g.clock.Now(), m.ReplyTo)
	}
	reply := newGossip(fleet.Heartbeats{g.view.OwnHeartbeat()})
	reply.Reply = true
	g.mesh.Send(m.ReplyTo, reply)
}

// reconnectTo replaces the connection to an instance that reports that it does not receive the
// messages of this one. The open connection may drop all packets without an error on this side,
// if something on the path still acknowledges them. Only the receiver can detect this. Without its
// report, an instance whose incoming connections have failed in this way would receive nothing
// for as long as it runs, see TestReconnectsAfterSilentConnections. The caller holds mu.
func (g *Gateway) reconnectTo(now time.Time, addr string) {
	if now.Sub(g.reconnectedAt[addr]) < reconnectInterval {
		return
	}
	g.reconnectedAt[addr] = now
	g.mesh.Reconnect(addr)
	g.log.Info(logNotReceivedByPeer, "addr", addr)
}

// Unreachable implements peer.Receiver. Addr is the peer address of an instance to which no
// connection can be opened.
func (g *Gateway) Unreachable(addr string) {
	g.markRefused(addr)
	g.accountPermits.ownerUnreachable(addr)
	g.pools.ownerUnreachable(g.clock.Now(), g.targetLimitOwner.instanceAt(addr))
}

// receivePermitRequest handles a request for permits under the limit of a client account or of a
// target.
func (g *Gateway) receivePermitRequest(m *peer.PermitRequest) {
	if m.ForTarget {
		g.receiveTargetPermitRequest(m)
		return
	}
	g.accountPermits.receiveRequest(m)
}

// receivePermitGrant handles the reply to a permit request.
func (g *Gateway) receivePermitGrant(m *peer.PermitGrant) {
	if m.ForTarget {
		g.receiveTargetPermitGrant(m)
		return
	}
	g.accountPermits.receiveGrant(m)
}

// markRefused records that a connection to a peer address was refused.
func (g *Gateway) markRefused(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.MarkRefused(g.clock.Now(), addr)
}

// receiveGossip applies gossip. It sends the delta requests that are due. If the sender is behind
// in a way that comparePositions reports, or lacks other news, it replies with its own positions,
// and the sender sends delta requests. It does not reply to a reply.
func (g *Gateway) receiveGossip(m *peer.Gossip) {
	if len(m.Heartbeats) == 0 {
		return
	}
	now := g.clock.Now()
	g.recordContact(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.view.Len()
	m.Heartbeats.SetFlag(fleet.TargetsLost, m.TargetsLost)
	m.Heartbeats.SetFlag(fleet.Overloaded, m.OverloadedInstances)
	m.Heartbeats.SetFlag(fleet.HallsLost, m.HallsLost)
	if m.Member != nil {
		g.view.Add(*m.Member)
	}
	g.view.MergeHeartbeats(now, m.Heartbeats)
	g.metrics.reports(reportReceived, m.Overloaded)
	g.pools.applyTargetReports(now, m.Overloaded)
	g.relayBroadcast(now, m)
	g.receiveQuarantine(now, m.Quarantine)
	g.receiveDepartures(now, m.Departures)
	g.receiveLimits(now, m.Limits)
	g.receiveStages(now, m.Stages)
	g.receiveVerdicts(now, m.Verdicts)
	if g.view.Len() != known {
		g.updateInstanceShares(now)
	}
	sender, ok := g.view.Member(m.Heartbeats[0].Member)
	if !ok {
		// The sender will soon include its member record, see introduceEvery.
		return
	}
	if m.NotReceiving {
		g.reconnectTo(now, sender.PeerAddr)
	}
	g.compareChecksum(sender, m)
	ahead := g.comparePositions(now, sender, m)
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

// comparePositions compares the positions of the sender's replicas with those of this instance. It
// registers the sender as a source for the kinds in which it is ahead. It reports whether this
// instance is ahead in a kind for which the sender needs a reply: an urgent one, or one that the
// sender lacks altogether. If a sender of the own region has the same rollout orders, they count as
// loaded. The caller holds mu.
func (g *Gateway) comparePositions(now time.Time, sender fleet.Member, m *peer.Gossip) (ahead bool) {
	for i, kind := range g.kinds {
		if i >= len(m.Positions) {
			break
		}
		at := g.replicas[kind].Position()
		if kind == KindRollouts && m.Positions[i] == at && sender.Region == g.config.Region {
			g.setRolloutsLoaded()
		}
		switch position := m.Positions[i]; {
		case position.After(at):
			after := g.requestDelay(now, kind, !at.IsZero(), sender.Region == g.config.Region, m.Fresh&(1<<i) != 0)
			g.catchUp[kind].AddSource(now, at, feed.Source{Addr: sender.PeerAddr, Position: position, Delay: after})
		case at.After(position) && (position.IsZero() || isUrgent(kind)):
			ahead = true
		}
	}
	return ahead
}
