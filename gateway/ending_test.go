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
	// revivedAfter is how long after its end a target starts again.
	revivedAfter = 300 * time.Millisecond
	// endingPath is the path of requests that end each target that runs them.
	endingPath = "/x/ending/"
	// mostEnds is the largest number of targets that may end under one request.
	mostEnds = 6
)

// reviving are the targets of a service. Each that ends starts again after a while, with a
// new ID and at a new address.
type reviving struct {
	site *site
	// ends tells whether a request ends a target that runs it.
	ends func(*http.Request) bool
	// after is how long after its end a target starts again.
	after time.Duration

	mu    sync.Mutex
	next  int
	live  map[*origin.Server]bool
	ended int
}

func newReviving(s *site, count int, ends func(*http.Request) bool) *reviving {
	v := &reviving{site: s, ends: ends, after: revivedAfter, live: make(map[*origin.Server]bool)}
	for i := range count {
		v.start([]string{"a1", "a2", "b1"}[i%3])
	}
	s.t.Cleanup(v.close)
	return v
}

func (v *reviving) start(hall string) {
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
	server.SetWork(20 * time.Millisecond)
	server.SetScript(func(r *http.Request) origin.Fault {
		if !v.ends(r) {
			return origin.None
		}
		v.noteEnd(server)
		return origin.End
	})
	v.live[server] = true
	v.site.record(server, "ready")
}

// noteEnd counts a server that ends and has another one take its place.
func (v *reviving) noteEnd(server *origin.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.live[server] {
		return
	}
	delete(v.live, server)
	v.ended++
	time.AfterFunc(v.after, func() {
		v.site.store.Remove(objects.KindServers, server.ID)
		v.start(server.Zone)
	})
}

// end ends a server for a reason of its own.
func (v *reviving) end(server *origin.Server) {
	v.noteEnd(server)
	server.Close()
}

func (v *reviving) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for server := range v.live {
		server.Close()
	}
	v.live = nil
}

func (v *reviving) endedSoFar() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// isEnding tells whether a request is one that ends targets.
func isEnding(r *http.Request) bool { return strings.HasPrefix(r.RequestURI, endingPath) }

// endingSite is four instances in three halls before twelve targets that start anew.
func endingSite(t *testing.T, kind string, ends func(*http.Request) bool) (*reviving, []*instance) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: kind})
	v := newReviving(s, 12, ends)
	var instances []*instance
	for i, hall := range []string{"a1", "a1", "a2", "b1"} {
		instances = append(instances, s.instance(fmt.Sprint("n", i), hall))
	}
	for _, in := range instances {
		in.awaitReady()
		require.Eventually(t, func() bool { return in.alive() == "4" }, wait, poll)
		in.awaitStatus("/x/", 200)
	}
	return v, instances
}

// TestEndingRequestIsHeld guards against a request that ends target after target as nobody remembers it.
func TestEndingRequestIsHeld(t *testing.T) {
	v, instances := endingSite(t, "idempotent", isEnding)
	for i := range 100 {
		instances[i%len(instances)].send("GET", endingPath, "")
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d targets ended", v.endedSoFar())
	require.LessOrEqual(t, v.endedSoFar(), mostEnds, "targets that ended under one request")
	for _, in := range instances {
		in.awaitStatus("/x/", 200)
	}
}

// TestEndingOperationIsHeld does the same with an operation that may run once: one attempt
// for each of the caller's, with the same body.
func TestEndingOperationIsHeld(t *testing.T) {
	v, instances := endingSite(t, "non_idempotent", isEnding)
	for i := range 60 {
		instances[i%len(instances)].send("POST", endingPath, "the same")
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d targets ended", v.endedSoFar())
	require.LessOrEqual(t, v.endedSoFar(), mostEnds, "targets that ended under one request")
	for _, in := range instances {
		in.awaitStatus("/x/", 200)
	}
}

// load sends requests from several clients until it is ended, and counts what became of them.
type load struct {
	mu      sync.Mutex
	done    chan struct{}
	wg      sync.WaitGroup
	answers map[string]int
}

// startLoad has clients send reads of a path to the instances in turn.
func startLoad(instances []*instance, clients int, path func(n int) string) *load {
	return startLoadOf(instances, clients, func(in *instance, n int) reply { return in.send("GET", path(n), "") })
}

// startLoadOf has clients send what send does to the instances in turn. A client whose request
// was not served tries once more, at the next instance.
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

// count returns the number of reads that are over.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, answers := range l.answers {
		n += answers
	}
	return n
}

