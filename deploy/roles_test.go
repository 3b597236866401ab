package deploy_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// system is the description of the roles that the platform runs.
type system struct {
	Build string          `toml:"build"`
	Roles map[string]role `toml:"roles"`
}

// role is a process that the platform runs on its machines: on the fraction Share of them, or on
// Count of them in each hall.
type role struct {
	Run      string   `toml:"run"`
	On       string   `toml:"on"`
	Share    float64  `toml:"share"`
	Count    int      `toml:"count"`
	Serves   []string `toml:"serves"`
	Template string   `toml:"template"`
}

// TestRoles checks that each kind of request is served by exactly one role, which listens where the
// platform sends these requests, and that each role runs somewhere.
func TestRoles(t *testing.T) {
	var s system
	meta, err := toml.DecodeFile("system.toml", &s)
	require.NoError(t, err)
	require.Empty(t, meta.Undecoded())
	servedBy := make(map[string]string)
	for name, r := range s.Roles {
		require.True(t, (r.Share > 0) != (r.Count > 0), "%s: want either share or count", name)
		settings, err := os.ReadFile(filepath.Join("..", r.Template))
		require.NoError(t, err)
		require.Equal(t, slices.Contains(r.Serves, "directory"), strings.Contains(string(settings), "{{listenAddresses.directory}}"), name)
		for _, served := range r.Serves {
			require.Empty(t, servedBy[served], "%s is served by two roles", served)
			servedBy[served] = name
		}
	}
	require.Equal(t, map[string]string{"edge": "gateway", "control": "gateway", "directory": "lookup"}, servedBy)
}
