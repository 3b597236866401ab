package upstream

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// regionTargets holds the targets of a region. The lists and counts are updated for each changed
// target. In a large fleet several targets change per second, and rebuilding the lists each time
// would dominate the processor time of an instance.
type regionTargets struct {
	name        string
	utilization utilization
	// listed holds the targets that may get requests, by cohort and ordered by ID.
	listed targetsByCohort
	// canaries holds the targets of the new cohort that get requests while not all of them do. It
	// is nil if they have to be chosen again.
	canaries []*target
	// serving counts the listed targets in service, by cohort.
	serving [2]serving
}

// serving holds a number of targets in service and the sum of their slots.
type serving struct {
	targets int
	slots   float64
}

// placement records in which region a target is listed and how it is counted there. In the zero
// value it is not listed.
type placement struct {
	listedIn *regionTargets
	serving  bool
	slots    float64
}

// regionFor returns the targets of a region, which is added if it is new.
func (p *Pool) regionFor(name string) *regionTargets {
	r := p.regions[name]
	if r == nil {
		r = &regionTargets{name: name}
		p.regions[name] = r
		p.sortedRegions = append(p.sortedRegions, r)
		slices.SortFunc(p.sortedRegions, func(a, b *regionTargets) int { return strings.Compare(a.name, b.name) })
	}
	return r
}

// forEachListed calls a function for each listed target, ordered by region, cohort and ID.
func (p *Pool) forEachListed(do func(*target)) {
	for _, r := range p.sortedRegions {
		for _, listed := range r.listed {
			for _, t := range listed {
				do(t)
			}
		}
	}
}

// place lists a target in its current region and cohort, or removes it from its list, and updates
// the counts.
func (p *Pool) place(now time.Time, t *target) {
	c, listedIn := p.cohortOf(t), (*regionTargets)(nil)
	if p.mayList(now, t) {
		listedIn = t.region
	}
	if listedIn != t.placement.listedIn || c != t.cohort {
		p.unplace(t)
		t.cohort = c
		if listedIn != nil {
			listedIn.insert(t)
		}
	}
	p.count(t)
}

// unplace removes a target from its list.
func (p *Pool) unplace(t *target) {
	listedIn := t.placement.listedIn
	if listedIn == nil {
		return
	}
	listedIn.remove(t)
	p.countAs(t, placement{})
}

// count updates the counts for a target that may have entered or left service.
func (p *Pool) count(t *target) {
	current := placement{listedIn: t.placement.listedIn}
	if current.listedIn != nil && t.inService() {
		current.serving, current.slots = true, float64(t.spec.Slots)
	}
	p.countAs(t, current)
}

// countAs replaces the contribution of a target to the counts.
func (p *Pool) countAs(t *target, after placement) {
	before := t.placement
	t.placement = after
	if before.serving == after.serving && before.slots == after.slots {
		return
	}
	if before.serving {
		n := &before.listedIn.serving[t.cohort]
		n.targets--
		n.slots -= before.slots
	}
	if after.serving {
		n := &after.listedIn.serving[t.cohort]
		n.targets++
		n.slots += after.slots
	}
	p.invalidatePlans()
}

func byID(t *target, id string) int { return cmp.Compare(t.spec.ID, id) }

func (r *regionTargets) insert(t *target) {
	listed := r.listed[t.cohort]
	at, _ := slices.BinarySearchFunc(listed, t.spec.ID, byID)
	r.listed[t.cohort] = slices.Insert(listed, at, t)
	r.canaries = nil
	t.placement.listedIn = r
}

func (r *regionTargets) remove(t *target) {
	listed := r.listed[t.cohort]
	at, found := slices.BinarySearchFunc(listed, t.spec.ID, byID)
	if found {
		r.listed[t.cohort] = slices.Delete(listed, at, at+1)
	}
	r.canaries = nil
}
