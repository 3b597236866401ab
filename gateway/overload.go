package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
)

// maxFlagged bounds the members that a message lists for a flag, to 160 bytes.
const maxFlagged = 32

// flagged returns the members of heartbeats with a flag, or none if there are more than maxFlagged. If that
// many are overloaded, or have lost a hall, it does not help to tell them apart from the others. With a part
// of them listed, the flag of the rest would change with each message.
func flagged(heartbeats fleet.Heartbeats, flag fleet.Flags) []fleet.ID {
	out := heartbeats.With(flag)
	if len(out) > maxFlagged {
		return nil
	}
	return out
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
