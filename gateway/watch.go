package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/pause"
)

const (
	// watchTimeout is how long a watch waits for a change: less than the 20 s of history
	// that the store of the sites keeps, so that a watch that is cut can go on.
	watchTimeout = 15 * time.Second
	// idleCheckInterval is how often an instance that does not watch looks whether
	// it should.
	idleCheckInterval = 250 * time.Millisecond
	// missedChangeTimeout is how long a watch may lag behind another instance's
	// before it counts as deaf.
	missedChangeTimeout = time.Second
	// settleTime is the time for which an instance that is no seed leaves watching to
	// others, from when it knows which instances are registered: three rounds of gossip,
	// in which it hears of those of its region. settleMost is the same from its start
	// on if it does not come to know them: the store may be away.
	settleTime    = 3 * fleet.RoundTime
	maxSettleTime = 10 * fleet.RoundTime
	// batchInterval is the time between two watches of kinds that change often.
	batchInterval = 200 * time.Millisecond
	// recoveryWatchTimeout is how long a watch waits that is to find out whether the store is
	// back.
	recoveryWatchTimeout = 100 * time.Millisecond
	// probeInterval is the time between two calls that find out whether the store
	// still answers while watches are pending.
	probeInterval = time.Second
	// minRetryInterval and maxPause bound the time between calls that fail.
	minRetryInterval = 300 * time.Millisecond
	maxRetryInterval = 2 * time.Second
)

// watchState is what an instance knows of its own watches.
type watchState struct {
	mu sync.Mutex
	// era is the latest that the store or another instance has told of.
	era              int64
	storeUnreachable bool
	watching         bool
	// cancels ends the pending watch of a kind.
	cancels map[feed.Kind]context.CancelFunc
	// missedAt is when another instance brought a change that the pending
	// watch has not.
	missedAt map[feed.Kind]time.Time
	// cursors hold the position up to which the own watch has seen that
	// nothing has changed. A replica stays at its last change, so that
	// instances with the same objects have the same position.
	cursors map[feed.Kind]feed.Position
}

func newWatchState() watchState {
	return watchState{
		era:      UnknownEra,
		cancels:  make(map[feed.Kind]context.CancelFunc),
		missedAt: make(map[feed.Kind]time.Time),
		cursors:  make(map[feed.Kind]feed.Position),
	}
}

// shouldWatch tells whether this instance is to watch the store. One that has just started
// knows of nobody and is the first in its own view, as all are that start with it, so it
// leaves that to the seeds for a while. The caller holds mu.
func (g *Gateway) shouldWatch(now time.Time) bool {
	return (g.isSeed() || g.hasSettled(now)) && g.view.ShouldWatch(now)
}

// hasSettled tells whether the instance has had the time to hear of the others. The caller
// holds mu.
func (g *Gateway) hasSettled(now time.Time) bool {
	if !g.instancesKnownAt.IsZero() && now.Sub(g.instancesKnownAt) >= settleTime {
		return true
	}
	return now.Sub(g.startedAt) >= maxSettleTime
}

// isSeed tells whether the instance is one that others try first, or knows too few such
// to wait for them.
func (g *Gateway) isSeed() bool { return len(g.config.Seeds) < minSeeds }

// cursor returns where the next watch begins for a replica at a position.
func (w *watchState) cursor(kind feed.Kind, at feed.Position) feed.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return feed.Later(w.cursors[kind], at)
}

func (w *watchState) advance(kind feed.Kind, to feed.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cursors[kind] = to
}

// enterEra takes in that the store is in an era. When a new one has begun all pending watches are
// given up: they wait for changes after revisions of the era before.
func (w *watchState) enterEra(era int64) (before int64, entered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before = w.era
	if era <= before {
		return before, false
	}
	w.era = era
	for _, cancel := range w.cancels {
		cancel()
	}
	return before, true
}

// isPastEra tells whether a position is of an era that has ended.
func (w *watchState) isPastEra(at feed.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return at.Era < w.era
}

func (w *watchState) isStoreUnreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeUnreachable
}

// isWatcher tells whether the instance is to watch, by its last view of the fleet.
func (w *watchState) isWatcher() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watching
}

func (w *watchState) isWatching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watching && !w.storeUnreachable
}

// setStoreUnreachable reports whether the state has changed. When the store is lost all pending
// watches are given up: one whose answer was lost hears nothing more, even when the
// store is back.
func (w *watchState) setStoreUnreachable(unreachable bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.storeUnreachable != unreachable
	w.storeUnreachable = unreachable
	if changed && unreachable {
		for _, cancel := range w.cancels {
			cancel()
		}
	}
	return changed
}

func (w *watchState) setWatching(watching bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = watching
}

func (w *watchState) begin(kind feed.Kind, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[kind] = cancel
	delete(w.missedAt, kind)
}

func (w *watchState) end(kind feed.Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, kind)
	delete(w.missedAt, kind)
}

// recordMissed notes that another instance has brought a change of the kind.
func (w *watchState) recordMissed(kind feed.Kind, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, noted := w.missedAt[kind]; !noted && w.cancels[kind] != nil {
		w.missedAt[kind] = now
	}
}

// cancelOutdated cancels watches that others have overtaken for too long, and all of
// them if the instance is not to watch. It reports whether a watch was deaf.
func (w *watchState) cancelOutdated(now time.Time, watches bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	lagged := false
	for kind, cancel := range w.cancels {
		at, noted := w.missedAt[kind]
		late := noted && now.Sub(at) >= missedChangeTimeout
		if late || !watches {
			cancel()
		}
		lagged = lagged || late
	}
	return lagged
}

// position returns the position of the replica of a kind.
func (g *Gateway) position(kind feed.Kind) feed.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[kind].Position()
}

