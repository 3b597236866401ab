package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/loopback"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// The bounds and settings of the run. Bounds on the gateway's behavior come from the user
// documentation.
const (
	contact      = 4 * time.Second
	configApply  = 2500 * time.Millisecond
	drainTimeout = 2500 * time.Millisecond
	evacuateTime = 5 * time.Second
	grace        = 4 * time.Second
	reuseAfter   = 2 * time.Second
	warmupTime   = 3 * time.Second
	warmupRate   = 11
	restartAfter = 300 * time.Millisecond
	routeTimeout = 2 * time.Second
	serverSlots  = 4
	serverWork   = 15 * time.Millisecond
)

// place is one hall of the site with its region.
type place struct{ hall, region string }

var places = []place{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}}

// services are the names of the services. Each has servers in each hall.
var services = []string{"read", "pay"}

func hallsSetting() string {
	var out []string
	for _, p := range places {
		out = append(out, p.hall+"="+p.region)
	}
	return strings.Join(out, ",")
}

// unlikeSettings holds settings of instances that are not alike, such as their limits of processor time
// and bandwidth. They are assigned to the instances in turn. All instances are alike if it is empty.
var unlikeSettings = [][]string{
	{"-cpu-cores", "0.8", "-link-mbps", "200"},
	{"-cpu-cores", "0.16", "-link-mbps", "10"},
}

// site holds the store, the servers and the instances of a run.
type site struct {
	program string
	dir     string
	oracle  *oracle
	keys    *keyring
	store   *objects.Store
	http    *httptest.Server

	mu        sync.Mutex
	servers   []*server
	instances []*instance
	nextID    int
	version   int
	// versions holds the version that the servers of each service run, if a rollout has
	// succeeded. newest counts the versions that have been ordered.
	versions map[string]string
	newest   int
	// rejected holds the versions whose rollout did not succeed. The platform stops their
	// servers.
	rejected map[string]bool
	// rewrites holds the objects whose lost writes are still to be repeated after a restore of the store.
	rewrites map[string]bool
	// rolling is set while a rollout is in progress.
	rolling atomic.Bool
}

// nextVersion returns a version that has not been used before.
func (s *site) nextVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
	return fmt.Sprintf("v%d", s.newest+1)
}

// versionOf returns the version that the servers of a service run.
func (s *site) versionOf(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.versions[service]; ok {
		return version
	}
	return "v1"
}

// reject records that the rollout of a version did not succeed.
func (s *site) reject(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected == nil {
		s.rejected = make(map[string]bool)
	}
	s.rejected[version] = true
}

func (s *site) isRejected(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected[version]
}

func (s *site) setVersion(service, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = make(map[string]string)
	}
	s.versions[service] = version
}

// server is one incarnation of a server with its proxy.
type server struct {
	*origin.Server
	proxy *proxy
	place place
	// born is when the server started.
	born time.Time
	// coldUntil is when the slow start of the server ends, or zero if the server started warm.
	coldUntil time.Time
	gone      bool
	version   string
	// written counts the writes of the server's entry. It is the entry's sequence number.
	written atomic.Int64
}

// storePageSize is the number of objects in a page of a list, fewer than there are targets, and maxStoreAge the
// age of the oldest pages of stale lists.
const (
	storePageSize = 7
	maxStoreAge   = 2 * time.Second
)

