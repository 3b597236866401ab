package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/internal/pause"
)

const (
	// maxRewrites bounds the objects that an instance writes again in one round. The rounds
	// are at least rewriteInterval apart.
	maxRewrites     = 8
	rewriteInterval = time.Second
	// lostObjectsTimeout is the time after a restore of the store after which lost objects
	// are no longer written again.
	lostObjectsTimeout = time.Minute
)

// lostObjects holds objects of KindTable, by name, that were in the store and that it lacks, or holds in
// an older version, since it was restored from a backup. They are rainford's own objects, so the instances have to write them
// again.
type lostObjects struct {
	values map[string][]byte
	// deadline is the end of the attempts to write the objects again.
	deadline time.Time
	// writing is set while a round of writes is under way.
	writing bool
}

// ownObjectsBeforeRestore returns rainford's own objects as the replica holds them, if a delta
// leads to another era of the store. The restored store may lack some of them. In all other cases
// it returns nil. The caller holds mu.
func (g *Gateway) ownObjectsBeforeRestore(d feed.Delta) map[string][]byte {
	replica := g.replicas[KindTable]
	if d.Kind != KindTable || d.To.Era == replica.Position().Era {
		return nil
	}
	out := make(map[string][]byte, replica.Len())
	replica.Range(func(o feed.Object) { out[o.Name] = o.Value })
	return out
}

// recordLostObjects records the objects of rainford that a restored store has lost. Before is the result of
// ownObjectsBeforeRestore, and changes lead from there to the contents of the restored store. The
// caller holds mu.
func (g *Gateway) recordLostObjects(now time.Time, before map[string][]byte, changes []feed.Change) {
	for _, c := range changes {
		held, known := before[c.Name]
		if !known {
			continue
		}
		if !c.Removed && !config.Supersedes(c.Name, held, c.Value) {
			g.logOverwritten(c, held)
			continue
		}
		if g.lostOwnObjects.values == nil {
			g.lostOwnObjects.values = make(map[string][]byte)
		}
		g.lostOwnObjects.values[c.Name] = held
		g.lostOwnObjects.deadline = now.Add(lostObjectsTimeout)
	}
	if len(g.lostOwnObjects.values) > 0 {
		g.log.Warn(logObjectsLost, "objects", len(g.lostOwnObjects.values))
	}
}

// logOverwritten logs the changes of the operators' table that are lost for good, because operators
// have changed the restored table before the instances could write the lost changes again.
func (g *Gateway) logOverwritten(c feed.Change, held []byte) {
	if c.Name != config.Key {
		return
	}
	for _, change := range config.LostChanges(held, c.Value) {
		g.log.Error(logChangeLost, "number", change.Number, "id", change.ID, "who", change.Operator, "what", change.Command)
	}
}

// isLost reports whether a change only reflects that a restored store has lost an object. Such a
// change is not applied. The caller holds mu.
func (g *Gateway) isLost(c feed.Change, from provenance) bool {
	_, lost := g.lostOwnObjects.values[c.Name]
	return lost && from.restored
}

// rewriteLostObjects writes lost objects to the store again, in the background. Only the first
// watcher of a region does so. All other instances record the lost objects too, so that any of
// them can take over.
func (g *Gateway) rewriteLostObjects(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.missingObjects(now)
	if len(names) == 0 || g.lostOwnObjects.writing || !g.watch.isWatching() || !g.view.IsFirstWatcher(now) {
		return
	}
	batch := make(map[string][]byte, maxRewrites)
	for _, name := range names[:min(len(names), maxRewrites)] {
		batch[name] = g.lostOwnObjects.values[name]
	}
	g.lostOwnObjects.writing = true
	g.startGoroutine(func() {
		for name, value := range batch {
			g.rewriteObject(ctx, name, value)
		}
		// The pause leaves time for the watch to return what was written.
		pause.For(ctx, rewriteInterval)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lostOwnObjects.writing = false
	})
}

// missingObjects returns the sorted names of the lost objects that the replica lacks or holds in
// an older version. It drops the record of those that the replica holds again, and of all after the
// deadline. The caller holds
// mu.
func (g *Gateway) missingObjects(now time.Time) []string {
	var names []string
	replica := g.replicas[KindTable]
	for name, value := range g.lostOwnObjects.values {
		stored, listed := replica.Get(name)
		if listed && !config.Supersedes(name, value, stored) {
			delete(g.lostOwnObjects.values, name)
			continue
		}
		names = append(names, name)
	}
	if len(names) > 0 && now.After(g.lostOwnObjects.deadline) {
		g.log.Error(logObjectsNotRewritten, "objects", len(names), "first", names[0])
		g.lostOwnObjects.values = nil
		return nil
	}
	slices.Sort(names)
	return names
}

// rewriteObject writes an object to the store again, unless the store holds a version of it that
// value does not supersede. The log line logObjectRewritten appears in that case too.
func (g *Gateway) rewriteObject(ctx context.Context, name string, value []byte) {
	stored, err := g.store.Get(ctx, KindTable, name)
	switch {
	case err != nil:
	case stored.Revision == 0:
		err = g.store.Create(ctx, KindTable, name, json.RawMessage(value))
	case config.Supersedes(name, value, stored.Value):
		stored.Value = value
		err = g.store.Replace(ctx, KindTable, stored)
	}
	if err != nil {
		g.log.Warn(logObjectRewritten, "name", name, "error", err.Error())
		return
	}
	g.log.Info(logObjectRewritten, "name", name)
}
