package upstream

import (
	"time"

	"github.com/rainford/rainford/affinity"
	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
)

// SetTargets replaces the service's targets and the evacuated halls, and returns the grants and
// refusals that follow. The pool keeps the specs, which must not change afterwards.
func (p *Pool) SetTargets(now time.Time, specs []*catalog.Target, evacuated map[string]bool) []Grant {
	for _, t := range p.byID {
		t.state.SetUnlisted(now)
	}
	for _, spec := range specs {
		p.setTarget(now, spec, evacuated[spec.Hall])
	}
	for _, t := range p.byID {
		if t.state.Gone() && t.inFlight == 0 {
			p.removeTarget(t)
		}
	}
	p.updateVersions(now)
	p.placeAll(now)
	return p.dispatch(now)
}

// ChangeTargets adds or updates the changed targets and removes those with the IDs in removed. A
// target that is in both is removed. It returns the grants and refusals that follow. The pool keeps
// the specs, which must not change afterwards.
func (p *Pool) ChangeTargets(now time.Time, changed []*catalog.Target, removed []string, evacuated map[string]bool) []Grant {
	affected := make([]*target, 0, len(changed)+len(removed))
	for _, spec := range changed {
		affected = append(affected, p.setTarget(now, spec, evacuated[spec.Hall]))
	}
	for _, id := range removed {
		t := p.byID[id]
		if t == nil {
			continue
		}
		affected = append(affected, t)
		t.state.SetUnlisted(now)
		if t.inFlight == 0 {
			p.removeTarget(t)
		}
	}
	if len(affected) == 0 {
		return nil
	}
	if p.updateVersions(now) {
		p.placeAll(now)
	}
	for _, t := range affected {
		if p.byID[t.spec.ID] == t {
			p.place(now, t)
		}
	}
	return p.dispatch(now)
}

// placeAll places all targets again.
func (p *Pool) placeAll(now time.Time) {
	p.versions.heldUntil = time.Time{}
	for _, t := range p.byID {
		p.place(now, t)
	}
	for _, r := range p.sortedRegions {
		r.canaries = nil
	}
}

// updateVersions updates the set of the versions of the current targets. It reports whether other
// targets may have to be placed again.
func (p *Pool) updateVersions(now time.Time) bool {
	return p.config.HoldNewVersions && p.versions.update(now)
}

// setTarget creates or updates a target from its entry in the target list. The caller must place it
// afterwards.
func (p *Pool) setTarget(now time.Time, spec *catalog.Target, evacuated bool) *target {
	t := p.byID[spec.ID]
	listedCold := time.Duration(0)
	p.versions.add(spec.Version)
	if t == nil {
		t = p.newTarget(now, spec.ID)
	} else {
		listedCold = t.spec.RemainingWarmup
		p.versions.remove(t.spec.Version)
	}
	before := t.eventState()
	if spec.RemainingWarmup > listedCold {
		t.markCold(now, spec.RemainingWarmup)
	}
	if t.state.Evacuated() && !evacuated {
		// A server may have become cold while it got no requests.
		t.markCold(now, p.warmup)
	}
	t.group, t.weight = p.groups[spec.Hall], float64(max(spec.Slots, 1))
	t.spec, t.region = spec, p.regionFor(p.config.RegionOf[spec.Hall])
	t.state.SetListed(now, spec.Leaving)
	t.state.SetDrained(now, spec.Drained)
	t.state.SetEvacuated(now, evacuated)
	p.applyRateLimit(now, t, availability.SourcePeer)
	if at, ok := p.departures.FirstHeard(availability.ID(t.hash)); ok {
		t.state.SetLeaving(at, availability.SourcePeer)
	}
	p.recordEvent(t, before, Answered)
	return t
}

func (p *Pool) newTarget(now time.Time, id string) *target {
	t := &target{hash: affinity.Hash(id), coldUntil: now, quotas: p.quotas, permits: p.permits, stats: &p.emptyStats}
	p.byID[id] = t
	p.byHash[availability.ID(t.hash)] = t
	p.byShortID[shortID(t.hash)] = t
	return t
}

// removeTarget removes an unlisted target without requests in flight.
func (p *Pool) removeTarget(t *target) {
	p.unplace(t)
	p.versions.remove(t.spec.Version)
	p.setRateLimit(t, nil)
	delete(p.byID, t.spec.ID)
	if p.byHash[availability.ID(t.hash)] == t {
		delete(p.byHash, availability.ID(t.hash))
	}
	if p.byShortID[shortID(t.hash)] == t {
		delete(p.byShortID, shortID(t.hash))
	}
}

// markCold marks the target as cold for the given time from now on. Requests that were sent
// recently count against the quota.
func (t *target) markCold(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(t.coldUntil) {
		t.coldUntil = until
	}
	clear(t.stats.knownKeys)
}
