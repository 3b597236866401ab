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
	// watchTimeout is the longest time for which a watch waits for a change. It is less than
	// the 20 s of history that the store of the sites keeps, so that a watch whose connection
	// broke can resume from its cursor.
	watchTimeout = 15 * time.Second
	// idleCheckInterval is the interval at which an instance that does not watch checks
	// whether it should.
	idleCheckInterval = 250 * time.Millisecond
	// missedChangeTimeout is how long a watch may lag behind the changes that other instances
	// send, before it counts as broken.
	missedChangeTimeout = time.Second
	// settleTime is how long an instance that is no seed does not watch after it has learned
	// which instances are registered. It is three rounds of gossip, in which the instance
	// receives the heartbeats of its region. maxSettleTime is the limit from the start of the
	// instance. It applies if the list of instances does not arrive, as when the store is
	// unreachable.
	settleTime    = 3 * fleet.RoundTime
	maxSettleTime = 10 * fleet.RoundTime
	// batchInterval is the pause between two watches of a kind that changes often, so that
	// one call returns several changes.
	batchInterval = 200 * time.Millisecond
	// recoveryWatchTimeout is the timeout of a watch that checks whether the store answers
	// again.
	recoveryWatchTimeout = 100 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the exponential back-off between calls to
	// the store that fail.
	minRetryInterval = 300 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// maxRecoveryInterval bounds the time from one call to the next of a watcher whose store does not
	// answer. With the time that a watch takes then, a change is in force within 2.5 s of its return.
	maxRecoveryInterval = 1500 * time.Millisecond
)

// watchState is the state of the instance's own watches. It is safe for concurrent use.
type watchState struct {
	mu sync.Mutex
	// era is the latest era that the store or another instance has reported.
	era int64
	// storeUnreachable is set while the store does not answer, and watching while the
	// instance should watch.
	storeUnreachable bool
	watching         bool
	// cancels holds the function that cancels the pending watch of a kind.
	cancels map[feed.Kind]context.CancelFunc
	// missedAt is the time at which another instance first sent a change that the pending
	// watch of a kind has not returned.
	missedAt map[feed.Kind]time.Time
	// cursors holds the position up to which the watch of a kind has returned all changes,
	// which may be none. The position of a replica remains that of its last change, so that
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

// shouldWatch reports whether this instance should watch the store. An instance that has just
// started has no heartbeats of others and is the first of its region in its own view, and so are
// all instances that start at the same time. Therefore an instance that is no seed leaves the
// watching to the seeds at first. The caller holds mu.
func (g *Gateway) shouldWatch(now time.Time) bool {
	return (g.isSeed() || g.hasSettled(now)) && g.view.ShouldWatch(now)
}

// hasSettled reports whether the instance has had enough time to receive heartbeats of the others.
// The caller holds mu.
func (g *Gateway) hasSettled(now time.Time) bool {
	if !g.instancesKnownAt.IsZero() && now.Sub(g.instancesKnownAt) >= settleTime {
		return true
	}
	return now.Sub(g.startedAt) >= maxSettleTime
}

// isSeed reports whether the instance counts as a seed, because its settings have fewer than
// minSeeds seeds.
func (g *Gateway) isSeed() bool { return len(g.config.Seeds) < minSeeds }

// cursor returns the position from which the next watch of a kind begins, given the position of the
// replica.
func (w *watchState) cursor(kind feed.Kind, at feed.Position) feed.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return feed.Later(w.cursors[kind], at)
}

// advance moves the cursor of a kind, but not back.
func (w *watchState) advance(kind feed.Kind, to feed.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cursors[kind] = feed.Later(w.cursors[kind], to)
}

// enterEra records an era of the store. It returns the latest era before, and whether the given
// one is later. If it is, all pending watches are cancelled, since they wait for changes after
// revisions of the previous era.
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

// isPastEra reports whether a position belongs to an earlier era than the current one.
func (w *watchState) isPastEra(at feed.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return at.Era < w.era
}

// isStoreUnreachable reports whether the store does not answer.
func (w *watchState) isStoreUnreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeUnreachable
}

// isWatcher reports whether the instance should watch, according to the last round of gossip.
func (w *watchState) isWatcher() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watching
}

// isWatching reports whether the instance is a watcher and the store answers.
func (w *watchState) isWatching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watching && !w.storeUnreachable
}

