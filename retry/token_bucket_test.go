package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/retry"
)

// TestTokenBucketsBoundRetries has instances that repeat whenever they may, are restarted, and
// learn late of each other, and checks every window: the repeats of all stay within
// the ratio of the window's requests plus the slack.
func TestTokenBucketsBoundRetries(t *testing.T) {
	const ratio, slack = 0.2, 64
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "instances")
		tokens := make([]*retry.TokenBucket, n)
		start := func(i int) {
			tokens[i] = retry.NewTokenBucket(ratio)
			// One instance in ten is not known to the others yet.
			tokens[i].SetCapacity(slack, max(1, n-n/10))
		}
		for i := range tokens {
			start(i)
		}
		// requests and repeats are counted up to each step.
		requests, repeats := []int{0}, []int{0}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			r, again := 0, 0
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				start(i)
			case 1:
				for _, held := range tokens {
					for held.Spend() {
						again++
					}
				}
			case 2, 3:
				for tokens[i].Spend() {
					again++
				}
			default:
				// Many, so that instances often hold as much as they may.
				r = rapid.IntRange(1, 2000).Draw(t, "requests")
				for range r {
					tokens[i].Earn()
				}
			}
			requests = append(requests, requests[len(requests)-1]+r)
			repeats = append(repeats, repeats[len(repeats)-1]+again)
		}
		for from := range requests {
			for to := from; to < len(requests); to++ {
				most := ratio*float64(requests[to]-requests[from]) + slack
				require.LessOrEqual(t, float64(repeats[to]-repeats[from]), most)
			}
		}
	})
}

func TestTokenBucketStartsEmpty(t *testing.T) {
	tokens := retry.NewTokenBucket(0.2)
	tokens.SetCapacity(64, 4)
	require.False(t, tokens.Spend())
	for range 1000 {
		tokens.Earn()
	}
	require.InDelta(t, 0.85*64/4, tokens.Available(), 1e-9)
	tokens.SetCapacity(64, 32)
	require.InDelta(t, 0.85*64/32, tokens.Available(), 1e-9)
}
