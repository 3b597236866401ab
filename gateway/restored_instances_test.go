package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
)

// registration returns the change by which an instance registers.
func registration(name string) feed.Change {
	raw, err := json.Marshal(fleet.Member{Name: name, Hall: "a1", Region: "a", FrontAddr: "10.0.0.1:1", PeerAddr: "10.0.0.1:2"})
	if err != nil {
		panic(err)
	}
	return feed.Change{Object: feed.Object{Name: name, Value: raw}}
}

// TestInstancesSurviveRestore checks that an instance without direct heartbeats, like those of other regions
// in a large fleet, remains a member after a restore of the store until it has had the time to register
// again, and no longer.
func TestInstancesSurviveRestore(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	counts := func(name string) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, registered := g.registered[name]
		_, known := g.view.Member(fleet.IDOf(name))
		return registered && known
	}
	instances := func(d feed.Delta) feed.Delta {
		d.Kind = KindInstances
		return d
	}
	require.True(t, g.applyDelta(instances(listDelta(feed.At(1, 10), registration("back"), registration("lost"))), sourceStore))
	require.True(t, g.applyDelta(instances(listDelta(feed.At(2, 5))), sourceStore))
	require.True(t, counts("back") && counts("lost"))
	require.True(t, g.applyDelta(instances(watchDelta(feed.At(2, 5), registration("back"))), sourceStore))
	require.Eventually(t, func() bool { return !counts("lost") }, 30*time.Second, 20*time.Millisecond)
	require.True(t, counts("back"))
}

// TestInstanceRegistersAfterRestore checks that an instance detects that it has to register again as soon as
// it learns of a new era of the store, unless the store still has its entry.
func TestInstanceRegistersAfterRestore(t *testing.T) {
	own := registration("n1")
	for _, c := range []struct {
		name     string
		restored []feed.Change
		want     bool
	}{
		{"the backup lacks the entry", nil, false},
		{"the backup has the entry", []feed.Change{own}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t)
			d := listDelta(feed.At(1, 10), own)
			d.Kind = KindInstances
			require.True(t, g.applyDelta(d, sourceStore))
			require.True(t, g.isRegistered())
			g.enterEra(2, sourceStore)
			require.False(t, g.isRegistered(), "the contents of the store in the new era are not known yet")
			require.Len(t, g.unregistered, 1)
			d = listDelta(feed.At(2, 5), c.restored...)
			d.Kind = KindInstances
			require.True(t, g.applyDelta(d, sourceStore))
			require.Equal(t, c.want, g.isRegistered())
		})
	}
}
