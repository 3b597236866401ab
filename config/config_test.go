package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/table"
)

// The property tests draw the same cases in every run, unless -rapid.seed sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// fakeStore is a store in memory. Requests and replies of writes can be lost, writes can be refused
// or take effect late, reads can be stale, and others can write just before a write.
type fakeStore struct {
	objects          map[string]objectstore.Object
	previousVersions map[string]objectstore.Object
	revision         int64
	// beforeWrite, if not nil, is called before each write.
	beforeWrite func(key string)
	// fault, if not nil, returns the fault of a write.
	fault func(key string) writeFault
	// staleReads states that reads return the versions before the latest writes.
	staleReads bool
	// delayed holds the writes that have not taken effect yet.
	delayed []func()
}

type writeFault int

const (
	noFault writeFault = iota
	refused
	lostReply
	lostRequest
	delayedEffect
)

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]objectstore.Object{}, previousVersions: map[string]objectstore.Object{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	if old, ok := s.previousVersions[key]; ok && s.staleReads {
		return old, nil
	}
	obj, ok := s.objects[key]
	if !ok {
		return obj, objectstore.ErrNotFound
	}
	return obj, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (objectstore.Listing, error) {
	out := objectstore.Listing{Revision: s.revision}
	for key, obj := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out.Objects = append(out.Objects, obj)
		}
	}
	return out, nil
}

func (s *fakeStore) Put(_ context.Context, key string, version int64, value any) (objectstore.Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return objectstore.Object{}, err
	}
	if s.beforeWrite != nil {
		s.beforeWrite(key)
	}
	fault := noFault
	if s.fault != nil {
		fault = s.fault(key)
	}
	switch fault {
	case refused:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case lostRequest:
		return objectstore.Object{}, objectstore.ErrUncertain
	case delayedEffect:
		s.delayed = append(s.delayed, func() { _, _ = s.put(key, version, raw) })
		return objectstore.Object{}, objectstore.ErrUncertain
	}
	obj, err := s.put(key, version, raw)
	if fault == lostReply {
		return objectstore.Object{}, objectstore.ErrUncertain
	}
	return obj, err
}

func (s *fakeStore) put(key string, version int64, raw []byte) (objectstore.Object, error) {
	have := s.objects[key]
	if have.Version != version {
		return objectstore.Object{}, &objectstore.ConflictError{Key: key, Current: have}
	}
	if have.Version > 0 {
		s.previousVersions[key] = have
	}
	s.revision++
	s.objects[key] = objectstore.Object{Key: key, Version: s.revision, Value: raw}
	return s.objects[key], nil
}

func (s *fakeStore) document(t require.TestingT) *config.Document {
	doc, err := config.Decode(s.objects[config.Key].Value)
	require.NoError(t, err)
	return doc
}

var lastID int

func newEditor(s *fakeStore, who string) *config.Editor {
	return &config.Editor{
		Store: s, Operator: who, Command: "test", RetryInterval: time.Microsecond,
		NewID: func() string { lastID++; return fmt.Sprint(lastID) },
		Now:   func() time.Time { return time.Unix(0, 0) },
	}
}

func seed(t require.TestingT, s *fakeStore) {
	_, err := newEditor(s, "seed").Edit(context.Background(), func(tab *table.Table) error {
		tab.Regions = []table.Region{{Name: "a", Halls: []string{"a1"}}, {Name: "b", Halls: []string{"b1"}}}
		tab.Services = []table.Service{{Name: "s"}}
		tab.Rows = []table.Row{
			{Service: "s", From: "a", To: "a", Weight: 5, Cap: table.NoCap, Shift: 100},
			{Service: "s", From: "a", To: "b", Weight: 5, Cap: 5, Shift: 100},
		}
		return nil
	})
	require.NoError(t, err)
}

// setWeight returns an edit that sets the weight of the row from a to b.
func setWeight(n int) func(*table.Table) error {
	return func(tab *table.Table) error { tab.Rows[1].Weight = n; return nil }
}

// setCap returns an edit that sets the cap of the row from a to b.
func setCap(n int) func(*table.Table) error {
	return func(tab *table.Table) error { tab.Rows[1].Cap = n; return nil }
}

// TestEditWithStoreFaults edits one cell repeatedly while the store has faults: writes are lost
// before or after they take effect, take effect late or are refused, and reads are stale. Another
// operator edits the same cell and another one in between. The result of Edit must agree with the
// stored document, no change may be lost without a conflict, and the audit trail must have no gaps.
func TestEditWithStoreFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		seed(t, s)
		var history []int64
		ctx := context.Background()
		for step := range rapid.IntRange(1, 12).Draw(t, "edits") {
			s.staleReads = rapid.IntRange(0, 3).Draw(t, "stale") == 0
			left := rapid.IntRange(0, 4).Draw(t, "faults")
			s.fault = func(string) writeFault {
				if left == 0 {
					return noFault
				}
				left--
				return writeFault(rapid.IntRange(0, 4).Draw(t, "fault"))
			}
			rival := rapid.IntRange(0, 3).Draw(t, "rival")
			s.beforeWrite = func(key string) {
				if key != config.Key {
					return
				}
				if len(s.delayed) > 0 && rapid.Bool().Draw(t, "late lands") {
					s.delayed[0]()
					s.delayed = s.delayed[1:]
				}
				if rival > 0 {
					writeAsRival(t, s, rival, step)
					rival = 0
				}
			}
			want := 100 + step
			change, err := newEditor(s, "me").Edit(ctx, setWeight(want))
			s.beforeWrite = nil
			for _, land := range s.delayed {
				land()
			}
			s.delayed = nil
			requireConsistent(t, s, want, change, err)
			number := s.document(t).Number
			if len(history) > 0 {
				require.GreaterOrEqual(t, number, history[len(history)-1], "the version decreased")
			}
			history = append(history, number)
		}
		s.staleReads = false
		trail, err := config.AuditTrail(ctx, s)
		require.NoError(t, err)
		for i, c := range trail {
			require.EqualValues(t, i+1, c.Number, "a gap in the audit trail")
		}
		require.Len(t, trail, int(s.document(t).Number))
	})
}

