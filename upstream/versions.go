package upstream

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/rollout"
)

// side is which of a service's targets a request goes to while a rollout brings in a new version.
type side int

// Without a rollout all targets are on the old side.
const (
	oldSide side = iota
	newSide
)

func (s side) other() side {
	if s == oldSide {
		return newSide
	}
	return oldSide
}

// sides are a region's targets that may get requests, by side.
type sides [2][]*target

const (
	// leastOpen is the number of new targets in each region that get requests at least, once any
	// do: one may be at fault by itself.
	leastOpen = 2
	// unorderedTime is how long targets of a new version get nothing where no order for it is
	// known. An order and the targets that start with it may become known in either order.
	unorderedTime = 3 * time.Second
)

// versions are those of a service's targets, with when each was first seen.
type versions struct {
	seen map[string]time.Time
	// heldUntil is when targets may be used that are held back, zero if there are none.
	heldUntil time.Time
	// barred are those of orders that another one took the place of before they were brought in.
	barred map[string]bool
}

// note takes in the versions of the targets there are now. Those of a pool's first targets have been
// there before.
func (v *versions) note(now time.Time, targets []*target) {
	first := v.seen == nil
	if first {
		v.seen = make(map[string]time.Time)
	}
	present := make(map[string]bool)
	for _, t := range targets {
		present[t.spec.Version] = true
		if _, ok := v.seen[t.spec.Version]; !ok {
			v.seen[t.spec.Version] = now
			if first {
				v.seen[t.spec.Version] = now.Add(-unorderedTime)
			}
		}
	}
	for version := range v.seen {
		if !present[version] {
			delete(v.seen, version)
			delete(v.barred, version)
		}
	}
}

// replace takes in that an order for a version takes the place of one for another version.
func (v *versions) replace(before rollout.Split, version string) {
	delete(v.barred, version)
	if before.Version == "" || before.Version == version || before.Over && before.All() {
		return
	}
	if v.barred == nil {
		v.barred = make(map[string]bool)
	}
	v.barred[before.Version] = true
}

// isAfter tells whether a version was first seen later than another one.
func (v *versions) isAfter(version, other string) bool { return v.seen[version].After(v.seen[other]) }

// isLater tells whether a version was first seen later than any other.
func (v *versions) isLater(version string) bool {
	for other := range v.seen {
		if v.isAfter(version, other) {
			return true
		}
	}
	return false
}

// holds tells whether the targets of a version are held back for now.
func (v *versions) holds(now time.Time, version string) bool {
	until := v.seen[version].Add(unorderedTime)
	if !now.Before(until) {
		return false
	}
	if v.heldUntil.IsZero() || until.Before(v.heldUntil) {
		v.heldUntil = until
	}
	return true
}

// SetSplit takes in which part of the requests goes to targets of a new version, and until when that
// holds if nothing else is said, zero for good. It returns the grants that this makes possible.
func (p *Pool) SetSplit(now time.Time, split rollout.Split, until time.Time) []Grant {
	p.splitUntil = until
	if split == p.split {
		return nil
	}
	p.versions.replace(p.split, split.Version)
	again := split.Version != p.split.Version || split.Targets != p.split.Targets || split.Over != p.split.Over
	p.split = split
	if again {
		p.arrange(now)
	} else {
		p.replan()
	}
	return p.dispatch(now)
}

// divide lists the targets of each region by side. New ones that get nothing are left out, unless
// there are no others.
func (p *Pool) divide(now time.Time) {
	p.versions.heldUntil = time.Time{}
	if p.config.HoldsNew {
		p.versions.note(now, p.targets)
	}
	for _, t := range p.targets {
		t.side = p.sideOf(t)
		ordered := t.spec.Version == p.split.Version
		if p.versions.barred[t.spec.Version] && len(p.versions.seen) > len(p.versions.barred) {
			continue
		}
		if p.config.HoldsNew && !ordered && p.versions.isLater(t.spec.Version) && p.versions.holds(now, t.spec.Version) {
			continue
		}
		s := p.byRegion[t.region]
		if s == nil {
			s = &sides{}
			p.byRegion[t.region] = s
		}
		s[t.side] = append(s[t.side], t)
	}
	if p.split.Over {
		return
	}
	for _, s := range p.byRegion {
		s[newSide] = p.open(s[newSide])
	}
}

