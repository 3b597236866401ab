package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/internal/loopback"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/table"
)

// Options configures a Cluster.
type Options struct {
	Estate Estate
	Log    *slog.Logger
	// Change, if not nil, adjusts the settings of each instance before it starts.
	Change func(*node.Config)
	// ChangeTarget, if not nil, adjusts the settings of each target before it starts.
	ChangeTarget func(*backend.Settings)
	// Limits are the rate limits of the platform stand-in.
	Limits platformstore.Limits
}

// Cluster is a running estate.
type Cluster struct {
	Estate     Estate
	Store      *platformstore.Store
	Platform   *platformstore.Server
	Client     *objectstore.Client
	Runs       *backend.Runs
	Admissions *AdmissionLog
	// Links holds one server of the platform's store for each hall, by hall. The
	// instances of a hall reach the platform only through it, so faults of a link
	// partition that hall from the platform.
	Links map[string]*platformstore.Server

	options   Options
	linkURLs  map[string]string
	mu        sync.Mutex
	instances []*Instance
	targets   map[string][]*Target
	closers   []func()
}

// Instance is a running instance.
type Instance struct {
	*node.Node
	stop context.CancelFunc
	done chan error
}

// Stop shuts the instance down gracefully and returns the error of its run.
func (i *Instance) Stop() error {
	i.stop()
	return <-i.done
}

// Kill ends the instance without a graceful shutdown, as a crash does, and waits
// until its run has returned.
func (i *Instance) Kill() {
	i.Node.Kill()
	<-i.done
}

// Target is a running target and its place in the estate.
type Target struct {
	node.Target
	Hall   string
	Region string
	Server *backend.Server
}

// Start starts the platform stand-in, the targets and the instances of an estate,
// and returns when every instance is ready and applies the estate's routing table.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		Estate:     options.Estate,
		Store:      platformstore.NewStore(),
		Runs:       backend.NewRuns(),
		Admissions: NewAdmissionLog(),
		Links:      make(map[string]*platformstore.Server),
		options:    options,
		linkURLs:   make(map[string]string),
		targets:    make(map[string][]*Target),
	}
	if c.options.Log == nil {
		c.options.Log = slog.New(slog.DiscardHandler)
	}
	c.Platform = platformstore.NewServer(c.Store, options.Limits)
	err := c.start(ctx)
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	addr, err := c.serve(c.Platform.Handler())
	if err != nil {
		return err
	}
	c.Client = objectstore.NewClient("http://"+addr, 0)
	for _, hall := range c.Estate.AllHalls() {
		link := platformstore.NewServer(c.Store, c.options.Limits)
		addr, err := c.serve(link.Handler())
		if err != nil {
			return err
		}
		c.Links[hall] = link
		c.linkURLs[hall] = "http://" + addr
	}
	err = c.startTargets(ctx)
	if err != nil {
		return err
	}
	err = c.seed(ctx)
	if err != nil {
		return err
	}
	for _, region := range c.Estate.Regions {
		for _, hall := range Halls(region) {
			for i := range c.Estate.PerHall {
				_, err := c.StartInstance(region, hall, fmt.Sprintf("%s-%d", hall, i+1))
				if err != nil {
					return err
				}
			}
		}
	}
	return c.AwaitReady(ctx)
}

func (c *Cluster) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = server.Serve(ln) }()
	c.closers = append(c.closers, func() { _ = server.Close() })
	return ln.Addr().String(), nil
}

