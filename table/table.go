package table

import (
	"time"
)

// CapWindow is the length of the sliding window in which a cap limits the requests.
const CapWindow = time.Second

// NoCap is the value of Row.Cap for a row without a cap.
const NoCap = -1

// Maximum values in a table. FullShift is the shift, in percent, that permits the whole cap
// at once.
const (
	MaxWeight = 1_000_000
	MaxCap    = 1_000_000
	MaxRamp   = time.Hour
	FullShift = 100
)

// Table is the operators' table. The zero value is empty and valid.
type Table struct {
	Regions  []Region  `json:"regions"`
	Services []Service `json:"services"`
	Rows     []Row     `json:"rows"`
	Drains   []Drain   `json:"drains,omitempty"`
}

// Region is a region with its halls. If a cap can't be divided evenly among the halls, their
// order determines the distribution of the remainder.
type Region struct {
	Name  string   `json:"name"`
	Halls []string `json:"halls"`
}

// Service is a service that targets run.
type Service struct {
	Name string `json:"name"`
	// NonIdempotent states that a request of the service must run at most once.
	// Requests of other services may be retried without restriction.
	NonIdempotent bool `json:"once,omitempty"`
	// Reserve is the percentage of each hall's slots that is reserved for requests
	// from the hall's own region.
	Reserve int `json:"floor,omitempty"`
}

// Row is a row of the table. The package comment describes its fields.
type Row struct {
	Service string        `json:"service"`
	From    string        `json:"from"`
	To      string        `json:"to"`
	Weight  int           `json:"weight"`
	Cap     int           `json:"cap"`
	Shift   int           `json:"shift"`
	Ramp    time.Duration `json:"ramp"`
}

// Key returns the key of the row.
func (r Row) Key() RowKey {
	return RowKey{Service: r.Service, From: r.From, To: r.To}
}

// RowKey identifies a row.
type RowKey struct {
	Service string `json:"service" msgpack:"s"`
	From    string `json:"from" msgpack:"f"`
	To      string `json:"to" msgpack:"t"`
}

// String returns the key in the form "service from>to".
func (k RowKey) String() string {
	return k.Service + " " + k.From + ">" + k.To
}

// DrainScope is the kind of object that a drain applies to.
type DrainScope string

// Scopes of a drain.
const (
	ScopeRegion DrainScope = "region"
	ScopeHall   DrainScope = "hall"
	ScopeTarget DrainScope = "target"
)

// Drain takes a region, a hall or a target out of use, so that it gets no new requests.
type Drain struct {
	Scope DrainScope `json:"scope"`
	Name  string     `json:"name"`
}

// Region returns the region with the given name, and whether there is one.
func (t *Table) Region(name string) (Region, bool) {
	for _, r := range t.Regions {
		if r.Name == name {
			return r, true
		}
	}
	return Region{}, false
}

// Service returns the service with the given name, and whether there is one.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Drained reports whether the table has a drain of the given scope and name.
func (t *Table) Drained(scope DrainScope, name string) bool {
	for _, d := range t.Drains {
		if d.Scope == scope && d.Name == name {
			return true
		}
	}
	return false
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() *Table {
	out := &Table{
		Services: append([]Service(nil), t.Services...),
		Rows:     append([]Row(nil), t.Rows...),
		Drains:   append([]Drain(nil), t.Drains...),
	}
	for _, r := range t.Regions {
		r.Halls = append([]string(nil), r.Halls...)
		out.Regions = append(out.Regions, r)
	}
	return out
}

// SetRow replaces the row that has the same key, or adds the row if there is none.
func (t *Table) SetRow(row Row) {
	for i, r := range t.Rows {
		if r.Key() == row.Key() {
			t.Rows[i] = row
			return
		}
	}
	t.Rows = append(t.Rows, row)
}

// SetDrain adds the drain if on is true, and removes it otherwise. It reports whether the table
// changed.
func (t *Table) SetDrain(d Drain, on bool) bool {
	for i, have := range t.Drains {
		if have != d {
			continue
		}
		if on {
			return false
		}
		t.Drains = append(t.Drains[:i], t.Drains[i+1:]...)
		return true
	}
	if on {
		t.Drains = append(t.Drains, d)
	}
	return on
}