// watchLoop keeps the replica of a kind up to date from the store while this
// instance is a watcher.
func (g *Gateway) watchLoop(ctx context.Context, kind feed.Kind) {
	g.awaitPeers(ctx, kind)
	g.firstRead(ctx, kind)
	wait := minRetryInterval
	for ctx.Err() == nil {
		if !g.watch.isWatcher() {
			pause.For(ctx, idleCheckInterval)
			continue
		}
		if g.watch.isStoreUnreachable() && kind != KindConfig {
			// One kind is enough to find out whether the store is back.
			pause.For(ctx, idleCheckInterval)
			continue
		}
		err := g.readOnce(ctx, kind)
		switch {
		case err == nil:
			g.recordStoreContact()
			wait = minRetryInterval
			continue
		case errors.Is(err, context.Canceled) || ctx.Err() != nil:
			continue
		case errors.Is(err, errUnknownKind):
			g.recordStoreContact()
			pause.For(ctx, maxRetryInterval)
			continue
		case errors.Is(err, errNothingNewer) || errors.Is(err, ErrHistoryGone):
			g.recordStoreContact()
		default:
			g.recordStoreLoss(kind, err)
		}
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryInterval)
	}
}

var (
	// errUnknownKind means that the store does not know a kind yet, of which nothing is held.
	errUnknownKind = errors.New("gateway: kind is not known to the store")
	// errNothingNewer means that a list has not brought the replica forward: the store answers
	// as of some time ago.
	errNothingNewer = errors.New("gateway: list brings nothing newer")
)

// probeLoop finds out whether the store still answers while this instance is a watcher:
// a pending watch does not tell.
func (g *Gateway) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, probeInterval)
		if !g.watch.isWatching() || g.position(KindConfig).IsZero() {
			continue
		}
		err := g.store.Probe(ctx)
		g.updateEra()
		if err != nil && ctx.Err() == nil {
			g.recordStoreRead(KindEvacuations, err)
			g.recordStoreLoss(KindEvacuations, err)
		}
	}
}

// readOnce lists the kind if nothing of the store's era is held, and else waits for changes.
func (g *Gateway) readOnce(ctx context.Context, kind feed.Kind) error {
	at := g.position(kind)
	if at.IsZero() || g.watch.isPastEra(at) {
		return g.listKind(ctx, kind)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.watch.begin(kind, cancel)
	wait := watchTimeout
	if g.watch.isStoreUnreachable() {
		wait = recoveryWatchTimeout
	}
	cursor := g.watch.cursor(kind, at)
	delta, err := g.store.Watch(watchCtx, kind, cursor, wait)
	g.watch.end(kind)
	g.recordStoreRead(kind, err)
	if errors.Is(err, ErrHistoryGone) {
		g.log.Warn(logHistoryGone, "kind", kind, "revision", cursor.Revision)
		return g.listKind(ctx, kind)
	}
	if err != nil {
		return err
	}
	g.watch.advance(kind, delta.To)
	if len(delta.Changes) == 0 {
		return nil
	}
	// Nothing has changed between the replica's position and the cursor.
	if at := g.position(kind); at.Era == delta.From.Era && delta.From.After(at) {
		delta.From = at
	}
	g.applyDelta(delta, sourceStore)
	if kind == KindTargets || kind == KindInstances {
		// Many of these change one after the other; one call brings several.
		pause.For(ctx, batchInterval)
	}
	return nil
}

// listKind reads the whole kind. It returns errUnknownKind or errNothingNewer if the replica is not further on
// for it.
func (g *Gateway) listKind(ctx context.Context, kind feed.Kind) error {
	before := g.position(kind)
	delta, err := g.store.List(ctx, kind)
	g.recordStoreRead(kind, err)
	if err != nil {
		return err
	}
	if before.After(delta.To) {
		g.metrics.storeReads.Add(1, string(kind), readBehind)
		g.log.Warn(logListBehind, "kind", kind, "ends", delta.To.Revision, "era", delta.To.Era, "revision", before.Revision, "held_era", before.Era)
	}
	g.applyDelta(delta, sourceStore)
	switch at := g.position(kind); {
	case at.IsZero():
		return errUnknownKind
	case !at.After(before):
		return errNothingNewer
	default:
		return nil
	}
}

// updateEra takes in the era that the store's answers name.
func (g *Gateway) updateEra() { g.enterEra(g.store.Era(), sourceStore) }

// enterEra has the instance follow the store into an era of which a source tells.
func (g *Gateway) enterEra(era int64, source string) {
	before, entered := g.watch.enterEra(era)
	if !entered {
		return
	}
	if before == UnknownEra {
		g.log.Info(logStoreEra, "era", era, "source", source)
		return
	}
	g.checkRegistration()
	g.log.Warn(logStoreEra, "era", era, "before", before, "source", source)
}

// recordStoreRead takes in how a read of the store ended, before what it brought is put in
// force.
func (g *Gateway) recordStoreRead(kind feed.Kind, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	g.updateEra()
	g.metrics.storeRead(kind, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		g.heldChanges[KindTargets].removals.StoreAnswered(g.clock.Now())
		return
	}
	g.heldChanges[KindTargets].removals.StoreFailed()
}

func (g *Gateway) recordStoreContact() {
	g.recordContact(g.clock.Now())
	if g.watch.setStoreUnreachable(false) {
		g.log.Info(logStoreRegained)
	}
}

func (g *Gateway) recordStoreLoss(kind feed.Kind, err error) {
	if g.watch.setStoreUnreachable(true) {
		g.log.Warn(logStoreLost, "kind", kind, "error", err.Error())
	}
}
