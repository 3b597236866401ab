package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// noticeTime is the time in which the loss of a hall is noticed under load: requests have to fail or
	// stall first, and a check by response follows one by connection. endTime is the time in which its end
	// is noticed, and droppedEndTime that if only responses show it.
	noticeTime     = 2 * time.Second
	endTime        = time.Second
	droppedEndTime = 3 * time.Second
	// maxCutAnswerTime bounds the time in which requests are answered that need not wait for a hall that is
	// lost. The process of a test may get no processor for longer, so that one in 50 may exceed it; those
	// for a lost hall are a third of all.
	maxCutAnswerTime = 400 * time.Millisecond
)

// lostHalls returns the halls that an instance says it has lost.
func (in *instance) lostHalls() string {
	var lost []string
	for _, hall := range []string{"a1", "a2", "b1"} {
		if in.counted("rainford_halls_lost", fmt.Sprintf("hall=%q", hall)) == 1 {
			lost = append(lost, hall)
		}
	}
	return strings.Join(lost, " ")
}

// hallIs returns a predicate of the addresses of the servers in some halls.
func (s *cutSite) hallIs(halls ...string) func(addr string) bool {
	in := make(map[string]bool)
	for _, server := range s.servers {
		for _, hall := range halls {
			if server.Zone == hall {
				in[server.Addr()] = true
			}
		}
	}
	return func(addr string) bool { return in[addr] }
}

// warmUp sends requests until connections to all servers are open.
func (s *cutSite) warmUp() { s.loadAll(time.Second) }

// loadUntil sends requests for a path, and for readPath, to an instance until the condition holds. More of
// them at a time than there are open connections need new ones.
func (in *instance) loadUntil(t *testing.T, limit time.Duration, path string, condition func() bool) {
	t.Helper()
	began := time.Now()
	var sent sync.WaitGroup
	defer sent.Wait()
	for !condition() {
		require.Less(t, time.Since(began), limit, "lost halls: %q", in.lostHalls())
		for i := range 40 {
			to := path
			if i%4 == 0 {
				to = readPath
			}
			sent.Go(func() {
				in.sendWith(t.Context(), in.site.newID(), "GET", to, "", http.Header{"Affinity-Key": {fmt.Sprint(i)}})
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requireAtOnce checks that all requests but one in 50 were served, and as many of them without a wait.
func requireAtOnce(t *testing.T, c *tally, where string) {
	t.Helper()
	requireServed(t, c, where)
	require.GreaterOrEqual(t, c.sent, 50*c.slow, "%s: %d of %d requests took longer than %v", where, c.slow, c.sent, maxCutAnswerTime)
}

// TestOneHallCutOff guards against requests that wait for each target of a hall that an instance does not
// reach. In each mode the hall is found to be lost as a whole, its requests are run elsewhere without waiting,
// and they return after the end.
func TestOneHallCutOff(t *testing.T) {
	for _, mode := range link.AllModes() {
		for _, hall := range []string{"a2", "b1"} {
			t.Run(mode.String()+"-"+hall, func(t *testing.T) {
				t.Parallel()
				s := newCutSite(t)
				in, path := s.instances["n1"], readPath
				if hall == "b1" {
					// Requests from region a go to region b only if they have to.
					path = "/home/"
					s.configure(2, idempotentRoute, route{prefix: oncePath, service: "s", kind: "non_idempotent"},
						route{prefix: path, service: "s", kind: "idempotent", homes: []string{"b"}})
					in.awaitStatus(path, 200)
				}
				s.warmUp()
				s.links["n1"].Cut(mode, s.hallIs(hall))
				in.loadUntil(t, noticeTime, path, func() bool { return in.lostHalls() == hall })
				requireAtOnce(t, in.load(2*time.Second), "while a hall is lost")
				require.Equal(t, hall, in.lostHalls(), "only this hall is lost")
				require.Zero(t, in.metric("rainford_targets_lost"))
				require.LessOrEqual(t, in.counted("rainford_target_reports_total", `content="down",direction="sent"`), 0)
				require.Contains(t, s.logs["n1"].String(), `"msg":"hall lost"`)
				require.NotContains(t, s.logs["n2"].String(), `"msg":"hall lost"`)
				s.links["n1"].Restore()
				limit := endTime
				if mode == link.AcceptAndDrop {
					limit = droppedEndTime
				}
				require.Eventually(t, func() bool { return in.lostHalls() == "" }, limit+100*time.Millisecond, poll)
				require.Contains(t, s.logs["n1"].String(), `"msg":"hall regained"`)
				before := len(s.runsIn(hall))
				requireAtOnce(t, in.load(time.Second), "after the hall is back")
				require.Equal(t, http.StatusOK, in.send("GET", path, "").status)
				require.Greater(t, len(s.runsIn(hall)), before, "requests return to the hall")
			})
		}
	}
}

// TestConnectionsOpenedToLostHallAreNotUsed guards against requests that wait for a time-out once a hall is back: they
// were sent on idle connections that something else had accepted while the hall was lost.
func TestConnectionsOpenedToLostHallAreNotUsed(t *testing.T) {
	const hall = "a2"
	s := newCutSite(t)
	in := s.instances["n1"]
	s.warmUp()
	s.links["n1"].Cut(link.AcceptAndDrop, s.hallIs(hall))
	in.loadUntil(t, noticeTime, readPath, func() bool { return in.lostHalls() == hall })
	time.Sleep(time.Second)
	in.handler.(*gateway.Gateway).Preconnect(hall)
	s.links["n1"].Restore()
	require.Eventually(t, func() bool { return in.lostHalls() == "" }, droppedEndTime+100*time.Millisecond, poll)
	before := len(s.runsIn(hall))
	requireAtOnce(t, in.load(time.Second), "after the hall is back")
	require.Greater(t, len(s.runsIn(hall)), before, "requests return to the hall")
}

// runsIn returns the runs of the servers in a hall.
func (s *cutSite) runsIn(hall string) []origin.Run {
	var out []origin.Run
	for _, server := range s.servers {
		if server.Zone == hall {
			out = append(out, server.Runs()...)
		}
	}
	return out
}

// TestRequestsSentIntoCut guards against requests that wait until the client's deadline because they were
// sent before the loss of the hall was noticed. They wait 1 s and 2 s otherwise.
func TestRequestsSentIntoCut(t *testing.T) {
	for _, mode := range []link.Mode{link.Silent, link.OneWay, link.AcceptAndDrop} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t)
			s.warmUp()
			in := s.instances["n1"]
			s.links["n1"].Cut(mode, s.hallIs("a2"))
			var longest time.Duration
			served, sent := 0, 0
			var mu sync.Mutex
			var wg sync.WaitGroup
			for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
				sent++
				key := fmt.Sprint(sent % 40)
				wg.Go(func() {
					began := time.Now()
					got := in.sendWith(t.Context(), in.site.newID(), "GET", readPath, "", http.Header{"Affinity-Key": {key}})
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, time.Since(began))
					if got.status == http.StatusOK {
						served++
					}
				})
			}
			wg.Wait()
			require.GreaterOrEqual(t, 20*served, 19*sent, "%d of %d served", served, sent)
			require.Less(t, longest, 1700*time.Millisecond)
		})
	}
}

