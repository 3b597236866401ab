package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/origin"
)

// hedgeSite is an instance that knows how long requests to /x/ take, with the first and the second target of
// the key of its requests. The hedge delay is a quarter of the latency objective, 125 ms.
type hedgeSite struct {
	*site
	in            *instance
	first, second *origin.Server
}

// learned is the number of requests after which an instance hedges, and earns several hedges.
const learned = 100

func newHedgeSite(t *testing.T, routes ...route) *hedgeSite {
	s := &hedgeSite{site: newSite(t)}
	links, err := link.New()
	require.NoError(t, err)
	t.Cleanup(links.Close)
	s.targetLink = links
	if len(routes) == 0 {
		routes = []route{idempotentRoute}
	}
	s.configure(1, routes...)
	one, two := s.server("i-1", "s", "a1"), s.server("i-2", "s", "a2")
	s.in = s.instance("n1", "a1")
	s.in.awaitStatus(routes[0].prefix, 200)
	for range learned {
		require.Equal(t, 200, s.in.send("GET", routes[0].prefix, "").status)
	}
	s.first, s.second = one, two
	if len(two.Runs()) > len(one.Runs()) {
		s.first, s.second = two, one
	}
	return s
}

func (s *hedgeSite) always(server *origin.Server, fault origin.Fault) {
	server.SetScript(func(*http.Request) origin.Fault { return fault })
}

// runsOf returns how often a server has run the request with an ID.
func runsOf(server *origin.Server, id string) int {
	n := 0
	for _, run := range server.Runs() {
		if run.ID == id {
			n++
		}
	}
	return n
}

// TestSilentTargetIsHedged guards against requests that wait until their deadline for a target whose responses
// do not arrive, and for a response of which only a part does.
func TestSilentTargetIsHedged(t *testing.T) {
	for _, fault := range []origin.Fault{origin.Silent, origin.Stalled} {
		t.Run(fmt.Sprint("fault=", int(fault)), func(t *testing.T) {
			s := newHedgeSite(t)
			s.always(s.first, fault)
			r := s.in.send("POST", "/x/", "body")
			require.Equal(t, 200, r.status)
			require.Equal(t, "answer of "+s.second.ID+" to "+r.id, r.body)
			require.Equal(t, 1, runsOf(s.first, r.id))
			require.Equal(t, 1, runsOf(s.second, r.id))
			require.Eventually(t, func() bool { return s.first.Canceled() == 1 }, cancelTime, poll, "the other attempt is not cancelled at its target")
			require.Contains(t, s.in.scrape(), `rainford_hedges_total{otel_scope_name="rainford",otel_scope_schema_url="",otel_scope_version="",outcome="won",service="s"} 1`)
		})
	}
}

// TestUnreachableTargetIsHedged checks that requests are served while the links to their first target are cut,
// also if new connections to it hang, and that the target is not used any more: it is suspected, or its hall is
// lost, since it is the only target there.
func TestUnreachableTargetIsHedged(t *testing.T) {
	for _, mode := range link.Modes() {
		t.Run(mode.String(), func(t *testing.T) {
			s := newHedgeSite(t)
			s.targetLink.Cut(mode, func(addr string) bool { return addr == s.first.Addr() })
			s.first.ResetConnections()
			for range 3 {
				r := s.in.send("GET", "/x/", "")
				require.Equal(t, 200, r.status)
				require.Equal(t, "answer of "+s.second.ID+" to "+r.id, r.body)
			}
			require.Regexp(t, `state="(suspect|unreachable)"\} 1`, s.in.scrape())
		})
	}
}

// TestFirstResponseWins checks that the hedge is cancelled at its target if the first one responds.
func TestFirstResponseWins(t *testing.T) {
	s := newHedgeSite(t)
	s.first.SetServiceTime(300 * time.Millisecond)
	s.always(s.second, origin.Silent)
	r := s.in.send("GET", "/x/", "")
	require.Equal(t, "answer of "+s.first.ID+" to "+r.id, r.body)
	require.Equal(t, 1, runsOf(s.second, r.id))
	require.Eventually(t, func() bool { return s.second.Canceled() == 1 }, cancelTime, poll)
	require.Contains(t, s.in.scrape(), `outcome="lost",service="s"} 1`)
}

// TestFastRequestIsNotHedged checks that nothing is sent twice while targets respond as usual.
func TestFastRequestIsNotHedged(t *testing.T) {
	s := newHedgeSite(t)
	require.Empty(t, s.second.Runs())
	require.NotContains(t, s.in.scrape(), "rainford_hedges_total{")
}

