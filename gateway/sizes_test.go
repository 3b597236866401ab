package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeavyRoutes checks that routes are told apart by what their requests move on
// the average, by the body alone before the first answer, and that one odd request
// changes nothing.
func TestHeavyRoutes(t *testing.T) {
	var s sizes
	require.False(t, s.heavy("read", 0))
	require.True(t, s.heavy("upload", 60_000))
	for range 100 {
		s.note("read", 1_500)
		s.note("upload", 60_000)
		s.note("answer", 5_000)
	}
	require.False(t, s.heavy("read", 0))
	require.True(t, s.heavy("upload", 10))
	require.True(t, s.heavy("answer", 0))
	s.note("read", 90_000)
	require.False(t, s.heavy("read", 0))
}
