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

// Store is what the editor needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Put(ctx context.Context, key string, version int64, value any) (objectstore.Object, error)
}

// Editor makes changes of the configuration for one operator.
type Editor struct {
	Store Store
	// Operator is the operator, for the audit trail.
	Operator string
	// Command is the command, for the audit trail.
	Command string
	// NewID returns an ID that no other change has.
	NewID func() string
	Now   func() time.Time
	// RetryInterval is the time between two tries to find out what became of a
	// write. 0 stands for 200 ms.
	RetryInterval time.Duration
}

// ErrNoChange means that the edit leaves the table as it is.
var ErrNoChange = errors.New("config: nothing to change")

// ConflictError reports cells that another operator changed meanwhile.
type ConflictError struct {
	// Number is the version that the other changes led to.
	Number int64
	Cells  []table.Conflict
}

// Error implements error. It prints one cell per line.
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

// Edit reads the configuration, applies edit to the table and writes it. When
// others write at the same time the edit is merged cell by cell; a cell that
// both changed is a *ConflictError. An invalid table is table.Findings. In
// each of these cases nothing was changed.
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

// Replace writes mine, which was made from the table of version number. What
// was accepted since is merged with it.
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

// submit merges and writes until the write is accepted or refused.
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
	return Change{}, fmt.Errorf("config: gave up after %d tries: others write all the time", maxAttempts)
}

// next returns the document that follows doc with the edits from base to mine.
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

// write tries to write doc over obj until it knows whether it took effect. If
// another write came first it returns false and the object of that write.
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
			// Refused before it had an effect, and no earlier try is
			// open.
			return false, objectstore.Object{}, err
		}
		// The same conditional write again settles it: either it takes
		// effect now, or the conflict shows who came first.
		err = e.waitToRetry(ctx)
		if err != nil {
			return false, objectstore.Object{}, fmt.Errorf("config: change may have been accepted, look in the audit trail for %s: %w", doc.Recent[len(doc.Recent)-1].ID, err)
		}
	}
}

func (e *Editor) waitToRetry(ctx context.Context) error {
	d := e.RetryInterval
	if d == 0 {
		d = defaultRetryInterval
	}
	pause.For(ctx, d)
	return ctx.Err()
}
