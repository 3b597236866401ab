package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// readyWaitDivisor is the part of the time that a client waits for which a request may wait for
// an instance that has just started. It is about what a request waits for a target at most:
// an eighth of an objective, of which the clients of the sites wait six to ten.
const readyWaitDivisor = 64

// readiness tells when the instance can serve: once it has a configuration and knows the
// targets, and the instances too where these own the limits of accounts, and the orders where new
// versions are brought in by order: targets of a version that is to get few requests must not get
// more from an instance that has just started.
type readiness struct {
	targetsLoaded, instancesLoaded, rolloutsLoaded atomic.Bool

	once sync.Once
	// reached is closed when the instance is ready.
	reached chan struct{}
}

// isReady tells whether the instance can serve.
func (g *Gateway) isReady() bool {
	router := g.router.Load()
	return router != nil && g.readiness.targetsLoaded.Load() && g.knowsOwners(router) &&
		(!g.config.rolloutsEnabled() || g.readiness.rolloutsLoaded.Load())
}

// setRolloutsLoaded takes in that the instance knows all orders that there are, also if there are none.
func (g *Gateway) setRolloutsLoaded() {
	if !g.readiness.rolloutsLoaded.Swap(true) {
		g.signalReady()
	}
}

// signalReady lets the requests go on that wait for the instance to be ready, if it is.
func (g *Gateway) signalReady() {
	if g.isReady() {
		g.readiness.once.Do(func() { close(g.readiness.reached) })
	}
}

// awaitReady has a request wait for an instance that has just started, for a small part of
// the time that its client waits: the instance has what it needs within a second, and a
// request that is refused has to come back.
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
