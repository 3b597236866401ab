package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// restartDelay is the time between a target's crash and its restart.
	restartDelay = 300 * time.Millisecond
	// crashPath is the path of requests that crash each target that runs them.
	crashPath = "/x/ending/"
	// maxCrashes is the largest number of targets that may crash under one request.
	maxCrashes = 6
)

// restartingTargets are the targets of a service. Each target that crashes restarts after a delay,
// with a new ID and at a new address.
type restartingTargets struct {
	site *site
	// crashes reports whether a request crashes the target that runs it.
	crashes func(*http.Request) bool
	// restartDelay is the time between a target's crash and its restart.
	restartDelay time.Duration

	mu      sync.Mutex
	next    int
	live    map[*origin.Server]bool
	crashed int
}

func newRestartingTargets(s *site, count int, crashes func(*http.Request) bool) *restartingTargets {
	v := &restartingTargets{site: s, crashes: crashes, restartDelay: restartDelay, live: make(map[*origin.Server]bool)}
	for i := range count {
		v.start([]string{"a1", "a2", "b1"}[i%3])
	}
	s.t.Cleanup(v.close)
	return v
}

func (v *restartingTargets) start(hall string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.live == nil {
		return
	}
	v.next++
	server, err := origin.Start(fmt.Sprint("i-", v.next), "s", hall, 9)
	if err != nil {
		v.site.t.Error(err)
		return
	}
	server.SetServiceTime(20 * time.Millisecond)
	server.SetScript(func(r *http.Request) origin.Fault {
		if !v.crashes(r) {
			return origin.None
		}
		v.recordCrash(server)
		return origin.Crash
	})
	v.live[server] = true
	v.site.record(server, "ready")
}

// recordCrash counts a crash of a server and schedules its replacement.
func (v *restartingTargets) recordCrash(server *origin.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.live[server] {
		return
	}
	delete(v.live, server)
	v.crashed++
	time.AfterFunc(v.restartDelay, func() {
		v.site.store.Remove(objects.KindServers, server.ID)
		v.start(server.Zone)
	})
}

// crash crashes a server independently of any request.
func (v *restartingTargets) crash(server *origin.Server) {
	v.recordCrash(server)
	server.Close()
}

func (v *restartingTargets) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for server := range v.live {
		server.Close()
	}
	v.live = nil
}

func (v *restartingTargets) crashCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashed
}

// isCrashing reports whether a request crashes targets.
func isCrashing(r *http.Request) bool { return strings.HasPrefix(r.RequestURI, crashPath) }

// newCrashSite starts four instances in three halls and twelve targets that restart after crashes.
func newCrashSite(t *testing.T, kind string, crashes func(*http.Request) bool) (*restartingTargets, []*instance) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: kind})
	v := newRestartingTargets(s, 12, crashes)
	var instances []*instance
	for i, hall := range []string{"a1", "a1", "a2", "b1"} {
		instances = append(instances, s.instance(fmt.Sprint("n", i), hall))
	}
	for _, in := range instances {
		in.awaitReady()
		require.Eventually(t, func() bool { return in.aliveCount() == "4" }, wait, poll)
		in.awaitStatus("/x/", 200)
	}
	return v, instances
}

