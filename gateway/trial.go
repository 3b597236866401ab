package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// trialReplyTimeout is how long a coordinator may take to reply to a trial request. The round
	// trip to another region takes up to 120 ms.
	trialReplyTimeout = 250 * time.Millisecond
	// unresponsiveTime is how long a coordinator that did not reply is skipped.
	unresponsiveTime = 2 * time.Second
)

// trialReply is a coordinator's reply to a trial request.
type trialReply struct {
	granted bool
	// retryAfter is the time until the next request makes sense.
	retryAfter time.Duration
}

// pendingTrial is a trial request that waits for the reply with its number.
type pendingTrial struct {
	number uint64
	reply  chan trialReply
}

// trialHolder identifies one trial of an instance to the coordinator.
func trialHolder(instance string, number uint64) string {
	return instance + " " + strconv.FormatUint(number, 16)
}

// acquireTrial requests a trial for a suspect request or a flagged account from its coordinator. If
// the trial is not granted, it returns the time at which to request it again. At most one request
// per digest is pending.
func (g *Gateway) acquireTrial(ex *exchange, d quarantine.Digest) (granted bool, retryAt time.Time) {
	now := g.clock.Now()
	status, _ := g.quarantine.status(now, d)
	coordinator := g.coordinatorFor(now, d, status.FailedTrials > 0)
	ex.coordinator, ex.trialNumber = coordinator, rand.Uint64()
	until := ex.deadline.Add(lateResponseMargin)
	if coordinator.Name == g.config.Name {
		g.quarantine.mu.Lock()
		defer g.quarantine.mu.Unlock()
		return g.quarantine.coordinator.Acquire(now, &g.quarantine.table, d, trialHolder(g.config.Name, ex.trialNumber), until)
	}
	wait := make(chan trialReply, 1)
	g.quarantine.mu.Lock()
	if _, pending := g.quarantine.pendingTrials[d]; pending {
		g.quarantine.mu.Unlock()
		return false, now.Add(defaultRetryAfter)
	}
	g.quarantine.pendingTrials[d] = pendingTrial{number: ex.trialNumber, reply: wait}
	updates := g.quarantine.table.Updates(now, d)
	g.quarantine.mu.Unlock()
	defer g.endTrialRequest(d)
	g.mesh.Send(coordinator.PeerAddr, &peer.TrialRequest{Digest: d, From: g.config.Name, ReplyTo: g.view.Self().PeerAddr, Number: ex.trialNumber, Timeout: until.Sub(now), Updates: updates})
	select {
	case reply := <-wait:
		return reply.granted, now.Add(reply.retryAfter)
	case <-ex.ctx.Done():
	case <-time.After(trialReplyTimeout):
		g.markUnresponsive(coordinator.Name)
		g.mesh.ReconnectBoth(coordinator.PeerAddr)
	}
	return false, now.Add(defaultRetryAfter)
}

func (g *Gateway) endTrialRequest(d quarantine.Digest) {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	delete(g.quarantine.pendingTrials, d)
}

func (g *Gateway) markUnresponsive(name string) {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.unresponsive[name] = g.clock.Now().Add(unresponsiveTime)
}

// coordinatorFor returns the instance that grants the trials of a digest. It is chosen from the
// listed instances and this one.
//
// For the first trial, unavailable instances are skipped, since a first trial usually frees an
// innocent request. After a failed trial they are not skipped: otherwise each side of a network
// partition would have its own coordinator and send the request again, while at most three sends
// may follow the third crash.
func (g *Gateway) coordinatorFor(now time.Time, d quarantine.Digest, hasFailed bool) fleet.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	unavailable := make(map[string]bool)
	if !hasFailed {
		unavailable = g.unavailableInstances(now)
	}
	names := []string{g.config.Name}
	for name := range g.registered {
		if name != g.config.Name && !unavailable[name] {
			names = append(names, name)
		}
	}
	name := quarantine.CoordinatorFor(d, names)
	if name == g.config.Name {
		return g.view.Self()
	}
	return g.registered[name]
}

// unavailableInstances returns the instances that are suspected or stopping, or did not reply as
// coordinators recently. The caller holds mu.
func (g *Gateway) unavailableInstances(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, s := range g.view.Others(now) {
		if s.State == fleet.Suspect || s.State == fleet.Stopping {
			out[s.Name] = true
		}
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	for name, until := range g.quarantine.unresponsive {
		if now.Before(until) {
			out[name] = true
		}
	}
	return out
}

// endTrial reports the end of a trial to its coordinator. It does not report an interrupted trial.
// That trial stays open at the coordinator until the crash of its target is confirmed or its time
// is over, since whether another trial may start depends on it.
func (g *Gateway) endTrial(ex *exchange) {
	if !ex.isTrial() || ex.interrupted {
		return
	}
	if ex.coordinator.Name != g.config.Name {
		g.mesh.Send(ex.coordinator.PeerAddr, &peer.TrialRequest{Digest: ex.trial, From: g.config.Name, Number: ex.trialNumber, Done: true, Answered: ex.answered})
		return
	}
	g.releaseTrial(ex.trial, trialHolder(g.config.Name, ex.trialNumber), ex.answered)
}

// isTrial reports whether the request is sent as a trial.
func (ex *exchange) isTrial() bool { return ex.trial != quarantine.Digest{} }

// releaseTrial records, at the coordinator, the end of a trial that did not crash its target. An
// account is released after several answered trials in a row.
func (g *Gateway) releaseTrial(d quarantine.Digest, holder string, answered bool) {
	now := g.clock.Now()
	g.quarantine.mu.Lock()
	released := g.quarantine.coordinator.Release(&g.quarantine.table, now, d, holder, answered)
	g.quarantine.mu.Unlock()
	if !released {
		return
	}
	g.log.Info(logAccountReleased, "content", d.String())
	g.broadcastQuarantine(now, d)
	g.storeRelease(d)
}

// receiveTrialRequest handles another instance's trial request as the coordinator.
func (g *Gateway) receiveTrialRequest(m *peer.TrialRequest) {
	holder := trialHolder(m.From, m.Number)
	if m.Done {
		g.releaseTrial(m.Digest, holder, m.Answered)
		return
	}
	now := g.clock.Now()
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.table.Merge(now, m.Updates)
	g.quarantine.updateNonEmpty()
	granted, retryAt := g.quarantine.coordinator.Acquire(now, &g.quarantine.table, m.Digest, holder, now.Add(m.Timeout))
	reply := &peer.TrialReply{Digest: m.Digest, Number: m.Number, Granted: granted}
	if !granted {
		reply.RetryAfter = retryAt.Sub(now)
	}
	g.mesh.Send(m.ReplyTo, reply)
}

// receiveTrialReply handles a coordinator's reply. A late one to an earlier request does not count.
func (g *Gateway) receiveTrialReply(m *peer.TrialReply) {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	pending, ok := g.quarantine.pendingTrials[m.Digest]
	if !ok || pending.number != m.Number {
		return
	}
	select {
	case pending.reply <- trialReply{granted: m.Granted, retryAfter: m.RetryAfter}:
	default:
	}
}
