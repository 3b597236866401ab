package gateway

import (
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// heldChanges holds changes of one kind that are not in force yet. After the store is restored from
// a backup, what was confirmed after the backup stays in force until its writers have had time to
// write it again. removals holds the removal of objects that the backup lacks. tombstones holds the
// reappearance of objects that had been removed. The removals of targets are also held after a
// long outage of the store.
type heldChanges struct {
	removals   feed.RemovalHold
	tombstones feed.Tombstones
}

// holdDurations is how long changes of a kind are held after a restore of the store.
type holdDurations struct{ removals, reappearances time.Duration }

// rewriteTimeout is the longest time that the operator and the targets need to rewrite what a
// restored store lacks.
const rewriteTimeout = 2 * time.Second

// rolloutRemovalHold is the corresponding time for rollout orders. If an order were dropped too
// soon, its rollout would start anew once the order is rewritten, even with a version that has
// already been found to be bad.
const rolloutRemovalHold = 10 * time.Second

// entryTTL is the longest time for which the entry of a terminated target stays in a restored
// store. The entry expires when three heartbeat writes in a row are missing, which takes 4.5 s.
const entryTTL = 6 * time.Second

// holdDurationsByKind holds the durations for the kinds whose changes are held.
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

// holdAfterRestore starts holding the changes of a kind after the store was restored from a backup.
// The caller holds mu.
func (g *Gateway) holdAfterRestore(now time.Time, kind feed.Kind) {
	h := g.heldChanges[kind]
	if h == nil {
		return
	}
	h.removals.StoreRestored(now, holdDurationsByKind[kind].removals)
	h.tombstones.StoreRestored(now, holdDurationsByKind[kind].reappearances)
}

// effective returns the changes of a delta that take effect now, and holds the others. restored is
// true if the delta is the first one after a restore of the store.
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

// hold holds a change that stems from a restore of the store, and reports whether it is held.
func (h *heldChanges) hold(now time.Time, c feed.Change) bool {
	if c.Removed {
		return h.removals.Hold(now, c.Name)
	}
	return h.tombstones.Hold(now, c.Name)
}

// expired returns the changes whose hold has ended: the removals that were not cancelled
// meanwhile, and the reappearance of objects that it still has.
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

// isStaleAfterRestore reports whether an entry of a restored store is out of date, because the
// target has written a later entry or was removed since the backup. The caller holds mu.
func (g *Gateway) isStaleAfterRestore(now time.Time, spec catalog.Target) bool {
	if !g.targetList.isFromBackup(spec) {
		return false
	}
	return g.targetList.specs[spec.Name] != nil || g.heldChanges[KindTargets].tombstones.Hold(now, spec.Name)
}

// scheduleHeldChanges schedules a call of applyExpiredHolds for the end of the current hold. The
// hold may be extended meanwhile. The caller holds mu.
func (g *Gateway) scheduleHeldChanges(now time.Time, kind feed.Kind) {
	look := func() { g.applyExpiredHolds(kind) }
	h := g.heldChanges[kind]
	if next, holding := h.removals.NextExpiry(now); holding {
		time.AfterFunc(next+time.Millisecond, look)
	}
	if next, holding := h.tombstones.NextExpiry(now); holding {
		time.AfterFunc(next+time.Millisecond, look)
	}
}

// applyExpiredHolds applies the changes of a kind whose hold has ended.
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
