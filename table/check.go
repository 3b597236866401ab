package table

import (
	"fmt"
	"regexp"
)

// namePattern matches the valid names of regions, halls and services.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Maximum sizes of a table. docs/CAPACITY.md describes the expected sizes. MaxHalls is the
// maximum number of halls of a region.
const (
	MaxRows     = 2_000
	MaxRegions  = 64
	MaxHalls    = 32
	MaxServices = 512
)

// Check returns all faults of t. It takes the positions of rows from sheet, which may be nil.
func Check(t *Table, sheet *Sheet) Findings {
	c := &checker{table: t, sheet: sheet}
	c.sizes()
	c.regions()
	c.services()
	c.rows()
	c.weights()
	c.drains()
	return c.findings
}

type checker struct {
	table    *Table
	sheet    *Sheet
	findings Findings
}

func (c *checker) add(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) addRow(row Row, col int, format string, args ...any) {
	f := Finding{Field: Header[col], Message: row.Key().String() + ": " + fmt.Sprintf(format, args...)}
	if c.sheet != nil {
		at := c.sheet.positions[row.Key()]
		f.Line = at.line
		f.Column = at.columns[col]
	}
	c.findings = append(c.findings, f)
}

func (c *checker) sizes() {
	sizes := []struct {
		field     string
		have, max int
	}{
		{"rows", len(c.table.Rows), MaxRows},
		{"regions", len(c.table.Regions), MaxRegions},
		{"services", len(c.table.Services), MaxServices},
	}
	for _, s := range sizes {
		if s.have > s.max {
			c.add(s.field, "%d exceeds the maximum of %d", s.have, s.max)
		}
	}
}

func (c *checker) regions() {
	regions := make(map[string]bool)
	halls := make(map[string]string)
	for _, r := range c.table.Regions {
		c.name("region", r.Name)
		if regions[r.Name] {
			c.add("region", "%s is listed twice", r.Name)
		}
		regions[r.Name] = true
		if len(r.Halls) == 0 || len(r.Halls) > MaxHalls {
			c.add("region", "%s has %d halls, want 1 to %d", r.Name, len(r.Halls), MaxHalls)
		}
		for _, h := range r.Halls {
			c.name("hall", h)
			if other, twice := halls[h]; twice {
				c.add("hall", "%s belongs to %s and %s", h, other, r.Name)
			}
			halls[h] = r.Name
		}
	}
}

func (c *checker) name(field, name string) {
	if !namePattern.MatchString(name) {
		c.add(field, "%q: want 1 to 63 of a-z, 0-9 and -", name)
	}
}

func (c *checker) services() {
	seen := make(map[string]bool)
	for _, s := range c.table.Services {
		c.name("service", s.Name)
		if seen[s.Name] {
			c.add("service", "%s is listed twice", s.Name)
		}
		seen[s.Name] = true
		if s.Reserve < 0 || s.Reserve > 100 {
			c.add("floor", "%s: %d is not in 0 to 100", s.Name, s.Reserve)
		}
	}
}

func (c *checker) rows() {
	seen := make(map[RowKey]bool)
	for _, r := range c.table.Rows {
		if seen[r.Key()] {
			c.addRow(r, colService, "row is listed twice")
		}
		seen[r.Key()] = true
		if _, ok := c.table.Service(r.Service); !ok {
			c.addRow(r, colService, "no service %q", r.Service)
		}
		if _, ok := c.table.Region(r.From); !ok {
			c.addRow(r, colFrom, "no region %q", r.From)
		}
		if _, ok := c.table.Region(r.To); !ok {
			c.addRow(r, colTo, "no region %q", r.To)
		}
		c.rowValues(r)
	}
}

// rowValues checks the weight, cap, shift and ramp of a row.
func (c *checker) rowValues(r Row) {
	if r.Weight < 0 || r.Weight > MaxWeight {
		c.addRow(r, colWeight, "%d is not in 0 to %d", r.Weight, MaxWeight)
	}
	if r.Cap < NoCap || r.Cap > MaxCap {
		c.addRow(r, colCap, "%d is not in 0 to %d", r.Cap, MaxCap)
	}
	if r.Cap == NoCap && r.From != r.To {
		c.addRow(r, colCap, "a row between regions needs a cap")
	}
	if r.Shift < 1 || r.Shift > FullShift {
		c.addRow(r, colShift, "%d is not in 1 to %d", r.Shift, FullShift)
	}
	if r.Ramp < 0 || r.Ramp > MaxRamp {
		c.addRow(r, colRamp, "%s is not in 0 to %s", r.Ramp, MaxRamp)
	}
	if r.Shift < FullShift && r.Ramp == 0 {
		c.addRow(r, colRamp, "a shift below %d needs a ramp", FullShift)
	}
}

// weights checks that the rows of a service from a region do not all have weight 0, because
// every request for the service from that region would be refused. Operators who intend this
// can use a drain.
func (c *checker) weights() {
	type group struct{ service, from string }
	sums := make(map[group]int)
	last := make(map[group]Row)
	var order []group
	for _, r := range c.table.Rows {
		g := group{r.Service, r.From}
		if _, ok := sums[g]; !ok {
			order = append(order, g)
		}
		sums[g] += r.Weight
		last[g] = r
	}
	for _, g := range order {
		if sums[g] == 0 {
			c.addRow(last[g], colWeight, "every weight of %s from %s is 0", g.service, g.from)
		}
	}
}

func (c *checker) drains() {
	for _, d := range c.table.Drains {
		switch d.Scope {
		case ScopeRegion:
			if _, ok := c.table.Region(d.Name); !ok {
				c.add("drain", "no region %q", d.Name)
			}
		case ScopeHall:
			if !c.hasHall(d.Name) {
				c.add("drain", "no hall %q", d.Name)
			}
		case ScopeTarget:
			// An unknown target is no fault, because targets are added
			// to the platform's list and removed from it at any time.
			if d.Name == "" {
				c.add("drain", "a target needs a name")
			}
		default:
			c.add("drain", "no scope %q: want region, hall or target", d.Scope)
		}
	}
}

func (c *checker) hasHall(name string) bool {
	for _, r := range c.table.Regions {
		for _, h := range r.Halls {
			if h == name {
				return true
			}
		}
	}
	return false
}
