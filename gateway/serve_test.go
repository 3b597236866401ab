package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBudgetWithoutRoute checks that a request that ends before its time is known has
// none in its line.
func TestBudgetWithoutRoute(t *testing.T) {
	ex := &exchange{start: time.Now()}
	require.Zero(t, ex.budget())
	ex.deadline = ex.start.Add(time.Second)
	require.Equal(t, time.Second, ex.budget())
}