// TestHomeRegionOfLostHalls checks that requests that may run only in lost halls are handed over to an
// instance that has lost none, and are refused at once if there is no such instance.
func TestHomeRegionOfLostHalls(t *testing.T) {
	t.Parallel()
	s := newCutSite(t)
	s.configure(2, idempotentRoute, route{prefix: "/home/", service: "s", kind: "idempotent", homes: []string{"a"}})
	in := s.instances["n1"]
	in.awaitStatus("/home/", 200)
	s.warmUp()
	s.links["n1"].Cut(link.Silent, s.hallIs("a1", "a2"))
	in.loadUntil(t, noticeTime, readPath, func() bool { return in.lostHalls() == "a1 a2" })
	for range 20 {
		require.Equal(t, http.StatusOK, in.send("GET", "/home/", "").status)
	}
	for _, name := range []string{"n2", "n3"} {
		other := s.instances[name]
		s.links[name].Cut(link.Silent, s.hallIs("a1", "a2"))
		other.loadUntil(t, noticeTime, readPath, func() bool { return other.lostHalls() == "a1 a2" })
	}
	// The flags of the others arrive with their next rounds of gossip.
	time.Sleep(1500 * time.Millisecond)
	handedOver := s.instances["n2"].handedOver() + s.instances["n3"].handedOver()
	for range 20 {
		began := time.Now()
		got := in.send("GET", "/home/", "")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, time.Since(began), maxCutAnswerTime, "nothing waits")
	}
	require.Equal(t, handedOver, s.instances["n2"].handedOver()+s.instances["n3"].handedOver(), "the halls are probably down")
	require.Positive(t, in.counted("rainford_refusals_total", `reason="halls-lost"`))
}

