package gateway

import (
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// trialReplyTimeout is how long the warden of a request may take to answer whether it may
	// be tried: the way to another region and back takes up to 120 ms.
	trialReplyTimeout = 250 * time.Millisecond
	// unresponsiveTime is how long a warden that did not answer is passed over.
	unresponsiveTime = 2 * time.Second
)

// trialReply is the answer of a warden.
type trialReply struct {
	granted bool
	// retryAfter is when to ask again.
	retryAfter time.Duration
}

// acquireTrial asks the warden of a suspect request, or of a flagged account, whether a request may be
// sent now. If not, it returns when to come back. One question of each is open at a time.
func (g *Gateway) acquireTrial(ex *exchange, d quarantine.Digest) (granted bool, next time.Time) {
	now := g.clock.Now()
	standing, _ := g.quarantine.status(now, d)
	warden := g.coordinatorFor(now, d, standing.FailedTrials > 0)
	ex.coordinator = warden
	until := ex.deadline.Add(lateResponseMargin)
	if warden.Name == g.config.Name {
		g.quarantine.mu.Lock()
		defer g.quarantine.mu.Unlock()
		return g.quarantine.coordinator.Acquire(now, &g.quarantine.table, d, g.config.Name, until)
	}
	wait := make(chan trialReply, 1)
	g.quarantine.mu.Lock()
	if g.quarantine.pendingTrials[d] != nil {
		g.quarantine.mu.Unlock()
		return false, now.Add(defaultRetryAfter)
	}
	g.quarantine.pendingTrials[d] = wait
	news := g.quarantine.table.Updates(now, d)
	g.quarantine.mu.Unlock()
	defer g.endTrialRequest(d)
	g.mesh.Send(warden.PeerAddr, &peer.TrialRequest{Digest: d, From: g.config.Name, ReplyTo: g.view.Self().PeerAddr, Timeout: until.Sub(now), Updates: news})
	select {
	case answer := <-wait:
		return answer.granted, now.Add(answer.retryAfter)
	case <-ex.ctx.Done():
	case <-time.After(trialReplyTimeout):
		g.markUnresponsive(warden.Name)
		g.mesh.ReconnectBoth(warden.PeerAddr)
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

// coordinatorFor returns the instance that grants the trials of a request: one of those that the
// store lists, this one if there are none. Those that are known to be away are passed over
// for the first trial, which most often frees an innocent request. After a failed one they are
// not: parts of the fleet that are cut off from each other would each send the request again,
// and three sends are all that may follow the third end.
func (g *Gateway) coordinatorFor(now time.Time, d quarantine.Digest, hasFailed bool) fleet.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	away := make(map[string]bool)
	if !hasFailed {
		away = g.unavailableInstances(now)
	}
	names := []string{g.config.Name}
	for name := range g.registered {
		if name != g.config.Name && !away[name] {
			names = append(names, name)
		}
	}
	name := quarantine.CoordinatorFor(d, names)
	if name == g.config.Name {
		return g.view.Self()
	}
	return g.registered[name]
}

// unavailableInstances returns the instances that are not alive, or did not answer as wardens of late. The
// caller holds mu.
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

// endTrial tells the warden of a trial that it has ended. One that was broken off goes on for
// the warden until the end of its target is known, or its time is over: what another trial
// may cost depends on it.
func (g *Gateway) endTrial(ex *exchange) {
	if !ex.isTrial() || ex.interrupted {
		return
	}
	if ex.coordinator.Name != g.config.Name {
		g.mesh.Send(ex.coordinator.PeerAddr, &peer.TrialRequest{Digest: ex.trial, From: g.config.Name, Done: true, Answered: ex.answered})
		return
	}
	g.releaseTrial(ex.trial, g.config.Name, ex.answered)
}

// isTrial tells whether the request is a trial.
func (ex *exchange) isTrial() bool { return ex.trial != quarantine.Digest{} }

// releaseTrial takes in, as the warden, that a trial has ended that did not end its target. An
// account is free after some that were answered one after the other.
func (g *Gateway) releaseTrial(d quarantine.Digest, from string, answered bool) {
	now := g.clock.Now()
	g.quarantine.mu.Lock()
	acquitted := g.quarantine.coordinator.Release(&g.quarantine.table, now, d, from, answered)
	g.quarantine.mu.Unlock()
	if !acquitted {
		return
	}
	g.log.Info(logAccountReleased, "content", d.String())
	g.broadcastQuarantine(now, d)
	g.storeRelease(d)
}

// receiveTrialRequest answers another instance as the warden of a request.
func (g *Gateway) receiveTrialRequest(m *peer.TrialRequest) {
	if m.Done {
		g.releaseTrial(m.Digest, m.From, m.Answered)
		return
	}
	now := g.clock.Now()
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.table.Merge(now, m.Updates)
	g.quarantine.updateNonEmpty()
	granted, next := g.quarantine.coordinator.Acquire(now, &g.quarantine.table, m.Digest, m.From, now.Add(m.Timeout))
	answer := &peer.TrialReply{Digest: m.Digest, Granted: granted}
	if !granted {
		answer.RetryAfter = next.Sub(now)
	}
	g.mesh.Send(m.ReplyTo, answer)
}

// receiveTrialReply takes in the answer of a warden.
func (g *Gateway) receiveTrialReply(m *peer.TrialReply) {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	wait := g.quarantine.pendingTrials[m.Digest]
	if wait == nil {
		return
	}
	select {
	case wait <- trialReply{granted: m.Granted, retryAfter: m.RetryAfter}:
	default:
	}
}
