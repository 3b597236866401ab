package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// manyTargetChanges is the number of simultaneous changes from which one line summarizes them and
// their own lines are logged at debug level.
const manyTargetChanges = 16

// maxRefusedLines bounds the invalid entries of one delta that are logged in a line each.
const maxRefusedLines = 4

// targetList holds the targets that the store lists.
type targetList struct {
	// specs holds the usable targets by name. The values are immutable.
	specs map[string]*catalog.Target
	// refused holds the invalid entries by name, with their errors.
	refused map[string]*catalog.EntryError
	// removed holds, by name, the latest known incarnation of targets without a usable entry, and
	// of targets whose entry does not state when they started. Removed targets are dropped after
	// incarnationTTL.
	removed map[string]incarnation
	// interned holds strings that many targets share, so that each is in memory once.
	interned map[string]string
}

// incarnation identifies a process of a target by its start time, the sequence number of its last
// write, and the time at which its entry was removed. removedAt is zero while the entry exists.
type incarnation struct {
	startedAt, sequence int64
	removedAt           time.Time
}

// incarnationTTL is how long the incarnation of a removed target is remembered. The store may apply
// a delayed write of an earlier incarnation some seconds after the removal.
const incarnationTTL = time.Minute

func newTargetList() targetList {
	return targetList{
		specs:    make(map[string]*catalog.Target),
		refused:  make(map[string]*catalog.EntryError),
		removed:  make(map[string]incarnation),
		interned: make(map[string]string),
	}
}

// startedAt returns the start time of the latest known incarnation of a target, 0 if it is not known.
func (l *targetList) startedAt(name string) int64 {
	if spec := l.specs[name]; spec != nil && spec.StartedAt > 0 {
		return spec.StartedAt
	}
	return l.removed[name].startedAt
}

// isOutdated reports whether an entry belongs to an earlier incarnation than the latest known one.
func (l *targetList) isOutdated(spec catalog.Target) bool {
	return spec.StartedAt > 0 && spec.StartedAt < l.startedAt(spec.Name)
}

// isOlder reports whether the same incarnation has written a later entry than the given one, and returns
// the sequence number of the latest known one.
func (l *targetList) isOlder(spec catalog.Target) (sequence int64, older bool) {
	if known := l.specs[spec.Name]; known != nil {
		return known.Sequence, known.ID == spec.ID && spec.Sequence < known.Sequence
	}
	last, removed := l.removed[spec.Name]
	return last.sequence, removed && last.startedAt == spec.StartedAt && spec.Sequence < last.sequence
}

// put records the entry of a usable target.
func (l *targetList) put(spec catalog.Target) {
	spec.Service, spec.Version, spec.Hall = l.intern(spec.Service), l.intern(spec.Version), l.intern(spec.Hall)
	known := l.startedAt(spec.Name)
	l.specs[spec.Name] = &spec
	delete(l.refused, spec.Name)
	switch {
	case spec.StartedAt > 0:
		delete(l.removed, spec.Name)
	case known > 0:
		l.removed[spec.Name] = incarnation{startedAt: known}
	default:
		delete(l.removed, spec.Name)
	}
}

// maxInterned bounds the interned strings. It is far above the number of services, versions and
// halls.
const maxInterned = 4096

// intern returns the shared copy of a string.
func (l *targetList) intern(s string) string {
	held, ok := l.interned[s]
	if ok {
		return held
	}
	if len(l.interned) >= maxInterned {
		clear(l.interned)
	}
	l.interned[s] = s
	return s
}

// remove records that a name has no usable target any more.
func (l *targetList) remove(now time.Time, name string) {
	last := incarnation{startedAt: l.startedAt(name), sequence: l.removed[name].sequence, removedAt: now}
	if spec := l.specs[name]; spec != nil {
		last.sequence = spec.Sequence
	}
	delete(l.specs, name)
	delete(l.refused, name)
	l.removed[name] = last
}

// isFromBackup reports whether an entry of a store that was restored from a backup is older than
// what is known of the target: older than its last write, or written before its entry was removed,
// by the same incarnation.
func (l *targetList) isFromBackup(spec catalog.Target) bool {
	if known := l.specs[spec.Name]; known != nil {
		return known.ID == spec.ID && spec.Sequence < known.Sequence
	}
	last, removed := l.removed[spec.Name]
	return removed && last.startedAt == spec.StartedAt && spec.Sequence <= last.sequence
}

// expire drops the incarnations of targets that were removed more than incarnationTTL ago.
func (l *targetList) expire(now time.Time) {
	for name, known := range l.removed {
		if !known.removedAt.IsZero() && now.Sub(known.removedAt) >= incarnationTTL {
			delete(l.removed, name)
		}
	}
}

// applyTargets applies changes of targets' entries. An invalid entry removes the target that was
// listed under its name and affects no other target. The caller holds mu.
func (g *Gateway) applyTargets(now time.Time, changes []feed.Change, from provenance) {
	level := slog.LevelInfo
	if len(changes) >= manyTargetChanges {
		level = slog.LevelDebug
		g.log.Info(logTargets, "changes", len(changes), "held", g.replicas[KindTargets].Len(), "source", from.source, "revision", from.revision)
	}
	before := make(map[string]*catalog.Target, len(changes))
	refused := 0
	for _, c := range changes {
		if _, ok := before[c.Name]; !ok {
			before[c.Name] = g.targetList.specs[c.Name]
		}
		if c.Removed {
			g.removeTarget(now, c.Name, from, level)
			continue
		}
		err := g.applyEntry(now, c, from, level)
		if err != nil {
			refused++
			g.rejectTarget(now, c, err, refused, from)
		}
	}
	if refused > maxRefusedLines {
		g.log.Error(logTargetsRefused, "entries", refused, "source", from.source, "revision", from.revision)
	}
	g.updatePools(now, before)
	g.scheduleHeldChanges(now, KindTargets)
}

