package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/rollout"
)

// orderCodec decodes rollout orders.
type orderCodec struct{ plainCodec }

func (orderCodec) Rollout(_ string, raw []byte) (rollout.Record, error) {
	var record rollout.Record
	return record, json.Unmarshal(raw, &record)
}

// orderChange returns the change by which an order is written to the store.
func orderChange(version string, made int64, state rollout.State) feed.Change {
	record := rollout.Record{Order: rollout.Order{Service: "s", Version: version, Duration: time.Minute, Generation: made}, State: state, Revision: made}
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return feed.Change{Object: feed.Object{Name: "s", Value: raw}}
}

// TestRolloutOrdersSurviveRestore checks which order an instance follows after the store was restored from a
// backup, and with which verdict, directly afterwards and once all holds have ended.
func TestRolloutOrdersSurviveRestore(t *testing.T) {
	t.Parallel()
	type followed struct {
		version string
		verdict rollout.State
	}
	withdrawn := feed.Change{Object: feed.Object{Name: "s"}, Removed: true}
	cases := []struct {
		name string
		// before is received in the first era, restored is the list of the backup, and after follows it.
		before, restored, after []feed.Change
		now, inTheEnd           followed
	}{
		{name: "verdict lost", before: []feed.Change{orderChange("v2", 11, rollout.RolledBack)}, restored: []feed.Change{orderChange("v2", 11, rollout.Running)},
			now: followed{"v2", rollout.RolledBack}, inTheEnd: followed{"v2", rollout.RolledBack}},
		{name: "order lost and reissued", before: []feed.Change{orderChange("v2", 11, rollout.RolledBack)}, after: []feed.Change{orderChange("v2", 12, "")},
			now: followed{"v2", rollout.RolledBack}, inTheEnd: followed{"v2", rollout.RolledBack}},
		{name: "order lost and reissued before the list", before: []feed.Change{orderChange("v2", 11, rollout.RolledBack)}, restored: []feed.Change{orderChange("v2", 12, "")},
			now: followed{"v2", rollout.RolledBack}, inTheEnd: followed{"v2", rollout.RolledBack}},
		{name: "another order issued afterwards", before: []feed.Change{orderChange("v2", 11, rollout.RolledBack)}, after: []feed.Change{orderChange("v3", 12, "")},
			now: followed{"v3", rollout.Running}, inTheEnd: followed{"v3", rollout.Running}},
		{name: "order issued after the backup", before: []feed.Change{orderChange("v2", 5, rollout.RolledBack), orderChange("v3", 11, rollout.Running)},
			restored: []feed.Change{orderChange("v2", 5, rollout.RolledBack)}, after: []feed.Change{orderChange("v3", 12, "")},
			now: followed{"v3", rollout.Running}, inTheEnd: followed{"v3", rollout.Running}},
		{name: "order issued after the backup, and not reissued", before: []feed.Change{orderChange("v2", 5, rollout.RolledBack), orderChange("v3", 11, rollout.Running)},
			restored: []feed.Change{orderChange("v2", 5, rollout.RolledBack)},
			now:      followed{"v3", rollout.Running}, inTheEnd: followed{"v2", rollout.RolledBack}},
		{name: "withdrawn after the backup", before: []feed.Change{orderChange("v2", 5, rollout.Running), withdrawn}, restored: []feed.Change{orderChange("v2", 5, rollout.Running)},
			after: []feed.Change{withdrawn}, now: followed{"v2", rollout.RolledBack}, inTheEnd: followed{"v2", rollout.RolledBack}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t)
			g.codec = orderCodec{}
			g.replicas[KindRollouts], g.catchUp[KindRollouts], g.replication[KindRollouts] = feed.NewReplica(KindRollouts), &feed.CatchUp{}, &replicationState{}
			at := feed.At(1, 10)
			take := func(d feed.Delta) {
				d.Kind = KindRollouts
				require.True(t, g.applyDelta(d, sourceStore))
				at = d.To
			}
			follows := func() followed {
				r := g.rollouts.of("s")
				if r == nil {
					return followed{}
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				verdict := r.follower.Verdict()
				if !r.isOngoing() {
					verdict = r.record.State
				}
				return followed{r.follower.Order().Version, verdict}
			}
			take(listDelta(at))
			for _, change := range c.before {
				take(watchDelta(at, change))
			}
			take(listDelta(feed.At(2, 10), c.restored...))
			for _, change := range c.after {
				take(watchDelta(at, change))
			}
			require.Equal(t, c.now, follows())
			require.Eventually(t, func() bool { return follows() == c.inTheEnd }, 20*time.Second, 10*time.Millisecond)
			time.Sleep(3 * time.Second)
			require.Equal(t, c.inTheEnd, follows())
		})
	}
}
