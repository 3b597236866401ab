package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/listen"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/pipelining"
)

// Gateway is one instance.
type Gateway struct {
	config  Config
	store   Store
	codec   Codec
	headers forward.Headers
	log     *slog.Logger

	mesh           *peer.Mesh
	targets        *forward.Client
	pools          *pools
	accountPermits *accountPermits
	quarantine     *quarantineState
	// kinds are those that the instance replicates, and rollouts the orders among them.
	kinds    []feed.Kind
	rollouts *rollouts
	// departures are the targets that have said themselves that they leave.
	departures departures
	// targetLimits are how much targets take from all instances together, and limitOwner issues the
	// permits of some of them.
	targetLimits     targetLimits
	targetLimitOwner *targetLimitOwner
	router           atomic.Pointer[catalog.Router]
	lookups          lookupCache
	bodySizes        bodySizes
	metrics          *metrics

	listeners   listeners
	frontServer *http.Server
	// clientListener accepts the connections of clients.
	clientListener *pipelining.Listener

	// clock tells all times by which something is judged.
	clock     *clock.Clock
	startedAt time.Time

	// mu guards the replicas and the view.
	mu         sync.Mutex
	replicas   map[feed.Kind]*feed.Replica
	view       *fleet.View
	rand       *rand.Rand
	evacuated  map[string]bool
	targetList targetList
	// catchUp decides whom to ask for what a replica lacks.
	catchUp map[feed.Kind]*feed.CatchUp
	// probed are the members that the last round of gossip asked directly.
	probed map[string]bool
	// reconnectedAt is when a connection was last opened anew to an instance that does not
	// hear this one.
	reconnectedAt map[string]time.Time
	// gossipRounds counts the rounds of gossip.
	gossipRounds int
	deltaCache   deltaCache
	// instancesKnownAt is when this instance came to know which are registered.
	instancesKnownAt time.Time
	// absences are the members of the own region that are not alive.
	absences fleet.AbsenceTracker
	// unregistered has an element when the own entry has gone from the store.
	unregistered chan struct{}
	// registered are the instances that the store lists.
	registered map[string]fleet.Member
	// pendingDeltaRequests are instances that asked for a kind that this one does not have yet.
	pendingDeltaRequests map[feed.Kind][]*peer.DeltaRequest
	// heldChanges are the changes that do not count yet, after an outage of the store or its return from
	// a copy.
	heldChanges map[feed.Kind]*heldChanges
	// lostOwnObjects are the own objects that a restored store has lost.
	lostOwnObjects lostObjects
	reporter       reporter

	readiness readiness

	watch    watchState
	leaving  atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
	// lastContactAt is when the store or another instance was last heard, in
	// nanoseconds of Unix time.
	lastContactAt atomic.Int64
	wg            sync.WaitGroup
}

type listeners struct {
	front, lookup, ready, peer, admin net.Listener
}

