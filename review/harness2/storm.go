package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// smallMemory is the memoryMb of the smallest machines of the site.
	smallMemory = 184 << 20
	// growths is how often the configuration grows, and growthRoutes by how many routes each time.
	growths, growthRoutes = 3, 1400
	// storms is the number of storms of configurations, stormChanges that of the changes in each, and stormGap the
	// time between two of them.
	storms, stormChanges = 10, 12
	stormGap             = 330 * time.Millisecond
)

// storm lets the configuration grow, and then change in quick succession, ten times. A process that goes over its
// memory is killed and started again.
func storm(dir string, trouble bool) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	st := &stormState{w: w, routes: map[string]objects.Route{"r-pay": stormRoute("/pay/", "4000ms")}}
	st.configure()
	for i := range 6 {
		if _, err := w.startServer(fmt.Sprintf("i-ledger-%d", i), "ledger", []string{zoneA, zoneB}[i%2], 9, 700*time.Millisecond); err != nil {
			return exitNotRun
		}
	}
	if err := w.startInstances(zoneA, zoneA, zoneB, zoneB); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	m := &memoryCase{w: w, limit: smallMemory}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for n, in := range w.instances {
		running.Go(func() { m.supervise(ctx, in) })
		for c := range 6 {
			running.Go(func() { m.pay(ctx, n, c, in) })
		}
	}
	time.Sleep(5 * time.Second)
	for g := range growths {
		for i := range growthRoutes {
			name := fmt.Sprintf("r-%d-%04d", g, i)
			st.routes[name] = stormRoute(fmt.Sprintf("/daba%d/x%04d/", g, i), "4000ms")
		}
		st.configure()
		time.Sleep(3 * time.Second)
	}
	for range storms {
		for range stormChanges {
			if trouble {
				st.configure()
			}
			time.Sleep(stormGap)
		}
		time.Sleep(time.Second)
	}
	cancel()
	running.Wait()
	m.tellMemory()
	w.record("result: configuration of %d bytes; %d payments answered, %d were running at a server and got no answer", st.size, m.paid.Load(), m.lost.Load())
	fmt.Printf("configuration %d bytes, paid %d, lost %d\n", st.size, m.paid.Load(), m.lost.Load())
	switch {
	case m.paid.Load() == 0:
		return exitNotRun
	case m.lost.Load() > 3:
		return exitBroken
	default:
		return exitHeld
	}
}

// stormState is the configuration of the case.
type stormState struct {
	w             *world
	version, size int
	routes        map[string]objects.Route
}

// configure writes the next version. Versions differ in the time-out of one route.
func (st *stormState) configure() {
	st.version++
	st.routes["r-idle"] = stormRoute("/idle/", fmt.Sprint(2000+st.version, "ms"))
	raw, err := json.Marshal(st.routes)
	if err == nil {
		st.size = len(raw)
	}
	st.w.configure(st.version, st.routes, []string{"ledger"}, objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"})
}

// stormRoute returns a route.
func stormRoute(prefix, timeout string) objects.Route {
	return objects.Route{Host: host, PathPrefix: prefix, RouteType: "non_idempotent", Timeout: timeout, TargetLatency: "600ms", Priority: 1, Service: "ledger", MaxAttempts: 2, AllowedRegions: []string{}}
}
