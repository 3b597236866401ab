package node

import (
	"context"
	"encoding/json"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/objectstore"
)

// reconcileConfig tells whether the configuration's object brings nothing that is not in force. A platform that came
// back from a copy may hold an earlier state of it than was accepted: then obj is made to hold the accepted
// one, which goes on to count and is to be written again. The caller holds mu.
func (n *Node) reconcileConfig(obj *objectstore.Object) bool {
	held := n.objects.byKey[config.Key]
	if held.Version == 0 || obj.Version <= held.Version {
		return false
	}
	n.configLost = objectstore.IsLaterEra(obj.Version, held.Version) &&
		(obj.Deleted || config.Supersedes(config.Key, held.Value, obj.Value))
	if n.configLost {
		n.log.Warn("configuration lost by the platform", "object_version", obj.Version, "in_force", n.Version())
		obj.Value, obj.Deleted = held.Value, false
		return true
	}
	return config.SameLatestChange(held.Value, obj.Value)
}

// rewriteConfig has a platform that has lost the accepted configuration hold it again. One instance does it,
// the writer of the first shard of claims.
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
		// The watch brings what another one has written.
		n.log.Warn("configuration not written again", "error", err.Error())
		return
	}
	n.log.Info("configuration written again", "object_version", obj.Version)
	n.applyObjects([]objectstore.Object{obj})
}
