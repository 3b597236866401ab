package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/quarantine"
)

const (
	// storeAttempts and keepPause bound how long a held request is tried to be kept in the
	// store: a minute, over most outages. Until then the instances know it.
	storeAttempts      = 20
	storeRetryInterval = 3 * time.Second
	// maxPendingWrites bounds the writes under way, for a caller that has many such requests.
	maxPendingWrites = 8
)

// storeRecords has the store keep what is known of requests of which a trial has failed, so that they
// are still held when all instances have ended at once: three sends may follow the third end
// of a target, whoever has forgotten it.
func (g *Gateway) storeRecords(now time.Time, digests []quarantine.Digest) {
	for _, d := range digests {
		g.quarantine.mu.Lock()
		kept, ok := g.quarantine.table.StoredRecord(now, time.Now(), d)
		g.quarantine.mu.Unlock()
		if ok {
			g.storeRecord(kept)
		}
	}
}

// storeRelease has the store keep that a request was answered.
func (g *Gateway) storeRelease(d quarantine.Digest) {
	g.storeRecord(quarantine.StoredRecord{Digest: d, Released: time.Now().UnixMilli(), ReleasedBy: g.config.Name})
}

// storeRecord creates an object in the store, unless too many writes are under way.
func (g *Gateway) storeRecord(kept quarantine.StoredRecord) {
	if g.quarantine.pendingWrites.Add(1) > maxPendingWrites {
		g.quarantine.pendingWrites.Add(-1)
		g.log.Warn(logRecordNotStored, "content", kept.Digest.String(), "error", "too many writes under way")
		return
	}
	g.startGoroutine(func() {
		defer g.quarantine.pendingWrites.Add(-1)
		g.createRecord(kept)
	})
}

func (g *Gateway) createRecord(kept quarantine.StoredRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), storeAttempts*storeRetryInterval)
	defer cancel()
	var err error
	for !g.leaving.Load() && ctx.Err() == nil {
		err = g.store.Create(ctx, KindTable, kept.Key(), kept)
		if err == nil {
			return
		}
		pause.For(ctx, storeRetryInterval)
	}
	if err != nil {
		g.log.Warn(logRecordNotStored, "content", kept.Digest.String(), "error", err.Error())
	}
}

// applyStoredRecord takes in what the store keeps of a held request. The caller holds mu.
func (g *Gateway) applyStoredRecord(c feed.Change, from provenance) {
	if c.Removed {
		return
	}
	kept, err := quarantine.ParseStoredRecord(c.Name, c.Value)
	if err != nil {
		g.metrics.refusedEntries.Add(1, string(KindTable), "entry")
		g.log.Error(logStoredRecordRefused, "name", c.Name, "error", err.Error(), "source", from.source, "revision", from.revision)
		return
	}
	facts, ok := kept.Update(time.Now())
	if !ok {
		return
	}
	now := g.clock.Now()
	g.quarantine.mu.Lock()
	learned := g.quarantine.table.Merge(now, quarantine.Updates{facts})
	g.quarantine.updateNonEmpty()
	g.quarantine.mu.Unlock()
	if kept.Released > 0 {
		g.log.Info(logRequestReleased, "content", kept.Digest.String(), "who", kept.ReleasedBy)
		return
	}
	g.logSuspects(now, learned, sourceStore)
}

// removeExpiredRecord removes an object of the store that says nothing any more, one at a time. The
// first watcher of a region does it.
func (g *Gateway) removeExpiredRecord(ctx context.Context, now time.Time) {
	name, ok := g.expiredRecord(now)
	if !ok {
		return
	}
	err := g.store.Remove(ctx, KindTable, name)
	if err != nil {
		g.log.Warn(logRecordNotStored, "name", name, "error", err.Error())
	}
}

// expiredRecord returns the name of such an object.
func (g *Gateway) expiredRecord(now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.watch.isWatching() || !g.view.IsFirstWatcher(now) {
		return "", false
	}
	over := ""
	g.replicas[KindTable].Range(func(o feed.Object) {
		kept, err := quarantine.ParseStoredRecord(o.Name, o.Value)
		if err == nil && kept.Expired(time.Now()) {
			over = o.Name
		}
	})
	return over, over != ""
}

// releaseRank returns 1 for an object that releases a held request, else 0.
func releaseRank(c feed.Change) int {
	kept, err := quarantine.ParseStoredRecord(c.Name, c.Value)
	if err != nil || kept.Released == 0 {
		return 0
	}
	return 1
}
