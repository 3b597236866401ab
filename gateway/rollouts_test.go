package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/rollout"
)

// rolloutSite is a site whose service runs in one version and gets another by a rollout.
type rolloutSite struct {
	*site
	instances []*instance
	old, new  []*origin.Server
	// toOld and toNew count the requests that reach targets of the old and the new version.
	toOld, toNew atomic.Int64
}

const rolloutTime = 6 * time.Second

// newRolloutSite starts instances and six targets of version v1.
func newRolloutSite(t *testing.T, instances int) *rolloutSite {
	v := &rolloutSite{site: newSite(t)}
	v.configure(1, idempotentRoute)
	for i := range 6 {
		v.old = append(v.old, v.versionedServer(fmt.Sprint("old", i), "v1", &v.toOld))
	}
	for i := range instances {
		v.join(platform.NewStore(v.addr), fmt.Sprint("n", i))
	}
	for _, in := range v.instances {
		in.awaitStatus("/x/", 200)
	}
	return v
}

// join starts an instance that uses the given client of the store and knows the instances before it.
func (v *rolloutSite) join(store gateway.Store, name string) *instance {
	in := v.instanceOf(store, name, "a1", func(c *gateway.Config) {
		c.Rollouts = rollout.DefaultExposureBound
		for _, other := range v.instances {
			c.Seeds = append(c.Seeds, other.config.PeerListen)
		}
	})
	v.instances = append(v.instances, in)
	return in
}

func (v *rolloutSite) versionedServer(id, version string, count *atomic.Int64) *origin.Server {
	server, err := origin.Start(id, "s", "a1", 9)
	require.NoError(v.t, err)
	v.t.Cleanup(server.Close)
	server.SetObserver(func(origin.Arrival) { count.Add(1) })
	v.store.Set("servers", id, objects.Server{Service: "s", Address: server.Addr(), Zone: "a1", Version: version, Slots: 9, State: "ready", WarmupRemaining: "0ms", Sequence: 1})
	return server
}

// startRollout writes an order for version v2 and starts its targets.
func (v *rolloutSite) startRollout() {
	v.store.Set("rollouts", "s", objects.Rollout{Service: "s", TargetVersion: "v2", Duration: rolloutTime.String()})
	for i := range 6 {
		v.new = append(v.new, v.versionedServer(fmt.Sprint("new", i), "v2", &v.toNew))
	}
}

// load starts clients that send requests until the returned function is called.
func (v *rolloutSite) load() (stop func()) {
	var clients sync.WaitGroup
	var stopped atomic.Bool
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; !stopped.Load(); n++ {
				in := v.instances[(i+n)%len(v.instances)]
				header := http.Header{"Affinity-Key": {fmt.Sprint(n % 50)}}
				in.sendWith(v.t.Context(), v.newID(), "GET", "/x/", "", header)
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	return func() {
		stopped.Store(true)
		clients.Wait()
	}
}

// state returns the state of the order in the store.
func (v *rolloutSite) state() objects.RolloutStatus {
	var status objects.RolloutStatus
	raw := v.store.Status("rollouts", "s")
	if raw != nil {
		require.NoError(v.t, json.Unmarshal(raw, &status))
	}
	return status
}

func (v *rolloutSite) awaitState(state string) {
	v.t.Helper()
	require.Eventually(v.t, func() bool { return v.state().State == state }, rolloutTime+wait, poll)
	require.Equal(v.t, "v2", v.state().TargetVersion)
}

// failHalf makes a server fail every second request.
func failHalf(server *origin.Server) {
	var n atomic.Int64
	server.SetScript(func(*http.Request) origin.Fault {
		if n.Add(1)%2 == 0 {
			return origin.Failed
		}
		return origin.None
	})
}

// TestGoodVersionIsRolledOut checks that a good version gets all requests, and that the order's
// state becomes succeeded only when no request is sent to an old target any more.
func TestGoodVersionIsRolledOut(t *testing.T) {
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprint("instances=", instances), func(t *testing.T) {
			v := newRolloutSite(t, instances)
			stop := v.load()
			defer stop()
			v.startRollout()
			v.awaitState("running")
			v.awaitState("succeeded")
			// The platform stops the old targets at this point.
			before := v.toOld.Load()
			for _, server := range v.old {
				v.store.Remove("servers", server.ID)
				server.Close()
			}
			stop()
			require.Equal(t, before, v.toOld.Load())
			for _, in := range v.instances {
				require.Equal(t, 200, in.send("GET", "/x/", "").status)
			}
		})
	}
}

