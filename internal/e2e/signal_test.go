package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSignalWhileSettingsAreRead sends SIGHUP and SIGTERM to a gateway that is still reading its settings file.
// The gateway must stop gracefully with exit code 0.
func TestSignalWhileSettingsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	p := start(t, "rainfordd", "gateway", "-node-file", path)
	// Opening the named pipe blocks until the gateway opens it for reading.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	for _, name := range []string{"listen", "lookup-listen", "ready-listen", "peer-listen", "admin-listen"} {
		// A write fails if the gateway has ended. The exit code shows whether that was correct.
		_, _ = fmt.Fprintln(settings, name, anyPort)
	}
	_, _ = fmt.Fprintln(settings, "name n1\nhall a1\nregion a\nhalls a1=a\nstore 127.0.0.1:1")
	require.NoError(t, settings.Close())
	<-p.ended
	require.Zero(t, p.ProcessState.ExitCode(), p.log.String())
}
