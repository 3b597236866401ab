package claim

import "time"

// TokenBucket limits the writes of one instance to Rate per second, with bursts of up to Burst
// writes.
type TokenBucket struct {
	Rate  float64
	Burst float64

	tokens    float64
	updatedAt time.Time
}

// Allow takes one token if one is available. Otherwise it returns false and the time until the
// next token is available.
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

// Queue groups operations by shard until they are written. The zero value is an empty queue. A
// Queue is not safe for concurrent use.
type Queue struct {
	shards       map[ShardID]*shardQueue
	lastSequence int64
}

type shardQueue struct {
	// sequence determines the order in which shards are served: shards with a lower sequence
	// have waited longer.
	sequence int64
	urgent   bool
	ops      []Op
	writing  bool
}

// MaxBatch is the largest number of operations in one write. It keeps the growth of a shard by
// one write far below the store's limit on the size of a value.
const MaxBatch = 512

// Add queues an operation of a shard. An operation is urgent if a caller waits for its result.
// Other operations are written together with an urgent operation, or when NextBatch is called
// with all set.
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

// Withdraw removes an operation from the queue, unless a batch with it is being written. It
// reports whether the operation was removed.
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

// HasBatch reports whether NextBatch would return a batch for the same arguments.
func (q *Queue) HasBatch(number int, all bool) bool {
	for id, p := range q.shards {
		if id.Number == number && p.ready(all) {
			return true
		}
	}
	return false
}

// Idle reports whether no operation is queued or being written.
func (q *Queue) Idle() bool { return len(q.shards) == 0 }

func (p *shardQueue) ready(all bool) bool {
	return !p.writing && len(p.ops) > 0 && (p.urgent || all)
}

// NextBatch removes the next batch of operations from the queue and returns it with its shard.
// Among the shards with the given number, it selects the one that has waited longest. Unless
// all is set, only shards with an urgent operation are eligible. The caller must call BatchDone
// when the write has ended.
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

// BatchDone marks the write of a shard's batch as ended.
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
