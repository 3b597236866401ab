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
	// maxRewrites bounds the objects that an instance writes again in a round, one round a
	// rewritePause.
	maxRewrites     = 8
	rewriteInterval = time.Second
	// lostObjectsTimeout is how long it is tried to have a restored store hold what it has lost.
	lostObjectsTimeout = time.Minute
)

// lostObjects are what the product itself had kept in the store, and a store that came back from a copy
// has lost: nobody else writes it again. Names are those of objects of KindTable.
type lostObjects struct {
	values map[string][]byte
	// deadline is how long it is tried to write them again.
	deadline time.Time
	// writing says that it is tried now.
	writing bool
}

// ownObjectsBeforeRestore returns the product's own objects as they are held, if a delta leads to another era of the
// store, which may lack some of them. The caller holds mu.
func (g *Gateway) ownObjectsBeforeRestore(d feed.Delta) map[string][]byte {
	replica := g.replicas[KindTable]
	if d.Kind != KindTable || d.To.Era == replica.Position().Era {
		return nil
	}
	out := make(map[string][]byte, replica.Len())
	replica.Range(func(o feed.Object) { out[o.Name] = o.Value })
	return out
}

// recordLostObjects takes in the changes that led from what was held before to what a restored store holds. The
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

// logOverwritten tells which changes of the operators' table are lost for good: another one was made to
// what the restored store holds.
func (g *Gateway) logOverwritten(c feed.Change, held []byte) {
	if c.Name != config.Key {
		return
	}
	for _, change := range config.LostChanges(held, c.Value) {
		g.log.Error(logChangeLost, "number", change.Number, "id", change.ID, "who", change.Operator, "what", change.Command)
	}
}

// isLost tells whether a change is that a restored store has lost an object: what it held still counts.
// The caller holds mu.
func (g *Gateway) isLost(c feed.Change, from provenance) bool {
	_, lost := g.lostOwnObjects.values[c.Name]
	return lost && from.restored
}

// rewriteLostObjects has the store hold again what it has lost. The first watcher of a region does it; all
// others know what it is, in case that one ends.
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
		// The watch brings what was written.
		pause.For(ctx, rewriteInterval)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lostOwnObjects.writing = false
	})
}

// missingObjects returns the names of the lost objects that the store does not hold again, in order, and forgets
// those that it does. The caller holds mu.
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

// rewriteObject has the store hold an object again, unless it holds one that is no earlier state of it.
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