// startTargets starts the targets of each service, distributed over the halls in
// turn, and writes the target lists to the platform.
func (c *Cluster) startTargets(ctx context.Context) error {
	halls := c.Estate.AllHalls()
	for _, s := range c.Estate.Services {
		for i := range s.Targets {
			err := c.startTarget(s, halls[i%len(halls)], i)
			if err != nil {
				return err
			}
		}
	}
	for _, hall := range halls {
		err := c.PublishTargets(ctx, hall)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startTarget(s ServiceSize, hall string, n int) error {
	id := fmt.Sprintf("%s-%02d", s.Name, n+1)
	settings := backend.Settings{Slots: s.Slots, ServiceTime: s.Time, Shed: true}
	if c.options.ChangeTarget != nil {
		c.options.ChangeTarget(&settings)
	}
	server := backend.NewServer(id, settings, c.Runs)
	addr, err := c.serve(server.Handler())
	if err != nil {
		return err
	}
	t := &Target{
		Target: node.Target{ID: id, Service: s.Name, Addr: addr, Slots: s.Slots},
		Hall:   hall,
		Region: c.regionOf(hall),
		Server: server,
	}
	c.targets[hall] = append(c.targets[hall], t)
	return nil
}

func (c *Cluster) regionOf(hall string) string {
	for _, r := range c.Estate.Regions {
		for _, h := range Halls(r) {
			if h == hall {
				return r
			}
		}
	}
	return ""
}

// PublishTargets writes the list of a hall's targets to the platform.
func (c *Cluster) PublishTargets(ctx context.Context, hall string) error {
	key := node.TargetPrefix + hall
	obj, err := c.Client.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	var list node.TargetList
	for _, t := range c.targets[hall] {
		list.Targets = append(list.Targets, t.Target)
	}
	_, err = c.Client.Put(ctx, key, obj.Version, list)
	return err
}

// RenewTargets gives the targets of a region new IDs in the platform's lists, at
// the same addresses, so that instances treat them as new targets.
func (c *Cluster) RenewTargets(ctx context.Context, region string) error {
	for _, t := range c.Targets(region) {
		t.ID += "-new"
	}
	for _, hall := range Halls(region) {
		err := c.PublishTargets(ctx, hall)
		if err != nil {
			return err
		}
	}
	return nil
}

// Targets returns the targets of a region, or those of all regions if region is "".
func (c *Cluster) Targets(region string) []*Target {
	var out []*Target
	for _, hall := range c.Estate.AllHalls() {
		for _, t := range c.targets[hall] {
			if region == "" || t.Region == region {
				out = append(out, t)
			}
		}
	}
	return out
}

// seed writes the routing table and the halls' address blocks to the platform.
func (c *Cluster) seed(ctx context.Context) error {
	want := c.Estate.Table()
	_, err := c.Editor("demo start").Edit(ctx, func(t *table.Table) error {
		*t = *want
		return nil
	})
	if err != nil {
		return err
	}
	return lookup.StoreBlocks(ctx, c.Client, c.Estate.Blocks())
}

// Editor returns an editor of the routing table that records what as the command
// of its changes.
func (c *Cluster) Editor(what string) *config.Editor {
	return &config.Editor{Store: c.Client, Operator: "demo", Command: what, NewID: caller.NewKey, Now: time.Now}
}

// StartInstance starts an instance on free ports of the process's own loopback address, where no
// other process takes them before a later start at the same addresses. It doesn't wait until the
// instance is ready.
func (c *Cluster) StartInstance(region, hall, name string) (*Instance, error) {
	any := loopback.Host() + ":0"
	return c.StartInstanceAt(name, member.Instance{
		Region: region, Hall: hall, CallerAddr: any, HopAddr: any, PeerAddr: any, AdminAddr: any,
	})
}

// StartInstanceAt starts an instance on given addresses, such as those of an
// instance that has ended. It doesn't wait until the instance is ready.
func (c *Cluster) StartInstanceAt(name string, at member.Instance) (*Instance, error) {
	hall := at.Hall
	settings := node.Defaults()
	settings.Name, settings.Region, settings.Hall = name, at.Region, hall
	settings.CallerAddr, settings.HopAddr = at.CallerAddr, at.HopAddr
	settings.PeerAddr, settings.AdminAddr = at.PeerAddr, at.AdminAddr
	settings.Platform = c.linkURLs[hall]
	settings.Secret = "demo"
	settings.LookupTTL = time.Second
	settings.Log = c.options.Log
	settings.OnAdmit = c.Admissions.Record
	if c.options.Change != nil {
		c.options.Change(&settings)
	}
	n, err := node.New(settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	in := &Instance{Node: n, stop: cancel, done: make(chan error, 1)}
	go func() { in.done <- n.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = append(c.instances, in)
	return in, nil
}

// SetFaults sets the faults of the platform on the links of all halls and on the
// server that the cluster itself uses.
func (c *Cluster) SetFaults(f platformstore.Faults) {
	c.Platform.SetFaults(f)
	for _, link := range c.Links {
		link.SetFaults(f)
	}
}

// Remove removes an instance from the cluster's list, so that the Await methods
// don't wait for it. It doesn't end the instance.
func (c *Cluster) Remove(old *Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, in := range c.instances {
		if in == old {
			c.instances = append(c.instances[:i], c.instances[i+1:]...)
			return
		}
	}
}

// Instances returns the instances that have been started and not removed.
func (c *Cluster) Instances() []*Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Instance(nil), c.instances...)
}

// Replace starts a new instance in the hall of an old one, waits until all
// instances are ready, and shuts the old one down gracefully. It returns the
// duration of the shutdown.
func (c *Cluster) Replace(ctx context.Context, old *Instance) (time.Duration, error) {
	self := old.Node.Instance()
	_, err := c.StartInstance(self.Region, self.Hall, "replacement")
	if err != nil {
		return 0, err
	}
	err = c.AwaitReady(ctx)
	if err != nil {
		return 0, err
	}
	c.Remove(old)
	began := time.Now()
	err = old.Stop()
	return time.Since(began), err
}

// pollEvery is the interval at which the Await methods check their condition.
const pollEvery = 20 * time.Millisecond

// AwaitReady waits until every instance is ready, holds seats (partitions of the
// hall's capacity) and has received the state of every other instance. It returns
// an error if ctx ends first.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	return c.await(ctx, func() bool {
		all := c.Instances()
		for _, in := range all {
			st := in.Status()
			if !st.Ready || st.Seats == 0 || livePeers(st) < len(all)-1 {
				return false
			}
		}
		return true
	})
}

