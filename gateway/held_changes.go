package gateway

import (
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// heldChanges are the changes of a kind that do not count yet. When the store comes back from a copy, what was
// confirmed after the copy was made holds until those who wrote it have written again: lapse holds back
// the removal of what the copy lacks, and relisted the return of what had been removed.
type heldChanges struct {
	removals   feed.RemovalHold
	tombstones feed.Tombstones
}

// holdDurations is for how long changes of a kind are held back after the store came back from a copy.
type holdDurations struct{ removals, reappearances time.Duration }

// rewriteTimeout is how long the operator and the targets take at most to write again what a restored
// store lacks.
const rewriteTimeout = 2 * time.Second

// rolloutRemovalHold is the same for orders to bring in versions: one that is missed too soon would begin anew when
// it is there again, with a version that has already been found to be bad.
const rolloutRemovalHold = 10 * time.Second

// entryTTL is how long the entry of a target that has gone stays in a restored store at most: it goes
// once it has not been written three times in a row, for 4.5 s.
const entryTTL = 6 * time.Second

// holdDurationsByKind are those of the kinds of which something is held back.
var holdDurationsByKind = map[feed.Kind]holdDurations{
	KindTargets:     {removals: rewriteTimeout, reappearances: entryTTL},
	KindEvacuations: {removals: rewriteTimeout, reappearances: rewriteTimeout},
	KindInstances:   {removals: 2 * maxRegisterSpread},
	KindRollouts:    {removals: rolloutRemovalHold, reappearances: rewriteTimeout},
}

func newHeldChanges() map[feed.Kind]*heldChanges {
	out := make(map[feed.Kind]*heldChanges, len(holdDurationsByKind))
	for kind := range holdDurationsByKind {
		out[kind] = &heldChanges{}
	}
	return out
}

// holdAfterRestore has changes of a kind be held back that come from a store which came back from a copy. The
// caller holds mu.
func (g *Gateway) holdAfterRestore(now time.Time, kind feed.Kind) {
	h := g.heldChanges[kind]
	if h == nil {
		return
	}
	h.removals.StoreRestored(now, holdDurationsByKind[kind].removals)
	h.tombstones.StoreRestored(now, holdDurationsByKind[kind].reappearances)
}

// effective returns those of a delta's changes that count now. Restored says that the delta is the first
// of a store that came back from a copy.
func (h *heldChanges) effective(now time.Time, changes []feed.Change, restored bool) []feed.Change {
	out := make([]feed.Change, 0, len(changes))
	for _, c := range changes {
		if restored && h.hold(now, c) {
			continue
		}
		h.removals.Cancel(c.Name)
		if c.Removed {
			h.tombstones.Add(now, c.Name)
		} else {
			h.tombstones.Rewritten(c.Name)
		}
		out = append(out, c)
	}
	return out
}

// hold tells whether a change that comes of a restore of the store is held back, and notes it.
func (h *heldChanges) hold(now time.Time, c feed.Change) bool {
	if c.Removed {
		return h.removals.Hold(now, c.Name)
	}
	return h.tombstones.Hold(now, c.Name)
}

// expired returns the changes that were held back and count from now on: the removal of what is still
// missing in the replica, and the return of what is still there.
func (h *heldChanges) expired(now time.Time, replica *feed.Replica) []feed.Change {
	var out []feed.Change
	for _, name := range h.removals.Expired(now) {
		out = append(out, feed.Change{Object: feed.Object{Name: name}, Removed: true})
	}
	for _, name := range h.tombstones.Expired(now) {
		if value, listed := replica.Get(name); listed {
			out = append(out, feed.Change{Object: feed.Object{Name: name, Value: value}})
		}
	}
	return out
}

// isStaleAfterRestore tells whether an entry of a restored store does not count: the target has said otherwise
// since, or had gone. The caller holds mu.
func (g *Gateway) isStaleAfterRestore(now time.Time, spec catalog.Target) bool {
	if !g.targetList.isFromBackup(spec) {
		return false
	}
	return g.targetList.specs[spec.Name] != nil || g.heldChanges[KindTargets].tombstones.Hold(now, spec.Name)
}

// scheduleHeldChanges looks again when changes of a kind are no longer held back. That time may be put off
// meanwhile. The caller holds mu.
func (g *Gateway) scheduleHeldChanges(now time.Time, kind feed.Kind) {
	look := func() { g.applyExpiredHolds(kind) }
	h := g.heldChanges[kind]
	if h.removals.Holding() {
		time.AfterFunc(h.removals.Remaining(now)+time.Millisecond, look)
	}
	if h.tombstones.Holding() {
		time.AfterFunc(h.tombstones.Remaining(now)+time.Millisecond, look)
	}
}

// applyExpiredHolds has the changes of a kind count that are no longer held back.
func (g *Gateway) applyExpiredHolds(kind feed.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	replica := g.replicas[kind]
	changes := g.heldChanges[kind].expired(now, replica)
	if len(changes) == 0 {
		g.scheduleHeldChanges(now, kind)
		return
	}
	g.applyChanges(now, kind, changes, provenance{source: sourceHoldExpired, revision: replica.Position().Revision})
}
