package gateway

import (
	"context"
	"encoding/json"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/pause"
)

// updateRegisteredCapacity writes the capacity of this instance to its entry in the store, with
// retries, if an earlier process has registered another one. Instances of other regions know the
// capacity mainly from the store.
func (g *Gateway) updateRegisteredCapacity(ctx context.Context) {
	wait := minRetryInterval
	for ctx.Err() == nil && g.registeredCapacityDiffers() {
		done, err := g.writeCapacity(ctx)
		if done {
			return
		}
		if err != nil {
			g.log.Warn(logNotRegistered, "error", err.Error())
		}
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryInterval)
	}
}

// registeredCapacityDiffers reports whether the entry of this instance is known to state another
// capacity.
func (g *Gateway) registeredCapacityDiffers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	registered, ok := g.registered[g.config.Name]
	return ok && registered.Capacity != g.view.Self().Capacity
}

// writeCapacity writes the capacity to the entry of this instance. It reports whether the store
// holds it, or holds no entry that this instance could have written.
func (g *Gateway) writeCapacity(ctx context.Context) (done bool, err error) {
	stored, err := g.store.Get(ctx, KindInstances, g.config.Name)
	if err != nil {
		return false, err
	}
	var m fleet.Member
	if stored.Revision == 0 || json.Unmarshal(stored.Value, &m) != nil || m.Name != g.config.Name {
		return true, nil
	}
	capacity := g.view.Self().Capacity
	if m.Capacity == capacity {
		return true, nil
	}
	m.Capacity = capacity
	stored.Value, err = json.Marshal(m)
	if err != nil {
		return false, err
	}
	err = g.store.Replace(ctx, KindInstances, stored)
	return err == nil, err
}
