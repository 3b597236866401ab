package upstream

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/rollout"
)

// cohort divides the service's targets during a rollout into those of the new version and all
// others.
type cohort int

// The cohorts. Without a rollout all targets are in the old cohort.
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

// targetsByCohort holds the targets of a region that may get requests, by cohort.
type targetsByCohort [2][]*target

const (
	// minCanaries is the minimum number of new targets in each region that get requests, once any
	// do. A single target may be faulty for a reason of its own.
	minCanaries = 2
	// unorderedHold is how long the targets of a new version get no requests if no rollout order
	// for the version is known. The order and the targets may become known in either sequence.
	unorderedHold = 3 * time.Second
)

// versions tracks the versions of the service's targets and when each was first seen.
type versions struct {
	// targets counts the targets by version. changed means that a version was added or removed
	// since the last update.
	targets map[string]int
	changed bool
	seen    map[string]time.Time
	// heldUntil is when the next targets that are held back may be used, zero if there are none.
	heldUntil time.Time
	// superseded holds the versions whose rollout order was superseded by another order before it
	// was completed.
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

// remove removes a target of a version from the count.
func (v *versions) remove(version string) {
	v.targets[version]--
	if v.targets[version] == 0 {
		delete(v.targets, version)
		v.changed = true
	}
}

// update updates the set of versions and reports whether any was added or removed. The versions of
// the pool's first targets count as seen unorderedHold ago, so that they are not held back.
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

// supersede records that an order for a version supersedes the one described by before.
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

// isAfter reports whether a version was first seen after another one.
func (v *versions) isAfter(version, other string) bool { return v.seen[version].After(v.seen[other]) }

// isNewer reports whether a version was first seen after some other version.
func (v *versions) isNewer(version string) bool {
	for other := range v.seen {
		if v.isAfter(version, other) {
			return true
		}
	}
	return false
}

// holdsBack reports whether the targets of a version are held back now. If they are, heldUntil is
// moved to the end of that hold unless it is earlier.
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

// SetSplit sets the fraction of the requests that goes to targets of a new version. The split ends
// at until unless it is set again, or is permanent if until is zero. SetSplit returns the grants
// and refusals that follow.
func (p *Pool) SetSplit(now time.Time, split rollout.Split, until time.Time) []Grant {
	p.splitUntil = until
	if split == p.split {
		return nil
	}
	p.versions.supersede(p.split, split.Version)
	moved := split.Version != p.split.Version || split.TargetShare != p.split.TargetShare || split.Ended != p.split.Ended
	p.split = split
	if moved {
		p.placeAll(now)
	}
	p.invalidatePlans()
	return p.dispatch(now)
}

// mayList reports whether the version of a target allows it to get requests. A version that gets
// none is listed nevertheless if there are no others.
func (p *Pool) mayList(now time.Time, t *target) bool {
	version := t.spec.Version
	if p.versions.superseded[version] && len(p.versions.seen) > len(p.versions.superseded) {
		return false
	}
	ordered := version == p.split.Version
	return !p.config.HoldNewVersions || ordered || !p.versions.isNewer(version) || !p.versions.holdsBack(now, version)
}

// endHold places the targets again once some are no longer held back.
func (p *Pool) endHold(now time.Time) {
	if until := p.versions.heldUntil; !until.IsZero() && !now.Before(until) {
		p.placeAll(now)
	}
}

// cohortOf returns the cohort of a target. After a completed rollout the versions that appear later
// belong to the new cohort.
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

// canaries returns the new targets of a region that get requests. They are a fraction of the new
// targets and the same at all instances.
func (p *Pool) canaries(targets []*target) []*target {
	position := func(t *target) float64 { return mix.Unit(mix.Combine(t.hash, canarySalt)) }
	var out []*target
	for _, t := range targets {
		if p.split.UsesTarget(position(t)) {
			out = append(out, t)
		}
	}
	if len(out) >= min(minCanaries, len(targets)) {
		return out
	}
	out = append(out[:0:0], targets...)
	sort.Slice(out, func(i, j int) bool { return position(out[i]) < position(out[j]) })
	return out[:min(minCanaries, len(out))]
}

// canarySalt and drawSalt make random draws from the same hash independent.
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

// cohortFor draws the cohort of a request. A request that was sent before goes to the old cohort as
// long as not all requests go to the new one.
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
	draw := mix.Unit(mix.Combine(r.ID, mix.Combine(p.salt, drawSalt)))
	if p.split.ToNew(key, draw) {
		return newCohort
	}
	return oldCohort
}

// mayChangeCohort reports whether a request for which no target of its cohort was found may go to
// the other one. It may go to the old cohort, but if all requests go to the new one, only with
// ReasonNoTarget. It may go to the new cohort only with ReasonNoTarget and if the old cohort has no
// targets in service.
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

// hasServing reports whether a cohort has targets in service.
func (p *Pool) hasServing(c cohort) bool {
	for _, r := range p.sortedRegions {
		if r.serving[c].targets > 0 {
			return true
		}
	}
	return false
}

// majorityCohort returns the cohort whose slots determine the shares of the regions.
func (p *Pool) majorityCohort() cohort {
	if p.split.AllNew() && p.hasServing(newCohort) || !p.hasServing(oldCohort) {
		return newCohort
	}
	return oldCohort
}

// VersionStats describes the targets of a service by cohort during a rollout.
type VersionStats struct {
	// OldSlots and NewSlots are the slots of the targets in service.
	OldSlots, NewSlots float64
	// OldInFlight is the number of requests of this instance at old targets. OldUtilization is the
	// mean load per slot of the regions, weighted by their old slots. The recent reports from which
	// it is computed are those of the targets of both cohorts.
	OldInFlight    int
	OldUtilization float64
	// SendRate is the number of requests per second that this instance sends.
	SendRate float64
}

// VersionStats returns the slots and the load of both cohorts.
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
