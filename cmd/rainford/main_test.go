package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/platformstore"
)

// operator runs the command as an operator does, against a simulated platform.
type operator struct {
	t      *testing.T
	server *platformstore.Server
	url    string
}

func newOperator(t *testing.T) *operator {
	server := platformstore.NewServer(platformstore.NewStore(), platformstore.Limits{})
	ts := httptest.NewServer(server.Handler())
	t.Cleanup(ts.Close)
	t.Setenv("RAINFORD_PLATFORM", ts.URL)
	t.Setenv("RAINFORD_WHO", "ama")
	return &operator{t: t, server: server, url: ts.URL}
}

func (o *operator) run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(context.Background(), args, strings.NewReader(""), &out, &errs)
	return code, out.String(), errs.String()
}

func (o *operator) must(args ...string) string {
	o.t.Helper()
	code, stdout, stderr := o.run(args...)
	require.Zero(o.t, code, "%v: %s", args, stderr)
	return stdout
}

func (o *operator) writeTable(text string) string {
	path := filepath.Join(o.t.TempDir(), "table.csv")
	require.NoError(o.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (o *operator) configureTable() {
	o.must("region", "set", "accra", "a1", "a2")
	o.must("region", "set", "kumasi", "k1")
	o.must("service", "set", "-floor", "20", "listings")
	o.must("table", "set", "listings", "accra", "accra", "weight=90")
	o.must("table", "set", "listings", "accra", "kumasi", "weight=10", "cap=40")
}

// TestExportEditApply checks that applying an edited export keeps changes that others made
// since the export, and that a conflicting edit is rejected without any change.
func TestExportEditApply(t *testing.T) {
	o := newOperator(t)
	o.configureTable()
	export := o.must("table", "get")
	require.Contains(t, export, "# rainford table version 5\n")
	o.must("table", "set", "listings", "accra", "kumasi", "cap=50")

	edited := strings.Replace(export, "listings,accra,accra,90", "listings,accra,accra,80", 1)
	o.must("table", "apply", o.writeTable(edited))
	now := o.must("table", "get")
	require.Contains(t, now, "listings,accra,accra,80,")
	require.Contains(t, now, "listings,accra,kumasi,10,50,", "applying an older export must not revert a later change")

	code, _, stderr := o.run("table", "apply", o.writeTable(strings.Replace(export, ",10,40,", ",10,45,", 1)))
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, `row listings/accra/kumasi cap: was "40", you want "45", now "50"`)
	require.Equal(t, now, o.must("table", "get"), "a conflicting apply must leave the table unchanged")

	code, _, stderr = o.run("table", "apply", o.writeTable(strings.SplitN(export, "\n", 2)[1]))
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, "does not name the version that it was made from")

	var trail []struct {
		Number int
		Who    string
		What   string
	}
	require.NoError(t, json.Unmarshal([]byte(o.must("audit", "-n", "0", "-json")), &trail))
	require.Len(t, trail, 7)
	require.Equal(t, "ama", trail[6].Who)
}

// TestAllFindingsReported checks that check and apply report the findings on the form and on
// the content of a table together, and change nothing.
func TestAllFindingsReported(t *testing.T) {
	o := newOperator(t)
	o.configureTable()
	before := o.must("table", "get")
	bad := o.writeTable("# rainford table version 5\nservice,from,to,weight,cap,shift,ramp\nlistings,accra,accra,x,,100,0s\nlistings,accra,tema,5,,100,0s\n")
	for _, command := range []string{"check", "apply"} {
		code, _, stderr := o.run("table", command, bad)
		require.Equal(t, exitUsage, code)
		require.Contains(t, stderr, `line 3, column 22: weight: "x" is not a whole number`)
		require.Contains(t, stderr, `line 4, column 16: to: listings accra>tema: no region "tema"`)
		require.Contains(t, stderr, "line 4, column 23: cap: listings accra>tema: a row between regions needs a cap")
	}
	require.Equal(t, before, o.must("table", "get"))
}

// TestExitCodes checks the exit code of each kind of success and failure, also while the
// platform is down and after a reply of the platform was lost.
func TestExitCodes(t *testing.T) {
	o := newOperator(t)
	o.configureTable()
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"no command", nil, exitUsage},
		{"help", []string{"-h"}, exitOK},
		{"unknown command", []string{"nonsense"}, exitUsage},
		{"unknown flag", []string{"status", "-nonsense"}, exitFailure},
		{"no file", []string{"table", "check", "/nonexistent"}, exitFailure},
		{"bad cell", []string{"table", "set", "listings", "accra", "kumasi", "cap=lots"}, exitUsage},
		{"no such cell", []string{"table", "set", "listings", "accra", "kumasi", "color=red"}, exitFailure},
		{"no change", []string{"table", "set", "listings", "accra", "kumasi", "cap=40"}, exitOK},
		{"drain of unknown region", []string{"drain", "region", "tema"}, exitUsage},
		{"bad scope", []string{"drain", "planet", "tema"}, exitUsage},
		{"seats without confirmation", []string{"seats", "release", "a1"}, exitUsage},
		{"demo of unknown estate", []string{"demo", "-estate", "x"}, exitUsage},
		{"status", []string{"status", "-json"}, exitOK},
		{"version", []string{"version", "-json"}, exitOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, stderr := o.run(c.args...)
			require.Equal(t, c.want, code, stderr)
		})
	}
	o.server.SetFaults(platformstore.Faults{Down: true})
	code, _, stderr := o.run("drain", "region", "kumasi")
	require.Equal(t, exitFailure, code)
	require.Contains(t, stderr, "unavailable")
	o.server.SetFaults(platformstore.Faults{LoseReplies: 1})
	o.must("drain", "region", "kumasi")
	require.Equal(t, 1, strings.Count(o.must("audit"), "drain region kumasi"), "after a lost reply the change must not be applied a second time")
}