// TestCrashingRequestIsHeld guards against a request that crashes one target after the other
// because no instance remembers the previous crashes.
func TestCrashingRequestIsHeld(t *testing.T) {
	v, instances := newCrashSite(t, "idempotent", isCrashing)
	for i := range 100 {
		instances[i%len(instances)].send("GET", crashPath, "")
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d targets crashed", v.crashCount())
	require.LessOrEqual(t, v.crashCount(), maxCrashes, "targets that crashed under one request")
	for _, in := range instances {
		in.awaitStatus("/x/", 200)
	}
}

// TestCrashingNonIdempotentRequestIsHeld is the same for a non-idempotent request. Each repetition
// by the caller causes one attempt with the same body.
func TestCrashingNonIdempotentRequestIsHeld(t *testing.T) {
	v, instances := newCrashSite(t, "non_idempotent", isCrashing)
	for i := range 60 {
		instances[i%len(instances)].send("POST", crashPath, "the same")
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d targets crashed", v.crashCount())
	require.LessOrEqual(t, v.crashCount(), maxCrashes, "targets that crashed under one request")
	for _, in := range instances {
		in.awaitStatus("/x/", 200)
	}
}

// load sends requests from several clients until it is stopped, and counts their results.
type load struct {
	mu      sync.Mutex
	done    chan struct{}
	wg      sync.WaitGroup
	answers map[string]int
}

// startLoad starts clients that read a path from the instances in turn.
func startLoad(instances []*instance, clients int, path func(n int) string) *load {
	return startLoadOf(instances, clients, func(in *instance, n int) reply { return in.send("GET", path(n), "") })
}

// startLoadOf starts clients that call send for the instances in turn. A client whose request fails
// repeats it once, at the next instance.
func startLoadOf(instances []*instance, clients int, send func(in *instance, n int) reply) *load {
	l := &load{done: make(chan struct{}), answers: make(map[string]int)}
	for c := range clients {
		l.wg.Go(func() {
			for n := c; ; n++ {
				select {
				case <-l.done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				got := send(instances[n%len(instances)], n)
				if got.status != http.StatusOK {
					got = send(instances[(n+1)%len(instances)], n)
				}
				l.mu.Lock()
				l.answers[fmt.Sprint(got.status)]++
				l.mu.Unlock()
			}
		})
	}
	return l
}

// count returns the number of completed requests.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, answers := range l.answers {
		n += answers
	}
	return n
}

// stop ends the load and returns the number of successful requests and of all requests.
func (l *load) stop() (served, all int) {
	close(l.done)
	l.wg.Wait()
	for status, n := range l.answers {
		all += n
		if status == "200" {
			served += n
		}
	}
	return served, all
}

// TestRequestsBesideCrashingRequest checks that other requests are served while a request crashes
// targets, including a frequent one that is in flight at many targets.
func TestRequestsBesideCrashingRequest(t *testing.T) {
	v, instances := newCrashSite(t, "idempotent", isCrashing)
	frequent := startLoad(instances, 4, func(int) string { return "/x/hot/" })
	others := startLoad(instances, 4, func(n int) string { return fmt.Sprint("/x/", n%50, "/") })
	for i := range 100 {
		instances[i%len(instances)].send("GET", crashPath, "")
		time.Sleep(20 * time.Millisecond)
	}
	require.LessOrEqual(t, v.crashCount(), maxCrashes)
	for name, l := range map[string]*load{"frequent": frequent, "others": others} {
		served, all := l.stop()
		t.Logf("%s: %d of %d served", name, served, all)
		require.Greater(t, served*100, all*98, name)
	}
}

// TestInnocentRequestIsServed crashes targets independently of requests while the same request is
// in flight at nearly all of them, and checks that this request is still served.
func TestInnocentRequestIsServed(t *testing.T) {
	v, instances := newCrashSite(t, "idempotent", func(*http.Request) bool { return false })
	frequent := startLoad(instances, 8, func(int) string { return "/x/hot/" })
	for range 20 {
		v.crashOne()
		v.crashOne()
		time.Sleep(100 * time.Millisecond)
	}
	served, all := frequent.stop()
	t.Logf("%d of %d served while %d targets crashed", served, all, v.crashCount())
	require.Greater(t, served*100, all*95)
	for _, in := range instances {
		in.awaitStatus("/x/hot/", 200)
	}
}

// crashOne crashes an arbitrary target.
func (v *restartingTargets) crashOne() {
	v.mu.Lock()
	var server *origin.Server
	for s := range v.live {
		server = s
		break
	}
	v.mu.Unlock()
	if server != nil {
		v.crash(server)
	}
}

// TestLostResponsesDoNotHoldRequest checks that a request is not held if its responses are lost but
// its targets do not crash.
func TestLostResponsesDoNotHoldRequest(t *testing.T) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: "non_idempotent"})
	var servers []*origin.Server
	for i := range 4 {
		server := s.server(fmt.Sprint("i-", i), "s", "a1")
		server.SetScript(func(*http.Request) origin.Fault { return origin.LostResponse })
		servers = append(servers, server)
	}
	in := s.instance("n1", "a1")
	in.awaitReady()
	for range 12 {
		require.NotEqual(t, 503, in.send("POST", "/x/", "the same").status)
		time.Sleep(20 * time.Millisecond)
	}
	for _, server := range servers {
		server.SetScript(nil)
	}
	require.Eventually(t, func() bool { return in.send("POST", "/x/", "the same").status == 200 }, wait, poll)
}

// TestOtherBodyIsAnotherRequest checks that a held request does not hold a request with another
// body.
func TestOtherBodyIsAnotherRequest(t *testing.T) {
	bad := func(r *http.Request) bool { return isCrashing(r) && r.ContentLength == int64(len("bad")) }
	v, instances := newCrashSite(t, "non_idempotent", bad)
	held := func() bool {
		got := instances[0].send("POST", crashPath, "bad")
		return got.status == 503 && got.header.Get("Retry-After") != ""
	}
	require.Eventually(t, held, wait, 20*time.Millisecond)
	for _, in := range instances {
		require.Equal(t, 200, in.send("POST", crashPath, "other").status)
	}
	require.LessOrEqual(t, v.crashCount(), maxCrashes)
}

// TestLateInstanceKnowsHeldRequest checks that an instance that starts later learns about a held
// request before it could send it.
func TestLateInstanceKnowsHeldRequest(t *testing.T) {
	v, instances := newCrashSite(t, "idempotent", isCrashing)
	for i := range 20 {
		instances[i%len(instances)].send("GET", crashPath, "")
	}
	before := v.crashCount()
	late := v.site.instance("n9", "b1", func(c *gateway.Config) { c.Seeds = []string{instances[0].config.PeerListen} })
	late.awaitReady()
	late.awaitStatus("/x/", 200)
	for range 5 {
		require.Equal(t, 503, late.send("GET", crashPath, "").status)
	}
	require.Equal(t, before, v.crashCount())
}
