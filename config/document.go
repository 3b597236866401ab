package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rainford/rainford/table"
)

// Key is the object key of the document.
const Key = "config/table"

// Document is the accepted configuration.
type Document struct {
	// Number is the number of the latest accepted change. It is the version
	// that operators see.
	Number int64       `json:"number"`
	Table  table.Table `json:"table"`
	// Recent are the latest accepted changes, oldest first.
	Recent []Change `json:"recent"`
}

// Change is one accepted change, as kept in the audit trail.
type Change struct {
	Number   int64     `json:"number"`
	ID       string    `json:"id"`
	Operator string    `json:"who"`
	At       time.Time `json:"at"`
	// Command is the command that made the change.
	Command string         `json:"what"`
	Cells   []table.Change `json:"cells"`
}

// ErrTooOld means that a version lies before the changes that the document
// still holds.
var ErrTooOld = errors.New("config: version is too old to merge with")

// Decode reads a document. An empty value is the empty document.
func Decode(raw []byte) (*Document, error) {
	doc := &Document{}
	if len(raw) == 0 {
		return doc, nil
	}
	err := json.Unmarshal(raw, doc)
	if err != nil {
		return nil, fmt.Errorf("config: decode document: %w", err)
	}
	return doc, nil
}

// TableAt returns the table as it was after change number, by undoing the later
// changes.
func (d *Document) TableAt(number int64) (*table.Table, error) {
	if number < 0 || number > d.Number {
		return nil, fmt.Errorf("config: no version %d: the latest is %d", number, d.Number)
	}
	if len(d.Recent) > 0 && number < d.Recent[0].Number-1 {
		return nil, fmt.Errorf("version %d: %w", number, ErrTooOld)
	}
	t := &d.Table
	for i := len(d.Recent) - 1; i >= 0 && d.Recent[i].Number > number; i-- {
		t = table.Undo(t, d.Recent[i].Cells)
	}
	return t, nil
}

// changeByID returns the change called id.
func (d *Document) changeByID(id string) (Change, bool) {
	for _, c := range d.Recent {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// maxRecentBytes bounds the changes kept in the document, as encoded. Every
// instance gets them with every change, see docs/CAPACITY.md.
const maxRecentBytes = 32 << 10

// countExcess returns how many of the oldest changes have to leave the document.
func countExcess(changes []Change) (int, error) {
	total := 0
	for i := len(changes) - 1; i >= 0; i-- {
		raw, err := json.Marshal(changes[i])
		if err != nil {
			return 0, fmt.Errorf("config: encode change: %w", err)
		}
		total += len(raw)
		if total > maxRecentBytes && i < len(changes)-1 {
			return i + 1, nil
		}
	}
	return 0, nil
}