// TestClientLeavesDuringHedge checks that both attempts are cancelled when the client disconnects.
func TestClientLeavesDuringHedge(t *testing.T) {
	s := newHedgeSite(t)
	s.always(s.first, origin.Silent)
	s.always(s.second, origin.Silent)
	ctx, cancel := context.WithCancel(context.Background())
	id := s.newID()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.in.sendAs(ctx, id, "GET", "/x/", "")
	}()
	require.Eventually(t, func() bool { return runsOf(s.second, id) == 1 }, wait, poll)
	cancel()
	<-done
	require.Eventually(t, func() bool { return s.first.Canceled() == 1 && s.second.Canceled() == 1 }, cancelTime, poll)
}

// TestAtMostOnceIsNotHedged guards against a second run of a request that may run at most once.
func TestAtMostOnceIsNotHedged(t *testing.T) {
	for _, kind := range []string{"non_idempotent", "upload"} {
		t.Run(kind, func(t *testing.T) {
			s := newHedgeSite(t, route{prefix: "/x/", service: "s", kind: kind, timeout: "600ms"})
			s.always(s.first, origin.Silent)
			r := s.in.send("POST", "/x/", "body")
			require.Equal(t, 504, r.status)
			require.Empty(t, s.second.Runs())
		})
	}
}

// TestFirstFailsDuringHedge checks that the response of the hedge is used if the first attempt fails while the
// hedge is under way, and that the request is not sent to either target again.
func TestFirstFailsDuringHedge(t *testing.T) {
	s := newHedgeSite(t)
	s.second.SetServiceTime(300 * time.Millisecond)
	s.always(s.first, origin.Silent)
	id := s.newID()
	got := make(chan reply, 1)
	go func() { got <- s.in.sendAs(context.Background(), id, "GET", "/x/", "") }()
	require.Eventually(t, func() bool { return runsOf(s.second, id) == 1 }, wait, poll)
	s.first.ResetConnections()
	r := <-got
	require.Equal(t, 200, r.status)
	require.Equal(t, "answer of "+s.second.ID+" to "+id, r.body)
	require.Equal(t, 1, runsOf(s.first, id))
	require.Equal(t, 1, runsOf(s.second, id))
}

// TestHedgeFails checks that the first attempt goes on if the hedge fails.
func TestHedgeFails(t *testing.T) {
	for _, fault := range []origin.Fault{origin.LostResponse, origin.Shed} {
		t.Run(fmt.Sprint("fault=", int(fault)), func(t *testing.T) {
			s := newHedgeSite(t)
			s.first.SetServiceTime(400 * time.Millisecond)
			s.always(s.second, fault)
			r := s.in.send("GET", "/x/", "")
			require.Equal(t, 200, r.status)
			require.Equal(t, "answer of "+s.first.ID+" to "+r.id, r.body)
			require.Equal(t, 1, runsOf(s.first, r.id))
			require.LessOrEqual(t, runsOf(s.second, r.id), 1)
		})
	}
}

// TestBothTargetsAreSilent checks that a request whose hedge hangs too ends at its deadline, after one run at
// each target, although the route allows more attempts than two.
func TestBothTargetsAreSilent(t *testing.T) {
	s := newHedgeSite(t, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: "700ms"})
	s.always(s.first, origin.Silent)
	s.always(s.second, origin.Silent)
	r := s.in.send("GET", "/x/", "")
	require.Equal(t, 504, r.status)
	require.Equal(t, 1, runsOf(s.first, r.id))
	require.Equal(t, 1, runsOf(s.second, r.id))
	require.Eventually(t, func() bool { return s.first.Canceled() == 1 && s.second.Canceled() == 1 }, wait, poll)
}

// TestHedgeBudget checks that requests are hedged only as far as the budget allows, and that the others wait.
func TestHedgeBudget(t *testing.T) {
	s := newHedgeSite(t)
	// Larger than the number of hedges that an instance can have saved.
	const requests = 12
	slow := func(server *origin.Server) { server.SetServiceTime(400 * time.Millisecond) }
	slow(s.first)
	var mu sync.Mutex
	answers := make(map[string]int)
	for i := range requests {
		// One at a time, so that the second target has free slots.
		r := s.in.sendWith(context.Background(), fmt.Sprint("b", i), "GET", "/x/", "", http.Header{"Affinity-Key": {"17"}})
		require.Equal(t, 200, r.status)
		mu.Lock()
		answers[strings.Fields(r.body)[2]]++
		mu.Unlock()
	}
	hedged := 0
	for i := range requests {
		hedged += runsOf(s.first, fmt.Sprint("b", i)) * runsOf(s.second, fmt.Sprint("b", i))
	}
	require.Positive(t, hedged)
	require.LessOrEqual(t, hedged, 4+requests/10)
}

