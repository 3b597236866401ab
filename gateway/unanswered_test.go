package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

// awaitAgain waits until the neighbour is told that the instance does not hear it.
func (n *neighbour) awaitAgain(t *testing.T) {
	deadline := time.After(5 * time.Second)
	for {
		select {
		case m := <-n.messages:
			if probe, ok := m.(*peer.Probe); ok && probe.Again {
				return
			}
		case <-deadline:
			require.Fail(t, "it goes on answering over a connection that carries nothing")
		}
	}
}

// TestSilentOwnerIsToldToRenew is the story of an instance that hears all others by way of one
// of them, and is answered by none.
//
// What users saw: one instance refused the requests of accounts with a limit as having no owner
// to ask (503), for as long as it ran, though it took all for alive.
//
// Order of events: the connections of the others to it fall silent for good, by something on
// the way that still acknowledges. One of them opens a new connection soon, for a reason of its
// own, and passes on the heartbeats of all, so that none is missed and nobody is told to open
// another connection. The owners of limits answer over the silent ones.
//
// Cause: whether a connection carries anything was judged by whether its instance is heard of,
// by whomever.
//
// Evidence: a run of the soak (seed 5109) in which the way to an instance is silenced at the
// moment at which another one wakes: 36 such refusals at it, up to the end, and no line that
// another one was told that it is not heard.
func TestSilentOwnerIsToldToRenew(t *testing.T) {
	g := newPlain(t)
	silent := newNeighbour(t, "n0")
	g.registered["n0"] = silent.member
	g.permits.setMembers(time.Now(), g.config, g.registered)
	router, err := catalog.NewRouter(&catalog.Config{Version: 1, Accounts: []catalog.Account{{Name: "a", Rate: 10, Burst: 10}, {Name: "b", Rate: 10, Burst: 10},
		{Name: "c", Rate: 10, Burst: 10}, {Name: "d", Rate: 10, Burst: 10}, {Name: "e", Rate: 10, Burst: 10}, {Name: "f", Rate: 10, Burst: 10}}})
	require.NoError(t, err)
	g.router.Store(router)
	for _, account := range []string{"a", "b", "c", "d", "e", "f"} {
		go g.permits.take(t.Context(), account)
	}
	silent.awaitAgain(t)
}

// TestSilentWardenIsToldToRenew checks the same of the warden of a suspect request.
func TestSilentWardenIsToldToRenew(t *testing.T) {
	g := newPlain(t)
	silent := newNeighbour(t, "n0")
	g.registered["n0"] = silent.member
	now := g.clock.Now()
	for i := range 64 {
		c := quarantine.Content{URI: string(rune('a' + i))}
		if g.wardenOf(now, c.Digest(), false).Name != "n0" {
			continue
		}
		ex := &exchange{ctx: t.Context(), digest: c.Digest(), deadline: now.Add(time.Second)}
		granted, _ := g.askTrial(ex, c.Digest())
		require.False(t, granted)
		silent.awaitAgain(t)
		return
	}
	require.Fail(t, "no request has the other instance for its warden")
}
