package main

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// templateValues are values for the gaps of the templates in deploy.
var templateValues = map[string]string{
	"nodeName": "n1", "zone": "north-1", "region": "north", "ip": "10.0.0.1", "platform.address": "10.0.0.9:1",
	"seedNodes": "10.0.0.2", "bootstrap": "false",
	"listenAddresses.frontend": "10.0.0.1:80", "listenAddresses.directory": "10.0.0.1:81", "listenAddresses.ready": "10.0.0.1:82",
	"internalPortRange.0": "9000", "internalPortRange.1": "9009",
	"bounds.gracePeriod": "6s", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "64",
	"bounds.maxShift": "0.15", "bounds.ttl_max": "5s",
}

var (
	templateGap     = regexp.MustCompile(`\{\{([^#/{}]+)\}\}`)
	templateSection = regexp.MustCompile(`(?m)^.*\{\{#(bounds|limits)\..*$`)
)

// renderTemplate fills in a template of deploy and returns the path of the settings file.
func renderTemplate(t *testing.T, name string) string {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
	require.NoError(t, err)
	text := strings.Replace(string(raw), "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "north-1=north", 1)
	text = templateSection.ReplaceAllString(text, "")
	text = templateGap.ReplaceAllStringFunc(text, func(gap string) string {
		value, ok := templateValues[templateGap.FindStringSubmatch(gap)[1]]
		require.True(t, ok, gap)
		return value
	})
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestTemplates guards against templates in deploy that the program rejects, and against a
// look-up process that asks another address than the one on which the instance of its machine
// serves look-ups.
func TestTemplates(t *testing.T) {
	t.Setenv("RAINFORD_NODE_FILE", renderTemplate(t, "instance.conf"))
	instance, err := readGatewaySettings(nil, io.Discard)
	require.NoError(t, err)
	t.Setenv("RAINFORD_NODE_FILE", renderTemplate(t, "lookup.conf"))
	process, err := readLookupSettings(nil, io.Discard)
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:9002", instance.LookupListen)
	require.Equal(t, instance.LookupListen, process.instance)
	require.Equal(t, "10.0.0.1:81", process.listen)
	require.NotContains(t, []string{instance.PeerListen, instance.AdminListen}, instance.LookupListen)
}
