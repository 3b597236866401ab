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
	name  string
	usage usage
	// listed are the targets that may get requests, by side, in the order of IDs.
	listed sides
	// open are those of the new side that get requests while not all of them do, nil if they have to
	// be chosen anew.
	open []*target
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
	in      *regionTargets
	serving bool
	slots   float64
}

// regionFor returns the targets of a region.
func (p *Pool) regionFor(name string) *regionTargets {
	r := p.regions[name]
	if r == nil {
		r = &regionTargets{name: name}
		p.regions[name] = r
		p.inOrder = append(p.inOrder, r)
		slices.SortFunc(p.inOrder, func(a, b *regionTargets) int { return strings.Compare(a.name, b.name) })
	}
	return r
}

// each calls a function for each listed target, in the order of regions, sides and IDs.
func (p *Pool) each(do func(*target)) {
	for _, r := range p.inOrder {
		for _, listed := range r.listed {
			for _, t := range listed {
				do(t)
			}
		}
	}
}

// place lists a target where it belongs as things stand, and counts it there.
func (p *Pool) place(now time.Time, t *target) {
	side, in := p.sideOf(t), (*regionTargets)(nil)
	if p.mayList(now, t) {
		in = t.region
	}
	if in != t.placement.in || side != t.side {
		p.unplace(t)
		t.side = side
		if in != nil {
			in.insert(t)
		}
	}
	p.count(t)
}

// unplace takes a target out of its list.
func (p *Pool) unplace(t *target) {
	in := t.placement.in
	if in == nil {
		return
	}
	in.remove(t)
	p.countAs(t, placement{})
}

// count counts a target as one that is meant to serve, or no longer.
func (p *Pool) count(t *target) {
	now := placement{in: t.placement.in}
	if now.in != nil && t.serves() {
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
		n := &before.in.serving[t.side]
		n.targets--
		n.slots -= before.slots
	}
	if after.serving {
		n := &after.in.serving[t.side]
		n.targets++
		n.slots += after.slots
	}
	p.replan()
}

func byID(t *target, id string) int { return cmp.Compare(t.spec.ID, id) }

func (r *regionTargets) insert(t *target) {
	listed := r.listed[t.side]
	at, _ := slices.BinarySearchFunc(listed, t.spec.ID, byID)
	r.listed[t.side] = slices.Insert(listed, at, t)
	r.open = nil
	t.placement.in = r
}

func (r *regionTargets) remove(t *target) {
	listed := r.listed[t.side]
	at, found := slices.BinarySearchFunc(listed, t.spec.ID, byID)
	if found {
		r.listed[t.side] = slices.Delete(listed, at, at+1)
	}
	r.open = nil
}