// livePeers returns the number of live peers whose state an instance has received.
func livePeers(st node.Status) int {
	n := 0
	for _, p := range st.Peers {
		if p.State == member.Live && p.Version > 0 {
			n++
		}
	}
	return n
}

// AwaitVersion waits until every instance applies a version of the routing table
// that is at least number. It returns an error if ctx ends first.
func (c *Cluster) AwaitVersion(ctx context.Context, number int64) error {
	return c.await(ctx, func() bool {
		for _, in := range c.Instances() {
			if in.Version() < number {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) await(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("demo: %w", ctx.Err())
		}
	}
	return nil
}

// Caller returns a client whose local address is in the address block of a hall,
// given by its index in AllHalls.
func (c *Cluster) Caller(hall int) (*caller.Client, error) {
	return c.CallerOf(hall, 0)
}

// CallerOf returns a client as Caller does that makes at most the given number of
// attempts for a request, or the client's default for 0.
func (c *Cluster) CallerOf(hall, attempts int) (*caller.Client, error) {
	var bootstrap []string
	for _, in := range c.Instances() {
		bootstrap = append(bootstrap, in.Node.Instance().CallerAddr)
	}
	return caller.New(caller.Config{
		Bootstrap:   bootstrap,
		LocalAddr:   &net.TCPAddr{IP: net.IPv4(127, byte(firstBlock+hall), 0, 1)},
		MaxAttempts: attempts,
	})
}

// Close ends all instances without a graceful shutdown, and then the targets and
// the platform stand-in.
func (c *Cluster) Close() {
	for _, in := range c.Instances() {
		in.Kill()
	}
	for _, f := range c.closers {
		f()
	}
	if c.Client != nil {
		c.Client.Close()
	}
}
