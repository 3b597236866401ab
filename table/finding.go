package table

import (
	"fmt"
	"strings"
)

// Finding is a fault of a table, with its position in the text that was read.
type Finding struct {
	// Line and Column are counted from 1. They are 0 if the fault has no position in
	// a text.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the finding in the form "line 3, column 9: cap: …".
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

// Findings holds all faults of a table. As an error, it has one line for each fault.
type Findings []Finding

// Error implements error. It returns the findings separated by newlines.
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
