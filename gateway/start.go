package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/internal/pause"
)

const (
	// minSeeds is the number of seeds in the settings from which an instance waits for
	// them at the first start of the system, for up to firstStartPeerWait. The seeds
	// themselves have fewer seeds in their settings and do not wait.
	minSeeds           = 3
	firstStartPeerWait = 1500 * time.Millisecond
	peerPollInterval   = 30 * time.Millisecond
	// registrationWait is the longest time for which an instance waits for the list of
	// instances, which shows whether it is still registered.
	registrationWait = 3 * time.Second
	// registerSpacing is the mean time between the writes of instances that all have to
	// register again. It uses a sixth of the writes that the store of the largest site
	// accepts. maxRegisterSpread bounds the time over which the writes of a fleet are spread.
	registerSpacing   = 5 * time.Millisecond
	maxRegisterSpread = 5 * time.Second
	// firstReadTime is how long a starting instance waits for its own first read of a kind
	// before it requests the kind from another instance.
	firstReadTime = time.Second

	// readerDivisor is the mean number of instances per reader. A reader is an instance
	// that reads the targets from the store when it starts, and sends them to others of its
	// hall. A hash of the name decides which instances are readers. If all 295 instances of
	// the largest site restarted at the same time and each of them read 350 kB, the store's
	// link of 1,000 Mbit/s would be saturated for 0.8 s.
	readerDivisor = 4
	// instancesWait is how long a starting instance waits for the list of instances, which
	// names the readers. readerTimeout is how long it waits for a reader's reply before it
	// sends a request to the next reader.
	instancesWait = 400 * time.Millisecond
	readerTimeout = 300 * time.Millisecond
	// maxReaders bounds the readers that are tried before the store is read.
	maxReaders = 2
	// maxPendingDeltaRequests bounds the delta requests of a kind that a reader keeps until
	// it has read the kind.
	maxPendingDeltaRequests = 64
)

// awaitPeers waits for the seeds to send a kind at the first start of the system. This spares
// the store one list operation per instance. At other starts it returns at once, since all
// instances, the seeds too, may have been killed at the same time.
func (g *Gateway) awaitPeers(ctx context.Context, kind feed.Kind) {
	g.awaitKind(ctx, kind, g.peerWait())
}

// peerWait returns how long awaitPeers waits at most.
func (g *Gateway) peerWait() time.Duration {
	switch {
	case g.isSeed():
		return 0
	case g.config.FirstStart:
		return firstStartPeerWait
	default:
		return 0
	}
}

// firstRead lists a kind of which this instance has no objects yet, whether or not it is a
// watcher. It retries until the store answers or another instance has sent the kind. A list that
// is some seconds old suffices, since the watchers push the later changes.
func (g *Gateway) firstRead(ctx context.Context, kind feed.Kind) {
	if kind == KindTargets {
		g.requestFromReaders(ctx)
	}
	wait := minRetryInterval
	for ctx.Err() == nil && g.position(kind).IsZero() {
		delta, err := g.store.ListStale(ctx, kind)
		g.recordStoreRead(kind, err)
		if err == nil {
			g.applyDelta(delta, sourceStore)
			if kind == KindRollouts {
				g.setRolloutsLoaded()
			}
			return
		}
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryInterval)
	}
}

// isReader reports whether the instance with the given name is a reader.
func isReader(name string) bool { return mix.Pair(name, "reader")%readerDivisor == 0 }

// requestFromReaders requests the targets from readers of the hall, unless this instance is a
// reader itself. It returns once the targets have arrived or the timeouts of the readers are
// over.
func (g *Gateway) requestFromReaders(ctx context.Context) {
	if isReader(g.config.Name) {
		return
	}
	g.awaitKind(ctx, KindInstances, instancesWait)
	for _, reader := range g.readers() {
		if !g.position(KindTargets).IsZero() {
			return
		}
		g.requestTargets(reader.PeerAddr)
		g.awaitKind(ctx, KindTargets, readerTimeout)
	}
}

