package loopback

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReserveHost checks that processes whose IDs lead to the same IP address get different ones, so
// that none takes a port that another has found free.
func TestReserveHost(t *testing.T) {
	const collidingPIDs = 128 * 200
	first, second := reserveHost(os.Getpid()), reserveHost(os.Getpid()+collidingPIDs)
	require.NotNil(t, first.listener)
	require.NotNil(t, second.listener)
	require.NotEqual(t, first.host, second.host)
	require.NoError(t, first.listener.Close())
	require.NoError(t, second.listener.Close())
}
