package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// manyTargets is the number of changes at once from which on one line tells of
// them all.
const manyTargets = 16

// maxRefusedLines bounds the entries refused in one delta that are told in a line each.
const maxRefusedLines = 4

// listed are the targets that the store names.
type listed struct {
	// specs holds those to use by their names. None changes once it is there.
	specs map[string]*catalog.Target
	// refused are the entries that name no target to use, with what is wrong with them.
	refused map[string]*catalog.EntryError
	// gone holds the latest incarnation known of each name that has no target to use, or one whose start
	// is not told, for a while.
	gone map[string]incarnation
	// texts are those that many targets have in common, so that each is held once.
	texts map[string]string
}

// incarnation is when a target started, the sequence of what it wrote last, and when its entry went,
// zero while there is one.
type incarnation struct {
	born, sequence int64
	goneAt         time.Time
}

// bornKept is how long it is remembered when a target that is gone had started. A write of an
// earlier incarnation that the store was slow to do may come some seconds later.
const bornKept = time.Minute

func newListed() listed {
	return listed{
		specs:   make(map[string]*catalog.Target),
		refused: make(map[string]*catalog.EntryError),
		gone:    make(map[string]incarnation),
		texts:   make(map[string]string),
	}
}

// born returns when the latest known incarnation of a name started, 0 if that is not known.
func (l *listed) born(name string) int64 {
	if spec := l.specs[name]; spec != nil && spec.Born > 0 {
		return spec.Born
	}
	return l.gone[name].born
}

// isOld tells whether an entry is that of an earlier incarnation than the one known.
func (l *listed) isOld(spec catalog.Target) bool {
	return spec.Born > 0 && spec.Born < l.born(spec.Name)
}

// put takes in the entry of a target to use.
func (l *listed) put(spec catalog.Target) {
	spec.Service, spec.Version, spec.Hall = l.shared(spec.Service), l.shared(spec.Version), l.shared(spec.Hall)
	known := l.born(spec.Name)
	l.specs[spec.Name] = &spec
	delete(l.refused, spec.Name)
	switch {
	case spec.Born > 0:
		delete(l.gone, spec.Name)
	case known > 0:
		l.gone[spec.Name] = incarnation{born: known}
	default:
		delete(l.gone, spec.Name)
	}
}

// maxTexts bounds the texts that are held once: far more than there are services, versions and halls.
const maxTexts = 4096

// shared returns a text as it is held.
func (l *listed) shared(text string) string {
	held, ok := l.texts[text]
	if ok {
		return held
	}
	if len(l.texts) >= maxTexts {
		clear(l.texts)
	}
	l.texts[text] = text
	return text
}

// drop takes in that a name has no target to use any more.
func (l *listed) drop(now time.Time, name string) {
	last := incarnation{born: l.born(name), sequence: l.gone[name].sequence, goneAt: now}
	if spec := l.specs[name]; spec != nil {
		last.sequence = spec.Sequence
	}
	delete(l.specs, name)
	delete(l.refused, name)
	l.gone[name] = last
}

// isOfCopy tells whether an entry of a store that came back from a copy is what a target had written
// before what is known of it: before its last word, or before it went.
func (l *listed) isOfCopy(spec catalog.Target) bool {
	if known := l.specs[spec.Name]; known != nil {
		return known.ID == spec.ID && spec.Sequence < known.Sequence
	}
	last, went := l.gone[spec.Name]
	return went && last.born == spec.Born && spec.Sequence <= last.sequence
}

// expire forgets when targets had started that are gone for long.
func (l *listed) expire(now time.Time) {
	for name, known := range l.gone {
		if !known.goneAt.IsZero() && now.Sub(known.goneAt) >= bornKept {
			delete(l.gone, name)
		}
	}
}

