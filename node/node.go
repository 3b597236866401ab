package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/entry"
	"github.com/rainford/rainford/internal/listen"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/route"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
	"github.com/rainford/rainford/telemetry"
)

// Node is one entry instance.
type Node struct {
	config  Config
	self    member.Instance
	log     *slog.Logger
	metrics *telemetry.EntryMetrics
	store   *objectstore.Client
	mesh    *peer.Mesh
	hall    *entry.Hall
	entry   *entry.Entry
	claims  *claimWriter

	listeners listeners
	servers   []*http.Server

	// mu guards the fields up to fleetStale.
	mu      sync.Mutex
	objects *objects
	// revision is the store's revision up to which objects are known. It includes the era.
	revision int64
	// configLost is set while the store holds an earlier configuration than the accepted one.
	configLost         bool
	view               *member.View
	agent              *seat.Agent
	ledger             *share.Ledger
	latencies          map[destination]*route.LatencyTracker
	declinedUntil      map[instanceService]time.Time
	sentSinceHeartbeat map[instanceService]int
	drainedAt          map[string]time.Time
	blocks             *lookup.BlockTable
	directoryInput     *directoryInput
	leaving            bool
	// hopsClosed is set when a stopping instance no longer accepts requests of other instances.
	hopsClosed bool
	rand       *rand.Rand
	round      uint64
	fleetStale bool

	plan         atomic.Pointer[table.Plan]
	fleet        atomic.Pointer[fleetSnapshot]
	directory    atomic.Pointer[lookup.Directory]
	targetsOK    atomic.Bool
	heartbeatNow chan struct{}
	killed       chan struct{}
	killOnce     sync.Once
	wg           sync.WaitGroup
	cancel       context.CancelFunc
}

type listeners struct {
	caller, hop, peer, admin net.Listener
}

// destination identifies a service in a region.
type destination struct{ service, region string }

// instanceService identifies a service at an instance.
type instanceService struct{ instance, service string }

// New returns an instance that listens on its addresses. The caller must call Run.
func New(config Config) (*Node, error) {
	if err := config.Check().Err(); err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewEntryMetrics()
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:             config,
		log:                config.Log,
		metrics:            metrics,
		store:              objectstore.NewClient(config.Platform, 0),
		objects:            newObjects(),
		latencies:          make(map[destination]*route.LatencyTracker),
		declinedUntil:      make(map[instanceService]time.Time),
		sentSinceHeartbeat: make(map[instanceService]int),
		drainedAt:          make(map[string]time.Time),
		blocks:             lookup.NewBlockTable(nil),
		rand:               newRand(),
		heartbeatNow:       make(chan struct{}, 1),
		killed:             make(chan struct{}),
	}
	if n.log == nil {
		n.log = slog.New(slog.DiscardHandler)
	}
	err = n.listen()
	if err != nil {
		return nil, err
	}
	n.build()
	return n, n.registerGauges()
}

func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

func (n *Node) listen() error {
	c := n.config
	open, err := listen.All(c.CallerAddr, c.HopAddr, c.PeerAddr, c.AdminAddr)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	n.listeners = listeners{caller: open[0], hop: open[1], peer: open[2], admin: open[3]}
	return nil
}

func (l listeners) all() []net.Listener {
	return []net.Listener{l.caller, l.hop, l.peer, l.admin}
}

