package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBudgetWithoutRoute checks that the log line of a request that ended before its deadline was
// known reports no budget.
func TestBudgetWithoutRoute(t *testing.T) {
	ex := &exchange{start: time.Now()}
	require.Zero(t, ex.budget())
	ex.deadline = ex.start.Add(time.Second)
	require.Equal(t, time.Second, ex.budget())
}
