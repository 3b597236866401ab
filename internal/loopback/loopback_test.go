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

// TestHost checks that the process has a loopback address, always the same, on which it can listen.
func TestHost(t *testing.T) {
	require.True(t, net.ParseIP(loopback.Host()).IsLoopback())
	require.Equal(t, loopback.Host(), loopback.Host())
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
}
