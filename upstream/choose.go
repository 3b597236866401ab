package upstream

import (
	"time"

	"github.com/rainford/rainford/affinity"
)

const (
	// missPenalty is what a target without the object costs, in usual times.
	missPenalty = 0.3
	// rankPenalty is what each place in the ranking costs, in usual times. It
	// keeps requests of one key together, and in the own hall, until the wait
	// there is of about the length of a request.
	rankPenalty = 0.7
	// fullAt is the load, in slots, from which on a target takes no more.
	fullAt = 2.0
	// urgentPriority is the lowest rank that may fill targets wholly; others
	// leave room.
	urgentPriority   = 1
	fullAtLessUrgent = 1.7
)

// candidate is the result of a choice.
type candidate struct {
	found  bool
	target *target
	reason Reason
}

// choose picks the target of a request: in the region drawn for it, or, if no
// target there can be used at all, in another one. Full targets do not send a
// request to another region: that would shift traffic faster than the bound.
func (p *Pool) choose(now time.Time, r *Request) candidate {
	pl := p.planFor(now, r)
	drawn := p.draw(pl, r)
	c := p.chooseIn(now, r, drawn)
	if c.found || c.reason == ReasonFull {
		return c
	}
	for _, region := range pl.regions {
		if region == drawn {
			continue
		}
		c = p.chooseIn(now, r, region)
		if c.found || c.reason == ReasonFull {
			return c
		}
	}
	return candidate{reason: ReasonNoTarget}
}

// chooseIn picks a target in one region. The ranking is over all targets that are to
// serve, so that a key whose first target can't be used for a moment goes to its
// second one, which knows the object. Only if neither can be used is the ranking made
// anew over those that can.
func (p *Pool) chooseIn(now time.Time, r *Request, region string) candidate {
	c := p.cheapest(now, r, region, p.rank(r, region, (*target).serves))
	if c.reason != ReasonNoTarget {
		return c
	}
	usable := func(t *target) bool { return t.usable(now) }
	return p.cheapest(now, r, region, p.rank(r, region, usable))
}

// rank returns the first targets of the request's key among the eligible ones of a
// region, as indexes.
func (p *Pool) rank(r *Request, region string, eligible func(*target) bool) affinity.Ranking {
	ranker := affinity.NewRanker(r.Key)
	for i, t := range p.byRegion[region] {
		if !r.avoids(t.spec.ID) && eligible(t) {
			ranker.Offer(i, t.group, t.hash, float64(max(t.spec.Slots, 1)))
		}
	}
	return ranker.Ranking(p.preferred(r, region))
}

// cheapest picks the target of a ranking that costs least among those that can be used
// and are not full. It fails with ReasonNoTarget if none can be used.
func (p *Pool) cheapest(now time.Time, r *Request, region string, ranking affinity.Ranking) candidate {
	best := candidate{reason: ReasonNoTarget}
	bestCost := 0.0
	for place, index := range ranking {
		if index < 0 || !p.byRegion[region][index].usable(now) {
			continue
		}
		t := p.byRegion[region][index]
		if p.full(now, r, t) {
			if !best.found {
				best.reason = ReasonFull
			}
			continue
		}
		cost := p.cost(now, r, t) + rankPenalty*float64(place)
		if !best.found || cost < bestCost {
			best, bestCost = candidate{found: true, target: t, reason: reasonOf(place)}, cost
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
	return ReasonFirst
}

// preferred returns the group of the own hall, if it is in the region, for requests that
// gain nothing from a target that others have made warm: those without an object, and
// those that move many bytes.
func (p *Pool) preferred(r *Request, region string) int {
	if region != p.config.Region || (r.Sticky && !r.Heavy) {
		return affinity.NoGroup
	}
	if g, ok := p.groups[p.config.Hall]; ok {
		return g
	}
	return affinity.NoGroup
}

func (p *Pool) full(now time.Time, r *Request, t *target) bool {
	limit := fullAt
	if r.Priority > urgentPriority {
		limit = fullAtLessUrgent
	}
	return t.load(now) >= limit*float64(max(t.spec.Slots, 1))
}

// cost is the wait expected at a target, in usual times, plus the penalty for an
// object that the target does not have.
func (p *Pool) cost(now time.Time, r *Request, t *target) float64 {
	slots := float64(max(t.spec.Slots, 1))
	cost := max(0, t.load(now)+1-slots) / slots
	if r.Sticky && !t.knows(now, r.Key) {
		cost += missPenalty
	}
	return cost
}

// leastLoaded picks among all targets of a region when the first of the ranking
// are full.
func (p *Pool) leastLoaded(now time.Time, r *Request, region string) candidate {
	var best *target
	bestLoad := 0.0
	for _, t := range p.byRegion[region] {
		if r.avoids(t.spec.ID) || !t.usable(now) || p.full(now, r, t) {
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
