package node

import (
	"context"
	"errors"
	"time"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/objectstore"
)

const (
	registerInterval = 2 * time.Second
	// removalTimeout is the time without a sign of life after which an instance of the own hall
	// is removed from the store's list of instances.
	removalTimeout = time.Minute
	// sweepInterval is the least time between deletions of expired claims.
	sweepInterval = 5 * time.Minute
)

// registerLoop maintains the record of the instance in the store, writes a lost configuration
// again, removes the records of dead instances of the own hall, and deletes expired claims.
func (n *Node) registerLoop(ctx context.Context) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	for {
		n.register(ctx)
		n.rewriteConfig(ctx)
		n.removeDeadInstances(ctx)
		if time.Since(lastSweep) > sweepInterval {
			lastSweep = time.Now()
			n.sweepClaims(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// register writes the record of the instance if the store's record differs or may have been
// lost.
func (n *Node) register(ctx context.Context) {
	key := InstancePrefix + n.self.ID
	n.mu.Lock()
	want := n.self
	want.Leaving = n.leaving
	stored := n.objects.byKey[key]
	lost := objectstore.IsLaterEra(n.revision, stored.Version)
	n.mu.Unlock()
	if isRegistered(stored, want) && !lost {
		return
	}
	version := stored.Version
	if stored.Deleted {
		version = 0
	}
	obj, err := n.store.Put(ctx, key, version, want)
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		n.applyObjects([]objectstore.Object{obj})
	case errors.As(err, &conflict):
		n.applyObjects([]objectstore.Object{conflict.Current})
	default:
		n.log.Debug("registration failed", "error", err.Error())
	}
}

func isRegistered(obj objectstore.Object, want member.Instance) bool {
	if obj.Deleted || len(obj.Value) == 0 {
		return false
	}
	var stored member.Instance
	return decodeInto(obj, &stored) == nil && stored == want
}

// removeDeadInstances removes the records of instances of the own hall that have been
// unresponsive for removalTimeout. An instance that is still alive registers again.
func (n *Node) removeDeadInstances(ctx context.Context) {
	now := time.Now()
	var dead []objectstore.Object
	n.mu.Lock()
	for _, s := range n.view.All(now) {
		unresponsive := now.Sub(s.LastAlive) > removalTimeout
		obj, listed := n.objects.byKey[InstancePrefix+s.ID]
		if s.Hall == n.self.Hall && unresponsive && listed && !obj.Deleted {
			dead = append(dead, obj)
		}
	}
	n.mu.Unlock()
	for _, obj := range dead {
		err := n.store.Delete(ctx, obj.Key, obj.Version)
		n.log.Info("removal of an unresponsive instance", "key", obj.Key, "error", errText(err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sweepClaims deletes the shards whose retention has ended. Only one instance does so, the
// writer of the first shard.
func (n *Node) sweepClaims(ctx context.Context) {
	if !n.claims.isWriter(0) {
		return
	}
	for _, prefix := range claim.ExpiredSlicePrefixes(time.Now(), 2*sweepInterval) {
		listing, err := n.store.List(ctx, prefix)
		if err != nil {
			return
		}
		for _, obj := range listing.Objects {
			_ = n.store.Delete(ctx, obj.Key, obj.Version)
		}
	}
}
