package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/table"
)

// Store provides the operations of the platform's store that an Editor needs.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Put(ctx context.Context, key string, version int64, value any) (objectstore.Object, error)
}

// Editor changes the configuration on behalf of an operator.
type Editor struct {
	Store Store
	// Operator and Command are the operator's name and command as they appear in the
	// audit trail.
	Operator string
	Command  string
	// NewID returns a unique ID for a change.
	NewID func() string
	Now   func() time.Time
	// RetryInterval is the time after which a write with an uncertain outcome is
	// retried. 0 means 200 ms.
	RetryInterval time.Duration
}

// ErrNoChange means that an edit does not change the table.
var ErrNoChange = errors.New("config: nothing to change")

// ConflictError reports the cells that another operator changed to other values in the meantime.
type ConflictError struct {
	// Number is the version that contains the changes of the other operator.
	Number int64
	Cells  []table.Conflict
}

// Error implements error. It returns one line per cell.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d has changed the same cells:", e.Number)
	for _, c := range e.Cells {
		fmt.Fprintf(&b, "\n  %s: was %q, you want %q, now %q", c.Cell, c.Base, c.Mine, c.Theirs)
	}
	return b.String()
}

const (
	maxAttempts          = 20
	defaultRetryInterval = 200 * time.Millisecond
)

// Edit reads the configuration, applies edit to the table and writes it. If others write at the
// same time, Edit merges the changes cell by cell. It returns a *ConflictError if another operator
// changed one of the same cells, and table.Findings if the table is invalid. In both cases the
// configuration is not changed.
func (e *Editor) Edit(ctx context.Context, edit func(*table.Table) error) (Change, error) {
	obj, doc, err := e.read(ctx)
	if err != nil {
		return Change{}, err
	}
	base := doc.Table.Clone()
	mine := base.Clone()
	err = edit(mine)
	if err != nil {
		return Change{}, err
	}
	return e.submit(ctx, obj, doc, base, mine, nil)
}

// Replace is like Edit, but applies edit to the table as of version number. It merges the result
// with the changes that have been accepted since. Findings take the positions of rows from
// positions, which may be nil.
func (e *Editor) Replace(ctx context.Context, number int64, edit func(*table.Table) error, positions *table.Sheet) (Change, error) {
	obj, doc, err := e.read(ctx)
	if err != nil {
		return Change{}, err
	}
	base, err := doc.TableAt(number)
	if err != nil {
		return Change{}, err
	}
	mine := base.Clone()
	err = edit(mine)
	if err != nil {
		return Change{}, err
	}
	return e.submit(ctx, obj, doc, base, mine, positions)
}

// read returns the stored document with its object. If none is stored, both are empty.
func (e *Editor) read(ctx context.Context) (objectstore.Object, *Document, error) {
	obj, err := e.Store.Get(ctx, Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return objectstore.Object{Key: Key}, &Document{}, nil
	}
	if err != nil {
		return objectstore.Object{}, nil, err
	}
	doc, err := Decode(obj.Value)
	return obj, doc, err
}

// submit merges the change from base to mine and writes it, until the write is accepted or refused.
// It returns an error after maxAttempts.
func (e *Editor) submit(ctx context.Context, obj objectstore.Object, doc *Document, base, mine *table.Table, positions *table.Sheet) (Change, error) {
	findings := table.Check(mine, positions)
	if err := findings.Err(); err != nil {
		return Change{}, err
	}
	change := Change{ID: e.NewID(), Operator: e.Operator, Command: e.Command, At: e.Now().UTC()}
	for range maxAttempts {
		next, err := e.next(ctx, doc, base, mine, change)
		if err != nil {
			return Change{}, err
		}
		accepted, current, err := e.write(ctx, obj, next)
		if err != nil {
			return Change{}, err
		}
		if accepted {
			return next.Recent[len(next.Recent)-1], nil
		}
		obj = current
		doc, err = Decode(current.Value)
		if err != nil {
			return Change{}, err
		}
		if found, ok := doc.changeByID(change.ID); ok {
			return found, nil
		}
	}
	return Change{}, fmt.Errorf("config: change not accepted after %d attempts because of concurrent writes", maxAttempts)
}

// next returns the document that follows doc, with the change from base to mine applied. It first
// copies the changes that don't fit into the document to the audit pages.
func (e *Editor) next(ctx context.Context, doc *Document, base, mine *table.Table, change Change) (*Document, error) {
	merged, conflicts := table.Merge(base, mine, &doc.Table)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Number: doc.Number, Cells: conflicts}
	}
	if err := table.Check(merged, nil).Err(); err != nil {
		return nil, fmt.Errorf("merged with version %d: %w", doc.Number, err)
	}
	change.Number = doc.Number + 1
	change.Cells = table.Diff(&doc.Table, merged)
	if len(change.Cells) == 0 {
		return nil, ErrNoChange
	}
	recent := append(append([]Change(nil), doc.Recent...), change)
	excess, err := countExcess(recent)
	if err != nil {
		return nil, err
	}
	err = archive(ctx, e.Store, recent[:excess])
	if err != nil {
		return nil, err
	}
	return &Document{Number: change.Number, Table: *merged, Recent: recent[excess:]}, nil
}

// write replaces obj by doc. It retries until the outcome of the write is known. If another write
// came first, it returns false and the object of that write.
func (e *Editor) write(ctx context.Context, obj objectstore.Object, doc *Document) (bool, objectstore.Object, error) {
	uncertain := false
	for {
		_, err := e.Store.Put(ctx, Key, obj.Version, doc)
		var conflict *objectstore.ConflictError
		switch {
		case err == nil:
			return true, objectstore.Object{}, nil
		case errors.As(err, &conflict):
			return false, conflict.Current, nil
		case errors.Is(err, objectstore.ErrUncertain):
			uncertain = true
		case !uncertain:
			// This attempt was refused without an effect, and no
			// earlier attempt has an uncertain outcome.
			return false, objectstore.Object{}, err
		}
		// Repeating the same conditional write resolves the uncertainty:
		// either it takes effect now, or it conflicts and returns the
		// write that came first, which may be an earlier attempt.
		err = e.waitToRetry(ctx)
		if err != nil {
			return false, objectstore.Object{}, fmt.Errorf("config: unknown whether change %s was accepted, see the audit trail: %w", doc.Recent[len(doc.Recent)-1].ID, err)
		}
	}
}

// waitToRetry waits for the retry interval. It returns an error if ctx is done.
func (e *Editor) waitToRetry(ctx context.Context) error {
	d := e.RetryInterval
	if d == 0 {
		d = defaultRetryInterval
	}
	pause.For(ctx, d)
	return ctx.Err()
}