// removeTarget removes a target whose entry is gone, or holds its removal. The caller holds mu.
func (g *Gateway) removeTarget(now time.Time, name string, from provenance, level slog.Level) {
	held := g.heldChanges[KindTargets]
	ctx := context.Background()
	expired := from.source == sourceHoldExpired
	if !expired && !g.hasAnnouncedLeaving(name) && held.removals.Hold(now, name) {
		g.log.Log(ctx, level, logTargetExpired, "target", name, "for_ms", held.removals.Remaining(now).Milliseconds(), "source", from.source, "revision", from.revision)
		return
	}
	held.removals.Cancel(name)
	g.targetList.remove(now, name)
	held.tombstones.Add(now, name)
	if expired && g.replicas[KindTargets].Has(name) {
		// The entry that is listed again was passed over.
		held.tombstones.Suppress(now, name, entryTTL)
	}
	g.log.Log(ctx, level, logTargetGone, "target", name, "source", from.source, "revision", from.revision)
}

// applyEntry puts the entry of a target in force, unless a later one of the same target is known. It
// returns an error if the entry is invalid. The caller holds mu.
func (g *Gateway) applyEntry(now time.Time, c feed.Change, from provenance, level slog.Level) error {
	spec, err := g.decodeTarget(c)
	if err != nil {
		return err
	}
	held := g.heldChanges[KindTargets]
	ctx := context.Background()
	if g.targetList.isOutdated(spec) {
		g.log.Log(ctx, level, logTargetOld, "target", c.Name, "born", spec.StartedAt, "known", g.targetList.startedAt(c.Name), "source", from.source, "revision", from.revision)
		return nil
	}
	if from.restored && g.isStaleAfterRestore(now, spec) {
		g.log.Log(ctx, level, logTargetFromBackup, "target", c.Name, "sequence", spec.Sequence, "source", from.source, "revision", from.revision)
		return nil
	}
	if sequence, older := g.targetList.isOlder(spec); older && from.source != sourceHoldExpired {
		g.log.Warn(logTargetOlder, "target", spec.ID, "sequence", spec.Sequence, "known", sequence, "leaves", spec.Leaving, "source", from.source, "revision", from.revision)
		held.tombstones.Suppress(now, c.Name, entryTTL)
		return nil
	}
	held.removals.Cancel(c.Name)
	held.tombstones.Rewritten(c.Name)
	g.targetList.put(spec)
	g.log.Log(ctx, level, logTarget, "target", spec.ID, "service", spec.Service, "version", spec.Version, "hall", spec.Hall, "addr", spec.Addr,
		"leaves", spec.Leaving, "cold_ms", spec.RemainingWarmup.Milliseconds(), "source", from.source, "revision", from.revision)
	return nil
}

// hasAnnouncedLeaving reports whether the target of a name has announced that it leaves, in its
// entry or in a response. The caller holds mu.
func (g *Gateway) hasAnnouncedLeaving(name string) bool {
	spec, ok := g.targetList.specs[name]
	return ok && (spec.Leaving || g.departures.has(spec.ID))
}

// decodeTarget decodes a target's entry. It returns an error if the entry is invalid or the
// settings do not contain the target's hall.
func (g *Gateway) decodeTarget(c feed.Change) (catalog.Target, error) {
	spec, err := g.codec.Target(c.Name, c.Value)
	if err != nil {
		return spec, err
	}
	if _, ok := g.config.RegionOf[spec.Hall]; !ok {
		return spec, &catalog.EntryError{Field: "hall", Problem: "is not one of the settings"}
	}
	return spec, nil
}

// rejectTarget records an invalid entry. nth is its number among those of the delta; only the first
// ones are logged in a line each. The caller holds mu.
func (g *Gateway) rejectTarget(now time.Time, c feed.Change, err error, nth int, from provenance) {
	g.heldChanges[KindTargets].removals.Cancel(c.Name)
	g.targetList.remove(now, c.Name)
	field := "entry"
	var entryErr *catalog.EntryError
	if errors.As(err, &entryErr) {
		field = entryErr.Field
		g.targetList.refused[c.Name] = entryErr
	}
	g.metrics.refusedEntries.Add(1, string(KindTargets), field)
	if nth <= maxRefusedLines {
		g.log.Error(logTargetRefused, "target", c.Name, "field", field, "error", err.Error(), "source", from.source, "revision", from.revision)
	}
}

// updatePools applies the changed names to the pools. A target may change, disappear and return
// within one delta, so only the final state counts. before holds the previous specs of the changed
// names. The caller holds mu.
func (g *Gateway) updatePools(now time.Time, before map[string]*catalog.Target) {
	var changed []*catalog.Target
	var removed []string
	for name, old := range before {
		spec, ok := g.targetList.specs[name]
		if ok {
			changed = append(changed, spec)
		}
		if ok && (old == nil || old.ID != spec.ID) {
			g.reach.targetStarted(targetOf(spec))
		}
		if old != nil && (!ok || old.ID != spec.ID) {
			removed = append(removed, old.ID)
		}
	}
	g.pools.changeTargets(now, changed, removed, g.evacuated)
	g.updateHallSizes()
	g.applyListChanges(now, changed, removed)
}
