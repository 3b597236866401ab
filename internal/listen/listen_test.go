package listen_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/listen"
)

// TestAllOrNone checks that All reports each address that can't be opened, and then leaves none of
// the others open.
func TestAllOrNone(t *testing.T) {
	open, err := listen.All("127.0.0.1:0")
	require.NoError(t, err)
	usedAddr := open[0].Addr().String()
	closed, err := listen.All("127.0.0.1:0")
	require.NoError(t, err)
	freeAddr := closed[0].Addr().String()
	require.NoError(t, closed[0].Close())
	_, err = listen.All(freeAddr, usedAddr, "nonsense")
	require.ErrorContains(t, err, usedAddr)
	require.ErrorContains(t, err, "nonsense")
	reopened, err := listen.All(freeAddr)
	require.NoError(t, err, "the address is still in use after All failed")
	require.NoError(t, reopened[0].Close())
	require.NoError(t, open[0].Close())
}
