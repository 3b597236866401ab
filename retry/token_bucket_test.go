package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/retry"
)

// TestTokenBucketsBoundRetries simulates instances that retry whenever they may, are restarted, and
// of which up to a tenth is not known to the others. It checks for every time window that the retries of all instances stay
// within the ratio of the window's requests plus the slack.
func TestTokenBucketsBoundRetries(t *testing.T) {
	const ratio, slack = 0.2, 64
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "instances")
		buckets := make([]*retry.TokenBucket, n)
		start := func(i int) {
			buckets[i] = retry.NewTokenBucket(ratio)
			// One in each full ten instances is not known yet, none of fewer than ten.
			buckets[i].SetCapacity(slack, max(1, n-n/10))
		}
		for i := range buckets {
			start(i)
		}
		// requests and retries hold the cumulative counts after each step.
		requests, retries := []int{0}, []int{0}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			newRequests, newRetries := 0, 0
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				start(i)
			case 1:
				for _, bucket := range buckets {
					for bucket.Spend() {
						newRetries++
					}
				}
			case 2, 3:
				for buckets[i].Spend() {
					newRetries++
				}
			default:
				// So many requests fill the buckets often.
				newRequests = rapid.IntRange(1, 2000).Draw(t, "requests")
				for range newRequests {
					buckets[i].Earn()
				}
			}
			requests = append(requests, requests[len(requests)-1]+newRequests)
			retries = append(retries, retries[len(retries)-1]+newRetries)
		}
		for from := range requests {
			for to := from; to < len(requests); to++ {
				limit := ratio*float64(requests[to]-requests[from]) + slack
				require.LessOrEqual(t, float64(retries[to]-retries[from]), limit)
			}
		}
	})
}

func TestTokenBucketStartsEmpty(t *testing.T) {
	bucket := retry.NewTokenBucket(0.2)
	bucket.SetCapacity(64, 4)
	require.False(t, bucket.Spend())
	for range 1000 {
		bucket.Earn()
	}
	require.InDelta(t, 0.85*64/4, bucket.Available(), 1e-9)
	bucket.SetCapacity(64, 32)
	require.InDelta(t, 0.85*64/32, bucket.Available(), 1e-9)
}