// applyTargets takes in changes of targets' entries. An entry that can't be taken names no
// target: what was listed under its name is no longer used, and all others hold. The caller
// holds mu.
func (g *Gateway) applyTargets(now time.Time, changes []feed.Change, from provenance) {
	level := slog.LevelInfo
	if len(changes) >= manyTargets {
		level = slog.LevelDebug
		g.log.Info(logTargets, "changes", len(changes), "held", g.replicas[KindTargets].Len(), "source", from.source, "revision", from.revision)
	}
	before := make(map[string]*catalog.Target, len(changes))
	held := g.held[KindTargets]
	refused := 0
	ctx := context.Background()
	for _, c := range changes {
		if _, ok := before[c.Name]; !ok {
			before[c.Name] = g.listed.specs[c.Name]
		}
		if c.Removed && !g.leaves(c.Name) && held.lapse.Hold(now, c.Name) {
			g.log.Log(ctx, level, logTargetLapsed, "target", c.Name, "for_ms", held.lapse.Remaining(now).Milliseconds(), "source", from.source, "revision", from.revision)
			continue
		}
		held.lapse.Cancel(c.Name)
		if c.Removed {
			g.listed.drop(now, c.Name)
			held.relisted.Add(now, c.Name)
			g.log.Log(ctx, level, logTargetGone, "target", c.Name, "source", from.source, "revision", from.revision)
			continue
		}
		spec, err := g.targetOf(c)
		if err != nil {
			refused++
			g.refuseTarget(now, c, err, refused, from)
			continue
		}
		if g.listed.isOld(spec) {
			g.log.Log(ctx, level, logTargetOld, "target", c.Name, "born", spec.Born, "known", g.listed.born(c.Name), "source", from.source, "revision", from.revision)
			continue
		}
		if from.restored && g.isHeldBack(now, spec) {
			g.log.Log(ctx, level, logTargetOfCopy, "target", c.Name, "sequence", spec.Sequence, "source", from.source, "revision", from.revision)
			continue
		}
		held.relisted.Rewritten(c.Name)
		g.listed.put(spec)
		g.log.Log(ctx, level, logTarget, "target", spec.ID, "service", spec.Service, "version", spec.Version, "hall", spec.Hall, "addr", spec.Addr,
			"leaves", spec.Leaves, "cold_ms", spec.ColdFor.Milliseconds(), "source", from.source, "revision", from.revision)
	}
	if refused > maxRefusedLines {
		g.log.Error(logTargetsRefused, "entries", refused, "source", from.source, "revision", from.revision)
	}
	g.useTargets(now, before)
	g.awaitHeld(now, KindTargets)
}

// leaves tells whether the target of a name has said that it leaves, in the list or by its own
// word. The caller holds mu.
func (g *Gateway) leaves(name string) bool {
	spec, ok := g.listed.specs[name]
	return ok && (spec.Leaves || g.departures.has(spec.ID))
}

// targetOf returns the target that an entry names. It has to be in a hall of the settings.
func (g *Gateway) targetOf(c feed.Change) (catalog.Target, error) {
	spec, err := g.codec.Target(c.Name, c.Value)
	if err != nil {
		return spec, err
	}
	if _, ok := g.config.RegionOf[spec.Hall]; !ok {
		return spec, &catalog.EntryError{Field: "hall", Problem: "is not one of the settings"}
	}
	return spec, nil
}

// refuseTarget takes in an entry that names no target to use. The nth of a delta is told in a
// line of its own if it is among the first. The caller holds mu.
func (g *Gateway) refuseTarget(now time.Time, c feed.Change, err error, nth int, from provenance) {
	g.listed.drop(now, c.Name)
	field := "entry"
	var foreign *catalog.EntryError
	if errors.As(err, &foreign) {
		field = foreign.Field
		g.listed.refused[c.Name] = foreign
	}
	g.metrics.refused.Add(1, string(KindTargets), field)
	if nth <= maxRefusedLines {
		g.log.Error(logTargetRefused, "target", c.Name, "field", field, "error", err.Error(), "source", from.source, "revision", from.revision)
	}
}

// useTargets has the pools use what the changed names came to: a target may change, go and
// come back within a delta. Before holds what was listed under these names before. The caller
// holds mu.
func (g *Gateway) useTargets(now time.Time, before map[string]*catalog.Target) {
	var changed []*catalog.Target
	var gone []string
	for name, old := range before {
		spec, ok := g.listed.specs[name]
		if ok {
			changed = append(changed, spec)
		}
		if old != nil && (!ok || old.ID != spec.ID) {
			gone = append(gone, old.ID)
		}
	}
	g.pools.changeTargets(now, changed, gone, g.evacuated)
	g.listedEnds(now, changed, gone)
}
