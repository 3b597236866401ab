package gateway

import (
	"sync"
	"time"

	"github.com/rainford/rainford/upstream"
)

const (
	// maxTargetChecks bounds the targets that are checked at the same time. Where more targets are
	// silent, the links of this instance are more likely to be the cause, and package reach checks these.
	maxTargetChecks = 16
	// targetCheckTries is the number of connections that have to fail, begun targetCheckStagger apart. The
	// first packet of one may be lost, and is sent again only after a second.
	targetCheckTries   = 2
	targetCheckStagger = 150 * time.Millisecond
	// maxCheckDelay is how much later than checkTimeout a connection may fail. If it fails later, the
	// process did not run, and the connection may have been established in time.
	maxCheckDelay = 100 * time.Millisecond
)

// targetChecks holds the IDs of the targets that are being checked. It is safe for concurrent use.
type targetChecks struct {
	mu      sync.Mutex
	running map[string]bool
}

// start reports whether a target may be checked now. The caller must call end after a result of true.
func (c *targetChecks) start(target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[string]bool)
	}
	if len(c.running) >= maxTargetChecks || c.running[target] {
		return false
	}
	c.running[target] = true
	return true
}

func (c *targetChecks) end(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, target)
}

// checkTarget opens a connection to a target that has not responded for longer than usual. A target that is
// only slow accepts it. If no connection can be established, this is recorded like the failure of a request
// to connect, so that later requests, also those of other instances, go elsewhere. Without it each instance
// would learn only from several requests of its own that nothing comes back from the target. The result is
// false if the target is known to be unreachable.
func (g *Gateway) checkTarget(p *pool, target upstream.Choice) bool {
	switch {
	case p.isUnreachable(target.ID):
		return false
	case p.isSuspected(target.ID) || g.reach.isHallLost(target.Hall) || !g.targetChecks.start(target.ID):
		return true
	}
	defer g.targetChecks.end(target.ID)
	if g.accepts(target) {
		return true
	}
	g.reach.targetUnreachable(target)
	p.recordUnreachable(target.ID)
	g.targets.CloseIdleTo(target.ID, target.Addr)
	g.metrics.silentTargets.Add(1, target.Hall)
	return false
}

// accepts reports whether one of several connections to a target can be established. It also reports true if
// this can't be told, since the process did not run.
func (g *Gateway) accepts(target upstream.Choice) bool {
	results := make(chan bool, targetCheckTries)
	for i := range targetCheckTries {
		time.AfterFunc(time.Duration(i)*targetCheckStagger, func() {
			startedAt := g.clock.Now()
			err := g.targets.Preconnect(target.ID, target.Addr, checkTimeout)
			results <- err == nil || g.clock.Since(startedAt) > checkTimeout+maxCheckDelay
		})
	}
	for range targetCheckTries {
		if <-results {
			return true
		}
	}
	return false
}
