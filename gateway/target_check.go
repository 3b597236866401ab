package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/upstream"
)

const (
	// maxTargetChecks bounds the targets that are checked at the same time. Where more targets are
	// silent, the links of this instance are more likely to be the cause, and package reach checks these.
	maxTargetChecks = 16
	// maxCheckDelay is how much later than checkTimeout a check may end. If it ends later, the process
	// did not run, and a connection may have been established in time.
	maxCheckDelay = 100 * time.Millisecond
)

// targetChecks counts the checks of targets that are under way.
type targetChecks struct{ running atomic.Int32 }

// checkTarget opens a connection to a target that has not responded for longer than usual. A target that is
// only slow accepts it. If the connection can't be established, this is recorded like the failure of a request
// to connect, so that later requests, also those of other instances, go elsewhere. Without it each instance
// would learn only from several requests of its own that nothing comes back from the target. The result is
// false if the target is unreachable.
func (g *Gateway) checkTarget(p *pool, target upstream.Choice) bool {
	defer g.targetChecks.running.Add(-1)
	if g.targetChecks.running.Add(1) > maxTargetChecks || g.reach.isHallLost(target.Hall) || p.isSuspected(target.ID) {
		return true
	}
	startedAt := g.clock.Now()
	err := g.targets.Preconnect(target.ID, target.Addr, checkTimeout)
	now := g.clock.Now()
	if err == nil || now.Sub(startedAt) > checkTimeout+maxCheckDelay {
		return true
	}
	p.recordUnreachable(target.ID)
	g.targets.CloseIdleTo(target.ID, target.Addr)
	g.reach.targetUnreachable(target)
	g.metrics.silentTargets.Add(1, target.Hall)
	return false
}
