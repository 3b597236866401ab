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

// claimWriter records claims in the object store, with many claims in one write. It implements
// entry.Claims.
//
// All instances send the claims of a shard to one instance, the shard's writer. The number of
// writes therefore grows with time, and not with the number of instances or claims. If an
// instance gets no reply from the writer in time, it writes the claim itself. This is safe
// because applying an operation twice has the same effect as applying it once.
type claimWriter struct {
	self   string
	store  *objectstore.Client
	mesh   *peer.Mesh
	budget float64
	log    *slog.Logger

	// platformUp is false while this instance cannot reach the store.
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

// shardWriter is the instance that writes the shards with a given number.
type shardWriter struct{ id, addr string }

// pendingClaim is an operation on a claim that waits for its reply.
type pendingClaim struct {
	// reply is called with the reply. When the attempt stops waiting, the pendingClaim is
	// removed, and a claim that is granted afterwards is released.
	reply func(claim.Reply)
	op    claim.Op
}

// shardState is the last known state of a shard in the store.
type shardState struct {
	shard   claim.Shard
	version int64
	used    time.Time
}

const (
	writeBurst = 2
	// flushInterval is the time between writes of operations that end claims, if no operation
	// that acquires a claim causes an earlier write of the shard.
	flushInterval = 250 * time.Millisecond
	retryDelay    = 100 * time.Millisecond
	// shardCacheTTL bounds the time for which an unused shard remains cached in memory.
	shardCacheTTL = time.Minute
	// writerTimeout bounds the wait for a reply of another instance.
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

// setInstances determines the writers among the live instances. The map addrs holds their peer
// addresses by ID and includes this instance.
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
			// All instances that may write in place of the writer share one rate. Otherwise a
			// slow writer would cause a burst of writes from all others.
			c.limiters[i].Rate /= float64(len(ids))
		}
	}
}

// isWriter reports whether this instance writes the shards with the given number.
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
	shard := claim.ShardOf(a.Key, a.CreatedAt)
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
			// This instance cannot reach the store either.
			return c.abandon(a, shard, op, replies)
		}
		// The writer is unresponsive or cannot reach the store. This instance may be able to.
		c.log.Debug("claim writer did not write the claim; writing it directly", "writer", writer.id)
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

// abandon ends the wait for a claim. It queues a release, in case the claim is granted later by
// this instance or by the shard's writer.
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

// recordEnd records the end of a claim in the background, through the shard's writer if there
// is one.
func (c *claimWriter) recordEnd(a entry.OperationAttempt, op claim.Op) {
	shard := claim.ShardOf(a.Key, a.CreatedAt)
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

// endReplyID returns the reply ID of an operation that ends a claim. The reply ID of an
// operation that acquires a claim is its owner.
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

// serve writes a claim for another instance and sends the reply once the claim is stored.
func (c *claimWriter) serve(addr string, msg *peer.Claim) {
	c.mu.Lock()
	c.pending[replyID(msg.Op)] = &pendingClaim{op: msg.Op, reply: func(r claim.Reply) {
		c.mesh.Send(addr, &peer.ClaimReply{Owner: replyID(msg.Op), Reply: r})
	}}
	c.mu.Unlock()
	c.enqueue(msg.Shard, msg.Op, msg.Op.Kind == claim.Acquire)
}

// handleReply handles the reply of a shard's writer.
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
