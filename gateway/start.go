package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/peer"
)

const (
	// minSeeds is the number of other instances in the settings from which on
	// an instance waits for them at the first start of the system, for
	// firstPeersTime. The seeds themselves know fewer others and do not wait.
	minSeeds           = 3
	firstStartPeerWait = 1500 * time.Millisecond
	peerPollInterval   = 30 * time.Millisecond
	// registrationWait is how long an instance that starts again waits to learn whether it
	// is registered.
	registrationWait = 3 * time.Second
	// registerSpacing is the mean time between the writes of two instances that register again
	// at once: a sixth of what the store of the largest site takes. maxRegisterSpread is the
	// time over which those of a fleet are spread at most.
	registerSpacing   = 5 * time.Millisecond
	maxRegisterSpread = 5 * time.Second
	// firstReadTime is how long an instance that starts waits for its own first read of a
	// kind before it asks any other instance that has it.
	firstReadTime = time.Second

	// readerDivisor is the number of instances of which one, by its name, reads the
	// targets from the store when it starts, and brings them to others of its hall.
	// When all 295 instances of the largest site start again at once and each reads
	// 350 kB, the store's link of 1,000 Mbit/s is full for 0.8 s.
	readerDivisor = 4
	// instancesWait is how long an instance that starts waits to learn of the readers,
	// and readerTime how long it gives a reader before it asks the next one.
	instancesWait = 400 * time.Millisecond
	readerTimeout = 300 * time.Millisecond
	// maxReaders is the number of readers that are asked before the store is.
	maxReaders = 2
	// maxPendingDeltaRequests bounds the instances that a reader remembers until it has read.
	maxPendingDeltaRequests = 64
)

// awaitPeers gives the instances of the settings a moment to bring a kind at the first
// start of the system, when there is time, which spares the store a list for each instance.
// At other starts there is no wait: all may have been killed at once.
func (g *Gateway) awaitPeers(ctx context.Context, kind feed.Kind) {
	g.awaitKind(ctx, kind, g.peerWait())
}

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

// firstRead reads a kind that nobody has brought, whether or not this instance is to watch,
// until the store answers or others bring it. What it reads may be some seconds old: the
// watchers bring what is newer.
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

// isReader tells whether the instance of a name reads the targets from the store when it
// starts.
func isReader(name string) bool { return mix.Pair(name, "reader")%readerDivisor == 0 }

// requestFromReaders has the readers of the hall bring the targets, if this instance is none and
// knows of one. It returns once the targets are there or the readers had their time.
func (g *Gateway) requestFromReaders(ctx context.Context) {
	if isReader(g.config.Name) {
		return
	}
	g.awaitKind(ctx, KindInstances, instancesWait)
	for _, reader := range g.readers() {
		if !g.position(KindTargets).IsZero() {
			return
		}
		g.mesh.Send(reader.PeerAddr, &peer.DeltaRequest{Kind: KindTargets, ReplyTo: g.view.Self().PeerAddr})
		g.awaitKind(ctx, KindTargets, readerTimeout)
	}
}

// readers returns the readers of the hall that this instance is to ask: different ones for
// each instance.
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

// awaitKind waits until a kind is there, for a time at most.
func (g *Gateway) awaitKind(ctx context.Context, kind feed.Kind, limit time.Duration) {
	end := g.clock.Now().Add(limit)
	for g.clock.Now().Before(end) && g.position(kind).IsZero() && pause.For(ctx, peerPollInterval) {
	}
}

// keepRegistered puts the own member into the store, so that others find it, and again if
// its entry goes: others take an instance that was cut off for long for lost, and a store that
// came back from a copy may have forgotten it.
func (g *Gateway) keepRegistered(ctx context.Context) {
	if !g.config.FirstStart {
		g.awaitInstances(ctx)
	}
	for ctx.Err() == nil {
		g.register(ctx)
		select {
		case <-ctx.Done():
			return
		case <-g.unregistered:
		}
		g.awaitInstances(ctx)
		pause.For(ctx, g.registrationDelay())
	}
}

// awaitInstances waits until the instances are known that the store of the present era lists, for
// registerWait at most.
func (g *Gateway) awaitInstances(ctx context.Context) {
	end := g.clock.Now().Add(registrationWait)
	for g.clock.Now().Before(end) && !g.hasCurrentInstances() && pause.For(ctx, peerPollInterval) {
	}
}

func (g *Gateway) hasCurrentInstances() bool {
	at := g.position(KindInstances)
	return !at.IsZero() && !g.watch.isPastEra(at)
}

// registrationDelay draws when to register again: all instances may have to at once.
func (g *Gateway) registrationDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := min(time.Duration(g.view.Len())*registerSpacing, maxRegisterSpread)
	return time.Duration(g.rand.Int64N(int64(limit) + 1))
}

// register puts the own member into the store unless it is there from an earlier process.
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

// onInstanceRemoved notes that an instance's entry has gone from the store. The caller holds
// mu.
func (g *Gateway) onInstanceRemoved(name string) {
	if name == g.config.Name {
		g.checkRegistration()
	}
}

// checkRegistration has it looked whether the own entry is in the store.
func (g *Gateway) checkRegistration() {
	select {
	case g.unregistered <- struct{}{}:
	default:
	}
}

// isRegistered tells whether the own member is known to be in the store.
func (g *Gateway) isRegistered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	replica := g.replicas[KindInstances]
	return !g.watch.isPastEra(replica.Position()) && replica.Has(g.config.Name)
}
