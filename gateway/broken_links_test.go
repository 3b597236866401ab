package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/platform"
)

// TestOwnLinksAreNotTakenForCrashes guards against requests that are held everywhere because one instance
// lost its links to the targets that ran them.
func TestOwnLinksAreNotTakenForCrashes(t *testing.T) {
	s := newCutSite(t)
	for _, server := range s.servers {
		server.SetServiceTime(200 * time.Millisecond)
	}
	in := s.instances["n1"]
	for range 4 {
		for i := range 12 {
			go in.sendKey(fmt.Sprint(i))
		}
		time.Sleep(100 * time.Millisecond)
		s.links["n1"].Cut(link.Reset, link.All)
		require.Eventually(t, func() bool {
			in.sendKey("more")
			return in.metric("rainford_targets_lost") == 1
		}, contact, 20*time.Millisecond)
		s.links["n1"].Restore()
		require.Eventually(t, func() bool { return in.metric("rainford_targets_lost") == 0 }, contact, 20*time.Millisecond)
	}
	for name, in := range s.instances {
		require.LessOrEqual(t, in.metric("rainford_target_ends_total"), 0, name)
		require.Zero(t, in.metric("rainford_requests_held"), name)
	}
}

// TestOwnLinksAreNotReported guards against targets that get no requests of other instances because one
// instance could not reach them.
func TestOwnLinksAreNotReported(t *testing.T) {
	for _, mode := range link.Modes() {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t)
			s.loadAll(500 * time.Millisecond)
			s.loseTargets(t, mode, "n1")
			s.loadAll(time.Second)
			require.LessOrEqual(t, s.instances["n1"].counted("rainford_target_reports_total", `content="down",direction="sent"`), 0)
		})
	}
}

// TestDownTargetIsReported checks that a target that is down is still reported by the first instance that
// finds out.
func TestDownTargetIsReported(t *testing.T) {
	s := newCutSite(t)
	s.loadAll(500 * time.Millisecond)
	s.servers[0].Close()
	require.Eventually(t, func() bool {
		s.loadAll(100 * time.Millisecond)
		sent := 0
		for _, in := range s.instances {
			sent += max(0, in.counted("rainford_target_reports_total", `content="down",direction="sent"`))
		}
		return sent > 0
	}, wait, poll)
}

// TestTargetsAreUsedOnceTheyAreBack guards against targets that stay suspected after the links to them
// are back.
func TestTargetsAreUsedOnceTheyAreBack(t *testing.T) {
	s := newCutSite(t)
	s.loadAll(500 * time.Millisecond)
	s.loseTargets(t, link.Reset, "n1", "n2", "n3")
	// With no instance to hand over to, each target is tried and suspected again and again.
	s.loadAll(4 * time.Second)
	for _, name := range []string{"n1", "n2", "n3"} {
		s.links[name].Restore()
	}
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return in.metric("rainford_targets_lost") == 0 }, 2*time.Second, poll)
	}
	for name, c := range s.loadAll(500 * time.Millisecond) {
		require.Equal(t, c.sent, c.served, name)
	}
}

// TestOwnLinksAreNotTakenForBadVersion guards against a version that is rolled back because one instance
// loses its links now and then while the version is brought in.
func TestOwnLinksAreNotTakenForBadVersion(t *testing.T) {
	t.Parallel()
	v := newRolloutSite(t, 2)
	l, err := link.New()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	v.targetLink = l
	cut := v.join(platform.NewStore(v.addr), "n2")
	cut.awaitStatus("/x/", 200)
	stop := v.load()
	defer stop()
	for range 3 {
		// Most requests are at the instance whose links are cut.
		v.instances = append(v.instances, cut)
	}
	v.startRollout()
	for _, server := range append(v.old, v.new...) {
		server.SetServiceTime(30 * time.Millisecond)
	}
	v.awaitState("running")
	for v.state().State == "running" {
		l.Cut(link.Reset, link.All)
		time.Sleep(400 * time.Millisecond)
		l.Restore()
		time.Sleep(200 * time.Millisecond)
	}
	require.Equal(t, "succeeded", v.state().State)
}
