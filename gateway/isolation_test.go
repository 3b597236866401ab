package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/platform"
)

// cutStore is a client of the store whose calls get no response while it is cut.
type cutStore struct {
	gateway.Store
	cut atomic.Bool
}

var errStoreCut = errors.New("store is cut off")

// await waits until a call to a store that is cut off gives up.
func (s *cutStore) await(ctx context.Context) error {
	if !s.cut.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(2 * time.Second):
		return errStoreCut
	}
}

func (s *cutStore) Probe(ctx context.Context) error {
	return errors.Join(s.await(ctx), s.Store.Probe(ctx))
}

func (s *cutStore) List(ctx context.Context, kind feed.Kind) (feed.Delta, error) {
	if err := s.await(ctx); err != nil {
		return feed.Delta{}, err
	}
	return s.Store.List(ctx, kind)
}

func (s *cutStore) Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Delta, error) {
	if err := s.await(ctx); err != nil {
		return feed.Delta{}, err
	}
	delta, err := s.Store.Watch(ctx, kind, after, wait)
	return delta, errors.Join(err, s.await(ctx))
}

// hallSite is a site of two instances in hall a1, one in a2 and one in b1, all of whose links can be cut.
type hallSite struct {
	*cutSite
	stores map[string]*cutStore
	// peers holds the links to other instances.
	peers map[string]*link.Link
}

func newHallSite(t *testing.T) *hallSite {
	s := &hallSite{cutSite: &cutSite{site: newSite(t), instances: make(map[string]*instance), links: make(map[string]*link.Link), logs: make(map[string]*lockedBuffer)},
		stores: make(map[string]*cutStore), peers: make(map[string]*link.Link)}
	s.configure(1, idempotentRoute, route{prefix: oncePath, service: "s", kind: "non_idempotent"},
		route{prefix: "/home/", service: "s", kind: "idempotent", homes: []string{"b"}})
	for hall, n := range map[string]int{"a1": 3, "a2": 6, "b1": 6} {
		for i := range n {
			server := s.server(fmt.Sprintf("i-%s-%d", hall, i), "s", hall)
			server.SetServiceTime(20 * time.Millisecond)
			s.servers = append(s.servers, server)
		}
	}
	var seeds []string
	for _, in := range []struct{ name, hall string }{{"n1", "a1"}, {"n2", "a1"}, {"n3", "a2"}, {"n4", "b1"}} {
		targets, err := link.New()
		require.NoError(t, err)
		peers, err := link.New()
		require.NoError(t, err)
		t.Cleanup(targets.Close)
		t.Cleanup(peers.Close)
		s.targetLink = targets
		log, store := &lockedBuffer{}, &cutStore{Store: platform.NewStore(s.addr)}
		s.links[in.name], s.peers[in.name], s.logs[in.name], s.stores[in.name] = targets, peers, log, store
		s.instances[in.name] = s.instanceOf(store, in.name, in.hall, func(c *gateway.Config) {
			c.Seeds, c.PeerDialer = seeds, peers.Dial
			c.Log = slog.New(slog.NewJSONHandler(log, nil))
		})
		seeds = append(seeds, s.instances[in.name].config.PeerListen)
	}
	s.targetLink = nil
	for _, in := range s.instances {
		in.awaitStatus(readPath, 200)
		in.awaitStatus("/home/", 200)
		require.Eventually(t, func() bool { return in.aliveCount() == "4" }, wait, poll)
	}
	time.Sleep(2 * fleet.RoundTime)
	return s
}

// cutOff cuts the named instances and halls off from the other instances and halls, in both directions. With
// store, they are cut off from the store too.
func (s *hallSite) cutOff(names, halls []string, store bool) {
	inside := make(map[string]bool)
	for _, name := range names {
		inside[s.instances[name].config.PeerListen] = true
		s.stores[name].cut.Store(store)
	}
	servers := s.hallIs(halls...)
	within := func(addr string) bool { return inside[addr] || servers(addr) }
	for name, in := range s.instances {
		cut := within
		if inside[in.config.PeerListen] {
			cut = func(addr string) bool { return !within(addr) }
		}
		s.links[name].Cut(link.Silent, cut)
		s.peers[name].Cut(link.Silent, cut)
	}
}

func (s *hallSite) restore() {
	for name := range s.instances {
		s.stores[name].cut.Store(false)
		s.links[name].Restore()
		s.peers[name].Restore()
	}
}

func (s *hallSite) isolated() string {
	out := ""
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		if s.instances[name].metric("rainford_isolated") == 1 {
			out += name + " "
		}
	}
	return out
}

// TestHallCutOffFromEverything guards against clients that wait until their deadline at a hall whose instances
// and targets are cut off from everything else, while clients reach it. Its instances serve with the targets
// that they reach, refuse at once what these can't run, and know that they are isolated.
func TestHallCutOffFromEverything(t *testing.T) {
	t.Parallel()
	s := newHallSite(t)
	s.warmUp()
	s.cutOff([]string{"n1", "n2"}, []string{"a1"}, true)
	began := time.Now()
	first := s.loadAll(2500 * time.Millisecond)
	for name, c := range first {
		// What was sent into the cut and may run once ends as unknown when its connection breaks.
		require.GreaterOrEqual(t, 10*c.served, 9*c.sent, "%s: %d of %d requests served around the cut, %d refused", name, c.served, c.sent, len(c.refused))
		require.Less(t, c.longest, link.UnackedTimeout+500*time.Millisecond, name)
	}
	for name, c := range s.loadAll(2 * time.Second) {
		requireAtOnce(t, c, name)
	}
	require.Equal(t, "n1 n2 ", s.isolated(), "after %v", time.Since(began))
	in := s.instances["n1"]
	for range 20 {
		began := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, in.send("GET", "/home/", "").status)
		require.Less(t, time.Since(began), maxAnswerTime)
	}
	require.True(t, in.ready())
	s.restore()
	require.Eventually(t, func() bool { return s.isolated() == "" && in.lostHalls() == "" }, 3*time.Second, poll)
	for name, c := range s.loadAll(time.Second) {
		requireServed(t, c, name+" after the cut")
	}
	s.requireTrueOutcomes(t, first)
}

// TestHalvesAreNotIsolated checks that no instance takes itself for isolated if the fleet is cut in halves, if
// only the store is unavailable, or if all other halls have lost power while the store responds.
func TestHalvesAreNotIsolated(t *testing.T) {
	for _, c := range []struct {
		name  string
		cut   func(*hallSite)
		check string
	}{
		{"halves", func(s *hallSite) { s.cutOff([]string{"n1", "n2", "n3"}, []string{"a1", "a2"}, true) }, "n1"},
		{"store", func(s *hallSite) {
			for _, store := range s.stores {
				store.cut.Store(true)
			}
		}, "n1"},
		{"power", func(s *hallSite) {
			for _, name := range []string{"n3", "n4"} {
				s.instances[name].stop()
			}
			s.cutOff([]string{"n1", "n2"}, []string{"a1"}, false)
		}, "n1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newHallSite(t)
			s.warmUp()
			c.cut(s)
			var wg sync.WaitGroup
			for _, name := range []string{"n1", "n2"} {
				wg.Go(func() { s.instances[name].load(4 * time.Second) })
			}
			wg.Wait()
			for _, name := range []string{"n1", "n2"} {
				require.Zero(t, s.instances[name].metric("rainford_isolated"), name)
				require.NotContains(t, s.logs[name].String(), `"msg":"isolated"`, name)
				require.True(t, s.instances[name].ready(), name)
			}
		})
	}
}
