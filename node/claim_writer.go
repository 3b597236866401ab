package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/entry"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/peer"
)

// claimWriter records claims in the platform, many in one write. It implements
// entry.Claims.
//
// The claims of all instances for one shard go to one of them, its writer, so
// that the platform's writes grow with time and not with instances or claims.
// An instance that gets no reply from the writer writes by itself: the same
// operation applied twice is applied once.
type claimWriter struct {
	self   string
	store  *objectstore.Client
	mesh   *peer.Mesh
	budget float64
	log    *slog.Logger

	// platformUp is false while the platform does not answer this instance.
	platformUp atomic.Bool

	mu       sync.Mutex
	queue    claim.Queue
	limiters [claim.ShardsPerSlice]claim.TokenBucket
	writers  [claim.ShardsPerSlice]shardWriter
	pending  map[string]*pendingClaim
	shards   map[claim.ShardID]shardState
	wake     chan struct{}
	wg       sync.WaitGroup
}

// shardWriter is the writer of the shards of a number.
type shardWriter struct{ id, addr string }

// pendingClaim is an attempt that waits for its claim.
type pendingClaim struct {
	// reply is nil once nobody waits any more: a claim that is granted later
	// is released.
	reply func(claim.Reply)
	op    claim.Op
}

// shardState is the last known state of a shard.
type shardState struct {
	shard   claim.Shard
	version int64
	used    time.Time
}

const (
	writeBurst = 2
	// flushInterval is how often the ends of claims are written if no claim
	// takes them along.
	flushInterval = 250 * time.Millisecond
	retryDelay    = 100 * time.Millisecond
	// shardCacheTTL bounds the shards kept in memory.
	shardCacheTTL = time.Minute
	// writerTimeout is how long to wait for another instance's reply.
	writerTimeout  = 600 * time.Millisecond
	acquireTimeout = 1500 * time.Millisecond
)

func newClaimWriter(self string, client *objectstore.Client, mesh *peer.Mesh, budget float64, log *slog.Logger) *claimWriter {
	c := &claimWriter{
		self:    self,
		store:   client,
		mesh:    mesh,
		budget:  budget,
		log:     log,
		pending: make(map[string]*pendingClaim),
		shards:  make(map[claim.ShardID]shardState),
		wake:    make(chan struct{}, 1),
	}
	c.platformUp.Store(true)
	for i := range c.limiters {
		c.limiters[i] = claim.TokenBucket{Rate: budget / claim.ShardsPerSlice, Burst: writeBurst}
	}
	return c
}

