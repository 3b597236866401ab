package gateway

import (
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/rollout"
)

// meanObjections is the expected number of instances that reply to a leader's stage with a verdict. In
// a small fleet all instances that know the verdict reply.
const meanObjections = 16

// objectToStage sends the verdict of a rollout to a leader that announces a stage without knowing it. A
// leader that has started after the store lost the verdict would begin the rollout anew. The caller holds
// mu of the gateway and of the rollout.
func (g *Gateway) objectToStage(r *serviceRollout, stage rollout.Stage) {
	verdict, known := r.follower.KnownVerdict()
	ownStage := stage.Leader == g.view.Self().PeerAddr
	if !known || stage.Order != verdict.Order || ownStage {
		return
	}
	if g.rand.Float64()*float64(g.view.Len()) > meanObjections {
		return
	}
	objection := newGossip(fleet.Heartbeats{g.view.OwnHeartbeat()})
	objection.Verdicts, objection.Reply = []rollout.Verdict{verdict}, true
	g.mesh.Send(stage.Leader, objection)
}

// receiveVerdicts adopts verdicts of rollouts that other instances know.
func (g *Gateway) receiveVerdicts(now time.Time, verdicts []rollout.Verdict) {
	for _, verdict := range verdicts {
		for _, r := range g.rollouts.all() {
			if r.handleVerdict(verdict) {
				g.applySplit(now, r)
				order := r.order()
				g.log.Warn(logRolloutVerdict, "service", order.Service, "version", order.Version, "state", verdict.State)
			}
		}
	}
}

func (r *serviceRollout) handleVerdict(v rollout.Verdict) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.HandleVerdict(v)
}
