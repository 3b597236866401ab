package upstream

import (
	"slices"
	"time"

	"github.com/rainford/rainford/affinity"
)

const (
	// missPenalty is the cost of a target without the object, in typical latencies. A cache miss
	// takes two typical latencies longer than a hit. Only a third of that is counted, since
	// afterwards the target has the object.
	missPenalty = 0.6
	// rankPenalty is the cost of each place in the ranking, in typical latencies. It keeps the
	// requests of a key together, and heavy ones in the instance's hall, until the wait there is
	// about as long as a request.
	rankPenalty = 0.7
	// coldFullAt is the load, as a multiple of the slots, from which a target gets no more requests
	// for objects that it does not have, and warmFullAt the load for objects that it has. A cache
	// miss takes three times as long as a hit, seldom ends in time, and delays requests that could
	// end in time. fullAt is the load for requests without an object.
	coldFullAt = 1.75
	warmFullAt = 2.5
	fullAt     = 2.0
)

// candidate is the result of a selection.
type candidate struct {
	found  bool
	target *target
	reason Reason
	// firstChoice means that the target is the first one in the ranking of the key.
	firstChoice bool
}

// choose selects a target in the request's cohort, or in the other cohort if none of these can be
// used.
func (p *Pool) choose(now time.Time, r *Request) candidate {
	c := p.chooseAnywhere(now, r)
	if c.found || !p.mayChangeCohort(r, c.reason) {
		return c
	}
	other := *r
	other.cohort = r.cohort.other()
	return p.chooseAnywhere(now, &other)
}

// chooseAnywhere selects a target in the region drawn for the request, or in another region if no
// target there can be used. All instances try the other regions in the same order for a key, by which
// each of them gets a part of the keys in proportion to its slots. Full targets do not send a request to another region, since that would
// shift traffic faster than ShiftStep allows. If rate limits make the targets of the drawn region
// unusable, a target in another region gets the request only if it has capacity to spare.
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
	for _, region := range pl.substitutes(r.Key, drawn) {
		c = chooseIn(now, r, region)
		if c.found || c.reason == ReasonFull || c.reason == ReasonLimited {
			return c
		}
	}
	return candidate{reason: ReasonNoTarget}
}

// chooseIn selects a target in one region. The ranking covers all targets that keep their keys. If
// the first target of a key cannot be used for a moment, the request goes to the second one, which
// has the object. Only if neither can be used are the usable targets ranked.
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

// chooseSpare selects a target in a region whose rate limit, if any, leaves permits beyond those
// that requests for its own keys need.
func (p *Pool) chooseSpare(now time.Time, r *Request, region string) candidate {
	usable := func(t *target) bool { return t.usableIgnoringLimit(now) && t.hasSparePermit(now) }
	return p.cheapest(now, r, region, p.rank(r, region, usable))
}

// keyFilter returns the predicate of the targets that keep their keys. Most of the time no target
// has requested a back-off and no hall is unreachable, and then these are the targets in service.
func (p *Pool) keyFilter(now time.Time) func(*target) bool {
	if !now.Before(p.backoffUntil) && len(p.unreachable) == 0 {
		return (*target).inService
	}
	return func(t *target) bool { return t.keepsKeys(now) }
}

// maxIsolatedPermits bounds the targets of which one isolated request requests permits.
const maxIsolatedPermits = 3

// chooseIsolated selects the target of a request that may crash it. It takes the target with the
// lowest load relative to its slots, since the target's requests would be lost with it.
func (p *Pool) chooseIsolated(now time.Time, r *Request, region string) candidate {
	usable := func(t *target) bool { return !r.wasTried(t.spec.ID) && t.usable(now) }
	targets := p.targetsOf(r, region)
	if !slices.ContainsFunc(targets, usable) {
		p.requestPermits(now, targets[:min(maxIsolatedPermits, len(targets))])
		return candidate{reason: ReasonNoTarget}
	}
	return p.leastLoaded(now, r, region)
}

// rank returns the first targets of the request's key among the eligible targets of a region, as
// indexes into targetsOf.
func (p *Pool) rank(r *Request, region string, eligible func(*target) bool) affinity.Ranking {
	ranker := affinity.NewRanker(r.Key)
	for i, t := range p.targetsOf(r, region) {
		if !r.wasTried(t.spec.ID) && eligible(t) {
			ranker.Add(i, t.group, t.hash, t.weight)
		}
	}
	return ranker.Ranking(p.preferredGroup(r, region))
}

// cheapest selects the target with the lowest cost among the targets of a ranking that are usable
// and not full. If all usable targets of the ranking are full and the request is not sticky, it
// selects the least loaded target of the region. If it selects none, the reason is ReasonLimited if
// the request should wait for a permit, ReasonFull if all usable targets are full, and
// ReasonNoTarget if no target is usable.
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

// reasonOf returns the reason for selecting the given place of a ranking.
func reasonOf(place int) Reason {
	if place > 0 {
		return ReasonLoad
	}
	return ReasonFirstChoice
}

// preferredGroup returns the group of the instance's hall, if that is in the region, for requests
// that gain nothing from a target that other instances have warmed. These are requests without an
// object and requests that move many bytes. For all others it returns affinity.NoGroup.
func (p *Pool) preferredGroup(r *Request, region string) int {
	if region != p.config.Region || (r.Sticky && !r.Heavy) {
		return affinity.NoGroup
	}
	if g, ok := p.groups[p.config.Hall]; ok {
		return g
	}
	return affinity.NoGroup
}

// warmProbability returns the probability that a target has the object of a request, 1 for requests
// without an object.
func (p *Pool) warmProbability(now time.Time, r *Request, t *target, firstChoice bool) float64 {
	if !r.Sticky {
		return 1
	}
	return p.cacheModel.hitProbability(t.hasKey(now, r.Key), firstChoice)
}

// full reports whether a target takes no more requests whose object it has with the probability
// warm.
func full(now time.Time, r *Request, t *target, warm float64) bool {
	limit := fullAt
	if r.Sticky {
		limit = coldFullAt + (warmFullAt-coldFullAt)*warm
	}
	return t.load(now) >= limit*float64(max(t.spec.Slots, 1))
}

// expectedWait returns the expected wait at a target, in typical latencies.
func expectedWait(now time.Time, t *target) float64 {
	slots := float64(max(t.spec.Slots, 1))
	return max(0, t.load(now)+1-slots) / slots
}

// leastLoaded selects the target with the lowest load per slot among the usable targets of a region
// that are not full. It is used for isolated requests, and for requests that are not sticky if the
// first targets of the ranking are full.
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
