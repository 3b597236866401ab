package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/warmup"
)

// TestQuotasAddUp checks that the quotas of all instances of a hall stay within the rate, and
// within twice the rate while one instance is unknown to some of the others.
func TestQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 14).Draw(t, "members")
		rate := float64(rapid.IntRange(1, 40).Draw(t, "rate"))
		target := fmt.Sprint("t", rapid.IntRange(0, 99).Draw(t, "target"))
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("i", i))
		}
		sum, mixed := 0, 0
		for i, self := range all {
			sum += warmup.Quota(self, target, all, rate)
			view := all
			if i < n-1 && rapid.Bool().Draw(t, "old view") {
				view = all[:n-1]
			}
			mixed += warmup.Quota(self, target, view, rate)
		}
		require.LessOrEqual(t, float64(sum), rate)
		require.LessOrEqual(t, float64(mixed), 2*rate)
	})
}

func TestNonMembersHaveNoQuota(t *testing.T) {
	require.Zero(t, warmup.Quota("x", "t", []string{"a", "b"}, 11))
	require.Zero(t, warmup.Quota("x", "t", nil, 11))
}

// TestWindowBoundsEverySecond sends requests at random times and checks the quota for every
// interval of one second.
func TestWindowBoundsEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(0, 5).Draw(t, "quota")
		var w warmup.Window
		var sent []time.Time
		now := time.Unix(0, 0)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			free := w.CanTake(now, quota)
			taken := w.Take(now, quota)
			require.Equal(t, free, taken)
			if taken {
				sent = append(sent, now)
			}
		}
		for i := range sent {
			if i >= quota {
				require.GreaterOrEqual(t, sent[i].Sub(sent[i-quota]), time.Second)
			}
		}
	})
}
