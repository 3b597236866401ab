package gateway

import (
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

const (
	// trialPatience is how long the warden of a request may take to answer whether it may
	// be tried: the way to another region and back takes up to 120 ms.
	trialPatience = 250 * time.Millisecond
	// silentFor is how long a warden that did not answer is passed over.
	silentFor = 2 * time.Second
)

// trialAnswer is the answer of a warden.
type trialAnswer struct {
	granted bool
	// wait is when to ask again.
	wait time.Duration
}

// askTrial asks the warden of a suspect request, or of a flagged account, whether a request may be
// sent now. If not, it returns when to come back. One question of each is open at a time.
func (g *Gateway) askTrial(ex *exchange, d quarantine.Digest) (granted bool, next time.Time) {
	now := g.clock.Now()
	standing, _ := g.holds.standing(now, d)
	warden := g.wardenOf(now, d, standing.FailedTrials > 0)
	ex.warden = warden
	until := ex.deadline.Add(lateMargin)
	if warden.Name == g.config.Name {
		g.holds.mu.Lock()
		defer g.holds.mu.Unlock()
		return g.holds.warden.Acquire(now, &g.holds.table, d, g.config.Name, until)
	}
	wait := make(chan trialAnswer, 1)
	g.holds.mu.Lock()
	if g.holds.trials[d] != nil {
		g.holds.mu.Unlock()
		return false, now.Add(defaultRetryAfter)
	}
	g.holds.trials[d] = wait
	news := g.holds.table.Updates(now, d)
	g.holds.mu.Unlock()
	defer g.endQuestion(d)
	g.mesh.Send(warden.PeerAddr, &peer.TrialRequest{Digest: d, From: g.config.Name, ReplyTo: g.view.Self().PeerAddr, Timeout: until.Sub(now), Updates: news})
	select {
	case answer := <-wait:
		return answer.granted, now.Add(answer.wait)
	case <-ex.ctx.Done():
	case <-time.After(trialPatience):
		g.passOver(warden.Name)
		g.mesh.ReconnectBoth(warden.PeerAddr)
	}
	return false, now.Add(defaultRetryAfter)
}

func (g *Gateway) endQuestion(d quarantine.Digest) {
	g.holds.mu.Lock()
	defer g.holds.mu.Unlock()
	delete(g.holds.trials, d)
}

func (g *Gateway) passOver(name string) {
	g.holds.mu.Lock()
	defer g.holds.mu.Unlock()
	g.holds.silent[name] = g.clock.Now().Add(silentFor)
}

// wardenOf returns the instance that grants the trials of a request: one of those that the
// store lists, this one if there are none. Those that are known to be away are passed over
// for the first trial, which most often frees an innocent request. After a failed one they are
// not: parts of the fleet that are cut off from each other would each send the request again,
// and three sends are all that may follow the third end.
func (g *Gateway) wardenOf(now time.Time, d quarantine.Digest, hasFailed bool) fleet.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	away := make(map[string]bool)
	if !hasFailed {
		away = g.away(now)
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

// away returns the instances that are not alive, or did not answer as wardens of late. The
// caller holds mu.
func (g *Gateway) away(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, s := range g.view.Others(now) {
		if s.State == fleet.Suspect || s.State == fleet.Stopping {
			out[s.Name] = true
		}
	}
	g.holds.mu.Lock()
	defer g.holds.mu.Unlock()
	for name, until := range g.holds.silent {
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
	if !ex.isTrial() || ex.broken {
		return
	}
	if ex.warden.Name != g.config.Name {
		g.mesh.Send(ex.warden.PeerAddr, &peer.TrialRequest{Digest: ex.trial, From: g.config.Name, Done: true, Answered: ex.answered})
		return
	}
	g.trialDone(ex.trial, g.config.Name, ex.answered)
}

// isTrial tells whether the request is a trial.
func (ex *exchange) isTrial() bool { return ex.trial != quarantine.Digest{} }

// trialDone takes in, as the warden, that a trial has ended that did not end its target. An
// account is free after some that were answered one after the other.
func (g *Gateway) trialDone(d quarantine.Digest, from string, answered bool) {
	now := g.clock.Now()
	g.holds.mu.Lock()
	acquitted := g.holds.warden.Release(&g.holds.table, now, d, from, answered)
	g.holds.mu.Unlock()
	if !acquitted {
		return
	}
	g.log.Info(logAccountFreed, "content", d.String())
	g.tell(now, d)
	g.keepRelease(d)
}

// receiveTrialAsk answers another instance as the warden of a request.
func (g *Gateway) receiveTrialAsk(m *peer.TrialRequest) {
	if m.Done {
		g.trialDone(m.Digest, m.From, m.Answered)
		return
	}
	now := g.clock.Now()
	g.holds.mu.Lock()
	defer g.holds.mu.Unlock()
	g.holds.table.Merge(now, m.Updates)
	g.holds.note()
	granted, next := g.holds.warden.Acquire(now, &g.holds.table, m.Digest, m.From, now.Add(m.Timeout))
	answer := &peer.TrialReply{Digest: m.Digest, Granted: granted}
	if !granted {
		answer.RetryAfter = next.Sub(now)
	}
	g.mesh.Send(m.ReplyTo, answer)
}

// receiveTrialAnswer takes in the answer of a warden.
func (g *Gateway) receiveTrialAnswer(m *peer.TrialReply) {
	g.holds.mu.Lock()
	defer g.holds.mu.Unlock()
	wait := g.holds.trials[m.Digest]
	if wait == nil {
		return
	}
	select {
	case wait <- trialAnswer{granted: m.Granted, wait: m.RetryAfter}:
	default:
	}
}
