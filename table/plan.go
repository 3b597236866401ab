package table

import "sort"

// Plan is a checked table, indexed for the look-ups of routing. It is immutable and safe for
// concurrent use.
type Plan struct {
	// Version is the version of the configuration from which the plan was compiled.
	Version int64
	Table   *Table

	rows          map[rowGroup][]Row
	services      map[string]Service
	regionByHall  map[string]string
	hallsByRegion map[string][]string
	drained       map[Drain]bool
}

// rowGroup identifies the rows of a service and an origin region.
type rowGroup struct{ service, from string }

// Compile returns the plan for t, which must have passed Check and must not be changed
// afterwards.
func Compile(t *Table, version int64) *Plan {
	p := &Plan{
		Version:       version,
		Table:         t,
		rows:          make(map[rowGroup][]Row),
		services:      make(map[string]Service),
		regionByHall:  make(map[string]string),
		hallsByRegion: make(map[string][]string),
		drained:       make(map[Drain]bool),
	}
	for _, r := range t.Regions {
		p.hallsByRegion[r.Name] = r.Halls
		for _, h := range r.Halls {
			p.regionByHall[h] = r.Name
		}
	}
	for _, s := range t.Services {
		p.services[s.Name] = s
	}
	for _, d := range t.Drains {
		p.drained[d] = true
	}
	for _, r := range t.Rows {
		k := rowGroup{r.Service, r.From}
		p.rows[k] = append(p.rows[k], r)
	}
	for _, rows := range p.rows {
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].Weight > rows[j].Weight })
	}
	return p
}

// Rows returns the rows of a service and an origin region, sorted by decreasing weight. The
// caller must not change them.
func (p *Plan) Rows(service, from string) []Row {
	return p.rows[rowGroup{service, from}]
}

// Service returns the service with the given name, and whether there is one.
func (p *Plan) Service(name string) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// RegionOf returns the region of a hall, or "" for an unknown hall.
func (p *Plan) RegionOf(hall string) string { return p.regionByHall[hall] }

// Halls returns the halls of a region. The caller must not change them.
func (p *Plan) Halls(region string) []string { return p.hallsByRegion[region] }

// RegionDrained reports whether a region is drained, so that it gets no new requests.
func (p *Plan) RegionDrained(region string) bool {
	return p.drained[Drain{ScopeRegion, region}]
}

// HallDrained reports whether there is a drain of the hall itself, regardless of its region.
func (p *Plan) HallDrained(hall string) bool {
	return p.drained[Drain{ScopeHall, hall}]
}

// TargetDrained reports whether there is a drain of the target itself, regardless of its hall
// and region.
func (p *Plan) TargetDrained(target string) bool {
	return p.drained[Drain{ScopeTarget, target}]
}
