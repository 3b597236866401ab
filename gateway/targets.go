package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// manyTargetChanges is the number of changes at once from which on one line tells of
// them all.
const manyTargetChanges = 16

// maxRefusedLines bounds the entries refused in one delta that are told in a line each.
const maxRefusedLines = 4

// targetList are the targets that the store names.
type targetList struct {
	// specs holds those to use by their names. None changes once it is there.
	specs map[string]*catalog.Target
	// refused are the entries that name no target to use, with what is wrong with them.
	refused map[string]*catalog.EntryError
	// removed holds the latest incarnation known of each name that has no target to use, or one whose start
	// is not told, for a while.
	removed map[string]incarnation
	// interned are those that many targets have in common, so that each is held once.
	interned map[string]string
}

// incarnation is when a target started, the sequence of what it wrote last, and when its entry went,
// zero while there is one.
type incarnation struct {
	born, sequence int64
	removedAt      time.Time
}

// incarnationTTL is how long it is remembered when a target that is gone had started. A write of an
// earlier incarnation that the store was slow to do may come some seconds later.
const incarnationTTL = time.Minute

func newTargetList() targetList {
	return targetList{
		specs:    make(map[string]*catalog.Target),
		refused:  make(map[string]*catalog.EntryError),
		removed:  make(map[string]incarnation),
		interned: make(map[string]string),
	}
}

// born returns when the latest known incarnation of a name started, 0 if that is not known.
func (l *targetList) born(name string) int64 {
	if spec := l.specs[name]; spec != nil && spec.StartedAt > 0 {
		return spec.StartedAt
	}
	return l.removed[name].born
}

// isOutdated tells whether an entry is that of an earlier incarnation than the one known.
func (l *targetList) isOutdated(spec catalog.Target) bool {
	return spec.StartedAt > 0 && spec.StartedAt < l.born(spec.Name)
}

// put takes in the entry of a target to use.
func (l *targetList) put(spec catalog.Target) {
	spec.Service, spec.Version, spec.Hall = l.intern(spec.Service), l.intern(spec.Version), l.intern(spec.Hall)
	known := l.born(spec.Name)
	l.specs[spec.Name] = &spec
	delete(l.refused, spec.Name)
	switch {
	case spec.StartedAt > 0:
		delete(l.removed, spec.Name)
	case known > 0:
		l.removed[spec.Name] = incarnation{born: known}
	default:
		delete(l.removed, spec.Name)
	}
}

// maxInterned bounds the texts that are held once: far more than there are services, versions and halls.
const maxInterned = 4096

// intern returns a text as it is held.
func (l *targetList) intern(text string) string {
	held, ok := l.interned[text]
	if ok {
		return held
	}
	if len(l.interned) >= maxInterned {
		clear(l.interned)
	}
	l.interned[text] = text
	return text
}

// remove takes in that a name has no target to use any more.
func (l *targetList) remove(now time.Time, name string) {
	last := incarnation{born: l.born(name), sequence: l.removed[name].sequence, removedAt: now}
	if spec := l.specs[name]; spec != nil {
		last.sequence = spec.Sequence
	}
	delete(l.specs, name)
	delete(l.refused, name)
	l.removed[name] = last
}

// isFromBackup tells whether an entry of a store that came back from a copy is what a target had written
// before what is known of it: before its last word, or before it went.
func (l *targetList) isFromBackup(spec catalog.Target) bool {
	if known := l.specs[spec.Name]; known != nil {
		return known.ID == spec.ID && spec.Sequence < known.Sequence
	}
	last, went := l.removed[spec.Name]
	return went && last.born == spec.StartedAt && spec.Sequence <= last.sequence
}

// expire forgets when targets had started that are gone for long.
func (l *targetList) expire(now time.Time) {
	for name, known := range l.removed {
		if !known.removedAt.IsZero() && now.Sub(known.removedAt) >= incarnationTTL {
			delete(l.removed, name)
		}
	}
}

