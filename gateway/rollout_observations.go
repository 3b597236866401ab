package gateway

import (
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/upstream"
)

// recordSent counts a request that is sent to a target during a rollout of its service.
func (p *pool) recordSent(d upstream.Decision) {
	r := p.rollout.Load()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOngoing() {
		r.follower.RecordSent(d.SendState.NewVersion)
	}
}

// recordObservation records the outcome of an attempt for the canary analysis of its service's
// rollout.
func (g *Gateway) recordObservation(ex *exchange, p *pool, request upstream.Request, d upstream.Decision, a forward.Attempt) {
	r := p.rollout.Load()
	if r == nil {
		return
	}
	g.metrics.rolloutAttempt(ex.service, d.SendState.NewVersion, a.TargetResult)
	outcome, conclusive := rolloutOutcome(a.TargetResult)
	if !conclusive {
		return
	}
	o := rollout.Observation{
		Route:   uint16(mix.Hash(ex.route.Name)),
		Key:     uint32(mix.Hash(request.Key)),
		Target:  uint32(mix.Hash(d.Target.ID)),
		Latency: rollout.BucketOf(a.TargetResult.Latency),
		Outcome: outcome,
		Cold:    d.Target.Cold,
	}
	if outcome != rollout.Unanswered {
		r.observe(d.SendState.NewVersion, o)
		return
	}
	// The links of this instance may be what failed.
	g.reach.verifyIn(d.Target, reach.Soon, func(reached bool) {
		if reached {
			r.observe(d.SendState.NewVersion, o)
		}
	})
}

// observe records an observation if the rollout is ongoing.
func (r *serviceRollout) observe(isNew bool, o rollout.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.isOngoing():
	case isNew:
		r.follower.RecordNew(o)
	default:
		r.follower.RecordOld(o)
	}
}

// rolloutOutcome returns what an attempt shows about the version of its target. It returns false if
// the attempt shows nothing: the target was full or unreachable, or the client disconnected.
func rolloutOutcome(r upstream.Result) (rollout.Outcome, bool) {
	if r.Outpaced && !r.NotSent {
		// The response would have taken longer still. Without this observation, a slow version would
		// look as fast as its fastest responses.
		return rollout.Answered, true
	}
	switch r.Outcome {
	case upstream.Answered:
		if r.ServerError {
			return rollout.Failed, true
		}
		return rollout.Answered, true
	case upstream.TimedOut, upstream.Broken:
		return rollout.Unanswered, true
	default:
		return 0, false
	}
}
