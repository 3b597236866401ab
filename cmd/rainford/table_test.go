package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckOffline checks that table check -offline needs no platform and reports all findings
// together, each with its line and column.
func TestCheckOffline(t *testing.T) {
	for _, c := range []struct {
		name, text string
		code       int
		want       []string
	}{
		{"good", "service,from,to,weight,cap,shift,ramp\nlistings,accra,accra,90,,100,0s\nlistings,accra,kumasi,10,40,25,2s\n", exitOK, []string{"2 rows, no findings"}},
		{"two faults", "service,from,to,weight,cap,shift,ramp\nlistings,accra,accra,x,,100,0s\nlistings,accra,kumasi,10,,25,2s\n", exitUsage,
			[]string{"line 2, column", "line 3, column", "weight", "cap", "findings: 2"}},
		{"no table", "a,b\n1,2\n", exitUsage, []string{"finding"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "table.csv")
			require.NoError(t, os.WriteFile(file, []byte(c.text), 0o600))
			var out, errOut bytes.Buffer
			code := run(t.Context(), []string{"table", "check", "-offline", "-platform", "http://127.0.0.1:1", file}, nil, &out, &errOut)
			require.Equal(t, c.code, code, out.String()+errOut.String())
			for _, text := range c.want {
				require.Contains(t, out.String()+errOut.String(), text)
			}
		})
	}
}
