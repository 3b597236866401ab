package upstream

import (
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// ReasonCold means that a request is not hedged because most targets of the region are cold.
const ReasonCold Reason = "targets-cold"

// AcquireHedge selects the target of a request's second attempt while the first one, at the last of the
// targets in r.Tried, has no response. The request is not queued: a second attempt that would have to
// wait for a slot only adds to an overload. After Send the caller must call Release.
func (p *Pool) AcquireHedge(now time.Time, r Request) Decision {
	r.arrivedAt = now
	r.keyPoint = mix.Unit(mix.Pair(r.Key, "region"))
	r.cohort = p.cohortFor(now, &r)
	c := p.chooseForHedge(now, &r)
	switch {
	case !c.found:
		return Decision{Action: Refuse, Reason: c.reason}
	case c.target.stats.suspectBackoff > 0:
		// The attempt would find out whether the target answers again. That is left to requests that
		// have no other one.
		return Decision{Action: Refuse, Reason: ReasonNoTarget}
	case c.target.load(now)+1 > float64(c.target.spec.Slots), c.target.region.utilization.at(now) >= busyThreshold:
		// Where most targets are busy, one with a free slot will have none in a moment.
		return Decision{Action: Refuse, Reason: ReasonFull}
	case p.mostlyCold(now, &r, c.target.region.name):
		return Decision{Action: Refuse, Reason: ReasonCold}
	}
	return p.send(now, &r, c)
}

// chooseForHedge selects the second target of the request's key in the region drawn for it, which is in
// another hall than the first and has the object. If that one cannot be used, it selects a target as for a
// retry.
func (p *Pool) chooseForHedge(now time.Time, r *Request) candidate {
	region := p.drawRegion(p.planFor(now, r), r)
	all := *r
	all.Tried = nil
	ranking := p.rank(&all, region, p.keyFilter(now))
	targets := p.targetsOf(r, region)
	for place, index := range ranking {
		if index >= 0 && r.wasTried(targets[index].spec.ID) {
			ranking[place] = -1
		}
	}
	c := p.cheapest(now, r, region, ranking)
	if c.found || c.reason != ReasonNoTarget {
		return c
	}
	return p.choose(now, r)
}

// mostlyCold reports whether most of the targets of a region that the request may go to are cold.
func (p *Pool) mostlyCold(now time.Time, r *Request, region string) bool {
	cold := 0
	targets := p.targetsOf(r, region)
	for _, t := range targets {
		if t.cold(now) {
			cold++
		}
	}
	return 2*cold > len(targets)
}

// IsSuspected reports whether a target is suspected to have failed.
func (p *Pool) IsSuspected(id string) bool {
	t := p.byID[id]
	return t != nil && t.stats.suspectBackoff > 0
}

// RecordUnreachable records that no connection to a target could be established, as Release does for a request,
// and returns the grants that follow.
func (p *Pool) RecordUnreachable(now time.Time, id string) []Grant {
	t := p.byID[id]
	if t == nil {
		return nil
	}
	p.markActive(now, t)
	before := t.eventState()
	t.stats.downAt = now
	t.suspect(now)
	p.recordEvent(t, before, Unreachable)
	p.count(t)
	return p.dispatch(now)
}

// IsUnreachable reports whether a target is suspected because no connection to it could be established.
func (p *Pool) IsUnreachable(id string) bool {
	t := p.byID[id]
	return t != nil && t.stats.suspectBackoff > 0 && !t.stats.downAt.IsZero()
}