// sideOf returns the side of a target. Once a version has been brought in, those that come after it
// take part like it.
func (p *Pool) sideOf(t *target) side {
	switch {
	case p.split.Version == "":
		return oldSide
	case t.spec.Version == p.split.Version:
		return newSide
	case p.split.Over && p.split.All() && p.versions.isAfter(t.spec.Version, p.split.Version):
		return newSide
	default:
		return oldSide
	}
}

// open returns the new targets of a region that get requests: a part of them, the same at all
// instances.
func (p *Pool) open(targets []*target) []*target {
	place := func(t *target) float64 { return mix.Unit(mix.Join(t.hash, openSalt)) }
	var out []*target
	for _, t := range targets {
		if p.split.Opens(place(t)) {
			out = append(out, t)
		}
	}
	if len(out) >= min(leastOpen, len(targets)) {
		return out
	}
	out = append(out[:0:0], targets...)
	sort.Slice(out, func(i, j int) bool { return place(out[i]) < place(out[j]) })
	return out[:min(leastOpen, len(out))]
}

// openSalt and drawSalt tell draws apart that are made with the same hashes.
const (
	openSalt = 0x6f70656e
	drawSalt = 0x64726177
)

// targetsOf returns the targets of a region that a request may go to.
func (p *Pool) targetsOf(r *Request, region string) []*target {
	s := p.byRegion[region]
	if s == nil {
		return nil
	}
	return s[r.side]
}

// sideFor draws the side of a request. One that was sent before goes to old targets, as long as most
// do.
func (p *Pool) sideFor(now time.Time, r *Request) side {
	if until := p.versions.heldUntil; !until.IsZero() && !now.Before(until) {
		p.arrange(now)
	}
	switch {
	case p.split.Version == "":
		return oldSide
	case p.split.Over && p.split.All():
		return newSide
	case p.split.Over || !p.splitUntil.IsZero() && !now.Before(p.splitUntil):
		return oldSide
	case len(r.Avoid) > 0 && !p.split.All():
		return oldSide
	}
	key := mix.Unit(mix.Pair(r.Key, p.split.Version))
	draw := mix.Unit(mix.Join(r.ID, mix.Join(p.salt, drawSalt)))
	if p.split.ToNew(key, draw) {
		return newSide
	}
	return oldSide
}

// mayChangeSide tells whether a request that has no target among those of its version may go to one
// of the other: to an old one as long as these serve, but to a new one only if no old one does.
func (p *Pool) mayChangeSide(r *Request, reason Reason) bool {
	switch {
	case p.split.Version == "":
		return false
	case r.side == newSide:
		return !p.split.All() || reason == ReasonNoTarget
	default:
		return reason == ReasonNoTarget && !p.serves(oldSide)
	}
}

// serves tells whether a target of a side is meant to serve.
func (p *Pool) serves(s side) bool {
	for _, t := range p.targets {
		if t.side == s && t.serves() {
			return true
		}
	}
	return false
}

// mostSide returns the side whose slots count for the shares of regions, if a rollout goes on.
func (p *Pool) mostSide() side {
	if p.split.All() && p.serves(newSide) || !p.serves(oldSide) {
		return newSide
	}
	return oldSide
}

// Versions are the targets of a service by version, while a rollout goes on.
type Versions struct {
	// OldSlots and NewSlots are those of the targets that are meant to serve.
	OldSlots, NewSlots float64
	// AtOld is the number of requests of this instance at old targets, and Usage the part of the
	// slots that is in use, by what targets have told of late.
	AtOld int
	Usage float64
	// Rate is the number of requests that this instance sends a second.
	Rate float64
}

// Versions returns what there is of the targets of both versions.
func (p *Pool) Versions(now time.Time) Versions {
	v := Versions{Rate: p.returns.sentRate(now)}
	used := 0.0
	for _, t := range p.targets {
		slots := float64(t.spec.Slots)
		switch {
		case t.side == newSide && t.serves():
			v.NewSlots += slots
		case t.side == oldSide && t.serves():
			v.OldSlots += slots
			used += slots * t.peers.at(now)
		}
		if t.side == oldSide {
			v.AtOld += t.inFlight
		}
	}
	if v.OldSlots > 0 {
		v.Usage = used / v.OldSlots
	}
	return v
}
