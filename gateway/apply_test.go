package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/upstream"
)

// plainCodec decodes targets of a fixed form, which are leaving if their value is leavingValue.
type plainCodec struct{ Codec }

const leavingValue = "leaving"

func (plainCodec) Target(name string, raw []byte) (catalog.Target, error) {
	return catalog.Target{ID: name, Name: name, Service: "s", Addr: "x", Hall: "a1", Slots: 3, Leaving: string(raw) == leavingValue}, nil
}

// noStore is a store without contents. Only Calls and Era may be called.
type noStore struct{ Store }

func (noStore) Calls() int64 { return 0 }
func (noStore) Era() int64   { return 0 }

// newTestGateway returns an instance of hall a1 in region a that does not run.
func newTestGateway(t *testing.T) *Gateway {
	c := Defaults()
	c.Name, c.Hall, c.Region, c.RegionOf = "n1", "a1", "a", map[string]string{"a1": "a"}
	for _, addr := range []*string{&c.Listen, &c.LookupListen, &c.ReadyListen, &c.PeerListen, &c.AdminListen} {
		*addr = "127.0.0.1:0"
	}
	c.Log = slog.New(slog.DiscardHandler)
	g, err := New(c, noStore{}, plainCodec{}, forward.Headers{})
	require.NoError(t, err)
	return g
}

// change returns a change of a target's entry, or its removal.
func change(name string, gone bool) feed.Change {
	return feed.Change{Object: feed.Object{Name: name, Value: []byte(fmt.Sprint(time.Now().UnixNano()))}, Removed: gone}
}

// TestChangeOrderWithinDelta checks that the last change of a target in a delta holds: an entry that
// was removed and created again is listed, and one that was changed and then removed is not.
func TestChangeOrderWithinDelta(t *testing.T) {
	g := newTestGateway(t)
	g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("back", false)}}, sourceStore)
	g.applyDelta(feed.Delta{Kind: KindTargets, From: feed.At(0, 1), To: feed.At(0, 5), Changes: []feed.Change{
		change("back", true), change("back", false), change("gone", false), change("gone", true),
	}}, sourceStore)
	// The only target has three slots and is granted five requests.
	for i := range 5 {
		d := g.pools.get("s").acquire(t.Context(), upstream.Request{Key: fmt.Sprint(i), Deadline: time.Now().Add(time.Minute)})
		require.Equal(t, upstream.Send, d.Action)
		require.Equal(t, "back", d.Target.ID)
	}
}

// TestHeldRemovalIsAppliedWhileHoldIsExtended checks that a held removal of a target is applied, also if
// other instances extend the hold again and again.
func TestHeldRemovalIsAppliedWhileHoldIsExtended(t *testing.T) {
	g := newTestGateway(t)
	g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("kept", false), change("lapsed", false)}}, sourceStore)
	inheritHold := func(remaining time.Duration) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.heldChanges[KindTargets].removals.Inherit(time.Now(), remaining, 0)
	}
	isListed := func(name string) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, ok := g.targetList.specs[name]
		return ok
	}
	inheritHold(250 * time.Millisecond)
	g.applyDelta(feed.Delta{Kind: KindTargets, From: feed.At(0, 1), To: feed.At(0, 2), Changes: []feed.Change{change("lapsed", true)}}, sourceStore)
	inheritHold(500 * time.Millisecond)
	require.True(t, isListed("lapsed"))
	gone := func() bool {
		inheritHold(500 * time.Millisecond)
		return !isListed("lapsed")
	}
	require.Eventually(t, gone, 10*time.Second, 5*time.Millisecond)
	require.True(t, isListed("kept"))
}
