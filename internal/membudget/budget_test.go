package membudget_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/internal/membudget"
)

// TestBudget compares random sequences of draws and releases with a sum. All leases together must never draw
// more than the budget, and nothing is lost once all are released.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 100
		b := membudget.New(size)
		leases := make([]*membudget.Lease, 4)
		drawn := make([]int64, len(leases))
		for i := range leases {
			leases[i] = b.Lease()
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "lease")
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				leases[i].Release()
				require.False(t, leases[i].Draw(1))
				leases[i], drawn[i] = b.Lease(), 0
			}
			total := int64(0)
			for _, n := range drawn {
				total += n
			}
			n := rapid.Int64Range(0, 60).Draw(t, "bytes")
			require.Equal(t, total+n <= size, leases[i].Draw(n))
			if total+n <= size {
				drawn[i] += n
			}
		}
		for _, l := range leases {
			l.Release()
			l.Release()
		}
		require.EqualValues(t, size, b.Free())
	})
	var none *membudget.Lease
	require.True(t, none.Draw(1<<40))
	none.Release()
}
