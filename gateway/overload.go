package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
)

// maxOverloadedListed bounds the overloaded instances that a message lists, to 160 bytes. If more are
// overloaded, their weights are hardly worth telling apart.
const maxOverloadedListed = 32

// overloadedAmong returns the members of heartbeats that are overloaded, the first
// maxOverloadedListed of them.
func overloadedAmong(heartbeats fleet.Heartbeats) []fleet.ID {
	out := heartbeats.With(fleet.Overloaded)
	return out[:min(len(out), maxOverloadedListed)]
}

// overloadLoop measures how late timers fire, until ctx ends, and reports in the heartbeats of this
// instance whether it is overloaded.
func (g *Gateway) overloadLoop(ctx context.Context) {
	var detector endpoints.OverloadDetector
	timer := time.NewTimer(endpoints.OverloadPeriod)
	defer timer.Stop()
	for {
		due := g.clock.Now().Add(endpoints.OverloadPeriod)
		timer.Reset(endpoints.OverloadPeriod)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := g.clock.Now()
		if detector.Observe(now, now.Sub(due)) {
			g.overloaded.Store(detector.Overloaded())
			g.log.Info(logOverloaded, "overloaded", detector.Overloaded(), "late_ms", detector.MeanLateness().Milliseconds())
		}
	}
}
