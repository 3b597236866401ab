package gateway

import (
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// held are the changes of a kind that do not count yet. When the store comes back from a copy, what was
// confirmed after the copy was made holds until those who wrote it have written again: lapse holds back
// the removal of what the copy lacks, and relisted the return of what had been removed.
type held struct {
	lapse    feed.RemovalHold
	relisted feed.Tombstones
}

// holdTime is for how long changes of a kind are held back after the store came back from a copy.
type holdTime struct{ removals, returns time.Duration }

// writeAgainTime is how long the operator and the targets take at most to write again what a restored
// store lacks.
const writeAgainTime = 2 * time.Second

// ordersHold is the same for orders to bring in versions: one that is missed too soon would begin anew when
// it is there again, with a version that has already been found to be bad.
const ordersHold = 10 * time.Second

// entryLife is how long the entry of a target that has gone stays in a restored store at most: it goes
// once it has not been written three times in a row, for 4.5 s.
const entryLife = 6 * time.Second

// holdTimes are those of the kinds of which something is held back.
var holdTimes = map[feed.Kind]holdTime{
	KindTargets:     {removals: writeAgainTime, returns: entryLife},
	KindEvacuations: {removals: writeAgainTime, returns: writeAgainTime},
	KindInstances:   {removals: 2 * maxRegisterSpread},
	KindRollouts:    {removals: ordersHold, returns: writeAgainTime},
}

func newHeld() map[feed.Kind]*held {
	out := make(map[feed.Kind]*held, len(holdTimes))
	for kind := range holdTimes {
		out[kind] = &held{}
	}
	return out
}

// holdBack has changes of a kind be held back that come from a store which came back from a copy. The
// caller holds mu.
func (g *Gateway) holdBack(now time.Time, kind feed.Kind) {
	h := g.held[kind]
	if h == nil {
		return
	}
	h.lapse.StoreRestored(now, holdTimes[kind].removals)
	h.relisted.StoreRestored(now, holdTimes[kind].returns)
}

// counting returns those of a delta's changes that count now. Restored says that the delta is the first
// of a store that came back from a copy.
func (h *held) counting(now time.Time, changes []feed.Change, restored bool) []feed.Change {
	out := make([]feed.Change, 0, len(changes))
	for _, c := range changes {
		if restored && h.holds(now, c) {
			continue
		}
		h.lapse.Cancel(c.Name)
		if c.Removed {
			h.relisted.Add(now, c.Name)
		} else {
			h.relisted.Rewritten(c.Name)
		}
		out = append(out, c)
	}
	return out
}

// holds tells whether a change that comes of a restore of the store is held back, and notes it.
func (h *held) holds(now time.Time, c feed.Change) bool {
	if c.Removed {
		return h.lapse.Hold(now, c.Name)
	}
	return h.relisted.Hold(now, c.Name)
}

// expired returns the changes that were held back and count from now on: the removal of what is still
// missing in the replica, and the return of what is still there.
func (h *held) expired(now time.Time, replica *feed.Replica) []feed.Change {
	var out []feed.Change
	for _, name := range h.lapse.Expired(now) {
		out = append(out, feed.Change{Object: feed.Object{Name: name}, Removed: true})
	}
	for _, name := range h.relisted.Expired(now) {
		if value, listed := replica.Get(name); listed {
			out = append(out, feed.Change{Object: feed.Object{Name: name, Value: value}})
		}
	}
	return out
}

// isHeldBack tells whether an entry of a restored store does not count: the target has said otherwise
// since, or had gone. The caller holds mu.
func (g *Gateway) isHeldBack(now time.Time, spec catalog.Target) bool {
	if !g.listed.isOfCopy(spec) {
		return false
	}
	return g.listed.specs[spec.Name] != nil || g.held[KindTargets].relisted.Hold(now, spec.Name)
}

// awaitHeld looks again when changes of a kind are no longer held back. That time may be put off
// meanwhile. The caller holds mu.
func (g *Gateway) awaitHeld(now time.Time, kind feed.Kind) {
	look := func() { g.expireHeld(kind) }
	h := g.held[kind]
	if h.lapse.Holding() {
		time.AfterFunc(h.lapse.Remaining(now)+time.Millisecond, look)
	}
	if h.relisted.Holding() {
		time.AfterFunc(h.relisted.Remaining(now)+time.Millisecond, look)
	}
}

// expireHeld has the changes of a kind count that are no longer held back.
func (g *Gateway) expireHeld(kind feed.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	replica := g.replicas[kind]
	changes := g.held[kind].expired(now, replica)
	if len(changes) == 0 {
		g.awaitHeld(now, kind)
		return
	}
	g.putInForce(now, kind, changes, provenance{source: sourceLapse, revision: replica.Position().Revision})
}
