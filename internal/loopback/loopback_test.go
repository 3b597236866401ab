package loopback_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/loopback"
)

// TestFreeAddr checks that addresses differ, that it is possible to listen on them, and that their
// ports are below the range from which the kernel assigns ports to outgoing connections.
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

// TestHost checks that Host always returns the same loopback address, and that the process can
// listen on it.
func TestHost(t *testing.T) {
	require.True(t, net.ParseIP(loopback.Host()).IsLoopback())
	require.Equal(t, loopback.Host(), loopback.Host())
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
}