func newSite(program, dir string, instances int) (*site, error) {
	keys := newKeyring()
	s := &site{program: program, dir: dir, oracle: newOracle(keys), keys: keys, store: objects.New()}
	s.store.SetPages(storePageSize, maxStoreAge)
	s.http = httptest.NewServer(s.store)
	s.configure()
	for _, p := range places {
		for _, service := range services {
			for range 2 {
				_, err := s.addServer(service, p, false)
				if err != nil {
					return s, err
				}
			}
		}
	}
	for i := range instances {
		in, err := s.newInstance(fmt.Sprintf("n%d", i), places[i%len(places)])
		if err != nil {
			return s, err
		}
		if len(unlikeSettings) > 0 {
			in.settings = unlikeSettings[i%len(unlikeSettings)]
		}
		s.instances = append(s.instances, in)
	}
	for _, in := range s.instances {
		err := in.start()
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// close stops all instances, servers and the store of the run.
func (s *site) close() {
	for _, in := range s.instances {
		in.end()
	}
	s.http.CloseClientConnections()
	s.http.Close()
	for _, server := range s.servers {
		server.Close()
		server.proxy.close()
	}
}

func (s *site) addServer(service string, p place, cold bool) (*server, error) {
	o, err := s.newServer(service, p)
	if err != nil {
		return nil, err
	}
	return s.serve(o, p, cold, s.versionOf(service))
}

// addVersion adds a warm server of the given version.
func (s *site) addVersion(service, version string, p place) (*server, error) {
	o, err := s.newServer(service, p)
	if err != nil {
		return nil, err
	}
	return s.serve(o, p, false, version)
}

func (s *site) newServer(service string, p place) (*origin.Server, error) {
	s.mu.Lock()
	s.nextID++
	id := fmt.Sprintf("i-%s-%04d", service, s.nextID)
	s.mu.Unlock()
	return origin.Start(id, service, p.hall, serverSlots)
}

// serve starts a proxy for a server and writes the server's entry.
func (s *site) serve(o *origin.Server, p place, cold bool, version string) (*server, error) {
	o.SetServiceTime(serverWork)
	px, err := newProxy(o.Addr())
	if err != nil {
		return nil, err
	}
	srv := &server{Server: o, proxy: px, place: p, born: time.Now(), version: version}
	o.SetCrash(func(r *http.Request) bool { return crashesServer(r.RequestURI) }, func(r origin.Run) {
		s.oracle.noteCrash(r.URI)
		s.crashUnder(srv)
	})
	if cold {
		srv.coldUntil = time.Now().Add(warmupTime)
	}
	s.oracle.watchServer(srv)
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	s.record(srv, objects.Ready)
	return srv, nil
}

// record writes the entry of a server to the store.
func (s *site) record(srv *server, state string) {
	cold := max(0, time.Until(srv.coldUntil))
	s.store.SetServer(srv.ID, objects.Server{Service: srv.Service, Address: srv.proxy.addr(), Zone: srv.place.hall, Slots: srv.Slots,
		State: state, WarmupRemaining: fmt.Sprintf("%dms", cold.Milliseconds()), Sequence: int(srv.written.Add(1)), Version: srv.version, StartUnixMilli: srv.born.UnixMilli()})
}

// configure writes the next configuration. It holds the fixed routes, and one route for each
// of the latest versions, by which a probe sees whether an instance applies the version.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(prefix, service, kind string, regions ...string) objects.Route {
		return objects.Route{Host: "soak.example", PathPrefix: prefix, RouteType: kind, Timeout: "2s", TargetLatency: "300ms",
			Priority: 1, Service: service, MaxAttempts: 2, StickySessions: true, AllowedRegions: regions}
	}
	routes := map[string]objects.Route{
		"read": route("/read/", "read", "idempotent"),
		"pay":  route("/pay/", "pay", "non_idempotent"),
		"up":   route("/up/", "pay", "upload"),
		"home": route("/home/", "read", "idempotent", "a"),
	}
	for v := max(1, s.version-20); v <= s.version; v++ {
		version := route(fmt.Sprintf("/v%d/", v), "read", "idempotent")
		version.AllowAnonymous = true
		routes[fmt.Sprintf("v%d", v)] = version
	}
	service := objects.Service{HealthCheckPath: "/health", MaxConnections: 390, Warmup: "3s", WarmupPerS: warmupRate}
	s.store.Configure(objects.Configuration{
		Version:  objects.FormatVersion(s.version),
		Routes:   routes,
		Services: map[string]objects.Service{"read": service, "pay": service},
		Limits:   objects.Limits{MaxBodyBytes: 4 << 20, IdleTimeout: "15s", HeaderTimeout: "3s", MaxHeaderBytes: 16384},
		Tenants:  s.keys.tenants(),
	})
	s.oracle.configured(s.version, time.Now())
}

func (s *site) newInstance(name string, p place) (*instance, error) {
	in := &instance{site: s, name: name, place: p}
	for _, addr := range []*string{&in.listen, &in.lookup, &in.ready, &in.peerListen, &in.admin} {
		free, err := loopback.FreeAddr()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	var err error
	for _, px := range []struct {
		proxy  **proxy
		target string
	}{{&in.front, in.listen}, {&in.peer, in.peerListen}, {&in.store, s.http.Listener.Addr().String()}} {
		*px.proxy, err = newProxy(px.target)
		if err != nil {
			return nil, err
		}
	}
	in.log, err = os.Create(filepath.Join(s.dir, name+".log"))
	return in, err
}
