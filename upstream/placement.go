package upstream

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// regionTargets are a region's targets. They are kept in order and counted as single targets change:
// in a large fleet that happens several times a second at each instance, and to list all of them anew
// for each would take more of a processor than anything else.
type regionTargets struct {
	name        string
	utilization utilization
	// listed are the targets that may get requests, by side, in the order of IDs.
	listed targetsByCohort
	// canaries are those of the new side that get requests while not all of them do, nil if they have to
	// be chosen anew.
	canaries []*target
	// serving count the listed targets that are meant to serve, by side.
	serving [2]serving
}

// serving are targets that are meant to serve.
type serving struct {
	targets int
	slots   float64
}

// placement is where a target is listed, and as what it counts there. The zero value is nowhere.
type placement struct {
	listedIn *regionTargets
	serving  bool
	slots    float64
}

// regionFor returns the targets of a region.
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

// forEachListed calls a function for forEachListed listed target, in the order of regions, sides and IDs.
func (p *Pool) forEachListed(do func(*target)) {
	for _, r := range p.sortedRegions {
		for _, listed := range r.listed {
			for _, t := range listed {
				do(t)
			}
		}
	}
}

// place lists a target where it belongs as things stand, and counts it there.
func (p *Pool) place(now time.Time, t *target) {
	side, in := p.cohortOf(t), (*regionTargets)(nil)
	if p.mayList(now, t) {
		in = t.region
	}
	if in != t.placement.listedIn || side != t.cohort {
		p.unplace(t)
		t.cohort = side
		if in != nil {
			in.insert(t)
		}
	}
	p.count(t)
}

// unplace takes a target out of its list.
func (p *Pool) unplace(t *target) {
	in := t.placement.listedIn
	if in == nil {
		return
	}
	in.remove(t)
	p.countAs(t, placement{})
}

// count counts a target as one that is meant to serve, or no longer.
func (p *Pool) count(t *target) {
	now := placement{listedIn: t.placement.listedIn}
	if now.listedIn != nil && t.inService() {
		now.serving, now.slots = true, float64(t.spec.Slots)
	}
	p.countAs(t, now)
}

// countAs replaces what a target counts as.
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