// setInstances chooses the writers among the instances that are alive. Addrs
// gives their peer addresses by ID, with this instance's own.
func (c *claimWriter) setInstances(addrs map[string]string) {
	ids := make([]string, 0, len(addrs))
	for id := range addrs {
		ids = append(ids, id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.writers {
		id := claim.WriterFor(i, ids)
		c.writers[i] = shardWriter{id: id, addr: addrs[id]}
		c.limiters[i].Rate = c.budget / claim.ShardsPerSlice
		if id != c.self {
			// All that write in the writer's place share one budget, so
			// that a slow writer is not followed by a rush of all others.
			c.limiters[i].Rate /= float64(len(ids))
		}
	}
}

// isWriter tells whether this instance writes the shards of a number.
func (c *claimWriter) isWriter(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writers[number].id == c.self
}

func newOp(verb claim.OpKind, a entry.OperationAttempt) claim.Op {
	return claim.Op{Kind: verb, Key: a.Key, Owner: a.Owner, Attempt: a.Number}
}

// Acquire implements entry.Claims.
func (c *claimWriter) Acquire(ctx context.Context, a entry.OperationAttempt) (claim.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	shard := claim.ShardOf(a.Key, a.Made)
	op := newOp(claim.Acquire, a)
	replies := make(chan claim.Reply, 1)
	wait := &pendingClaim{op: op, reply: func(r claim.Reply) { replies <- r }}
	c.mu.Lock()
	c.pending[a.Owner] = wait
	writer := c.writers[shard.Number]
	c.mu.Unlock()
	if writer.id != "" && writer.id != c.self {
		c.mesh.Send(writer.addr, &peer.Claim{Shard: shard, Op: op, Timeout: writerTimeout})
		reply, ok := awaitReply(ctx, replies, writerTimeout)
		if ok && reply.Result != claim.NotWritten {
			return reply, nil
		}
		if !c.platformUp.Load() {
			// The platform does not answer this instance either.
			return c.abandon(a, shard, op, replies)
		}
		// The writer is silent or cut off from the platform; this instance
		// may not be.
		c.log.Debug("claim writer of no use", "writer", writer.id)
		c.mu.Lock()
		c.pending[a.Owner] = wait
		c.mu.Unlock()
	}
	c.enqueue(shard, op, true)
	reply, ok := awaitReply(ctx, replies, acquireTimeout)
	if ok && reply.Result != claim.NotWritten {
		return reply, nil
	}
	return c.abandon(a, shard, op, replies)
}

func awaitReply(ctx context.Context, replies <-chan claim.Reply, timeout time.Duration) (claim.Reply, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return claim.Reply{}, false
}

// abandon ends the wait for a claim. Should the claim be granted yet, here or
// at the writer, it is released.
func (c *claimWriter) abandon(a entry.OperationAttempt, shard claim.ShardID, op claim.Op, replies <-chan claim.Reply) (claim.Reply, error) {
	c.mu.Lock()
	select {
	case reply := <-replies:
		if reply.Result != claim.NotWritten {
			c.mu.Unlock()
			return reply, nil
		}
	default:
	}
	delete(c.pending, a.Owner)
	c.queue.Withdraw(shard, op)
	c.queue.Add(shard, newOp(claim.Release, a), false)
	c.mu.Unlock()
	return claim.Reply{}, objectstore.ErrUnavailable
}

// Finish implements entry.Claims.
func (c *claimWriter) Finish(a entry.OperationAttempt, status int) {
	op := newOp(claim.Finish, a)
	op.Status = status
	c.recordEnd(a, op)
}

// Release implements entry.Claims.
func (c *claimWriter) Release(a entry.OperationAttempt) { c.recordEnd(a, newOp(claim.Release, a)) }

// recordEnd has the end of a claim written, by the shard's writer if there is one.
func (c *claimWriter) recordEnd(a entry.OperationAttempt, op claim.Op) {
	shard := claim.ShardOf(a.Key, a.Made)
	c.mu.Lock()
	writer := c.writers[shard.Number]
	c.mu.Unlock()
	if writer.id == "" || writer.id == c.self {
		c.enqueue(shard, op, false)
		return
	}
	c.mu.Lock()
	c.pending[endReplyID(op)] = &pendingClaim{op: op, reply: func(claim.Reply) {}}
	c.mu.Unlock()
	c.mesh.Send(writer.addr, &peer.Claim{Shard: shard, Op: op, Timeout: writerTimeout})
	time.AfterFunc(writerTimeout, func() {
		c.mu.Lock()
		_, open := c.pending[endReplyID(op)]
		c.mu.Unlock()
		if open {
			c.enqueue(shard, op, false)
		}
	})
}

// endReplyID is the name under which the end of a claim waits. Takes wait under
// the owner's name.
func endReplyID(op claim.Op) string { return op.Owner + "/end" }

func replyID(op claim.Op) string {
	if op.Kind == claim.Acquire {
		return op.Owner
	}
	return endReplyID(op)
}

func (c *claimWriter) enqueue(shard claim.ShardID, op claim.Op, urgent bool) {
	c.mu.Lock()
	c.queue.Add(shard, op, urgent)
	c.mu.Unlock()
	if urgent {
		c.wakeUp()
	}
}

// serve writes a claim for another instance, and answers once it is in force.
func (c *claimWriter) serve(addr string, msg *peer.Claim) {
	c.mu.Lock()
	c.pending[replyID(msg.Op)] = &pendingClaim{op: msg.Op, reply: func(r claim.Reply) {
		c.mesh.Send(addr, &peer.ClaimReply{Owner: replyID(msg.Op), Reply: r})
	}}
	c.mu.Unlock()
	c.enqueue(msg.Shard, msg.Op, msg.Op.Kind == claim.Acquire)
}

// handleReply takes in the reply of a writer.
func (c *claimWriter) handleReply(msg *peer.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliverReply(msg.Owner, msg.Reply)
}

func (c *claimWriter) deliverReply(name string, reply claim.Reply) {
	w := c.pending[name]
	if w == nil {
		return
	}
	delete(c.pending, name)
	w.reply(reply)
}

func (c *claimWriter) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
