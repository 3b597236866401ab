package gateway_test

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// recordIncarnation writes the entry of a server with its start time, and returns the store's revision.
func (s *site) recordIncarnation(server *origin.Server, state string, born int64) int64 {
	return s.store.SetServer(server.ID, objects.Server{Service: server.Service, Address: server.Addr(), Zone: server.Zone, Slots: server.Slots,
		State: state, WarmupRemaining: "0ms", Sequence: 1, StartUnixMilli: born, Version: "v1"})
}

// startIncarnation starts a server whose entry holds its start time.
func (s *site) startIncarnation(id string, born int64) *origin.Server {
	server, err := origin.Start(id, "s", "a1", 9)
	require.NoError(s.t, err)
	s.t.Cleanup(server.Close)
	s.recordIncarnation(server, objects.Ready, born)
	return server
}

// TestTargetRestartsUnderSameID lets a target leave, stop, and start again under the same ID at another
// address. The second incarnation is used, although the ID was leaving. Entries that the first one
// writes late have no effect.
func TestTargetRestartsUnderSameID(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	first := s.startIncarnation("i-1", 1000)
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	s.recordIncarnation(first, objects.Draining, 1000)
	in.awaitStatus("/x/", 503)
	first.Close()
	second := s.startIncarnation("i-1", 2000)
	in.awaitStatus("/x/", 200)
	served := len(second.Runs())
	require.NotZero(t, served)
	// Late writes of the first incarnation.
	in.awaitTargets(s.recordIncarnation(first, objects.Draining, 1000))
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	in.awaitTargets(s.recordIncarnation(first, objects.Ready, 1000))
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	s.store.Remove(objects.KindServers, "i-1")
	in.awaitStatus("/x/", 503)
	in.awaitTargets(s.recordIncarnation(first, objects.Ready, 1000))
	require.Equal(t, 503, in.send("GET", "/x/", "").status)
}

// targetRevision matches the metric for the revision of the targets that an instance holds.
var targetRevision = regexp.MustCompile(`rainford_replica_revision\{kind="targets"[^}]*\} (\S+)`)

// awaitTargets waits until an instance holds the targets of at least the given revision.
func (in *instance) awaitTargets(revision int64) {
	require.Eventually(in.site.t, func() bool {
		found := targetRevision.FindStringSubmatch(in.scrape())
		if found == nil {
			return false
		}
		held, err := strconv.ParseFloat(found[1], 64)
		return err == nil && int64(held) >= revision
	}, wait, poll)
}

// TestNewIncarnationIsNotSuspected checks that a target that restarts under the same ID and at the same
// address is used at once, although its previous incarnation was suspected for seconds.
func TestNewIncarnationIsNotSuspected(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.startIncarnation("i-1", 1000)
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.Close()
	for range 20 {
		in.send("GET", "/x/", "")
	}
	again := s.startIncarnation("i-1", 2000)
	in.awaitTargets(s.recordIncarnation(again, objects.Ready, 2001))
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	require.NotEmpty(t, again.Runs())
}

// TestRestartedTargetsAreUsedAtOnce guards against requests that are refused because the end of all targets
// was taken for the loss of the instance's own links, although the instance knows that the targets have
// started again.
func TestRestartedTargetsAreUsedAtOnce(t *testing.T) {
	for _, targets := range []int{1, 2, 3, 9} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(1, idempotentRoute)
			var first []*origin.Server
			for i := range targets {
				first = append(first, s.startIncarnation(fmt.Sprint("i-", i), 1000))
			}
			in := s.instance("n1", "a1")
			in.awaitStatus("/x/", 200)
			for _, server := range first {
				server.Close()
			}
			require.Eventually(t, func() bool {
				in.sendKey("k")
				return in.metric("rainford_targets_lost") == 1
			}, wait, poll)
			last := int64(0)
			for i := range targets {
				server := s.startIncarnation(fmt.Sprint("i-", i), 2000)
				last = s.recordIncarnation(server, objects.Ready, 2001)
			}
			in.awaitTargets(last)
			for i := range 10 {
				require.Equal(t, 200, in.sendKey(fmt.Sprint("k", i)).status)
			}
		})
	}
}

// foreignEntries are entries of other writers, which are invalid as entries of targets.
var foreignEntries = []any{
	map[string]any{"service": "s"},
	map[string]any{"service": "s", "address": 7, "zone": "a1", "version": "v1", "slots": 3, "state": "ready", "warmupRemaining": "0ms", "sequence": 1},
	map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "a1", "version": "v1", "slots": 3, "state": "resting", "warmupRemaining": "0ms", "sequence": 1},
	map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "nowhere", "version": "v1", "slots": 3, "state": "ready", "warmupRemaining": "0ms", "sequence": 1},
	"bytes that can't be read", nil, 7, []int{1},
}

// TestForeignEntriesAreRejected writes invalid entries beside that of a target, before and after the start
// of an instance. Only the target is used, and a target whose entry is overwritten by an invalid one is
// no longer used.
func TestForeignEntriesAreRejected(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	for i, entry := range foreignEntries {
		s.store.Set(objects.KindServers, fmt.Sprint("f-", i), entry)
	}
	good := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	serves := func() {
		for range 20 {
			require.Equal(t, 200, in.send("GET", "/x/", "").status)
		}
	}
	serves()
	for i, entry := range foreignEntries {
		s.store.Set(objects.KindServers, fmt.Sprint("g-", i), entry)
	}
	require.Eventually(t, func() bool { return in.metric("rainford_targets_refused") == 2*len(foreignEntries) }, wait, poll)
	serves()
	overwritten := s.server("i-2", "s", "a1")
	require.Eventually(t, func() bool { in.send("GET", "/x/", ""); in.sendKey("other"); return len(overwritten.Runs()) > 0 }, wait, poll)
	for i, entry := range foreignEntries {
		s.record(overwritten, objects.Ready)
		require.Eventually(t, func() bool { return in.metric("rainford_targets_refused") == 2*len(foreignEntries) }, wait, poll)
		s.store.Set(objects.KindServers, "i-2", entry)
		require.Eventually(t, func() bool { return in.metric("rainford_targets_refused") == 2*len(foreignEntries)+1 }, wait, poll, "%d", i)
		before := len(overwritten.Runs())
		for n := range 10 {
			in.sendKey(fmt.Sprint("k", n))
		}
		require.Len(t, overwritten.Runs(), before, "entry %d", i)
	}
	require.NotEmpty(t, good.Runs())
}

// sendKey sends a GET request with an affinity key.
func (in *instance) sendKey(key string) reply {
	return in.sendWith(in.site.t.Context(), in.site.newID(), "GET", "/x/", "", map[string][]string{"Affinity-Key": {key}})
}

// metric returns the value of the first metric whose name and labels begin with name, or -1 if there is none.
func (in *instance) metric(name string) int {
	for _, line := range strings.Split(in.scrape(), "\n") {
		if fields := strings.Fields(line); len(fields) == 2 && strings.HasPrefix(fields[0], name) {
			n, err := strconv.Atoi(fields[1])
			if err == nil {
				return n
			}
		}
	}
	return -1
}
