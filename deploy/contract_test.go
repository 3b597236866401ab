package deploy_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// contractPage lists what neighbours say, a row each.
const contractPage = "../docs/design/CONTRACT.md"

// contractColumns is the number of columns of its tables.
const contractColumns = 6

// contractRow is a row of the page.
type contractRow struct {
	said, readBy, shownBy string
}

// contractRows returns the rows of all tables of the page.
func contractRows(t *testing.T) []contractRow {
	raw, err := os.ReadFile(contractPage)
	require.NoError(t, err)
	var out []contractRow
	for _, line := range strings.Split(string(raw), "\n") {
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "|-") || strings.HasPrefix(line, "| said ") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		require.Len(t, cells, contractColumns, line)
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		out = append(out, contractRow{said: cells[0], readBy: cells[1], shownBy: cells[contractColumns-1]})
	}
	return out
}

var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)

// testNames returns the names of all tests of the repository.
func testNames(t *testing.T) map[string]bool {
	out := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, found := range testFunction.FindAllStringSubmatch(string(raw), -1) {
			out[found[1]] = true
		}
		return err
	})
	require.NoError(t, err)
	return out
}

// TestContract checks that each thing that a neighbour says has a reader, with the tests that
// show it, or the reason why nobody reads it.
func TestContract(t *testing.T) {
	rows, names := contractRows(t), testNames(t)
	require.Greater(t, len(rows), 30)
	for _, row := range rows {
		require.NotEmpty(t, row.readBy, "%s: who reads it?", row.said)
		if strings.HasPrefix(row.readBy, "nobody") {
			require.Contains(t, row.readBy, ": ", "%s: why does nobody read it?", row.said)
		} else {
			require.NotEmpty(t, row.shownBy, "%s: what shows it?", row.said)
		}
		for _, name := range strings.FieldsFunc(row.shownBy, func(r rune) bool { return r == ',' || r == ' ' }) {
			require.True(t, names[name], "%s: there is no test %s", row.said, name)
		}
	}
}
