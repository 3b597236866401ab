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
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// grownApply is configApply of the site.
	grownApply = 3 * time.Second
	// stillTime is how long one of ten instances stands still.
	stillTime = 3500 * time.Millisecond
	// quickChanges is the number of changes in quick succession, and quickGap the time between two of them.
	quickChanges, quickGap = 25, 60 * time.Millisecond
	// behindRounds is how often this is done. Requests are looked at for lookTime after each, with a further change
	// in the middle of it.
	behindRounds, lookTime = 4, 10 * time.Second
)

// behind changes a large configuration in quick succession while an instance stands still, four times.
func behind(dir string, trouble bool) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	b := &behindState{w: w, random: rand.New(rand.NewPCG(1, 2)), routes: make(map[string]objects.Route), service: "desk-a", old: "desk-b"}
	for _, service := range []string{"desk-a", "desk-b"} {
		for i := range 4 {
			s, err := w.startServer(fmt.Sprintf("i-%s-%d", service, i), service, []string{zoneA, zoneB}[i%2], 9, 20*time.Millisecond)
			if err != nil {
				return exitNotRun
			}
			s.onArrival = b.arrived
		}
	}
	b.configure()
	var zones []string
	for i := range 10 {
		zones = append(zones, []string{zoneA, zoneB}[i/5])
	}
	if err := w.startInstances(zones...); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for n, in := range w.instances {
		clients.Go(func() { b.client(ctx, n, in) })
	}
	time.Sleep(6 * time.Second)
	for range 2 {
		b.grow(1400)
		b.configure()
		time.Sleep(4 * time.Second)
	}
	for range behindRounds {
		b.round(trouble)
	}
	cancel()
	clients.Wait()
	w.record("result: configuration of %d routes; %d requests answered with success, %d run by the old service later than the bound, the last %v later", len(b.routes), b.answered.Load(), b.late.Load(), time.Duration(b.latest.Load()))
	fmt.Printf("answered %d, late %d, latest %v\n", b.answered.Load(), b.late.Load(), time.Duration(b.latest.Load()).Round(time.Millisecond))
	switch {
	case b.answered.Load() == 0:
		return exitNotRun
	case b.late.Load() > 0:
		return exitBroken
	default:
		return exitHeld
	}
}

// round changes the configuration while the last instance stands still. The last of these changes gives the route to
// the other service.
func (b *behindState) round(trouble bool) {
	b.from.Store(0)
	last := b.w.instances[len(b.w.instances)-1]
	if trouble {
		last.signal(syscall.SIGSTOP)
	}
	stopped := time.Now()
	for range quickChanges {
		b.configure()
		time.Sleep(quickGap)
	}
	b.mu.Lock()
	b.old, b.service = b.service, b.old
	b.mu.Unlock()
	b.configure()
	acked := time.Now()
	time.Sleep(time.Until(stopped.Add(stillTime)))
	if trouble {
		last.signal(syscall.SIGCONT)
	}
	from := acked.Add(grownApply)
	if touch := stopped.Add(stillTime + contact); touch.After(from) {
		from = touch
	}
	b.from.Store(from.UnixNano())
	time.Sleep(time.Until(from.Add(lookTime / 2)))
	b.configure()
	time.Sleep(lookTime / 2)
}

// behindState is the state of the case.
type behindState struct {
	w       *world
	random  *rand.Rand
	version int
	routes  map[string]objects.Route
	mu      sync.Mutex
	// service is the service of the route that clients use, and old the other one.
	service, old string
	// from is the time in Unix nanoseconds from which no request may be sent to the old service, or 0.
	from atomic.Int64
	sent sync.Map

	answered, late, latest atomic.Int64
}

// word returns letters drawn at random.
func (b *behindState) word(n int) string {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + b.random.IntN(26))
	}
	return string(out)
}

// grow adds routes.
func (b *behindState) grow(n int) {
	for range n {
		r := b.route(fmt.Sprintf("/%s%d/%s%d/", b.word(4), b.random.IntN(1000), b.word(4), b.random.IntN(100)), "4000ms", "desk-a")
		r.Host = b.word(4) + ".example"
		b.routes["r-"+b.word(7)] = r
	}
}

// route returns a route.
func (b *behindState) route(prefix, timeout, service string) objects.Route {
	return objects.Route{Host: host, PathPrefix: prefix, RouteType: "non_idempotent", Timeout: timeout, TargetLatency: "600ms", Priority: 1, Service: service, MaxAttempts: 2, AllowedRegions: []string{}}
}

// configure writes the next version. Versions differ in the time-out of one route.
func (b *behindState) configure() {
	b.version++
	b.routes["r-pay"] = b.route("/pay/", "2000ms", b.service)
	b.routes["r-idle"] = b.route("/idle/", fmt.Sprint(2000+b.version, "ms"), "desk-a")
	b.w.configure(b.version, b.routes, []string{"desk-a", "desk-b"}, objects.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"})
}

// arrived judges a request that arrives at a server.
func (b *behindState) arrived(s *server, id string) {
	value, ok := b.sent.Load(id)
	from := b.from.Load()
	b.mu.Lock()
	old := b.old
	b.mu.Unlock()
	if !ok || from == 0 || s.service != old {
		return
	}
	sent := value.(sentRequest)
	if after := sent.at.Sub(time.Unix(0, from)); after > 0 {
		b.late.Add(1)
		b.latest.Store(max(b.latest.Load(), int64(after)))
		b.w.record("BROKEN: request %s by %s, sent %.2f s later than the bound, is run by the old service", id, sent.by, after.Seconds())
	}
}

// sentRequest is when a request was sent, and the instance that it was sent to.
type sentRequest struct {
	at time.Time
	by string
}

// client sends payments to an instance, one after the other.
func (b *behindState) client(ctx context.Context, n int, in *instance) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("pay-%d-%d", n, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/pay/rent", strings.NewReader(id))
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Timeout-Ms", "2000")
		b.sent.Store(id, sentRequest{time.Now(), in.name})
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				b.answered.Add(1)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
