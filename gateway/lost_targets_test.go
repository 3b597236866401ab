package gateway_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/origin"
)

const readPath, oncePath = "/x/", "/once/"

// contact is the time after the beginning of a cut from which clients are to be served as before.
const contact = 4 * time.Second

// cutSite is a site whose instances n1 and n2 of hall a1 and n3 of hall a2 have links to the targets
// that a test can cut.
type cutSite struct {
	*site
	servers   []*origin.Server
	instances map[string]*instance
	links     map[string]*link.Link
	logs      map[string]*lockedBuffer
	// joining makes a further instance join the others.
	joining func(*gateway.Config)
}

func newCutSite(t *testing.T) *cutSite {
	s := &cutSite{site: newSite(t), instances: make(map[string]*instance), links: make(map[string]*link.Link), logs: make(map[string]*lockedBuffer)}
	s.configure(1, idempotentRoute, route{prefix: oncePath, service: "s", kind: "non_idempotent"})
	for _, hall := range []string{"a1", "a2", "b1"} {
		for i := range 3 {
			server := s.server(fmt.Sprintf("i-%s-%d", hall, i), "s", hall)
			server.SetServiceTime(20 * time.Millisecond)
			s.servers = append(s.servers, server)
		}
	}
	var seeds []string
	for _, in := range []struct{ name, hall string }{{"n1", "a1"}, {"n2", "a1"}, {"n3", "a2"}} {
		l, err := link.New()
		require.NoError(t, err)
		t.Cleanup(l.Close)
		s.targetLink = l
		log := &lockedBuffer{}
		s.links[in.name], s.logs[in.name] = l, log
		s.instances[in.name] = s.instance(in.name, in.hall, func(c *gateway.Config) {
			c.Seeds = seeds
			c.Log = slog.New(slog.NewJSONHandler(log, nil))
		})
		seeds = append(seeds, s.instances[in.name].config.PeerListen)
	}
	s.targetLink = nil
	s.joining = func(c *gateway.Config) { c.Seeds = seeds }
	for _, in := range s.instances {
		in.awaitStatus(readPath, 200)
		require.Eventually(t, func() bool { return in.aliveCount() == "3" }, wait, poll)
	}
	// The heartbeats that say that an instance is ready arrive with the next rounds of gossip.
	time.Sleep(2 * fleet.RoundTime)
	return s
}

// TestLostTargetsAreLogged checks that an instance finds out, in each way in which its links can be cut,
// that it reaches no target, and that it reaches them again.
func TestLostTargetsAreLogged(t *testing.T) {
	for _, mode := range link.Modes() {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t)
			in := s.instances["n1"]
			for i := range 30 {
				in.sendKey(fmt.Sprint(i))
			}
			s.links["n1"].Cut(mode, link.All)
			began := time.Now()
			for i := 0; in.metric("rainford_targets_lost") != 1; i++ {
				require.Less(t, time.Since(began), contact, "the loss was not noticed")
				for range 10 {
					go in.sendKey(fmt.Sprint("key", i))
				}
				time.Sleep(50 * time.Millisecond)
			}
			require.Contains(t, s.logs["n1"].String(), `"msg":"targets lost"`)
			require.NotContains(t, s.logs["n2"].String(), `"msg":"targets lost"`)
			s.links["n1"].Restore()
			require.Eventually(t, func() bool { return in.metric("rainford_targets_lost") == 0 }, 2*time.Second, poll)
			require.Contains(t, s.logs["n1"].String(), `"msg":"targets regained"`)
		})
	}
}
