package upstream

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/rollout"
)

// cohort is which of a service's targets a request goes to while a rollout brings in a new version.
type cohort int

// Without a rollout all targets are on the old side.
const (
	oldCohort cohort = iota
	newCohort
)

func (s cohort) other() cohort {
	if s == oldCohort {
		return newCohort
	}
	return oldCohort
}

// targetsByCohort are a region's targets that may get requests, by side.
type targetsByCohort [2][]*target

const (
	// minCanaries is the number of new targets in each region that get requests at least, once any
	// do: one may be at fault by itself.
	minCanaries = 2
	// unorderedHold is how long targets of a new version get nothing where no order for it is
	// known. An order and the targets that start with it may become known in either order.
	unorderedHold = 3 * time.Second
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
	// superseded are those of orders that another one took the place of before they were brought in.
	superseded map[string]bool
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

// update takes in the versions of the targets there are now, and reports whether any came or went. Those
// of a pool's first targets have been there before.
func (v *versions) update(now time.Time) bool {
	if !v.changed {
		return false
	}
	v.changed = false
	since := now
	if v.seen == nil {
		v.seen = make(map[string]time.Time)
		since = now.Add(-unorderedHold)
	}
	for version := range v.targets {
		if _, ok := v.seen[version]; !ok {
			v.seen[version] = since
		}
	}
	for version := range v.seen {
		if v.targets[version] == 0 {
			delete(v.seen, version)
			delete(v.superseded, version)
		}
	}
	return true
}

// supersede takes in that an order for a version takes the place of one for another version.
func (v *versions) supersede(before rollout.Split, version string) {
	delete(v.superseded, version)
	if before.Version == "" || before.Version == version || before.Ended && before.AllNew() {
		return
	}
	if v.superseded == nil {
		v.superseded = make(map[string]bool)
	}
	v.superseded[before.Version] = true
}

// isAfter tells whether a version was first seen later than another one.
func (v *versions) isAfter(version, other string) bool { return v.seen[version].After(v.seen[other]) }

// isNewest tells whether a version was first seen later than any other.
func (v *versions) isNewest(version string) bool {
	for other := range v.seen {
		if v.isAfter(version, other) {
			return true
		}
	}
	return false
}

// holdsBack tells whether the targets of a version are held back for now.
func (v *versions) holdsBack(now time.Time, version string) bool {
	until := v.seen[version].Add(unorderedHold)
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
	p.versions.supersede(p.split, split.Version)
	again := split.Version != p.split.Version || split.TargetShare != p.split.TargetShare || split.Ended != p.split.Ended
	p.split = split
	if again {
		p.placeAll(now)
	}
	p.invalidatePlans()
	return p.dispatch(now)
}

// mayList tells whether a target may get requests as far as its version is concerned. New ones that
// get nothing may not, unless there are no others.
func (p *Pool) mayList(now time.Time, t *target) bool {
	version := t.spec.Version
	if p.versions.superseded[version] && len(p.versions.seen) > len(p.versions.superseded) {
		return false
	}
	ordered := version == p.split.Version
	return !p.config.HoldNewVersions || ordered || !p.versions.isNewest(version) || !p.versions.holdsBack(now, version)
}

// endHold places targets anew once some are no longer held back.
func (p *Pool) endHold(now time.Time) {
	if until := p.versions.heldUntil; !until.IsZero() && !now.Before(until) {
		p.placeAll(now)
	}
}

// cohortOf returns the side of a target. Once a version has been brought in, those that come after it
// take part like it.
func (p *Pool) cohortOf(t *target) cohort {
	switch {
	case p.split.Version == "":
		return oldCohort
	case t.spec.Version == p.split.Version:
		return newCohort
	case p.split.Ended && p.split.AllNew() && p.versions.isAfter(t.spec.Version, p.split.Version):
		return newCohort
	default:
		return oldCohort
	}
}

// canaries returns the new targets of a region that get requests: a part of them, the same at all
// instances.
func (p *Pool) canaries(targets []*target) []*target {
	place := func(t *target) float64 { return mix.Unit(mix.Join(t.hash, canarySalt)) }
	var out []*target
	for _, t := range targets {
		if p.split.UsesTarget(place(t)) {
			out = append(out, t)
		}
	}
	if len(out) >= min(minCanaries, len(targets)) {
		return out
	}
	out = append(out[:0:0], targets...)
	sort.Slice(out, func(i, j int) bool { return place(out[i]) < place(out[j]) })
	return out[:min(minCanaries, len(out))]
}

// canarySalt and drawSalt tell draws apart that are made with the same hashes.
const (
	canarySalt = 0x6f70656e
	drawSalt   = 0x64726177
)

// targetsOf returns the targets of a region that a request may go to.
func (p *Pool) targetsOf(r *Request, region string) []*target {
	in := p.regions[region]
	switch {
	case in == nil:
		return nil
	case r.cohort == oldCohort || p.split.Ended:
		return in.listed[r.cohort]
	}
	if in.canaries == nil {
		in.canaries = p.canaries(in.listed[newCohort])
	}
	return in.canaries
}

// cohortFor draws the side of a request. One that was sent before goes to old targets, as long as most
// do.
func (p *Pool) cohortFor(now time.Time, r *Request) cohort {
	p.endHold(now)
	switch {
	case p.split.Version == "":
		return oldCohort
	case p.split.Ended && p.split.AllNew():
		return newCohort
	case p.split.Ended || !p.splitUntil.IsZero() && !now.Before(p.splitUntil):
		return oldCohort
	case len(r.Tried) > 0 && !p.split.AllNew():
		return oldCohort
	}
	key := mix.Unit(mix.Pair(r.Key, p.split.Version))
	draw := mix.Unit(mix.Join(r.ID, mix.Join(p.salt, drawSalt)))
	if p.split.ToNew(key, draw) {
		return newCohort
	}
	return oldCohort
}

// mayChangeCohort tells whether a request that has no target among those of its version may go to one
// of the other: to an old one as long as these serve, but to a new one only if no old one does.
func (p *Pool) mayChangeCohort(r *Request, reason Reason) bool {
	switch {
	case p.split.Version == "":
		return false
	case r.cohort == newCohort:
		return !p.split.AllNew() || reason == ReasonNoTarget
	default:
		return reason == ReasonNoTarget && !p.hasServing(oldCohort)
	}
}

// hasServing tells whether a target of a side is meant to serve.
func (p *Pool) hasServing(s cohort) bool {
	for _, r := range p.sortedRegions {
		if r.serving[s].targets > 0 {
			return true
		}
	}
	return false
}

// majorityCohort returns the side whose slots count for the shares of regions, if a rollout goes on.
func (p *Pool) majorityCohort() cohort {
	if p.split.AllNew() && p.hasServing(newCohort) || !p.hasServing(oldCohort) {
		return newCohort
	}
	return oldCohort
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
	v := VersionStats{SendRate: p.retryForecast.sendRate(now)}
	used := 0.0
	for _, r := range p.sortedRegions {
		v.NewSlots += r.serving[newCohort].slots
		v.OldSlots += r.serving[oldCohort].slots
		used += r.serving[oldCohort].slots * r.utilization.at(now)
	}
	for _, t := range p.activeTargets {
		if t.cohort == oldCohort {
			v.OldInFlight += t.inFlight
		}
	}
	if v.OldSlots > 0 {
		v.OldUtilization = used / v.OldSlots
	}
	return v
}
