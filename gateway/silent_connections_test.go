package gateway_test

import (
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/relay"
)

// aliveMembers matches the metric for the number of instances that are alive in an instance's view.
var aliveMembers = regexp.MustCompile(`rainford_members\{[^}]*state="alive"[^}]*\} (\d+)`)

// aliveCount returns the number of instances that are alive in the instance's view, as text, or ""
// if the metric is missing.
func (in *instance) aliveCount() string {
	found := aliveMembers.FindStringSubmatch(in.scrape())
	if found == nil {
		return ""
	}
	return found[1]
}

// TestReconnectsAfterSilentConnections guards against an instance whose messages reach all others,
// while it receives none itself for as long as it runs. This happens if the incoming connections drop
// all packets without an error.
func TestReconnectsAfterSilentConnections(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a1")
	other := s.instance("n1", "a1")
	var network *relay.Relay
	in := s.instance("n2", "a1", func(c *gateway.Config) {
		c.Seeds = []string{other.config.PeerListen}
		var err error
		network, err = relay.Start(c.PeerListen)
		require.NoError(t, err)
		t.Cleanup(network.Close)
		c.AdvertisePeer = network.Addr()
	})
	bothAlive := func() bool { return in.aliveCount() == "2" && other.aliveCount() == "2" }
	require.Eventually(t, bothAlive, wait, 50*time.Millisecond)
	network.Silence()
	// An instance without heartbeats is suspected after a shorter time.
	time.Sleep(3 * time.Second)
	require.Eventually(t, bothAlive, wait, 50*time.Millisecond, "messages to n2 are still sent over the silent connections")
}
