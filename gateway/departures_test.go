package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// announceLeaving has a target say in each answer that it leaves.
func announceLeaving(server *origin.Server) {
	server.SetSays(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
}

// TestAnnouncedDepartureOutlivesOlderEntries checks that a target that has said that it leaves is not sent
// to again, whatever entries that say that it serves come after its word, and that its next
// start under the same ID is.
func TestAnnouncedDepartureOutlivesOlderEntries(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	first := s.startIncarnation("i-1", 1000)
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	announceLeaving(first)
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	served := len(first.Runs())
	refused := func() {
		t.Helper()
		require.Equal(t, 503, in.send("GET", "/x/", "").status)
	}
	refused()
	// Another version of its software makes the entry differ.
	in.awaitTargets(s.store.Record("i-1", objects.Server{Service: "s", Address: first.Addr(), Zone: "a1", Slots: 5,
		State: objects.Ready, WarmupRemaining: "0ms", Sequence: 2, Born: 1000, Version: "v2"}))
	refused()
	s.store.Remove(objects.KindServers, "i-1")
	in.awaitTargets(s.recordIncarnation(first, objects.Ready, 1000))
	refused()
	require.Len(t, first.Runs(), served)
	second := s.startIncarnation("i-1", 2000)
	in.awaitStatus("/x/", 200)
	require.NotZero(t, len(second.Runs()))
}

// TestDepartureIsGossiped checks that an instance that never heard a target say that it leaves
// does not send there a second after another one heard it, and neither does one that starts
// later.
func TestDepartureIsGossiped(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	leaver := s.server("i-1", "s", "a1")
	first, second := s.instance("n1", "a1"), s.instance("n2", "b1")
	for _, in := range []*instance{first, second} {
		in.awaitReady()
		require.Eventually(t, func() bool { return in.aliveCount() == "2" }, wait, poll)
		in.awaitStatus("/x/", 200)
	}
	announceLeaving(leaver)
	require.Equal(t, 200, first.send("GET", "/x/", "").status)
	served := len(leaver.Runs())
	time.Sleep(propagationTime)
	require.Equal(t, 503, second.send("GET", "/x/", "").status)
	late := s.instance("n3", "a2", func(c *gateway.Config) { c.Seeds = []string{first.config.PeerListen} })
	late.awaitReady()
	require.Eventually(t, func() bool { return late.aliveCount() == "3" }, wait, poll)
	time.Sleep(propagationTime)
	require.Equal(t, 503, late.send("GET", "/x/", "").status)
	require.Len(t, leaver.Runs(), served)
}

// TestPlannedStopIsNoCrash checks that a request that a target breaks off with its planned end,
// of which its own word alone has told, is not taken for one that ends targets. The end of one
// that has said nothing is.
func TestPlannedStopIsNoCrash(t *testing.T) {
	for _, announced := range []bool{true, false} {
		s := newSite(t)
		s.configure(1, idempotentRoute)
		server := s.server("i-1", "s", "a1")
		server.SetScript(func(r *http.Request) origin.Fault {
			if r.Header.Get("Affinity-Key") == "word" {
				return origin.None
			}
			return origin.Silent
		})
		if announced {
			announceLeaving(server)
		}
		in := s.instance("n1", "a1")
		in.awaitReady()
		done := make(chan reply)
		go func() { done <- in.send("GET", "/x/", "") }()
		require.Eventually(t, func() bool { return len(server.Runs()) == 1 }, wait, poll)
		otherKey := http.Header{"Affinity-Key": {"word"}}
		require.Equal(t, 200, in.sendWith(t.Context(), s.newID(), "GET", "/x/", "", otherKey).status)
		server.Close()
		<-done
		crashed := func() bool { return strings.Contains(in.scrape(), "rainford_target_ends_total") }
		if announced {
			time.Sleep(propagationTime)
			require.False(t, crashed())
			continue
		}
		require.Eventually(t, crashed, wait, poll)
	}
}
