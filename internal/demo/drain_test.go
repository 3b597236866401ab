package demo

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/table"
)

// TestDrainRegion drains a region whose load exceeds what the caps of the other regions
// admit at first. The region must keep serving the excess while the other regions ramp up,
// receive no requests after a few seconds, and no request may be cut off.
func TestDrainRegion(t *testing.T) {
	c := startCluster(t, Options{Estate: small(1)})
	service := c.Estate.Services[0].Name
	region := c.Estate.Regions[2]
	generator := load.NewGenerator()
	ctx, cancel := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for i, client := range c.callersOf(t, 1) {
		s := load.Stream{Service: service, Kind: load.Read, Rate: 80, Timeout: 5 * time.Second, Client: client}
		loads.Add(1)
		go func() { defer loads.Done(); generator.Run(ctx, s, rand.NewPCG(5, uint64(i))) }()
	}
	time.Sleep(time.Second)
	began := time.Now()
	_, err := c.Editor("drain").Edit(context.Background(), func(tab *table.Table) error {
		tab.SetDrain(table.Drain{Scope: table.ScopeRegion, Name: region}, true)
		return nil
	})
	require.NoError(t, err)
	time.Sleep(7 * time.Second)
	cancel()
	loads.Wait()
	generator.Wait()
	last := time.Duration(0)
	for _, target := range c.Targets(region) {
		if target.Service == service {
			last = max(last, target.Server.LastStart().Sub(began))
		}
	}
	st := generator.Stats(service)
	t.Logf("last new request %.2f s after the drain; %d requests, %d ok, %d not run %v", last.Seconds(), st.Requests, st.OK, st.NotRun, st.Reasons)
	require.Less(t, last, 5*time.Second)
	require.Greater(t, last, time.Second, "the region should have kept serving while the others ramped up")
	require.Zero(t, st.Unknown+st.Broken+st.Corrupt)
}
