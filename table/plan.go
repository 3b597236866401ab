package table

import "sort"

// Plan is a checked table in the form that routing uses. It is immutable.
type Plan struct {
	// Version is the version of the configuration that the plan was made of.
	Version int64
	Table   *Table

	routes   map[routeKey][]Row
	services map[string]Service
	regionOf map[string]string
	hallsOf  map[string][]string
	drained  map[Drain]bool
}

type routeKey struct{ service, from string }

// Compile makes a plan of t, which must have passed Check.
func Compile(t *Table, version int64) *Plan {
	p := &Plan{
		Version:  version,
		Table:    t,
		routes:   make(map[routeKey][]Row),
		services: make(map[string]Service),
		regionOf: make(map[string]string),
		hallsOf:  make(map[string][]string),
		drained:  make(map[Drain]bool),
	}
	for _, r := range t.Regions {
		p.hallsOf[r.Name] = r.Halls
		for _, h := range r.Halls {
			p.regionOf[h] = r.Name
		}
	}
	for _, s := range t.Services {
		p.services[s.Name] = s
	}
	for _, d := range t.Drains {
		p.drained[d] = true
	}
	for _, r := range t.Rows {
		k := routeKey{r.Service, r.From}
		p.routes[k] = append(p.routes[k], r)
	}
	for _, rows := range p.routes {
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].Weight > rows[j].Weight })
	}
	return p
}

// Rows returns the rows of a service from a region, the heaviest first. The
// caller must not change them.
func (p *Plan) Rows(service, from string) []Row {
	return p.routes[routeKey{service, from}]
}

// Service returns the service called name.
func (p *Plan) Service(name string) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// RegionOf returns the region that a hall belongs to, or "".
func (p *Plan) RegionOf(hall string) string { return p.regionOf[hall] }

// Halls returns the halls of a region. The caller must not change them.
func (p *Plan) Halls(region string) []string { return p.hallsOf[region] }

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
