package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	region = "north"
	zoneA  = "north-a"
	zoneB  = "north-b"
	host   = "desk.example"

	frontPort, readyPort, controlPort, directoryPort = 8381, 8388, 8382, 8383
	internalPort                                     = 7200

	heartbeatInterval = 1500 * time.Millisecond

	// slowFactor is how many times as long a slow server works.
	slowFactor = 12
)

// world is a small deployment: a store, servers, and instances as processes of their own.
type world struct {
	dir       string
	log       *os.File
	startedAt time.Time
	store     *objects.Store
	storeAddr string
	// settings are further lines of the settings of all instances, and linkPeers states that instances reach
	// each other by links.
	settings  []string
	linkPeers bool
	// watched is the kind of objects whose readers the links tell.
	watched string
	// net is the second byte of all addresses, so that two worlds can run side by side.
	net int

	mu        sync.Mutex
	servers   []*server
	instances []*instance
}

// newWorld returns a world with a store.
func newWorld(recordDir string) (*world, error) {
	dir, err := os.MkdirTemp("", "rainford-review-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(recordDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, log: log, startedAt: time.Now(), store: objects.New(), net: freeNet(), watched: objects.KindEvacuations}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	return w, nil
}

// freeNet returns the second byte of loopback addresses whose ports are free.
func freeNet() int {
	first := os.Getpid() % 100
	for i := range 100 {
		n := 100 + (first+i)%100
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, frontPort))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return n
	}
	return 100 + first
}

// record writes a line into the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, "%8.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, in := range w.instances {
		in.end()
	}
	for _, s := range w.servers {
		_ = s.http.Close()
	}
	_ = w.log.Close()
	_ = os.RemoveAll(w.dir)
}

// configure writes a configuration with the routes and limits.
func (w *world) configure(version int, routes map[string]objects.Route, services []string, limits objects.Limits) {
	c := objects.Configuration{Version: "r" + strconv.Itoa(version), Routes: routes, Services: map[string]objects.Service{}, Limits: limits}
	for _, name := range services {
		c.Services[name] = objects.Service{HealthCheckPath: "/health", MaxConnections: 390, Warmup: "0ms", WarmupPerS: 50}
	}
	w.store.Set(objects.KindConfig, objects.ConfigName, c)
	w.record("operator: configuration r%d", version)
}

// server is a stand-in of a server.
type server struct {
	w                          *world
	version, id, service, zone string
	ln                         net.Listener
	http                       *http.Server
	slots                      chan struct{}
	work                       time.Duration
	state                      string
	sequence                   int64
	ended                      atomic.Bool
	// slow is set while the server works slowFactor times as long.
	slow atomic.Bool
	// fails, if not nil, reports whether the run of a request fails.
	fails func() bool
	// running, if not nil, counts the requests that the servers of a version run.
	running *atomic.Int64
	// onArrival, if not nil, is called with the id of each request that arrives.
	onArrival func(s *server, id string)

	mu   sync.Mutex
	runs map[string]int
}

// startServer starts a server of a service and registers it.
func (w *world) startServer(id, service, zone string, slots int, work time.Duration) (*server, error) {
	return w.startVersion("v1", id, service, zone, slots, work)
}

// startVersion starts a server of a service in a version and registers it.
func (w *world) startVersion(version, id, service, zone string, slots int, work time.Duration) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{w: w, version: version, id: id, service: service, zone: zone, ln: ln, slots: make(chan struct{}, slots), work: work, state: "ready", runs: make(map[string]int)}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	s.beat()
	go func() {
		for range time.Tick(heartbeatInterval) {
			if s.ended.Load() {
				return
			}
			s.beat()
		}
	}()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, nil
}

// stop ends the server at once, and removes its entry.
func (s *server) stop() {
	s.ended.Store(true)
	s.w.record("server %s: switched off with %d requests running", s.id, len(s.slots))
	_ = s.http.Close()
	s.w.store.Remove(objects.KindServers, s.id)
}

