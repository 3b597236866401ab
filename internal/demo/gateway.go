package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/loopback"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/platform"
)

// GatewayOptions are the choices of a run of gateways.
type GatewayOptions struct {
	// Duration is how long requests are sent, and Rate how many a second.
	Duration time.Duration
	Rate     float64
	// Progress gets a line for each step, io.Discard for none.
	Progress io.Writer
}

// The estate of the gateways: two regions of two halls, each hall with an instance and
// a few targets of each service.
var gatewayHalls = map[string]string{"accra-a": "accra", "accra-b": "accra", "kumasi-a": "kumasi", "kumasi-b": "kumasi"}

const (
	gatewayHost    = "demo.example"
	targetsPerHall = 2
	targetSlots    = 6
	targetWork     = 15 * time.Millisecond
	// propagationTime is how long a change may take to be in force, by the promise that a
	// leaving target gets no new work after a few seconds.
	propagationTime = time.Second
)

// gatewayEstate is a running estate of gateways.
type gatewayEstate struct {
	options   GatewayOptions
	store     *objects.Store
	storeHTTP *http.Server
	storeAddr string
	observer  *observer

	instances []*gatewayInstance
	targets   []*origin.Server
}

// gatewayInstance is one running gateway.
type gatewayInstance struct {
	config gateway.Config
	stop   context.CancelFunc
	done   chan struct{}
}

// RunGateways starts an estate of gateways with stand-ins of the store and of targets
// in this process, sends requests while a configuration changes, a hall is emptied, a
// target leaves and an instance stops, keys are taken away, a request ends each target that
// runs it, targets say themselves that they leave or want rest, and an account sends three
// times what it may, and reports what held.
func RunGateways(ctx context.Context, options GatewayOptions) (*GatewayReport, error) {
	e := &gatewayEstate{options: options, store: objects.New(), observer: newObserver()}
	defer e.close()
	err := e.start(ctx)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	report := &GatewayReport{}
	load := newGatewayLoad(e, options)
	load.start(ctx)
	err = e.steps(ctx, report)
	load.stop()
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	load.report(report)
	e.observer.report(report, options.busyLimit())
	e.reportBackOff(report)
	return report, nil
}

func (e *gatewayEstate) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.storeAddr = ln.Addr().String()
	e.storeHTTP = &http.Server{Handler: e.store}
	go func() { _ = e.storeHTTP.Serve(ln) }()
	e.configure(1, true)
	for hall := range gatewayHalls {
		for _, service := range []string{"listings", "ledger"} {
			for n := range targetsPerHall {
				err = e.startTarget(fmt.Sprint(service, "-", hall, "-", n), service, hall)
				if err != nil {
					return err
				}
			}
		}
	}
	for hall, region := range gatewayHalls {
		err = e.startInstance(hall, region)
		if err != nil {
			return err
		}
	}
	return e.await(ctx, estateKey, "/read/1/", http.StatusOK)
}

// configure writes a configuration. Version n has a route /read/n/ that earlier ones
// lack. WithTaken tells whether the key that is taken away is still there.
func (e *gatewayEstate) configure(version int, withTaken bool) {
	route := func(prefix, service, kind string) objects.Route {
		return objects.Route{Host: gatewayHost, PathPrefix: prefix, RouteType: kind, Timeout: "2s", TargetLatency: "200ms",
			Priority: 1, Service: service, MaxAttempts: 2, StickySessions: true}
	}
	routes := map[string]objects.Route{
		"pay":    route("/pay/", "ledger", "non_idempotent"),
		"upload": route("/upload/", "ledger", "upload"),
	}
	for v := 1; v <= version; v++ {
		prefix := fmt.Sprintf("/read/%d/", v)
		routes[prefix] = route(prefix, "listings", "idempotent")
	}
	service := objects.Service{Warmup: "1s", WarmupPerS: 40}
	e.store.Configure(objects.Configuration{Version: objects.FormatVersion(version), Routes: routes,
		Services: map[string]objects.Service{"listings": service, "ledger": service}, Tenants: e.tenants(withTaken)})
}

func (e *gatewayEstate) startTarget(id, service, hall string) error {
	t, err := origin.Start(id, service, hall, targetSlots)
	if err != nil {
		return err
	}
	t.SetServiceTime(targetWork)
	t.SetObserver(e.observer.arrived)
	e.targets = append(e.targets, t)
	e.record(t, objects.Ready)
	return nil
}

func (e *gatewayEstate) record(t *origin.Server, state string) {
	e.store.SetServer(t.ID, objects.Server{Service: t.Service, Address: t.Addr(), Zone: t.Zone, Slots: t.Slots, State: state,
		WarmupRemaining: "0ms", Sequence: 1})
}