// setStoreUnreachable sets whether the store is unreachable, and reports whether that has changed.
// When the store becomes unreachable, all pending watches are cancelled. A watch whose response was
// lost would not return even after the store has recovered.
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

// setWatching sets whether the instance should watch.
func (w *watchState) setWatching(watching bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = watching
}

// begin records that a watch of a kind is pending.
func (w *watchState) begin(kind feed.Kind, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[kind] = cancel
	delete(w.missedAt, kind)
}

// end records that the watch of a kind has returned.
func (w *watchState) end(kind feed.Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, kind)
	delete(w.missedAt, kind)
}

// cancelKind cancels the pending watch of a kind.
func (w *watchState) cancelKind(kind feed.Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancel := w.cancels[kind]; cancel != nil {
		cancel()
	}
}

// recordMissed records that another instance has sent a change of a kind before the pending watch
// has returned it.
func (w *watchState) recordMissed(kind feed.Kind, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, noted := w.missedAt[kind]; !noted && w.cancels[kind] != nil {
		w.missedAt[kind] = now
	}
}

// cancelOutdated cancels the watches that have lagged behind other instances for
// missedChangeTimeout, and all watches if the instance should not watch. It reports whether any
// watch has lagged for that long.
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

// position returns the position of the replica of a kind, which is zero before its first objects.
func (g *Gateway) position(kind feed.Kind) feed.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[kind].Position()
}

// watchLoop reads a kind at the start and then keeps its replica up to date from the store while
// this instance is a watcher.
func (g *Gateway) watchLoop(ctx context.Context, kind feed.Kind) {
	g.awaitPeers(ctx, kind)
	g.firstRead(ctx, kind)
	wait := minRetryInterval
	for ctx.Err() == nil {
		if g.needsVerification(kind) {
			g.verify(ctx, kind)
			continue
		}
		if !g.watch.isWatcher() {
			pause.For(ctx, idleCheckInterval)
			continue
		}
		if g.watch.isStoreUnreachable() && kind != KindConfig {
			// The watch of one kind is enough to detect that the store answers again.
			pause.For(ctx, idleCheckInterval)
			continue
		}
		started := g.clock.Now()
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
		pause.For(ctx, wait-g.clock.Since(started))
		wait = min(2*wait, maxRecoveryInterval)
	}
}

var (
	// errUnknownKind is returned if the store does not know a kind yet and the replica is empty.
	errUnknownKind = errors.New("gateway: kind is not known to the store")
	// errNothingNewer is returned if a list has not advanced the replica, because the store
	// returned an old state or the one that the replica holds.
	errNothingNewer = errors.New("gateway: list is not newer than the replica")
)

// readOnce lists a kind if the replica holds no objects of the store's current era, and otherwise
// watches it once. If the store has no history for the watch, it lists the kind too. It applies the
// result.
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
	changed := g.applyRead(delta)
	if changed && (kind == KindTargets || kind == KindInstances) {
		// These kinds change in bursts. After the pause one call returns several changes.
		pause.For(ctx, batchInterval)
	}
	return nil
}

// listKind lists a kind and applies the result. It returns errUnknownKind if the replica remains
// without a position, and errNothingNewer if its position has not advanced.
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

// updateEra follows the store into the era that its responses name.
func (g *Gateway) updateEra() { g.enterEra(g.store.Era(), sourceStore) }

// enterEra follows the store into an era that a source has reported. Source is sourceStore or the
// peer address of an instance. On a new era the instance also checks its registration, unless no era
// was known before.
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

// recordStoreRead records the result of a read of the store, unless the read was cancelled. It must be called before the objects
// that the read returned are applied.
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
	g.heldChanges[KindTargets].removals.StoreFailed(g.clock.Now())
}

// recordStoreContact records that the store has answered.
func (g *Gateway) recordStoreContact() {
	g.recordContact(g.clock.Now())
	g.isolation.recordStoreResponse(g.clock.Now())
	if g.watch.setStoreUnreachable(false) {
		g.log.Info(logStoreRegained)
	}
}

// recordStoreLoss records that the store has not answered a read of a kind.
func (g *Gateway) recordStoreLoss(kind feed.Kind, err error) {
	if g.watch.setStoreUnreachable(true) {
		g.log.Warn(logStoreLost, "kind", kind, "error", err.Error())
	}
}
