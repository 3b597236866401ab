package table

import (
	"fmt"
	"strings"
)

// Finding is one fault of a table, with its place.
type Finding struct {
	// Line and Column count from 1 in the text that was read. They are 0
	// when the fault belongs to no place in a text.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as "line 3, column 9: cap: …".
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", f.Line, f.Column)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings are all the faults of one table. As an error it prints one per
// line.
type Findings []Finding

// Error implements error.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
