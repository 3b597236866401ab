package table

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// CellKind is the kind of object that a cell belongs to.
type CellKind string

// Kinds of cells.
const (
	CellRegion  CellKind = "region"
	CellService CellKind = "service"
	CellRow     CellKind = "row"
	CellDrain   CellKind = "drain"
)

// Fields of regions, services and drains.
const (
	fieldHalls = "halls"
	fieldOnce  = "once"
	fieldFloor = "floor"
	fieldSet   = "set"
)

// Cell identifies one value of a table. Name is the name of the region or service, the
// "service/from/to" of the row, or the "scope/name" of the drain.
type Cell struct {
	Kind  CellKind `json:"kind"`
	Name  string   `json:"name"`
	Field string   `json:"field"`
}

// String returns the cell in the form "row listings/accra/kumasi weight".
func (c Cell) String() string {
	return fmt.Sprintf("%s %s %s", c.Kind, c.Name, c.Field)
}

// Change is the change of a cell, with its values before and after. The value of a cell that
// does not exist is empty.
type Change struct {
	Cell   Cell   `json:"cell"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Conflict is a cell that two operators changed to different values. Base is the value that
// both started from.
type Conflict struct {
	Cell   Cell   `json:"cell"`
	Base   string `json:"base"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// cellValues holds the values of a table's cells as text.
type cellValues map[Cell]string

// noCapText is the text of NoCap in a cell. An empty text can't be used, since it means that
// the cell does not exist.
const noCapText = "none"

// cellsOf returns the cells of t.
func cellsOf(t *Table) cellValues {
	out := make(cellValues)
	for _, r := range t.Regions {
		out[Cell{CellRegion, r.Name, fieldHalls}] = strings.Join(r.Halls, " ")
	}
	for _, s := range t.Services {
		out[Cell{CellService, s.Name, fieldOnce}] = strconv.FormatBool(s.NonIdempotent)
		out[Cell{CellService, s.Name, fieldFloor}] = strconv.Itoa(s.Reserve)
	}
	for _, r := range t.Rows {
		name := r.Service + "/" + r.From + "/" + r.To
		limit := noCapText
		if r.Cap != NoCap {
			limit = strconv.Itoa(r.Cap)
		}
		out[Cell{CellRow, name, Header[colWeight]}] = strconv.Itoa(r.Weight)
		out[Cell{CellRow, name, Header[colCap]}] = limit
		out[Cell{CellRow, name, Header[colShift]}] = strconv.Itoa(r.Shift)
		out[Cell{CellRow, name, Header[colRamp]}] = r.Ramp.String()
	}
	for _, d := range t.Drains {
		out[Cell{CellDrain, string(d.Scope) + "/" + d.Name, fieldSet}] = "true"
	}
	return out
}

// tableOf returns the table with the given cells, which come from cellsOf. Its regions,
// services, rows and drains are sorted by name.
func tableOf(cells cellValues) *Table {
	t := &Table{}
	regions := make(map[string]*Region)
	services := make(map[string]*Service)
	rows := make(map[string]*Row)
	for cell, value := range cells {
		switch cell.Kind {
		case CellRegion:
			regions[cell.Name] = &Region{Name: cell.Name, Halls: strings.Fields(value)}
		case CellService:
			setService(getOrCreate(services, cell.Name), cell, value)
		case CellRow:
			setRow(getOrCreate(rows, cell.Name), cell, value)
		case CellDrain:
			scope, name, _ := strings.Cut(cell.Name, "/")
			t.Drains = append(t.Drains, Drain{Scope: DrainScope(scope), Name: name})
		}
	}
	for _, name := range sortedKeys(regions) {
		t.Regions = append(t.Regions, *regions[name])
	}
	for _, name := range sortedKeys(services) {
		t.Services = append(t.Services, *services[name])
	}
	for _, name := range sortedKeys(rows) {
		t.Rows = append(t.Rows, *rows[name])
	}
	sort.Slice(t.Drains, func(i, j int) bool {
		a, b := t.Drains[i], t.Drains[j]
		return a.Scope < b.Scope || a.Scope == b.Scope && a.Name < b.Name
	})
	return t
}

// getOrCreate returns the entry of m under name. It adds a zero entry if there is none.
func getOrCreate[T any](m map[string]*T, name string) *T {
	if m[name] == nil {
		m[name] = new(T)
	}
	return m[name]
}

func sortedKeys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func setService(s *Service, cell Cell, value string) {
	s.Name = cell.Name
	switch cell.Field {
	case fieldOnce:
		s.NonIdempotent = value == "true"
	case fieldFloor:
		s.Reserve, _ = strconv.Atoi(value)
	}
}

func setRow(r *Row, cell Cell, value string) {
	parts := strings.SplitN(cell.Name, "/", 3)
	r.Service, r.From, r.To = parts[0], parts[1], parts[2]
	switch cell.Field {
	case Header[colWeight]:
		r.Weight, _ = strconv.Atoi(value)
	case Header[colCap]:
		r.Cap = NoCap
		if value != noCapText {
			r.Cap, _ = strconv.Atoi(value)
		}
	case Header[colShift]:
		r.Shift, _ = strconv.Atoi(value)
	case Header[colRamp]:
		r.Ramp, _ = time.ParseDuration(value)
	}
}

// Diff returns the changes of the cells that differ between two tables, sorted by cell.
func Diff(before, after *Table) []Change {
	old, now := cellsOf(before), cellsOf(after)
	var out []Change
	for _, cell := range sortedUnion(old, now) {
		if old[cell] != now[cell] {
			out = append(out, Change{Cell: cell, Before: old[cell], After: now[cell]})
		}
	}
	return out
}

// Merge returns theirs with the changes that lead from base to mine. If there are cells that
// both sides changed to different values, Merge returns these as conflicts and a nil table.
// A row or service that one side removed and the other changed is a conflict as well.
func Merge(base, mine, theirs *Table) (*Table, []Conflict) {
	baseCells, myCells, theirCells := cellsOf(base), cellsOf(mine), cellsOf(theirs)
	out := make(cellValues, len(theirCells))
	for cell, value := range theirCells {
		out[cell] = value
	}
	var conflicts []Conflict
	for _, cell := range sortedUnion(baseCells, myCells) {
		if myCells[cell] == baseCells[cell] || myCells[cell] == theirCells[cell] {
			continue
		}
		if theirCells[cell] != baseCells[cell] {
			conflicts = append(conflicts, Conflict{Cell: cell, Base: baseCells[cell], Mine: myCells[cell], Theirs: theirCells[cell]})
			continue
		}
		if value, ok := myCells[cell]; ok {
			out[cell] = value
		} else {
			delete(out, cell)
		}
	}
	conflicts = append(conflicts, removalConflicts(baseCells, myCells, theirCells)...)
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return tableOf(out), nil
}

// removalConflicts returns conflicts for the rows and services that one side removed while the
// other side changed one of their cells. A merge would leave only some cells of such a row.
func removalConflicts(baseCells, myCells, theirCells cellValues) []Conflict {
	var out []Conflict
	for _, cell := range sortedUnion(baseCells, nil) {
		_, inMine := myCells[cell]
		_, inTheirs := theirCells[cell]
		if inMine == inTheirs {
			continue
		}
		kept := myCells
		if inTheirs {
			kept = theirCells
		}
		if changed, sibling := changedSibling(baseCells, kept, cell); changed {
			out = append(out, Conflict{Cell: sibling, Base: baseCells[sibling], Mine: myCells[sibling], Theirs: theirCells[sibling]})
		}
	}
	return out
}

// changedSibling reports whether a cell of the same object as cell differs between baseCells
// and kept, and returns such a cell.
func changedSibling(baseCells, kept cellValues, cell Cell) (bool, Cell) {
	for sibling, value := range baseCells {
		if sibling.Kind == cell.Kind && sibling.Name == cell.Name && kept[sibling] != value {
			return true, sibling
		}
	}
	return false, Cell{}
}

// sortedUnion returns the cells of a and b without duplicates, sorted by their texts.
func sortedUnion(a, b cellValues) []Cell {
	out := make([]Cell, 0, len(a)+len(b))
	for cell := range a {
		out = append(out, cell)
	}
	for cell := range b {
		if _, ok := a[cell]; !ok {
			out = append(out, cell)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// Undo returns t as it was before the changes.
func Undo(t *Table, changes []Change) *Table {
	cells := cellsOf(t)
	for _, c := range changes {
		if c.Before == "" {
			delete(cells, c.Cell)
		} else {
			cells[c.Cell] = c.Before
		}
	}
	return tableOf(cells)
}
