package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// readyWaitDivisor is the ratio of the client's timeout to the time that a request may wait
// for an instance that has just started. The wait is about the same as the longest wait for a
// target, which is an eighth of the latency objective: the timeouts of clients are six to ten
// times the objective.
const readyWaitDivisor = 64

// readiness records whether the instance can serve. It needs a configuration and the targets.
// If the configuration has limits of client accounts that instances own, it also needs the list
// of instances. If rollouts are enabled, it also needs the rollout orders. Without them, an
// instance that has just started would send a new version more requests than its rollout allows.
type readiness struct {
	targetsLoaded, instancesLoaded, rolloutsLoaded atomic.Bool

	once sync.Once
	// reached is closed once the instance is ready.
	reached chan struct{}
}

// isReady reports whether the instance can serve.
func (g *Gateway) isReady() bool {
	router := g.router.Load()
	return router != nil && g.readiness.targetsLoaded.Load() && g.knowsOwners(router) &&
		(!g.config.rolloutsEnabled() || g.readiness.rolloutsLoaded.Load())
}

// setRolloutsLoaded records that the instance knows all rollout orders that exist, which may be
// none.
func (g *Gateway) setRolloutsLoaded() {
	if !g.readiness.rolloutsLoaded.Swap(true) {
		g.signalReady()
	}
}

// signalReady releases the requests that wait in awaitReady, if the instance is ready.
func (g *Gateway) signalReady() {
	if g.isReady() {
		g.readiness.once.Do(func() { close(g.readiness.reached) })
	}
}

// awaitReady blocks a request until the instance is ready, for at most a small fraction of the
// client's timeout. An instance is ready within a second of its start, while a refusal
// would force the client to send its request again.
func (g *Gateway) awaitReady(ctx context.Context, clientWaits time.Duration) {
	if g.isReady() {
		return
	}
	timer := time.NewTimer(clientWaits / readyWaitDivisor)
	defer timer.Stop()
	select {
	case <-g.readiness.reached:
	case <-timer.C:
	case <-ctx.Done():
	}
}
