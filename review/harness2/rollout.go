package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// orderTime is the duration of the order. The cut begins cutAfter after the order and lasts cutFor.
	orderTime = 16 * time.Second
	cutAfter  = 8600 * time.Millisecond
	cutFor    = 5500 * time.Millisecond
	// The new version is bad under load: while all its servers together run more than badLoad requests, badShare
	// of its answers fail. All requests of the service together are 30 at a time.
	badLoad  = 20
	badShare = 0.6
	// canaryShare and canarySlack are the bounds of the site.
	canaryShare, canarySlack = 0.1, 50
	// deskKeys is the number of objects that requests concern.
	deskKeys = 300
	// requestInterval is the time between two requests to an instance, and requestWork that of a run.
	requestInterval = 10 * time.Millisecond
	requestWork     = 50 * time.Millisecond
)

// rolloutCase brings a version in that is bad under load, while the first instance is cut off from the others.
func rolloutCase(dir string, trouble bool) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	w.linkPeers, w.settings = true, []string{"canary-share 0.1", "canary-slack 50"}
	w.configure(7, map[string]objects.Route{
		"r-b": {Host: host, PathPrefix: "/b/", RouteType: "non_idempotent", Timeout: "3000ms", TargetLatency: "500ms", Priority: 1, Service: "desk", MaxAttempts: 2},
	}, []string{"desk"}, objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"})
	ro := &rolloutState{w: w}
	for i := range 8 {
		if !ro.start("v1", i) {
			return exitNotRun
		}
	}
	if err := w.startInstances(zoneA, zoneA, zoneB, zoneB, zoneB, zoneB); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for n, in := range w.instances {
		clients.Go(func() { ro.requests(ctx, n, in, &clients) })
	}
	time.Sleep(6 * time.Second)
	w.store.Set("rollouts", "desk", map[string]string{"service": "desk", "targetVersion": "v2", "duration": "16s"})
	ro.orderedAt.Store(time.Now().UnixNano())
	w.record("operator: order to bring v2 in")
	for i := range 8 {
		if !ro.start("v2", i) {
			return exitNotRun
		}
	}
	clients.Go(func() { ro.follow(ctx) })
	ordered := time.Unix(0, ro.orderedAt.Load())
	time.Sleep(time.Until(ordered.Add(cutAfter)))
	if trouble {
		w.record("links: %s is cut off from all other instances", w.instances[0].name)
		w.setCut(w.instances[0])
	}
	time.Sleep(time.Until(ordered.Add(cutAfter + cutFor)))
	w.setCut(nil)
	w.record("links: the cut is over")
	time.Sleep(time.Until(ordered.Add(orderTime)))
	all, sentNew := ro.all.Load(), ro.sentNew.Load()
	cancel()
	clients.Wait()
	allowed := canaryShare*float64(all) + canarySlack
	w.record("result: %d requests reached the service, %d of them v2 from instances that were in touch, allowed %.0f; state %s", all, sentNew, allowed, ro.state)
	fmt.Printf("all %d, new %d, allowed %.0f, state %s, cut runs %d\n", all, sentNew, allowed, ro.state, ro.cutRuns)
	switch {
	case all < 1000:
		return exitNotRun
	case float64(sentNew) > allowed:
		return exitBroken
	default:
		return exitHeld
	}
}

// rolloutState is the state of the case.
type rolloutState struct {
	w            *world
	old          []*server
	orderedAt    atomic.Int64
	running      atomic.Int64
	all, sentNew atomic.Int64
	// state is the last state of the order, and cutRuns the number of runs that ended with the old servers.
	state   string
	cutRuns int
}

// start starts a server of a version.
func (ro *rolloutState) start(version string, i int) bool {
	zone := []string{zoneA, zoneB}[i%2]
	s, err := ro.w.startVersion(version, fmt.Sprintf("i-%s-%d", version, i), "desk", zone, 9, requestWork)
	if err != nil {
		return false
	}
	s.onArrival = ro.arrived
	if version == "v2" {
		s.running = &ro.running
		s.fails = func() bool { return ro.running.Load() > badLoad && rand.Float64() < badShare }
	} else {
		ro.old = append(ro.old, s)
	}
	return true
}

// arrived counts a request that arrives at a server. Requests by the instance that was cut off count for the
// service, but not for the version.
func (ro *rolloutState) arrived(s *server, id string) {
	ordered := ro.orderedAt.Load()
	if ordered == 0 || time.Since(time.Unix(0, ordered)) > orderTime {
		return
	}
	ro.all.Add(1)
	if s.version == "v2" && !strings.HasPrefix(id, "q-0-") {
		ro.sentNew.Add(1)
	}
}

// follow follows the state of the order as the platform does: on success it stops the old servers at once.
func (ro *rolloutState) follow(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		state := string(ro.w.store.Status("rollouts", "desk"))
		if state == ro.state {
			continue
		}
		ro.state = state
		since := time.Since(time.Unix(0, ro.orderedAt.Load()))
		ro.w.record("platform: state of the order %s after %.2f s; %d of %d requests went to v2", state, since.Seconds(), ro.sentNew.Load(), ro.all.Load())
		if strings.Contains(state, "succeeded") {
			for _, s := range ro.old {
				ro.cutRuns += len(s.slots)
				s.stop()
			}
		}
	}
}

// requests begins requests to an instance at an even rate.
func (ro *rolloutState) requests(ctx context.Context, n int, in *instance, running *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		running.Go(func() {
			id := fmt.Sprintf("q-%d-%d", n, i)
			req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/b/x", nil)
			if err != nil {
				return
			}
			req.Host = host
			req.Header.Set("Request-Id", id)
			req.Header.Set("Affinity-Key", fmt.Sprint("desk-", rand.IntN(deskKeys)))
			req.Header.Set("Timeout-Ms", "3000")
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
}
