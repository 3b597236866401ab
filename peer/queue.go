package peer

import "sync"

const (
	// queueCapacity is the number of frames that may be queued for one peer.
	queueCapacity = 64
	// maxQueuedBytes bounds the frames that are queued for all peers together, a twelfth of the memory
	// of the smallest machines. What is dropped is requested again or superseded.
	maxQueuedBytes = 16 << 20
	// Frames of more than smallFrameBytes may take maxLargeBytes of that, so that heartbeats are sent
	// whatever else is queued. For one peer there may be maxLargeFrames of them, of maxLargePeerBytes
	// together, which is room for two of any length.
	smallFrameBytes   = 16 << 10
	maxLargeBytes     = 12 << 20
	maxLargePeerBytes = 3 << 20
	maxLargeFrames    = queueCapacity / 2
)

// queueBudget counts the bytes of the frames that are queued for all peers, or being written. It is safe for
// concurrent use.
type queueBudget struct {
	mu           sync.Mutex
	bytes, large int
}

// sendQueue holds the frames for one peer. It is safe for concurrent use.
type sendQueue struct {
	budget *queueBudget
	frames chan []byte
	// large and largeFrames are the number of bytes in large frames and of these frames, and closed is
	// set once no more frames are taken. All are protected by the mutex of the budget.
	large, largeFrames int
	closed             bool
}

func newSendQueue(budget *queueBudget) *sendQueue {
	return &sendQueue{budget: budget, frames: make(chan []byte, queueCapacity)}
}

// push queues a frame. It reports false if the queue is closed, or there is no room for the frame.
func (q *sendQueue) push(frame []byte) bool {
	q.budget.mu.Lock()
	defer q.budget.mu.Unlock()
	if q.closed || !q.hasRoom(len(frame)) {
		return false
	}
	select {
	case q.frames <- frame:
		q.count(len(frame), 1)
		return true
	default:
		return false
	}
}

// hasRoom reports whether a frame of n bytes may be queued. The caller holds the mutex of the budget.
func (q *sendQueue) hasRoom(n int) bool {
	if q.budget.bytes+n > maxQueuedBytes {
		return false
	}
	return n <= smallFrameBytes ||
		q.largeFrames < maxLargeFrames && q.large+n <= maxLargePeerBytes && q.budget.large+n <= maxLargeBytes
}

// count adds a frame of n bytes, or removes it if sign is -1. The caller holds the mutex of the budget.
func (q *sendQueue) count(n, sign int) {
	q.budget.bytes += sign * n
	if n > smallFrameBytes {
		q.largeFrames += sign
		q.large += sign * n
		q.budget.large += sign * n
	}
}

// done releases a frame that was taken from frames, once it is written or dropped.
func (q *sendQueue) done(frame []byte) {
	q.budget.mu.Lock()
	defer q.budget.mu.Unlock()
	q.count(len(frame), -1)
}

// drop drops all frames. It returns their number.
func (q *sendQueue) drop() (n int64) {
	for {
		select {
		case frame := <-q.frames:
			q.done(frame)
			n++
		default:
			return n
		}
	}
}

// close drops all frames, and takes no more.
func (q *sendQueue) close() (dropped int64) {
	q.budget.mu.Lock()
	q.closed = true
	q.budget.mu.Unlock()
	return q.drop()
}
