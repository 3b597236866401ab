package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/upstream"
)

// versionCodec decodes rollout orders, and targets whose value is their version.
type versionCodec struct{ orderCodec }

func (versionCodec) Target(name string, raw []byte) (catalog.Target, error) {
	return catalog.Target{ID: name, Name: name, Service: "s", Addr: "x", Hall: "a1", Slots: 3, Version: string(raw)}, nil
}

// TestRollbackKnownBeforeTargets checks that an instance that starts after a rollback sends nothing
// to targets of the rolled back version, even if it learns of the rollback before it learns of the
// targets.
func TestRollbackKnownBeforeTargets(t *testing.T) {
	g := newTestGateway(t)
	g.codec = versionCodec{}
	g.replicas[KindRollouts], g.catchUp[KindRollouts], g.replication[KindRollouts] = feed.NewReplica(KindRollouts), &feed.CatchUp{}, &replicationState{}
	orders := listDelta(feed.At(1, 10), orderChange("v2", 5, rollout.RolledBack))
	orders.Kind = KindRollouts
	require.True(t, g.applyDelta(orders, sourceStore))
	g.tickRollout(t.Context(), g.rollouts.of("s"))
	running := func(name, version string) feed.Change {
		return feed.Change{Object: feed.Object{Name: name, Value: []byte(version)}}
	}
	require.True(t, g.applyDelta(listDelta(feed.At(1, 10), running("old", "v1"), running("new", "v2")), sourceStore))
	for i := range 20 {
		p := g.pools.get("s")
		d := p.acquire(t.Context(), upstream.Request{Key: fmt.Sprint(i), Deadline: time.Now().Add(time.Minute)})
		require.Equal(t, upstream.Send, d.Action)
		require.Equal(t, "old", d.Target.ID)
		p.release(d.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
	}
}
