package gateway

import (
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// relistHold is how long a target that had gone is not used if a store that came back from a copy lists
// it again: its entry goes once it has not been written three times in a row, for 4.5 s.
const relistHold = 6 * time.Second

// holdBack has changes of a kind be held back that come from a store which came back from a copy: until
// those who wrote after the copy have written again, what was confirmed holds. The caller holds mu.
func (g *Gateway) holdBack(now time.Time, kind feed.Kind) {
	if kind == KindTargets {
		g.lapse.Restored(now)
		g.relisted.Restored(now, relistHold)
	}
}

// isHeldBack tells whether an entry of a restored store does not count: the target has said otherwise
// since, or had gone. The caller holds mu.
func (g *Gateway) isHeldBack(now time.Time, spec catalog.Target) bool {
	if !g.listed.isOfCopy(spec) {
		return false
	}
	return g.listed.specs[spec.Name] != nil || g.relisted.Hold(now, spec.Name)
}

// awaitHeld looks again when targets are no longer held back. That time may be put off meanwhile. The
// caller holds mu.
func (g *Gateway) awaitHeld(now time.Time) {
	if g.lapse.Holding() {
		time.AfterFunc(g.lapse.Remaining(now)+time.Millisecond, g.expireHeld)
	}
	if g.relisted.Holding() {
		time.AfterFunc(g.relisted.Remaining(now)+time.Millisecond, g.expireHeld)
	}
}

// expireHeld removes the targets whose entries are still missing some time after an outage of the store,
// and takes in those that a restored store still lists.
func (g *Gateway) expireHeld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	lapsed, relisted := g.lapse.Expired(now), g.relisted.Expired(now)
	if len(lapsed)+len(relisted) == 0 {
		g.awaitHeld(now)
		return
	}
	changes := make([]feed.Change, 0, len(lapsed)+len(relisted))
	for _, name := range lapsed {
		changes = append(changes, feed.Change{Object: feed.Object{Name: name}, Gone: true})
	}
	replica := g.replicas[KindTargets]
	for _, name := range relisted {
		if value, listed := replica.Get(name); listed {
			changes = append(changes, feed.Change{Object: feed.Object{Name: name, Value: value}})
		}
	}
	g.applyTargets(now, changes, provenance{source: sourceLapse, revision: replica.At().Revision})
}