func (e *gatewayEstate) startInstance(hall, region string) error {
	c := gateway.Defaults()
	c.Name, c.Hall, c.Region, c.RegionOf = "edge-"+hall, hall, region, gatewayHalls
	c.Grace = 2 * time.Second
	for _, addr := range []*string{&c.Listen, &c.LookupListen, &c.ReadyListen, &c.PeerListen, &c.AdminListen} {
		free, err := loopback.FreeAddr()
		if err != nil {
			return err
		}
		*addr = free
	}
	for _, other := range e.instances {
		c.Seeds = append(c.Seeds, other.config.PeerListen)
	}
	g, err := gateway.New(c, platform.NewStore(e.storeAddr), platform.Codec{}, platform.Headers())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	in := &gatewayInstance{config: c, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(in.done)
		_ = g.Run(ctx)
	}()
	e.instances = append(e.instances, in)
	return nil
}

// errNotInForce says that a change was not in force in time.
var errNotInForce = errors.New("a change was not in force in time")

// await waits until every instance answers a request with a key for a path with a status.
func (e *gatewayEstate) await(ctx context.Context, key, path string, status int) error {
	const longest = 10 * time.Second
	end := time.Now().Add(longest)
	for _, in := range e.instances {
		for {
			a := sendTo(ctx, in.config.Listen, key, "await", http.MethodGet, path, nil)
			if a.status == status {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return fmt.Errorf("%s at %s: %w", path, in.config.Name, errNotInForce)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// steps makes the changes of the run, each after a part of its length.
func (e *gatewayEstate) steps(ctx context.Context, report *GatewayReport) error {
	const parts = 10
	part := e.options.Duration / parts
	say := func(format string, args ...any) { fmt.Fprintf(e.options.Progress, format+"\n", args...) }
	pause.For(ctx, part)
	began := time.Now()
	e.configure(2, true)
	err := e.await(ctx, estateKey, "/read/2/", http.StatusOK)
	if err != nil {
		return err
	}
	report.InForce = time.Since(began)
	say("configuration 2 in force at all instances after %v", report.InForce.Round(time.Millisecond))
	pause.For(ctx, part)
	began = time.Now()
	e.configure(3, false)
	err = e.await(ctx, revokedKey, "/read/1/", http.StatusUnauthorized)
	if err != nil {
		return err
	}
	report.KeyGone = time.Since(began)
	say("a key that was taken away opens nothing after %v", report.KeyGone.Round(time.Millisecond))
	pause.For(ctx, part)
	e.store.Evacuate("kumasi-a")
	say("kumasi-a is to be emptied")
	e.observer.forbid(func(t *origin.Server) bool { return t.Zone == "kumasi-a" }, time.Now().Add(propagationTime))
	pause.For(ctx, part)
	e.observer.allow()
	e.store.CancelEvacuation("kumasi-a")
	say("kumasi-a is back")
	pause.For(ctx, part)
	report.Ended, err = e.sendCrashing(ctx)
	if err != nil {
		return err
	}
	say("%d targets ended under a request that ends each that runs it, sent %d times", report.Ended, crashSends)
	pause.For(ctx, part)
	busy := e.busiest()
	overloaded, announcing, leaving := busy[0], busy[1], busy[2]
	report.Rested = e.requestBackOff(ctx, overloaded)
	say("%s asked for rest and got %d requests in %v", overloaded.ID, report.Rested, refusalTime)
	err = e.leaveByNotice(ctx, announcing)
	if err != nil {
		return err
	}
	say("%s says in its answers that it leaves", announcing.ID)
	pause.For(ctx, part)
	e.record(leaving, objects.Draining)
	say("%s leaves", leaving.ID)
	e.observer.forbid(func(t *origin.Server) bool { return t == leaving || t == announcing }, time.Now().Add(propagationTime))
	pause.For(ctx, part)
	began = time.Now()
	e.instances[0].stop()
	<-e.instances[0].done
	report.Stop = time.Since(began)
	say("%s stopped after %v", e.instances[0].config.Name, report.Stop.Round(time.Millisecond))
	pause.For(ctx, part)
	return ctx.Err()
}

func (e *gatewayEstate) close() {
	var group sync.WaitGroup
	for _, in := range e.instances {
		group.Add(1)
		go func() {
			defer group.Done()
			in.stop()
			<-in.done
		}()
	}
	group.Wait()
	for _, t := range e.targets {
		t.Close()
	}
	if e.storeHTTP != nil {
		_ = e.storeHTTP.Close()
	}
}