// TestBadVersionIsRolledBack checks that a failing version gets only a few requests, and none after
// its rollback. Without canary analysis, a version that failed half of its requests got 16,319 of
// 27,718 requests, where a tenth plus 50 were allowed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprint("instances=", instances), func(t *testing.T) {
			v := newRolloutSite(t, instances)
			stop := v.load()
			defer stop()
			v.store.Set("rollouts", "s", objects.Rollout{Service: "s", TargetVersion: "v2", Duration: rolloutTime.String()})
			before := v.toOld.Load() + v.toNew.Load()
			for i := range 6 {
				server := v.versionedServer(fmt.Sprint("new", i), "v2", &v.toNew)
				failHalf(server)
			}
			v.awaitState("rolled_back")
			time.Sleep(500 * time.Millisecond)
			atNew := v.toNew.Load()
			require.LessOrEqual(t, float64(atNew), 0.1*float64(v.toOld.Load()+atNew-before)+50)
			require.Never(t, func() bool { return v.toNew.Load() > atNew }, time.Second, poll)
		})
	}
}

// TestRolloutContinuesAfterLeaderLoss checks that another instance continues a rollout when its
// leader stops.
func TestRolloutContinuesAfterLeaderLoss(t *testing.T) {
	v := newRolloutSite(t, 3)
	stop := v.load()
	defer stop()
	v.startRollout()
	v.awaitState("running")
	// The leader is the instance whose name comes first.
	v.instances[0].stop()
	<-v.instances[0].done
	v.instances = v.instances[1:]
	require.Eventually(t, func() bool { state := v.state().State; return state == "succeeded" || state == "rolled_back" }, 2*rolloutTime+wait, poll)
}

// TestRollbackWhileStoreIsUnreachable checks that a bad version gets no more requests even if the
// store does not accept writes, and that the rollback is written once it does.
func TestRollbackWhileStoreIsUnreachable(t *testing.T) {
	v := newRolloutSite(t, 2)
	stop := v.load()
	defer stop()
	v.startRollout()
	for _, server := range v.new {
		failHalf(server)
	}
	v.awaitState("running")
	// An instance that has not read the entries of the new targets before the outage sends them nothing.
	require.Eventually(t, func() bool { return v.toNew.Load() > 0 }, rolloutTime, poll)
	v.store.SetFaults(objects.Faults{Down: true})
	require.Eventually(t, func() bool {
		before := v.toNew.Load()
		time.Sleep(400 * time.Millisecond)
		return before > 0 && v.toNew.Load() == before
	}, rolloutTime, poll)
	require.Equal(t, "running", v.state().State)
	v.store.SetFaults(objects.Faults{})
	v.awaitState("rolled_back")
}

// TestStoredVerdictIsKept checks that a final state in the store takes effect and is not
// overwritten, even if it was written by another program.
func TestStoredVerdictIsKept(t *testing.T) {
	v := newRolloutSite(t, 1)
	stop := v.load()
	defer stop()
	v.store.Set("rollouts", "s", objects.Rollout{Service: "s", TargetVersion: "v2", Duration: rolloutTime.String()})
	v.awaitState("running")
	v.store.SetStatus("rollouts", "s", objects.RolloutStatus{State: "rolled_back", TargetVersion: "v2"})
	v.versionedServer("new0", "v2", &v.toNew)
	require.Never(t, func() bool { return v.toNew.Load() > 0 || v.state().State != "rolled_back" }, 2*time.Second, poll)
}
