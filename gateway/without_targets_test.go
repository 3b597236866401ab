package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
)

// maxAnswerTime bounds the time in which clients are answered from contact after the beginning of a cut
// on. Without a cut it takes 20 ms.
const maxAnswerTime = time.Second

// tally counts the results of the requests of a load.
type tally struct {
	mu           sync.Mutex
	sent, served int
	// slow is the number of requests that took longer than maxCutAnswerTime.
	slow            int
	longest         time.Duration
	refused, broken []string
}

// load sends requests to an instance for a time, 100 a second, two fifths of them non-idempotent, and
// returns once all are answered.
func (in *instance) load(length time.Duration) *tally {
	c := &tally{}
	var wg sync.WaitGroup
	for began := time.Now(); time.Since(began) < length; time.Sleep(10 * time.Millisecond) {
		c.sent++
		method, path := "GET", readPath
		if c.sent%5 < 2 {
			method, path = "POST", oncePath
		}
		header := http.Header{"Affinity-Key": {fmt.Sprint(c.sent % 40)}}
		wg.Go(func() {
			began := time.Now()
			got := in.sendWith(in.site.t.Context(), in.site.newID(), method, path, "", header)
			c.add(got, time.Since(began))
		})
	}
	wg.Wait()
	return c
}

func (c *tally) add(got reply, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longest = max(c.longest, took)
	if took > maxCutAnswerTime {
		c.slow++
	}
	switch got.status {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable:
		c.refused = append(c.refused, got.id)
	default:
		c.broken = append(c.broken, got.id)
	}
}

// requireServed checks that all requests but one in 50 were served, each soon.
func requireServed(t *testing.T, c *tally, where string) {
	t.Helper()
	require.GreaterOrEqual(t, 50*c.served, 49*c.sent, "%s: %d of %d requests served, %d refused, longest answer %v", where, c.served, c.sent, len(c.refused), c.longest)
	require.Less(t, c.longest, maxAnswerTime, where)
}

// runs returns how often the servers ran each request.
func (s *cutSite) runs() map[string]int {
	out := make(map[string]int)
	for _, server := range s.servers {
		for _, r := range server.Runs() {
			out[r.ID]++
		}
	}
	return out
}

// TestClientsAreServedWithoutWayToTargets guards against clients that are refused at instances that have
// lost their links to all targets while other instances reach these.
func TestClientsAreServedWithoutWayToTargets(t *testing.T) {
	for _, cut := range [][]string{{"n1"}, {"n1", "n2"}} {
		for _, mode := range link.Modes() {
			t.Run(fmt.Sprint(len(cut), "-", mode), func(t *testing.T) {
				t.Parallel()
				s := newCutSite(t)
				s.loadAll(time.Second)
				for _, name := range cut {
					s.links[name].Cut(mode, link.All)
				}
				during := s.loadAll(contact)
				for name, c := range s.loadAll(1500 * time.Millisecond) {
					requireServed(t, c, name+" while the targets are lost")
				}
				for _, name := range cut {
					s.links[name].Restore()
				}
				after := s.loadAll(time.Second)
				for name, c := range s.loadAll(1500 * time.Millisecond) {
					requireServed(t, c, name+" after the targets are back")
				}
				s.requireTrueOutcomes(t, during, after)
			})
		}
	}
}

// loadAll sends requests to all instances for a time, and returns the results by instance.
func (s *cutSite) loadAll(length time.Duration) map[string]*tally {
	out := make(map[string]*tally)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, in := range s.instances {
		wg.Go(func() {
			c := in.load(length)
			mu.Lock()
			defer mu.Unlock()
			out[name] = c
		})
	}
	wg.Wait()
	return out
}

// requireTrueOutcomes checks that no refused request has run, and that no request has run twice but
// idempotent ones.
func (s *cutSite) requireTrueOutcomes(t *testing.T, results ...map[string]*tally) {
	runs := s.runs()
	for _, byInstance := range results {
		for name, c := range byInstance {
			for _, id := range c.refused {
				require.Zero(t, runs[id], "request %s was refused at %s and has run", id, name)
			}
		}
	}
	for _, server := range s.servers {
		for _, r := range server.Runs() {
			if r.URI == oncePath {
				require.Equal(t, 1, runs[r.ID], "request %s", r.ID)
			}
		}
	}
}

// TestPartialCut checks that clients of an instance that reaches some targets only are served: by these,
// or through another instance if their requests may not go there.
func TestPartialCut(t *testing.T) {
	for _, mode := range link.Modes() {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t)
			s.configure(2, idempotentRoute, route{prefix: oncePath, service: "s", kind: "non_idempotent"},
				route{prefix: "/home/", service: "s", kind: "idempotent", homes: []string{"a"}})
			in := s.instances["n1"]
			in.awaitStatus("/home/", 200)
			s.loadAll(500 * time.Millisecond)
			cut := make(map[string]bool)
			for _, server := range s.servers {
				cut[server.Addr()] = server.Zone != "b1"
			}
			s.links["n1"].Cut(mode, func(addr string) bool { return cut[addr] })
			during := s.loadAll(contact)
			requireServed(t, in.load(1500*time.Millisecond), "n1 while it reaches one region")
			served := 0
			for range 50 {
				if in.send("GET", "/home/", "").status == 200 {
					served++
				}
			}
			require.GreaterOrEqual(t, served, 49, "requests with a home region that the instance does not reach")
			require.Zero(t, in.metric("rainford_targets_lost"))
			s.links["n1"].Restore()
			s.loadAll(time.Second)
			requireServed(t, in.load(time.Second), "n1 after the cut")
			s.requireTrueOutcomes(t, during)
		})
	}
}