// writeAsRival writes a change by another operator, of the cap (1), the weight (2) or both (3).
func writeAsRival(t *rapid.T, s *fakeStore, what, step int) {
	doc := s.document(t)
	before := doc.Table.Clone()
	if what != 2 {
		doc.Table.Rows[1].Cap = 1000 + step
	}
	if what != 1 {
		doc.Table.Rows[1].Weight = 5000 + step
	}
	doc.Number++
	doc.Recent = append(doc.Recent, config.Change{Number: doc.Number, ID: fmt.Sprintf("rival%d", step), Cells: table.Diff(before, &doc.Table)})
	raw, err := json.Marshal(doc)
	require.NoError(t, err)
	_, err = s.put(config.Key, s.objects[config.Key].Version, raw)
	require.NoError(t, err)
}

// requireConsistent checks that the result of Edit agrees with the stored document.
func requireConsistent(t *rapid.T, s *fakeStore, want int, change config.Change, err error) {
	doc := s.document(t)
	inTrail := false
	for _, c := range doc.Recent {
		inTrail = inTrail || c.ID == change.ID && c.Operator == "me"
	}
	var conflict *config.ConflictError
	switch {
	case err == nil:
		require.True(t, inTrail, "the change was accepted but is not in the document")
	case errors.As(err, &conflict):
		require.NotEmpty(t, conflict.Cells)
		require.NotEqual(t, want, doc.Table.Rows[1].Weight, "a conflict was reported but the change took effect")
	case errors.Is(err, objectstore.ErrUnavailable):
		require.NotEqual(t, want, doc.Table.Rows[1].Weight, "the change was refused but took effect")
	default:
		require.NoError(t, err)
	}
}

func TestConcurrentOperators(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	seed(t, s)
	s.beforeWrite = func(string) {
		s.beforeWrite = nil
		_, err := newEditor(s, "other").Edit(ctx, setCap(7))
		require.NoError(t, err)
	}
	change, err := newEditor(s, "me").Edit(ctx, setWeight(9))
	require.NoError(t, err, "different cells are merged")
	require.EqualValues(t, 3, change.Number)
	row := s.document(t).Table.Rows[1]
	require.Equal(t, []int{9, 7}, []int{row.Weight, row.Cap})

	s.beforeWrite = func(string) {
		s.beforeWrite = nil
		_, err := newEditor(s, "other").Edit(ctx, setCap(8))
		require.NoError(t, err)
	}
	_, err = newEditor(s, "me").Edit(ctx, setCap(9))
	var conflict *config.ConflictError
	require.ErrorAs(t, err, &conflict, "different values of the same cell are a conflict")
	require.Equal(t, []table.Conflict{{Cell: table.Cell{Kind: table.CellRow, Name: "s/a/b", Field: "cap"}, Base: "7", Mine: "9", Theirs: "8"}}, conflict.Cells)
	require.Equal(t, 8, s.document(t).Table.Rows[1].Cap)
}

func TestReplaceFromOldExport(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	seed(t, s)
	_, err := newEditor(s, "other").Edit(ctx, setCap(7))
	require.NoError(t, err)
	_, err = newEditor(s, "me").Replace(ctx, 1, setWeight(9), nil)
	require.NoError(t, err)
	row := s.document(t).Table.Rows[1]
	require.Equal(t, []int{9, 7}, []int{row.Weight, row.Cap}, "the old cap of the export must not undo the other operator's change")
	_, err = newEditor(s, "me").Replace(ctx, 99, setWeight(9), nil)
	require.Error(t, err)
}

func TestInvalidTableChangesNothing(t *testing.T) {
	s := newFakeStore()
	seed(t, s)
	version := s.objects[config.Key].Version
	_, err := newEditor(s, "me").Edit(context.Background(), func(tab *table.Table) error {
		tab.Rows[1].Cap = table.NoCap
		tab.Rows[0].Shift = 0
		return nil
	})
	var findings table.Findings
	require.ErrorAs(t, err, &findings)
	require.Len(t, findings, 3)
	require.Equal(t, version, s.objects[config.Key].Version)
}

// TestAuditTrailKeepsTrimmedChanges checks that changes are moved from the document to the audit
// pages before the document grows too large, and that none is lost.
func TestAuditTrailKeepsTrimmedChanges(t *testing.T) {
	const edits = 300
	s := newFakeStore()
	seed(t, s)
	for i := range edits {
		e := newEditor(s, "me")
		e.Command = strings.Repeat("long command ", 200)
		_, err := e.Edit(context.Background(), setWeight(10+i%2))
		require.NoError(t, err)
	}
	trail, err := config.AuditTrail(context.Background(), s)
	require.NoError(t, err)
	require.Len(t, trail, edits+1)
	for i, c := range trail {
		require.EqualValues(t, i+1, c.Number)
	}
	for key, obj := range s.objects {
		require.Less(t, len(obj.Value), 300<<10, key)
	}
	require.Less(t, len(s.document(t).Recent), edits)
	_, err = s.document(t).TableAt(1)
	require.ErrorIs(t, err, config.ErrTooOld)
}
