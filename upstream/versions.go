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

// versions are those of the service's targets, with when each was first seen.
type versions struct {
	// targets count those of each version, and changed says that a version came or went since the
	// last look.
	targets map[string]int
	changed bool
	seen    map[string]time.Time
	// heldUntil is when targets may be used that are held back, zero if there are none.
	heldUntil time.Time
	// barred are those of orders that another one took the place of before they were brought in.
	barred map[string]bool
}

// add counts a target of a version.
func (v *versions) add(version string) {
	if v.targets == nil {
		v.targets = make(map[string]int)
	}
	v.targets[version]++
	v.changed = v.changed || v.targets[version] == 1
}

// remove takes a target of a version from the count.
func (v *versions) remove(version string) {
	v.targets[version]--
	if v.targets[version] == 0 {
		delete(v.targets, version)
		v.changed = true
	}
}

// note takes in the versions of the targets there are now, and reports whether any came or went. Those
// of a pool's first targets have been there before.
func (v *versions) note(now time.Time) bool {
	if !v.changed {
		return false
	}
	v.changed = false
	since := now
	if v.seen == nil {
		v.seen = make(map[string]time.Time)
		since = now.Add(-unorderedTime)
	}
	for version := range v.targets {
		if _, ok := v.seen[version]; !ok {
			v.seen[version] = since
		}
	}
	for version := range v.seen {
		if v.targets[version] == 0 {
			delete(v.seen, version)
			delete(v.barred, version)
		}
	}
	return true
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
	}
	p.replan()
	return p.dispatch(now)
}

// mayList tells whether a target may get requests as far as its version is concerned. New ones that
// get nothing may not, unless there are no others.
func (p *Pool) mayList(now time.Time, t *target) bool {
	version := t.spec.Version
	if p.versions.barred[version] && len(p.versions.seen) > len(p.versions.barred) {
		return false
	}
	ordered := version == p.split.Version
	return !p.config.HoldNewVersions || ordered || !p.versions.isLater(version) || !p.versions.holds(now, version)
}

// endHold places targets anew once some are no longer held back.
func (p *Pool) endHold(now time.Time) {
	if until := p.versions.heldUntil; !until.IsZero() && !now.Before(until) {
		p.arrange(now)
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
	in := p.regions[region]
	switch {
	case in == nil:
		return nil
	case r.side == oldSide || p.split.Over:
		return in.listed[r.side]
	}
	if in.open == nil {
		in.open = p.open(in.listed[newSide])
	}
	return in.open
}

// sideFor draws the side of a request. One that was sent before goes to old targets, as long as most
// do.
func (p *Pool) sideFor(now time.Time, r *Request) side {
	p.endHold(now)
	switch {
	case p.split.Version == "":
		return oldSide
	case p.split.Over && p.split.All():
		return newSide
	case p.split.Over || !p.splitUntil.IsZero() && !now.Before(p.splitUntil):
		return oldSide
	case len(r.Tried) > 0 && !p.split.All():
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
	for _, r := range p.inOrder {
		if r.serving[s].targets > 0 {
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

// VersionStats are the targets of a service by version, while a rollout goes on.
type VersionStats struct {
	// OldSlots and NewSlots are those of the targets that are meant to serve.
	OldSlots, NewSlots float64
	// OldInFlight is the number of requests of this instance at old targets, and Usage the part of the
	// slots that is in use, by what targets have told of late.
	OldInFlight    int
	OldUtilization float64
	// SendRate is the number of requests that this instance sends a second.
	SendRate float64
}

// VersionStats returns what there is of the targets of both versions.
func (p *Pool) VersionStats(now time.Time) VersionStats {
	v := VersionStats{SendRate: p.returns.sentRate(now)}
	used := 0.0
	for _, r := range p.inOrder {
		v.NewSlots += r.serving[newSide].slots
		v.OldSlots += r.serving[oldSide].slots
		used += r.serving[oldSide].slots * r.usage.at(now)
	}
	for _, t := range p.touched {
		if t.side == oldSide {
			v.OldInFlight += t.inFlight
		}
	}
	if v.OldSlots > 0 {
		v.OldUtilization = used / v.OldSlots
	}
	return v
}