// beat writes the server's entry into the store.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.w.store.Set(objects.KindServers, s.id, map[string]any{
		"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": s.version, "slots": cap(s.slots),
		"state": s.state, "warmupRemaining": "0ms", "sequence": s.sequence,
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := rw.Header()
	h.Set("Request-Id", id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.onArrival != nil {
		s.onArrival(s, id)
	}
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		s.w.record("server %s: request %s broke off after %d bytes of its body", s.id, id, n)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.w.record("server %s: runs %s %s %s, %d bytes of body", s.id, id, r.Method, r.RequestURI, n)
	work := s.work
	if s.slow.Load() {
		work *= slowFactor
	}
	if s.running != nil {
		s.running.Add(1)
		defer s.running.Add(-1)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.w.record("server %s: %s dropped, its connection has ended", s.id, id)
		return
	}
	if s.fails != nil && s.fails() {
		h.Set("Server-Signature", "sig."+s.id+"."+id)
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.Set("Server-Signature", "sig."+s.id+"."+id)
	h.Set("Body-Digest", hex.EncodeToString(sum.Sum(nil)))
	_, _ = io.WriteString(rw, "done "+id)
}

// instance is an instance of the system, as a process.
type instance struct {
	w        *world
	name, ip string
	zone     string
	cmd      *exec.Cmd
	link     *link
	// peers is the link to the instance for the others, or nil if they reach it directly.
	peers *peerLink
	ended chan struct{}
	seeds []string
	// startedAt is when the process was started, in Unix nanoseconds.
	startedAt atomic.Int64
	// ends counts the ends of its processes because of their memory, and largest is the most that one had.
	ends    int
	largest int64
}

func (in *instance) front() string { return net.JoinHostPort(in.ip, strconv.Itoa(frontPort)) }
func (in *instance) ready() string { return net.JoinHostPort(in.ip, strconv.Itoa(readyPort)) }

// settings returns the settings of an instance, as the platform fills in deploy/instance.conf.
func (in *instance) settings(seeds []string, first bool) string {
	internal := net.JoinHostPort(in.ip, strconv.Itoa(internalPort))
	peers := []string{"peer-listen " + internal}
	if in.peers != nil {
		// The address of the instance is that of its link.
		peers = []string{"peer-listen " + in.peers.behind, "advertise-peer " + internal}
	}
	lines := []string{
		"name " + in.name, "hall " + in.zone, "region " + region,
		"halls " + zoneA + "=" + region + "," + zoneB + "=" + region,
		"listen " + in.front(), "lookup-listen " + internal, "lookup-port-offset 2", "ready-listen " + in.ready(),
		"admin-listen " + net.JoinHostPort(in.ip, strconv.Itoa(internalPort+15)),
		"store " + in.link.ln.Addr().String(), "seeds " + strings.Join(seeds, ","),
		"grace 6s", "retry-ratio 0.2", "retry-slack 64", "shift-most 0.15",
		"link-mbps 1000", "cpu-cores 1", "cpu-share 0.32", "first-start " + strconv.FormatBool(first),
	}
	lines = append(lines, peers...)
	lines = append(lines, in.w.settings...)
	return strings.Join(lines, "\n") + "\n"
}

// startInstances starts instances in the zones given.
func (w *world) startInstances(zones ...string) error {
	var seeds []string
	for i, zone := range zones {
		toStore, err := newLink(w.storeAddr, w.watched)
		if err != nil {
			return err
		}
		in := &instance{link: toStore, w: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("127.%d.%d.1", w.net, i+1), zone: zone}
		if w.linkPeers {
			in.peers, err = newPeerLink(in)
			if err != nil {
				return err
			}
		}
		w.instances = append(w.instances, in)
		if len(seeds) < 3 {
			seeds = append(seeds, net.JoinHostPort(in.ip, strconv.Itoa(controlPort)))
		}
	}
	for _, in := range w.instances {
		in.seeds = seeds
		if err := in.start(seeds, true); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// start starts the process of an instance with the command of the deploy file.
func (in *instance) start(seeds []string, first bool) error {
	path := filepath.Join(in.w.dir, in.name+".conf")
	if err := os.WriteFile(path, []byte(in.settings(seeds, first)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(in.w.dir, in.name+".log"))
	if err != nil {
		return err
	}
	in.cmd = exec.Command("target/rainfordd", "gateway")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "RAINFORD_NODE_FILE=" + path}
	in.cmd.Stdout, in.cmd.Stderr = out, out
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.startedAt.Store(time.Now().UnixNano())
	ended := make(chan struct{})
	in.ended = ended
	in.w.record("platform: instance %s started", in.name)
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		_ = out.Close()
		in.w.record("platform: process of %s has ended: %v", in.name, err)
		close(ended)
	}(in.cmd)
	return nil
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) {
	in.w.record("platform: %v to %s", s, in.name)
	_ = in.cmd.Process.Signal(s)
}

// end ends the process and waits for that.
func (in *instance) end() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
	_ = in.cmd.Process.Kill()
	select {
	case <-in.ended:
	case <-time.After(5 * time.Second):
	}
}

// hasRun reports whether a server has begun to run a request.
func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		n := s.runs[id]
		s.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// isReady reports whether the instance says that it is ready.
func (in *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.ready()+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, in := range w.instances {
			all = all && in.isReady()
		}
		if all {
			w.record("platform: all instances are ready")
			return nil
		}
	}
	return fmt.Errorf("not all instances became ready within %v", limit)
}

// memory returns the resident memory of the process in bytes, and the largest that it ever was.
func (in *instance) memory() (now, peak int64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb << 10
		case "VmHWM:":
			peak = kb << 10
		}
	}
	return now, peak
}
