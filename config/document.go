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
	// Number is the number of the latest accepted change, which operators see as the
	// version of the configuration.
	Number int64       `json:"number"`
	Table  table.Table `json:"table"`
	// Recent holds the latest accepted changes, oldest first.
	Recent []Change `json:"recent"`
}

// Change is an accepted change, as stored in the audit trail.
type Change struct {
	Number   int64     `json:"number"`
	ID       string    `json:"id"`
	Operator string    `json:"who"`
	At       time.Time `json:"at"`
	// Command is the operator's command that made the change.
	Command string         `json:"what"`
	Cells   []table.Change `json:"cells"`
}

// ErrTooOld means that a version is older than the changes in the document, so that its table
// can't be reconstructed.
var ErrTooOld = errors.New("config: version is too old to merge with")

// Decode decodes a document. An empty value is the empty document.
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

// TableAt returns the table as of version number, by undoing the later changes. It returns
// ErrTooOld if these are no longer all in the document.
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

// changeByID returns the recent change with the given ID, and whether there is one.
func (d *Document) changeByID(id string) (Change, bool) {
	for _, c := range d.Recent {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// maxRecentBytes is the maximum size of the encoded changes in the document, unless the latest
// change alone is larger. The size is bounded because every instance receives these changes with
// each new one, see docs/CAPACITY.md.
const maxRecentBytes = 32 << 10

// countExcess returns how many of the oldest changes have to be removed from the document to keep
// within maxRecentBytes. The latest change always stays.
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