// TestSilentTargetIsAvoided checks that a target is suspected after two requests in a row for which a hedge was
// answered, so that later requests are not delayed.
func TestSilentTargetIsAvoided(t *testing.T) {
	s := newHedgeSite(t)
	s.always(s.first, origin.Silent)
	for range 2 {
		require.Equal(t, 200, s.in.send("GET", "/x/", "").status)
	}
	before := len(s.first.Runs())
	began := time.Now()
	for range 5 {
		require.Equal(t, 200, s.in.send("GET", "/x/", "").status)
	}
	if time.Since(began) < 400*time.Millisecond {
		require.Len(t, s.first.Runs(), before, "a suspected target gets requests")
	}
	require.Contains(t, s.in.scrape(), `state="suspect"} 1`)
}

// TestNoHedgeIntoFullTarget checks that no hedge is sent to a target without a free slot.
func TestNoHedgeIntoFullTarget(t *testing.T) {
	s := newHedgeSite(t)
	// The load that targets report is that of the stand-in, one running request, so that the instance's own
	// requests fill the second target.
	s.second.SetServiceTime(2 * time.Second)
	s.first.SetServiceTime(2 * time.Second)
	var group sync.WaitGroup
	for i := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			s.in.sendWith(context.Background(), fmt.Sprint("f", i), "GET", "/x/", "", http.Header{"Affinity-Key": {"17"}})
		}()
	}
	group.Wait()
	for i := range 6 {
		require.LessOrEqual(t, runsOf(s.first, fmt.Sprint("f", i)), 1)
		require.LessOrEqual(t, runsOf(s.second, fmt.Sprint("f", i)), 1)
	}
	require.LessOrEqual(t, len(s.second.Runs()), s.second.Slots, "hedges exceed the slots")
}

// TestHedgesUnderFaults sends requests while the targets show faults at random. It checks that no request is sent
// to a target twice or to more targets than the route allows, that responses belong to their requests, and that
// each attempt is released once.
func TestHedgesUnderFaults(t *testing.T) {
	s := newHedgeSite(t, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: "900ms"})
	servers := []*origin.Server{s.first, s.second, s.server("i-3", "s", "a1"), s.server("i-4", "s", "a2")}
	// One in ten requests meets a fault, so that the retries leave a part of their budget to hedges.
	faults := [40]origin.Fault{origin.Silent, origin.Stalled, origin.Cut, origin.LostResponse}
	for i, server := range servers {
		var mu sync.Mutex
		rnd := rand.New(rand.NewPCG(1, uint64(i)))
		server.SetServiceTime(30 * time.Millisecond)
		server.SetScript(func(*http.Request) origin.Fault {
			mu.Lock()
			defer mu.Unlock()
			return faults[rnd.IntN(len(faults))]
		})
	}
	var group sync.WaitGroup
	replies := make(chan reply, 8*40)
	for i := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for j := range 40 {
				replies <- s.in.sendWith(context.Background(), s.newID(), "GET", "/x/", "", http.Header{"Affinity-Key": {fmt.Sprint(i * j % 11)}})
			}
		}()
	}
	group.Wait()
	close(replies)
	succeeded := 0
	for r := range replies {
		total := 0
		for _, server := range servers {
			n := runsOf(server, r.id)
			require.LessOrEqual(t, n, 1, "sent to a target twice")
			total += n
		}
		require.LessOrEqual(t, total, 2)
		if r.status == 200 {
			succeeded++
			require.True(t, strings.HasSuffix(r.body, " to "+r.id), r.body)
		}
	}
	t.Logf("succeeded %d", succeeded)
	require.Greater(t, succeeded, 100)
	for _, line := range strings.Split(s.in.scrape(), "\n") {
		if strings.HasPrefix(line, "rainford_hedges") {
			t.Log(line)
		}
	}
	require.Positive(t, s.in.counted("rainford_hedges_total", `outcome="won"`))
	for _, hall := range []string{"a1", "a2"} {
		require.Zero(t, s.in.counted("rainford_attempts_in_flight", `hall="`+hall+`"`), "an attempt was not released once")
	}
}
