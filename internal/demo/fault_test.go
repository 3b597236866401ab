package demo

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/node"
)

var (
	longRun  = flag.Duration("long", 0, "length of the long randomised runs; 0 skips them")
	longSeed = flag.Uint64("seed", 1, "seed of the long randomised runs")
)

// small returns an estate with few, fast targets and perHall instances in each hall.
func small(perHall int) Estate {
	e := EstateDesk()
	e.PerHall = perHall
	for i := range e.Services {
		e.Services[i].Targets = 6
		e.Services[i].Time = 5 * time.Millisecond
	}
	return e
}

func startCluster(t *testing.T, options Options) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// callers returns one client for each hall, with the client's default number of attempts.
func (c *Cluster) callers(t *testing.T) []*caller.Client { return c.callersOf(t, 0) }

func (c *Cluster) callersOf(t *testing.T, attempts int) []*caller.Client {
	t.Helper()
	var out []*caller.Client
	for i := range c.Estate.AllHalls() {
		client, err := c.CallerOf(i, attempts)
		require.NoError(t, err)
		t.Cleanup(client.Close)
		out = append(out, client)
	}
	return out
}

// faultInjector injects random faults into the platform, the targets and the instances.
type faultInjector struct {
	cluster *Cluster
	rnd     *rand.Rand
	kills   int
}

func (f *faultInjector) run(ctx context.Context, t *testing.T) {
	for {
		if !pause.For(ctx, time.Duration(200+f.rnd.IntN(400))*time.Millisecond) {
			break
		}
		f.platform()
		f.targets()
		if f.rnd.IntN(4) == 0 {
			f.kill(t)
		}
	}
	f.cluster.SetFaults(platformstore.Faults{})
	for _, target := range f.cluster.Targets("") {
		target.Server.UpdateSettings(func(s *backend.Settings) { s.DropBefore, s.DropDuring, s.DropAfter, s.Refuse = 0, 0, 0, 0 })
	}
}

func (f *faultInjector) platform() {
	choices := []platformstore.Faults{
		{}, {}, {}, {}, {}, {}, {Down: true}, {Delay: 200 * time.Millisecond}, {LoseReplies: 3}, {StaleReads: true},
	}
	f.cluster.SetFaults(choices[f.rnd.IntN(len(choices))])
}

func (f *faultInjector) targets() {
	for _, target := range f.cluster.Targets("") {
		target.Server.UpdateSettings(func(s *backend.Settings) {
			s.DropBefore, s.DropDuring, s.DropAfter, s.Refuse = 0, 0, 0, 0
			chance := f.rnd.Float64() * 0.3
			switch f.rnd.IntN(6) {
			case 0:
				s.DropBefore = chance
			case 1:
				s.DropDuring = chance
			case 2:
				s.DropAfter = chance
			case 3:
				s.Refuse = chance
			}
		})
	}
}

// kill kills a random instance under load and starts another one at its addresses.
func (f *faultInjector) kill(t *testing.T) {
	all := f.cluster.Instances()
	victim := all[f.rnd.IntN(len(all))]
	self := victim.Node.Instance()
	f.cluster.Remove(victim)
	victim.Kill()
	f.kills++
	_, err := f.cluster.StartInstanceAt("next", self)
	require.NoError(t, err)
}

// testAtMostOnce sends operations while faults are injected. It checks that no operation
// ran twice, and that none ran that was reported as not run to its client.
func testAtMostOnce(t *testing.T, seed uint64, length time.Duration) {
	cluster := startCluster(t, Options{Estate: small(1), Change: func(c *node.Config) { c.DefaultDeadline = 2 * time.Second }})
	generator := load.NewGenerator()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	service := cluster.Estate.Services[1].Name
	var wg sync.WaitGroup
	for i, client := range cluster.callers(t) {
		stream := load.Stream{Service: service, Kind: load.Operate, Rate: 25, Bytes: 200, Timeout: 2 * time.Second, Client: client, MaxRetries: 3, DuplicateFraction: 0.2}
		wg.Add(1)
		go func() {
			defer wg.Done()
			generator.Run(ctx, stream, rand.NewPCG(seed, uint64(i)))
		}()
	}
	f := &faultInjector{cluster: cluster, rnd: rand.New(rand.NewPCG(seed, 99))}
	f.run(ctx, t)
	wg.Wait()
	generator.Wait()
	st := generator.Stats(service)
	t.Logf("seed %d, %s: %d operations, %d ok, %d not run, %d unknown, %d instances killed, %d ran; %v",
		seed, length, st.Requests, st.OK, st.NotRun, st.Unknown, f.kills, cluster.Runs.Summary().Total, st.Reasons)
	for hall, link := range cluster.Links {
		t.Logf("platform calls of %s: %+v", hall, link.Counts())
	}
	require.Zero(t, cluster.Runs.Duplicates(), "operations that ran twice")
	for _, key := range st.NotRunKeys {
		require.Zero(t, cluster.Runs.Count(key), "operation %s ran although it was reported as not run", key)
	}
	require.Zero(t, st.Corrupt)
	require.Positive(t, st.OK)
}

func TestAtMostOnceThroughFaults(t *testing.T) { testAtMostOnce(t, 1, 8*time.Second) }

func TestLongAtMostOnce(t *testing.T) {
	if *longRun == 0 {
		t.Skip("set -long to a length of time")
	}
	testAtMostOnce(t, *longSeed, *longRun)
}
