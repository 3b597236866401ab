package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/fleet"
)

// removeLostInstance removes the entry of one instance of its region that has not been alive
// for Config.ForgetAfter. An instance that was replaced never returns, and its share of what all
// instances divide, such as the limits of client accounts, would remain unused for ever. An
// instance that was only partitioned for that long registers again. Only the first watcher of a
// region removes entries, and only while at least half of the region's members are alive in its
// view. The time counts from when it became the first watcher, or later.
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

// lostInstance returns the name of an instance whose entry has to be removed by this one, and
// whether there is any.
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
