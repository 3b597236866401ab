package claim

import "time"

// TokenBucket bounds the writes of one instance: Rate a second with bursts of Burst.
type TokenBucket struct {
	Rate  float64
	Burst float64

	tokens    float64
	updatedAt time.Time
}

// Allow takes one write if the pace permits it. If not, it returns how long to
// wait.
func (b *TokenBucket) Allow(now time.Time) (bool, time.Duration) {
	if b.updatedAt.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+now.Sub(b.updatedAt).Seconds()*b.Rate)
	}
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.Rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / b.Rate * float64(time.Second))
}

// Queue groups operations by shard until they are written. The zero value is
// ready. It is not safe for concurrent use.
type Queue struct {
	shards       map[ShardID]*shardQueue
	lastSequence int64
}

type shardQueue struct {
	// sequence numbers the oldest operation, so that shards are served in the
	// order of their oldest claim.
	sequence int64
	urgent   bool
	ops      []Op
	writing  bool
}

// MaxBatch bounds the operations of one write, so that the shard's growth by
// one write stays far below the platform's value limit.
const MaxBatch = 512

// Add queues an operation of a shard. An operation that a caller waits for is
// urgent; others wait for an urgent one or for a call of Next with all set.
func (q *Queue) Add(shard ShardID, op Op, urgent bool) {
	if q.shards == nil {
		q.shards = make(map[ShardID]*shardQueue)
	}
	p := q.shards[shard]
	if p == nil {
		q.lastSequence++
		p = &shardQueue{sequence: q.lastSequence}
		q.shards[shard] = p
	}
	p.ops = append(p.ops, op)
	p.urgent = p.urgent || urgent
}

// Withdraw takes an operation that is not being written out of the queue. It
// reports whether it was there.
func (q *Queue) Withdraw(shard ShardID, op Op) bool {
	p := q.shards[shard]
	if p == nil {
		return false
	}
	for i := range p.ops {
		if p.ops[i] == op {
			p.ops = append(p.ops[:i], p.ops[i+1:]...)
			return true
		}
	}
	return false
}

// HasBatch tells whether Next would return a batch of a number.
func (q *Queue) HasBatch(number int, all bool) bool {
	for id, p := range q.shards {
		if id.Number == number && p.ready(all) {
			return true
		}
	}
	return false
}

// Idle tells whether nothing is queued or being written.
func (q *Queue) Idle() bool { return len(q.shards) == 0 }

func (p *shardQueue) ready(all bool) bool {
	return !p.writing && len(p.ops) > 0 && (p.urgent || all)
}

// NextBatch returns the operations to write next, of the shard that has waited
// longest among those of a number. Unless all is set only shards with an urgent
// operation count. The caller must call Written when the write has ended.
func (q *Queue) NextBatch(number int, all bool) (ShardID, []Op) {
	var best ShardID
	var oldest *shardQueue
	for id, p := range q.shards {
		if id.Number == number && p.ready(all) && (oldest == nil || p.sequence < oldest.sequence) {
			best, oldest = id, p
		}
	}
	if oldest == nil {
		return ShardID{}, nil
	}
	n := min(len(oldest.ops), MaxBatch)
	batch := append([]Op(nil), oldest.ops[:n]...)
	oldest.ops = append(oldest.ops[:0], oldest.ops[n:]...)
	oldest.urgent = len(oldest.ops) > 0
	oldest.writing = true
	return best, batch
}

// BatchDone ends the write of a shard's batch.
func (q *Queue) BatchDone(shard ShardID) {
	p := q.shards[shard]
	if p == nil {
		return
	}
	p.writing = false
	if len(p.ops) == 0 {
		delete(q.shards, shard)
		return
	}
	q.lastSequence++
	p.sequence = q.lastSequence
}
