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

// GatewayOptions configures RunGateways.
type GatewayOptions struct {
	// Duration is the time for which requests are sent, and Rate their number per
	// second.
	Duration time.Duration
	Rate     float64
	// Progress receives a line for each step. It must not be nil; io.Discard drops
	// the lines.
	Progress io.Writer
}

// gatewayHalls maps each hall of the gateways' estate to its region: two regions with
// two halls each. Each hall has one instance and a few targets of each service.
var gatewayHalls = map[string]string{"accra-a": "accra", "accra-b": "accra", "kumasi-a": "kumasi", "kumasi-b": "kumasi"}

const (
	gatewayHost    = "demo.example"
	targetsPerHall = 2
	targetSlots    = 6
	targetWork     = 15 * time.Millisecond
	// propagationTime is the time after which every instance must apply a change. Targets
	// that leave must not receive new requests after a few seconds.
	propagationTime = time.Second
)

// gatewayEstate is a running estate of instances that run package gateway.
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

// RunGateways starts an estate of instances in this process, with stand-ins of the
// store and of the targets, and sends requests while faults and changes occur. The
// steps are:
//
//   - a new configuration is written;
//   - a client account's key is revoked;
//   - a hall is evacuated and returns to service;
//   - a request crashes each target that runs it;
//   - a target refuses requests with a back-off time, and one announces its departure
//     in its responses;
//   - a target leaves by its entry in the store;
//   - an instance shuts down gracefully.
//
// One client account sends three times its rate limit throughout. The report lists
// the invariants that were violated.
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

// configure writes a configuration to the store. Version n has a route /read/n/ that
// earlier versions lack, so that a request shows whether an instance applies it.
// withTaken includes revokedKey among the keys of its client account.
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

// record writes the entry of a target to the store.
func (e *gatewayEstate) record(t *origin.Server, state string) {
	e.store.SetServer(t.ID, objects.Server{Service: t.Service, Address: t.Addr(), Zone: t.Zone, Slots: t.Slots, State: state,
		WarmupRemaining: "0ms", Sequence: 1})
}

func (e *gatewayEstate) startInstance(hall, region string) error {
	c := gateway.Defaults()
	c.Name, c.Hall, c.Region, c.RegionOf = "edge-"+hall, hall, region, gatewayHalls
	c.Grace = 2 * time.Second
	for _, other := range e.instances {
		c.Seeds = append(c.Seeds, other.config.PeerListen)
	}
	var g *gateway.Gateway
	err := loopback.Start(func() error {
		var err error
		for _, addr := range []*string{&c.Listen, &c.LookupListen, &c.ReadyListen, &c.PeerListen, &c.AdminListen} {
			*addr, err = loopback.FreeAddr()
			if err != nil {
				return err
			}
		}
		g, err = gateway.New(c, platform.NewStore(e.storeAddr), platform.Codec{}, platform.Headers())
		return err
	})
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

// errNotInForce reports that an instance didn't apply a change before the timeout.
var errNotInForce = errors.New("change not in force before the timeout")

// await waits until every instance answers a request for path that carries key with
// the given status. It returns an error if an instance doesn't within 10 s.
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

// steps makes the changes of the run, with a tenth of the run's duration between them.
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
	say("revoked key rejected by all instances after %v", report.KeyGone.Round(time.Millisecond))
	pause.For(ctx, part)
	e.store.Evacuate("kumasi-a")
	say("hall kumasi-a is evacuated")
	e.observer.forbid(func(t *origin.Server) bool { return t.Zone == "kumasi-a" }, time.Now().Add(propagationTime))
	pause.For(ctx, part)
	e.observer.allow()
	e.store.CancelEvacuation("kumasi-a")
	say("hall kumasi-a returns to service")
	pause.For(ctx, part)
	report.Ended, err = e.sendCrashing(ctx)
	if err != nil {
		return err
	}
	say("%d targets crashed under a request that crashes each target that runs it, sent %d times", report.Ended, crashSends)
	pause.For(ctx, part)
	busy := e.busiest()
	overloaded, announcing, leaving := busy[0], busy[1], busy[2]
	report.Rested = e.requestBackOff(ctx, overloaded)
	say("%s requested a back-off and refused %d requests in %v", overloaded.ID, report.Rested, refusalTime)
	err = e.leaveByNotice(ctx, announcing)
	if err != nil {
		return err
	}
	say("%s announces its departure in its responses", announcing.ID)
	pause.For(ctx, part)
	e.record(leaving, objects.Draining)
	say("%s leaves by its entry in the store", leaving.ID)
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
