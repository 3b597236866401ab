package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestQueueOrder checks that requests wait by priority and arrival, and that those that were handed over
// wait behind all others.
func TestQueueOrder(t *testing.T) {
	var q queue
	for _, r := range []Request{
		{ID: 1, Priority: 1}, {ID: 2, Priority: 0, HandedOver: true}, {ID: 3, Priority: 0}, {ID: 4, Priority: 2},
		{ID: 5, Priority: 0, HandedOver: true}, {ID: 6, Priority: 1, HandedOver: true}, {ID: 7, Priority: 1}, {ID: 8, Priority: 0},
	} {
		require.True(t, q.add(r))
	}
	var order []uint64
	for _, r := range q.waiting {
		order = append(order, r.ID)
	}
	require.Equal(t, []uint64{3, 8, 1, 7, 4, 2, 5, 6}, order)
}
