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

	mesh    *peer.Mesh
	targets *forward.Client
	pools   *pools
	permits *permits
	holds   *holds
	// kinds are those that the instance replicates, and rollouts the orders among them.
	kinds    []feed.Kind
	rollouts *rollouts
	// departures are the targets that have said themselves that they leave.
	departures departures
	// targetLimits are how much targets take from all instances together, and limitOwner issues the
	// permits of some of them.
	targetLimits targetLimits
	limitOwner   *limitOwner
	router       atomic.Pointer[catalog.Router]
	lookups      lookupCache
	sizes        sizes
	metrics      *metrics

	listeners listeners
	front     *http.Server
	// ahead accepts the connections of clients.
	ahead *pipelining.Listener

	// clock tells all times by which something is judged.
	clock     *clock.Clock
	startedAt time.Time

	// mu guards the replicas and the view.
	mu        sync.Mutex
	replicas  map[feed.Kind]*feed.Replica
	view      *fleet.View
	rand      *rand.Rand
	evacuated map[string]bool
	listed    listed
	// catchUp decides whom to ask for what a replica lacks.
	catchUp map[feed.Kind]*feed.CatchUp
	// probed are the members that the last round of gossip asked directly.
	probed map[string]bool
	// renewedAt is when a connection was last opened anew to an instance that does not
	// hear this one.
	renewedAt map[string]time.Time
	// rounds counts the rounds of gossip.
	rounds  int
	answers answers
	// instancesAt is when this instance came to know which are registered.
	instancesAt time.Time
	// absences are the members of the own region that are not alive.
	absences fleet.AbsenceTracker
	// unregistered has an element when the own entry has gone from the store.
	unregistered chan struct{}
	// registered are the instances that the store lists.
	registered map[string]fleet.Member
	// askers are instances that asked for a kind that this one does not have yet.
	askers map[feed.Kind][]*peer.DeltaRequest
	// held are the changes that do not count yet, after an outage of the store or its return from
	// a copy.
	held map[feed.Kind]*held
	// lostOwn are the own objects that a restored store has lost.
	lostOwn  lostObjects
	reported reporter

	readiness readiness

	watch    watchState
	leaving  atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
	// heardAt is when the store or another instance was last heard, in
	// nanoseconds of Unix time.
	heardAt atomic.Int64
	wg      sync.WaitGroup
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
		config:     config,
		store:      store,
		codec:      codec,
		headers:    headers,
		log:        config.Log,
		targets:    forward.NewClient(headers, codec, config.Clock),
		replicas:   make(map[feed.Kind]*feed.Replica),
		evacuated:  make(map[string]bool),
		listed:     newListed(),
		startedAt:  config.Clock.Now(),
		clock:      config.Clock,
		readiness:  readiness{reached: make(chan struct{})},
		catchUp:    make(map[feed.Kind]*feed.CatchUp),
		answers:    make(answers),
		askers:     make(map[feed.Kind][]*peer.DeltaRequest),
		renewedAt:  make(map[string]time.Time),
		registered: make(map[string]fleet.Member),
		held:       newHeld(),

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
		FrontAddr: orElse(config.AdvertiseFront, g.listeners.front.Addr().String()),
		PeerAddr:  orElse(config.AdvertisePeer, g.listeners.peer.Addr().String()),
	}
	g.view = fleet.NewView(self, fleet.SequenceAt(g.clock.Now()), fleet.DefaultSettings)
	g.mesh = peer.NewMesh(self.PeerAddr, "", g, g.log)
	g.limitOwner = newLimitOwner(config, g.mesh, g.startedAt, &g.targetLimits)
	g.limitOwner.hear = g.receiveLimitIssue
	g.pools = newPools(config, g.departures.all, g.targetLimits.all, g.askForPermits)
	g.permits = newPermits(config, g.mesh, g.startedAt, g.limitOf)
	g.holds = newHolds()
	g.watch = newWatchState()
	g.metrics, err = newMetrics(g)
	return g, err
}

func (g *Gateway) expireListed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed.expire(now)
	for _, h := range g.held {
		h.relisted.Prune(now)
	}
}

func orElse(a, b string) string {
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
	g.start(func() { g.serveMesh() })
	for _, kind := range g.kinds {
		g.start(func() { g.watchLoop(work, kind) })
	}
	if config := g.config; config.bringsVersionsIn() {
		g.start(func() { g.rolloutLoop(work) })
	}
	g.start(func() { g.probeLoop(work) })
	g.start(func() { g.keepRegistered(work) })
	g.start(func() { g.gossipLoop(work) })
	g.start(func() { g.upkeepLoop(work) })
	g.serveClients()
	g.log.Info(logStart, "version", Version(), "hall", g.config.Hall, "region", g.config.Region,
		"listen", g.config.Listen, "peer", g.config.PeerListen, "seeds", g.config.Seeds, "log_sample", g.config.LogSample)
	<-ctx.Done()
	g.stop()
	return nil
}

func (g *Gateway) start(f func()) {
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

// reviewLimits has who issues permits follow the states of the instances, and forgets permits
// that nobody asks for.
func (g *Gateway) reviewLimits(now time.Time) {
	g.mu.Lock()
	g.reviewOwners(now)
	g.mu.Unlock()
	g.limitOwner.forget(now)
	g.pools.forget(now)
}

// upkeepEvery is the time between rounds of upkeep.
const upkeepEvery = time.Second

func (g *Gateway) upkeepLoop(ctx context.Context) {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := g.clock.Now()
			g.targets.CloseExpired(now)
			g.permits.forget(now)
			g.holds.expire(now)
			g.departures.expire(now)
			g.expireLimits(now)
			g.reviewLimits(now)
			g.expireListed(now)
			g.forgetLost(ctx, now)
			g.forgetKept(ctx, now)
			g.rewriteLost(ctx, now)
		}
	}
}
