package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeavyRoutes checks that routes are classified by the mean size of their requests and
// responses, or by the request body alone before the first response, and that a single outlier does
// not change the class.
func TestHeavyRoutes(t *testing.T) {
	var s bodySizes
	require.False(t, s.isHeavy("read", 0))
	require.True(t, s.isHeavy("upload", 60_000))
	for range 100 {
		s.record("read", 1_500)
		s.record("upload", 60_000)
		s.record("answer", 5_000)
	}
	require.False(t, s.isHeavy("read", 0))
	require.True(t, s.isHeavy("upload", 10))
	require.True(t, s.isHeavy("answer", 0))
	s.record("read", 90_000)
	require.False(t, s.isHeavy("read", 0))
}
