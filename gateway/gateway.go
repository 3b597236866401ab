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
	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/listen"
	"github.com/rainford/rainford/internal/membudget"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/pipelining"
)

// bodyMemory is the memory in bytes for the bodies of targets' responses that do not fit into their first
// buffers. Twice that, which the collector may let them take, is less than half of the memory of the
// smallest instances, 184 MB.
const bodyMemory = 40 << 20

// Gateway is one instance. New creates it, and Run serves requests until its context ends.
type Gateway struct {
	config  Config
	store   Store
	codec   Codec
	headers forward.Headers
	log     *slog.Logger

	mesh    *peer.Mesh
	targets *forward.Client
	// bodyMemory is the memory for the bodies of responses to all requests.
	bodyMemory *membudget.Budget
	pools      *pools
	reach      *reachability
	// helpers are the instances to which requests are handed over if this one reaches no target, and
	// helperClient sends them. handovers bounds the requests that others hand over to this one.
	helpers        *helpers
	helperClient   *forward.Client
	handovers      handoverRoom
	accountPermits *accountPermits
	quarantine     *quarantineState
	// kinds are the kinds of objects that the instance replicates. rollouts holds the rollout
	// orders among these objects.
	kinds    []feed.Kind
	rollouts *rollouts
	// departures holds the targets that have announced in a response, to this instance or another
	// one, that they leave.
	departures departures
	// targetLimits holds the rate limits that targets announce. Each limit holds for the requests
	// of all instances together. targetLimitOwner issues the permits of the limits that this
	// instance owns.
	targetLimits     targetLimits
	targetLimitOwner *targetLimitOwner
	router           atomic.Pointer[catalog.Router]
	lookups          lookupCache
	bodySizes        bodySizes
	hedging          hedgeDelays
	targetChecks     targetChecks
	hedgeTimers      hedgeTimers
	metrics          *metrics

	listeners   listeners
	frontServer *http.Server
	// handoverServer serves the requests that other instances hand over, on handoverListener.
	handoverServer   *http.Server
	handoverListener net.Listener
	// clientListener accepts the connections of clients and reads pipelined requests from them.
	clientListener *pipelining.Listener

	// clock is the source of all times by which timeouts, leases and back-offs are checked.
	clock     *clock.Clock
	startedAt time.Time

	// mu guards the replicas, the view and the other state of the fields from here to endpoints.
	mu         sync.Mutex
	replicas   map[feed.Kind]*feed.Replica
	view       *fleet.View
	rand       *rand.Rand
	evacuated  map[string]bool
	targetList targetList
	// catchUp chooses, for each kind, the instance from which missing changes are requested.
	catchUp map[feed.Kind]*feed.CatchUp
	// replication holds the other states of the replication, by kind.
	replication map[feed.Kind]*replicationState
	// probed holds the members that the last round of gossip probed directly.
	probed map[string]bool
	// reconnectedAt is the time of the last reconnection to each instance that reported that it
	// does not receive this one's messages. The keys are peer addresses.
	reconnectedAt map[string]time.Time
	// lostMembers names the members of the own hall that reach no target.
	lostMembers string
	// gossipRounds is the number of gossip rounds so far.
	gossipRounds int
	deltaCache   deltaCache
	// instancesKnownAt is the time at which this instance first received the list of instances.
	instancesKnownAt time.Time
	// absences tracks the members of the own region that are not alive.
	absences fleet.AbsenceTracker
	// unregistered has an element when the instance's own entry is missing in the store.
	unregistered chan struct{}
	// registered holds the instances that the store lists, by name.
	registered map[string]fleet.Member
	// pendingDeltaRequests holds the delta requests of other instances for kinds that this instance
	// has not read yet.
	pendingDeltaRequests map[feed.Kind][]*peer.DeltaRequest
	// heldChanges holds the changes that are not in force yet, after an outage of the store or
	// after it was restored from a backup.
	heldChanges map[feed.Kind]*heldChanges
	// lostOwnObjects holds the objects written by rainford itself that a restored store has lost.
	lostOwnObjects lostObjects
	reporter       reporter
	// endpoints is the space for the candidates of a lookup response.
	endpoints []endpoints.Instance

	readiness readiness
	isolation isolation

	watch   watchState
	leaving atomic.Bool
	// overloaded is set while the processor of this instance has a queue.
	overloaded atomic.Bool
	refusing   atomic.Bool
	inFlight   atomic.Int64
	// lastContactAt is the time of the last message from the store or another instance, in
	// nanoseconds of Unix time.
	lastContactAt atomic.Int64
	wg            sync.WaitGroup
}