// New opens the instance's addresses. The caller must call Run.
func New(config Config, store Store, codec Codec, headers forward.Headers) (*Gateway, error) {
	if err := config.Check().Err(); err != nil {
		return nil, err
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	config.Log = config.Log.With("instance", config.Name)
	g := &Gateway{
		config:               config,
		store:                store,
		codec:                codec,
		headers:              headers,
		log:                  config.Log,
		targets:              forward.NewClient(headers, codec, config.Clock),
		replicas:             make(map[feed.Kind]*feed.Replica),
		evacuated:            make(map[string]bool),
		targetList:           newTargetList(),
		startedAt:            config.Clock.Now(),
		clock:                config.Clock,
		readiness:            readiness{reached: make(chan struct{})},
		catchUp:              make(map[feed.Kind]*feed.CatchUp),
		deltaCache:           make(deltaCache),
		pendingDeltaRequests: make(map[feed.Kind][]*peer.DeltaRequest),
		reconnectedAt:        make(map[string]time.Time),
		registered:           make(map[string]fleet.Member),
		heldChanges:          newHeldChanges(),

		unregistered: make(chan struct{}, 1),
		rand:         rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64())),
	}
	g.kinds, g.rollouts = kindsOf(config), newRollouts()
	for _, kind := range g.kinds {
		g.replicas[kind] = feed.NewReplica(kind)
		g.catchUp[kind] = &feed.CatchUp{}
	}
	err := g.listen()
	if err != nil {
		return nil, err
	}
	self := fleet.Member{
		Name:      config.Name,
		Hall:      config.Hall,
		Region:    config.Region,
		FrontAddr: firstNonEmpty(config.AdvertiseFront, g.listeners.front.Addr().String()),
		PeerAddr:  firstNonEmpty(config.AdvertisePeer, g.listeners.peer.Addr().String()),
	}
	g.view = fleet.NewView(self, fleet.SequenceAt(g.clock.Now()), fleet.DefaultSettings)
	g.mesh = peer.NewMesh(self.PeerAddr, "", g, g.log)
	g.targetLimitOwner = newTargetLimitOwner(config, g.mesh, g.startedAt, &g.targetLimits)
	g.targetLimitOwner.onGrant = g.receiveTargetPermitGrant
	g.pools = newPools(config, g.departures.all, g.targetLimits.all, g.requestPermits)
	g.accountPermits = newPermits(config, g.mesh, g.startedAt, g.limitOf)
	g.quarantine = newQuarantineState()
	g.watch = newWatchState()
	g.metrics, err = newMetrics(g)
	return g, err
}

func (g *Gateway) expireTombstones(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targetList.expire(now)
	for _, h := range g.heldChanges {
		h.tombstones.Prune(now)
	}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (g *Gateway) listen() error {
	c := g.config
	open, err := listen.All(c.Listen, c.LookupListen, c.ReadyListen, c.PeerListen, c.AdminListen)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.listeners = listeners{front: open[0], lookup: open[1], ready: open[2], peer: open[3], admin: open[4]}
	return nil
}

// Version returns the version of the program.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// Run serves until ctx ends and then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.startGoroutine(func() { g.serveMesh() })
	for _, kind := range g.kinds {
		g.startGoroutine(func() { g.watchLoop(work, kind) })
	}
	if config := g.config; config.rolloutsEnabled() {
		g.startGoroutine(func() { g.rolloutLoop(work) })
	}
	g.startGoroutine(func() { g.probeLoop(work) })
	g.startGoroutine(func() { g.keepRegistered(work) })
	g.startGoroutine(func() { g.gossipLoop(work) })
	g.startGoroutine(func() { g.maintenanceLoop(work) })
	g.serveClients()
	g.log.Info(logStart, "version", Version(), "hall", g.config.Hall, "region", g.config.Region,
		"listen", g.config.Listen, "peer", g.config.PeerListen, "seeds", g.config.Seeds, "log_sample", g.config.LogSample)
	<-ctx.Done()
	g.stop()
	return nil
}

func (g *Gateway) startGoroutine(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

func (g *Gateway) serveMesh() {
	err := g.mesh.Serve(g.listeners.peer)
	if err != nil {
		g.log.Error("peer listener", "error", err.Error())
	}
}

// reviewTargetLimits has who issues permits follow the states of the instances, and forgets permits
// that nobody asks for.
func (g *Gateway) reviewTargetLimits(now time.Time) {
	g.mu.Lock()
	g.updateLimitOwners(now)
	g.mu.Unlock()
	g.targetLimitOwner.evictIdle(now)
	g.pools.evictIdle(now)
}

// maintenanceInterval is the time between rounds of upkeep.
const maintenanceInterval = time.Second

func (g *Gateway) maintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := g.clock.Now()
			g.targets.CloseExpired(now)
			g.accountPermits.evictIdle(now)
			g.quarantine.expire(now)
			g.departures.expire(now)
			g.expireLimits(now)
			g.reviewTargetLimits(now)
			g.expireTombstones(now)
			g.removeLostInstance(ctx, now)
			g.removeExpiredRecord(ctx, now)
			g.rewriteLostObjects(ctx, now)
		}
	}
}
