package gateway_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/rollout"
)

// stateRefusingStore is a client of the store whose writes of rollout states fail while refuses is set.
type stateRefusingStore struct {
	gateway.Store
	refuses *atomic.Bool
}

func (s stateRefusingStore) SetRolloutState(ctx context.Context, record rollout.Record, state rollout.State) error {
	if s.refuses.Load() {
		return errors.New("store refuses the write")
	}
	return s.Store.SetRolloutState(ctx, record, state)
}

// TestRestartedLeaderLearnsLostVerdict guards against a rolled back version that is tried again: the store
// has lost the verdict, and an instance that has just started leads, while the others know the verdict and
// can't write it.
func TestRestartedLeaderLearnsLostVerdict(t *testing.T) {
	for _, c := range []struct {
		name    string
		bad     bool
		verdict string
	}{
		{name: "rolled back", bad: true, verdict: "rolled_back"},
		{name: "succeeded", verdict: "succeeded"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			v := newRolloutSite(t, 0)
			var refuses atomic.Bool
			for _, name := range []string{"n1", "n2"} {
				v.join(stateRefusingStore{Store: platform.NewStore(v.addr), refuses: &refuses}, name)
			}
			for _, in := range v.instances {
				in.awaitStatus("/x/", 200)
			}
			stop := v.load()
			v.startRollout()
			if c.bad {
				for _, server := range v.new {
					failHalf(server)
				}
			}
			v.awaitState("running")
			backup := v.store.Revision()
			v.awaitState(c.verdict)
			time.Sleep(time.Second)
			stop()
			toNew := v.toNew.Load()
			refuses.Store(true)
			v.store.RestoreAt(backup)
			require.Equal(t, "running", v.state().State)

			// The leader is the instance whose name comes first.
			v.join(platform.NewStore(v.addr), "n0").awaitStatus("/x/", 200)
			stop = v.load()
			defer stop()
			v.awaitState(c.verdict)
			time.Sleep(time.Second)
			toOld := v.toOld.Load()
			time.Sleep(rolloutTime)
			require.Equal(t, c.verdict, v.state().State)
			if c.bad {
				require.Equal(t, toNew, v.toNew.Load(), "the version was tried again")
			} else {
				require.Equal(t, toOld, v.toOld.Load(), "the old version was used again")
			}
		})
	}
}
