package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSendQueuesStayWithinBudget draws peers, frames of any size, writes, unreachable peers and links that end. All
// queues together stay within the budget, a frame of any length has room in an empty mesh, large frames leave room for
// small ones, and nothing stays counted once all queues are closed.
func TestSendQueuesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget queueBudget
		queues := make([]*sendQueue, rapid.IntRange(1, 30).Draw(t, "peers"))
		held := make([]int, len(queues))
		for i := range queues {
			queues[i] = newSendQueue(&budget)
		}
		require.True(t, queues[0].push(make([]byte, headerBytes+maxFrameBytes)))
		queues[0].done(<-queues[0].frames)
		sizes := []int{100, smallFrameBytes, smallFrameBytes + 1, 900 << 10, headerBytes + maxFrameBytes}
		buffer := make([]byte, headerBytes+maxFrameBytes)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(queues)-1).Draw(t, "peer")
			q := queues[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				q.drop()
				held[i] = 0
			case 1:
				q.close()
				require.False(t, q.push(buffer[:1]))
				queues[i], held[i] = newSendQueue(&budget), 0
			case 2, 3:
				if len(q.frames) > 0 {
					frame := <-q.frames
					q.done(frame)
					held[i] -= len(frame)
				}
			default:
				size := rapid.SampledFrom(sizes).Draw(t, "size")
				if q.push(buffer[:size]) {
					held[i] += size
				}
			}
			sum := 0
			for _, n := range held {
				sum += n
				require.LessOrEqual(t, n, maxLargePeerBytes+queueCapacity*smallFrameBytes)
			}
			require.Equal(t, sum, budget.bytes)
			require.LessOrEqual(t, sum, maxQueuedBytes)
		}
		if full := newSendQueue(&budget); budget.bytes < maxQueuedBytes-maxLargeBytes {
			for full.push(buffer[:smallFrameBytes+1]) {
			}
			require.True(t, full.push(buffer[:100]))
			full.close()
		}
		for _, q := range queues {
			q.close()
		}
		require.Zero(t, budget.bytes)
		require.Zero(t, budget.large)
	})
}
