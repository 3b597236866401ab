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

// contractPage is the page that lists the interface with neighbouring systems. Each row of its
// tables is one item that a neighbour sends or writes.
const contractPage = "../docs/design/CONTRACT.md"

// contractColumns is the number of columns of the tables of contractPage.
const contractColumns = 6

// contractRow is a row of contractPage: the item, the code that reads it, and the names of the
// tests that cover it.
type contractRow struct {
	said, readBy, shownBy string
}

// contractRows returns the rows of all tables of contractPage.
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

// testNames returns the names of all tests and fuzz tests in the repository.
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

// TestContract checks that each item of contractPage names the code that reads it and existing
// tests that cover it, or gives the reason why no code reads it.
func TestContract(t *testing.T) {
	rows, names := contractRows(t), testNames(t)
	require.Greater(t, len(rows), 30)
	for _, row := range rows {
		require.NotEmpty(t, row.readBy, "%s: no reader is named", row.said)
		if strings.HasPrefix(row.readBy, "nobody") {
			require.Contains(t, row.readBy, ": ", "%s: no reason is given why it has no reader", row.said)
		} else {
			require.NotEmpty(t, row.shownBy, "%s: no test is named", row.said)
		}
		for _, name := range strings.FieldsFunc(row.shownBy, func(r rune) bool { return r == ',' || r == ' ' }) {
			require.True(t, names[name], "%s: test %s doesn't exist", row.said, name)
		}
	}
}
