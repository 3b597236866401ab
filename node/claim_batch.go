package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/objectstore"
)

// run starts writes of batches until ctx ends.
func (c *claimWriter) run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	defer c.wg.Wait()
	for {
		all := false
		select {
		case <-c.wake:
		case <-ticker.C:
			all = true
		case <-ctx.Done():
			return
		}
		for number := range claim.ShardsPerSlice {
			c.startWrites(ctx, number, all)
		}
	}
}

// startWrites starts writes of the shards with the given number, as far as operations are ready
// and the rate limit permits. If all is set, operations that are not urgent are written too.
func (c *claimWriter) startWrites(ctx context.Context, number int, all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queue.HasBatch(number, all) {
		ok, wait := c.limiters[number].Allow(time.Now())
		if !ok {
			time.AfterFunc(wait, c.wakeUp)
			return
		}
		shard, ops := c.queue.NextBatch(number, all)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.write(ctx, shard, ops)
			c.wakeUp()
		}()
	}
}

// write applies ops to a shard and writes it to the store. It retries until the result of the
// write is known or ctx ends, because a write with an unknown result may still take effect.
func (c *claimWriter) write(ctx context.Context, id claim.ShardID, ops []claim.Op) {
	c.mu.Lock()
	state := c.shards[id]
	c.mu.Unlock()
	uncertain := false
	delay := writeDelay{log: c.log, shard: id, ops: len(ops), began: time.Now()}
	defer delay.end()
	for {
		next, replies := applyAll(state.shard, ops)
		obj, err := c.store.Put(ctx, id.ObjectKey(), state.version, next)
		var conflict *objectstore.ConflictError
		switch {
		case err == nil:
			c.completeBatch(id, shardState{shard: next, version: obj.Version, used: time.Now()}, ops, replies)
			return
		case errors.As(err, &conflict):
			// The store has a newer version, so an earlier write that was based on an older
			// version can no longer take effect.
			uncertain = false
			delay.conflict()
			state = resolveConflict(state, conflict.Current)
			if c.awaitToken(ctx, id.Number) {
				state = c.refresh(ctx, id, state)
			}
		case ctx.Err() != nil:
			return
		default:
			c.log.Debug("claim write failed", "shard", id.ObjectKey(), "error", err.Error())
			uncertain = uncertain || errors.Is(err, objectstore.ErrUncertain)
			if !uncertain {
				c.failBatch(id, ops)
				return
			}
			delay.check()
			pause.For(ctx, retryDelay)
		}
	}
}

// awaitToken waits until the rate limit permits another write of a shard with the given number. It
// reports whether it had to wait.
func (c *claimWriter) awaitToken(ctx context.Context, number int) (waited bool) {
	for ctx.Err() == nil {
		c.mu.Lock()
		ok, wait := c.limiters[number].Allow(time.Now())
		c.mu.Unlock()
		if ok {
			return waited
		}
		waited = true
		pause.For(ctx, wait)
	}
	return waited
}

// refresh reads a shard again and returns its state in the store, or the known state if that is as new.
// Without it, a write that has to wait for the rate limit would conflict again and again while another
// instance writes the shard more often.
func (c *claimWriter) refresh(ctx context.Context, id claim.ShardID, known shardState) shardState {
	obj, err := c.store.Get(ctx, id.ObjectKey())
	if err != nil {
		c.log.Debug("reading claims failed", "shard", id.ObjectKey(), "error", err.Error())
		return known
	}
	if obj.Version <= known.version {
		return known
	}
	return resolveConflict(known, obj)
}

// failBatch ends a batch that the store did not accept. Operations that acquire a claim get the
// reply NotWritten, so that no attempt waits for them. Operations that end a claim are queued
// again, so that they do not delay the shard's next claim.
func (c *claimWriter) failBatch(id claim.ShardID, ops []claim.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.BatchDone(id)
	for _, op := range ops {
		if op.Kind == claim.Acquire {
			c.deliverReply(replyID(op), claim.Reply{Result: claim.NotWritten})
		} else {
			c.queue.Add(id, op, false)
		}
	}
}

// applyAll returns the shard after all ops, and their replies. It does not modify its argument.
func applyAll(shard claim.Shard, ops []claim.Op) (claim.Shard, []claim.Reply) {
	next := claim.Shard{Entries: make(map[string]claim.Entry, len(shard.Entries)+len(ops))}
	for k, v := range shard.Entries {
		next.Entries[k] = v
	}
	replies := make([]claim.Reply, len(ops))
	for i, op := range ops {
		replies[i] = next.Apply(op)
	}
	return next, replies
}

// resolveConflict returns the state of a shard after a write conflict. If the store was
// restored from a backup since the known state was read, the claims that it lost are merged
// into the state.
func resolveConflict(known shardState, current objectstore.Object) shardState {
	state := decodeShard(current)
	if objectstore.IsLaterEra(current.Version, known.version) {
		state.shard = claim.Merge(known.shard, state.shard)
	}
	return state
}

func decodeShard(obj objectstore.Object) shardState {
	state := shardState{version: obj.Version}
	if len(obj.Value) > 0 {
		_ = json.Unmarshal(obj.Value, &state.shard)
	}
	return state
}

// completeBatch delivers the replies of a batch that has been written.
func (c *claimWriter) completeBatch(id claim.ShardID, state shardState, ops []claim.Op, replies []claim.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards[id] = state
	for other, s := range c.shards {
		if time.Since(s.used) > shardCacheTTL {
			delete(c.shards, other)
		}
	}
	for i, op := range ops {
		c.deliverReply(replyID(op), replies[i])
	}
	c.queue.BatchDone(id)
}

// flush waits until no operation is queued, being written or waiting for a reply, or ctx ends.
func (c *claimWriter) flush(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		idle := c.queue.Idle() && len(c.pending) == 0
		c.mu.Unlock()
		if idle {
			return
		}
		pause.For(ctx, retryDelay)
	}
}
