package table

import "sort"

// Plan is a checked table in the form that routing uses. It is immutable.
type Plan struct {
	// Version is the version of the configuration that the plan was made of.
	Version int64
	Table   *Table

	rows          map[rowGroup][]Row
	services      map[string]Service
	regionByHall  map[string]string
	hallsByRegion map[string][]string
	drained       map[Drain]bool
}

type rowGroup struct{ service, from string }

// Compile makes a plan of t, which must have passed Check.
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

// Rows returns the rows of a service from a region, the heaviest first. The
// caller must not change them.
func (p *Plan) Rows(service, from string) []Row {
	return p.rows[rowGroup{service, from}]
}

// Service returns the service called name.
func (p *Plan) Service(name string) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// RegionOf returns the region that a hall belongs to, or "".
func (p *Plan) RegionOf(hall string) string { return p.regionByHall[hall] }

// Halls returns the halls of a region. The caller must not change them.
func (p *Plan) Halls(region string) []string { return p.hallsByRegion[region] }

// RegionDrained tells whether a region gets no new work.
func (p *Plan) RegionDrained(region string) bool {
	return p.drained[Drain{ScopeRegion, region}]
}

// HallDrained tells whether a drain names the hall itself.
func (p *Plan) HallDrained(hall string) bool {
	return p.drained[Drain{ScopeHall, hall}]
}

// TargetDrained tells whether a drain names the target.
func (p *Plan) TargetDrained(target string) bool {
	return p.drained[Drain{ScopeTarget, target}]
}
