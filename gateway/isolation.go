package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/reach"
)

const (
	// isolationCheckInterval is the interval at which an instance looks whether it is isolated.
	isolationCheckInterval = 250 * time.Millisecond
	// isolationProbeTimeout is how long a call to the store may take that finds out whether only the
	// other halls are down. The store takes up to 120 ms between regions.
	isolationProbeTimeout = 500 * time.Millisecond
)

// isolation records whether this instance is cut off from everything outside its hall.
type isolation struct {
	isolated atomic.Bool
	// storeAt is when the store last responded, in nanoseconds of Unix time, or 0.
	storeAt atomic.Int64
}

// isIsolated reports whether this instance is cut off from everything outside its hall. The others are then
// not down.
func (g *Gateway) isIsolated(time.Time) bool { return g.isolation.isolated.Load() }

// recordStoreResponse records that the store has responded.
func (i *isolation) recordStoreResponse(now time.Time) { i.storeAt.Store(now.UnixNano()) }

// isolationLoop finds out whether this instance is isolated, until ctx ends.
func (g *Gateway) isolationLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, isolationCheckInterval)
		if g.contacts().MayBeIsolated(g.clock.Now()) {
			g.probeStore(ctx)
		}
		contacts := g.contacts()
		if contacts.MembersLost(g.clock.Now()) && g.reach.hasLostHalls() {
			g.reach.halls.inspect(g.config.RegionOf, g.config.Hall, contacts.MembersAt)
		}
		isolated := contacts.IsIsolated(g.clock.Now()) && ctx.Err() == nil
		if g.isolation.isolated.Swap(isolated) == isolated {
			continue
		}
		if isolated {
			g.log.Warn(logIsolated, "members_ms", g.clock.Since(contacts.MembersAt).Milliseconds(), "halls_lost", g.reach.halls.lost())
		} else {
			g.log.Info(logNotIsolated)
		}
	}
}

// probeStore finds out whether the store responds, unless it has lately.
func (g *Gateway) probeStore(ctx context.Context) {
	if g.contacts().StoreResponds(g.clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, isolationProbeTimeout)
	defer cancel()
	if g.store.Probe(ctx) == nil {
		g.isolation.recordStoreResponse(g.clock.Now())
	}
}

// contacts returns the last contacts of this instance with what is outside its hall.
func (g *Gateway) contacts() reach.Contacts {
	c := reach.Contacts{HallsLost: g.reach.isLost() || g.reach.halls.allLostBut(g.config.Hall)}
	if at := g.isolation.storeAt.Load(); at != 0 {
		c.StoreAt = time.Unix(0, at)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.MembersAt = g.view.OtherHallsHeardAt()
	return c
}