// stop ends the load and returns the number of reads that were served and of all.
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

// TestBesideEndingRequest checks that reads beside a request that ends targets are served, a
// hot one that runs at many targets too.
func TestBesideEndingRequest(t *testing.T) {
	v, instances := endingSite(t, "idempotent", isEnding)
	hot := startLoad(instances, 4, func(int) string { return "/x/hot/" })
	rest := startLoad(instances, 4, func(n int) string { return fmt.Sprint("/x/", n%50, "/") })
	for i := range 100 {
		instances[i%len(instances)].send("GET", endingPath, "")
		time.Sleep(20 * time.Millisecond)
	}
	require.LessOrEqual(t, v.endedSoFar(), mostEnds)
	for name, l := range map[string]*load{"hot": hot, "rest": rest} {
		served, all := l.stop()
		t.Logf("%s: %d of %d served", name, served, all)
		require.Greater(t, served*100, all*98, name)
	}
}

// TestInnocentIsServed ends targets for reasons of their own while one read is at all of them
// most of the time, and checks that it is served all the same.
func TestInnocentIsServed(t *testing.T) {
	v, instances := endingSite(t, "idempotent", func(*http.Request) bool { return false })
	hot := startLoad(instances, 8, func(int) string { return "/x/hot/" })
	for range 20 {
		v.endOne()
		v.endOne()
		time.Sleep(100 * time.Millisecond)
	}
	served, all := hot.stop()
	t.Logf("%d of %d served while %d targets ended", served, all, v.endedSoFar())
	require.Greater(t, served*100, all*95)
	for _, in := range instances {
		in.awaitStatus("/x/hot/", 200)
	}
}

// endOne ends some target.
func (v *reviving) endOne() {
	v.mu.Lock()
	var server *origin.Server
	for s := range v.live {
		server = s
		break
	}
	v.mu.Unlock()
	if server != nil {
		v.end(server)
	}
}

// TestLostAnswersHoldNothing checks that a request whose answers are lost, by targets that
// live on, is not held back.
func TestLostAnswersHoldNothing(t *testing.T) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: "non_idempotent"})
	var servers []*origin.Server
	for i := range 4 {
		server := s.server(fmt.Sprint("i-", i), "s", "a1")
		server.SetScript(func(*http.Request) origin.Fault { return origin.Lost })
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

// TestOtherBodyIsAnotherRequest checks that an operation under which targets end holds back
// none with another body.
func TestOtherBodyIsAnotherRequest(t *testing.T) {
	bad := func(r *http.Request) bool { return isEnding(r) && r.ContentLength == int64(len("bad")) }
	v, instances := endingSite(t, "non_idempotent", bad)
	held := func() bool {
		got := instances[0].send("POST", endingPath, "bad")
		return got.status == 503 && got.header.Get("Retry-After") != ""
	}
	require.Eventually(t, held, wait, 20*time.Millisecond)
	for _, in := range instances {
		require.Equal(t, 200, in.send("POST", endingPath, "other").status)
	}
	require.LessOrEqual(t, v.endedSoFar(), mostEnds)
}

// TestLateInstanceKnows checks that an instance that starts later knows of a request that is
// held back before it could send it.
func TestLateInstanceKnows(t *testing.T) {
	v, instances := endingSite(t, "idempotent", isEnding)
	for i := range 20 {
		instances[i%len(instances)].send("GET", endingPath, "")
	}
	before := v.endedSoFar()
	late := v.site.instance("n9", "b1", func(c *gateway.Config) { c.Seeds = []string{instances[0].config.PeerListen} })
	late.awaitReady()
	late.awaitStatus("/x/", 200)
	for range 5 {
		require.Equal(t, 503, late.send("GET", endingPath, "").status)
	}
	require.Equal(t, before, v.endedSoFar())
}
