package gateway_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/gateway"
)

// TestLostInstanceIsRemoved checks that the entry of an instance that does not run any more is removed
// from the store. Running instances keep their entries, and write them again if they are removed.
func TestLostInstanceIsRemoved(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a1")
	s.store.Set(instancesKind, "n9", fleet.Member{Name: "n9", Hall: "a1", Region: "a", FrontAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2"})
	soon := func(c *gateway.Config) { c.ForgetAfter = 2 * time.Second }
	one, two := s.instance("n1", "a1", soon), s.instance("n2", "a1", soon)
	one.awaitReady()
	two.awaitReady()
	listed := func(name string) bool { return slices.Contains(s.store.Names(instancesKind), name) }
	require.Eventually(t, func() bool { return listed("n1") && listed("n2") }, wait, poll)
	require.Eventually(t, func() bool { return !listed("n9") }, wait, poll)
	require.True(t, listed("n1") && listed("n2"))
	s.store.Remove(instancesKind, "n2")
	require.Eventually(t, func() bool { return listed("n2") }, wait, poll)
}

// instancesKind is the store's name of the kind of instances' entries.
const instancesKind = "rainford-instances"