// TestFullTargetsAreReplacedByHelpers guards against requests that are refused because the few targets that an
// instance reaches are full, while another instance reaches all halls.
func TestFullTargetsAreReplacedByHelpers(t *testing.T) {
	t.Parallel()
	s := newCutSite(t)
	s.warmUp()
	in := s.instances["n1"]
	s.links["n1"].Cut(link.Silent, s.hallIs("a2", "b1"))
	in.loadUntil(t, noticeTime, readPath, func() bool { return strings.Contains(in.lostHalls(), "a2") })
	before := s.instances["n2"].handedOver() + s.instances["n3"].handedOver()
	for _, server := range s.servers {
		server.SetServiceTime(200 * time.Millisecond)
	}
	var served atomic.Int64
	var wg sync.WaitGroup
	// Three targets run nine requests at a time and take 23 at most.
	for i := range 40 {
		wg.Go(func() {
			got := in.sendWith(t.Context(), in.site.newID(), "GET", readPath, "", http.Header{"Affinity-Key": {fmt.Sprint("many", i)}})
			if got.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	require.GreaterOrEqual(t, served.Load(), int64(38))
	require.Greater(t, s.instances["n2"].handedOver()+s.instances["n3"].handedOver(), before)
}

// TestFewTargetsDownAreNoLostHall guards against a hall that is taken for lost because two of its targets are
// down.
func TestFewTargetsDownAreNoLostHall(t *testing.T) {
	t.Parallel()
	s := newCutSite(t)
	s.warmUp()
	for _, server := range s.servers[3:5] {
		require.Equal(t, "a2", server.Zone)
		server.Close()
	}
	s.loadAll(3 * time.Second)
	for name, in := range s.instances {
		require.Empty(t, in.lostHalls(), name)
		require.NotContains(t, s.logs[name].String(), `"msg":"hall lost"`, name)
	}
}

// TestLostHallIsDown checks that a hall whose targets are all down is lost at all instances, which then serve
// its requests with the other halls.
func TestLostHallIsDown(t *testing.T) {
	t.Parallel()
	s := newCutSite(t)
	s.warmUp()
	for _, server := range s.servers[3:6] {
		server.Close()
	}
	s.loadAll(noticeTime)
	for name, c := range s.loadAll(time.Second) {
		requireAtOnce(t, c, name)
		require.Equal(t, "a2", s.instances[name].lostHalls(), name)
	}
}

// TestLinksToHallAreNotTakenForCrashes guards against requests that are held everywhere, and targets that other
// instances don't use, because one instance lost its links to a hall while requests were at its targets.
func TestLinksToHallAreNotTakenForCrashes(t *testing.T) {
	t.Parallel()
	s := newCutSite(t)
	s.warmUp()
	for _, server := range s.servers {
		server.SetServiceTime(200 * time.Millisecond)
	}
	in := s.instances["n1"]
	for range 3 {
		for i := range 24 {
			go in.sendKey(fmt.Sprint(i % 12))
		}
		time.Sleep(100 * time.Millisecond)
		s.links["n1"].Cut(link.Reset, s.hallIs("a2"))
		in.loadUntil(t, noticeTime, readPath, func() bool { return in.lostHalls() == "a2" })
		time.Sleep(400 * time.Millisecond)
		s.links["n1"].Restore()
		in.loadUntil(t, noticeTime, readPath, func() bool { return in.lostHalls() == "" })
	}
	for name, in := range s.instances {
		require.LessOrEqual(t, in.metric("rainford_target_ends_total"), 0, name)
		require.Zero(t, in.metric("rainford_requests_held"), name)
	}
	require.LessOrEqual(t, in.counted("rainford_target_reports_total", `content="down",direction="sent"`), 0)
}

// TestNoHealthPath guards against a health request to a target of a service without a health path, which the
// target might run.
func TestNoHealthPath(t *testing.T) {
	s := newSite(t)
	s.store.Configure(objects.Configuration{
		Version: objects.FormatVersion(1), Routes: map[string]objects.Route{"r": {Host: "h.example", PathPrefix: "/x/", RouteType: "idempotent",
			Timeout: "2s", TargetLatency: "500ms", Service: "s", MaxAttempts: 2, AllowedRegions: []string{}}},
		Services: map[string]objects.Service{"s": {Warmup: "3s", WarmupPerS: 11}}, Limits: objects.Limits{MaxBodyBytes: 1 << 20},
	})
	var servers []*origin.Server
	for i := range 6 {
		servers = append(servers, s.server(fmt.Sprint("i-", i), "s", []string{"a1", "a2"}[i%2]))
	}
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	for i := 1; i < 6; i += 2 {
		servers[i].SetScript(func(*http.Request) origin.Fault { return origin.Silent })
	}
	var sent sync.WaitGroup
	for i := range 60 {
		sent.Go(func() { in.sendKey(fmt.Sprint(i)) })
		time.Sleep(20 * time.Millisecond)
	}
	sent.Wait()
	for _, server := range servers {
		for _, r := range server.Runs() {
			require.NotEmpty(t, r.ID, "%s %s", r.Method, r.URI)
		}
	}
}
