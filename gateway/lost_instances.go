package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/fleet"
)

// removeLostInstance removes the entry of an instance of the own region that has been silent for
// Config.ForgetAfter, one at a time. Instances that were replaced never come back, and
// would be left their parts of what all share, such as the limits of accounts, for ever.
// One that was only cut off for so long registers again. The first watcher of the region
// does it, while it hears most of the region.
func (g *Gateway) removeLostInstance(ctx context.Context, now time.Time) {
	name, ok := g.lostInstance(now)
	if !ok {
		return
	}
	err := g.store.Remove(ctx, KindInstances, name)
	if err != nil {
		g.log.Warn(logInstanceNotRemoved, "member", name, "error", err.Error())
		return
	}
	g.log.Info(logInstanceRemoved, "member", name, "silent_for_s", g.config.ForgetAfter.Seconds())
}

// lostInstance returns the name of an instance whose entry this one is to remove.
func (g *Gateway) lostInstance(now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.watch.isWatching() || !g.view.IsFirstWatcher(now) {
		g.absences = fleet.AbsenceTracker{}
		return "", false
	}
	g.absences.Update(now, g.config.Region, g.view.All(now))
	for _, name := range g.absences.AbsentFor(now, g.config.ForgetAfter) {
		if _, listed := g.registered[name]; listed {
			return name, true
		}
	}
	return "", false
}
