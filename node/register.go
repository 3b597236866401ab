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
	// removalTimeout is the silence after which an instance of the own hall is
	// taken off the platform's list.
	removalTimeout = time.Minute
	// sweepInterval is the time between two looks for claims that have expired.
	sweepInterval = 5 * time.Minute
)

// registerLoop keeps the instance on the platform's list, takes dead instances
// of its hall off it, and deletes expired claims.
func (n *Node) registerLoop(ctx context.Context) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	swept := time.Now()
	for {
		n.register(ctx)
		n.rewriteConfig(ctx)
		n.removeDeadInstances(ctx)
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			n.sweepClaims(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// register writes the instance's record if the platform's differs.
func (n *Node) register(ctx context.Context) {
	key := InstancePrefix + n.self.ID
	n.mu.Lock()
	want := n.self
	want.Leaving = n.leaving
	have := n.objects.byKey[key]
	lost := objectstore.IsLaterEra(n.revision, have.Version)
	n.mu.Unlock()
	if isRegistered(have, want) && !lost {
		return
	}
	version := have.Version
	if have.Deleted {
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
		n.log.Debug("register", "error", err.Error())
	}
}

func isRegistered(obj objectstore.Object, want member.Instance) bool {
	if obj.Deleted || len(obj.Value) == 0 {
		return false
	}
	var have member.Instance
	return decodeInto(obj, &have) == nil && have == want
}

// removeDeadInstances takes instances of the own hall off the list that have been
// silent for long. One that lives after all puts itself back.
func (n *Node) removeDeadInstances(ctx context.Context) {
	now := time.Now()
	var dead []objectstore.Object
	n.mu.Lock()
	for _, s := range n.view.All(now) {
		silent := now.Sub(s.LastAlive) > removalTimeout
		obj, listed := n.objects.byKey[InstancePrefix+s.ID]
		if s.Hall == n.self.Hall && silent && listed && !obj.Deleted {
			dead = append(dead, obj)
		}
	}
	n.mu.Unlock()
	for _, obj := range dead {
		err := n.store.Delete(ctx, obj.Key, obj.Version)
		n.log.Info("instance removed", "key", obj.Key, "error", errText(err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sweepClaims deletes the shards whose keys are too old to be taken. One
// instance does it, the writer of the first shard.
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
