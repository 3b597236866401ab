package loopback_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/loopback"
)

// TestFreeAddr checks that addresses differ, can be listened on, and lie outside the
// range from which outgoing connections get their ports.
func TestFreeAddr(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		require.False(t, seen[addr])
		seen[addr] = true
		ln, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		require.Less(t, ln.Addr().(*net.TCPAddr).Port, 32768)
		require.NoError(t, ln.Close())
	}
}
