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

// announceLeaving makes a target announce in each response that it is leaving.
func announceLeaving(server *origin.Server) {
	server.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
}

// TestAnnouncedDepartureOutlivesOlderEntries checks that a target that has announced its departure
// receives no more requests, even if the store lists it as ready afterwards. Its next incarnation
// under the same ID does receive requests.
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
	// The entry has another software version, so that it differs from the previous one.
	in.awaitTargets(s.store.SetServer("i-1", objects.Server{Service: "s", Address: first.Addr(), Zone: "a1", Slots: 5,
		State: objects.Ready, WarmupRemaining: "0ms", Sequence: 2, StartUnixMilli: 1000, Version: "v2"}))
	refused()
	s.store.Remove(objects.KindServers, "i-1")
	in.awaitTargets(s.recordIncarnation(first, objects.Ready, 1000))
	refused()
	require.Len(t, first.Runs(), served)
	second := s.startIncarnation("i-1", 2000)
	in.awaitStatus("/x/", 200)
	require.NotZero(t, len(second.Runs()))
}

// TestDepartureIsGossiped checks that a departure that a target has announced to one instance only
// reaches the other instances within propagationTime. They and an instance that starts later send no
// requests to the target.
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

// TestPlannedStopIsNoCrash checks that a request that a target interrupts by its planned stop does not
// count as a crash, if only the target itself has announced the stop. Without an announcement it
// counts.
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
