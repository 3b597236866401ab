package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/internal/pause"
)

const (
	// checkInterval is the time between two checks of the store while watches are pending.
	checkInterval = time.Second
	// checkWait is the wait of a watch that returns the changes made so far.
	checkWait = time.Millisecond
	// answerTime is how much later than the response to another call the response of a pending watch
	// may arrive. It has room for batchInterval, in which no watch is pending.
	answerTime = 300 * time.Millisecond
)

// checksPerLook holds, for each kind, the number of checks of which one looks for changes that its watch has
// missed. A change of a kind with 1 has to be in force within 2.5 s, and one with 2 within 5 s. The others
// have no bound. The configuration is looked at in each check.
var checksPerLook = map[feed.Kind]int{KindTargets: 1, KindEvacuations: 2, KindRollouts: 2, KindTable: 4, KindInstances: 4}

// checkLoop checks the store while this instance is a watcher. A pending watch does not show whether
// the store still answers, nor that its response was lost: the connection of a lost response is silent until the
// watch times out.
func (g *Gateway) checkLoop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause.For(ctx, checkInterval)
		if g.watch.isWatching() {
			g.checkStore(ctx, n)
		}
	}
}

// checkStore looks for missed changes of the first kind that is known, which usually is the configuration, and
// then for those of the kinds whose turn it is in the nth check, unless their watches have reached the store's
// position meanwhile.
func (g *Gateway) checkStore(ctx context.Context, n int) {
	first := slices.IndexFunc(g.kinds, func(kind feed.Kind) bool { return !g.position(kind).IsZero() })
	if first < 0 {
		return
	}
	newest := g.lookForChanges(ctx, g.kinds[first])
	behind := g.kindsBehind(newest, n)
	if len(behind) == 0 {
		return
	}
	pause.For(ctx, answerTime)
	var looks sync.WaitGroup
	for _, kind := range g.kindsBehind(newest, n) {
		looks.Go(func() { g.lookForChanges(ctx, kind) })
	}
	looks.Wait()
}

// kindsBehind returns the kinds to look at in the nth check whose watches have not reached a position of the
// store.
func (g *Gateway) kindsBehind(newest feed.Position, n int) []feed.Kind {
	var behind []feed.Kind
	for i, kind := range g.kinds {
		per := checksPerLook[kind]
		if per > 0 && (n+i)%per == 0 && newest.After(g.watch.cursor(kind, g.position(kind))) {
			behind = append(behind, kind)
		}
	}
	return behind
}

// lookForChanges applies the changes of a kind that its pending watch has not returned, and replaces the watch then.
// It returns the position of the store, or the zero position if the store has not told it. A kind that has to be
// listed is left to its watch loop.
func (g *Gateway) lookForChanges(ctx context.Context, kind feed.Kind) feed.Position {
	at := g.position(kind)
	if at.IsZero() || g.watch.isPastEra(at) {
		return feed.Position{}
	}
	delta, err := g.store.Watch(ctx, kind, g.watch.cursor(kind, at), checkWait)
	if ctx.Err() != nil {
		return feed.Position{}
	}
	g.recordStoreRead(kind, err)
	switch {
	case errors.Is(err, ErrHistoryGone):
		g.watch.cancelKind(kind)
		return feed.Position{}
	case err != nil:
		g.recordStoreLoss(kind, err)
		return feed.Position{}
	}
	if g.applyRead(delta) {
		g.metrics.storeReads.Add(1, string(kind), readMissed)
		g.log.Info(logWatchMissed, "kind", kind, "changes", len(delta.Changes), "revision", delta.To.Revision)
		g.watch.cancelKind(kind)
	}
	return delta.To
}

// applyRead records how far a watch has read a kind, and applies the changes that it has returned. It reports
// whether there were any.
func (g *Gateway) applyRead(d feed.Delta) bool {
	g.watch.advance(d.Kind, d.To)
	if len(d.Changes)+len(d.Unreadable) == 0 {
		return false
	}
	// Nothing has changed between the replica's position and the cursor.
	if at := g.position(d.Kind); at.Era == d.From.Era && d.From.After(at) {
		d.From = at
	}
	g.applyDelta(d, sourceStore)
	return true
}
