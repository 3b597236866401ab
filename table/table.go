package table

import (
	"time"
)

// CapWindow is the length of the sliding window that caps are counted over.
const CapWindow = time.Second

// NoCap is the Cap of a row without a limit.
const NoCap = -1

// Bounds of the numbers in a table.
const (
	MaxWeight = 1_000_000
	MaxCap    = 1_000_000
	MaxRamp   = time.Hour
	FullShift = 100
)

// Table is everything that operators set. Its zero value is empty and valid.
type Table struct {
	Regions  []Region  `json:"regions"`
	Services []Service `json:"services"`
	Rows     []Row     `json:"rows"`
	Drains   []Drain   `json:"drains,omitempty"`
}

// Region is a region with its halls. The order of the halls decides how a cap
// that does not divide evenly is split.
type Region struct {
	Name  string   `json:"name"`
	Halls []string `json:"halls"`
}

// Service is one service that targets offer.
type Service struct {
	Name string `json:"name"`
	// NonIdempotent marks a service whose operations run at most once. Requests of
	// other services may be retried freely.
	NonIdempotent bool `json:"once,omitempty"`
	// Reserve is the percentage of each hall's slots that requests from other
	// regions may not fill.
	Reserve int `json:"floor,omitempty"`
}

// Row is one line of weights and limits. See the package comment.
type Row struct {
	Service string        `json:"service"`
	From    string        `json:"from"`
	To      string        `json:"to"`
	Weight  int           `json:"weight"`
	Cap     int           `json:"cap"`
	Shift   int           `json:"shift"`
	Ramp    time.Duration `json:"ramp"`
}

// Key names the row.
func (r Row) Key() RowKey {
	return RowKey{Service: r.Service, From: r.From, To: r.To}
}

// RowKey names a row.
type RowKey struct {
	Service string `json:"service" msgpack:"s"`
	From    string `json:"from" msgpack:"f"`
	To      string `json:"to" msgpack:"t"`
}

// String returns the key as "service from>to".
func (k RowKey) String() string {
	return k.Service + " " + k.From + ">" + k.To
}

// DrainScope is the kind of thing that a drain names.
type DrainScope string

// The scopes of a drain.
const (
	ScopeRegion DrainScope = "region"
	ScopeHall   DrainScope = "hall"
	ScopeTarget DrainScope = "target"
)

// Drain takes a region, a hall or a target out of use: it gets no new work.
type Drain struct {
	Scope DrainScope `json:"scope"`
	Name  string     `json:"name"`
}

// Region returns the region called name.
func (t *Table) Region(name string) (Region, bool) {
	for _, r := range t.Regions {
		if r.Name == name {
			return r, true
		}
	}
	return Region{}, false
}

// Service returns the service called name.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Drained tells whether a drain of the scope names name.
func (t *Table) Drained(scope DrainScope, name string) bool {
	for _, d := range t.Drains {
		if d.Scope == scope && d.Name == name {
			return true
		}
	}
	return false
}

// Clone returns a deep copy.
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

// SetRow replaces the row with the same key, or adds it.
func (t *Table) SetRow(row Row) {
	for i, r := range t.Rows {
		if r.Key() == row.Key() {
			t.Rows[i] = row
			return
		}
	}
	t.Rows = append(t.Rows, row)
}

// SetDrain adds or removes a drain. It reports whether the table changed.
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