// build creates the parts that need the instance's final ID and addresses.
func (n *Node) build() {
	var suffix [4]byte
	_, _ = crand.Read(suffix[:])
	n.self = member.Instance{
		ID:         n.config.Name + "-" + hex.EncodeToString(suffix[:]),
		Hall:       n.config.Hall,
		Region:     n.config.Region,
		CallerAddr: n.listeners.caller.Addr().String(),
		HopAddr:    n.listeners.hop.Addr().String(),
		PeerAddr:   n.listeners.peer.Addr().String(),
		AdminAddr:  n.listeners.admin.Addr().String(),
	}
	n.log = n.log.With("instance", n.self.ID, "hall", n.self.Hall)
	n.view = member.NewView(n.self, n.config.Members)
	n.agent = seat.NewAgent(n.self.ID, n.self.PeerAddr, n.self.Hall, n.config.Timing)
	n.ledger = share.NewLedger(n.self.Hall, n.self.Region, seat.Count, n.rand.Uint64())
	n.ledger.NoLoans = n.config.Baseline.NoLoans
	if n.config.Baseline.LoanDuration > 0 {
		n.ledger.Terms.Duration = n.config.Baseline.LoanDuration
	}
	n.hall = entry.NewHall(balance.Config{
		Policy:      n.config.Baseline.Policy,
		Rand:        newRand(),
		NoSlowStart: n.config.Baseline.NoSlowStart,
	})
	n.mesh = peer.NewMesh(n.self.ID, n.config.Secret, n, n.log)
	n.claims = newClaimWriter(n.self.ID, n.store, n.mesh, n.config.ClaimWriteRate, n.log)
	n.entry = entry.New(entry.Config{
		Instance:        n.self.ID,
		Region:          n.self.Region,
		Fleet:           n,
		Caps:            n,
		Claims:          n.claims,
		Hall:            n.hall,
		Observer:        n,
		Log:             n.log,
		Chooser:         n,
		DefaultDeadline: n.config.DefaultDeadline,
		MaxDeadline:     n.config.MaxDeadline,
		StallTimeout:    n.config.StallTimeout,
		Dial:            n.config.Dial,
	})
	n.fleet.Store(&fleetSnapshot{})
}

func (n *Node) registerGauges() error {
	gauges := []struct {
		name, text string
		read       func() int64
	}{
		{"rainford.config.version", "Number of the accepted change in force.", func() int64 { return n.Version() }},
		{"rainford.requests.in_flight", "Requests that hold or wait for a target's slot.", func() int64 { return int64(n.hall.InFlight()) }},
		{"rainford.peer.sent", "Bytes sent to other instances.", func() int64 { s, _, _ := n.mesh.Traffic(); return s }},
		{"rainford.peer.received", "Bytes received from other instances.", func() int64 { _, r, _ := n.mesh.Traffic(); return r }},
		{"rainford.seats", "Seats that the instance may use.", func() int64 { return int64(n.seatCount()) }},
	}
	for _, g := range gauges {
		err := n.metrics.Gauge(g.name, g.text, g.read)
		if err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) seatCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.agent.Held(time.Now()))
}

// Instance returns the ID, the location and the addresses of the instance.
func (n *Node) Instance() member.Instance { return n.self }

// Version returns the version of the configuration in force, or 0 if there is none.
func (n *Node) Version() int64 {
	if p := n.plan.Load(); p != nil {
		return p.Version
	}
	return 0
}

// Limits on HTTP connections.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Run serves requests until ctx ends, and then stops gracefully; see stop. After a call of
// Kill, it stops at once.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.serve(n.listeners.caller, n.callerMux())
	n.serve(n.listeners.hop, n.hopMux())
	n.serve(n.listeners.admin, n.adminMux())
	n.start(func() {
		if err := n.mesh.Serve(n.listeners.peer); err != nil {
			n.log.Error("peer listener failed", "error", err.Error())
		}
	})
	n.start(func() { n.watchLoop(work) })
	n.start(func() { n.heartbeatLoop(work) })
	n.start(func() { n.refreshLoop(work) })
	n.start(func() { n.registerLoop(work) })
	n.start(func() { n.claims.run(work) })
	n.log.Info("started", "caller_addr", n.self.CallerAddr, "admin_addr", n.self.AdminAddr)
	select {
	case <-ctx.Done():
		return n.stop()
	case <-n.killed:
		return n.abort()
	}
}

// Kill stops the instance at once, as a crash of its process would. Requests in flight are cut
// off, and neither seats nor claims are released.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }

func (n *Node) start(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) serve(ln net.Listener, h http.Handler) {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.servers = append(n.servers, server)
	n.start(func() {
		err := server.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("listener failed", "addr", ln.Addr().String(), "error", err.Error())
		}
	})
}

func (n *Node) callerMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.LookupPath, n.handleLookup)
	mux.Handle(protocol.CallPath, n.entry.CallerHandler())
	return mux
}

func (n *Node) hopMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(protocol.CallPath, n.entry.HopHandler())
	return mux
}
