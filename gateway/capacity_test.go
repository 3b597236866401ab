package gateway_test

import (
	"context"
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/platform"
)

// TestCapacityIsKnown guards against weights that only instances of the own process know: the
// capacity is derived from the settings and known to others, also if an earlier process of the
// instance has registered without one. Look-ups repeat addresses in proportion.
func TestCapacityIsKnown(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a1")
	cores := func(cores, share float64) func(*gateway.Config) {
		return func(c *gateway.Config) { c.CPUCores, c.CPUShare = cores, share }
	}
	small := s.instance("n1", "a1", cores(0.384, 0))
	var address, peer string
	large := s.instance("n2", "a1", cores(2, 0.4), func(c *gateway.Config) {
		address, peer = c.Listen, c.PeerListen
		s.store.Set(instancesKind, "n2", fleet.Member{Name: "n2", Hall: "a1", Region: "a", FrontAddr: address, PeerAddr: peer})
	})
	s.instance("n3", "a2").awaitReady()
	small.awaitReady()
	large.awaitReady()
	require.Eventually(t, func() bool {
		entries := map[string]int{}
		for _, addr := range addresses(t, small) {
			entries[addr]++
		}
		return entries[small.config.Listen] > 0 && entries[address] == 2*entries[small.config.Listen]
	}, wait, 50*poll)
	require.Eventually(t, func() bool { return s.storedCapacity("n2") == 768 }, wait, poll)
	require.Equal(t, 384, s.storedCapacity("n1"))
}

// storedCapacity returns the capacity in the stored entry of an instance, or -1 if there is none.
func (s *site) storedCapacity(name string) int {
	stored, err := platform.NewStore(s.addr).Get(context.Background(), gateway.KindInstances, name)
	var m fleet.Member
	if err != nil || json.Unmarshal(stored.Value, &m) != nil {
		return -1
	}
	return m.Capacity
}

// TestLimitsAreChecked guards against limits of the instance that give no sensible capacity.
func TestLimitsAreChecked(t *testing.T) {
	c := gateway.Defaults()
	c.CPUCores, c.CPUShare, c.LinkMbps = -1, math.NaN(), math.Inf(1)
	err := c.Check().Err()
	require.Error(t, err)
	for _, field := range []string{"cpu-cores", "cpu-share", "link-mbps"} {
		require.Contains(t, err.Error(), field+":")
	}
}