type listeners struct {
	front, lookup, ready, peer, admin net.Listener
}

// New creates an instance and opens its listeners. It returns an error if the settings are invalid,
// an address is not available or the metrics cannot be created. The caller must call Run.
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
		bodyMemory:           membudget.New(bodyMemory),
		replicas:             make(map[feed.Kind]*feed.Replica),
		evacuated:            make(map[string]bool),
		targetList:           newTargetList(),
		startedAt:            config.Clock.Now(),
		clock:                config.Clock,
		hedgeTimers:          hedgeTimers{clock: config.Clock},
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
	if config.TargetDialer != nil {
		g.targets.SetDialer(config.TargetDialer)
	}
	g.kinds, g.rollouts = kindsOf(config), newRollouts()
	g.replication = newReplication(g.kinds)
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
		Capacity:  config.capacity(),
	}
	g.view = fleet.NewView(self, fleet.SequenceAt(g.clock.Now()), fleet.DefaultSettings)
	g.mesh = peer.NewMesh(self.PeerAddr, "", g, g.log)
	g.handoverListener = g.mesh.Requests()
	g.targetLimitOwner = newTargetLimitOwner(config, g.mesh, g.startedAt, &g.targetLimits)
	g.targetLimitOwner.onGrant = g.receiveTargetPermitGrant
	g.reach = newReachability(g)
	g.helpers = newHelpers(config.Region, config.Hall, g.otherMembers)
	g.helperClient = forward.NewClient(headers, codec, config.Clock)
	helperDialer := forward.Dialer(forward.DialTCP)
	if config.PeerDialer != nil {
		helperDialer = config.PeerDialer
		g.mesh.SetDialer(config.PeerDialer)
	}
	g.helperClient.SetDialer(dialHelper(helperDialer))
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
	for i, ln := range open {
		open[i] = listen.Retrying(ln, func(err error) { g.log.Error(logAcceptFailed, "addr", ln.Addr().String(), "error", err.Error()) })
	}
	g.listeners = listeners{front: open[0], lookup: open[1], ready: open[2], peer: open[3], admin: open[4]}
	return nil
}

// Version returns the version of the program from its build information, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// Run serves until ctx ends, and then performs a planned stop, which lets requests in flight
// finish.
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
	g.startGoroutine(func() { g.checkLoop(work) })
	g.startGoroutine(func() { g.keepRegistered(work) })
	g.startGoroutine(func() { g.gossipLoop(work) })
	g.startGoroutine(func() { g.maintenanceLoop(work) })
	g.startGoroutine(func() { g.reach.loop(work) })
	g.startGoroutine(func() { g.overloadLoop(work) })
	g.startGoroutine(func() { g.reach.halls.loop(work) })
	g.startGoroutine(func() { g.isolationLoop(work) })
	g.serveClients()
	g.log.Info(logStart, "version", Version(), "hall", g.config.Hall, "region", g.config.Region,
		"listen", g.config.Listen, "peer", g.config.PeerListen, "seeds", g.config.Seeds, "capacity", g.config.capacity(), "log_sample", g.config.LogSample)
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
		g.log.Error("peer listener failed", "error", err.Error())
	}
}

// reviewTargetLimits updates the owners of targets' limits to the states of the instances, and
// evicts limits for which no permits are requested.
func (g *Gateway) reviewTargetLimits(now time.Time) {
	g.mu.Lock()
	g.updateLimitOwners(now)
	g.mu.Unlock()
	g.targetLimitOwner.evictIdle(now)
	g.pools.evictIdle(now)
}

// maintenanceInterval is the time between two rounds of maintenance, which expires old state.
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
			g.helperClient.CloseExpired(now)
			g.accountPermits.evictIdle(now)
			g.quarantine.expire(now)
			g.hedging.expire(now)
			g.reach.halls.setUsualTime(g.hedging.usualTime(now))
			g.departures.expire(now)
			g.expireLimits(now)
			g.reviewTargetLimits(now)
			g.pools.logShares(now)
			g.expireTombstones(now)
			g.removeLostInstance(ctx, now)
			g.removeExpiredRecord(ctx, now)
			g.rewriteLostObjects(ctx, now)
		}
	}
}