// requestTargets requests the targets from the instance with a peer address.
func (g *Gateway) requestTargets(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requestDelta(addr, KindTargets)
}

// readers returns up to maxReaders readers of the hall in the order in which to try them. The
// order depends on the name of this instance, so that the load is spread over the readers.
func (g *Gateway) readers() []fleet.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []fleet.Member
	for _, s := range g.view.Others(g.clock.Now()) {
		if s.Hall == g.config.Hall && isReader(s.Name) {
			all = append(all, s.Member)
		}
	}
	if len(all) == 0 {
		return nil
	}
	first := int(mix.Pair(g.config.Name, "asks") % uint64(len(all)))
	ordered := append(all[first:len(all):len(all)], all[:first]...)
	return ordered[:min(len(ordered), maxReaders)]
}

// awaitKind waits until objects of a kind have arrived, for at most the given time.
func (g *Gateway) awaitKind(ctx context.Context, kind feed.Kind, limit time.Duration) {
	end := g.clock.Now().Add(limit)
	for g.clock.Now().Before(end) && g.position(kind).IsZero() && pause.For(ctx, peerPollInterval) {
	}
}

// keepRegistered writes the instance's own entry to the store, by which other instances find
// it, and writes it again whenever it is gone. Other instances remove the entry of an instance
// that was partitioned for long, and a store that was restored from a backup may lack it.
func (g *Gateway) keepRegistered(ctx context.Context) {
	if !g.config.FirstStart {
		g.awaitInstances(ctx)
	}
	for ctx.Err() == nil {
		g.register(ctx)
		g.updateRegisteredCapacity(ctx)
		select {
		case <-ctx.Done():
			return
		case <-g.unregistered:
		}
		g.awaitInstances(ctx)
		pause.For(ctx, g.registrationDelay())
	}
}

// awaitInstances waits until the list of instances of the store's current era is known, for at
// most registrationWait.
func (g *Gateway) awaitInstances(ctx context.Context) {
	end := g.clock.Now().Add(registrationWait)
	for g.clock.Now().Before(end) && !g.hasCurrentInstances() && pause.For(ctx, peerPollInterval) {
	}
}

// hasCurrentInstances reports whether the list of instances is one of the store's current era.
func (g *Gateway) hasCurrentInstances() bool {
	at := g.position(KindInstances)
	return !at.IsZero() && !g.watch.isPastEra(at)
}

// registrationDelay returns a random delay before this instance registers again, since all
// instances may have to register at the same time.
func (g *Gateway) registrationDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := min(time.Duration(g.view.Len())*registerSpacing, maxRegisterSpread)
	return time.Duration(g.rand.Int64N(int64(limit) + 1))
}

// register writes the entry of this instance to the store, with retries. It does nothing if the
// entry of an earlier process of this instance is still there.
func (g *Gateway) register(ctx context.Context) {
	wait := minRetryInterval
	for ctx.Err() == nil && !g.isRegistered() {
		err := g.store.Create(ctx, KindInstances, g.config.Name, g.view.Self())
		if err == nil {
			return
		}
		g.log.Warn(logNotRegistered, "error", err.Error())
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryInterval)
	}
}

// onInstanceRemoved triggers a check of the registration if the removed entry is that of this
// instance. The caller holds mu.
func (g *Gateway) onInstanceRemoved(name string) {
	if name == g.config.Name {
		g.checkRegistration()
	}
}

// checkRegistration makes keepRegistered check whether its entry is in the store. It does
// not block.
func (g *Gateway) checkRegistration() {
	select {
	case g.unregistered <- struct{}{}:
	default:
	}
}

// isRegistered reports whether the store of the current era is known to hold the entry of this
// instance.
func (g *Gateway) isRegistered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	replica := g.replicas[KindInstances]
	return !g.watch.isPastEra(replica.Position()) && replica.Has(g.config.Name)
}
