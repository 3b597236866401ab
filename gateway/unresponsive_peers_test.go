package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/quarantine"
)

// awaitReconnectProbe waits until the peer receives a probe that asks it to reconnect.
func (n *fakePeer) awaitReconnectProbe(t *testing.T) {
	deadline := time.After(5 * time.Second)
	for {
		select {
		case m := <-n.messages:
			if probe, ok := m.(*peer.Probe); ok && probe.Reconnect {
				return
			}
		case <-deadline:
			require.Fail(t, "the peer was not asked to reconnect")
		}
	}
}

// TestUnresponsiveOwnerIsToldToReconnect guards against an instance that receives all gossip through one other
// instance, but no replies of the owners of limits.
func TestUnresponsiveOwnerIsToldToReconnect(t *testing.T) {
	g := newTestGateway(t)
	silent := newFakePeer(t, "n0")
	g.registered["n0"] = silent.member
	g.accountPermits.setInstances(time.Now(), g.config, g.registered)
	router, err := catalog.NewRouter(&catalog.Config{Version: 1, Accounts: []catalog.Account{{Name: "a", Rate: 10, Burst: 10}, {Name: "b", Rate: 10, Burst: 10},
		{Name: "c", Rate: 10, Burst: 10}, {Name: "d", Rate: 10, Burst: 10}, {Name: "e", Rate: 10, Burst: 10}, {Name: "f", Rate: 10, Burst: 10}}})
	require.NoError(t, err)
	g.router.Store(router)
	for _, account := range []string{"a", "b", "c", "d", "e", "f"} {
		go g.accountPermits.acquire(t.Context(), account)
	}
	silent.awaitReconnectProbe(t)
}

// TestUnresponsiveCoordinatorIsToldToReconnect checks the same for the coordinator of a suspect request.
func TestUnresponsiveCoordinatorIsToldToReconnect(t *testing.T) {
	g := newTestGateway(t)
	silent := newFakePeer(t, "n0")
	g.registered["n0"] = silent.member
	now := g.clock.Now()
	for i := range 64 {
		c := quarantine.Content{URI: string(rune('a' + i))}
		if g.coordinatorFor(now, c.Digest(), false).Name != "n0" {
			continue
		}
		ex := &exchange{ctx: t.Context(), digest: c.Digest(), deadline: now.Add(time.Second)}
		granted, _ := g.acquireTrial(ex, c.Digest())
		require.False(t, granted)
		silent.awaitReconnectProbe(t)
		return
	}
	require.Fail(t, "the other instance is the coordinator of no request")
}
