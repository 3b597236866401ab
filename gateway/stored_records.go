package gateway

import (
	"context"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/quarantine"
)

const (
	// storeAttempts and storeRetryInterval bound how long writing a record is retried: one minute,
	// which outlasts most outages of the store. Until it is stored, the instances hold the record
	// in memory.
	storeAttempts      = 20
	storeRetryInterval = 3 * time.Second
	// maxPendingWrites bounds the concurrent writes, for a caller that sends many requests that
	// crash targets.
	maxPendingWrites = 8
)

// storeRecords writes the records of requests with a failed trial to the store, so that these
// requests stay held after a restart of all instances. Without the store, a full restart would lose
// the number of sends, and at most three sends may follow the third crash.
func (g *Gateway) storeRecords(now time.Time, digests []quarantine.Digest) {
	for _, d := range digests {
		g.quarantine.mu.Lock()
		record, ok := g.quarantine.table.StoredRecord(now, time.Now(), d)
		g.quarantine.mu.Unlock()
		if ok {
			g.storeRecord(record)
		}
	}
}

// storeRelease writes to the store that a request was answered, which releases it.
func (g *Gateway) storeRelease(d quarantine.Digest) {
	g.storeRecord(quarantine.StoredRecord{Digest: d, Released: time.Now().UnixMilli(), ReleasedBy: g.config.Name})
}

// storeRecord writes a record in the background. It drops the record if too many writes are
// pending.
func (g *Gateway) storeRecord(record quarantine.StoredRecord) {
	if g.quarantine.pendingWrites.Add(1) > maxPendingWrites {
		g.quarantine.pendingWrites.Add(-1)
		g.log.Warn(logRecordNotStored, "content", record.Digest.String(), "error", "too many writes under way")
		return
	}
	g.startGoroutine(func() {
		defer g.quarantine.pendingWrites.Add(-1)
		g.createRecord(record)
	})
}

func (g *Gateway) createRecord(record quarantine.StoredRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), storeAttempts*storeRetryInterval)
	defer cancel()
	var err error
	for !g.leaving.Load() && ctx.Err() == nil {
		err = g.store.Create(ctx, KindTable, record.Key(), record)
		if err == nil {
			return
		}
		pause.For(ctx, storeRetryInterval)
	}
	if err != nil {
		g.log.Warn(logRecordNotStored, "content", record.Digest.String(), "error", err.Error())
	}
}

// applyStoredRecord merges a record of a held request from the store. The caller holds mu.
func (g *Gateway) applyStoredRecord(c feed.Change, from provenance) {
	if c.Removed {
		return
	}
	record, err := quarantine.ParseStoredRecord(c.Name, c.Value)
	if err != nil {
		g.metrics.refusedEntries.Add(1, string(KindTable), "entry")
		g.log.Error(logStoredRecordRefused, "name", c.Name, "error", err.Error(), "source", from.source, "revision", from.revision)
		return
	}
	update, ok := record.Update(time.Now())
	if !ok {
		return
	}
	now := g.clock.Now()
	g.quarantine.mu.Lock()
	changed := g.quarantine.table.Merge(now, quarantine.Updates{update})
	g.quarantine.updateNonEmpty()
	g.quarantine.mu.Unlock()
	if record.Released > 0 {
		g.log.Info(logRequestReleased, "content", record.Digest.String(), "who", record.ReleasedBy)
		return
	}
	g.logSuspects(now, changed, sourceStore)
}

// removeExpiredRecord removes one expired record from the store. Only the first watcher of a region
// removes records.
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

// expiredRecord returns the name of an expired record in the store, and false if there is none or
// another instance removes it.
func (g *Gateway) expiredRecord(now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.watch.isWatching() || !g.view.IsFirstWatcher(now) {
		return "", false
	}
	expired := ""
	g.replicas[KindTable].Range(func(o feed.Object) {
		record, err := quarantine.ParseStoredRecord(o.Name, o.Value)
		if err == nil && record.Expired(time.Now()) {
			expired = o.Name
		}
	})
	return expired, expired != ""
}

// releaseRank returns 1 for a record that releases a held request and 0 otherwise. Sorting by it
// puts releases last.
func releaseRank(c feed.Change) int {
	record, err := quarantine.ParseStoredRecord(c.Name, c.Value)
	if err != nil || record.Released == 0 {
		return 0
	}
	return 1
}
