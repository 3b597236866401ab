package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/entry"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/objectstore"
)

// claimFixture is a claimWriter that writes all shards itself, and its store.
type claimFixture struct {
	*claimWriter
	t     *testing.T
	store *platformstore.Store
}

// newClaimFixture starts a claimWriter with the given rate of writes per second for each shard number.
func newClaimFixture(t *testing.T, rate float64) *claimFixture {
	t.Helper()
	f := &claimFixture{t: t, store: platformstore.NewStore()}
	server := httptest.NewServer(platformstore.NewServer(f.store, platformstore.Limits{}).Handler())
	client := objectstore.NewClient(server.URL, 0)
	f.claimWriter = newClaimWriter("n", client, nil, rate*claim.ShardsPerSlice, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
		server.Close()
	})
	return f
}

// entry returns the claim of a key that the store holds.
func (f *claimFixture) entry(a entry.OperationAttempt) claim.Entry {
	obj, ok := f.store.Get(claim.ShardOf(a.Key, a.CreatedAt).ObjectKey(), false)
	require.True(f.t, ok)
	var shard claim.Shard
	require.NoError(f.t, json.Unmarshal(obj.Value, &shard))
	return shard.Entries[a.Key]
}

// rewrite writes a shard at each interval as it is, as another instance does that stores the refusal of
// a retry.
func (f *claimFixture) rewrite(ctx context.Context, shard claim.ShardID, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		obj, _ := f.store.Get(shard.ObjectKey(), false)
		f.store.Put(obj.Key, obj.Version, obj.Value)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func newTestAttempt(owner string) entry.OperationAttempt {
	now := time.Now()
	return entry.OperationAttempt{Key: claim.NewKey(now, "operation"), CreatedAt: now, Owner: owner, Number: 1}
}

// TestFinishBesideOtherWriter guards against an operation that is never recorded as done while another
// instance keeps writing its shard: the retries of the caller get no result then.
func TestFinishBesideOtherWriter(t *testing.T) {
	f := newClaimFixture(t, 2.5)
	attempt := newTestAttempt("owner")
	reply, err := f.Acquire(context.Background(), attempt)
	require.NoError(t, err)
	require.Equal(t, claim.Granted, reply.Result)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.rewrite(ctx, claim.ShardOf(attempt.Key, attempt.CreatedAt), 50*time.Millisecond)
	f.Finish(attempt, http.StatusOK)
	require.Eventually(t, func() bool { return f.entry(attempt).State == claim.Done }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, f.entry(attempt).Status)
}
