package loopback_test

import (
	"errors"
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

// TestStart checks that a server whose address another process takes before it listens gets another
// address, and that any other error ends the start at once.
func TestStart(t *testing.T) {
	var foreign, own net.Listener
	starts := 0
	err := loopback.Start(func() error {
		starts++
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		if starts == 1 {
			foreign, err = net.Listen("tcp", addr)
			require.NoError(t, err)
		}
		own, err = net.Listen("tcp", addr)
		return err
	})
	require.NoError(t, err)
	require.Equal(t, 2, starts)
	require.NoError(t, foreign.Close())
	require.NoError(t, own.Close())

	other := errors.New("other")
	starts = 0
	require.Equal(t, other, loopback.Start(func() error {
		starts++
		return other
	}))
	require.Equal(t, 1, starts)
}
