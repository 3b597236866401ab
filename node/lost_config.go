package node

import (
	"context"
	"encoding/json"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/objectstore"
)

// reconcileConfig reports whether the configuration in obj is already in force. After a restore
// from a backup, the store may hold an earlier configuration than the one that was accepted. In
// this case reconcileConfig replaces the value in obj by the accepted one, which remains in
// force, and marks it to be written to the store again. The caller holds n.mu.
func (n *Node) reconcileConfig(obj *objectstore.Object) bool {
	held := n.objects.byKey[config.Key]
	if held.Version == 0 || obj.Version <= held.Version {
		return false
	}
	n.configLost = objectstore.IsLaterEra(obj.Version, held.Version) &&
		(obj.Deleted || config.Supersedes(config.Key, held.Value, obj.Value))
	if n.configLost {
		n.log.Warn("object store has lost the configuration in force", "object_version", obj.Version, "in_force", n.Version())
		obj.Value, obj.Deleted = held.Value, false
		return true
	}
	return config.SameLatestChange(held.Value, obj.Value)
}

// rewriteConfig writes the accepted configuration to a store that has lost it. Only one
// instance does so, the writer of the first shard of claims.
func (n *Node) rewriteConfig(ctx context.Context) {
	n.mu.Lock()
	held := n.objects.byKey[config.Key]
	lost := n.configLost || held.Version > 0 && objectstore.IsLaterEra(n.revision, held.Version)
	n.mu.Unlock()
	if !lost || !n.claims.isWriter(0) {
		return
	}
	obj, err := n.store.Put(ctx, config.Key, held.Version, json.RawMessage(held.Value))
	if err != nil {
		// If another instance has written the configuration, the watch delivers it.
		n.log.Warn("rewriting the configuration failed", "error", err.Error())
		return
	}
	n.log.Info("configuration rewritten", "object_version", obj.Version)
	n.applyObjects([]objectstore.Object{obj})
}
