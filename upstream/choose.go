package upstream

import (
	"slices"
	"time"

	"github.com/rainford/rainford/affinity"
)

const (
	// missPenalty is what a target without the object costs, in usual times. A cold run
	// takes two usual times more than a warm one; a third of that is taken, since the object
	// is warm there afterwards.
	missPenalty = 0.6
	// rankPenalty is what each place in the ranking costs, in usual times. It
	// keeps requests of one key together, and in the own hall, until the wait
	// there is of about the length of a request.
	rankPenalty = 0.7
	// coldFullAt and warmFullAt are the loads, in slots, from which on a target takes no
	// more requests for objects that it does not have and that it has: a cold run takes
	// three times as long, seldom ends in time, and keeps those waiting that could. fullAt
	// is that for requests without an object.
	coldFullAt = 1.75
	warmFullAt = 2.5
	fullAt     = 2.0
)

// candidate is the result of a choice.
type candidate struct {
	found  bool
	target *target
	reason Reason
	// firstChoice says that the target is the firstChoice one of the key.
	firstChoice bool
}

// choose picks the target of a request among those of its version, or of the other one if these
// can't be used.
func (p *Pool) choose(now time.Time, r *Request) candidate {
	c := p.chooseAnywhere(now, r)
	if c.found || !p.mayChangeCohort(r, c.reason) {
		return c
	}
	other := *r
	other.cohort = r.cohort.other()
	return p.chooseAnywhere(now, &other)
}

// chooseAnywhere picks the target of a request: in the region drawn for it, or, if no
// target there can be used at all, in another one. Full targets do not send a
// request to another region: that would shift traffic faster than the bound. Targets that name
// limits send it only where nobody else waits for its place.
func (p *Pool) chooseAnywhere(now time.Time, r *Request) candidate {
	pl := p.planFor(now, r)
	drawn := p.drawRegion(pl, r)
	c := p.chooseIn(now, r, drawn)
	if c.found || c.reason == ReasonFull || c.reason == ReasonLimited {
		return c
	}
	chooseIn := p.chooseIn
	if !r.Isolated && p.blockedByLimitIn(now, r, drawn) {
		chooseIn = p.chooseSpare
	}
	for _, region := range pl.regions {
		if region == drawn {
			continue
		}
		c = chooseIn(now, r, region)
		if c.found || c.reason == ReasonFull || c.reason == ReasonLimited {
			return c
		}
	}
	return candidate{reason: ReasonNoTarget}
}

// chooseIn picks a target in one region. The ranking is over all targets that hold their keys,
// so that a key whose first target can't be used for a moment goes to its second one, which
// knows the object. Only if neither can be used is the ranking made anew over those that can.
func (p *Pool) chooseIn(now time.Time, r *Request, region string) candidate {
	if r.Isolated {
		return p.chooseIsolated(now, r, region)
	}
	ranking := p.rank(r, region, p.keyFilter(now))
	c := p.cheapest(now, r, region, ranking)
	if c.reason != ReasonNoTarget {
		return c
	}
	return p.chooseSpare(now, r, region)
}

// chooseSpare picks a target in a region that takes the request without keeping those of its own
// keys from it.
func (p *Pool) chooseSpare(now time.Time, r *Request, region string) candidate {
	usable := func(t *target) bool { return t.usableIgnoringLimit(now) && t.hasSparePermit(now) }
	return p.cheapest(now, r, region, p.rank(r, region, usable))
}

// keyFilter returns what tells whether a target holds its keys. Most of the time none rests, and
// those that serve do.
func (p *Pool) keyFilter(now time.Time) func(*target) bool {
	if !now.Before(p.backoffUntil) {
		return (*target).inService
	}
	return func(t *target) bool { return t.keepsKeys(now) }
}

// maxIsolatedPermits bounds the targets for which a request that is sent alone asks for permits.
const maxIsolatedPermits = 3

// chooseIsolated picks the target of a request that may end it: the one with the fewest requests,
// which would be lost with it.
func (p *Pool) chooseIsolated(now time.Time, r *Request, region string) candidate {
	usable := func(t *target) bool { return !r.wasTried(t.spec.ID) && t.usable(now) }
	targets := p.targetsOf(r, region)
	if !slices.ContainsFunc(targets, usable) {
		p.requestPermits(now, targets[:min(maxIsolatedPermits, len(targets))])
		return candidate{reason: ReasonNoTarget}
	}
	return p.leastLoaded(now, r, region)
}

