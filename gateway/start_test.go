package gateway_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/platform"
)

// countingStore counts the stale lists of targets.
type countingStore struct {
	*platform.Store
	targetReads atomic.Int64
}

// ListStale implements gateway.Store.
func (s *countingStore) ListStale(ctx context.Context, kind feed.Kind) (feed.Delta, error) {
	if kind == gateway.KindTargets {
		s.targetReads.Add(1)
	}
	return s.Store.ListStale(ctx, kind)
}

// instanceNameFor returns the name of an instance that is a reader, or of one that is not.
func instanceNameFor(reader bool) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("n", i)
		if gateway.IsReader(name) == reader {
			return name
		}
	}
}

// TestTargetsFromReader checks that a restarted instance that is no reader gets the targets from the reader of
// its hall, which has just started too, and does not list them itself.
func TestTargetsFromReader(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a1")
	seeded := func(c *gateway.Config) { c.Seeds = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} }
	reader := s.instance(instanceNameFor(true), "a1", seeded)
	require.Eventually(t, func() bool { return len(s.store.Names("rainford-instances")) == 1 }, wait, poll)
	store := &countingStore{Store: platform.NewStore(s.addr)}
	other := s.instanceOf(store, instanceNameFor(false), "a1", seeded)
	other.awaitStatus("/x/", 200)
	require.Zero(t, store.targetReads.Load())
	reader.awaitStatus("/x/", 200)
}

// TestTargetsWithoutReader checks that an instance lists the targets itself if its hall has no reader.
func TestTargetsWithoutReader(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a1")
	store := &countingStore{Store: platform.NewStore(s.addr)}
	s.instanceOf(store, instanceNameFor(false), "a1").awaitStatus("/x/", 200)
	require.EqualValues(t, 1, store.targetReads.Load())
}
