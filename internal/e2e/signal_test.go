package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/loopback"
)

// TestSignalWhileSettingsAreRead checks that a gateway that is told to read its settings again, and then to
// stop, before it has read them stops as planned.
func TestSignalWhileSettingsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	p := start(t, "rainfordd", "gateway", "-node-file", path)
	// Opening waits for the gateway to open the other end.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	for _, name := range []string{"listen", "lookup-listen", "ready-listen", "peer-listen", "admin-listen"} {
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		// A gateway that has ended reads nothing: its exit code tells.
		_, _ = fmt.Fprintln(settings, name, addr)
	}
	_, _ = fmt.Fprintln(settings, "name n1\nhall a1\nregion a\nhalls a1=a\nstore 127.0.0.1:1")
	require.NoError(t, settings.Close())
	<-p.ended
	require.Zero(t, p.ProcessState.ExitCode(), p.log.String())
}
