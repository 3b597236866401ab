package objectstore_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/objectstore"
)

func newServerAndClient(t *testing.T) (*platformstore.Server, *objectstore.Client) {
	t.Helper()
	server := platformstore.NewServer(platformstore.NewStore(), platformstore.Limits{})
	ts := httptest.NewServer(server.Handler())
	client := objectstore.NewClient(ts.URL, 2*time.Second)
	t.Cleanup(func() {
		client.Close()
		ts.Close()
	})
	return server, client
}

func TestConditionalWrites(t *testing.T) {
	ctx := context.Background()
	_, c := newServerAndClient(t)
	_, err := c.Get(ctx, "a/b")
	require.ErrorIs(t, err, objectstore.ErrNotFound)
	first, err := c.Put(ctx, "a/b", 0, 1)
	require.NoError(t, err)
	_, err = c.Put(ctx, "a/b", 0, 2)
	var conflict *objectstore.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first, conflict.Current)
	second, err := c.Put(ctx, "a/b", first.Version, 2)
	require.NoError(t, err)
	require.Greater(t, second.Version, first.Version)
	require.ErrorAs(t, c.Delete(ctx, "a/b", first.Version), &conflict)
	require.NoError(t, c.Delete(ctx, "a/b", second.Version))
	_, err = c.Put(ctx, "a/b", 0, 3)
	require.NoError(t, err, "a deleted object can be created again")
	_, err = c.Put(ctx, "a/c", 0, make([]byte, objectstore.MaxValueBytes))
	require.ErrorIs(t, err, objectstore.ErrTooLarge)
}

func TestWatch(t *testing.T) {
	ctx := context.Background()
	_, c := newServerAndClient(t)
	obj, err := c.Put(ctx, "a/1", 0, 1)
	require.NoError(t, err)
	_, err = c.Put(ctx, "z/1", 0, 1)
	require.NoError(t, err)
	listing, err := c.Watch(ctx, []string{"a/"}, 0, 0)
	require.NoError(t, err)
	require.Equal(t, []objectstore.Object{obj}, listing.Objects)
	go func() { _ = c.Delete(ctx, "a/1", obj.Version) }()
	listing, err = c.Watch(ctx, []string{"a/"}, listing.Revision, time.Minute)
	require.NoError(t, err)
	require.Len(t, listing.Objects, 1)
	require.True(t, listing.Objects[0].Deleted)
	list, err := c.List(ctx, "a/")
	require.NoError(t, err)
	require.Empty(t, list.Objects)
}

// TestWriteOutcomes checks that a failed write returns ErrUnavailable only if it had no effect,
// and ErrUncertain if it may have had one.
func TestWriteOutcomes(t *testing.T) {
	ctx := context.Background()
	server, c := newServerAndClient(t)
	server.SetFaults(platformstore.Faults{Down: true})
	_, err := c.Put(ctx, "k", 0, 1)
	require.ErrorIs(t, err, objectstore.ErrUnavailable)
	server.SetFaults(platformstore.Faults{LoseReplies: 1})
	_, err = c.Put(ctx, "k", 0, 1)
	require.ErrorIs(t, err, objectstore.ErrUncertain)
	obj, err := c.Get(ctx, "k")
	require.NoError(t, err, "the write took effect")

	unresponsive := objectstore.NewClient("http://"+unresponsiveAddr(t), 200*time.Millisecond)
	_, err = unresponsive.Put(ctx, "k", obj.Version, 2)
	require.ErrorIs(t, err, objectstore.ErrUncertain, "no response in time")
	refusing := objectstore.NewClient("http://127.0.0.1:1", time.Second)
	_, err = refusing.Put(ctx, "k", 0, 1)
	require.ErrorIs(t, err, objectstore.ErrUnavailable, "connection refused")
	badGateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	defer badGateway.Close()
	_, err = objectstore.NewClient(badGateway.URL, time.Second).Put(ctx, "k", 0, 1)
	require.ErrorIs(t, err, objectstore.ErrUncertain, "status 502 leaves the result open")
}

// unresponsiveAddr returns an address that accepts connections and never responds.
func unresponsiveAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// TestRestoreFromBackup checks that versions grow across a restore of the service from a backup. A write that
// names a version from before the restore must not change an object that was assigned the same number again.
// An object that the restore has lost can be created again. A watch that names a revision from before the
// restore, whether it was pending then or begins later, returns all objects.
func TestRestoreFromBackup(t *testing.T) {
	ctx := context.Background()
	store := platformstore.NewStore()
	ts := httptest.NewServer(platformstore.NewServer(store, platformstore.Limits{}).Handler())
	c := objectstore.NewClient(ts.URL, 2*time.Second)
	t.Cleanup(func() {
		c.Close()
		ts.CloseClientConnections()
		ts.Close()
	})
	put := func(key string, version int64, value any) objectstore.Object {
		o, err := c.Put(ctx, key, version, value)
		require.NoError(t, err)
		return o
	}
	kept := put("a/kept", 0, 1)
	backup := store.Backup()
	later := put("a/kept", kept.Version, 2)
	lost := put("a/lost", 0, 3)
	pending := make(chan objectstore.Listing, 1)
	go func() {
		listing, err := c.Watch(ctx, []string{"a/"}, lost.Version, time.Minute)
		require.NoError(t, err)
		pending <- listing
	}()
	store.Restore(backup)
	// Another client makes as many writes as were lost, so that the service assigns the
	// same numbers again.
	other := objectstore.NewClient(ts.URL, 2*time.Second)
	t.Cleanup(other.Close)
	current, err := other.Get(ctx, "a/kept")
	require.NoError(t, err)
	require.Greater(t, current.Version, lost.Version)
	for range 2 {
		current, err = other.Put(ctx, "a/kept", current.Version, 9)
		require.NoError(t, err)
	}
	seen, err := c.Get(ctx, "a/kept")
	require.NoError(t, err)
	require.Equal(t, current, seen)
	require.True(t, objectstore.IsLaterEra(seen.Version, later.Version))
	require.False(t, objectstore.IsLaterEra(later.Version, kept.Version))
	var conflict *objectstore.ConflictError
	_, err = c.Put(ctx, "a/kept", later.Version, 4)
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, current, conflict.Current)
	require.ErrorAs(t, c.Delete(ctx, "a/kept", later.Version), &conflict)
	recreated := put("a/lost", lost.Version, 3)
	require.Greater(t, recreated.Version, current.Version)
	select {
	case listing := <-pending:
		require.Contains(t, listing.Objects, current)
		require.Greater(t, listing.Revision, lost.Version)
	case <-time.After(10 * time.Second):
		t.Fatal("the pending watch has not ended 10 s after the restore")
	}
	listing, err := c.Watch(ctx, []string{"a/"}, lost.Version, time.Minute)
	require.NoError(t, err)
	require.Len(t, listing.Objects, 2)
	listing, err = c.Watch(ctx, []string{"a/"}, listing.Revision, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, listing.Objects)
}