// rank returns the first targets of the request's key among the eligible ones of a
// region, as indexes.
func (p *Pool) rank(r *Request, region string, eligible func(*target) bool) affinity.Ranking {
	ranker := affinity.NewRanker(r.Key)
	for i, t := range p.targetsOf(r, region) {
		if !r.wasTried(t.spec.ID) && eligible(t) {
			ranker.Add(i, t.group, t.hash, t.weight)
		}
	}
	return ranker.Ranking(p.preferredGroup(r, region))
}

// cheapest picks the target of a ranking that costs least among those that can be used
// and are not full. It fails with ReasonNoTarget if none can be used.
func (p *Pool) cheapest(now time.Time, r *Request, region string, ranking affinity.Ranking) candidate {
	best := candidate{reason: ReasonNoTarget}
	bestCost := 0.0
	targets := p.targetsOf(r, region)
	for place, index := range ranking {
		if index < 0 || !targets[index].usableIgnoringLimit(now) {
			continue
		}
		t := targets[index]
		if !t.permitted(now) {
			if best.found {
				continue
			}
			p.requestPermit(now, t)
			if p.waitsForPermit(now, r, t) {
				return candidate{reason: ReasonLimited}
			}
			continue
		}
		warm := p.warmProbability(now, r, t, place == 0)
		if full(now, r, t, warm) {
			if !best.found {
				best.reason = ReasonFull
			}
			continue
		}
		cost := expectedWait(now, t) + missPenalty*(1-warm) + rankPenalty*float64(place)
		if !best.found || cost < bestCost {
			best, bestCost = candidate{found: true, target: t, reason: reasonOf(place), firstChoice: place == 0}, cost
		}
	}
	if best.reason == ReasonFull && !r.Sticky {
		return p.leastLoaded(now, r, region)
	}
	return best
}

// reasonOf returns the reason of the choice of a place in a ranking.
func reasonOf(place int) Reason {
	if place > 0 {
		return ReasonLoad
	}
	return ReasonFirstChoice
}

// preferredGroup returns the group of the own hall, if it is in the region, for requests that
// gain nothing from a target that others have made warm: those without an object, and
// those that move many bytes.
func (p *Pool) preferredGroup(r *Request, region string) int {
	if region != p.config.Region || (r.Sticky && !r.Heavy) {
		return affinity.NoGroup
	}
	if g, ok := p.groups[p.config.Hall]; ok {
		return g
	}
	return affinity.NoGroup
}

// warmProbability returns how likely a target is to have the object of a request, 1 for requests
// without one.
func (p *Pool) warmProbability(now time.Time, r *Request, t *target, first bool) float64 {
	if !r.Sticky {
		return 1
	}
	return p.cacheModel.hitProbability(t.hasKey(now, r.Key), first)
}

// full tells whether a target takes no more requests that are as likely to find their
// object there as warm says.
func full(now time.Time, r *Request, t *target, warm float64) bool {
	limit := fullAt
	if r.Sticky {
		limit = coldFullAt + (warmFullAt-coldFullAt)*warm
	}
	return t.load(now) >= limit*float64(max(t.spec.Slots, 1))
}

// expectedWait is the expectedWait expected at a target, in usual times.
func expectedWait(now time.Time, t *target) float64 {
	slots := float64(max(t.spec.Slots, 1))
	return max(0, t.load(now)+1-slots) / slots
}

// leastLoaded picks among all targets of a region when the first of the ranking
// are full.
func (p *Pool) leastLoaded(now time.Time, r *Request, region string) candidate {
	var best *target
	bestLoad := 0.0
	for _, t := range p.targetsOf(r, region) {
		if r.wasTried(t.spec.ID) || !t.usable(now) || full(now, r, t, 0) {
			continue
		}
		load := t.load(now) / float64(max(t.spec.Slots, 1))
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	if best == nil {
		return candidate{reason: ReasonFull}
	}
	return candidate{found: true, target: best, reason: ReasonLoad}
}
