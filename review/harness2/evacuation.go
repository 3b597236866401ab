package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

// Bounds of the site, by its page.
const (
	contact       = 4 * time.Second
	evacuateBound = 5 * time.Second
)

// evacuation evacuates a zone three times. Each time, the store gives no answer for a moment to the two of six
// instances that read the evacuations. Later than the bound on evacuations after the acknowledgement, no
// request may arrive at a server of the zone. Then the operator switches these servers off.
func evacuation(dir string, trouble bool) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	w.configure(7, map[string]objects.Route{
		"r-pay": {Host: host, PathPrefix: "/pay/", RouteType: "non_idempotent", Timeout: "4000ms", TargetLatency: "600ms", Priority: 1, Service: "ledger", MaxAttempts: 2},
	}, []string{"ledger"}, objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"})
	e := &evacuated{w: w}
	e.startServers(zoneB)
	e.startServers(zoneA)
	if err := w.startInstances(zoneA, zoneA, zoneA, zoneB, zoneB, zoneB); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for n, in := range w.instances {
		for c := range 2 {
			clients.Go(func() { e.client(ctx, n, c, in) })
		}
	}
	time.Sleep(8 * time.Second)
	for range 3 {
		if !e.round(trouble) {
			return exitNotRun
		}
	}
	cancel()
	clients.Wait()
	if e.answered.Load() == 0 {
		return exitNotRun
	}
	w.record("result: %d requests answered with success; %d arrived in the zone later than the bound; %d were running there when it was switched off", e.answered.Load(), e.late.Load(), e.cut.Load())
	fmt.Printf("answered %d, late arrivals %d, cut runs %d\n", e.answered.Load(), e.late.Load(), e.cut.Load())
	if e.late.Load() > 0 {
		return exitBroken
	}
	return exitHeld
}

// evacuated is the state of the case.
type evacuated struct {
	w          *world
	generation int
	zoneA      []*server
	// bound is the time in Unix nanoseconds from which no request may arrive in the zone, or 0.
	bound               atomic.Int64
	answered, late, cut atomic.Int64
}

// startServers starts three servers in a zone.
func (e *evacuated) startServers(zone string) {
	e.generation++
	var started []*server
	for i := range 3 {
		s, err := e.w.startServer(fmt.Sprintf("i-%s-%d%d", zone, e.generation, i), "ledger", zone, 9, 700*time.Millisecond)
		if err != nil {
			continue
		}
		s.onArrival = e.arrived
		started = append(started, s)
	}
	if zone == zoneA {
		e.zoneA = started
	}
}

// arrived judges a request that arrives at a server.
func (e *evacuated) arrived(s *server, id string) {
	bound := e.bound.Load()
	if s.zone != zoneA || bound == 0 {
		return
	}
	if after := time.Since(time.Unix(0, bound)); after > 0 {
		e.late.Add(1)
		e.w.record("BROKEN: request %s arrives at %s in the evacuated zone, %.2f s later than the bound", id, s.id, after.Seconds())
	}
}

// round evacuates the zone, switches its servers off, and takes it back. The result is false if the instances
// that read the evacuations are not two at most.
func (e *evacuated) round(trouble bool) bool {
	w := e.w
	var readers []*instance
	for range 100 {
		readers = readers[:0]
		for _, in := range w.instances {
			if in.link.watches() {
				readers = append(readers, in)
			}
		}
		if len(readers) > 0 && len(readers) <= 2 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(readers) == 0 || len(readers) > 2 {
		w.record("%d instances read the evacuations", len(readers))
		return false
	}
	var names []string
	for _, in := range readers {
		names = append(names, in.name)
	}
	if trouble {
		w.record("store: no answers to %s from now on", strings.Join(names, ", "))
		for _, in := range readers {
			in.link.setSilent(true)
		}
	}
	w.store.Set(objects.KindEvacuations, zoneA, struct{}{})
	ack := time.Now()
	w.record("operator: evacuation of %s, acknowledged", zoneA)
	time.Sleep(silence)
	for _, in := range readers {
		in.link.setSilent(false)
	}
	if trouble {
		w.record("store: answers to all again, after %v", silence)
	}
	// All machines are in touch from contact after the end of the silence.
	e.bound.Store(ack.Add(max(evacuateBound, silence+contact+100*time.Millisecond)).UnixNano())
	time.Sleep(time.Until(ack.Add(switchOff)))
	running := 0
	for _, s := range e.zoneA {
		running += len(s.slots)
		s.stop()
	}
	e.cut.Add(int64(running))
	e.bound.Store(0)
	time.Sleep(3 * time.Second)
	e.startServers(zoneA)
	w.store.Remove(objects.KindEvacuations, zoneA)
	w.record("operator: %s is taken back, with new servers", zoneA)
	// All have caught up with the store before the next round.
	time.Sleep(8 * time.Second)
	return true
}

// switchOff is the time from the acknowledgement of an evacuation until the operator switches the servers of the zone
// off. It is the bound and twice the time that a request runs.
const switchOff = 6500 * time.Millisecond

// silence is how long the store gives no answer to two instances.
const silence = 200 * time.Millisecond

// client sends payments to an instance, one after the other.
func (e *evacuated) client(ctx context.Context, n, c int, in *instance) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("pay-%d-%d-%d", n, c, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/pay/rent", strings.NewReader("rent "+id))
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Timeout-Ms", "4000")
		sentAt := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			e.w.record("client: %s by %s: %v", id, in.name, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && resp.Header.Get("Server-Signature") != "" {
			e.answered.Add(1)
		} else {
			e.w.record("client: %s by %s: status %d after %v", id, in.name, resp.StatusCode, time.Since(sentAt).Round(time.Millisecond))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