// applyTargets takes in changes of targets' entries. An entry that can't be taken names no
// target: what was listed under its name is no longer used, and all others hold. The caller
// holds mu.
func (g *Gateway) applyTargets(now time.Time, changes []feed.Change, from provenance) {
	level := slog.LevelInfo
	if len(changes) >= manyTargetChanges {
		level = slog.LevelDebug
		g.log.Info(logTargets, "changes", len(changes), "held", g.replicas[KindTargets].Len(), "source", from.source, "revision", from.revision)
	}
	before := make(map[string]*catalog.Target, len(changes))
	held := g.heldChanges[KindTargets]
	refused := 0
	ctx := context.Background()
	for _, c := range changes {
		if _, ok := before[c.Name]; !ok {
			before[c.Name] = g.targetList.specs[c.Name]
		}
		if c.Removed && !g.hasAnnouncedLeaving(c.Name) && held.removals.Hold(now, c.Name) {
			g.log.Log(ctx, level, logTargetExpired, "target", c.Name, "for_ms", held.removals.Remaining(now).Milliseconds(), "source", from.source, "revision", from.revision)
			continue
		}
		held.removals.Cancel(c.Name)
		if c.Removed {
			g.targetList.remove(now, c.Name)
			held.tombstones.Add(now, c.Name)
			g.log.Log(ctx, level, logTargetGone, "target", c.Name, "source", from.source, "revision", from.revision)
			continue
		}
		spec, err := g.decodeTarget(c)
		if err != nil {
			refused++
			g.rejectTarget(now, c, err, refused, from)
			continue
		}
		if g.targetList.isOutdated(spec) {
			g.log.Log(ctx, level, logTargetOld, "target", c.Name, "born", spec.StartedAt, "known", g.targetList.born(c.Name), "source", from.source, "revision", from.revision)
			continue
		}
		if from.restored && g.isStaleAfterRestore(now, spec) {
			g.log.Log(ctx, level, logTargetFromBackup, "target", c.Name, "sequence", spec.Sequence, "source", from.source, "revision", from.revision)
			continue
		}
		held.tombstones.Rewritten(c.Name)
		g.targetList.put(spec)
		g.log.Log(ctx, level, logTarget, "target", spec.ID, "service", spec.Service, "version", spec.Version, "hall", spec.Hall, "addr", spec.Addr,
			"leaves", spec.Leaving, "cold_ms", spec.RemainingWarmup.Milliseconds(), "source", from.source, "revision", from.revision)
	}
	if refused > maxRefusedLines {
		g.log.Error(logTargetsRefused, "entries", refused, "source", from.source, "revision", from.revision)
	}
	g.updatePools(now, before)
	g.scheduleHeldChanges(now, KindTargets)
}

// hasAnnouncedLeaving tells whether the target of a name has said that it leaves, in the list or by its own
// word. The caller holds mu.
func (g *Gateway) hasAnnouncedLeaving(name string) bool {
	spec, ok := g.targetList.specs[name]
	return ok && (spec.Leaving || g.departures.has(spec.ID))
}

// decodeTarget returns the target that an entry names. It has to be in a hall of the settings.
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

// rejectTarget takes in an entry that names no target to use. The nth of a delta is told in a
// line of its own if it is among the first. The caller holds mu.
func (g *Gateway) rejectTarget(now time.Time, c feed.Change, err error, nth int, from provenance) {
	g.targetList.remove(now, c.Name)
	field := "entry"
	var foreign *catalog.EntryError
	if errors.As(err, &foreign) {
		field = foreign.Field
		g.targetList.refused[c.Name] = foreign
	}
	g.metrics.refusedEntries.Add(1, string(KindTargets), field)
	if nth <= maxRefusedLines {
		g.log.Error(logTargetRefused, "target", c.Name, "field", field, "error", err.Error(), "source", from.source, "revision", from.revision)
	}
}

// updatePools has the pools use what the changed names came to: a target may change, go and
// come back within a delta. Before holds what was listed under these names before. The caller
// holds mu.
func (g *Gateway) updatePools(now time.Time, before map[string]*catalog.Target) {
	var changed []*catalog.Target
	var gone []string
	for name, old := range before {
		spec, ok := g.targetList.specs[name]
		if ok {
			changed = append(changed, spec)
		}
		if old != nil && (!ok || old.ID != spec.ID) {
			gone = append(gone, old.ID)
		}
	}
	g.pools.changeTargets(now, changed, gone, g.evacuated)
	g.applyListChanges(now, changed, gone)
}
